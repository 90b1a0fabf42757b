/** Decides which bytes may cross a shared link now, the most valuable first. */

/**
 * What bytes are for, in the order in which they cross.
 *
 * `control` keeps the fleet together and is never held back; `call` is a small request or one that may not be repeated elsewhere; `bulk` is everything else.
 */
export type LinkPriority = 'control' | 'call' | 'bulk'

/** Options of {@linkcode LinkBudget}. */
export interface LinkBudgetOptions {
  /** Returns the rate in bytes per second. */
  bytesPerS (): number
}

/** Time for which unused rate accumulates, in milliseconds. */
const BURST_MS = 250
/** Least burst in bytes: one prompt must fit, or none would ever cross a slow link. */
const MIN_BURST_BYTES = 65_536
/** Part of the burst that bulk leaves for calls. */
const RESERVED_FOR_CALLS = 0.25
/** Debt up to which calls may cross, as a part of the burst. */
const MAX_CALL_DEBT = 1
const MS_PER_S = 1000

/** Token bucket with priorities: control always crosses and calls may run into debt, both at the cost of bulk. */
export class LinkBudget {
  readonly #options: LinkBudgetOptions
  #level: number
  #atMs: number | undefined

  constructor (options: LinkBudgetOptions) {
    this.#options = options
    this.#level = this.#burst
  }

  /** Returns true if bytes of a priority may cross now; what crosses must be reported to {@linkcode LinkBudget.crossed}. */
  mayCross (bytes: number, priority: LinkPriority, now: number): boolean {
    this.#refill(now)
    if (priority === 'control') return true
    if (priority === 'call') return this.#level > -this.#burst * MAX_CALL_DEBT
    return this.#level - bytes >= this.#burst * RESERVED_FOR_CALLS || this.#level >= this.#burst
  }

  /** Counts bytes that crossed. */
  crossed (bytes: number, now: number): void {
    this.#refill(now)
    this.#level -= bytes
  }

  get #burst (): number {
    return Math.max(MIN_BURST_BYTES, this.#options.bytesPerS() * BURST_MS / MS_PER_S)
  }

  #refill (now: number): void {
    const elapsedMs = this.#atMs === undefined ? 0 : Math.max(0, now - this.#atMs)
    this.#atMs = Math.max(now, this.#atMs ?? now)
    this.#level = Math.min(this.#burst, this.#level + this.#options.bytesPerS() * elapsedMs / MS_PER_S)
  }
}
