/** Model engine over HTTP, streams as server-sent events. */
import { createParser, type EventSourceMessage } from 'eventsource-parser'
import { Pool, type Dispatcher } from 'undici'
import { AttemptError } from '../core/outcome/index.ts'
import type { EndpointLoad } from '../core/routing/index.ts'
import { attemptError, refusalError } from './_attempt_errors.ts'
import type { Attachment, EngineOrder, ModelEngine, StopReport, StreamSink, StreamSpec } from './model_engine.ts'

/** Options of {@linkcode HttpEngine}. */
export interface HttpEngineOptions {
  /** Address such as `http://10.0.0.1:8000`. */
  url: string
  /** Connections kept to the engine. Default 64. */
  connections?: number
  /** Longest silence on a stream in milliseconds before it counts as lost. Default 10,000. */
  silenceMs?: number
}

const CONNECT_TIMEOUT_MS = 1000
const CALL_TIMEOUT_MS = 5000

/** Speaks to one engine over its own connections. */
export class HttpEngine implements ModelEngine {
  readonly #pool: Pool
  readonly #silenceMs: number

  constructor (options: HttpEngineOptions) {
    this.#pool = new Pool(options.url, { connections: options.connections ?? 64, connect: { timeout: CONNECT_TIMEOUT_MS }, pipelining: 1 })
    this.#silenceMs = options.silenceMs ?? 10_000
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

  #receive (opts: Dispatcher.RequestOptions, sink: StreamSink): Attachment {
    const abort = new AbortController()
    this.#pump({ ...opts, signal: abort.signal, headersTimeout: this.#silenceMs, bodyTimeout: this.#silenceMs }, sink, abort.signal)
    return { detach: () => abort.abort() }
  }

  async #pump (opts: Dispatcher.RequestOptions, sink: StreamSink, signal: AbortSignal): Promise<void> {
    let ended = false
    const parser = createParser({ onEvent: (event) => { ended = deliver(event, sink) || ended } })
    try {
      const res = await this.#pool.request(opts)
      if (res.statusCode !== 200) {
        await res.body.dump()
        throw refusalError('Cannot start stream', res.statusCode, res.headers)
      }
      const decoder = new TextDecoder()
      for await (const part of res.body) parser.feed(decoder.decode(part as Buffer, { stream: true }))
      if (!ended) throw new AttemptError('Cannot read stream: it ended without its end mark', { point: 'torn-answer' })
    } catch (err) {
      if (!signal.aborted && !ended) sink.onError(attemptError('Cannot read stream', err))
    }
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

/** Hands one event on; true when it was the last. */
function deliver (event: EventSourceMessage, sink: StreamSink): boolean {
  const data = JSON.parse(event.data) as { offset: number, tokens: string[], total: number } & EndpointLoad
  if (event.event === 'load') sink.onLoad(data)
  else if (event.event === 'end') sink.onEnd(data.total)
  else sink.onChunk(data.offset, data.tokens)
  return event.event === 'end'
}
