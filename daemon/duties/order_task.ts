/** Orders endpoints so that each pool has what its work needs, on whichever daemon holds the lease. */
import type { Pool, Scaling } from '../../core/catalog/index.ts'
import { EndpointDemand, SlotDemand, spreadPlan, type DomainFleet, type DomainMix, type EndpointsWanted } from '../../core/fleet/index.ts'
import { runningNow, type EndpointView } from '../../core/routing/index.ts'
import type { EndpointVersion, FailureDomain, PoolName } from '../../core/ids/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { DutyError, type Duties, type EndpointOrder } from '../../endpoints/index.ts'
import type { EndpointTable } from '../endpoints/endpoint_table.ts'
import type { LeaseTask } from '../fleet/lease_task.ts'
import { log } from '../log/index.ts'
import type { Metrics } from '../metrics.ts'
import type { TallyTask } from '../peers/tally_task.ts'

/** Options of {@linkcode OrderTask}. */
export interface OrderTaskOptions {
  name: string
  duties: Duties
  lease: LeaseTask
  table: EndpointTable
  tallies: TallyTask
  metrics: Metrics
  pools (): Iterable<Pool>
  /** Tokens a second that all client accounts together may ask for, by their quotas; 0 where none is known. */
  allowedTokensPerS (): number
  /** Versions of endpoints, where some are rolled out. Default: all endpoints are alike. */
  versions?: PoolVersions | undefined
  /** The whole system starts for the first time: there is no work yet, and none is assumed. Default false. */
  firstStart?: boolean
}

/** Which version of a pool's endpoints carries its work. */
export interface PoolVersions {
  carries (pool: PoolName): EndpointVersion | undefined
  /** True until a roll-out has come to its verdict. */
  isRolling (pool: PoolName): boolean
}

const MS_PER_S = 1000
const ROUND_MS = 250
/** An order that was refused is not given again for this long, in milliseconds: each call has its price. */
const REFUSED_MS = 2000
/** An order whose fate is not known, or that was turned away, is given again after this long, in milliseconds. */
const FAILED_MS = 500
/** Time beyond that of booting after which an order that shows no effect is given again, in milliseconds. */
const OVERDUE_MS = 3000
/** Fewest reclaimable engines in each failure domain: work comes in bursts, and another takes seconds to boot. */
const LEAST_PER_DOMAIN = 2
/**
 * Part of what all accounts may ask for that is assumed before the first work is counted.
 *
 * Traffic comes at once, and what it needs beyond the least boots for seconds, in which most callers would be turned away. Quotas are all that is known of the work by
 * then.
 */
const ASSUMED_PART = 0.5
/** Part of an engine's time that work may take before it comes late: arrivals come in bursts of a second. */
const MOST_UTILIZATION = 0.7
/** Part that it takes with comfort: what is left bears the loss of one failure domain of three, or bursts of half as much again. */
const COMFORTABLE_UTILIZATION = 0.45
/** Part of all batch slots that work may take before it waits for one: arrivals come in bursts of a second. */
const MOST_SLOTS_TAKEN = 0.6
/** Part that it may take for the seconds in which endpoints boot: with more, requests wait for slots as long as those that have one run. */
const MOST_SLOTS_IN_NEED = 0.7
/** Part that it takes with comfort: what is left bears the loss of one failure domain of three, and a burst of a third more. */
const COMFORTABLE_SLOTS_TAKEN = 0.3
const DEMAND = 'demand/'

/** Work of a pool, in engines that would do nothing else: by the time that reading takes, and by the batch slots that are taken. */
interface PoolDemand { reading: number, slots: number }

/** An order as it was last given, and what came of it. */
interface Given {
  count: number
  atMs: number
  result: 'given' | 'refused' | 'failed'
  /** There were none to be had, by the last order that was answered: one without an answer says nothing of that. */
  noneToBeHad: boolean
}

/**
 * Gives orders of wanted counts.
 *
 * Each round compares what the registry lists with what the plan wants, so that a new holder of the lease goes on from what is there. An order
 * states a count and not a step, so that repeating it does no harm.
 */
export class OrderTask {
  readonly #options: OrderTaskOptions
  readonly #given = new Map<string, Given>()
  readonly #demand = new Map<PoolName, EndpointDemand>()
  readonly #slotDemand = new Map<PoolName, SlotDemand>()
  #timer: NodeJS.Timeout | undefined

  constructor (options: OrderTaskOptions) {
    this.#options = options
  }

  /** Counts work that was asked for. */
  asked (pool: PoolName, tokens: number): void {
    this.#options.tallies.tally.add(DEMAND + pool, tokens)
  }

  /** Begins to order whenever this daemon holds the lease. */
  start (): void {
    this.#timer = setInterval(() => this.#round(), ROUND_MS)
  }

  /** Stops. */
  stop (): void {
    clearInterval(this.#timer)
  }

  #round (): void {
    const { lease, pools } = this.#options
    // Whoever takes the lease begins anew: what it gave before is of another time.
    if (lease.fencing === undefined && lease.fencingInOutage === undefined) this.#given.clear()
    for (const pool of pools()) {
      if (!pool.scaling) continue
      const demand = this.#countDemand(pool.name)
      if (demand === undefined) continue
      if (lease.fencing !== undefined) this.#orderPool(pool, pool.scaling, demand)
      else if (lease.fencingInOutage !== undefined) this.#orderMissing(pool, pool.scaling, demand)
    }
  }

  /**
   * Counts the work in engines, on each daemon that keeps everybody's totals.
   *
   * Any of them may take the lease over. One that began to count only then would keep every endpoint until it knows, and in a roll of restarts the next
   * would begin again.
   */
  #countDemand (pool: PoolName): PoolDemand | undefined {
    const { lease, tallies } = this.#options
    if (!tallies.keepsBooks && lease.fencing === undefined) {
      this.#demand.delete(pool)
      this.#slotDemand.delete(pool)
      return undefined
    }
    const key = DEMAND + pool
    const msPerToken = this.#options.table.pace(pool)?.msPerToken
    if (msPerToken === undefined) return undefined
    const asked = { tokens: tallies.tally.sum(key), tellers: tallies.tally.tellers(key), msPerToken }
    const demand = this.#demand.get(pool) ?? this.#firstDemand(pool, asked.tokens)
    this.#demand.set(pool, demand)
    if (demand.uncounted(steadyNow())) demand.assume(this.#options.allowedTokensPerS() * ASSUMED_PART * msPerToken / MS_PER_S)
    return { reading: demand.engines(asked, steadyNow()), slots: this.#countSlots(pool) }
  }

  #countSlots (pool: PoolName): number {
    const endpoints = this.#options.table.all.filter((view) => view.pool === pool)
    const running = endpoints.reduce((sum, view) => sum + Math.min(runningNow(view), view.speed.batchSlots), 0)
    const demand = this.#slotDemand.get(pool) ?? new SlotDemand()
    this.#slotDemand.set(pool, demand)
    return demand.engines({ running, slots: Math.max(...endpoints.map((view) => view.speed.batchSlots)) }, steadyNow())
  }

  #orderPool (pool: Pool, scaling: Scaling, demand: PoolDemand): void {
    const domains = [...scaling.pricePerS.keys()]
    const fleet = domains.map((domain) => this.#fleetOf(pool.name, domain))
    const wanted = wantedFor(demand, fleet)
    this.#askAgain(pool, scaling, { fleet, perDomain: Math.ceil(wanted.comfortably / domains.length) })
    for (const mix of spreadPlan(wanted, scaling, fleet)) this.#orderMix(pool, scaling, this.#sure(pool.name, mix))
  }

  /**
   * In the store's outage nothing is given up, and nothing is asked for that may be refused for want of it: a refusal there means that somebody else
   * holds the lease.
   */
  #orderMissing (pool: Pool, scaling: Scaling, demand: PoolDemand): void {
    const fleet = [...scaling.pricePerS.keys()].map((domain) => this.#fleetOf(pool.name, domain)).map((domain) => ({ ...domain, reclaimableToBeHad: false }))
    for (const mix of spreadPlan(wantedFor(demand, fleet), scaling, fleet)) {
      const has = fleet.find((domain) => domain.failureDomain === mix.failureDomain)!.onDemand
      const order = { pool: pool.name, failureDomain: mix.failureDomain, reclaimable: false, count: mix.onDemand }
      if (mix.onDemand > has) this.#order(order, { has, bootMs: scaling.bootMs })
    }
  }

  /**
   * Gives up no endpoint before the work is known.
   *
   * A daemon that takes the lease over in the middle of a burst has not counted yet; going by what serves just after a reclaim, it would stop
   * endpoints that the work needs, and order them again a moment later.
   */
  #sure (pool: PoolName, mix: DomainMix): DomainMix {
    if (this.#demand.get(pool)!.settled(steadyNow())) return mix
    const now = this.#fleetOf(pool, mix.failureDomain)
    return { ...mix, onDemand: Math.max(mix.onDemand, now.onDemand), reclaimable: Math.max(mix.reclaimable, now.reclaimable) }
  }

  /** What is there was ordered for the work that there is; leaving endpoints were, too. */
  #firstDemand (pool: PoolName, tokens: number): EndpointDemand {
    const idle = this.#options.firstStart === true && tokens === 0
    const there = this.#options.table.all.filter((view) => view.pool === pool).length
    return new EndpointDemand({ first: idle ? 0 : there * COMFORTABLE_UTILIZATION, idle, now: steadyNow() })
  }

  /** Endpoints that carry the pool's work; those of a version on trial do not. */
  #fleetOf (pool: PoolName, failureDomain: FailureDomain): DomainFleet {
    const carries = this.#options.versions?.carries(pool)
    const staying = this.#staying(pool, failureDomain).filter(({ version }) => carries === undefined || version === undefined || version === carries)
    return {
      failureDomain,
      ...kindsOf(staying),
      reclaimableToBeHad: this.#given.get(keyOf({ pool, failureDomain, reclaimable: true }))?.noneToBeHad !== true
    }
  }

  #staying (pool: PoolName, failureDomain: FailureDomain): EndpointView[] {
    return this.#options.table.all.filter((view) => view.pool === pool && view.failureDomain === failureDomain && view.leavingAtMs === undefined)
  }

  /**
   * Asks for reclaimable endpoints where there were none to be had, in all such domains at once, so that they come back together.
   *
   * Always for one more than there are: a count that is there already is taken also while there are none to be had, and so is one that a full domain
   * has no room for.
   */
  #askAgain (pool: Pool, scaling: Scaling, hoped: { fleet: readonly DomainFleet[], perDomain: number }): void {
    const without = hoped.fleet.filter(({ reclaimableToBeHad, onDemand, reclaimable }) => !reclaimableToBeHad && onDemand + reclaimable < scaling.max)
    const due = without.some((domain) => this.#refusedSinceMs(pool.name, domain.failureDomain) > REFUSED_MS)
    if (!due) return
    for (const { failureDomain, onDemand, reclaimable } of without) {
      const count = Math.min(scaling.max - onDemand, Math.max(hoped.perDomain, reclaimable + 1))
      this.#give({ pool: pool.name, failureDomain, reclaimable: true, count })
    }
  }

  #refusedSinceMs (pool: PoolName, failureDomain: FailureDomain): number {
    const given = this.#given.get(keyOf({ pool, failureDomain, reclaimable: true }))
    return given ? steadyNow() - given.atMs : Infinity
  }

  #orderMix (pool: Pool, scaling: Scaling, mix: DomainMix): void {
    const { failureDomain } = mix
    const fleet = this.#fleetOf(pool.name, failureDomain)
    const all = kindsOf(this.#staying(pool.name, failureDomain))
    const order = { pool: pool.name, failureDomain }
    const count = (kind: EndpointKind) => this.#countWith(pool.name, { wanted: mix[kind], has: fleet[kind], all: all[kind], most: scaling.max })
    if (fleet.reclaimableToBeHad) this.#order({ ...order, reclaimable: true, count: count('reclaimable') }, { has: all.reclaimable, bootMs: scaling.bootMs })
    this.#order({ ...order, reclaimable: false, count: count('onDemand') }, { has: all.onDemand, bootMs: scaling.bootMs })
  }

  /**
   * Adds the endpoints of other versions, which the platform counts as well.
   *
   * While a version is rolled out none are given up: which of the two versions the platform would stop is not known.
   */
  #countWith (pool: PoolName, { wanted, has, all, most }: { wanted: number, has: number, all: number, most: number }): number {
    const count = wanted + all - has
    return this.#options.versions?.isRolling(pool) === true ? Math.max(all, Math.min(count, most)) : count
  }

  #order (order: EndpointOrder, now: { has: number, bootMs: number }): void {
    if (this.#isDue(order, now)) this.#give(order)
  }

  async #give (order: EndpointOrder): Promise<void> {
    const { lease } = this.#options
    const outage = lease.fencing === undefined
    const fencing = lease.fencing ?? lease.fencingInOutage
    if (fencing === undefined) return
    const before = this.#given.get(keyOf(order))
    const given: Given = { count: order.count, atMs: steadyNow(), result: before?.result ?? 'given', noneToBeHad: before?.noneToBeHad ?? false }
    this.#given.set(keyOf(order), given)
    try {
      await this.#options.duties.order(order, { name: this.#options.name, fencing })
      given.result = 'given'
      given.noneToBeHad = false
      this.#options.metrics.orders.inc({ result: 'given' })
      log('order-given', { ...order, fencing })
    } catch (err) {
      if (!(err instanceof DutyError)) throw err
      given.result = err.failure === 'refused' ? 'refused' : 'failed'
      if (err.failure === 'refused') given.noneToBeHad = true
      this.#options.metrics.orders.inc({ result: err.failure })
      log('order-refused', { ...order, fencing, failure: err.failure, why: err.message })
      if (outage && err.failure === 'refused') lease.endOutageGrace()
      // It may be carried out yet, after newer orders: a higher fencing number makes the platform refuse it.
      if (err.failure === 'unsure') lease.raiseFencing()
    }
  }

  /** A count that was ordered stands; it is ordered again when it shows no effect, because it was lost or what it brought was reclaimed. */
  #isDue (order: EndpointOrder, now: { has: number, bootMs: number }): boolean {
    const given = this.#given.get(keyOf(order))
    // The registry fills over seconds while everything starts; endpoints that it does not show yet are paid for all the same.
    if (!given) return order.count !== now.has || this.#demand.get(order.pool)?.idle(steadyNow()) === true
    const sinceMs = steadyNow() - given.atMs
    if (given.result === 'refused') return order.count !== now.has && sinceMs > REFUSED_MS
    if (given.result === 'failed') return sinceMs > FAILED_MS
    if (given.count !== order.count) return true
    return order.count !== now.has && sinceMs > now.bootMs + OVERDUE_MS
  }
}

type EndpointKind = 'onDemand' | 'reclaimable'

function kindsOf (endpoints: readonly EndpointView[]): Record<EndpointKind, number> {
  const reclaimable = endpoints.filter((view) => view.reclaimable).length
  return { onDemand: endpoints.length - reclaimable, reclaimable }
}

function wantedFor ({ reading, slots }: PoolDemand, fleet: readonly DomainFleet[]): EndpointsWanted {
  return {
    justEnough: Math.ceil(Math.max(reading, slots / MOST_SLOTS_IN_NEED)),
    atLeast: Math.max(fleet.length, Math.ceil(reading / MOST_UTILIZATION), Math.ceil(slots / MOST_SLOTS_TAKEN)),
    comfortably: Math.max(LEAST_PER_DOMAIN * fleet.length, Math.ceil(reading / COMFORTABLE_UTILIZATION), Math.ceil(slots / COMFORTABLE_SLOTS_TAKEN))
  }
}

function keyOf ({ pool, failureDomain, reclaimable }: Omit<EndpointOrder, 'count'>): string {
  return `${pool}/${failureDomain}/${reclaimable ? 'reclaimable' : 'on-demand'}`
}
