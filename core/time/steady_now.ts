/**
 * Returns the monotonic clock in milliseconds since the process started.
 *
 * The system clock may jump by seconds, so that deadlines, delays and leases measured with it would end too early or never. Time of day is used only for
 * values that are shown to users or sent to other processes.
 * @example `const startedAtMs = steadyNow()`
 */
export function steadyNow (): number {
  return performance.now()
}
