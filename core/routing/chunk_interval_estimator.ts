/** Learns the interval between chunks of streams. */

/** Options of {@linkcode ChunkIntervalEstimator}. */
export interface ChunkIntervalEstimatorOptions {
  /** Weight of one interval. Default 0.1: one second of a handful of streams distinguishes a slow endpoint from a temporary delay. */
  smoothing?: number
}

const DEFAULT_SMOOTHING = 0.1
/** Weight of one interval in the estimate for a whole pool. It is small, so that one slow endpoint does not shift the pool's typical interval. */
export const POOL_SMOOTHING = 0.01
/** Age at which samples expire, in milliseconds. An endpoint without recent samples gets work again, which yields new ones. */
const MAX_SAMPLE_AGE_MS = 2500
/** Minimum number of samples for an estimate. */
const MIN_SAMPLES = 3

/** Estimates the typical interval between chunks for the streams of an endpoint or of a pool. */
export class ChunkIntervalEstimator {
  readonly #smoothing: number
  #meanMs = 0
  #samples = 0
  #lastSampleAtMs = -Infinity

  constructor (options: ChunkIntervalEstimatorOptions = {}) {
    this.#smoothing = options.smoothing ?? DEFAULT_SMOOTHING
  }

  /** Adds the interval between two chunks of one stream. */
  learn (intervalMs: number, now: number): void {
    if (now - this.#lastSampleAtMs > MAX_SAMPLE_AGE_MS) this.#samples = 0
    this.#meanMs = this.#samples === 0 ? intervalMs : this.#meanMs + this.#smoothing * (intervalMs - this.#meanMs)
    this.#samples++
    this.#lastSampleAtMs = now
  }

  /** Returns the typical interval in milliseconds; undefined if there are too few recent samples. */
  intervalMs (now: number): number | undefined {
    return this.#samples >= MIN_SAMPLES && now - this.#lastSampleAtMs <= MAX_SAMPLE_AGE_MS ? this.#meanMs : undefined
  }
}

/** Ratio to the pool's typical interval from which an endpoint counts as slow. A full batch alone makes intervals 1.4 times as long. */
const MIN_SLOWDOWN = 2

/**
 * Returns how many times slower an endpoint is than its pool, or 1 if it is not slow.
 *
 * An endpoint may become slow while its streams run. First tokens show this only after requests were already late, whereas every chunk of every stream shows
 * it immediately.
 */
export function slowdownFactor (endpoint: ChunkIntervalEstimator | undefined, pool: ChunkIntervalEstimator | undefined, now: number): number {
  const intervalMs = endpoint?.intervalMs(now)
  const poolIntervalMs = pool?.intervalMs(now)
  if (intervalMs === undefined || poolIntervalMs === undefined || poolIntervalMs <= 0) return 1
  const factor = intervalMs / poolIntervalMs
  return factor >= MIN_SLOWDOWN ? factor : 1
}
