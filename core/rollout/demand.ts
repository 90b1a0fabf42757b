/** Estimates how many requests of each class the daemons get. */
import type { ClassName, DaemonId } from '../ids/index.ts'

/** Request rate of a class at a daemon, per second. */
export interface DaemonDemand {
  daemon: DaemonId
  cls: ClassName
  perS: number
}

/** Requests of a class that a daemon has got. */
export interface RequestCount {
  daemon: DaemonId
  cls: ClassName
  count: number
}

/** Options of {@linkcode estimateDemand}. */
export interface EstimateDemandOptions {
  /** Daemons that take requests. */
  daemons: readonly DaemonId[]
  /** Time since counting began, in milliseconds. */
  ageMs: number
}

/** Time within which each daemon has reported a request, in milliseconds. */
const REPORT_LAG_MS = 1100
/** Minimum time in which requests were counted, in milliseconds. */
const MIN_COUNTED_MS = 1000
/** Weight of the fleet's mean rate in that of one daemon, in requests. */
const PRIOR_REQUESTS = 1
const MS_PER_S = 1000

/** Returns true once every daemon has reported for long enough that the demand is not underestimated. */
export function isDemandKnown (ageMs: number): boolean {
  return ageMs >= REPORT_LAG_MS + MIN_COUNTED_MS
}

/**
 * Estimates the rate of each class at each daemon from its own count and the fleet's (gamma prior on a Poisson rate).
 *
 * In a large fleet most daemons have got no request of a low-traffic class yet, and most of its next requests arrive at those.
 */
export function estimateDemand (counts: readonly RequestCount[], { daemons, ageMs }: EstimateDemandOptions): DaemonDemand[] {
  const seconds = Math.max(MIN_COUNTED_MS, ageMs - REPORT_LAG_MS) / MS_PER_S
  const byClass = new Map<ClassName, Map<DaemonId, number>>()
  for (const { daemon, cls, count } of counts) {
    const known = byClass.get(cls) ?? new Map<DaemonId, number>()
    byClass.set(cls, known.set(daemon, count))
  }
  return [...byClass].flatMap(([cls, known]) => {
    const total = daemons.reduce((sum, daemon) => sum + (known.get(daemon) ?? 0), 0)
    if (total === 0) return []
    const meanPerS = total / seconds / daemons.length
    const priorSeconds = PRIOR_REQUESTS / meanPerS
    return daemons.map((daemon) => ({ daemon, cls, perS: ((known.get(daemon) ?? 0) + PRIOR_REQUESTS) / (seconds + priorSeconds) }))
  })
}
