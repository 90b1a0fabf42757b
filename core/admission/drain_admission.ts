/** Decides which requests a daemon still takes while it drains, by the time that they take and the time that it has left. */

/** Times of a drain, in milliseconds on the daemon's clock. */
export interface DrainTimes {
  /** Until then the balancer may send new callers here. */
  listensUntilMs: number
  /** When requests that still run are cut. */
  endsAtMs: number
}

/** Answers of a class whose times are kept: enough to tell nine in ten from all. */
const KEPT = 50
/** Answers of a class from which on its time counts as known. */
const MIN_KNOWN = 5
const SLOW_FRACTION = 0.9
/** Classes whose times are kept. */
const MAX_CLASSES = 200

/** Admission of requests by a daemon that may leave before they end. */
export class DrainAdmission {
  readonly #tookMs = new Map<string, number[]>()
  #times: DrainTimes | undefined

  /** Must be called with the time in which a request of the class was answered, in milliseconds since it arrived. */
  answered (cls: string, tookMs: number): void {
    const kept = this.#tookMs.get(cls) ?? []
    this.#tookMs.delete(cls)
    this.#tookMs.set(cls, kept)
    kept.push(tookMs)
    if (kept.length > KEPT) kept.shift()
    if (this.#tookMs.size > MAX_CLASSES) this.#tookMs.delete(this.#tookMs.keys().next().value!)
  }

  /** Must be called when the drain begins. */
  startDraining (times: DrainTimes): void {
    this.#times = times
  }

  /**
   * Returns true if a request ends in time: at its deadline, or, while the balancer sends callers, if nine in ten of its class do so or that is not known. Few come later, and a
   * run that is cut costs its caller more than another daemon does.
   */
  admits (cls: string, { deadlineInMs, now }: { deadlineInMs: number, now: number }): boolean {
    if (!this.#times) return true
    const leftMs = this.#times.endsAtMs - now
    if (deadlineInMs <= leftMs) return true
    return now < this.#times.listensUntilMs && (this.#slowMs(cls) ?? 0) <= leftMs
  }

  #slowMs (cls: string): number | undefined {
    const kept = this.#tookMs.get(cls)
    if (!kept || kept.length < MIN_KNOWN) return undefined
    return kept.toSorted((a, b) => a - b)[Math.floor(kept.length * SLOW_FRACTION)]
  }
}
