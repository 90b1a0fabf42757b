/** The time of day as most daemons see it, on hosts whose own may jump. */

/** Smaller differences are the way between two daemons and late timers, in milliseconds. */
const LEAST_CORRECTION_MS = 50

/** Options of {@linkcode SharedClock}. */
export interface SharedClockOptions {
  /** Time of day in milliseconds since the epoch, and the steady clock at the same moment. */
  wallMs: number
  steadyMs: number
}

/**
 * Time of day that runs with the steady clock and is corrected by what other daemons tell.
 *
 * The host's time of day is read once: a later jump of it changes nothing. A process that starts while it is off, or a host that was suspended
 * and whose steady clock stood still, is put right by the median of the others, as long as fewer than half of them are off.
 */
export class SharedClock {
  #aheadMs: number
  readonly #others = new Map<string, number>()

  constructor (options: SharedClockOptions) {
    this.#aheadMs = options.wallMs - options.steadyMs
  }

  /** Time of day in milliseconds since the epoch. */
  now (steadyMs: number): number {
    return steadyMs + this.#aheadMs
  }

  /** Takes in another daemon's time of day. */
  told (daemon: string, wallMs: number, steadyMs: number): void {
    this.#others.set(daemon, wallMs - steadyMs)
    const median = this.#median()
    if (Math.abs(median - this.#aheadMs) > LEAST_CORRECTION_MS) this.#aheadMs = median
  }

  /** Forgets a daemon that is gone. */
  forget (daemon: string): void {
    this.#others.delete(daemon)
  }

  #median (): number {
    const sorted = [...this.#others.values(), this.#aheadMs].sort((a, b) => a - b)
    return sorted[Math.floor(sorted.length / 2)]!
  }
}
