/** Arrival times of the pieces of a stream. */

/** Tracks when the pieces of one stream arrive, in milliseconds on the steady clock. */
export class PieceTimes {
  /** When the first piece arrived; undefined until then. */
  firstAtMs: number | undefined
  /** When the latest piece arrived; undefined before the first. */
  lastAtMs: number | undefined
  /** Longest time between two consecutive pieces; undefined before the second. */
  longestPauseMs: number | undefined

  /**
   * Records the arrival of a piece.
   * @returns The pause since the previous piece in milliseconds; undefined for the first piece.
   */
  record (now: number): number | undefined {
    const pauseMs = this.lastAtMs === undefined ? undefined : now - this.lastAtMs
    if (pauseMs !== undefined) this.longestPauseMs = Math.max(this.longestPauseMs ?? 0, pauseMs)
    this.firstAtMs ??= now
    this.lastAtMs = now
    return pauseMs
  }
}
