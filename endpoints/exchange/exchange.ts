/** One request on one connection: reads the endpoint's answer and says exactly how it ended. */
import type { Dispatcher } from 'undici'
import type { AnswerHead, Header } from '../../core/answer/index.ts'
import { AttemptError, type FailurePoint } from '../../core/outcome/index.ts'
import { attemptError } from '../_attempt_errors.ts'
import type { Attachment, AttemptSink } from '../attempt.ts'
import type { Connection } from './connection.ts'
import { EventSplitter } from './event_splitter.ts'
import type { ExchangeDialect } from './exchange_dialect.ts'
import type { AdmittedRequest } from './proxied_request.ts'

/** Options of {@linkcode Exchange}. */
export interface ExchangeOptions {
  req: AdmittedRequest
  dialect: ExchangeDialect
  sink: AttemptSink<Buffer>
  connection: Connection
  /** Events that the caller already has. */
  from: number
  /** Gives the connection back once it is ready for another request. */
  release (): void
}

/**
 * Bytes of a plain answer that are held back until it is whole.
 *
 * While nothing was passed on, an answer that breaks off can be asked for again; behind this size memory counts for more.
 */
const HELD_BYTES = 256 * 1024
const SUCCESS = 200
const REDIRECT = 300
const SERVER_ERROR = 500
const NO_CONTENT = 204

/** What is done with the body of an answer. */
type Reading = 'events' | 'whole' | 'failure' | 'nothing'

/** Reads one answer. */
export class Exchange implements Dispatcher.DispatchHandler, Attachment {
  readonly #options: ExchangeOptions
  readonly #events = new EventSplitter()
  readonly #parts: Buffer[] = []
  #controller: Dispatcher.DispatchController | undefined
  #head: AnswerHead | undefined
  #reading: Reading = 'nothing'
  #held = 0
  #offset: number
  #done = false

  constructor (options: ExchangeOptions) {
    this.#options = options
    this.#offset = options.from
  }

  /** Sends the request with the headers of this attempt. */
  send (headers: readonly Header[]): void {
    const { req, connection } = this.#options
    connection.dispatch({
      method: req.method as Dispatcher.HttpMethod,
      path: req.target,
      headers: headers.flat(),
      body: req.body.length > 0 ? req.body : null,
      idempotent: false
    }, this)
  }

  /** Closes the connection: the endpoint sees that nobody waits any more. */
  detach (): void {
    if (this.#done) return
    this.#done = true
    this.#options.connection.close()
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.#controller = controller
    if (this.#done) controller.abort(new Error('detached'))
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number): void {
    if (this.#done || status < SUCCESS) return
    const head = { status, headers: headersOf(controller.rawHeaders) }
    this.#head = head
    const facts = this.#options.dialect.readAnswer(head)
    // An answer that came late for an earlier request, or from another program: nothing of it may reach the caller.
    if (facts.requestId !== this.#options.req.id) return this.#fail('foreign-answer', 'the answer belongs to another request')
    if (facts.otherEndpoint) return this.#fail('endpoint-gone', 'another endpoint has the address')
    if (facts.notRun) return this.#fail('endpoint-said-not-run', `status ${status}`)
    if (!facts.genuine) return this.#fail(status < REDIRECT ? 'foreign-answer' : 'endpoint-error', 'the answer is not the endpoint\'s')
    this.#reading = readingOf(head)
    if (this.#reading === 'events') this.#options.sink.onHead?.(head)
  }

  onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#done) return
    if (this.#reading === 'events') this.#passEvents(chunk)
    else this.#hold(chunk)
  }

  onResponseEnd (): void {
    if (this.#done) return
    if (!this.#endedWhole()) return this.#fail('torn-answer', 'the answer broke off')
    const body = Buffer.concat(this.#parts)
    this.#done = true
    // The client closes a connection that cannot be used again a moment later.
    setImmediate(() => this.#options.release())
    if (this.#reading === 'failure') {
      const status = this.#head!.status
      this.#options.sink.onError(new AttemptError(`Cannot use answer: status ${status}`, { point: 'endpoint-error', answer: { head: this.#head!, body } }))
      return
    }
    if (this.#reading === 'whole') this.#passOn(body)
    this.#options.sink.onEnd(this.#offset)
  }

  onResponseError (_controller: Dispatcher.DispatchController, err: Error): void {
    if (this.#done) return
    this.#done = true
    this.#options.connection.close()
    const sent = this.#controller !== undefined
    const point: FailurePoint | undefined = this.#head ? 'torn-answer' : undefined
    this.#options.sink.onError(point ? new AttemptError(`Cannot read answer: ${err.message}`, { point, cause: err }) : attemptError('Cannot send request', err, { sent }))
  }

  #passEvents (chunk: Buffer): void {
    for (const event of this.#events.push(chunk)) {
      const offset = event.id === undefined ? this.#offset : event.id - 1
      this.#options.sink.onChunk(offset, [event.bytes])
      this.#offset = offset + 1
    }
  }

  #hold (chunk: Buffer): void {
    this.#parts.push(chunk)
    this.#held += chunk.length
    if (this.#held <= HELD_BYTES || this.#reading !== 'whole') return
    const bytes = Buffer.concat(this.#parts)
    this.#parts.length = 0
    this.#held = 0
    this.#passOn(bytes)
  }

  #passOn (bytes: Buffer): void {
    this.#options.sink.onHead?.(this.#head!)
    if (bytes.length === 0) return
    this.#options.sink.onChunk(this.#offset, [bytes])
    this.#offset++
  }

  /** An answer without a length ends with its connection; if that was reset, it may have lost its end. */
  #endedWhole (): boolean {
    if (this.#events.pending > 0) return false
    return isFramed(this.#head!) || this.#options.connection.endedCleanly
  }

  #fail (point: FailurePoint, why: string): void {
    this.#done = true
    this.#options.connection.close()
    this.#options.sink.onError(new AttemptError(`Cannot use answer: ${why}`, { point }))
  }
}

function readingOf (head: AnswerHead): Reading {
  if (head.status >= SERVER_ERROR) return 'failure'
  return head.status < REDIRECT && valueOf(head, 'content-type')?.startsWith('text/event-stream') ? 'events' : 'whole'
}

function isFramed (head: AnswerHead): boolean {
  return head.status === NO_CONTENT || valueOf(head, 'content-length') !== undefined || valueOf(head, 'transfer-encoding') !== undefined
}

/** The first value of a header, whatever the case of its name. */
export function valueOf (head: AnswerHead, name: string): string | undefined {
  return head.headers.find(([key]) => key.toLowerCase() === name)?.[1]
}

function headersOf (raw: Dispatcher.DispatchController['rawHeaders']): Header[] {
  const flat = (raw ?? []) as ReadonlyArray<Buffer | string>
  const headers: Header[] = []
  for (let i = 0; i + 1 < flat.length; i += 2) headers.push([text(flat[i]!), text(flat[i + 1]!)])
  return headers
}

function text (value: Buffer | string): string {
  return typeof value === 'string' ? value : value.toString('latin1')
}
