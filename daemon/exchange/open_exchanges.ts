/** The requests that callers have sent and that are not answered yet. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { steadyNow } from '../../core/time/index.ts'
import { logRequest, type CutExchange } from '../log/index.ts'
import type { RequestTask } from '../request/request_task.ts'

/** A request that was read, and the response to it. */
export interface Exchange {
  readonly req: IncomingMessage
  readonly res: ServerResponse
  readonly socket: Socket
  readonly arrivedAtMs: number
  /** Undefined until its head is understood. */
  id?: string
  /** Undefined until it is accepted. */
  task?: RequestTask<Buffer>
}

/** Counts of requests since a drain began. */
export interface DrainCounts { read: number, closed: number, sinceMs: number }

/** Keeps the requests that are open, and reports what a drain does to them. */
export class OpenExchanges {
  readonly #open = new Set<Exchange>()
  /** Connections that this daemon has ended. */
  readonly #ended = new WeakSet<Socket>()
  readonly #counts = { read: 0, closed: 0 }
  #drainingSinceMs: number | undefined

  /** Number of requests whose response is not finished. */
  get size (): number { return this.#open.size }
  get draining (): boolean { return this.#drainingSinceMs !== undefined }
  get counts (): DrainCounts { return { ...this.#counts, sinceMs: this.#sinceMs } }

  get #sinceMs (): number { return Math.round(steadyNow() - (this.#drainingSinceMs ?? steadyNow())) }

  /** Must be called once, when the drain begins. */
  startDraining (): void {
    this.#drainingSinceMs = steadyNow()
  }

  /** Must be called for each request whose head was read. */
  add (req: IncomingMessage, res: ServerResponse): Exchange {
    const exchange: Exchange = { req, res, socket: req.socket, arrivedAtMs: steadyNow() }
    this.#open.add(exchange)
    res.on('close', () => this.#closed(exchange))
    return exchange
  }

  /** Must be called once the head of a request is understood. */
  understood (exchange: Exchange, { id, deadlineInMs }: { id: string, deadlineInMs: number | undefined }): void {
    exchange.id = id
    if (!this.draining) return
    this.#counts.read++
    logRequest(id, 'request-read-draining', { sinceMs: this.#sinceMs, deadlineInMs })
  }

  /** Ends a connection once what was written is sent; what is still received is read. */
  endConnection (socket: Socket): void {
    this.#ended.add(socket)
    socket.end()
  }

  /** Logs each request that is still open. */
  logCut (): void {
    for (const exchange of this.#open) logRequest(exchange.id ?? 'unknown', 'request-cut', this.#describe(exchange))
  }

  #closed (exchange: Exchange): void {
    this.#open.delete(exchange)
    const { res, socket } = exchange
    if (!this.draining || res.writableFinished) return
    const by = !this.#ended.has(socket) && (socket.readableEnded || socket.errored) ? 'caller' : 'daemon'
    if (by === 'daemon') this.#counts.closed++
    logRequest(exchange.id ?? 'unknown', 'connection-closed-draining', { ...this.#describe(exchange), by })
  }

  #describe ({ id, task, arrivedAtMs, res }: Exchange): CutExchange {
    return {
      phase: task ? (task.final ? 'sending' : task.state.phase) : id === undefined ? 'reading' : 'admission',
      endpoint: task?.runningAt,
      pieces: task?.answer.length ?? 0,
      afterMs: Math.round(steadyNow() - arrivedAtMs),
      sinceMs: this.#sinceMs,
      unsentBytes: res.writableLength
    }
  }
}
