/**
 * Returns a promise that resolves after a delay. Uses the timers of the runtime, which tests can pause and advance.
 * @param ms Delay in milliseconds.
 * @example `await delay(100)`
 */
export function delay (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
