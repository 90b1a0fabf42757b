/** Detects stalled attempts from the pauses between pieces of an answer. */

/** Progress of a running attempt. All times are in milliseconds on the same clock. */
export interface AttemptProgress {
  sentAtMs: number
  /** Predicted time to the first piece; undefined if there is no prediction. */
  predictedMs: number | undefined
  /** Arrival time of the last piece; undefined before the first piece. */
  lastPieceAtMs: number | undefined
  /** Longest pause between two pieces so far. */
  longestPauseMs: number | undefined
}

/** Options of {@linkcode overdueAtMs}. */
export interface OverdueOptions {
  /** Typical pause of the pool's streams; undefined if none was observed recently. */
  typicalIntervalMs: number | undefined
}

/** Silence after which a stream is overdue, in multiples of its longest pause. A full batch makes pauses 1.4 times as long, a long prompt in the same batch 3 times. */
const OVERDUE_PAUSES = 6
/** Wait for the first piece after which an attempt is overdue, in multiples of the prediction; 95% of first pieces arrived within 2.1 times theirs. */
const OVERDUE_PREDICTIONS = 3
/** Minimum silence, in milliseconds. Shorter silences are not significant, since lost packets are retransmitted after 200 to 400 ms. */
const MIN_SILENCE_MS = 500

/**
 * Returns the time at which an attempt becomes overdue if no further piece arrives.
 *
 * Guards against an endpoint that stops responding while its connections stay open, so that each caller would wait until its own timeout. A stream
 * with a piece every 130 ms is overdue after about 800 ms, well before its caller gives up after 2 to 2.4 s.
 * @returns Milliseconds on the clock of the attempt's times.
 */
export function overdueAtMs (attempt: AttemptProgress, { typicalIntervalMs: typicalPauseMs = 0 }: OverdueOptions): number {
  if (attempt.lastPieceAtMs === undefined) return attempt.sentAtMs + MIN_SILENCE_MS + OVERDUE_PREDICTIONS * (attempt.predictedMs ?? 0)
  const pauseMs = Math.max(typicalPauseMs, attempt.longestPauseMs ?? 0)
  return attempt.lastPieceAtMs + Math.max(MIN_SILENCE_MS, OVERDUE_PAUSES * pauseMs)
}
