/** Fraction of requests served in time under heavy load, by fleet size, when daemons learn of each other's load with a delay. */
import { simulatePlacement, type SimulatedClass, type ClassResults } from './_placing.ts'
import { quantile, round, type Bench, type Figures } from './bench.ts'

const FLEETS = [9, 83, 195, 420]
/** Multiples of a base load that uses two thirds of the engine capacity. */
const LOADS = [1, 1.4, 1.5, 1.6, 1.8]
const ENGINES = 27
const ENGINE = { slots: 12, queue: 25, readTokensPerMs: 125, firstMs: 62, pieceMs: 30, pieceMsPerRequest: 0.75 }
const SPAN_MS = 20_000
const WARMUP_MS = 2000

/** `npm run bench -- placing`. */
export const placingBench: Bench = {
  name: 'placing',
  about: 'first tokens in time with 9 to 420 daemons and 27 engines, by load',
  run ({ seed, print }) {
    const rows = FLEETS.flatMap((daemons) => LOADS.map((load) => {
      const results = simulatePlacement({ seed, daemons, engines: ENGINES, engine: ENGINE, classes: classesOf(load), spanMs: SPAN_MS, warmupMs: WARMUP_MS })
      const row = { daemons, load, ...Object.fromEntries([...results].map(([name, figures]) => [name, fractionsOf(figures)])) }
      print(JSON.stringify(row))
      return row
    }))
    return { rows }
  }
}

function classesOf (load: number): SimulatedClass[] {
  return [
    { name: 'review', perS: 60 * load, urgent: false, uniqueTokens: 6600, sharedTokens: 5400, subjects: 400, pieces: 42, firstTokenMs: 800, deadlineMs: 12_000, maxAttempts: 2 },
    { name: 'letter', perS: 361 * load, urgent: true, uniqueTokens: 1800, sharedTokens: 570, subjects: 3700, pieces: 2.5, firstTokenMs: 500, deadlineMs: 2500, maxAttempts: 1 }
  ]
}

/** Converts counts to fractions of the requests made. */
function fractionsOf ({ asked, inTime, late, refusedByDaemon: noRoom, rejectedByEngine: turnedAway, redundantPrefillTokens, predictionErrors }: ClassResults): Figures {
  const fraction = (count: number) => round(count / Math.max(1, asked), 3)
  const errorQuantile = (q: number) => round(quantile(predictionErrors, q))
  return {
    asked,
    inTime: fraction(inTime),
    late: fraction(late),
    refused: fraction(noRoom),
    turnedAway: fraction(turnedAway),
    tokensReadAgain: Math.round(redundantPrefillTokens / Math.max(1, asked)),
    predictionError: { median: errorQuantile(0.5), p95: errorQuantile(0.95) }
  }
}
