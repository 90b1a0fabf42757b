/** Worth served, by class, when there is less room than work. */
import { FairQueue, FifoQueue } from '../core/admission/index.ts'
import { byAgeingPriority, byWorthOfWork, OrderedQueue } from './_ordered_queue.ts'
import { simulatePlacement, type CallerOptions, type ClassResults, type PlacementSimulationOptions, type SimulatedClass } from './_placing.ts'
import { round, type Bench, type Figures } from './bench.ts'

const ENGINES = 30
const ENGINE = { slots: 64, queue: 134, readTokensPerMs: 61.8, firstMs: 20, pieceMs: 25, pieceMsPerRequest: 1.5 }
/** Requests a second of each class that the engines can just prefill: one long one to six short ones. */
const MIX_PER_S = 1000 * ENGINES * ENGINE.readTokensPerMs / (12_000 + 6 * 2400)
const CLASSES: readonly SimulatedClass[] = [
  { name: 'long', perS: MIX_PER_S, urgent: false, uniqueTokens: 12_000, sharedTokens: 0, subjects: 1, pieces: 64, firstTokenMs: 1200, deadlineMs: 15_000, maxAttempts: 1, worth: 5.3 },
  { name: 'short', perS: 6 * MIX_PER_S, urgent: true, uniqueTokens: 2400, sharedTokens: 0, subjects: 1, pieces: 4, firstTokenMs: 500, deadlineMs: 3000, maxAttempts: 2, worth: 1.5 }
]
const ACCOUNTS = Array.from({ length: 10 }, () => 1)
const USUAL_LOAD = 0.7
const FROM_MS = 5000
const FOR_MS = 10_000

/** A load pattern: options of the simulation that differ from the usual load. */
export interface Pattern { name: string, options: Partial<PlacementSimulationOptions> & { callers: CallerOptions } }

/** Load at a multiple of what the endpoints can prefill, for 10 s. */
export const overload = (times: number): Pattern => ({ name: `${times} times the room`, options: { callers: { accounts: ACCOUNTS, timesAt: (ms) => (ms >= FROM_MS && ms < FROM_MS + FOR_MS ? times : USUAL_LOAD) } } })
const usual: CallerOptions = { accounts: ACCOUNTS, timesAt: () => USUAL_LOAD }
/** Load patterns. */
export const PATTERNS: readonly Pattern[] = [
  overload(0.7), overload(0.9),
  overload(1.5), overload(2), overload(4),
  { name: 'an account at 7.5 times its usual', options: { callers: { accounts: [7.5, ...ACCOUNTS.slice(1)], timesAt: () => USUAL_LOAD * 1.65 } } },
  { name: 'half of the endpoints lost for 4 s', options: { callers: usual, lossMs: [FROM_MS + 2000, FROM_MS + 6000] } },
  { name: 'all callers back at once after 3 s', options: { callers: { ...usual, outageMs: [FROM_MS + 2000, FROM_MS + 5000] } } }
]

/** Ways of choosing which requests are served. */
export const WAYS = {
  'first come, first served': { queue: () => new FifoQueue() },
  'priority with ageing': { queue: () => new OrderedQueue(byAgeingPriority) },
  'worth for each unit of work': { queue: () => new OrderedQueue(byWorthOfWork) },
  'fair queue': { queue: () => new FairQueue() },
  'fair queue and gate': { gate: true }
} satisfies Record<string, PlacementSimulationOptions['dispatcher']>

/** Name of one of {@linkcode WAYS}. */
export type Way = keyof typeof WAYS

/** `npm run bench -- scarcity`. */
export const scarcityBench: Bench = {
  name: 'scarcity',
  about: 'worth served by class, at 1.5 to 4 times the room and after failures, by way of choosing',
  run ({ seed, print }) {
    const rows = PATTERNS.flatMap((pattern) => [9, 68].flatMap((daemons) => (Object.keys(WAYS) as Way[]).map((way) => {
      const classes = replayPattern(pattern, { seed, daemons, way })
      const row = { pattern: pattern.name, daemons, way, worth: worthServed([...classes.values()]), ...Object.fromEntries([...classes].map(([name, results]) => [name, fractionsOf(results)])) }
      print(JSON.stringify(row))
      return row
    })))
    return { rows }
  }
}

/** Replays a pattern; counts the requests of the 10 s from its beginning. */
export function replayPattern ({ options }: Pattern, { seed, daemons, way }: { seed: number, daemons: number, way: Way }): Map<string, ClassResults> {
  return simulatePlacement({ seed, daemons, engines: ENGINES, engine: ENGINE, classes: CLASSES, spanMs: 30_000, warmupMs: FROM_MS, countUntilMs: FROM_MS + FOR_MS, dispatcher: WAYS[way], ...options })
}

/** Returns the worth served as a fraction of the worth asked. */
export function worthServed (classes: readonly ClassResults[]): number {
  const sum = (of: (results: ClassResults) => number) => classes.reduce((total, results) => total + of(results), 0)
  return round(sum(({ worthServed: worth }) => worth) / sum(({ worthAsked: worth }) => worth), 3)
}

function fractionsOf (results: ClassResults): Figures {
  const { asked, inTime, late, refusedByDaemon, heldThenRefused, refusedWithRoom, rejectedByEngine, byAccount } = results
  const fraction = (count: number) => round(count / Math.max(1, asked), 3)
  const parts = [...byAccount.values()].map((each) => each.inTime / each.asked)
  const mean = parts.reduce((sum, part) => sum + part, 0) / parts.length
  return {
    inTime: fraction(inTime),
    late: fraction(late),
    refused: fraction(refusedByDaemon),
    heldThenRefused: fraction(heldThenRefused),
    refusedWithRoom,
    rejectedByEngine: fraction(rejectedByEngine),
    leftWaiting: fraction(asked - inTime - late - refusedByDaemon - rejectedByEngine),
    largeInTime: round(results.large.inTime / Math.max(1, results.large.asked), 3),
    worstAccountOfMean: round(Math.min(...parts) / mean, 2)
  }
}
