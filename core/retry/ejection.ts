/** Outlier ejection: decides how long a failing endpoint receives no requests. */

const FAILURES_TO_EJECT = 3
const BASE_EJECTION_MS = 1000
const MAX_EJECTION_MS = 30_000

/** Consecutive failures of an endpoint, as observed by this daemon. Times are in milliseconds on its clock. */
export interface FailureCount {
  consecutive: number
  /** End of the last ejection. */
  untilMs: number
  /** Start of the last ejection; `-Infinity` before the first. */
  ejectedAtMs: number
}

/** The record of an endpoint without failures. */
export const NO_FAILURES: FailureCount = { consecutive: 0, untilMs: 0, ejectedAtMs: -Infinity }

/**
 * Records a failure. From the third consecutive failure on, the endpoint is ejected, for twice as long each time.
 *
 * A request that was sent before the endpoint was ejected adds nothing: many requests that fail together show one fault, not a lasting one.
 * @param failure.sentAtMs When the failed request was sent. Times are in milliseconds on the daemon's clock.
 */
export function recordFailure (count: FailureCount, failure: { sentAtMs: number, now: number }): FailureCount {
  if (failure.sentAtMs < count.ejectedAtMs) return count
  const consecutive = count.consecutive + 1
  if (consecutive < FAILURES_TO_EJECT) return { ...count, consecutive }
  const ejectionMs = Math.min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2 ** (consecutive - FAILURES_TO_EJECT))
  return { consecutive, untilMs: failure.now + ejectionMs, ejectedAtMs: failure.now }
}
