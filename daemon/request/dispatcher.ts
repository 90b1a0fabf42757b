/** Assigns requests to endpoints and queues those that no endpoint has room for. */
import { FairQueue, type QueuedRequest, type RequestQueue } from '../../core/admission/index.ts'
import type { EndpointId, PoolName } from '../../core/ids/index.ts'
import { availableAtMs, backsOff, type EndpointView, type PrefixIndex, type Random, type RegionalRoute, type Route, type RouteQuery, type Router } from '../../core/routing/index.ts'
import { maxHeldTokens, type PromptPart } from '../../core/work/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { remainingBackOffMs } from '../endpoints/_work_pauses.ts'
import type { EndpointSelection } from '../endpoints/_endpoint_selections.ts'
import type { EndpointTable } from '../endpoints/endpoint_table.ts'
import { Candidates, type CandidateSet } from './_candidates.ts'
import { endpointsToAvoid, failedEndpoints, routeQuery } from './_route_query.ts'
import { findEntry, hasRoom, latestStartMs, totalTokens, type PoolState } from './_waiting.ts'
import type { CanaryGate, EndpointLimiter, EndpointMemory, Placement, RequestWay, RequestWays } from './placement.ts'
import type { RegionRouting } from './region_routing.ts'
import type { RoomGate } from './room_gate.ts'
import { StartRate } from './_start_rate.ts'
import { guarded } from '../tasks/index.ts'

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
  /** Keeps requests within the memory of endpoints. Default: it is not bounded. */
  memory?: EndpointMemory
  /** Finds other ways for requests to endpoints that this daemon cannot reach. Default: all endpoints can be reached. */
  ways?: RequestWays
  /** Refuses requests while there is too little room for all. Default: none is refused for the prompts that wait at the endpoints. */
  gate?: RoomGate
  /** Selects between regions. Default: there is one. */
  regions?: RegionRouting
  /** Spreads the times at which refused callers return. Default: they are not spread. */
  random?: Random
  /** Creates the queue of a pool. Default: {@linkcode FairQueue}. */
  queue?: () => RequestQueue<Placement>
}

const MIN_RETRY_AFTER_MS = 500
/** Longest time by which callers return after the end of a back-off, in milliseconds. Urgent requests return first. */
const RETURN_SPREAD_MS = 500
const SWEEP_MS = 250
/** Waiting requests of a pool that are tried in other regions at once. */
const MAX_SPILL_TRIES = 8
/** Requests with silent attempts that are tried at once. */
const MAX_STALLED_TRIES = 8
/** Delay after which callers return that are refused because no endpoint can be reached, in milliseconds. */
const CUT_OFF_RETRY_AFTER_MS = 1000
/** Reason for refusing a request of a pool of which no endpoint can be reached. */
export const CUT_OFF_REASON = 'no endpoint of the pool can be reached'
/** Reason for refusing a request that no endpoint can begin in time. */
export const NO_ROOM_REASON = 'no room in time'
/** Reason for refusing a request while all endpoints that could take it have asked for time. */
export const BACK_OFF_REASON = 'all endpoints asked for time'
/** Reason for refusing a request that no endpoint of its pool could run. */
export const TOO_LARGE_REASON = 'larger than the memory of any endpoint'
/** Reason for refusing to continue a stream of whose version no endpoint can take it. */
export const VERSION_GONE_REASON = 'no endpoint runs the version that began the stream'
/**
 * Delay after which callers return whose stream's version has only endpoints that fail, in milliseconds: a crashed endpoint is replaced in about that time. If no endpoint is
 * listed, it is of no use to return.
 */
const VERSION_GONE_RETRY_AFTER_MS = 2000

/** Whether a request may ask for a permit before it is placed, and whether it was granted one. */
interface Permission { mayAsk: boolean, isGranted?: boolean }
/** `onlyCrossing`: the request is started in another region or not at all, since others wait for its own. */
interface StartOptions extends Permission { now: number, pool: PoolState | undefined, onlyCrossing?: boolean }
/** `divert` is called with the endpoint that is not used because of its limit. */
interface LimitedPick { candidates: readonly EndpointView[], now: number, mayAsk: boolean, router?: Router | undefined, divert (view: EndpointView): void }

/** Routes placements to endpoints, with one queue per pool, and one per version for streams that continue: nothing else waits behind them. */
export class Dispatcher {
  readonly #options: DispatcherOptions
  readonly #candidates: Candidates
  readonly #pools = new Map<string, PoolState>()
  /** Requests that have asked whether they may go to an endpoint with a limit. */
  readonly #asking = new Set<Placement>()
  /** Requests that have a silent attempt and start another one once an endpoint can take them. */
  readonly #stalled = new Set<Placement>()
  #sweepTimer: NodeJS.Timeout | undefined

  constructor (options: DispatcherOptions) {
    this.#options = options
    this.#candidates = new Candidates(options)
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
    if (this.#options.memory?.isTooLarge(placement.pool, maxHeldTokens(placement.demand))) return placement.refused(TOO_LARGE_REASON, Infinity)
    const pool = this.#poolState(placement)
    const way = this.#wayFor(placement)
    if (way.type !== 'direct') return this.#placeElsewhere(placement, way, pool)
    if (this.#refuseIfVersionGone(placement) || this.#refuseForWantOfRoom(placement)) return
    if (pool.queue.length === 0 && (this.#start(placement, pool, { mayAsk: true }) || this.#asking.has(placement))) return
    if (pool.queue.length > 0 && this.#startElsewhere(placement, pool)) return
    this.#queueOrRefuse(placement, pool)
  }

  /** Returns true if an endpoint or another daemon can take a request now, ahead of none that waits. */
  canStartNow (placement: Placement): boolean {
    const way = this.#wayFor(placement)
    if (way.type !== 'direct' || this.#poolState(placement).queue.length > 0) return way.type === 'delegate'
    const now = steadyNow()
    const { limits, regions } = this.#options
    const mayCross = !regions || regions.mayCross(placement)
    return this.#endpointsFor(placement).connected.some((view) => availableAtMs(view) <= now && !placement.avoid.includes(view.id) && (mayCross || regions.isLocal(view)) && limits?.mayStart(view) !== false && this.#canStart(view, placement, now))
  }

  /** Sends a request to an endpoint once one can take it, ahead of those that wait: it has an attempt whose endpoint is silent. It is not refused; {@linkcode Dispatcher.remove} ends it. */
  startOnceRoom (placement: Placement): void {
    if (this.#startDirect(placement)) return
    this.#stalled.add(placement)
    this.#scheduleSweep()
  }

  #startDirect (placement: Placement): boolean {
    return this.#wayFor(placement).type === 'direct' && this.#start(placement, this.#poolState(placement), { mayAsk: false })
  }

  /** Tries a few of the requests whose endpoints are silent, others the next time. */
  #startStalled (): void {
    for (const placement of [...this.#stalled].slice(0, MAX_STALLED_TRIES)) {
      this.#stalled.delete(placement)
      if (!this.#startDirect(placement)) this.#stalled.add(placement)
    }
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
    const { cached } = this.#candidates.find(placement, this.#endpointsFor(placement), steadyNow())
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
    // Requests that wait for a grant start soon, however long ago the last one did.
    if (this.#options.memory && pool.queue.length === 0) for (const rate of [pool.rate, pool.ownRate]) rate.restart(steadyNow())
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
    const waitMs = Math.max((ahead + 1) * pool.rate.msPerStart, this.#permitWaitMs(placement), backOffMs)
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
    this.#startStalled()
    for (const pool of this.#pools.values()) {
      const backOffMs = this.#options.table.backOffMs(pool.name)
      const expired = pool.queue.expire(now, ({ resumed }) => (resumed ? 0 : backOffMs))
      for (const late of expired) this.#refuse(late.item, { waitMs: Math.max(pool.rate.msPerStart, backOffMs), backOffMs })
      this.#drain(pool)
    }
  }

  /** Removes a request from the queue, if it is queued. */
  remove (placement: Placement): void {
    this.#asking.delete(placement)
    this.#stalled.delete(placement)
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
      if (way.type === 'wait' || (way.type === 'direct' && !this.#start(next.item, pool, { mayAsk: false }))) return this.#spill(pool)
      pool.queue.remove(next)
      if (way.type !== 'direct') this.#placeElsewhere(next.item, way, pool)
    }
  }

  #start (placement: Placement, pool: PoolState, permission: Permission): boolean {
    const now = steadyNow()
    if (this.#startCanary(placement, now)) return true
    const set = this.#candidates.find(placement, this.#endpointsFor(placement), now)
    return this.#startAt(placement, set, { pool, now, ...permission }) || this.#startAtOthers(placement, pool, set)
  }

  /**
   * Starts a request at an endpoint that this daemon is not connected to, if none of its own has room: a new connection costs less than a refusal. With several regions, those of the own one
   * that have not failed the request are tried; all that it may use of others have been.
   */
  #startAtOthers (placement: Placement, pool: PoolState, { candidates, cached, regional }: CandidateSet): boolean {
    if (this.#asking.has(placement)) return false
    const usable = regional?.own ?? this.#endpointsFor(placement).usable
    const tried = regional ? failedEndpoints(placement, usable) : []
    const others = usable.filter((view) => !candidates.includes(view) && !tried.includes(view.id))
    return others.length > 0 && this.#startAt(placement, { candidates: others, cached }, { pool, now: steadyNow(), mayAsk: false })
  }

  /** Sends a request to a canary endpoint, of this region if it has one. Requests that an earlier attempt was made for are excluded. */
  #startCanary (placement: Placement, now: number): boolean {
    const { canaries: gate, prefixes, regions } = this.#options
    if (!gate || placement.resumed || placement.boundTo || placement.avoid.length > 0) return false
    const canaries = gate.canaries(placement)
    const near = regions ? canaries.filter((view) => regions.isLocal(view)) : canaries
    const candidates = near.length > 0 || regions?.mayCross(placement) === false ? near : canaries
    if (candidates.length === 0) return false
    const started = this.#startAt(placement, { candidates, cached: prefixes.lookup(placement.demand.parts, now) }, { pool: undefined, now, mayAsk: false })
    if (started) gate.spent(placement)
    return started
  }

  /** Sends a request to another region while others wait for room in this one. */
  #startElsewhere (placement: Placement, pool: PoolState): boolean {
    if (!this.#options.regions?.mayCross(placement)) return false
    const now = steadyNow()
    const selection = this.#endpointsFor(placement)
    if (!this.#candidates.otherRegions(selection).some((view) => this.#canStart(view, placement, now))) return false
    return this.#startAt(placement, this.#candidates.find(placement, selection, now), { pool, now, mayAsk: false, onlyCrossing: true })
  }

  /** Sends waiting requests to other regions, urgent ones and then those with the fewest bytes first. */
  #spill (pool: PoolState): void {
    if (!this.#options.regions) return
    const waiting: QueuedRequest<Placement>[] = []
    pool.queue.find((entry) => waiting.push(entry) === 0)
    waiting.sort((a, b) => Number(b.urgent) - Number(a.urgent) || (a.item.bytes ?? 0) - (b.item.bytes ?? 0))
    let failed = 0
    for (const entry of waiting) {
      if (findEntry(pool.queue, entry.item) !== entry) continue
      if (this.#wayFor(entry.item).type === 'direct' && this.#startElsewhere(entry.item, pool)) pool.queue.remove(entry)
      else if (++failed >= MAX_SPILL_TRIES) return
    }
  }

  #startAt (placement: Placement, set: CandidateSet, options: StartOptions): boolean {
    const { pool, now, onlyCrossing = false } = options
    const { regions } = this.#options
    const canStart = (view: EndpointView) => this.#canStart(view, placement, now)
    const permitted = options.isGranted === true ? this.#options.limits?.permitted(placement.pool) ?? [] : []
    const withRoomOf = (views: readonly EndpointView[]) => preferPermitted(placement, views.filter(canStart), permitted)
    let diverted: EndpointView | undefined
    const divert = (view: EndpointView) => { diverted ??= view }
    const query = routeQuery(placement, { now, cached: set.cached })
    let picked: Partial<RegionalRoute> | undefined
    if (regions && set.regional) {
      picked = regions.pick(placement, { ...set, regional: set.regional }, {
        query,
        now,
        onlyCrossing,
        permitted,
        canStart,
        canReach: (view) => this.#canSend(view, placement),
        expectedMs: pool && pool.ownRate.msPerStart > 0 ? (pool.queue.ahead(placement.account, placement.cls.urgent) + 1) * pool.ownRate.msPerStart : Infinity,
        // Once permission was asked for, the answer decides.
        pick: (regionQuery, views, { router, mayAsk }) => (this.#asking.has(placement) ? undefined : this.#pickWithinLimits(placement, regionQuery, { now, candidates: withRoomOf(views), router, divert, mayAsk: mayAsk && options.mayAsk }))
      })
    } else {
      const withRoom = withRoomOf(set.candidates)
      const route = this.#pickWithinLimits(placement, { ...query, avoid: endpointsToAvoid(placement, withRoom) }, { ...options, candidates: withRoom, divert })
      picked = { route, crossing: route && regions?.isLocal(route.view) === false ? 'canary' : undefined }
    }
    if (diverted && !this.#asking.has(placement)) recordDiversion(placement, diverted, this.#options.limits!)
    if (!picked?.route || placement.mayStart?.() === false) return false
    const { route, crossing } = picked
    const isQueued = pool !== undefined && pool.queue.length > 0
    pool?.rate.started(now, { isQueued })
    if (!crossing) pool?.ownRate.started(now, { isQueued })
    this.#options.prefixes.record(placement.demand.parts, route.view.id, now)
    if (crossing) regions!.crossed(placement, route.view, crossing)
    placement.placed(route.view, route)
    return true
  }

  /** Returns whether an endpoint can take a request now, limits and failures aside. Memory is looked at last, as what is missing is asked for. */
  #canStart (view: EndpointView, placement: Placement, now: number): boolean {
    const canTake = hasRoom(view, placement.cls.urgent) || this.#options.limits?.hasReservedSlot(view) === true
    return canTake && !backsOff(view, now) && this.#canSend(view, placement) && (placement.accepts?.(view) ?? true) && (this.#options.memory?.hasRoom(view, maxHeldTokens(placement.demand)) ?? true)
  }

  #canSend (view: EndpointView, { cls }: Placement): boolean {
    return this.#options.ways?.canSend(view, cls) ?? true
  }

  /** Picks an endpoint, or if that one may get no request now because of its limit, the best of those that may. */
  #pickWithinLimits (placement: Placement, query: RouteQuery, { candidates, now, mayAsk, divert, router = this.#options.router }: LimitedPick): Route | undefined {
    const { limits } = this.#options
    const route = router.pick(query, candidates, now)
    if (!route || !limits || limits.mayStart(route.view)) return route
    if (mayAsk && this.#askFirst(placement, route.view, limits)) return undefined
    if (mayAsk) divert(route.view)
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

  #poolState ({ pool: name, boundTo }: Placement): PoolState {
    const key = boundTo ? `${name}\0${boundTo.version ?? ''}` : name
    let pool = this.#pools.get(key)
    if (!pool) {
      pool = { name, queue: this.#options.queue?.() ?? new FairQueue(), rate: new StartRate(steadyNow()), ownRate: new StartRate(steadyNow()) }
      this.#pools.set(key, pool)
    }
    return pool
  }

  /** Polls the queues, since no event signals that a deadline has passed or an ejection has ended. */
  #scheduleSweep (): void {
    if (this.#sweepTimer !== undefined) return
    this.#sweepTimer = setTimeout(guarded('dispatcher', () => {
      this.#sweepTimer = undefined
      try {
        this.startQueued()
      } finally {
        if (this.queued + this.#stalled.size > 0) this.#scheduleSweep()
      }
    }), SWEEP_MS)
  }
}

/** Returns those of the given endpoints that a request has a permit for, or all if it has none. */
function preferPermitted (placement: Placement, views: readonly EndpointView[], permitted: readonly EndpointId[]): readonly EndpointView[] {
  if (permitted.length === 0) return views
  const failed = failedEndpoints(placement, views)
  const preferred = views.filter(({ id }) => permitted.includes(id) && !failed.includes(id))
  return preferred.length > 0 ? preferred : views
}

function recordDiversion (placement: Placement, preferred: EndpointView, limits: EndpointLimiter): void {
  limits.diverted()
  placement.diverted?.(preferred, limits.perS(preferred))
}
