/** Rate of work over the last second. */

/** Time over which the weight of past work falls to 1/e, in milliseconds. */
const DEFAULT_WINDOW_MS = 1000

/** Exponentially weighted rate of work, in tokens per millisecond. */
export class WorkRate {
  readonly #windowMs: number
  #perMs = 0
  #atMs = 0

  constructor ({ windowMs = DEFAULT_WINDOW_MS }: { windowMs?: number } = {}) {
    this.#windowMs = windowMs
  }

  /** Counts work. */
  add (tokens: number, now: number): void {
    this.#perMs = this.perMs(now) + tokens / this.#windowMs
    this.#atMs = now
  }

  /** Returns the rate, in tokens per millisecond. */
  perMs (now: number): number {
    return this.#perMs * Math.exp((this.#atMs - now) / this.#windowMs)
  }
}
