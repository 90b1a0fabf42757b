/** Bounds how many lines a second are written, event by event. */

/** Options of {@linkcode LineBudget}. */
export interface LineBudgetOptions {
  /** Lines of one event in a second. Default 200. */
  perEvent?: number
  /** Lines of all routine events in a second. Default 400. */
  routine?: number
  /** Lines of all events in a second, those of trouble included. Default 800. */
  all?: number
}

/**
 * A request writes three routine lines, so that 200 of each event hold what one daemon carries at eight times its usual load; beyond that a line
 * more costs processor time which requests need.
 */
const DEFAULT_PER_EVENT = 200
const DEFAULT_ROUTINE = 400
/** At up to half a kilobyte a line, 400 KB a second. */
const DEFAULT_ALL = 800
const WINDOW_MS = 1000

/** Counts the lines of each second. */
export class LineBudget {
  readonly #limits: Required<LineBudgetOptions>
  readonly #written = new Map<string, number>()
  readonly #leftOut = new Map<string, number>()
  #fromMs = -Infinity
  #routine = 0
  #all = 0

  constructor (options: LineBudgetOptions = {}) {
    this.#limits = { perEvent: DEFAULT_PER_EVENT, routine: DEFAULT_ROUTINE, all: DEFAULT_ALL, ...options }
  }

  /** True when a line may be written; otherwise it is counted as left out. */
  spend (event: string, options: { trouble: boolean, now: number }): boolean {
    this.#turn(options.now)
    const { perEvent, routine, all } = this.#limits
    const written = this.#written.get(event) ?? 0
    if (written >= perEvent || this.#all >= all || (!options.trouble && this.#routine >= routine)) {
      this.#leftOut.set(event, (this.#leftOut.get(event) ?? 0) + 1)
      return false
    }
    this.#written.set(event, written + 1)
    this.#all++
    if (!options.trouble) this.#routine++
    return true
  }

  /** Takes the counts of lines that were left out since the last call; undefined when there were none. */
  takeLeftOut (): Record<string, number> | undefined {
    if (this.#leftOut.size === 0) return undefined
    const counts = Object.fromEntries(this.#leftOut)
    this.#leftOut.clear()
    return counts
  }

  #turn (now: number): void {
    if (now - this.#fromMs < WINDOW_MS) return
    this.#fromMs = now
    this.#written.clear()
    this.#routine = 0
    this.#all = 0
  }
}
