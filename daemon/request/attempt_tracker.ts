/** Accounts for one request in the endpoint table. */
import type { EndpointId } from '../../core/ids/index.ts'
import type { AttemptProgress } from '../../core/request/index.ts'
import type { Route } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { EndpointTable, SentWork } from '../endpoints/endpoint_table.ts'
import { PieceTimes } from './piece_times.ts'

/** The router's prediction for an attempt. */
export type Prediction = Pick<Route, 'firstTokenMs' | 'unreadTokens' | 'crossingMs'>

/** The current attempt, with the work counted for its endpoint. */
interface SentAttempt extends SentWork {
  endpoint: EndpointId
  atMs: number
  /** Undefined if the router made no prediction. */
  predicted: Prediction | undefined
  /** True once the endpoint has processed the prompt. */
  prefilled: boolean
  pieces: PieceTimes
  /** When the endpoint last sent something that is no piece of the answer, in milliseconds on the steady clock; `-Infinity` if it never did. */
  otherBytesAtMs: number
}

/** Keeps the endpoint table's counters correct across the attempts of one request. */
export class AttemptTracker {
  readonly #table: EndpointTable
  #sent: SentAttempt | undefined
  /** Called on the first response of each attempt whose first-token time was predicted. */
  onFirstAnswer: (endpoint: EndpointId, times: { tookMs: number, predictedMs: number }) => void = () => {}

  constructor (table: EndpointTable) {
    this.#table = table
  }

  /** When the current attempt was sent, in milliseconds on the steady clock; undefined if there is none. */
  get sentAtMs (): number | undefined { return this.#sent?.atMs }

  /** Progress of the current attempt, of which whatever its endpoint sends is a sign; undefined if there is none. */
  get progress (): AttemptProgress | undefined {
    const sent = this.#sent
    if (!sent) return undefined
    const { atMs, predicted, pieces: { lastAtMs, longestPauseMs }, otherBytesAtMs } = sent
    return { sentAtMs: Math.max(atMs, otherBytesAtMs), predictedMs: predicted?.firstTokenMs, lastPieceAtMs: lastAtMs === undefined ? undefined : Math.max(lastAtMs, otherBytesAtMs), longestPauseMs }
  }

  /** Records that an attempt was sent. */
  recordSent (endpoint: EndpointId, work: SentWork, predicted: Prediction | undefined): void {
    this.#table.started(endpoint, work)
    this.#sent = { ...work, endpoint, atMs: steadyNow(), predicted, prefilled: false, pieces: new PieceTimes(), otherBytesAtMs: -Infinity }
  }

  /** Records that the endpoint has processed the prompt, so that its tokens no longer count as queued there. */
  read (): void {
    const sent = this.#sent
    if (!sent || sent.prefilled) return
    sent.prefilled = true
    this.#table.promptRead(sent.endpoint, sent)
    if (!sent.predicted) return
    // The round trip to another region says nothing about the endpoint's speed.
    const { firstTokenMs, unreadTokens, crossingMs = 0 } = sent.predicted
    const predictedMs = firstTokenMs - crossingMs
    const tookMs = Math.max(0, steadyNow() - sent.atMs - crossingMs)
    this.onFirstAnswer(sent.endpoint, { tookMs, predictedMs })
    this.#table.recordFirstToken(sent.endpoint, { predictedMs, actualMs: tookMs, unreadTokens })
  }

  /** Records that a piece of the stream arrived. A pause that began before `readingSinceMs` is not the endpoint's. */
  recordPiece (readingSinceMs = -Infinity): void {
    this.read()
    const sent = this.#sent
    if (!sent) return
    this.#table.recordActivity(sent.endpoint)
    const { lastAtMs } = sent.pieces
    const pauseMs = sent.pieces.record(steadyNow())
    if (pauseMs !== undefined && lastAtMs! >= readingSinceMs) this.#table.recordChunkInterval(sent.endpoint, pauseMs)
  }

  /** Records that the endpoint has sent something that is no piece of the answer, such as a comment. */
  recordOtherBytes (): void {
    const sent = this.#sent
    if (!sent) return
    sent.otherBytesAtMs = steadyNow()
    this.#table.recordActivity(sent.endpoint)
  }

  /** Records that the endpoint no longer works on the request. */
  end (): void {
    const sent = this.#sent
    if (!sent) return
    this.#sent = undefined
    if (!sent.prefilled) this.#table.promptRead(sent.endpoint, sent)
    this.#table.ended(sent.endpoint, sent)
  }
}
