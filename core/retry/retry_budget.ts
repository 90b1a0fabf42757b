/** Limits retries to a fraction of first attempts. */

/** Options of {@linkcode RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries earned by each first attempt; a function is evaluated on every use. Default: 0.1. */
  fraction?: number | (() => number)
  /** Maximum number of accumulated retries; a function is evaluated on every use. Default: 10. */
  burst?: number | (() => number)
  /** Initial balance as a fraction of the burst. Default: 1. */
  initialFill?: number
  /** Whether retries of requests from a leaving or lost endpoint count. Default: false, since moving those causes no retry storm. */
  includeGoneEndpoints?: boolean
}

/** Grants or denies retries of requests on another endpoint. */
export interface RetryLimiter {
  /** Counts a first attempt. */
  deposit (): void
  /**
   * Consumes one retry if the budget allows it.
   * @param endpointGone Whether the previous endpoint is leaving or lost.
   * @returns Whether the retry is granted.
   */
  tryWithdraw (endpointGone: boolean): boolean
}

const DEFAULT_FRACTION = 0.1
const DEFAULT_BURST = 10

/**
 * Token bucket of retries that first attempts refill.
 *
 * Guards against retry storms: after the loss of a failure domain, each failure would otherwise double the load on the remaining endpoints.
 * With the bucket empty, retries are limited to a tenth of first attempts by default, however many attempts fail.
 */
export class RetryBudget implements RetryLimiter {
  readonly #options: RetryBudgetOptions
  #balance: number

  constructor (options: RetryBudgetOptions = {}) {
    this.#options = options
    this.#balance = this.#burst * (options.initialFill ?? 1)
  }

  /** Counts a first attempt. */
  deposit (): void {
    this.#balance = Math.min(this.#burst, this.#balance + resolve(this.#options.fraction ?? DEFAULT_FRACTION))
  }

  /** Consumes one retry if the budget allows it. */
  tryWithdraw (endpointGone = false): boolean {
    if (endpointGone && !this.#options.includeGoneEndpoints) return true
    if (this.#balance < 1) return false
    this.#balance -= 1
    return true
  }

  get #burst (): number { return resolve(this.#options.burst ?? DEFAULT_BURST) }
}

function resolve (setting: number | (() => number)): number {
  return typeof setting === 'function' ? setting() : setting
}
