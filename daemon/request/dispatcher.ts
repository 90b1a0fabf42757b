/** Assigns requests to endpoints and queues those that no endpoint has room for. */
import { FairQueue, type RequestQueue } from '../../core/admission/index.ts'
import { isStartOf, type EndpointId, type PoolName } from '../../core/ids/index.ts'
import { backsOff, runningNow, type EndpointView, type PrefixIndex, type Random, type Route, type RouteQuery, type Router } from '../../core/routing/index.ts'
import type { PromptPart } from '../../core/work/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { remainingBackOffMs } from '../endpoints/_work_pauses.ts'
import type { EndpointSelection } from '../endpoints/_endpoint_selections.ts'
import type { EndpointTable } from '../endpoints/endpoint_table.ts'
import { findEntry, latestStartMs, remainingFirstTokenMs, remainingTokens, totalTokens, updateStartRate, type PoolState } from './_waiting.ts'
import type { RoomGate } from './room_gate.ts'
import type { CanaryGate, EndpointLimiter, Placement, RequestWay, RequestWays } from './placement.ts'

/** Options of {@linkcode Dispatcher}. */
export interface DispatcherOptions {
  table: EndpointTable
  router: Router
  prefixes: PrefixIndex
  /** Returns the home of a prompt's shared prefix: the endpoint that all daemons send it to. Default: none. */
  home? (parts: readonly PromptPart[], candidates: readonly EndpointView[]): EndpointView | undefined
  /** Selects requests for canary endpoints. Default: no version is on trial. */
  canaries?: CanaryGate
  /** Limits the rate of requests to some endpoints. Default: none has a limit. */
  limits?: EndpointLimiter
  /** Finds other ways for requests to endpoints that this daemon cannot reach. Default: all endpoints can be reached. */
  ways?: RequestWays
  /** Refuses requests while there is too little room for all. Default: none is refused for the prompts that wait at the endpoints. */
  gate?: RoomGate
  /** Spreads the times at which refused callers return. Default: they are not spread. */
  random?: Random
  /** Creates the queue of a pool. Default: {@linkcode FairQueue}. */
  queue?: () => RequestQueue<Placement>
}

/**
 * Urgent requests that may queue at an endpoint in excess of its batch slots.
 *
 * The endpoint gives them the next free slot ahead of all other requests. If they were queued here instead, every daemon would send its own at the moment the news
 * of the free slot arrives. Endpoints can queue a few requests more than they have slots.
 */
const MAX_URGENT_WAITING = 12
/**
 * Least number of shared prompt tokens for which the home is chosen from all endpoints of the pool, rather than from those that this daemon is connected to.
 *
 * When there are more endpoints than a daemon connects to, daemons that choose from their own connections choose different homes, and a prefix shared by hundreds
 * of requests is prefilled at dozens of endpoints. Prefilling this many tokens takes an engine ten times as long as opening a connection.
 */
const MIN_TOKENS_FOR_CONNECTION = 2000
const MIN_RETRY_AFTER_MS = 500
/** Longest time by which callers return after the end of a back-off, in milliseconds. Urgent requests return first. */
const RETURN_SPREAD_MS = 500
const SWEEP_MS = 250
/** Delay after which callers return that are refused because no endpoint can be reached, in milliseconds. */
const CUT_OFF_RETRY_AFTER_MS = 1000
/** Reason for refusing a request of a pool of which no endpoint can be reached. */
export const CUT_OFF_REASON = 'no endpoint of the pool can be reached'
/** Reason for refusing a request that no endpoint can begin in time. */
export const NO_ROOM_REASON = 'no room in time'
/** Reason for refusing a request while all endpoints that could take it have asked for time. */
export const BACK_OFF_REASON = 'all endpoints asked for time'

/** Reason for refusing to continue a stream of whose version no endpoint can take it. */
export const VERSION_GONE_REASON = 'no endpoint runs the version that began the stream'
/**
 * Delay after which callers return whose stream's version has only endpoints that fail, in milliseconds: a crashed endpoint is replaced in about that time. If no endpoint is
 * listed, it is of no use to return.
 */
const VERSION_GONE_RETRY_AFTER_MS = 2000

/** Endpoints to choose from, and the number of prompt tokens that each is expected to have cached. */
interface CandidateSet { candidates: readonly EndpointView[], cached: Map<EndpointId, number> }
/** Whether a request may ask for a permit before it is placed, and whether it was granted one. */
interface Permission { mayAsk: boolean, isGranted?: boolean }

/** Routes placements to endpoints, with one queue per pool, and one per version for streams that continue: nothing else waits behind them. */
export class Dispatcher {
  readonly #options: DispatcherOptions
  readonly #pools = new Map<string, PoolState>()
  /** Requests that have asked whether they may go to an endpoint with a limit. */
  readonly #asking = new Set<Placement>()
  #sweepTimer: NodeJS.Timeout | undefined

  constructor (options: DispatcherOptions) {
    this.#options = options
  }

  /** Number of queued requests. */
  get queued (): number {
    return [...this.#pools.values()].reduce((sum, pool) => sum + pool.queue.length, 0)
  }

  /** Number of requests queued for a pool. */
  queuedIn (pool: PoolName): number {
    return this.#queuesOf(pool).reduce((sum, queue) => sum + queue.length, 0)
  }

  /** Numbers of urgent and other requests queued for a pool. */
  queuedByUrgency (pool: PoolName): { urgent: number, normal: number } {
    const urgent = this.#queuesOf(pool).reduce((sum, queue) => sum + queue.urgentLength, 0)
    return { urgent, normal: this.queuedIn(pool) - urgent }
  }

  #queuesOf (pool: PoolName): RequestQueue<Placement>[] {
    return [...this.#pools.values()].filter(({ name }) => name === pool).map(({ queue }) => queue)
  }

  /** Starts a request, queues it, or refuses it at once if it is not expected to start in time. */
  place (placement: Placement): void {
    const pool = this.#poolState(placement)
    const way = this.#wayFor(placement)
    if (way.type !== 'direct') return this.#placeElsewhere(placement, way, pool)
    if (this.#refuseIfVersionGone(placement) || this.#refuseForWantOfRoom(placement)) return
    if (pool.queue.length === 0 && (this.#start(placement, pool, { mayAsk: true }) || this.#asking.has(placement))) return
    this.#queueOrRefuse(placement, pool)
  }

  #wayFor ({ pool, cls, delegated, avoidDelegates = [] }: Placement): RequestWay {
    return this.#options.ways?.wayFor({ pool, idempotent: cls.idempotent, mayDelegate: delegated !== undefined, avoidDelegates }) ?? { type: 'direct' }
  }

  /** Places a request that cannot be sent to an endpoint from here now. */
  #placeElsewhere (placement: Placement, way: Exclude<RequestWay, { type: 'direct' }>, pool: PoolState): void {
    if (way.type === 'delegate') placement.delegated!(way.to)
    else if (way.type === 'wait') this.#enqueue(placement, pool, { expectedMs: 0, startByMs: latestStartMs(placement) })
    else placement.refused(CUT_OFF_REASON, CUT_OFF_RETRY_AFTER_MS + this.#returnSpreadMs(placement))
  }

  /**
   * Refuses to continue a stream if its pool serves, and no endpoint of its version can take it soon: its caller is not held for a version that may never be back. While no
   * endpoint of the pool serves, those that are listed next may run any version.
   */
  #refuseIfVersionGone (placement: Placement): boolean {
    const { pool, boundTo } = placement
    if (boundTo?.version === undefined || this.#options.table.usable(pool).every(({ version }) => version === boundTo.version)) return false
    const now = steadyNow()
    const { usable } = this.#endpointsFor(placement)
    if (usable.some(({ ejectedUntilMs }) => ejectedUntilMs - now < VERSION_GONE_RETRY_AFTER_MS)) return false
    placement.refused(VERSION_GONE_REASON, usable.length > 0 ? VERSION_GONE_RETRY_AFTER_MS : Infinity)
    return true
  }

  #refuseForWantOfRoom (placement: Placement): boolean {
    const verdict = this.#options.gate?.judge(placement, () => this.#uncachedTokens(placement))
    if (verdict?.type !== 'refuse') return false
    const { waitMs, allowedMs, retryAfterMs } = verdict
    placement.noRoom?.({ waitMs, allowedMs, retryAfterMs })
    placement.refused(NO_ROOM_REASON, retryAfterMs)
    return true
  }

  /** Returns the prompt tokens that are not cached at the endpoint that has most of them. */
  #uncachedTokens (placement: Placement): number {
    const { cached } = this.#candidatesFor(placement, steadyNow())
    return Math.max(0, placement.demand.promptTokens - Math.max(0, ...cached.values()))
  }

  #endpointsFor ({ pool, boundTo }: Placement): EndpointSelection {
    return this.#options.table.select(pool, boundTo)
  }

  #returnSpreadMs ({ cls }: Placement): number {
    return cls.urgent ? 0 : RETURN_SPREAD_MS * (this.#options.random?.() ?? 0)
  }

  #enqueue (placement: Placement, pool: PoolState, { expectedMs, startByMs }: { expectedMs: number, startByMs: number }): void {
    const { urgent } = placement.cls
    const ahead = pool.queue.ahead(placement.account, urgent)
    pool.queue.push({ account: placement.account, tokens: totalTokens(placement), startByMs, urgent, item: placement })
    placement.waits({ ahead, expectedMs, latestStartInMs: startByMs - steadyNow(), candidates: this.#endpointsFor(placement).connected.length })
    this.#options.limits?.queued()
    this.#scheduleSweep()
  }

  #queueOrRefuse (placement: Placement, pool: PoolState): void {
    const { urgent } = placement.cls
    const ahead = pool.queue.ahead(placement.account, urgent)
    // Work that ran before is not given up while its deadline allows another endpoint to be listed.
    const backOffMs = placement.resumed ? 0 : remainingBackOffMs(this.#endpointsFor(placement).usable)
    const waitMs = Math.max((ahead + 1) * pool.msPerStart, this.#permitWaitMs(placement), backOffMs)
    const startByMs = latestStartMs(placement)
    if (steadyNow() + waitMs > startByMs) return this.#refuse(placement, { waitMs, backOffMs })
    this.#enqueue(placement, pool, { expectedMs: waitMs, startByMs })
  }

  #refuse (placement: Placement, { waitMs, backOffMs }: { waitMs: number, backOffMs: number }): void {
    const spreadMs = backOffMs > 0 ? this.#returnSpreadMs(placement) : 0
    placement.refused(backOffMs > 0 ? BACK_OFF_REASON : NO_ROOM_REASON, Math.max(MIN_RETRY_AFTER_MS, waitMs) + spreadMs)
  }

  /** Returns the wait for a permit if all endpoints of the pool have a limit; 0 otherwise. */
  #permitWaitMs (placement: Placement): number {
    const { limits } = this.#options
    if (!limits) return 0
    const { pool, cls } = placement
    const { usable } = this.#endpointsFor(placement)
    return usable.length > 0 && usable.every((view) => limits.isLimited(view)) ? limits.waitMs(pool, cls.urgent) : 0
  }

  /** Starts queued requests that now have room and refuses those that are too late. Must be called whenever room may have become free. */
  startQueued (): void {
    const now = steadyNow()
    for (const pool of this.#pools.values()) {
      const backOffMs = this.#options.table.backOffMs(pool.name)
      const expired = pool.queue.expire(now, ({ resumed }) => (resumed ? 0 : backOffMs))
      for (const late of expired) this.#refuse(late.item, { waitMs: Math.max(pool.msPerStart, backOffMs), backOffMs })
      this.#drain(pool)
    }
  }

  /** Removes a request from the queue, if it is queued. */
  remove (placement: Placement): void {
    this.#asking.delete(placement)
    for (const pool of this.#pools.values()) {
      const entry = findEntry(pool.queue, placement)
      if (entry) pool.queue.remove(entry)
    }
  }

  #drain (pool: PoolState): void {
    for (let next = pool.queue.peek(); next; next = pool.queue.peek()) {
      if (this.#refuseIfVersionGone(next.item)) {
        pool.queue.remove(next)
        continue
      }
      const way = this.#wayFor(next.item)
      if (way.type === 'wait' || (way.type === 'direct' && !this.#start(next.item, pool, { mayAsk: false }))) return
      pool.queue.remove(next)
      if (way.type !== 'direct') this.#placeElsewhere(next.item, way, pool)
    }
  }

  #start (placement: Placement, pool: PoolState, permission: Permission): boolean {
    const now = steadyNow()
    if (this.#startCanary(placement, now)) return true
    const set = this.#candidatesFor(placement, now)
    return this.#startAt(placement, { pool, now, ...permission, ...set }) || this.#startAtOthers(placement, pool, set)
  }

  /** Starts a request at an endpoint that this daemon is not connected to, if none of its own has room: a new connection costs less than a refusal. */
  #startAtOthers (placement: Placement, pool: PoolState, { candidates, cached }: CandidateSet): boolean {
    if (this.#asking.has(placement)) return false
    const others = this.#endpointsFor(placement).usable.filter((view) => !candidates.includes(view))
    return others.length > 0 && this.#startAt(placement, { pool, now: steadyNow(), mayAsk: false, candidates: others, cached })
  }

  /** Sends a request to a canary endpoint. Requests that an earlier attempt was made for are excluded. */
  #startCanary (placement: Placement, now: number): boolean {
    const { canaries: gate, prefixes } = this.#options
    if (!gate || placement.resumed || placement.boundTo || placement.avoid.length > 0) return false
    const candidates = gate.canaries(placement)
    if (candidates.length === 0) return false
    const started = this.#startAt(placement, { pool: undefined, now, mayAsk: false, candidates, cached: prefixes.lookup(placement.demand.parts, now) })
    if (started) gate.spent(placement)
    return started
  }

  #startAt (placement: Placement, { pool, now, candidates, cached, mayAsk, isGranted }: CandidateSet & Permission & { pool: PoolState | undefined, now: number }): boolean {
    const withRoom = this.#preferPermitted(placement, candidates.filter((view) => this.#hasRoom(view, placement.cls.urgent) && !backsOff(view, now) && this.#canSend(view, placement) && (placement.accepts?.(view) ?? true)), isGranted)
    // When every endpoint with room has failed the request before, all of them are candidates again; the retry budget limits how often.
    const failed = failedEndpoints(placement, withRoom)
    const avoid = failed.length < withRoom.length ? failed : []
    const query: RouteQuery = {
      promptTokens: placement.demand.promptTokens + placement.doneTokens,
      expectedTokens: remainingTokens(placement),
      firstTokenMs: remainingFirstTokenMs(placement, now),
      lane: placement.cls.urgent ? 'urgent' : 'normal',
      betweenTokensMs: placement.cls.latency.betweenTokensMs,
      avoid,
      cachedTokens: (id) => cached.get(id) ?? 0
    }
    const route = this.#pickWithinLimits(placement, query, { candidates: withRoom, now, mayAsk })
    if (!route) return false
    if (pool) updateStartRate(pool, now)
    this.#options.prefixes.record(placement.demand.parts, route.view.id, now)
    placement.placed(route.view, route)
    return true
  }

  #hasRoom (view: EndpointView, urgent: boolean): boolean {
    return hasRoom(view, urgent) || this.#options.limits?.hasReservedSlot(view) === true
  }

  #canSend (view: EndpointView, { cls }: Placement): boolean {
    return this.#options.ways?.canSend(view, cls) ?? true
  }

  /** Returns the endpoints whose permits a request may use, if it was granted one; otherwise all of the given ones. */
  #preferPermitted (placement: Placement, views: readonly EndpointView[], isGranted = false): readonly EndpointView[] {
    const permitted = isGranted ? this.#options.limits?.permitted(placement.pool) ?? [] : []
    const failed = failedEndpoints(placement, views)
    const preferred = views.filter(({ id }) => permitted.includes(id) && !failed.includes(id))
    return preferred.length > 0 ? preferred : views
  }

  /** Picks an endpoint, or if that one may get no request now because of its limit, the best of those that may. */
  #pickWithinLimits (placement: Placement, query: RouteQuery, { candidates, now, mayAsk }: { candidates: readonly EndpointView[], now: number, mayAsk: boolean }): Route | undefined {
    const { router, limits } = this.#options
    const route = router.pick(query, candidates, now)
    if (!route || !limits || limits.mayStart(route.view)) return route
    if (mayAsk && this.#askFirst(placement, route.view, limits)) return undefined
    if (mayAsk) recordDiversion(placement, route.view, limits)
    return router.pick(query, candidates.filter((view) => limits.mayStart(view)), now)
  }

  /** Asks whether the request may go to an endpoint with a limit, and places it once that is known. Returns false if it cannot be expected. */
  #askFirst (placement: Placement, preferred: EndpointView, limits: EndpointLimiter): boolean {
    const answer = limits.ask(placement.pool, placement.cls.urgent)
    if (!answer) return false
    this.#asking.add(placement)
    answer.then((isGranted) => {
      if (!this.#asking.delete(placement)) return
      if (!isGranted) recordDiversion(placement, preferred, limits)
      const pool = this.#poolState(placement)
      if (!this.#start(placement, pool, { mayAsk: false, isGranted })) this.#queueOrRefuse(placement, pool)
    })
    return true
  }

  /** Returns the endpoints that may take a request with their expected cached tokens: prefixes sent by this daemon, and at the home those sent by any daemon. */
  #candidatesFor (placement: Placement, now: number): CandidateSet {
    const { prefixes } = this.#options
    const { demand, pool } = placement
    const cached = prefixes.lookup(demand.parts, now)
    const { usable, connected } = this.#endpointsFor(placement)
    const candidates = this.#withPermitted(pool, { usable, views: connected.every((view) => backsOff(view, now)) ? usable : connected })
    const shared = demand.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0)
    const home = this.#options.home?.(demand.parts, this.#withoutLimits(shared >= MIN_TOKENS_FOR_CONNECTION ? usable : candidates))
    if (!home) return { candidates, cached }
    cached.set(home.id, Math.max(shared, cached.get(home.id) ?? 0))
    return { candidates: candidates.includes(home) ? candidates : [...candidates, home], cached }
  }

  /** Adds the endpoints that this daemon has permits for: they may be others than those that it is connected to. */
  #withPermitted (pool: PoolName, { usable, views }: { usable: readonly EndpointView[], views: readonly EndpointView[] }): readonly EndpointView[] {
    const permitted = this.#options.limits?.permitted(pool) ?? []
    if (permitted.length === 0) return views
    return [...views, ...usable.filter((view) => permitted.includes(view.id) && !views.includes(view))]
  }

  /** Endpoints without a limit, or all if each has one: a prefix is cached where all of its requests can go. */
  #withoutLimits (views: readonly EndpointView[]): readonly EndpointView[] {
    const { limits } = this.#options
    if (!limits || !views.some((view) => limits.isLimited(view))) return views
    const unlimited = views.filter((view) => !limits.isLimited(view))
    return unlimited.length > 0 ? unlimited : views
  }

  #poolState ({ pool: name, boundTo }: Placement): PoolState {
    const key = boundTo ? `${name}\0${boundTo.version ?? ''}` : name
    let pool = this.#pools.get(key)
    if (!pool) {
      pool = { name, queue: this.#options.queue?.() ?? new FairQueue(), msPerStart: 0, lastStartMs: steadyNow() }
      this.#pools.set(key, pool)
    }
    return pool
  }

  /** Polls the queues, since no event signals that a deadline has passed or an ejection has ended. */
  #scheduleSweep (): void {
    if (this.#sweepTimer !== undefined) return
    this.#sweepTimer = setTimeout(() => {
      this.#sweepTimer = undefined
      this.startQueued()
      if (this.queued > 0) this.#scheduleSweep()
    }, SWEEP_MS)
  }
}

/** Returns the endpoints that failed the request before, including those that have restarted since: a restart does not make success more likely. */
function failedEndpoints ({ avoid }: Placement, candidates: readonly EndpointView[]): EndpointId[] {
  return candidates.filter((view) => avoid.some((id) => id === view.id || (view.name !== undefined && isStartOf(view.name, id)))).map(({ id }) => id)
}

function recordDiversion (placement: Placement, preferred: EndpointView, limits: EndpointLimiter): void {
  limits.diverted()
  placement.diverted?.(preferred, limits.perS(preferred))
}

function hasRoom (view: EndpointView, urgent: boolean): boolean {
  return runningNow(view) < view.speed.batchSlots + (urgent ? MAX_URGENT_WAITING : 0)
}
