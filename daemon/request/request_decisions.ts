/** Decision log of a request, kept for `status --explain`. */
import type { RequestId } from '../../core/ids/index.ts'
import { describeDecision, logRequest, type RequestEvents } from '../log/index.ts'
import type { Decision } from './work.ts'

/** Logs and keeps the decisions about one request in order. They are formatted as text only on demand. */
export class RequestDecisions {
  readonly #request: RequestId
  readonly #decisions: Array<{ atMs: number, format: () => string }> = []

  constructor (request: RequestId) {
    this.#request = request
  }

  get all (): Decision[] { return this.#decisions.map(({ atMs, format }) => ({ atMs, text: format() })) }

  /** Logs a decision and appends it to the list. */
  add<E extends keyof RequestEvents> (event: E, fields: RequestEvents[E]): void {
    this.#decisions.push({ atMs: Date.now(), format: () => describeDecision(event, fields) })
    logRequest(this.#request, event, fields)
  }
}
