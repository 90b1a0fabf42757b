/** Estimates how fast KV caches are copied between the endpoints of one pool. */

/** A copy of a KV cache that was completed. */
export interface CompletedCopy {
  bytes: number
  tookMs: number
  /** True if source and target are in different failure domains. */
  betweenDomains: boolean
}

/** Copies between failure domains take this many times as long. */
export const BETWEEN_DOMAINS_FACTOR = 2
/** Rate assumed before the first copy, in bytes per millisecond. */
const INITIAL_BYTES_PER_MS = 10_000_000
/** Copies below this size show the time to set them up instead of the rate. */
const MIN_SAMPLE_BYTES = 1_000_000
/** Factor by which the estimate must rise for more streams to be worth planning. */
const NOTABLE_RISE = 1.2
/** Weight of a copy that was slower than the estimate. */
const SLOWER_WEIGHT = 0.2

/**
 * Learns the rate of copies within one failure domain. A copy may have waited for others on the same links, which only makes it look slower, so a faster
 * copy is believed at once and a slower one gradually.
 */
export class LinkEstimator {
  #bytesPerMs = INITIAL_BYTES_PER_MS

  /**
   * Adds a completed copy. Copies that are too small or took no time are ignored.
   * @returns True if the estimate has risen so far that more streams may fit a notice.
   */
  learn ({ bytes, tookMs, betweenDomains }: CompletedCopy): boolean {
    if (!(tookMs > 0) || bytes < MIN_SAMPLE_BYTES) return false
    const before = this.#bytesPerMs
    const bytesPerMs = bytes / tookMs * (betweenDomains ? BETWEEN_DOMAINS_FACTOR : 1)
    this.#bytesPerMs = bytesPerMs > this.#bytesPerMs ? bytesPerMs : this.#bytesPerMs + SLOWER_WEIGHT * (bytesPerMs - this.#bytesPerMs)
    return this.#bytesPerMs > before * NOTABLE_RISE
  }

  /** Returns the rate of a copy, in bytes per second. */
  bytesPerS (betweenDomains: boolean): number {
    return this.#bytesPerMs * 1000 / (betweenDomains ? BETWEEN_DOMAINS_FACTOR : 1)
  }
}
