/** When the pieces of a stream came. */

/** Times of one stream's pieces, in milliseconds on the steady clock. */
export class PieceTimes {
  /** When the first came; undefined before it did. */
  firstAtMs: number | undefined
  /** When the last came so far. */
  lastAtMs: number | undefined
  /** Longest time between two of them; undefined before the second. */
  longestPauseMs: number | undefined

  /**
   * A piece came.
   * @returns The pause before it; undefined for the first.
   */
  came (now: number): number | undefined {
    const pauseMs = this.lastAtMs === undefined ? undefined : now - this.lastAtMs
    if (pauseMs !== undefined) this.longestPauseMs = Math.max(this.longestPauseMs ?? 0, pauseMs)
    this.firstAtMs ??= now
    this.lastAtMs = now
    return pauseMs
  }
}
