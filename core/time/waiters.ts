/** Callers that wait until something changes, each for a limited time. */
export class Waiters {
  readonly #wakeups = new Set<() => void>()

  /**
   * Resolves at the next call of {@linkcode Waiters.wakeAll}, or after a timeout.
   * @param timeoutMs Timeout in milliseconds.
   * @example `await waiters.wait(100)`
   */
  wait (timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const done = () => {
        clearTimeout(timer)
        this.#wakeups.delete(done)
        resolve()
      }
      const timer = setTimeout(done, timeoutMs)
      this.#wakeups.add(done)
    })
  }

  /** Ends the wait of all callers. Those that wait again meanwhile are not affected. */
  wakeAll (): void {
    for (const wake of [...this.#wakeups]) wake()
  }
}
