/** One request on one connection. Reads the endpoint's answer and reports exactly how it ended. */
import type { Dispatcher } from 'undici'
import { framingOf, hasNoBody, isEventStream, type AnswerHead, type Header } from '../../core/answer/index.ts'
import { answerWindowBytes, ByteCollector, SMALL_ENTRY_BYTES, type MemoryAccount, type MemoryEntry } from '../../core/memory/index.ts'
import { AttemptError, type FailurePoint } from '../../core/outcome/index.ts'
import type { PollWatch } from '../../core/time/index.ts'
import { attemptError } from '../_attempt_errors.ts'
import type { Attachment, AttemptEndOptions, AttemptSink } from '../attempt.ts'
import type { Connection } from './connection.ts'
import type { EndCheckResult } from './end_check.ts'
import { EventPositions } from './event_positions.ts'
import { EventSplitter } from './event_splitter.ts'
import type { ExchangeDialect } from './exchange_dialect.ts'
import type { AdmittedRequest } from './proxied_request.ts'

/** Options of {@linkcode Exchange}. */
export interface ExchangeOptions {
  req: AdmittedRequest
  dialect: ExchangeDialect
  sink: AttemptSink<Buffer>
  connection: Connection
  /** Tells whether callers may have left unnoticed. Default: they never have. */
  poll?: PollWatch | undefined
  /** Counts the bytes that are buffered. Default: they are not counted. */
  memory?: MemoryAccount | undefined
  /** Number of events that the caller already has. */
  from: number
  /** True if the events of the stream are known to have ids. */
  haveIds: boolean
  /** Called when an event with an id has arrived. */
  onIds (): void
  /** Returns false if the request must not be sent any more. Called when the connection is open. */
  maySend (): boolean
  /** Checks whether the endpoint is still running after it ended the connection. */
  checkEnd (): Promise<EndCheckResult>
  /** Returns the connection to its pool once it is ready for another request. */
  release (): void
}

/**
 * Maximum size, in bytes, of a plain answer that is buffered until it is complete.
 *
 * As long as nothing was forwarded, the request of a truncated answer can be retried. Larger answers are forwarded as they arrive to limit
 * memory use.
 */
const MAX_BUFFERED_BYTES = 256 * 1024
/** Maximum size of the body of a failure, which is buffered to be passed on if no other attempt succeeds, and of an unfinished event, in bytes. */
const MAX_UNFINISHED_BYTES = 256 * 1024
const SUCCESS = 200
const REDIRECT = 300
const SERVER_ERROR = 500
/** Highest status of HTTP. Parsers accept any three digits from 100 on. */
const MAX_STATUS = 599

/** How the body of an answer is handled. */
type BodyHandling = 'events' | 'whole' | 'failure' | 'nothing'

/** Sends one request and reads its answer. */
export class Exchange implements Dispatcher.DispatchHandler, Attachment {
  readonly #options: ExchangeOptions
  readonly #events = new EventSplitter()
  readonly #body = new ByteCollector()
  #controller: Dispatcher.DispatchController | undefined
  #isDispatched = false
  #head: AnswerHead | undefined
  #bodyHandling: BodyHandling = 'nothing'
  readonly #positions: EventPositions
  /** Position after the last part of a body without events. */
  #offset: number
  #done = false
  #paused = false
  /** Opened once the buffered bytes are worth counting. */
  #entry: MemoryEntry | undefined

  constructor (options: ExchangeOptions) {
    this.#options = options
    this.#positions = new EventPositions(options)
    this.#offset = options.from
  }

  /** False while the connection is being opened. */
  get sent (): boolean { return this.#controller !== undefined }

  /** Sends the request with the headers of this attempt; not before the ends of all connections were read that arrived before now. */
  send (headers: readonly Header[]): void {
    const { poll } = this.#options
    if (poll?.isLate) poll.afterPoll(() => { if (!this.#done) this.#dispatch(headers) })
    else this.#dispatch(headers)
  }

  #dispatch (headers: readonly Header[]): void {
    const { req, connection } = this.#options
    this.#isDispatched = true
    connection.onOverrun = () => {
      if (this.#done) connection.close()
      else this.#fail('foreign-answer', 'the endpoint sends bytes that are no answer')
    }
    connection.dispatch({
      method: req.method as Dispatcher.HttpMethod,
      path: req.target,
      headers: headers.flat(),
      body: req.body.length > 0 ? req.body : null,
      idempotent: false
    }, this)
  }

  /** Closes the connection, which tells the endpoint that nobody waits for the answer any more. */
  detach (): void {
    if (this.#done) return
    this.#endAttempt()
    if (this.#isDispatched) this.#options.connection.close()
    else this.#options.release()
  }

  /** Takes effect once the head has come. */
  pause (): void {
    this.#paused = true
    if (this.#head && !this.#done) this.#options.connection.pause()
  }

  /** Deferred because the client's parser cannot be resumed from within the callbacks of any connection. */
  resume (): void {
    this.#paused = false
    setImmediate(() => { if (!this.#paused && !this.#done) this.#options.connection.resume() })
  }

  #endAttempt (): void {
    this.#done = true
    this.#body.clear()
    this.#entry?.close()
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.#controller = controller
    if (this.#done) controller.abort(new Error('detached'))
    else if (!this.#options.maySend()) this.#withhold(controller)
  }

  #withhold (controller: Dispatcher.DispatchController): void {
    this.#endAttempt()
    controller.abort(new Error('withheld'))
    this.#options.connection.close()
    this.#options.sink.onError(new AttemptError('Cannot send: the endpoint asked for time while the connection was opened', { point: 'withheld' }))
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number): void {
    if (this.#done || status < SUCCESS) return
    const head = { status, headers: parseRawHeaders(controller.rawHeaders) }
    this.#head = head
    if (this.#paused) this.#options.connection.pause()
    const facts = this.#options.dialect.readAnswer(head)
    // A late answer to an earlier request, or one from another program, must not reach the caller.
    if (facts.requestId !== this.#options.req.id) return this.#fail('foreign-answer', 'the answer belongs to another request')
    if (facts.otherEndpoint) return this.#fail('endpoint-gone', 'another endpoint has the address')
    if (facts.genuine || facts.notRun) this.#options.sink.onSignals?.(facts)
    if (facts.notRun) return this.#fail('endpoint-said-not-run', `status ${status}`)
    if (status > MAX_STATUS) return this.#fail('foreign-answer', `${status} is no status`)
    if (!facts.genuine) return this.#fail(status < REDIRECT ? 'foreign-answer' : 'endpoint-error', 'the answer is unsigned or encoded')
    this.#bodyHandling = bodyHandlingOf(head)
    if (this.#bodyHandling === 'events') this.#options.sink.onHead?.(head)
  }

  onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#done) return
    this.#options.connection.bodyReceived()
    if (this.#bodyHandling === 'events') this.#forwardEvents(chunk)
    else this.#buffer(chunk)
  }

  onResponseEnd (): void {
    if (this.#done) return
    if (!this.#isComplete()) return this.#fail('torn-answer', 'the answer broke off')
    if (this.#isSelfDelimited) this.#finish({})
    else this.#finishIfAlive()
  }

  async #finishIfAlive (): Promise<void> {
    const result = await this.#options.checkEnd()
    if (this.#done) return
    if (result === 'alive') this.#finish({ explicit: false })
    else this.#fail('torn-answer', result === 'ended' ? 'the endpoint ended with its answer' : 'the endpoint does not accept connections after its end')
  }

  #finish (end: AttemptEndOptions<Buffer>): void {
    const body = this.#body.take()
    this.#endAttempt()
    // Deferred because the client closes a connection that cannot be reused only after this callback.
    setImmediate(() => {
      // The next answer, and the end of an idle connection, must be read although this answer ended in a pause.
      this.#options.connection.resume()
      this.#options.release()
    })
    if (this.#bodyHandling === 'failure') {
      const status = this.#head!.status
      this.#options.sink.onError(new AttemptError(`Cannot use answer: status ${status}`, { point: 'endpoint-error', answer: { head: this.#head!, body } }))
      return
    }
    if (this.#bodyHandling === 'whole') this.#forward(body)
    const rest = this.#positions.takeRest()
    this.#options.sink.onEnd(this.#bodyHandling === 'events' ? this.#positions.next : this.#offset, rest ? { ...end, rest } : end)
  }

  onResponseError (_controller: Dispatcher.DispatchController, err: Error): void {
    if (this.#done) return
    this.#endAttempt()
    this.#options.connection.close()
    const sent = this.#controller !== undefined
    const point: FailurePoint | undefined = this.#head ? 'torn-answer' : undefined
    this.#options.sink.onError(point ? new AttemptError(`Cannot read answer: ${err.message}`, { point, cause: err }) : attemptError('Cannot send request', err, { sent }))
  }

  #forwardEvents (chunk: Buffer): void {
    for (const event of this.#events.push(chunk)) {
      if (event.id === undefined) this.#options.sink.onWithoutId?.()
      const placed = this.#positions.place(event)
      if (placed === 'misplaced') return this.#fail('foreign-answer', `the event with id ${event.id} follows events without an id`)
      if (event.id !== undefined) this.#options.onIds()
      if (placed) this.#options.sink.onChunk(placed.offset, [placed.bytes])
    }
    if (this.#events.pendingBytes + this.#positions.waitingBytes > MAX_UNFINISHED_BYTES) this.#fail('foreign-answer', `an event is over ${MAX_UNFINISHED_BYTES} bytes`)
    else this.#count(this.#events.heldBytes + this.#positions.heldBytes)
  }

  #buffer (chunk: Buffer): void {
    this.#body.push(chunk)
    if (this.#bodyHandling === 'failure' && this.#body.length > MAX_UNFINISHED_BYTES) return this.#fail('endpoint-error', `status ${this.#head!.status} with a body of over ${MAX_UNFINISHED_BYTES} bytes`)
    if (this.#body.length <= this.#maxBufferedBytes || this.#bodyHandling !== 'whole') return this.#count(this.#body.heldBytes)
    const bytes = this.#body.take()
    this.#count(0)
    this.#forward(bytes)
  }

  get #maxBufferedBytes (): number {
    const { memory } = this.#options
    return memory ? Math.min(MAX_BUFFERED_BYTES, answerWindowBytes(memory)) : MAX_BUFFERED_BYTES
  }

  #count (bytes: number): void {
    if (this.#entry) this.#entry.set(bytes)
    else if (bytes >= SMALL_ENTRY_BYTES) this.#entry = this.#options.memory?.open('answer', bytes)
  }

  #forward (bytes: Buffer): void {
    this.#options.sink.onHead?.(this.#head!)
    if (bytes.length === 0) return
    this.#options.sink.onChunk(this.#offset, [bytes])
    this.#offset++
  }

  /**
   * An answer without a length ends with its connection; it may be truncated if the connection was reset. A success that ends while its request is still being written counts as
   * truncated too: a reset may follow, and be lost. A failure may well be answered before the request was read.
   */
  #isComplete (): boolean {
    if (this.#events.pendingBytes > 0) return false
    if (this.#isSelfDelimited) return true
    const { endedCleanly, endedEarly } = this.#options.connection
    return endedCleanly && !(endedEarly && this.#head!.status < REDIRECT)
  }

  /** True if the answer has an end of its own, apart from that of its connection. */
  get #isSelfDelimited (): boolean {
    return hasNoBody(this.#head!.status, this.#options.req.method) || framingOf(this.#head!) !== 'connection'
  }

  #fail (point: FailurePoint, reason: string): void {
    this.#endAttempt()
    this.#options.connection.close()
    this.#options.sink.onError(new AttemptError(`Cannot use answer: ${reason}`, { point }))
  }
}

function bodyHandlingOf (head: AnswerHead): BodyHandling {
  if (head.status >= SERVER_ERROR) return 'failure'
  return isEventStream(head) ? 'events' : 'whole'
}

/** Returns the first value of a header. Header names are compared without regard to case; `name` must be in lower case. */
export function headerValue (head: AnswerHead, name: string): string | undefined {
  return head.headers.find(([key]) => key.toLowerCase() === name)?.[1]
}

function parseRawHeaders (raw: Dispatcher.DispatchController['rawHeaders']): Header[] {
  const flat = (raw ?? []) as ReadonlyArray<Buffer | string>
  const headers: Header[] = []
  for (let i = 0; i + 1 < flat.length; i += 2) headers.push([decodeLatin1(flat[i]!), decodeLatin1(flat[i + 1]!)])
  return headers
}

function decodeLatin1 (value: Buffer | string): string {
  return typeof value === 'string' ? value : value.toString('latin1')
}
