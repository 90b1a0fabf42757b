/** Distributes the requests that endpoints with a limit take among all daemons. */
import type { DaemonId, EndpointId, PoolName } from '../ids/index.ts'
import type { LimitObservation } from './observed_limits.ts'
import { SlotLedger, type FragileEndpoint, type SlotReport } from './slot_ledger.ts'

/** Permits that a daemon needs for a pool, for urgent and for other requests. */
export interface PermitRequest {
  pool: PoolName
  urgent: number
  normal: number
  /** True if the requests wait for permits; otherwise they go elsewhere if there is none now. */
  waits: boolean
}

/** Number of requests that a daemon may send to an endpoint. */
export type PermitGrant = readonly [endpoint: EndpointId, count: number]

/** Estimated time until a new request of the pool gets a permit, in milliseconds, for an urgent and for any other request. */
export interface PermitWait { pool: PoolName, urgentMs: number, normalMs: number }

/** Options of {@linkcode PermitAllocator.allocate}. */
export interface AllocateOptions {
  /** Limits in force. */
  limits: Iterable<LimitObservation>
  /** Part of all daemons that this allocator serves, in [0, 1]. Allocators of several groups of daemons together grant no more than one would. */
  share: number
  now: number
  /** Permits that the daemon did not use in time. Default: none. */
  unused?: readonly PermitGrant[]
  /** Endpoints that must not be overrun, whether or not they have a limit; another list whenever they change. Default: none. */
  fragile?: readonly FragileEndpoint[]
  /** What the daemon has at those endpoints. Default: unchanged. */
  slots?: SlotReport
}

/** A daemon that needs permits and did not get all of them. */
interface WaitingDaemon { urgent: number, normal: number, sinceMs: number, requestedAtMs: number }
/** Permits of an endpoint that are available now. */
interface Bucket { pool: PoolName, perS: number, permits: number, filledAtMs: number }

/** Permits that are left for an endpoint. */
interface AvailablePermits { endpoint: EndpointId, permits: number }

const MS_PER_S = 1000
/** Permits that accumulate while nobody needs them: a constant number, and the permits of this many seconds. */
const BASE_CAPACITY = 2
const CAPACITY_S = 0.5
/** Age at which a daemon's request expires, in milliseconds: a daemon that still waits requests again several times in this time. */
const REQUEST_EXPIRY_MS = 1500
/** Maximum estimate of a wait, in milliseconds. */
const MAX_WAIT_MS = 8000

/**
 * Grants permits at the rate of each endpoint's limit, to the daemons that have waited longest; urgent requests come first.
 *
 * A pool's permits are interchangeable: a daemon requests permits of a pool and gets those of the endpoints that have most left, so that all of
 * the limits are used although no daemon knows which endpoint has room.
 */
export class PermitAllocator {
  readonly #ledger = new SlotLedger()
  #lastGrants = 0
  #fragile: readonly FragileEndpoint[] = []
  readonly #fragileByPool = new Map<PoolName, EndpointId[]>()
  readonly #buckets = new Map<EndpointId, Bucket>()
  readonly #waiting = new Map<PoolName, Map<DaemonId, WaitingDaemon>>()

  /** Grants a daemon what it can have of the permits that it needs. What it waits for replaces what it waited for before. */
  allocate (daemon: DaemonId, requests: readonly PermitRequest[], options: AllocateOptions): { grants: PermitGrant[], waits: PermitWait[], number: number } {
    this.#refill(options)
    if (options.slots) this.#ledger.report(daemon, options.slots, options.now)
    this.#lastGrants++
    for (const [endpoint, count] of options.unused ?? []) this.#giveBack(endpoint, count)
    const grants = new Map<EndpointId, number>()
    const waits = requests.map((request): PermitWait => {
      const left = this.#grant(daemon, request, { ...options, grants })
      return this.#estimateWait(request.pool, { ...options, left })
    })
    return { grants: [...grants], waits, number: this.#lastGrants }
  }

  #refill ({ limits, share, now, fragile = [] }: AllocateOptions): void {
    const limited = new Set<EndpointId>()
    for (const { endpoint, pool, perS } of limits) {
      if (perS === undefined) continue
      limited.add(endpoint)
      // A new limit starts without permits, since the endpoint still has the requests that were sent before.
      const { permits, filledAtMs } = this.#buckets.get(endpoint) ?? { permits: 0, filledAtMs: now }
      this.#buckets.set(endpoint, { pool, perS, permits: Math.min(capacityOf({ perS }), permits + perS * share * (now - filledAtMs) / MS_PER_S), filledAtMs: now })
    }
    for (const endpoint of this.#buckets.keys()) if (!limited.has(endpoint)) this.#buckets.delete(endpoint)
    if (fragile !== this.#fragile) this.#replaceFragile(fragile, now)
  }

  #replaceFragile (fragile: readonly FragileEndpoint[], now: number): void {
    this.#fragile = fragile
    this.#ledger.update(fragile, now)
    this.#fragileByPool.clear()
    for (const { endpoint, pool } of fragile) this.#fragileByPool.set(pool, [...this.#fragileByPool.get(pool) ?? [], endpoint])
  }

  #giveBack (endpoint: EndpointId, count: number): void {
    const bucket = this.#buckets.get(endpoint)
    if (bucket) bucket.permits = Math.min(capacityOf(bucket), bucket.permits + count)
  }

  /** Grants what a request can have, and returns what is left for each endpoint of its pool. */
  #grant (daemon: DaemonId, { pool, urgent, normal, waits }: PermitRequest, { now, share, grants }: AllocateOptions & { grants: Map<EndpointId, number> }): AvailablePermits[] {
    const waiting = this.#waitingIn(pool, now)
    const sinceMs = waiting.get(daemon)?.sinceMs ?? now
    const request: WaitingDaemon = { urgent, normal, sinceMs, requestedAtMs: now }
    const ahead = [...waiting].filter(([other, entry]) => other !== daemon && precedes(entry, request)).length
    const left = this.#available(pool, { share, now })
    const available = left.reduce((sum, { permits }) => sum + Math.floor(permits), 0)
    const granted = Math.max(0, Math.min(urgent + normal, available - ahead))
    for (let i = 0; i < granted; i++) {
      const fullest = left.reduce((best, each) => (each.permits > best.permits ? each : best))
      fullest.permits--
      this.#take(daemon, fullest.endpoint, now)
      grants.set(fullest.endpoint, (grants.get(fullest.endpoint) ?? 0) + 1)
    }
    if (waits) this.#recordWaiting(daemon, { request, granted, waiting })
    return left
  }

  #take (daemon: DaemonId, endpoint: EndpointId, now: number): void {
    const bucket = this.#buckets.get(endpoint)
    if (bucket) bucket.permits--
    this.#ledger.granted(daemon, { endpoint, number: this.#lastGrants, now })
  }

  #recordWaiting (daemon: DaemonId, { request, granted, waiting }: { request: WaitingDaemon, granted: number, waiting: Map<DaemonId, WaitingDaemon> }): void {
    const { urgent, normal, sinceMs, requestedAtMs } = request
    const left = { urgent: Math.max(0, urgent - granted), normal: Math.max(0, normal - Math.max(0, granted - urgent)) }
    if (left.urgent + left.normal === 0) waiting.delete(daemon)
    else waiting.set(daemon, { ...request, ...left, sinceMs: granted > 0 ? requestedAtMs : sinceMs })
  }

  #waitingIn (pool: PoolName, now: number): Map<DaemonId, WaitingDaemon> {
    const waiting = this.#waiting.get(pool) ?? new Map<DaemonId, WaitingDaemon>()
    this.#waiting.set(pool, waiting)
    for (const [daemon, { requestedAtMs }] of waiting) if (now - requestedAtMs > REQUEST_EXPIRY_MS) waiting.delete(daemon)
    return waiting
  }

  /** Endpoints of a pool with the permits that are left for each. */
  #available (pool: PoolName, at: { share: number, now: number }): AvailablePermits[] {
    const limited = [...this.#buckets].filter(([, bucket]) => bucket.pool === pool).map(([endpoint, bucket]) => ({ endpoint, permits: Math.min(bucket.permits, this.#ledger.free(endpoint, at)) }))
    const fragile = (this.#fragileByPool.get(pool) ?? []).filter((endpoint) => !this.#buckets.has(endpoint)).map((endpoint) => ({ endpoint, permits: this.#ledger.free(endpoint, at) }))
    return [...limited, ...fragile]
  }

  /** Divides the permits that are needed before a new one by the rate of all limits of the pool. */
  #estimateWait (pool: PoolName, { share, now, left }: { share: number, now: number, left: readonly AvailablePermits[] }): PermitWait {
    const ratePerS = left.reduce((sum, { endpoint }) => sum + Math.min((this.#buckets.get(endpoint)?.perS ?? Infinity) * share, this.#ledger.grantsPerS(endpoint, now)), 0)
    const available = left.reduce((sum, { permits }) => sum + permits, 0)
    const waiting = [...this.#waiting.get(pool)!.values()]
    const sumOf = (count: (daemon: WaitingDaemon) => number) => waiting.reduce((sum, daemon) => sum + count(daemon), 0)
    // Without a rate the wait is unknown: the limit or its share has not been learned yet.
    const waitMs = (ahead: number) => (ahead + 1 <= available || ratePerS === 0 ? 0 : Math.min(MAX_WAIT_MS, (ahead + 1 - available) * MS_PER_S / ratePerS))
    return { pool, urgentMs: waitMs(sumOf(({ urgent }) => urgent)), normalMs: waitMs(sumOf(({ urgent, normal }) => urgent + normal)) }
  }
}

function capacityOf ({ perS }: Pick<Bucket, 'perS'>): number {
  return BASE_CAPACITY + CAPACITY_S * perS
}

/** Returns true if a waiting daemon gets a permit before another. */
function precedes (a: WaitingDaemon, b: WaitingDaemon): boolean {
  const [aUrgent, bUrgent] = [a.urgent > 0, b.urgent > 0]
  return aUrgent === bUrgent ? a.sinceMs < b.sinceMs : aUrgent
}
