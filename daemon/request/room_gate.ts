/** Refuses requests that cannot be in time while a pool has too little room. */
import { as, type ClassName, type EndpointId, type PoolName, type Region } from '../../core/ids/index.ts'
import { availableAtMs, noWork, unreadNow, type EndpointView, type EndpointWork, type FirstTokenModel, type Random } from '../../core/routing/index.ts'
import { AccountShares, judgeRoom, PressureWatch, WorkRate, type RoomVerdict } from '../../core/scarcity/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { Topology } from '../../core/topology/index.ts'
import type { EndpointTable } from '../endpoints/endpoint_table.ts'
import { crossingRequest } from './_route_query.ts'
import type { Placement, RegionCrossing } from './placement.ts'

/** Options of {@linkcode RoomGate}. */
export interface RoomGateOptions {
  table: EndpointTable
  random: Random
  /** Distances from this daemon to the endpoints. Default: there is one region. */
  topology?: Pick<Topology, 'hasRegions' | 'isLocal' | 'regionOf' | 'roundTripMs'>
  /** Decides which requests may be sent to another region. Default: all may. */
  crossing?: RegionCrossing
}

/** What the gate knows of one pool. */
interface PoolRoom {
  pressure: PressureWatch
  /** The pressure on requests that may be sent to another region. */
  crossingPressure: PressureWatch
  accounts: AccountShares
  /** Urgent prompt tokens sent by this daemon. */
  urgentSent: WorkRate
  /** Urgent prompt tokens that the other daemons send per millisecond, and the mean of their prefill times per token; as last reported. */
  others: { urgentPerMs: number, daemons: number, msPerToken: number }
  /** Mean prompt length of each class, in tokens. */
  meanTokens: Map<ClassName, number>
}

/** Endpoints of one region, and the round trip to another one in milliseconds; 0 for the own one. */
interface RegionViews { views: EndpointView[], roundTripMs: number }

/** Weight of the latest prompt in the mean length of its class. */
const MEAN_SMOOTHING = 0.02
/**
 * Prefix of the names under which pools are reported among the endpoints, so that the sums over all daemons are made in the same place. Daemons that do not
 * know it ignore it. `running` counts the daemons, `unread.urgent` is their urgent work, and `unread.normal` the prefill time per token, in nanoseconds.
 */
const POOL_ENTRY = 'pool:'
const NS_PER_MS = 1e6
const NO_OTHERS = { urgentPerMs: 0, daemons: 0, msPerToken: 0 }
/** Interval for which urgent work is reported, in milliseconds. */
const REPORTED_MS = 1000

/** Decides by {@linkcode judgeRoom} which new streams are refused, from the endpoints' reported load and the pool's learned prefill speed. */
export class RoomGate {
  readonly #options: RoomGateOptions
  readonly #pools = new Map<PoolName, PoolRoom>()

  constructor (options: RoomGateOptions) {
    this.#options = options
    options.table.onStarted(({ pool }, { lane, tokens }) => {
      if (lane === 'urgent') this.#roomOf(pool).urgentSent.add(tokens, steadyNow())
    })
  }

  /**
   * Returns the verdict on a request.
   * @param uncachedTokens Returns the prompt tokens that an endpoint has to prefill for it; only called while there is too little room.
   */
  judge (placement: Placement, uncachedTokens: () => number): RoomVerdict {
    const { pool, cls, demand, account, deadlineAtMs, acceptedAtMs } = placement
    const now = steadyNow()
    const model = this.#options.table.pace(pool)
    const views = this.#options.table.usable(pool).filter((view) => view.firstTokenModel && availableAtMs(view) <= now)
    if (!isNewStream(placement) || !model || views.length === 0) return { type: 'run' }
    const mayCross = this.#mayCross(placement)
    const regions = this.#byRegion(views, { mayCross })
    if (regions.length === 0) return { type: 'run' }
    const room = this.#roomOf(pool)
    const sizeRatio = demand.promptTokens / updateMean(room, cls.name, demand.promptTokens)
    const msPerToken = meanMsPerToken(model, room)
    const waitMs = Math.min(...regions.map((region) => region.roundTripMs + meanWaitMs(region.views, { msPerToken, urgent: cls.urgent })))
    const pressure = mayCross ? room.crossingPressure : room.pressure
    if (!pressure.observe(waitMs / cls.latency.firstTokenMs, now)) return this.#accept(placement, room)
    // The reports of urgent work sum up all regions, so that it is set against the endpoints of all.
    const urgentShare = (room.urgentSent.perMs(now) + room.others.urgentPerMs) * msPerToken / views.length
    const verdict = judgeRoom({
      urgent: cls.urgent,
      targetMs: cls.latency.firstTokenMs,
      remainingMs: deadlineAtMs - now,
      spentMs: cls.latency.deadlineMs - (deadlineAtMs - acceptedAtMs),
      ownMs: model.firstMs + uncachedTokens() * msPerToken,
      sizeRatio,
      accountRatio: room.accounts.ofMean(account, now)
    }, { waitMs, urgentShare }, this.#options.random())
    return verdict.type === 'run' ? this.#accept(placement, room) : verdict
  }

  /** The urgent work that this daemon sends to each pool and the prefill speed that it has learned, for the load reports. */
  get reports (): EndpointWork[] {
    const now = steadyNow()
    const reports = [...this.#pools].map(([pool, { urgentSent }]): EndpointWork => {
      const load = noWork()
      load.running = 1
      load.unread.urgent = Math.round(urgentSent.perMs(now) * REPORTED_MS)
      load.unread.normal = Math.round((this.#options.table.pace(pool)?.msPerToken ?? 0) * NS_PER_MS)
      return [as<EndpointId>(POOL_ENTRY + pool), load]
    })
    return reports.filter(([, { unread }]) => unread.urgent > 0 && unread.normal > 0)
  }

  /** Applies what the other daemons reported. */
  applyOthersWork (loads: readonly EndpointWork[]): void {
    for (const room of this.#pools.values()) room.others = NO_OTHERS
    for (const [entry, { running: daemons, unread }] of loads) {
      if (!entry.startsWith(POOL_ENTRY) || daemons === 0) continue
      const room = this.#roomOf(as<PoolName>(entry.slice(POOL_ENTRY.length)))
      room.others = { urgentPerMs: unread.urgent / REPORTED_MS, daemons, msPerToken: unread.normal / NS_PER_MS / daemons }
    }
  }

  #mayCross (placement: Placement): boolean {
    const { topology, crossing } = this.#options
    return topology?.hasRegions === true && (crossing?.mayCross(crossingRequest(placement)) ?? true)
  }

  /** Returns the endpoints of each region that a request may use: what waits in one region keeps no request from another that has room. */
  #byRegion (views: EndpointView[], { mayCross }: { mayCross: boolean }): RegionViews[] {
    const { topology } = this.#options
    if (!topology?.hasRegions) return [{ views, roundTripMs: 0 }]
    const regions = new Map<Region | undefined, RegionViews>()
    for (const view of views) {
      const isLocal = topology.isLocal(view.failureDomain)
      if (!isLocal && !mayCross) continue
      const key = isLocal ? undefined : topology.regionOf(view.failureDomain)
      const region = regions.get(key)
      if (region) region.views.push(view)
      else regions.set(key, { views: [view], roundTripMs: isLocal ? 0 : topology.roundTripMs(view.failureDomain) })
    }
    return [...regions.values()]
  }

  #accept ({ account, demand }: Placement, room: PoolRoom): RoomVerdict {
    room.accounts.add(account, demand.promptTokens, steadyNow())
    return { type: 'run' }
  }

  #roomOf (pool: PoolName): PoolRoom {
    let room = this.#pools.get(pool)
    if (!room) {
      room = { pressure: new PressureWatch(), crossingPressure: new PressureWatch(), accounts: new AccountShares(), urgentSent: new WorkRate(), others: NO_OTHERS, meanTokens: new Map() }
      this.#pools.set(pool, room)
    }
    return room
  }
}

/** True for a stream that no endpoint has begun: nothing that was begun is given up for something new. */
function isNewStream ({ cls, demand, resumed, boundTo, avoid }: Placement): boolean {
  return cls.streaming && demand.promptTokens > 0 && !resumed && boundTo === undefined && avoid.length === 0
}

/** Averages over all endpoints of a region: single reports are older than the time in which a backlog changes, and daemons that trust them all choose the same endpoint. */
function meanWaitMs (views: readonly EndpointView[], { msPerToken, urgent }: { msPerToken: number, urgent: boolean }): number {
  const tokens = views.reduce((sum, view) => sum + unreadNow(view, urgent ? 'urgent' : 'normal'), 0)
  return tokens * msPerToken / views.length
}

/** Averages over the daemons: in a large fleet each has learned from a few prompts only. */
function meanMsPerToken ({ msPerToken }: FirstTokenModel, { others }: PoolRoom): number {
  return (msPerToken + others.daemons * others.msPerToken) / (1 + others.daemons)
}

function updateMean ({ meanTokens }: PoolRoom, cls: ClassName, tokens: number): number {
  const known = meanTokens.get(cls) ?? tokens
  const mean = known + MEAN_SMOOTHING * (tokens - known)
  meanTokens.set(cls, mean)
  return mean
}
