/** Rate at which requests start while others wait. */

/** Weight of the latest sample in the moving average of the time between starts. */
const RATE_SMOOTHING = 0.2

/** Measures the time between starts while requests wait. */
export class StartRate {
  #lastStartMs: number
  /** Moving average of the time between starts, in milliseconds; 0 before the first. */
  msPerStart = 0

  constructor (now: number) {
    this.#lastStartMs = now
  }

  /** Records a start. */
  started (now: number, { isQueued }: { isQueued: boolean }): void {
    if (isQueued) this.msPerStart += RATE_SMOOTHING * (now - this.#lastStartMs - this.msPerStart)
    this.#lastStartMs = now
  }
}
