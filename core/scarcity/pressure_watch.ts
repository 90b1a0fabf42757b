/** Tells lasting overload from a burst. */

/** Mean wait above which endpoints count as overloaded, as a multiple of the first-token target. */
const OVERLOAD_WAIT_IN_TARGETS = 0.4
/** Time for which the wait must have been so long, in milliseconds: about one load report. */
const MIN_OVERLOAD_MS = 100
/** Time since the last long wait after which the overload is over, in milliseconds. Refusals keep waits short while the load lasts. */
const END_AFTER_MS = 5000

/**
 * Watches how long requests wait at the endpoints of one pool.
 *
 * Load pattern: a few long prompts that arrive together at an otherwise idle pool make some requests late. Refusing them would serve nobody, since the room
 * that they leave stays unused.
 */
export class PressureWatch {
  #sinceMs: number | undefined
  #lastMs = -Infinity

  /** Records the mean wait that a request meets, as a multiple of its first-token target, and returns true while the pool is overloaded. */
  observe (waitInTargets: number, now: number): boolean {
    if (waitInTargets > OVERLOAD_WAIT_IN_TARGETS) {
      this.#sinceMs ??= now
      this.#lastMs = now
    } else if (now - this.#lastMs > END_AFTER_MS) {
      this.#sinceMs = undefined
    }
    return this.#sinceMs !== undefined && now - this.#sinceMs >= MIN_OVERLOAD_MS
  }
}
