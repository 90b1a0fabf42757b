/** The part of the shared configuration that applies to requests, independent of its source format. */
import type { AccountId, FailureDomain, PoolName } from '../ids/index.ts'
import type { WorkClass } from '../work/index.ts'

/** Share of a class's requests that one pool serves. */
export interface PoolShare {
  pool: PoolName
  /** Weight relative to the other shares of the class; a share of weight 0 gets no new requests. */
  weight: number
}

/** Maps requests for a host name and a path prefix to their class and pools. */
export interface Route {
  host: string
  pathPrefix: string
  cls: WorkClass
  /** Without any share of a positive weight, new requests are refused. */
  pools: readonly PoolShare[]
  /** True if requests are served without a credential. */
  anonymous: boolean
}

/** Rate limit of a client account across all daemons. */
export interface Quota {
  unit: 'requests' | 'tokens'
  /** Sustained rate in units per second. */
  perS: number
  /** Burst size in units. */
  burst: number
  /** Tokens charged for a request without a token count. */
  plainTokens: number
}

/** A client account. */
export interface Account {
  id: AccountId
  /** Priority of all its requests, 0 being the highest; undefined to use the priority of each class. */
  priority: number | undefined
  /** Undefined if unlimited. */
  quota: Quota | undefined
}

/** The client accounts of a configuration. */
export interface Accounts {
  /** All accounts, those without a credential included. */
  byId: ReadonlyMap<AccountId, Account>
  byCredential: ReadonlyMap<string, Account>
}

/** Capacity and features of the model engines of a pool. */
export interface EngineCapacity {
  /** Requests decoded concurrently. */
  batchSlots: number
  kvTokens: number
  kvBytesPerToken: number
  /** Time for which a transferred KV cache is kept for its request, in milliseconds. */
  handleMs: number
  /** True if the KV cache can be transferred between engines of the pool while a stream runs. */
  movesKv: boolean
  /** True if the KV cache can be backed up to another engine while it grows. */
  backsUpKv: boolean
}

/** Limits and prices of a pool's endpoints. */
export interface Scaling {
  /** Minimum number of endpoints in each failure domain, on-demand and reclaimable together. */
  min: number
  /** Maximum number of endpoints in each failure domain, on-demand and reclaimable together. */
  max: number
  /** Time from ordering an endpoint to its first request, in milliseconds. */
  bootMs: number
  /** Price of a reclaimable endpoint as a fraction of the on-demand price; undefined if the pool has none. */
  reclaimableShare: number | undefined
  /** Price of an on-demand endpoint per second, by failure domain. */
  pricePerS: ReadonlyMap<FailureDomain, number>
}

/** Group of endpoints that serve the same work. */
export interface Pool {
  name: PoolName
  healthPath: string
  /** Maximum number of connections to one endpoint from all daemons together. */
  maxConnections: number
  engine: EngineCapacity | undefined
  scaling: Scaling | undefined
}

/** Size and time limits for requests of callers. */
export interface CallerLimits {
  /** Maximum size of the headers in bytes. */
  headerBytes: number
  /** Maximum size of the body in bytes. */
  bodyBytes: number
  /** Timeout for receiving the headers of a request, in milliseconds. */
  headerMs: number
  /** Timeout of idle connections, in milliseconds. */
  idleMs: number
}

/** One revision of the configuration. */
export interface Catalog {
  /** Revision number; it never decreases on a daemon. */
  revision: number
  routes: readonly Route[]
  pools: ReadonlyMap<PoolName, Pool>
  /** Undefined if the configuration names no accounts, so that no request needs a credential; without any account or credential, no request has a valid one. */
  accounts: Accounts | undefined
  limits: CallerLimits
}
