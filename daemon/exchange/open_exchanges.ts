/** The requests that callers have sent and that are not answered yet, by connection. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { steadyNow, type PollWatch } from '../../core/time/index.ts'
import { logRequest, type CutExchange } from '../log/index.ts'
import type { Metrics } from '../metrics.ts'
import type { RequestTask } from '../request/request_task.ts'
import { OpenResponses } from './open_responses.ts'

/** A request that was read, and the response to it. */
export interface Exchange {
  readonly req: IncomingMessage
  readonly res: ServerResponse
  readonly socket: Socket
  readonly arrivedAtMs: number
  /** Longest time for which it can have waited before it was read, in milliseconds. */
  readonly unreadMs: number
  /** Number of the request on its connection, starting at 1. */
  readonly nth: number
  /** Undefined until its head is understood. */
  id?: string
  /** Undefined until it is accepted. */
  task?: RequestTask<Buffer>
  /** True once its caller has closed the connection. */
  hasLeft?: boolean
}

/** Counts of requests since a drain began. */
export interface DrainCounts { read: number, closed: number, givenUp: number, sinceMs: number }

/** Requests of a connection that are open, in their order; `ending` is set once an answer says that it is the last one on the connection. */
interface Connection {
  open: Exchange[]
  ending: boolean
  requests: number
  /** Called once the requests that were read whole are answered. */
  afterAnswers?: (() => void) | undefined
}

/** Options of {@linkcode OpenExchanges}. */
export interface OpenExchangesOptions {
  metrics: Metrics
  poll: PollWatch
}

/** Keeps the requests that are open, and reports what a drain does to them. */
export class OpenExchanges {
  readonly #open = new Set<Exchange>()
  /** Connections on which a request has come. */
  readonly #connections = new Map<Socket, Connection>()
  readonly #responses = new OpenResponses()
  readonly #counts = { read: 0, closed: 0, givenUp: 0 }
  #drainingSinceMs: number | undefined
  readonly #options: OpenExchangesOptions

  constructor (options: OpenExchangesOptions) {
    this.#options = options
  }

  /** Number of requests whose response is not finished. */
  get size (): number { return this.#open.size }
  get draining (): boolean { return this.#drainingSinceMs !== undefined }
  get counts (): DrainCounts { return { ...this.#counts, sinceMs: this.#sinceMs } }

  get #sinceMs (): number { return Math.round(steadyNow() - (this.#drainingSinceMs ?? steadyNow())) }

  /** Must be called once, when the drain begins. */
  startDraining (): void {
    this.#drainingSinceMs = steadyNow()
  }

  /** Must be called for each request whose head was read. Returns undefined if its connection ends before it could be answered. */
  add (req: IncomingMessage, res: ServerResponse): Exchange | undefined {
    const connection = this.#connectionOf(req.socket)
    if (connection.ending || connection.afterAnswers) return undefined
    const { metrics, poll } = this.#options
    const exchange: Exchange = { req, res, socket: req.socket, arrivedAtMs: steadyNow(), unreadMs: poll.unreadMs, nth: ++connection.requests }
    metrics.unread.observe(exchange.unreadMs)
    connection.open.push(exchange)
    this.#open.add(exchange)
    this.#responses.add(res)
    res.on('close', () => this.#closed(exchange, connection))
    return exchange
  }

  /** Returns true if what is written on a connection now would be taken for the answer, or a part of the answer, of a request that was read before. */
  isAwaited (socket: Socket): boolean {
    const { open = [] } = this.#connections.get(socket) ?? {}
    return open[0]?.res.headersSent === true || hasWhole(open)
  }

  /** Calls back once the requests that were read whole on a connection are answered; later ones on it are dropped. */
  afterAnswers (socket: Socket, call: () => void): void {
    const connection = this.#connections.get(socket)
    if (connection && hasWhole(connection.open)) connection.afterAnswers ??= call
    else call()
  }

  /** Must be called once the head of a request is understood. */
  understood (exchange: Exchange, { id, deadlineInMs }: { id: string, deadlineInMs: number | undefined }): void {
    exchange.id = id
    if (!this.draining) return
    this.#counts.read++
    logRequest(id, 'request-read-draining', { sinceMs: this.#sinceMs, deadlineInMs })
  }

  /**
   * Returns true if the connection is to end after the answer to this request, whose headers are written now; requests that come on it later are dropped. Those that came
   * before are answered.
   */
  endsAfter (exchange: Exchange, { required = this.draining }: { required?: boolean } = {}): boolean {
    const connection = this.#connectionOf(exchange.socket)
    const ends = required && connection.open.at(-1) === exchange
    connection.ending ||= ends
    return ends
  }

  /** Closes the connection of a request that {@linkcode OpenExchanges.add} has not taken, unless an answer is still being sent on it. */
  drop (req: IncomingMessage, id: string): void {
    logRequest(id, 'request-dropped', { sinceMs: this.#sinceMs })
    if (this.#connectionOf(req.socket).open.length === 0) req.socket.destroy()
  }

  /** Closes the connections whose requests are all answered. */
  closeIdle (): void {
    this.#responses.closeIdle()
  }

  /** Ends a request by calling `answer`, and logs the status that its caller gets in place of an endpoint's answer. */
  giveUp (exchange: Exchange, answer: () => void): void {
    const cut = this.#describe(exchange)
    answer()
    this.#counts.givenUp++
    logRequest(exchange.id ?? 'unknown', 'request-given-up', { ...cut, status: exchange.res.statusCode })
  }

  /** True while an answer that has ended is not handed to the system. */
  get isSending (): boolean { return this.all.some(({ res }) => res.writableEnded && !res.writableFinished) }

  /** Requests that are open. */
  get all (): Exchange[] { return [...this.#open] }

  /** Logs each request that is still open. */
  logCut (): void {
    for (const exchange of this.#open) logRequest(exchange.id ?? 'unknown', 'request-cut', this.#describe(exchange))
  }

  #connectionOf (socket: Socket): Connection {
    const known = this.#connections.get(socket)
    if (known) return known
    const connection: Connection = { open: [], ending: false, requests: 0 }
    this.#connections.set(socket, connection)
    socket.once('end', () => { for (const exchange of connection.open) if (!exchange.res.writableFinished) this.#callerLeft(exchange) })
    socket.once('close', () => {
      this.#connections.delete(socket)
      // Responses that wait for another one on their connection get no event of their own.
      for (const exchange of [...connection.open]) this.#closed(exchange, connection)
    })
    return connection
  }

  #closed (exchange: Exchange, connection: Connection): void {
    if (!this.#open.delete(exchange)) return
    const { res, socket } = exchange
    connection.open = connection.open.filter((other) => other !== exchange)
    if (connection.afterAnswers && !hasWhole(connection.open)) connection.afterAnswers()
    if (res.writableFinished) return
    const by = !connection.ending && (socket.readableEnded || socket.errored) ? 'caller' : 'daemon'
    if (by === 'caller') this.#callerLeft(exchange)
    if (!this.draining) return
    if (by === 'daemon') this.#counts.closed++
    logRequest(exchange.id ?? 'unknown', 'connection-closed-draining', { ...this.#describe(exchange), by })
  }

  /** Ends a request whose caller has left, once its connection has ended in one direction: it is closed some turns of the event loop later. */
  #callerLeft (exchange: Exchange): void {
    if (exchange.hasLeft) return
    exchange.hasLeft = true
    const { id, task, arrivedAtMs, unreadMs, nth } = exchange
    const phase = phaseOf({ id, task })
    this.#options.metrics.callersLeft.inc({ phase })
    logRequest(id ?? 'unknown', 'caller-left', { phase, endpoint: task?.runningAt, afterMs: Math.round(steadyNow() - arrivedAtMs), unreadMs: Math.round(unreadMs), nth, sentForMs: task?.sentForMs })
    task?.post({ type: 'caller-left' })
  }

  #describe ({ id, task, arrivedAtMs, res }: Exchange): CutExchange {
    return {
      phase: phaseOf({ id, task }),
      endpoint: task?.runningAt,
      pieces: task?.answer.length ?? 0,
      afterMs: Math.round(steadyNow() - arrivedAtMs),
      sinceMs: this.#sinceMs,
      unsentBytes: res.writableLength
    }
  }
}

function hasWhole (open: readonly Exchange[]): boolean {
  return open.some(({ req }) => req.complete)
}

function phaseOf ({ id, task }: Pick<Exchange, 'id' | 'task'>): string {
  if (task) return task.final ? 'sending' : task.state.phase
  return id === undefined ? 'reading' : 'admission'
}
