/** Orders endpoints so that each pool has what its work needs, on whichever daemon holds the lease. */
import type { Pool, Scaling } from '../../core/catalog/index.ts'
import { EndpointDemand, spreadPlan, type DomainFleet, type DomainMix, type EndpointsWanted } from '../../core/fleet/index.ts'
import type { FailureDomain, PoolName } from '../../core/ids/index.ts'
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
}

const ROUND_MS = 250
/** An order that was refused is not given again for this long, in milliseconds: each call has its price. */
const REFUSED_MS = 2000
/** An order whose fate is not known, or that was turned away, is given again after this long, in milliseconds. */
const FAILED_MS = 500
/** Time beyond that of booting after which an order that shows no effect is given again, in milliseconds. */
const OVERDUE_MS = 3000
/** Fewest reclaimable engines in each failure domain: work comes in bursts, and another takes seconds to boot. */
const LEAST_PER_DOMAIN = 2
/** Prompt tokens that an engine reads in a second beside generating, as a first estimate. */
const PREFILL_TOKENS_PER_S = 100_000
/** Part of an engine's time that work may take before it comes late: arrivals come in bursts of a second. */
const MOST_UTILIZATION = 0.6
/** Part that it takes with comfort: what is left bears the loss of one failure domain of three, or bursts of half as much again. */
const COMFORTABLE_UTILIZATION = 0.35
const DEMAND = 'demand/'

/** An order as it was last given, and what came of it. */
interface Given { count: number, atMs: number, result: 'given' | 'refused' | 'failed' }

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
    // Whoever takes the lease begins anew: what it gave before, and the work that it counted, are of another time.
    if (this.#options.lease.fencing === undefined) {
      this.#given.clear()
      this.#demand.clear()
      return
    }
    for (const pool of this.#options.pools()) if (pool.scaling) this.#orderPool(pool, pool.scaling)
  }

  #orderPool (pool: Pool, scaling: Scaling): void {
    const domains = [...scaling.pricePerS.keys()]
    const fleet = domains.map((domain) => this.#fleetOf(pool.name, domain))
    const wanted = this.#wanted(pool.name, fleet)
    this.#askAgain(pool, scaling, { fleet, perDomain: Math.ceil(wanted.comfortably / domains.length) })
    for (const mix of spreadPlan(wanted, scaling, fleet)) this.#orderMix(pool, scaling, mix)
  }

  #wanted (pool: PoolName, fleet: readonly DomainFleet[]): EndpointsWanted {
    const tokens = this.#options.tallies.tally.sum(DEMAND + pool)
    const serving = fleet.reduce((sum, domain) => sum + domain.onDemand + domain.reclaimable, 0)
    const demand = this.#demand.get(pool) ?? new EndpointDemand({ prefillTokensPerS: PREFILL_TOKENS_PER_S, first: serving * COMFORTABLE_UTILIZATION, now: steadyNow() })
    this.#demand.set(pool, demand)
    const engines = demand.engines(tokens, steadyNow())
    return {
      atLeast: Math.max(fleet.length, Math.ceil(engines / MOST_UTILIZATION)),
      comfortably: Math.max(LEAST_PER_DOMAIN * fleet.length, Math.ceil(engines / COMFORTABLE_UTILIZATION))
    }
  }

  #fleetOf (pool: PoolName, failureDomain: FailureDomain): DomainFleet {
    const staying = this.#options.table.all.filter((view) => view.pool === pool && view.failureDomain === failureDomain && view.leavingAtMs === undefined)
    return {
      failureDomain,
      onDemand: staying.filter((view) => !view.reclaimable).length,
      reclaimable: staying.filter((view) => view.reclaimable).length,
      reclaimableToBeHad: this.#given.get(keyOf({ pool, failureDomain, reclaimable: true }))?.result !== 'refused'
    }
  }

  /** Asks for reclaimable endpoints where there were none to be had, in all such domains at once, so that they come back together. */
  #askAgain (pool: Pool, scaling: Scaling, hoped: { fleet: readonly DomainFleet[], perDomain: number }): void {
    const without = hoped.fleet.filter((domain) => !domain.reclaimableToBeHad)
    const due = without.some((domain) => this.#refusedSinceMs(pool.name, domain.failureDomain) > REFUSED_MS)
    if (!due) return
    for (const { failureDomain } of without) this.#give({ pool: pool.name, failureDomain, reclaimable: true, count: Math.min(scaling.max, hoped.perDomain) })
  }

  #refusedSinceMs (pool: PoolName, failureDomain: FailureDomain): number {
    const given = this.#given.get(keyOf({ pool, failureDomain, reclaimable: true }))
    return given ? steadyNow() - given.atMs : Infinity
  }

  #orderMix (pool: Pool, scaling: Scaling, mix: DomainMix): void {
    const { failureDomain } = mix
    const fleet = this.#fleetOf(pool.name, failureDomain)
    const order = { pool: pool.name, failureDomain }
    if (fleet.reclaimableToBeHad) this.#order({ ...order, reclaimable: true, count: mix.reclaimable }, { has: fleet.reclaimable, bootMs: scaling.bootMs })
    this.#order({ ...order, reclaimable: false, count: mix.onDemand }, { has: fleet.onDemand, bootMs: scaling.bootMs })
  }

  #order (order: EndpointOrder, now: { has: number, bootMs: number }): void {
    if (this.#isDue(order, now)) this.#give(order)
  }

  async #give (order: EndpointOrder): Promise<void> {
    const { fencing } = this.#options.lease
    if (fencing === undefined) return
    const given: Given = { count: order.count, atMs: steadyNow(), result: this.#given.get(keyOf(order))?.result ?? 'given' }
    this.#given.set(keyOf(order), given)
    try {
      await this.#options.duties.order(order, { name: this.#options.name, fencing })
      given.result = 'given'
      this.#options.metrics.orders.inc({ result: 'given' })
      log('order-given', { ...order, fencing })
    } catch (err) {
      if (!(err instanceof DutyError)) throw err
      given.result = err.failure === 'refused' ? 'refused' : 'failed'
      this.#options.metrics.orders.inc({ result: err.failure })
      log('order-refused', { ...order, fencing, failure: err.failure, why: err.message })
      // It may be carried out yet, after newer orders: a higher fencing number makes the platform refuse it.
      if (err.failure === 'unsure') this.#options.lease.raise()
    }
  }

  /** A count that was ordered stands; it is ordered again when it shows no effect, because it was lost or what it brought was reclaimed. */
  #isDue (order: EndpointOrder, now: { has: number, bootMs: number }): boolean {
    const given = this.#given.get(keyOf(order))
    if (!given) return order.count !== now.has
    const sinceMs = steadyNow() - given.atMs
    if (given.result === 'refused') return order.count !== now.has && sinceMs > REFUSED_MS
    if (given.result === 'failed') return sinceMs > FAILED_MS
    if (given.count !== order.count) return true
    return order.count !== now.has && sinceMs > now.bootMs + OVERDUE_MS
  }
}

function keyOf ({ pool, failureDomain, reclaimable }: Omit<EndpointOrder, 'count'>): string {
  return `${pool}/${failureDomain}/${reclaimable ? 'reclaimable' : 'on-demand'}`
}
