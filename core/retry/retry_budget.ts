/** Limits retries to a fraction of fresh work. */

/** Options of {@linkcode RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries earned by one fresh request, asked each time where it changes. Default 0.1. */
  fraction?: number | (() => number)
  /** Retries that may be saved up, asked each time where it changes. Default 10. */
  burst?: number | (() => number)
  /** Part of the burst that is saved up at first. Default 1. */
  startFull?: number
  /** Count retries away from endpoints that are gone, too. Default false: leaving those is no storm, and free. */
  countsGone?: boolean
}

/** Grants or denies the sending of a request to another endpoint. */
export interface RepeatBudget {
  /** Counts a fresh request. */
  earn (): void
  /** Takes one repeat when the budget allows it. `endpointGone`: the endpoint before is leaving or gone. */
  spend (endpointGone: boolean): boolean
}

const DEFAULT_FRACTION = 0.1
const DEFAULT_BURST = 10

/**
 * Grants retries out of a budget that fresh requests fill.
 *
 * Guards against a retry storm: when a domain goes, each failure would otherwise double the load on what is left. With the budget
 * spent, retries stop at a tenth of fresh work however many attempts fail.
 */
export class RetryBudget implements RepeatBudget {
  readonly #options: RetryBudgetOptions
  #saved: number

  constructor (options: RetryBudgetOptions = {}) {
    this.#options = options
    this.#saved = this.#burst * (options.startFull ?? 1)
  }

  /** Counts a fresh request. */
  earn (): void {
    this.#saved = Math.min(this.#burst, this.#saved + valueOf(this.#options.fraction ?? DEFAULT_FRACTION))
  }

  /** Takes one retry when the budget allows it. */
  spend (endpointGone = false): boolean {
    if (endpointGone && !this.#options.countsGone) return true
    if (this.#saved < 1) return false
    this.#saved -= 1
    return true
  }

  get #burst (): number { return valueOf(this.#options.burst ?? DEFAULT_BURST) }
}

function valueOf (setting: number | (() => number)): number {
  return typeof setting === 'function' ? setting() : setting
}
