/** Keeps this daemon's requests within the limits that endpoints name in their answers. */
import { ObservedLimits, PermitStock, type LimitObservation, type PermitGrant, type PermitRequest, type PermitWait } from '../../core/endpoint_limits/index.ts'
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
}

type EndpointRef = Pick<EndpointView, 'id' | 'pool'>

/** A request that asked for a permit. */
interface PendingAsk { pool: PoolName, urgent: boolean, sent: boolean, resolve (granted: boolean): void }

/** Longest time for which an estimate of the wait is used, in milliseconds. */
const WAIT_ESTIMATE_TTL_MS = 1000
/** Time after which a request that asked for a permit goes elsewhere, in milliseconds: several round trips to the keeper. */
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
  /** Observations that were not reported yet. */
  readonly #unreported = new Map<EndpointId, LimitObservation>()
  readonly #asks = new Set<PendingAsk>()
  readonly #waits = new Map<PoolName, PermitWait & { atMs: number }>()
  /** Called when an observation is to be reported, or requests begin to wait for permits. */
  onReportDue: () => void = () => {}
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

  /** Returns true if all daemons together must keep to a limit at an endpoint. */
  isLimited ({ id }: EndpointRef): boolean {
    return this.observed.perS(id) !== undefined
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
    return this.#permits.endpoints.filter((id) => this.observed.poolOf(id) === pool && this.#permits.count(id, now) > 0)
  }

  /** Asks for a permit of a pool. Resolves to false if none is granted soon; undefined if none can be expected. */
  ask (pool: PoolName, urgent: boolean): Promise<boolean> | undefined {
    if (this.waitMs(pool, urgent) > 0) return undefined
    return new Promise((resolve) => {
      const timer = setTimeout(() => ask.resolve(false), ASK_TIMEOUT_MS)
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
    if (this.observed.any) this.onReportDue()
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
    for (const pool of pools) this.#updateGauge(pool)
  }

  #answerAsks (pool: PoolName): void {
    let permits = this.#countPermits(pool)
    for (const ask of this.#asks) if (ask.sent && ask.pool === pool) ask.resolve(permits-- > 0)
  }

  get #limitedPools (): Set<PoolName> {
    return new Set(this.observed.entries.filter(({ perS }) => perS !== undefined).map(({ pool }) => pool))
  }

  #countPermits (pool: PoolName): number {
    const now = steadyNow()
    return this.observed.entries.filter((entry) => entry.pool === pool).reduce((sum, { endpoint }) => sum + this.#permits.count(endpoint, now), 0)
  }

  #updateGauge (pool: PoolName): void {
    this.#options.metrics.limitedEndpoints.set({ pool }, this.observed.entries.filter((entry) => entry.pool === pool && entry.perS !== undefined).length)
  }
}
