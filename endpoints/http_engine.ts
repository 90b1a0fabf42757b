/** Client of a model engine over HTTP. Streams are server-sent events. */
import { createParser, type EventSourceMessage } from 'eventsource-parser'
import { Pool, type Dispatcher } from 'undici'
import { AttemptError } from '../core/outcome/index.ts'
import type { EndpointLoad } from '../core/routing/index.ts'
import { attemptError, refusalError, refusalSignals } from './_attempt_errors.ts'
import type { Attachment, StopReport } from './attempt.ts'
import type { EngineOrder, ModelEngine, StreamSink, StreamSpec } from './model_engine.ts'
import { resettingConnector } from './resetting_connector.ts'

/** Options of {@linkcode HttpEngine}. */
export interface HttpEngineOptions {
  /** Address such as `http://10.0.0.1:8000`. */
  url: string
  /** Maximum number of connections to the engine. Default 64. */
  connections?: number
  /** Milliseconds without data after which a stream counts as lost. Default 10,000. */
  idleTimeoutMs?: number
}

const CONNECT_TIMEOUT_MS = 1000
const CALL_TIMEOUT_MS = 5000

/** HTTP client of one engine with its own connection pool. */
export class HttpEngine implements ModelEngine {
  readonly #pool: Pool
  readonly #idleTimeoutMs: number

  constructor (options: HttpEngineOptions) {
    this.#pool = new Pool(options.url, { connections: options.connections ?? 64, connect: resettingConnector({ timeout: CONNECT_TIMEOUT_MS }), pipelining: 1 })
    this.#idleTimeoutMs = options.idleTimeoutMs ?? 10_000
  }

  start (spec: StreamSpec, sink: StreamSink): Attachment {
    return this.#receive({ method: 'POST', path: '/streams', headers: { 'content-type': 'application/json' }, body: JSON.stringify(spec) }, sink)
  }

  resume (streamId: string, from: number, sink: StreamSink): Attachment {
    return this.#receive({ method: 'GET', path: `/streams/${streamId}?from=${from}` }, sink)
  }

  async cancel (streamId: string, from: number): Promise<StopReport> {
    return await this.#call('DELETE', `/streams/${streamId}?from=${from}`) as StopReport
  }

  async exportKv (streamId: string, toAddress: string): Promise<string> {
    return (await this.#call('POST', `/streams/${streamId}/export`, { toAddress }) as { kvHandle: string }).kvHandle
  }

  async load (): Promise<EndpointLoad> {
    return await this.#call('GET', '/load') as EndpointLoad
  }

  async order (order: EngineOrder): Promise<void> {
    await this.#call('PUT', '/orders', order)
  }

  async orders (): Promise<EngineOrder | undefined> {
    return (await this.#call('GET', '/orders') as { order?: EngineOrder }).order
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this.#pool.destroy()
  }

  /** Uses `dispatch()` instead of a body stream or iterator: at thousands of tokens a second, these cost more than the tokens themselves. */
  #receive (opts: Dispatcher.DispatchOptions, sink: StreamSink): Attachment {
    const reader = new StreamReader(sink)
    this.#pool.dispatch({ ...opts, headersTimeout: this.#idleTimeoutMs, bodyTimeout: this.#idleTimeoutMs }, reader)
    return reader
  }

  async #call (method: 'GET' | 'POST' | 'PUT' | 'DELETE', path: string, body?: unknown): Promise<unknown> {
    try {
      const headers = body === undefined ? {} : { 'content-type': 'application/json' }
      const res = await this.#pool.request({ method, path, headers, body: body === undefined ? null : JSON.stringify(body), headersTimeout: CALL_TIMEOUT_MS * 8 })
      if (res.statusCode >= 300) {
        await res.body.dump()
        throw refusalError(`Cannot ${method} ${path}`, res.statusCode, res.headers)
      }
      return await res.body.json()
    } catch (err) {
      throw attemptError(`Cannot ${method} ${path}`, err)
    }
  }
}

/** Parses the events of one response and passes them to its sink. */
class StreamReader implements Dispatcher.DispatchHandler, Attachment {
  readonly #sink: StreamSink
  readonly #decoder = new TextDecoder()
  readonly #parser = createParser({ onEvent: (event) => this.#deliver(event) })
  #controller: Dispatcher.DispatchController | undefined
  #refusal: AttemptError | undefined
  #done = false

  constructor (sink: StreamSink) {
    this.#sink = sink
  }

  detach (): void {
    this.#done = true
    this.#controller?.abort(new Error('detached'))
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.#controller = controller
    if (this.#done) controller.abort(new Error('detached'))
  }

  onResponseStart (_controller: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[] | undefined>): void {
    if (status === 200) return
    this.#refusal = refusalError('Cannot start stream', status, headers)
    if (!this.#done) this.#sink.onSignals?.(refusalSignals(status, headers))
  }

  onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#refusal === undefined && !this.#done) this.#parser.feed(this.#decoder.decode(chunk, { stream: true }))
  }

  onResponseEnd (): void {
    this.#fail(this.#refusal ?? new AttemptError('Cannot read stream: it ended without an end event', { point: 'torn-answer' }))
  }

  onResponseError (_controller: Dispatcher.DispatchController, err: Error): void {
    this.#fail(attemptError('Cannot read stream', err))
  }

  #fail (err: AttemptError): void {
    if (this.#done) return
    this.#done = true
    this.#sink.onError(err)
  }

  #deliver (event: EventSourceMessage): void {
    if (this.#done) return
    const data = JSON.parse(event.data) as { offset: number, tokens: string[], total: number } & EndpointLoad
    this.#done = event.event === 'end'
    if (event.event === 'load') this.#sink.onLoad(data)
    else if (event.event === 'end') this.#sink.onEnd(data.total)
    else this.#sink.onChunk(data.offset, data.tokens)
  }
}
