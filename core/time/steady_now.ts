/**
 * Reads the steady clock, in milliseconds since the process started.
 *
 * The time of day may jump by seconds; a deadline, a pause or a lease measured by it would then be over too soon or never. Only what is told
 * to other processes or to people is in time of day.
 * @example `const startedAtMs = steadyNow()`
 */
export function steadyNow (): number {
  return performance.now()
}
