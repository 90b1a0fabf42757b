/** How far apart the pieces of streams come, learnt from those that came. */

/** Options of {@linkcode StreamRhythm}. */
export interface StreamRhythmOptions {
  /** Weight of one pause. Default 0.1: a second of a handful of streams tells a slow endpoint from a busy moment. */
  smoothing?: number
}

const DEFAULT_SMOOTHING = 0.1
/** Weight of one pause among those of all endpoints of a pool: one slow endpoint may not make itself usual. */
export const POOL_SMOOTHING = 0.01
/** Pauses that were seen this long ago say nothing of an endpoint now, in milliseconds: it gets work again, and shows. */
const FRESH_MS = 2500
/** Fewer pauses than this tell nothing. */
const LEAST_SAMPLES = 3

/** Typical pause of the streams of one endpoint, or of all of a pool. */
export class StreamRhythm {
  readonly #smoothing: number
  #pauseMs = 0
  #samples = 0
  #learntAtMs = -Infinity

  constructor (options: StreamRhythmOptions = {}) {
    this.#smoothing = options.smoothing ?? DEFAULT_SMOOTHING
  }

  /** Takes in the time between two pieces of one stream. */
  learn (pauseMs: number, now: number): void {
    if (now - this.#learntAtMs > FRESH_MS) this.#samples = 0
    this.#pauseMs = this.#samples === 0 ? pauseMs : this.#pauseMs + this.#smoothing * (pauseMs - this.#pauseMs)
    this.#samples++
    this.#learntAtMs = now
  }

  /** The typical pause in milliseconds; undefined while too little was seen lately. */
  pauseMs (now: number): number | undefined {
    return this.#samples >= LEAST_SAMPLES && now - this.#learntAtMs <= FRESH_MS ? this.#pauseMs : undefined
  }
}

/** A pause this many times the pool's typical one is the endpoint's own: a full batch makes it 1.4 times as long. */
const SLOW_FACTOR = 2

/**
 * Tells how many times slower than the rest of its pool an endpoint is.
 *
 * Load pattern: an endpoint turns slow while its streams run. Its first tokens tell only of those that come late already; each piece of each stream
 * tells at once.
 * @returns 1 for one that is not slow.
 */
export function slowdown (endpoint: StreamRhythm | undefined, pool: StreamRhythm | undefined, now: number): number {
  const pauseMs = endpoint?.pauseMs(now)
  const usualMs = pool?.pauseMs(now)
  if (pauseMs === undefined || usualMs === undefined || usualMs <= 0) return 1
  const factor = pauseMs / usualMs
  return factor >= SLOW_FACTOR ? factor : 1
}
