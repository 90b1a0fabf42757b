/** Connections to one endpoint. */
import { Connection } from './connection.ts'

/** Options of {@linkcode ConnectionPool}. */
export interface ConnectionPoolOptions {
  /** IP number and port. */
  address: string
  /** Most connections open at once. */
  most: number
  /** Called for each connection that is opened. */
  onOpen?: () => void
}

/** Lends connections, the one used last first, so that the others can grow old and close. */
export class ConnectionPool {
  readonly #options: ConnectionPoolOptions
  readonly #idle: Connection[] = []
  readonly #all = new Set<Connection>()
  #most: number

  constructor (options: ConnectionPoolOptions) {
    this.#options = options
    this.#most = options.most
  }

  /** Connections open now. */
  get size (): number { return this.#all.size }
  /** Requests that could be sent now. */
  get free (): number { return this.#idle.length + Math.max(0, this.#most - this.#all.size) }

  /** Changes how many connections may be open; what is open stays. */
  limit (most: number): void {
    this.#most = most
  }

  /** Lends a connection; undefined when all that may be open are busy. */
  take (): Connection | undefined {
    const idle = this.#idle.pop()
    if (idle) return idle
    return this.#all.size < this.#most ? this.#open() : undefined
  }

  /** Takes a connection back that is ready for another request. */
  give (connection: Connection): void {
    if (!connection.closed) this.#idle.push(connection)
  }

  /** Closes every idle connection; those in use close after their request. */
  retire (): void {
    this.#most = 0
    for (const connection of [...this.#idle]) connection.close()
  }

  /** Closes every connection, with whatever is under way on it. */
  cut (): void {
    this.#most = 0
    for (const connection of [...this.#all]) connection.close()
  }

  #open (): Connection {
    const connection = new Connection(this.#options.address)
    this.#all.add(connection)
    connection.onClose = () => this.#forget(connection)
    this.#options.onOpen?.()
    return connection
  }

  #forget (connection: Connection): void {
    this.#all.delete(connection)
    const at = this.#idle.indexOf(connection)
    if (at >= 0) this.#idle.splice(at, 1)
  }
}
