/** Records the metrics of one request. */
import type { WorkClass } from '../../core/work/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { Metrics } from '../metrics.ts'
import type { FinalResult } from './live_answer.ts'
import { PieceTimes } from './piece_times.ts'

/** The parts of a request that its metrics depend on. */
export interface MeteredRequest {
  cls: WorkClass
  /** When the request was accepted, in milliseconds on the steady clock. */
  acceptedAtMs: number
  /** False for a request of another daemon, which counts it. */
  counted: boolean
}

/** Records when the pieces of an answer arrive, and how the request ends. */
export class RequestMeter {
  /** Arrival times of the answer's pieces. */
  readonly pieces = new PieceTimes()
  readonly #metrics: Metrics
  readonly #req: MeteredRequest

  constructor (metrics: Metrics, req: MeteredRequest) {
    this.#metrics = metrics
    this.#req = req
  }

  /** Records the arrival of a piece; the first one is counted by whether it met the target. */
  pieceArrived (): void {
    const now = steadyNow()
    if (this.pieces.record(now) !== undefined || !this.#req.counted) return
    const { name, latency } = this.#req.cls
    const cls = this.#metrics.labelOf(name)
    const firstMs = now - this.#req.acceptedAtMs
    this.#metrics.firstToken.observe({ class: cls }, firstMs)
    this.#metrics.firstPieces.inc({ class: cls, within_target: firstMs <= latency.firstTokenMs ? 'yes' : 'no' })
  }

  /**
   * Counts the result. A repeated idempotency key, which the earlier request answers, is counted as `repeated`: as `not-run` it would look like a
   * missed target.
   */
  finished (final: FinalResult): void {
    if (!this.#req.counted) return
    const cls = this.#metrics.labelOf(this.#req.cls.name)
    const repeated = final.repeats !== undefined || final.otherBody === true
    this.#metrics.requests.inc({ class: cls, outcome: repeated ? 'repeated' : final.outcome })
    this.#metrics.fullAnswer.observe({ class: cls }, steadyNow() - this.#req.acceptedAtMs)
  }
}
