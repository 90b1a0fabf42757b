/** Connections of one daemon to all endpoints that it proxies to. */
import type { EndpointId } from '../../core/ids/index.ts'
import type { EndpointView } from '../../core/routing/index.ts'
import { ConnectionPool } from './connection_pool.ts'
import type { Connection } from './connection.ts'

/** Options of {@linkcode ExchangeClient}. */
export interface ExchangeClientOptions {
  /** Most connections that this daemon may have to one endpoint. */
  connectionsTo (view: EndpointView): number
  /** Called for each connection that is opened. */
  onOpen?: (view: EndpointView) => void
}

/** Keeps one pool of connections for each endpoint. */
export class ExchangeClient {
  readonly #options: ExchangeClientOptions
  readonly #pools = new Map<EndpointId, ConnectionPool>()

  constructor (options: ExchangeClientOptions) {
    this.#options = options
  }

  /** Requests that could be sent to an endpoint now. */
  free (view: EndpointView): number {
    return this.#poolOf(view).free
  }

  /** Lends a connection; undefined when all that may be open are busy. */
  take (view: EndpointView): Connection | undefined {
    return this.#poolOf(view).take()
  }

  /** Takes back a connection that is ready for another request. */
  give (view: EndpointView, connection: Connection): void {
    const pool = this.#pools.get(view.id)
    if (pool) pool.give(connection)
    else connection.close()
  }

  /** Closes idle connections to endpoints that are gone. */
  keepOnly (known: ReadonlySet<EndpointId>): void {
    for (const [id, pool] of this.#pools) {
      if (known.has(id)) continue
      pool.retire()
      this.#pools.delete(id)
    }
  }

  /** Closes all connections to an endpoint whose process ended, those with a request on them too. */
  cut (id: EndpointId): void {
    this.#pools.get(id)?.cut()
    this.#pools.delete(id)
  }

  #poolOf (view: EndpointView): ConnectionPool {
    const most = this.#options.connectionsTo(view)
    let pool = this.#pools.get(view.id)
    if (!pool) {
      pool = new ConnectionPool({ address: view.address, most, onOpen: () => this.#options.onOpen?.(view) })
      this.#pools.set(view.id, pool)
    }
    pool.limit(most)
    return pool
  }
}
