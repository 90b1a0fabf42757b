/** Share of requests that are sent to another region, with a router that prefers its own and with one that knows only the round trips. */
import { simulatePlacement, type ClassResults, type SimulatedRegions } from './_placing.ts'
import { round, type Bench, type Figures } from './bench.ts'

const FLEETS = [9, 67, 195, 420]
/** Load of each region as a fraction of what its engines can take. */
const LOADS = [[0.5, 0.5], [0.9, 0.9], [1.2, 1.2], [2, 0.3]] as const
const ENGINES = 40
const ENGINE = { slots: 12, queue: 25, readTokensPerMs: 125, firstMs: 62, pieceMs: 30, pieceMsPerRequest: 0.75 }
/** Requests per second that the engines of one region can take, of both classes. */
const CAPACITY_PER_S = { review: 67, letter: 401 }
const SPAN_MS = 20_000
const WARMUP_MS = 2000

/** `npm run bench -- regions`. */
export const regionsBench: Bench = {
  name: 'regions',
  about: 'requests that leave their region with 9 to 420 daemons in two regions, by load',
  run ({ seed, print }) {
    const rows = FLEETS.flatMap((daemons) => LOADS.flatMap((shares) => [true, false].map((ownFirst) => {
      const row = { daemons, load: shares.join('/'), router: ownFirst ? 'own region first' : 'round trips only', ...figuresOf(placeInRegions({ seed, daemons, shares, ownFirst })) }
      print(JSON.stringify(row))
      return row
    })))
    return { rows }
  }
}

/** Places the requests of two regions; their shares are the fractions of what the engines of each can take. */
export function placeInRegions ({ seed, daemons, ...regions }: SimulatedRegions & { seed: number, daemons: number }): ClassResults[] {
  const load = regions.shares[0] + regions.shares[1]
  const results = simulatePlacement({
    seed,
    daemons,
    regions,
    engines: ENGINES,
    engine: ENGINE,
    classes: [
      { name: 'review', perS: CAPACITY_PER_S.review * load, urgent: false, uniqueTokens: 6600, sharedTokens: 5400, subjects: 400, pieces: 42, firstTokenMs: 800, deadlineMs: 12_000, maxAttempts: 2 },
      { name: 'letter', perS: CAPACITY_PER_S.letter * load, urgent: true, uniqueTokens: 1800, sharedTokens: 570, subjects: 3700, pieces: 2.5, firstTokenMs: 500, deadlineMs: 2500, maxAttempts: 1 }
    ],
    spanMs: SPAN_MS,
    warmupMs: WARMUP_MS
  })
  return [...results.values()]
}

function figuresOf (classes: readonly ClassResults[]): Figures {
  const sum = (of: (results: ClassResults) => number) => classes.reduce((total, results) => total + of(results), 0)
  const fraction = (of: (results: ClassResults) => number, base: number) => round(sum(of) / Math.max(1, base), 4)
  const asked = sum((results) => results.asked)
  return {
    asked,
    crossed: fraction((results) => results.crossed, sum((results) => results.sent)),
    inTime: fraction((results) => results.inTime, asked),
    refused: fraction((results) => results.refusedByDaemon, asked),
    tokensReadAgain: Math.round(sum((results) => results.redundantPrefillTokens) / Math.max(1, asked))
  }
}
