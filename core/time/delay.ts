/**
 * Waits on the runtime's clock, which tests pause and advance.
 * @param ms Milliseconds.
 * @example `await delay(100)`
 */
export function delay (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
