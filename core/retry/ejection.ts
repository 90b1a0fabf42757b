/** Decides how long an endpoint that fails is left alone. */

const FAILURES_TO_EJECT = 3
const FIRST_EJECTION_MS = 1000
const LONGEST_EJECTION_MS = 30_000

/** Failures of one endpoint in a row, as this daemon saw them. */
export interface FailureCount { inRow: number, untilMs: number }

/** A record for an endpoint that has not failed. */
export const NO_FAILURES: FailureCount = { inRow: 0, untilMs: 0 }

/**
 * Counts a failure and ejects the endpoint from the third in a row, twice as long each time.
 * @returns The new record; `untilMs` is on the daemon's clock.
 */
export function countFailure (count: FailureCount, now: number): FailureCount {
  const inRow = count.inRow + 1
  if (inRow < FAILURES_TO_EJECT) return { inRow, untilMs: count.untilMs }
  const ms = Math.min(LONGEST_EJECTION_MS, FIRST_EJECTION_MS * 2 ** (inRow - FAILURES_TO_EJECT))
  return { inRow, untilMs: now + ms }
}
