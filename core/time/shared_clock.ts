/** Time of day agreed between daemons, for hosts whose system clock may jump. */

/** Minimum correction in milliseconds; smaller differences are due to network latency and late timers. */
const MIN_CORRECTION_MS = 50

/** Options of {@linkcode SharedClock}. */
export interface SharedClockOptions {
  /** Initial time of day in milliseconds since the epoch. */
  wallMs: number
  /** Steady clock in milliseconds at the same moment. */
  steadyMs: number
}

/**
 * Time of day that advances with the steady clock and is corrected by the clocks of other daemons.
 *
 * The system clock is read only once, so later jumps have no effect. A wrong system clock at the start of the process, or a steady clock that stopped while
 * the host was suspended, is corrected by the median of all daemons, as long as fewer than half of them are wrong.
 */
export class SharedClock {
  #offsetMs: number
  readonly #peerOffsetsMs = new Map<string, number>()

  constructor (options: SharedClockOptions) {
    this.#offsetMs = options.wallMs - options.steadyMs
  }

  /** Returns the time of day in milliseconds since the epoch. */
  now (steadyMs: number): number {
    return steadyMs + this.#offsetMs
  }

  /** Records the time of day of another daemon and corrects this clock if it differs from the median. */
  told (daemon: string, wallMs: number, steadyMs: number): void {
    this.#peerOffsetsMs.set(daemon, wallMs - steadyMs)
    const median = this.#medianOffsetMs()
    if (Math.abs(median - this.#offsetMs) > MIN_CORRECTION_MS) this.#offsetMs = median
  }

  /** Removes a departed daemon. */
  forget (daemon: string): void {
    this.#peerOffsetsMs.delete(daemon)
  }

  #medianOffsetMs (): number {
    const sorted = [...this.#peerOffsetsMs.values(), this.#offsetMs].sort((a, b) => a - b)
    return sorted[Math.floor(sorted.length / 2)]!
  }
}
