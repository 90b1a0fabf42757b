/** HTTP server for callers whose requests are proxied unchanged. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { connect, type AddressInfo, type DropArgument, type Socket } from 'node:net'
import { setImmediate } from 'node:timers/promises'
import type { Acceptance } from '../../core/admission/index.ts'
import type { CallerLimits } from '../../core/catalog/index.ts'
import { PollWatch, steadyNow } from '../../core/time/index.ts'
import { BadRequestError, type ExchangeDialect } from '../../endpoints/index.ts'
import { logRequest } from '../log/index.ts'
import { MemoryGuard } from '../memory/index.ts'
import type { Metrics } from '../metrics.ts'
import { BodyReader } from './body_reader.ts'
import { refuse, writeExchange } from './exchange_writer.ts'
import type { Intake } from './intake.ts'
import { CALLER_ENDED_CODE, HeadTimeouts, refuseHead } from './_head_errors.ts'
import { closeIfIdle } from './_idle_timeout.ts'
import { OpenExchanges, type DrainCounts, type Exchange } from './open_exchanges.ts'
import { stopListening } from './open_responses.ts'
import { LEAVING_REASON, Refusal, RETRY_AFTER_LEAVING_MS } from './refusal.ts'

/** Options of {@linkcode ExchangeServer}. */
export interface ExchangeServerOptions {
  intake: Intake
  dialect: ExchangeDialect
  metrics: Metrics
  /** Returns the longest time that a request may take, in milliseconds; undefined if it is not known. Default: it never is. */
  timeLimitMs? (req: RequestHead): number | undefined
  /** Largest number of connections at once; further ones are closed unread. Default: not limited. */
  maxConnections?: number | undefined
  /** Counts and bounds what is held for callers. Default: what is held is not bounded. */
  guard?: MemoryGuard
  /** Tells how long connections were not read. Default: one that is never started, so that everything counts as read late. */
  poll?: PollWatch
}

/** A request's method, target and headers, without its body. */
type RequestHead = ReturnType<ExchangeDialect['readRequest']>

const INTERNAL_ERROR = 500
/** Longest time for which connections that wait are accepted before listening ends, in milliseconds. */
const ACCEPT_WAITING_MS = 200
const US_PER_MS = 1000
/** Shortest time limit of a connection, in milliseconds. */
const MIN_TIMEOUT_MS = 1
/** Limits in force until a configuration is loaded. */
const DEFAULT_LIMITS: CallerLimits = { headerBytes: 16_384, bodyBytes: 4_194_304, headerMs: 3000, idleMs: 15_000 }
/** Size of the `: ` after a header name and of the CRLF after its value. */
const HEADER_SEPARATOR_BYTES = 2
/** Interval at which connections are checked for the header timeout, in milliseconds. */
const HEADER_TIMEOUT_CHECK_MS = 250
/** Header limit of the Node.js parser for one request, in bytes; the configured limit is lower. */
const MAX_HEADER_BYTES = 65_536

/** Accepts callers' connections and passes their requests to the intake. */
export class ExchangeServer {
  readonly #options: ExchangeServerOptions
  readonly #server: Server
  readonly #guard: MemoryGuard
  readonly #bodies: BodyReader
  #limits = DEFAULT_LIMITS
  readonly #headTimeouts = new HeadTimeouts()
  readonly #exchanges: OpenExchanges
  readonly #poll: PollWatch
  #accepting = true
  /** Number of connections that were accepted, probes included. */
  #accepted = 0
  /** Connections of this process to its own port, with what is called when they are accepted. */
  readonly #probes = new Map<Socket, () => void>()

  constructor (options: ExchangeServerOptions) {
    this.#options = options
    this.#guard = options.guard ?? new MemoryGuard(options)
    this.#poll = options.poll ?? new PollWatch()
    this.#exchanges = new OpenExchanges({ metrics: options.metrics, poll: this.#poll })
    this.#bodies = new BodyReader(this.#guard.account)
    this.#server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, connectionsCheckingInterval: HEADER_TIMEOUT_CHECK_MS }, (req, res) => { this.#serve(req, res) })
    this.limit(DEFAULT_LIMITS)
    const [serve] = this.#server.listeners('connection') as [(socket: Socket) => void]
    this.#server.removeAllListeners('connection')
    this.#server.on('clientError', (err: NodeJS.ErrnoException, socket: Socket) => this.#headFailed(err, socket))
    this.#server.on('timeout', closeIfIdle)
    if (options.maxConnections !== undefined) this.#server.maxConnections = options.maxConnections
    this.#server.on('drop', (connection) => this.#dropped(connection))
    this.#server.on('connection', (socket: Socket) => this.#connected(socket, (accepted) => serve.call(this.#server, accepted)))
  }

  /** Number of requests whose response is not finished. */
  get open (): number { return this.#exchanges.size }
  /** Counts of requests since the drain began. */
  get drained (): DrainCounts { return this.#exchanges.counts }

  /** Replaces the limits; open connections use the new ones from their next request on. */
  limit (limits: CallerLimits): void {
    this.#limits = limits
    // The server takes 0 for no limit.
    this.#server.keepAliveTimeout = Math.max(MIN_TIMEOUT_MS, limits.idleMs)
    this.#server.headersTimeout = Math.max(MIN_TIMEOUT_MS, limits.headerMs)
    this.#server.requestTimeout = 0
  }

  /** Starts listening and returns the port. */
  async listen (host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => this.#server.once('error', reject).listen(port, host, resolve))
    return (this.#server.address() as AddressInfo).port
  }

  /** Accepts new connections, or closes them unread; those that are open stay open. A draining daemon accepts all, since it closes connections itself, whose callers open others. */
  acceptConnections (isAccepting: boolean): void {
    this.#accepting = isAccepting || this.#exchanges.draining
  }

  /** Number of connections since the start. */
  connections = 0

  /**
   * Measures how long a new connection waits until this process accepts it; not at all if it listens no more.
   * @param givenUpMs Longest time to wait, in milliseconds; what is known by then is returned.
   */
  measureAcceptance (givenUpMs: number): Promise<Acceptance> {
    const startMs = steadyNow()
    const { connections } = this
    const usedMs = processorTimeMs()
    const listening = this.#server.address() as AddressInfo | null
    if (!listening) return Promise.resolve({ waitMs: 0, ranMs: 0, ahead: 0 })
    const { address: host, port } = listening
    return new Promise((resolve) => {
      const socket = connect({ host, port })
      const report = () => resolve({ waitMs: steadyNow() - startMs, ranMs: processorTimeMs() - usedMs, ahead: this.connections - connections })
      const timer = setTimeout(report, givenUpMs)
      // A probe that was given up is still accepted later, and must not count as a caller's connection.
      this.#probes.set(socket, () => {
        clearTimeout(timer)
        this.#probes.delete(socket)
        socket.destroy()
        report()
      })
      socket.on('error', () => this.#probes.get(socket)?.())
    })
  }

  #connected (socket: Socket, serve: (socket: Socket) => void): void {
    this.#accepted++
    for (const [probe, accepted] of this.#probes) {
      if (probe.localPort !== socket.remotePort || probe.localAddress !== socket.remoteAddress) continue
      accepted()
      socket.destroy()
      return
    }
    this.connections++
    if (this.#accepting) {
      this.#guard.connectionOpened()
      socket.once('close', () => this.#guard.connectionClosed())
      return serve(socket)
    }
    this.#options.metrics.connectionsShed.inc()
    socket.on('error', () => { /* the caller may have gone */ })
    socket.resetAndDestroy()
  }

  /** Counts a connection that was closed since there are too many. */
  #dropped (connection: DropArgument | undefined): void {
    for (const [probe, accepted] of this.#probes) if (probe.localPort === connection?.remotePort && probe.localAddress === connection?.remoteAddress) return accepted()
    this.#options.metrics.connectionsShed.inc()
  }

  /** Answers what is no request, and callers that do not send the head of theirs in time. */
  #headFailed (err: NodeJS.ErrnoException, socket: Socket): void {
    const refuseConnection = () => {
      const status = refuseHead(err, socket, { isAwaited: this.#exchanges.isAwaited(socket) })
      if (status === undefined) return
      this.#options.metrics.refused.inc({ status: String(status) })
      logRequest('unknown', 'request-refused', { ...this.#options.intake.configState, status, why: `Cannot take request: ${err.message}` })
    }
    this.#headTimeouts.confirm(err, socket, () => {
      // A caller that has ended its side has left, and waits for no answer.
      if (err.code === CALLER_ENDED_CODE) refuseConnection()
      else this.#exchanges.afterAnswers(socket, refuseConnection)
    })
  }

  /** Closes each connection after its next response, which says so; a caller cannot know when one ends whose headers were sent before. */
  startDraining (): void {
    this.#exchanges.startDraining()
    this.acceptConnections(true)
  }

  /** Refuses the requests that are not sent to an endpoint yet; each of them has not run and will not. */
  refuseWaiting (): void {
    for (const exchange of this.#exchanges.all) {
      const { task, res, id } = exchange
      if (task) {
        if (task.state.phase === 'claiming' || task.state.phase === 'placing') task.post({ type: 'refused', reason: LEAVING_REASON, retryAfterMs: RETRY_AFTER_LEAVING_MS })
      } else if (!res.writableEnded) {
        this.#refuse(exchange, { err: new Refusal(LEAVING_REASON, { status: 503, retryAfterMs: RETRY_AFTER_LEAVING_MS }), id })
      }
    }
  }

  /** Answers the requests that run and whose answers have not begun. They may have run, which the status says; the others can only be broken off. */
  giveUpRunning (): void {
    for (const exchange of this.#exchanges.all) {
      const { task, res } = exchange
      if (task && !task.final && !res.headersSent) this.#exchanges.giveUp(exchange, () => task.post({ type: 'given-up', reason: LEAVING_REASON }))
    }
  }

  /** True while an answer that has ended is not handed to the system. */
  get isSending (): boolean { return this.#exchanges.isSending }

  /** Logs each request that is still open when the process ends. */
  logCut (): void {
    this.#exchanges.logCut()
  }

  /** Stops accepting connections and closes idle ones; those without a first request stay until the header timeout. What has arrived by then is read first. */
  async close (): Promise<void> {
    await this.#acceptWaiting()
    stopListening(this.#server)
    this.#exchanges.closeIdle()
  }

  /** Waits until no connection waits to be accepted: a turn of the event loop accepts one, and those that wait when listening ends are reset. */
  async #acceptWaiting (): Promise<void> {
    const untilMs = steadyNow() + ACCEPT_WAITING_MS
    let accepted: number
    do {
      accepted = this.#accepted
      await setImmediate()
    } while (this.#accepted > accepted && steadyNow() < untilMs)
  }

  /** Closes all connections at once. */
  kill (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  async #serve (req: IncomingMessage, res: ServerResponse): Promise<void> {
    this.#headTimeouts.headRead(req.socket)
    const exchange = this.#exchanges.add(req, res)
    if (!exchange) return this.#exchanges.drop(req, this.#idOf(req))
    let facts: RequestHead | undefined
    try {
      checkHeaders(req, this.#limits.headerBytes)
      facts = this.#options.dialect.readRequest(req)
      this.#exchanges.understood(exchange, facts)
      const { bytes: body, entry } = await this.#bodies.read(req, { limits: this.#limits, deadlineInMs: this.#options.timeLimitMs?.(facts) ?? facts.deadlineInMs })
      res.on('close', () => entry?.close())
      await this.#readOn(exchange)
      if (res.destroyed || res.writableEnded || exchange.hasLeft) return entry?.close()
      const task = await this.#options.intake.accept({ ...facts, body }, exchange.arrivedAtMs)
      exchange.task = task
      if (res.writableEnded || exchange.hasLeft) return task.post({ type: 'cancelled' })
      writeExchange(res, task, { guard: this.#guard, metrics: this.#options.metrics, body: entry, closeConnection: () => this.#exchanges.endsAfter(exchange), onError: (err) => this.#failAnswer(exchange, err) })
      task.post({ type: 'begin' })
    } catch (err) {
      this.#refuse(exchange, { err, facts, id: facts?.id })
    }
  }

  /** Waits until the end of a request's connection was read, if that may have arrived together with the request. */
  async #readOn ({ nth, arrivedAtMs }: Exchange): Promise<void> {
    // A new connection may have waited to be accepted.
    if (nth === 1 || this.#poll.isLateAfter(steadyNow() - arrivedAtMs)) await new Promise<void>((resolve) => this.#poll.afterPoll(resolve))
  }

  #idOf (req: IncomingMessage): string {
    try {
      return this.#options.dialect.readRequest(req).id
    } catch {
      return 'unknown'
    }
  }

  #refuse (exchange: Exchange, { err, facts, id = 'unknown' }: { err: unknown, facts?: RequestHead | undefined, id?: string | undefined }): void {
    const { req, res } = exchange
    // The caller disconnected while sending its body, so no response can reach it; or the request was refused before.
    if (res.destroyed || res.writableEnded || req.errored) return
    if (!(err instanceof Refusal) && !(err instanceof BadRequestError)) return this.#failRequest(exchange, err as Error, facts)
    const refusal = err instanceof Refusal ? err : new Refusal(err.message, { status: 400 })
    this.#options.metrics.refused.inc({ status: String(refusal.status) })
    logRequest(id, 'request-refused', {
      ...this.#options.intake.configState,
      status: refusal.status,
      why: refusal.message,
      retryAfterMs: refusal.retryAfterMs,
      host: facts?.host,
      path: facts?.target.split('?', 1)[0],
      account: refusal.account,
      class: refusal.cls,
      cost: refusal.quota?.cost,
      room: refusal.quota?.room,
      bodyBytes: refusal.bodyBytes
    })
    // The unread rest of a body could not be told apart from the next request on the connection.
    refuse(res, { status: refusal.status, retryAfterMs: refusal.retryAfterMs, why: refusal.message, closeConnection: this.#exchanges.endsAfter(exchange, { required: this.#exchanges.draining || !req.complete }) })
  }

  /** Ends a request whose answer cannot be written. */
  #failAnswer (exchange: Exchange, err: Error): void {
    exchange.task?.post({ type: 'cancelled' })
    if (!exchange.res.destroyed && !exchange.res.writableEnded) this.#failRequest(exchange, err, exchange)
  }

  /**
   * Answers 500 after an internal error. Rethrown, the error would end this process, and then each daemon to which the caller resends the
   * request.
   */
  #failRequest (exchange: Exchange, err: Error, facts: { id?: string } | undefined): void {
    logRequest(facts?.id ?? 'unknown', 'request-broke', { why: err.message, stack: err.stack })
    const { res } = exchange
    if (res.headersSent) res.destroy()
    else refuse(res, { status: INTERNAL_ERROR, retryAfterMs: undefined, why: 'Cannot take request: the daemon failed', closeConnection: this.#exchanges.endsAfter(exchange, { required: true }) })
  }
}

function processorTimeMs (): number {
  const { user, system } = process.cpuUsage()
  return (user + system) / US_PER_MS
}

function checkHeaders (req: IncomingMessage, limit: number): void {
  const bytes = req.rawHeaders.reduce((sum, part) => sum + part.length + HEADER_SEPARATOR_BYTES, 0)
  if (bytes > limit) throw new Refusal(`the headers are over ${limit} bytes`, { status: 431 })
}
