/** Limits retries to a fraction of fresh work. */

/** Options of {@linkcode RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries earned by one fresh request. Default 0.1. */
  fraction?: number
  /** Retries that may be saved up. Default 10. */
  burst?: number
}

/** Grants or denies the sending of a request to another endpoint. */
export interface RepeatBudget {
  /** Counts a fresh request. */
  earn (): void
  /** Takes one repeat when the budget allows it. `endpointGone`: the endpoint before is leaving or gone. */
  spend (endpointGone: boolean): boolean
}

/**
 * Grants retries out of a budget that fresh requests fill.
 *
 * Guards against a retry storm: when a domain goes, each failure would otherwise double the load on what is left. With the budget
 * spent, retries stop at a tenth of fresh work however many attempts fail.
 */
export class RetryBudget implements RepeatBudget {
  readonly #fraction: number
  readonly #burst: number
  #saved: number

  constructor (options: RetryBudgetOptions = {}) {
    this.#fraction = options.fraction ?? 0.1
    this.#burst = options.burst ?? 10
    this.#saved = this.#burst
  }

  /** Counts a fresh request. */
  earn (): void {
    this.#saved = Math.min(this.#burst, this.#saved + this.#fraction)
  }

  /** Takes one retry when the budget allows it. Leaving an endpoint that is gone is no storm, and free. */
  spend (endpointGone = false): boolean {
    if (endpointGone) return true
    if (this.#saved < 1) return false
    this.#saved -= 1
    return true
  }
}
