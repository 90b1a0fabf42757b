/** A token bucket that several daemons can account for, each for a share of the fleet. */

/** Options of {@linkcode SharedBucket}. */
export interface SharedBucketOptions {
  /** Refill rate for all daemons together, in tokens per second. */
  perS: number
  /** Maximum number of tokens. */
  capacity: number
  /** Initial number of tokens; lower than the capacity, since earlier use is unknown. */
  initial: number
  /** Current time in milliseconds, on the monotonic clock. */
  now: number
}

const MS_PER_S = 1000
/** Minimum share assumed when computing waits: a keeper without votes is expected to receive some soon. */
const MIN_SHARE = 0.1
/** Maximum retry delay, in milliseconds; without it, the delays of an account at many times its quota would grow without bound. */
const MAX_WAIT_MS = 8000
/** Time constant of the exponential decay of an account's largest request, in milliseconds. */
const LARGEST_DECAY_MS = 30_000
/** Maximum admission threshold, as a fraction of the capacity: otherwise a single huge request would cause all others to be rejected for seconds. */
const MAX_THRESHOLD_FRACTION = 0.25
/**
 * Fraction of the refill that cheap requests may use while the level is below the admission threshold; up to one second's worth accumulates.
 * Within this allowance the cheapest requests come first, since that serves most callers, and the rest remains for large requests.
 */
const CHEAP_FRACTION = 0.25
/** Weight of one request in the moving average of the cost; requests at or below the average count as cheap. */
const COST_SMOOTHING = 0.02

/**
 * Token bucket whose instances together never admit more than a single bucket would.
 *
 * An instance that accounts for a share of the daemons uses only that share of the level and of the refill, and reserves the rest for the
 * instances that account for the others. The reserve is released as its share grows. Shares are based on daemon counts, so the shares of
 * two sides of a partition never exceed one in total.
 */
export class SharedBucket {
  #perS: number
  #capacity: number
  #level: number
  /** Tokens reserved for daemons outside the share. */
  #reserved = 0
  #share = 1
  /** Cost of rejected requests that are due to be retried before the next one. */
  #pendingRetryTokens = 0
  /** Cost of the largest recent request, with exponential decay. */
  #recentLargest = 0
  /** Moving average of the cost of a request. */
  #meanCost = 0
  /** Tokens that cheap requests may use while the level is below the admission threshold. */
  #cheapAllowance = 0
  #atMs: number

  constructor (options: SharedBucketOptions) {
    this.#perS = options.perS
    this.#capacity = options.capacity
    this.#level = Math.min(options.initial, options.capacity)
    this.#atMs = options.now
  }

  /** Tokens over all shares; negative after more was used than available. */
  get level (): number { return this.#level + this.#reserved }

  /** Maximum number of tokens over all shares. */
  get capacity (): number { return this.#capacity }

  /** Changes the limits; lower ones take effect immediately. */
  resize (limits: { perS: number, capacity: number }): void {
    this.#perS = limits.perS
    this.#capacity = limits.capacity
    this.#level = Math.min(this.#level, this.#capacity * this.#share)
    this.#reserved = Math.min(this.#reserved, this.#capacity * (1 - this.#share))
  }

  /**
   * Refills the bucket and returns the number of available tokens.
   * @param share Share of the daemons that this instance accounts for, in [0, 1].
   */
  room (now: number, share: number): number {
    this.#setShare(share)
    const elapsedMs = Math.max(0, now - this.#atMs)
    const refill = this.#perS * elapsedMs / MS_PER_S
    this.#atMs = Math.max(this.#atMs, now)
    this.#level = Math.min(this.#capacity * share, this.#level + refill * share)
    this.#pendingRetryTokens = Math.max(0, this.#pendingRetryTokens - refill * share)
    this.#recentLargest *= Math.exp(-elapsedMs / LARGEST_DECAY_MS)
    this.#cheapAllowance = Math.min(CHEAP_FRACTION * this.#perS * share, this.#cheapAllowance + CHEAP_FRACTION * refill * share)
    this.#reserved = Math.min(this.#capacity * (1 - share), this.#reserved + refill * (1 - share))
    return this.#level
  }

  /**
   * Returns the level required to admit a request: the cost of the largest recent request, or the request's own cost for cheap requests within
   * their allowance.
   *
   * If each request only required its own cost, small requests would use up the refill before the level sufficed for a large one, and an
   * account over its quota would never be granted a large request.
   * @param tokens Cost of the request.
   */
  admissionThreshold (tokens: number): number {
    this.#recentLargest = Math.max(this.#recentLargest, tokens)
    this.#meanCost += COST_SMOOTHING * (tokens - this.#meanCost)
    if (tokens <= Math.min(this.#meanCost, this.#cheapAllowance)) {
      this.#cheapAllowance -= tokens
      return tokens
    }
    return Math.max(tokens, Math.min(this.#recentLargest, this.#capacity * this.#share * MAX_THRESHOLD_FRACTION))
  }

  /**
   * Rejects a request and returns the delay until it can be admitted, in milliseconds.
   *
   * The delay accounts for requests rejected earlier: based on the current deficit only, all of them would be retried within milliseconds of
   * each other and rejected again.
   * @param tokens Cost of the request.
   * @param threshold Level required to admit it. Default: `tokens`.
   */
  reject (tokens: number, threshold = tokens): number {
    const refillPerS = this.#perS * Math.max(this.#share, MIN_SHARE)
    const waitMs = (Math.max(0, threshold - this.#level) + this.#pendingRetryTokens) * MS_PER_S / refillPerS
    this.#pendingRetryTokens += tokens
    return Math.min(waitMs, MAX_WAIT_MS)
  }

  /** Consumes tokens; a negative number refunds them. */
  consume (tokens: number): void {
    this.#level -= tokens
  }

  /** Lowers the level to one reported by another instance, which reflects use that this one has not seen. */
  lowerTo (level: number): void {
    const excess = this.level - level
    if (excess <= 0) return
    this.#level -= excess * this.#share
    this.#reserved -= excess * (1 - this.#share)
  }

  #setShare (share: number): void {
    if (share < this.#share) {
      const reserved = Math.max(0, this.#level) * (1 - share / this.#share)
      this.#level -= reserved
      this.#reserved += reserved
    } else if (share > this.#share) {
      const released = this.#reserved * (share - this.#share) / (1 - this.#share)
      this.#reserved -= released
      this.#level += released
    }
    this.#share = share
  }
}
