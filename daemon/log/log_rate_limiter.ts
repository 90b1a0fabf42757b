/** Rate limit of log lines, by event and in total. */

/** Options of {@linkcode LogRateLimiter}. */
export interface LogRateLimiterOptions {
  /** Maximum lines per second of one event. Default 200. */
  perEvent?: number
  /** Maximum lines per second of all routine events. Default 400. */
  routine?: number
  /** Maximum lines per second of all events, warnings included. Default 800. */
  total?: number
}

/**
 * A request writes three routine lines, so 200 lines of each event suffice for a daemon at eight times its usual load. Beyond that, logging
 * takes CPU time that requests need.
 */
const DEFAULT_PER_EVENT = 200
const DEFAULT_ROUTINE = 400
/** With lines of up to 500 bytes, 400 KB per second. */
const DEFAULT_TOTAL = 800
const WINDOW_MS = 1000

/** Counts lines in windows of one second. */
export class LogRateLimiter {
  readonly #limits: Required<LogRateLimiterOptions>
  readonly #written = new Map<string, number>()
  readonly #dropped = new Map<string, number>()
  #windowStartMs = -Infinity
  #routine = 0
  #total = 0

  constructor (options: LogRateLimiterOptions = {}) {
    this.#limits = { perEvent: DEFAULT_PER_EVENT, routine: DEFAULT_ROUTINE, total: DEFAULT_TOTAL, ...options }
  }

  /** Returns true if a line may be written; otherwise counts it as dropped. */
  tryAcquire (event: string, options: { warning: boolean, now: number }): boolean {
    this.#startWindow(options.now)
    const { perEvent, routine, total } = this.#limits
    const written = this.#written.get(event) ?? 0
    if (written >= perEvent || this.#total >= total || (!options.warning && this.#routine >= routine)) {
      this.#dropped.set(event, (this.#dropped.get(event) ?? 0) + 1)
      return false
    }
    this.#written.set(event, written + 1)
    this.#total++
    if (!options.warning) this.#routine++
    return true
  }

  /** Returns and resets the counts of dropped lines by event; undefined if there are none. */
  takeDropped (): Record<string, number> | undefined {
    if (this.#dropped.size === 0) return undefined
    const counts = Object.fromEntries(this.#dropped)
    this.#dropped.clear()
    return counts
  }

  #startWindow (now: number): void {
    if (now - this.#windowStartMs < WINDOW_MS) return
    this.#windowStartMs = now
    this.#written.clear()
    this.#routine = 0
    this.#total = 0
  }
}
