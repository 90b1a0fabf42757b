/** Connection to an endpoint that carries one request at a time. */
import type { Socket } from 'node:net'
import { Client, type buildConnector, type Dispatcher } from 'undici'
import { steadyNow, type PollWatch } from '../../core/time/index.ts'
import { resettingConnector } from '../resetting_connector.ts'

/** Connect timeout in milliseconds. Needed because a host without power does not refuse connections. */
const CONNECT_TIMEOUT_MS = 1000
/** Subtracted from the idle time that an endpoint allows, in milliseconds, so that a request arrives before the endpoint closes the connection. */
const IDLE_MARGIN_MS = 400
/** Idle timeout for endpoints that announce none, in milliseconds. */
const DEFAULT_IDLE_MS = 4000
/** Maximum idle timeout in milliseconds, whatever the endpoint allows. */
const MAX_IDLE_MS = 60_000

/**
 * Maximum number of bytes that an endpoint may send without any of a body: heads, interim answers, chunk sizes and trailers. The HTTP client bounds headers
 * only, and reads everything else for as long as it comes.
 */
const MAX_FRAMING_BYTES = 64 * 1024

const connect = resettingConnector({ timeout: CONNECT_TIMEOUT_MS })

/** Options of {@linkcode Connection}. */
export interface ConnectionOptions {
  /** Called with the time that it took to connect, in milliseconds. Default: does nothing. */
  onConnected?: ((tookMs: number) => void) | undefined
  /** Tells whether callers may have left unnoticed while the connection was opened. Default: they never have. */
  poll?: PollWatch | undefined
}

type Connected = Parameters<buildConnector.Callback>

/** A connection, and whether its socket was ended or reset. */
export class Connection {
  readonly #client: Client
  #socket: Socket | undefined
  #paused = false
  /** True if the endpoint ended the connection without a reset. */
  endedCleanly = false
  /** True if the endpoint ended the connection before the bytes of the request were all handed to the system. */
  endedEarly = false
  /** True from when the connection was opened until it is known to have ended. */
  open = false
  /** True once the connection accepts no further requests. */
  closed = false
  /** Number of requests sent on this connection. */
  used = 0
  /** Called when the endpoint has sent more bytes than a head or the framing of a body can have. Default: the connection is closed. */
  onOverrun: () => void = () => this.close()
  /** Bytes received since the last bytes of a body. */
  #framingBytes = 0
  /** Called once, when the connection is closed. */
  onClose: () => void = () => {}

  constructor (address: string, { onConnected, poll }: ConnectionOptions = {}) {
    this.#client = new Client(`http://${address}`, {
      pipelining: 1,
      keepAliveTimeout: DEFAULT_IDLE_MS,
      keepAliveMaxTimeout: MAX_IDLE_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (options, callback) => {
        const startedAtMs = steadyNow()
        connect(options, (...result) => {
          if (result[1]) {
            this.#track(result[1])
            onConnected?.(steadyNow() - startedAtMs)
          }
          if (poll?.isLate) poll.afterPoll(() => callback(...stillOpen(result)))
          else callback(...result)
        })
      }
    })
    this.#client.on('disconnect', () => this.close())
    this.#client.on('connectionError', () => this.close())
  }

  /** Sends a request. The handler receives its response or error. */
  dispatch (options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
    this.used++
    this.#framingBytes = 0
    this.#client.dispatch(options, handler)
  }

  /** Records that bytes of a body were received. */
  bodyReceived (): void {
    this.#framingBytes = 0
  }

  /** Stops reading; what the system's buffers cannot take stays at the endpoint. */
  pause (): void {
    this.#paused = true
  }

  /** Reads on. Must not be called from within the callbacks of any handler. */
  resume (): void {
    if (!this.#paused) return
    this.#paused = false
    if (!this.#socket?.destroyed) this.#socket?.emit('readable')
  }

  /** Closes the connection immediately and withdraws a request in progress, of which bytes may not have arrived. */
  close (): void {
    if (this.closed) return
    this.closed = true
    this.open = false
    this.#client.destroy().catch(() => { /* the connection is closed in any case */ })
    this.onClose()
  }

  #track (socket: Socket): void {
    this.#socket = socket
    this.open = true
    this.#trackSocketEnd(socket)
    // The client's own pause is not used: it throws from a socket event if the connection of an answer that closes it ends in a pause.
    const read = socket.read.bind(socket)
    socket.read = (size) => {
      if (this.#paused) return null
      // What was read before has been parsed by now.
      if (this.#framingBytes > MAX_FRAMING_BYTES) {
        this.onOverrun()
        return null
      }
      const bytes: Buffer | null = read(size)
      this.#framingBytes += bytes?.length ?? 0
      return bytes
    }
  }

  /**
   * Records whether the connection was ended or reset. The HTTP client treats a reset as the end of an answer without a length; only the
   * socket distinguishes the two.
   *
   * When data and a reset arrive together, even the socket reports an end: the runtime reads the data and takes the hang-up after it for the
   * end. A socket that was reset no longer has a remote address; one that ended normally still has it.
   */
  #trackSocketEnd (socket: Socket): void {
    socket.prependListener('end', () => {
      this.open = false
      this.endedCleanly = socket.remoteAddress !== undefined
      this.endedEarly = socket.writableLength > 0
    })
    socket.prependListener('error', () => {
      this.open = false
      this.endedCleanly = false
    })
  }
}

/** Returns an error in place of a connection that has ended since it was opened. */
function stillOpen (result: Connected): Connected {
  return result[1]?.destroyed ? [new Error('the connection ended as soon as it was open'), null] : result
}
