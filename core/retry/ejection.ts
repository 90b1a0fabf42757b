/** Outlier ejection: decides how long a failing endpoint receives no requests. */

const FAILURES_TO_EJECT = 3
const BASE_EJECTION_MS = 1000
const MAX_EJECTION_MS = 30_000

/** Consecutive failures of an endpoint, as observed by this daemon. */
export interface FailureCount { consecutive: number, untilMs: number }

/** The record of an endpoint without failures. */
export const NO_FAILURES: FailureCount = { consecutive: 0, untilMs: 0 }

/**
 * Records a failure. From the third consecutive failure on, the endpoint is ejected, for twice as long each time.
 * @returns The new record, with `untilMs` in milliseconds on the daemon's clock.
 */
export function recordFailure (count: FailureCount, now: number): FailureCount {
  const inRow = count.consecutive + 1
  if (inRow < FAILURES_TO_EJECT) return { consecutive: inRow, untilMs: count.untilMs }
  const ejectionMs = Math.min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2 ** (inRow - FAILURES_TO_EJECT))
  return { consecutive: inRow, untilMs: now + ejectionMs }
}
