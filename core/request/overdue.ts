/** When the next word of an attempt is overdue, by the rhythm that it and its pool have shown. */

/** An attempt that runs, as its daemon saw it. All times in milliseconds on one clock. */
export interface AttemptPulse {
  sentAtMs: number
  /** Time to its first piece, as predicted; undefined where nobody predicted anything. */
  predictedMs: number | undefined
  /** When its last piece came; undefined before the first. */
  pieceAtMs: number | undefined
  /** Longest pause between its pieces so far. */
  longestPauseMs: number | undefined
}

/** Options of {@linkcode overdueAtMs}. */
export interface OverdueOptions {
  /** Typical pause of the pool's streams; undefined where none was seen lately. */
  usualPauseMs: number | undefined
}

/** Longest pauses that a stream stays silent before it is suspect. A full batch makes pauses 1.4 times as long, a long prompt beside it 3 times. */
const SUSPECT_PAUSES = 6
/** Predictions of the first piece that pass before an attempt is suspect: 19 in 20 come within 2.1 of them, by their logs. */
const SUSPECT_PREDICTIONS = 3
/** Shorter silences say nothing: links that lose packets send them again after 200 to 400 ms. */
const LEAST_SILENCE_MS = 500

/**
 * Tells when an attempt is suspect if no word of it comes.
 *
 * Guards against an endpoint that went dark: its connections stay open, and each caller waits until it gives up. A stream that came each 130 ms is
 * suspect after 800 ms, long before the 2 to 2.4 s of its caller's patience.
 */
export function overdueAtMs (attempt: AttemptPulse, { usualPauseMs = 0 }: OverdueOptions): number {
  if (attempt.pieceAtMs === undefined) return attempt.sentAtMs + LEAST_SILENCE_MS + SUSPECT_PREDICTIONS * (attempt.predictedMs ?? 0)
  const pauseMs = Math.max(usualPauseMs, attempt.longestPauseMs ?? 0)
  return attempt.pieceAtMs + Math.max(LEAST_SILENCE_MS, SUSPECT_PAUSES * pauseMs)
}
