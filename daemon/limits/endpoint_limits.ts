/** Keeps this daemon's requests within the limits that endpoints name in their answers. */
import { ObservedLimits, PermitStock, type EndpointCount, type FragileEndpoint, type LimitObservation, type PermitGrant, type PermitRequest, type PermitWait, type SlotReport } from '../../core/endpoint_limits/index.ts'
import type { EndpointId, PoolName } from '../../core/ids/index.ts'
import type { EndpointView } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { AnswerLimit } from '../../endpoints/index.ts'
import { log } from '../log/index.ts'
import type { Metrics } from '../metrics.ts'

/** Numbers of urgent and other requests. */
export interface RequestCounts { urgent: number, normal: number }

/** Options of {@linkcode EndpointLimits}. */
export interface EndpointLimitsOptions {
  metrics: Metrics
  /** Whether an endpoint is still listed. */
  isListed (endpoint: EndpointId): boolean
  /** Returns all endpoints that are listed. Default: none, so that no endpoint counts as fragile. */
  listed?: () => readonly EndpointView[]
  /** Round trip to the keeper if it is in another region, in milliseconds. Default 0. */
  farKeeperMs?: () => number
}

type EndpointRef = Pick<EndpointView, 'id' | 'pool'>

/** A request that asked for a permit. */
interface PendingAsk { pool: PoolName, urgent: boolean, sent: boolean, resolve (granted: boolean): void }

/** Longest time for which an estimate of the wait is used, in milliseconds. */
const WAIT_ESTIMATE_TTL_MS = 1000
/** Time for which the list of fragile endpoints is used, in milliseconds; endpoints that are listed meanwhile are missing from it. */
const FRAGILE_LIST_TTL_MS = 100
const NO_ENDPOINTS: readonly FragileEndpoint[] = []
/** Time after which a request that asked for a permit goes elsewhere, in milliseconds: several round trips to a keeper in the region; a longer one is added. */
const ASK_TIMEOUT_MS = 50

/**
 * Decides whether this daemon may send a request to an endpoint with a limit.
 *
 * A limit holds for all daemons together. Each request to such an endpoint needs a permit, and permits are granted by one daemon for all.
 */
export class EndpointLimits {
  readonly observed = new ObservedLimits()
  readonly #options: EndpointLimitsOptions
  readonly #permits = new PermitStock()
  /**
   * Rejections per second that endpoints survive. While any endpoint of a pool names such a rate, the others count as fragile as well, unless their own has ended: one that comes back
   * after a failure must not be met by all daemons at once.
   */
  readonly rejectionLimits = new ObservedLimits()
  readonly #rejected = new Map<EndpointId, number>()
  #fragile: { list: readonly FragileEndpoint[], atMs: number } | undefined
  /** Least rate of each pool of which an endpoint names one. */
  readonly #rejectionsPerS = new Map<PoolName, number>()
  /** Observations that were not reported yet. */
  readonly #unreported = new Map<EndpointId, LimitObservation>()
  readonly #asks = new Set<PendingAsk>()
  readonly #waits = new Map<PoolName, PermitWait & { atMs: number }>()
  /** Called when an observation is to be reported, or requests begin to wait for permits. */
  onReportDue: () => void = () => {}
  /** Called when slots of fragile endpoints have become free, or they have rejected requests. */
  onSlotsChanged: () => void = () => {}
  /** Called when a request asks for a permit. */
  onAsk: () => void = () => {}
  /** Called when requests that wait may be able to start. */
  onRoom: () => void = () => {}

  constructor (options: EndpointLimitsOptions) {
    this.#options = options
  }

  /**
   * Records what an answer says about its endpoint's limit. A value that cannot be read changes nothing.
   * @param sentAtMs When the request was sent, in milliseconds on the steady clock.
   */
  answered ({ id, pool }: EndpointRef, limit: AnswerLimit, sentAtMs: number): void {
    if ('invalid' in limit) return log('endpoint-limit-refused', { endpoint: id, value: limit.invalid, inForce: this.observed.perS(id) })
    if (limit.perS === undefined && this.observed.perS(id) === undefined) return
    const observation = { endpoint: id, pool, perS: limit.perS, atMs: limit.perS === undefined ? sentAtMs : steadyNow() }
    this.#unreported.set(id, observation)
    if (this.observe(observation)) this.onReportDue()
  }

  /** Merges an observation of this or another daemon. Returns whether it changed the limit of the endpoint. */
  observe (observation: LimitObservation): boolean {
    const { endpoint, pool, perS } = observation
    const before = this.observed.perS(endpoint)
    const change = this.observed.observe(observation)
    if (!change) return false
    log('endpoint-limit', { endpoint, pool, change, perS, before })
    this.#updateGauge(pool)
    if (change === 'ended') this.onRoom()
    return true
  }

  /**
   * Records how many rejections per second an endpoint survives, as one of its answers says; undefined if it does not.
   * @param sentAtMs When the request was sent, in milliseconds on the steady clock.
   */
  answeredRejections ({ id, pool }: EndpointRef, perS: number | undefined, sentAtMs: number): void {
    if (perS === undefined && !this.#rejectionsPerS.has(pool)) return
    const observation = { endpoint: id, pool, perS, atMs: perS === undefined ? sentAtMs : steadyNow() }
    if (this.observeRejections(observation)) this.onSlotsChanged()
  }

  /** Merges an observation of this or another daemon. Returns whether it changed the rate of the endpoint. */
  observeRejections (observation: LimitObservation): boolean {
    const { endpoint, pool, perS } = observation
    const change = this.rejectionLimits.observe(observation)
    if (!change) return false
    log('endpoint-fragile', { endpoint, pool, change, rejectionsPerS: perS })
    this.#updateRejections()
    if (change === 'ended') this.onRoom()
    return true
  }

  #updateRejections (): void {
    this.#fragile = undefined
    this.#rejectionsPerS.clear()
    for (const { pool, perS } of this.rejectionLimits.entries) if (perS !== undefined) this.#rejectionsPerS.set(pool, Math.min(perS, this.#rejectionsPerS.get(pool) ?? Infinity))
  }

  /** True if an endpoint fails when it has to reject too many requests. */
  isFragile ({ id, pool }: EndpointRef): boolean {
    return this.#rejectionsPerS.has(pool) && !this.rejectionLimits.hasEnded(id)
  }

  /** Fragile endpoints, with their slots. The list is built anew when the signals of endpoints change, and otherwise now and then. */
  get fragile (): readonly FragileEndpoint[] {
    if (this.#rejectionsPerS.size === 0) return NO_ENDPOINTS
    const now = steadyNow()
    if (this.#fragile === undefined || now - this.#fragile.atMs >= FRAGILE_LIST_TTL_MS) {
      const list = (this.#options.listed?.() ?? []).filter((view) => this.isFragile(view))
        .map((view) => ({ endpoint: view.id, pool: view.pool, slots: view.speed.batchSlots, maxRejectionsPerS: this.#rejectionsPerS.get(view.pool)! }))
      this.#fragile = { list, atMs: now }
    }
    return this.#fragile.list
  }

  /** Records that an endpoint rejected a request, and gives back the permits for it. */
  rejected (view: EndpointRef): void {
    if (!this.isFragile(view)) return
    this.#rejected.set(view.id, (this.#rejected.get(view.id) ?? 0) + 1)
    this.#permits.discard(view.id)
    this.onSlotsChanged()
  }

  /** Records that a request at an endpoint has ended. */
  ended (view: EndpointRef): void {
    if (this.isFragile(view)) this.onSlotsChanged()
  }

  /** Returns what this daemon has at fragile endpoints, and the rejections since the last call. */
  takeSlots (): Omit<SlotReport, 'receivedGrants'> {
    const now = steadyNow()
    const fragile = (this.#options.listed?.() ?? []).filter((view) => this.isFragile(view))
    const held = fragile.map((view): EndpointCount => [view.id, view.own.running + this.#permits.count(view.id, now)]).filter(([, count]) => count > 0)
    const rejected = [...this.#rejected]
    this.#rejected.clear()
    return { held, rejected }
  }

  /** Gives back the permits for fragile endpoints of pools in which no request waits. */
  discardUnneeded (queued: (pool: PoolName) => RequestCounts): void {
    const asked = new Set([...this.#asks].map(({ pool }) => pool))
    for (const { endpoint, pool } of this.fragile) {
      const { urgent, normal } = queued(pool)
      if (urgent + normal === 0 && !asked.has(pool)) this.#permits.discard(endpoint)
    }
  }

  /** Returns true if a permit reserves a slot at an endpoint for this daemon, whatever load is reported there. */
  hasReservedSlot (view: EndpointRef): boolean {
    return this.isFragile(view) && this.#permits.count(view.id, steadyNow()) > 0
  }

  /** Returns true if all daemons together must keep to a limit at an endpoint. */
  isLimited (view: EndpointRef): boolean {
    return this.observed.perS(view.id) !== undefined || this.isFragile(view)
  }

  /** Returns the limit of an endpoint in requests per second; undefined if it has none. */
  perS ({ id }: EndpointRef): number | undefined { return this.observed.perS(id) }

  /** Returns true if a request may be sent to an endpoint now. */
  mayStart (view: EndpointRef): boolean {
    return !this.isLimited(view) || this.#permits.count(view.id, steadyNow()) > 0
  }

  /** Returns the endpoints of a pool for which this daemon has permits. */
  permitted (pool: PoolName): EndpointId[] {
    const now = steadyNow()
    const fragile = new Set(this.fragile.filter((each) => each.pool === pool).map(({ endpoint }) => endpoint))
    return this.#permits.endpoints.filter((id) => (this.observed.poolOf(id) === pool || fragile.has(id)) && this.#permits.count(id, now) > 0)
  }

  /** Asks for a permit of a pool. Resolves to false if none is granted soon; undefined if none can be expected. */
  ask (pool: PoolName, urgent: boolean): Promise<boolean> | undefined {
    if (this.waitMs(pool, urgent) > 0) return undefined
    return new Promise((resolve) => {
      const timer = setTimeout(() => ask.resolve(false), ASK_TIMEOUT_MS + (this.#options.farKeeperMs?.() ?? 0))
      const ask: PendingAsk = {
        pool,
        urgent,
        sent: false,
        resolve: (granted) => {
          clearTimeout(timer)
          this.#asks.delete(ask)
          resolve(granted)
        }
      }
      this.#asks.add(ask)
      this.onAsk()
    })
  }

  /** Records that a request is sent to an endpoint, which uses a permit if it has a limit. */
  started (view: EndpointRef): void {
    if (!this.isLimited(view)) return
    const used = this.#permits.take(view.id, steadyNow())
    this.#options.metrics.limitedRequests.inc({ result: used ? 'permitted' : 'without-permit' })
  }

  /** Records that a request is not sent to an endpoint because there is no permit. */
  diverted (): void {
    this.#options.metrics.limitedRequests.inc({ result: 'diverted' })
  }

  /** Records that a request waits until it may be sent to any endpoint of its pool. */
  queued (): void {
    if (this.observed.any || this.#rejectionsPerS.size > 0) this.onReportDue()
  }

  /** Estimates the time until a new request gets a permit, in milliseconds; 0 if unknown. */
  waitMs (pool: PoolName, urgent: boolean): number {
    const wait = this.#waits.get(pool)
    const ageMs = wait ? steadyNow() - wait.atMs : Infinity
    if (ageMs > WAIT_ESTIMATE_TTL_MS) return 0
    return Math.max(0, (urgent ? wait!.urgentMs : wait!.normalMs) - ageMs)
  }

  /** Returns the observations that were not reported yet, and forgets them. */
  takeUnreported (): LimitObservation[] {
    const unreported = [...this.#unreported.values()]
    this.#unreported.clear()
    return unreported
  }

  /** Returns the permits that requests have asked for since the last call. */
  takeAsks (): PermitRequest[] {
    const counts = new Map<PoolName, RequestCounts>()
    for (const ask of this.#asks) {
      if (ask.sent) continue
      ask.sent = true
      const count = counts.get(ask.pool) ?? { urgent: 0, normal: 0 }
      count[ask.urgent ? 'urgent' : 'normal']++
      counts.set(ask.pool, count)
    }
    return [...counts].map(([pool, count]) => ({ pool, ...count, waits: false }))
  }

  /**
   * Returns the permits that requests wait for, of each pool with a limit.
   * @param queued Numbers of requests that wait for any endpoint of a pool.
   */
  permitsWaitedFor (queued: (pool: PoolName) => RequestCounts): PermitRequest[] {
    return [...this.#limitedPools].map((pool): PermitRequest => {
      const held = this.#countPermits(pool)
      const { urgent, normal } = queued(pool)
      return { pool, urgent: Math.max(0, urgent - held), normal: Math.max(0, normal - Math.max(0, held - urgent)), waits: true }
    })
  }

  /** Returns the permits that expired unused, once. */
  takeUnused (): PermitGrant[] {
    return this.#permits.takeExpired(steadyNow())
  }

  /** Adds granted permits and the current estimates of the waits, and answers the requests that asked. */
  receive ({ grants, waits, answersAsks }: { grants: readonly PermitGrant[], waits: readonly PermitWait[], answersAsks: boolean }): void {
    const now = steadyNow()
    this.#permits.add(grants, now)
    for (const wait of waits) {
      this.#waits.set(wait.pool, { ...wait, atMs: now })
      if (answersAsks) this.#answerAsks(wait.pool)
    }
    if (grants.length > 0) this.onRoom()
  }

  /** Removes what is known of endpoints that are gone. */
  prune (): void {
    const pools = new Set(this.observed.entries.map(({ pool }) => pool))
    this.observed.prune(this.#options.isListed, steadyNow())
    this.rejectionLimits.prune(this.#options.isListed, steadyNow())
    this.#updateRejections()
    for (const pool of pools) this.#updateGauge(pool)
  }

  #answerAsks (pool: PoolName): void {
    let permits = this.#countPermits(pool)
    for (const ask of this.#asks) if (ask.sent && ask.pool === pool) ask.resolve(permits-- > 0)
  }

  get #limitedPools (): Set<PoolName> {
    return new Set([...this.observed.entries.filter(({ perS }) => perS !== undefined).map(({ pool }) => pool), ...this.#rejectionsPerS.keys()])
  }

  #countPermits (pool: PoolName): number {
    const now = steadyNow()
    const limited = this.observed.entries.filter((entry) => entry.pool === pool).map(({ endpoint }) => endpoint)
    const fragile = this.fragile.filter((entry) => entry.pool === pool).map(({ endpoint }) => endpoint)
    return [...new Set([...limited, ...fragile])].reduce((sum, endpoint) => sum + this.#permits.count(endpoint, now), 0)
  }

  #updateGauge (pool: PoolName): void {
    this.#options.metrics.limitedEndpoints.set({ pool }, this.observed.entries.filter((entry) => entry.pool === pool && entry.perS !== undefined).length)
  }
}
