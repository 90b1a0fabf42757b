/** Connection pool of one endpoint. */
import type { PollWatch } from '../../core/time/index.ts'
import { Connection } from './connection.ts'

/** Options of {@linkcode ConnectionPool}. */
export interface ConnectionPoolOptions {
  /** Returns the IP address and port to connect to; called for each connection. */
  address (): string
  /** Maximum number of connections open at once. */
  maxConnections: number
  /** Called for each connection that is opened. */
  onOpen?: () => void
  /** Called with the time that a connection took to open, in milliseconds. */
  onConnected?: ((tookMs: number) => void) | undefined
  /** Called for each connection that is closed. */
  onClose?: () => void
  /** Tells whether callers may have left unnoticed while a connection was opened. Default: they never have. */
  poll?: PollWatch | undefined
}

/** Pool that reuses the most recently used connection first, so that the others can reach their idle timeout and close. */
export class ConnectionPool {
  readonly #options: ConnectionPoolOptions
  readonly #idle: Connection[] = []
  readonly #all = new Set<Connection>()
  #maxConnections: number

  constructor (options: ConnectionPoolOptions) {
    this.#options = options
    this.#maxConnections = options.maxConnections
  }

  /** True if a connection is open, and not only being opened. */
  get isConnected (): boolean { return [...this.#all].some(({ open }) => open) }
  /** Number of open connections that carry no request. */
  get idle (): number { return this.#idle.length }
  /** Number of connections that can be acquired now. */
  get available (): number { return this.#idle.length + Math.max(0, this.#maxConnections - this.#all.size) }

  /** Changes the maximum number of connections. Open connections stay open. */
  limit (maxConnections: number): void {
    this.#maxConnections = maxConnections
  }

  /** Acquires an idle or new connection; undefined when the maximum number are in use. */
  acquire (): Connection | undefined {
    const idle = this.#idle.pop()
    if (idle) return idle
    return this.#all.size < this.#maxConnections ? this.#open() : undefined
  }

  /** Returns a connection that is ready for another request. */
  release (connection: Connection): void {
    if (!connection.closed) this.#idle.push(connection)
  }

  /** Closes every idle connection and opens no new ones. {@linkcode ExchangeClient} closes those in use after their request. */
  closeIdle (): void {
    this.#maxConnections = 0
    this.dropIdle()
  }

  /** Closes every idle connection; new ones may be opened. */
  dropIdle (): void {
    for (const connection of [...this.#idle]) connection.close()
  }

  /** Closes every connection, including those with a request in progress, and opens no new ones. */
  cut (): void {
    this.#maxConnections = 0
    for (const connection of [...this.#all]) connection.close()
  }

  #open (): Connection {
    const connection = new Connection(this.#options.address(), this.#options)
    this.#all.add(connection)
    connection.onClose = () => this.#remove(connection)
    this.#options.onOpen?.()
    return connection
  }

  #remove (connection: Connection): void {
    this.#all.delete(connection)
    this.#options.onClose?.()
    const index = this.#idle.indexOf(connection)
    if (index >= 0) this.#idle.splice(index, 1)
  }
}
