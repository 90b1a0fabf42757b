/** Plays crashes of endpoints in drawn fleets, and measures how soon bad prompt parts are held, and how often sound ones. */
import { seededRandom } from '../daemon/seeded_random.ts'
import { quantile, round, type Bench, type Figures } from './bench.ts'
import { playDrawnFleet, type DrawnFleetResult } from './_drawn_fleet.ts'

const DEFAULT_COUNT = 50
const FLEET_SIZES = [9, 87, 195, 420]
const BAD_PARTS = [0, 1, 2]
/** Requests with a part that may reach endpoints later than 3 s after its fifth crash. */
const MAX_LATE_BAD = 3
/** Distance between the seeds of two plays. */
const SEED_STEP = 7

/** How soon prompt parts that crash endpoints are held. */
export const quarantineBench: Bench = {
  name: 'quarantine',
  about: 'prompt parts that crash endpoints: crashes until they are held, sound parts held in error, over drawn fleets and loads',
  run: ({ seed, count = DEFAULT_COUNT, print }) => {
    const plays: Figures[] = []
    for (const badParts of BAD_PARTS) {
      for (const daemons of FLEET_SIZES) {
        const results = Array.from({ length: count }, (_, nth) => playDrawnFleet({ daemons, badParts, random: seededRandom((seed - 1) * count * SEED_STEP + nth * SEED_STEP + daemons) }))
        const figures = { badParts, daemons, plays: count, ...summarize(results) }
        print(JSON.stringify(figures))
        plays.push(figures)
      }
    }
    return { plays }
  }
}

function summarize (results: readonly DrawnFleetResult[]): Figures {
  const parts = results.flatMap(({ crashesUntilHeld }) => crashesUntilHeld)
  const held = parts.filter((crashes) => crashes !== undefined)
  const afterFifthMs = results.flatMap(({ heldAfterFifthMs }) => heldAfterFifthMs).filter((ms) => ms !== undefined && Number.isFinite(ms)) as number[]
  const share = (holds: (result: DrawnFleetResult) => boolean) => results.filter(holds).length
  return {
    badPartsHeld: `${held.length} of ${parts.length}`,
    crashesUntilHeldP50: quantile(held, 0.5),
    crashesUntilHeldP95: quantile(held, 0.95),
    heldAfterFifthMaxMs: Math.max(0, ...afterFifthMs),
    playsWithTooManyLate: share(({ lateBad }) => lateBad > MAX_LATE_BAD),
    playsWithSoundHeld: share(({ soundEverHeld }) => soundEverHeld > 0),
    playsWithSoundHeldAtEnd: share(({ soundHeldAtEnd }) => soundHeldAtEnd > 0),
    soundAnswered: round(results.reduce((sum, { soundAnswered }) => sum + soundAnswered, 0) / results.length, 3)
  }
}
