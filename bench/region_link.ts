/** How senders share a link whose rate none of them knows, compared with fixed shares. */
import { seededRandom } from '../daemon/seeded_random.ts'
import { simulateLink, type LinkFigures, type LinkSimulationOptions } from './_shared_link.ts'
import { round, type Bench, type Figures } from './bench.ts'

const SENDERS = [5, 50, 200, 420]
const LINK_BYTES_PER_S = 5_250_000
/** What all senders want together, as a multiple of the link's rate. */
const LOAD = 2
const DURATION_MS = 60_000
const CUT_FROM_MS = 20_000
const CUT_UNTIL_MS = 30_000
/** Time after a cut by which the link must be in use again, in milliseconds. */
const HEALED_MS = 3000

type Case = (senders: number) => Partial<LinkSimulationOptions>

const CASES: Readonly<Record<string, Case>> = {
  steady: () => ({}),
  lossy: () => ({ loss: 0.02 }),
  'half of the senders hold back': (senders) => ({ demand: (i) => (i % 2 === 0 ? LINK_BYTES_PER_S / senders / 4 : LOAD * LINK_BYTES_PER_S) }),
  'cut and healed': () => ({ capacity: (ms) => (ms >= CUT_FROM_MS && ms < CUT_UNTIL_MS ? 0 : LINK_BYTES_PER_S), fromMs: CUT_UNTIL_MS + HEALED_MS }),
  'fixed shares, rate known': (senders) => ({ fixedBytesPerS: LINK_BYTES_PER_S / senders }),
  'fixed shares, half of the senders hold back': (senders) => ({ fixedBytesPerS: LINK_BYTES_PER_S / senders, demand: (i) => (i % 2 === 0 ? LINK_BYTES_PER_S / senders / 4 : LOAD * LINK_BYTES_PER_S) }),
  'no limit': () => ({ fixedBytesPerS: Infinity })
}

/** `npm run bench -- region-link`. */
export const regionLinkBench: Bench = {
  name: 'region-link',
  about: 'use, delay and fairness of a link between regions at twice its rate, compared with fixed shares',
  run ({ seed, print }) {
    const rows = SENDERS.flatMap((senders) => Object.entries(CASES).map(([name, change]) => {
      const row = { senders, case: name, ...rounded(runCase(senders, seed, change(senders))) }
      print(JSON.stringify(row))
      return row
    }))
    return { rows }
  }
}

function runCase (senders: number, seed: number, change: Partial<LinkSimulationOptions>): LinkFigures {
  return simulateLink({ senders, capacity: () => LINK_BYTES_PER_S, demand: () => LOAD * LINK_BYTES_PER_S / senders, durationMs: DURATION_MS, random: seededRandom(seed), ...change })
}

function rounded (figures: LinkFigures): Figures {
  return Object.fromEntries(Object.entries(figures).map(([name, value]) => [name, round(value as number, 3)]))
}
