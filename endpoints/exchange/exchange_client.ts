/** Connection pools of one daemon for all endpoints that it proxies to. */
import type { EndpointId } from '../../core/ids/index.ts'
import type { EndpointView } from '../../core/routing/index.ts'
import type { PollWatch } from '../../core/time/index.ts'
import { ConnectionPool } from './connection_pool.ts'
import type { Connection } from './connection.ts'

/** Options of {@linkcode ExchangeClient}. */
export interface ExchangeClientOptions {
  /** Returns the maximum number of connections that this daemon may have to an endpoint. */
  maxConnections (view: EndpointView): number
  /** Returns the IP address and port to connect to for an endpoint's address. Default: the address itself. */
  addressOf?: ((address: string) => string) | undefined
  /** Called for each connection that is opened. */
  onOpen?: (view: EndpointView) => void
  /** Called with the time that a connection to an endpoint took to open, in milliseconds. Default: it is not observed. */
  onConnected?: ((view: EndpointView, tookMs: number) => void) | undefined
  /** Called for each connection that is closed. */
  onClose?: () => void
  /** Tells whether callers may have left unnoticed while a connection was opened. Default: they never have. */
  poll?: PollWatch | undefined
}

/** Keeps one connection pool for each endpoint. */
export class ExchangeClient {
  readonly #options: ExchangeClientOptions
  readonly #pools = new Map<EndpointId, ConnectionPool>()

  constructor (options: ExchangeClientOptions) {
    this.#options = options
  }

  /** Number of connections to an endpoint that can be acquired now. */
  available (view: EndpointView): number {
    return this.#poolOf(view).available
  }

  /** Returns whether an open connection to an endpoint is free. */
  hasIdle (view: EndpointView): boolean {
    return (this.#pools.get(view.id)?.idle ?? 0) > 0
  }

  /** Closes the idle connections to an endpoint. */
  dropIdle (id: EndpointId): void {
    this.#pools.get(id)?.dropIdle()
  }

  /** Returns whether any connection to an endpoint is open. */
  isConnected (view: EndpointView): boolean {
    return this.#pools.get(view.id)?.isConnected ?? false
  }

  /** Acquires an idle or new connection; undefined when the maximum number are in use. */
  acquire (view: EndpointView): Connection | undefined {
    return this.#poolOf(view).acquire()
  }

  /** Returns a connection that is ready for another request; closes it if its endpoint is no longer known. */
  release (view: EndpointView, connection: Connection): void {
    const pool = this.#pools.get(view.id)
    if (pool) pool.release(connection)
    else connection.close()
  }

  /** Removes the pools of all other endpoints and closes their idle connections. */
  keepOnly (known: ReadonlySet<EndpointId>): void {
    for (const [id, pool] of this.#pools) {
      if (known.has(id)) continue
      pool.closeIdle()
      this.#pools.delete(id)
    }
  }

  /** Closes all connections to an endpoint whose process ended, including those with a request in progress. */
  cut (id: EndpointId): void {
    this.#pools.get(id)?.cut()
    this.#pools.delete(id)
  }

  #poolOf (view: EndpointView): ConnectionPool {
    const maxConnections = this.#options.maxConnections(view)
    let pool = this.#pools.get(view.id)
    if (!pool) {
      const { addressOf, onOpen, onClose, onConnected, poll } = this.#options
      pool = new ConnectionPool({
        address: () => addressOf?.(view.address) ?? view.address,
        maxConnections,
        poll,
        onOpen: () => onOpen?.(view),
        onClose: () => onClose?.(),
        ...(onConnected && { onConnected: (tookMs) => onConnected(view, tookMs) })
      })
      this.#pools.set(view.id, pool)
    }
    pool.limit(maxConnections)
    return pool
  }
}
