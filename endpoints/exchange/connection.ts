/** One connection to an endpoint, for one request at a time. */
import type { Socket } from 'node:net'
import { buildConnector, Client, type Dispatcher } from 'undici'

/** Longest time for a new connection, in milliseconds: hosts that lost power answer nothing. */
const CONNECT_TIMEOUT_MS = 1000
/** Kept back from the idle time that an endpoint allows, in milliseconds, for a request to arrive before it closes. */
const IDLE_MARGIN_MS = 400
/** Idle time where an endpoint names none, in milliseconds. */
const DEFAULT_IDLE_MS = 4000
/** A connection that is idle longer is closed whatever the endpoint allows, in milliseconds. */
const LONGEST_IDLE_MS = 60_000

const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS })

/** A connection and what its socket has told. */
export class Connection {
  readonly #client: Client
  /** The endpoint ended the connection in good order. */
  endedCleanly = false
  /** True once the connection can take no further request. */
  closed = false
  /** Requests that were sent on it. */
  used = 0
  /** Called once, when the connection is closed. */
  onClose: () => void = () => {}

  constructor (address: string) {
    this.#client = new Client(`http://${address}`, {
      pipelining: 1,
      keepAliveTimeout: DEFAULT_IDLE_MS,
      keepAliveMaxTimeout: LONGEST_IDLE_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (options, callback) => connect(options, (...result) => {
        if (result[1]) this.#watch(result[1])
        callback(...result)
      })
    })
    this.#client.on('disconnect', () => this.close())
    this.#client.on('connectionError', () => this.close())
  }

  /** Sends a request; the handler hears all that comes of it. */
  dispatch (options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
    this.used++
    this.#client.dispatch(options, handler)
  }

  /** Closes the connection at once, with whatever is under way on it. */
  close (): void {
    if (this.closed) return
    this.closed = true
    this.#client.destroy().catch(() => { /* the connection is gone either way */ })
    this.onClose()
  }

  /**
   * The client counts a reset as the end of an answer without a length; only the socket tells the two apart.
   *
   * Even the socket reports the end where bytes and a reset arrive together: the runtime reads the bytes, and takes the hang-up behind them for
   * the end. A connection that was reset has no peer any more; one that ended in good order has.
   */
  #watch (socket: Socket): void {
    socket.prependListener('end', () => { this.endedCleanly = socket.remoteAddress !== undefined })
    socket.prependListener('error', () => { this.endedCleanly = false })
  }
}
