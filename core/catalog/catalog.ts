/** Everything of the shared configuration that decides about requests, whichever form an operator wrote it in. */
import type { AccountId, FailureDomain, PoolName } from '../ids/index.ts'
import type { WorkClass } from '../work/index.ts'

/** Part of a class's requests that one pool serves. */
export interface PoolShare {
  pool: PoolName
  /** In proportion to the other shares of the class. */
  weight: number
}

/** Requests of one host name whose path begins with a prefix, and the class they belong to. */
export interface Route {
  host: string
  pathPrefix: string
  cls: WorkClass
  pools: readonly PoolShare[]
  /** Served without a credential. */
  anonymous: boolean
}

/** What a client account may ask for over all daemons. */
export interface Quota {
  unit: 'requests' | 'tokens'
  perS: number
  burst: number
  /** Tokens that a request without a token count counts for. */
  plainTokens: number
}

/** A client account. */
export interface Account {
  id: AccountId
  /** Rank of all its work, 0 goes first; undefined where that of its classes counts. */
  priority: number | undefined
  /** Undefined for no limit. */
  quota: Quota | undefined
}

/** What a model engine of a pool has room for. */
export interface EngineRoom {
  /** Requests decoded together. */
  batchSlots: number
  kvTokens: number
  kvBytesPerToken: number
  /** Longest time that a moved KV cache waits for its request, in milliseconds. */
  handleMs: number
  /** KV cache can be moved between the pool's engines while a stream runs. */
  movesKv: boolean
  /** KV cache can be copied to another engine while it grows. */
  backsUpKv: boolean
}

/** How many endpoints a pool may have, and what they cost. */
export interface Scaling {
  /** Fewest and most endpoints in each failure domain, both kinds together. */
  min: number
  max: number
  /** From the order of an endpoint to its first request, in milliseconds. */
  bootMs: number
  /** Price of a reclaimable endpoint as a part of the on-demand price. */
  reclaimableShare: number | undefined
  /** Price of a second of an on-demand endpoint. */
  pricePerS: ReadonlyMap<FailureDomain, number>
}

/** Endpoints that serve the same work. */
export interface Pool {
  name: PoolName
  healthPath: string
  /** Connections that one endpoint accepts from all daemons together. */
  maxConnections: number
  engine: EngineRoom | undefined
  scaling: Scaling | undefined
}

/** What callers may send, and how long they may take. */
export interface CallerLimits {
  headerBytes: number
  bodyBytes: number
  /** Longest time for a request's headers, in milliseconds. */
  headerMs: number
  /** Longest time without a request on an open connection, in milliseconds. */
  idleMs: number
}

/** One revision of the configuration. */
export interface Catalog {
  /** Orders catalogs; a daemon's only grows. */
  revision: number
  routes: readonly Route[]
  pools: ReadonlyMap<PoolName, Pool>
  /** Accounts by credential. */
  accounts: ReadonlyMap<string, Account>
  limits: CallerLimits
}
