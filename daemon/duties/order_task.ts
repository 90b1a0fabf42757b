/** Scales each pool to its load by ordering endpoints from the platform, on the daemon that holds the lease. */
import type { Pool, Scaling } from '../../core/catalog/index.ts'
import { EndpointDemand, SlotDemand, spreadPlan, withShortages, type DomainFleet, type DomainMix, type EndpointTargets } from '../../core/fleet/index.ts'
import { runningNow, type EndpointView } from '../../core/routing/index.ts'
import type { EndpointVersion, FailureDomain, PoolName } from '../../core/ids/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { DutyError, type Duties, type EndpointOrder } from '../../endpoints/index.ts'
import type { EndpointTable } from '../endpoints/endpoint_table.ts'
import { LeaseError, type LeaseTask } from '../fleet/lease_task.ts'
import { log } from '../log/index.ts'
import type { Metrics } from '../metrics.ts'
import type { TallyTask } from '../peers/tally_task.ts'
import type { Member } from '../../core/membership/index.ts'
import { AbsentRegions } from './_absent_regions.ts'
import { countDemand, demandGroups, demandKeys, type DemandGroup, type DemandTopology } from './_demand_groups.ts'
import { guarded } from '../tasks/index.ts'

/** Options of {@linkcode OrderTask}. */
export interface OrderTaskOptions {
  /** Name of this daemon as the platform knows it. */
  name: string
  duties: Duties
  lease: Pick<LeaseTask, 'act' | 'fencing' | 'fencingInOutage' | 'raiseFencing' | 'endOutageGrace'>
  table: EndpointTable
  tallies: TallyTask
  metrics: Metrics
  pools (): Iterable<Pool>
  /** Total token rate that the quotas of all client accounts allow, in tokens per second; 0 when no quota is known. */
  allowedTokensPerS (): number
  /** Endpoint versions, where roll-outs are supported. Default: endpoints are not distinguished by version. */
  versions?: PoolVersions | undefined
  /** The whole system starts for the first time: existing endpoints are not taken as a sign of load. Default false. */
  firstStart?: boolean
  /** Regions, each of which gets the endpoints for its own demand. Default: there is one. */
  topology?: DemandTopology
  /** Daemons that are known, lost ones included: endpoints of a region are kept while most of its daemons are lost. Default: none is lost. */
  members? (): Iterable<Pick<Member, 'failureDomain' | 'state'>>
}

/** Versions of the endpoints of a pool. */
export interface PoolVersions {
  /** The version that serves the pool's regular traffic; undefined when endpoints do not report versions. */
  carries (pool: PoolName): EndpointVersion | undefined
  /** True while a roll-out of the pool is undecided. */
  isRolling (pool: PoolName): boolean
}

const MS_PER_S = 1000
const RECONCILE_INTERVAL_MS = 250
/** Delay before a refused order is sent again, in milliseconds: each call costs money. */
const REFUSAL_BACKOFF_MS = 2000
/** Delay before an order that failed or has an unknown outcome is sent again, in milliseconds. */
const FAILURE_RETRY_MS = 500
/** Time in addition to the boot time after which an order without effect is sent again, in milliseconds. */
const BOOT_GRACE_MS = 3000
/** Minimum number of reclaimable engines per failure domain: load is bursty, and another engine takes seconds to boot. */
const MIN_PER_DOMAIN = 2
/**
 * Fraction of the total quota of all accounts that is assumed as load until the first load is measured.
 *
 * Traffic starts immediately, and engines beyond the minimum boot for seconds, in which most requests would be rejected. Quotas are the only information about
 * the load at that time.
 */
const ASSUMED_QUOTA_FRACTION = 0.5
/** Utilization above which requests become late: arrivals come in bursts of a second. */
const MAX_UTILIZATION = 0.7
/** Target utilization: the headroom covers the loss of one of three failure domains, or bursts of 50%. */
const TARGET_UTILIZATION = 0.45
/** Fraction of batch slots in use above which requests wait for a slot: arrivals come in bursts of a second. */
const MAX_SLOT_UTILIZATION = 0.6
/** Slot utilization tolerated for the seconds in which endpoints boot: above it, requests wait for slots as long as running requests last. */
const MAX_SLOT_UTILIZATION_WHILE_BOOTING = 0.7
/** Target slot utilization: the headroom covers the loss of one of three failure domains and a burst of a third. */
const TARGET_SLOT_UTILIZATION = 0.3

/** Load of a pool in fully utilized engines: by prefill time and by occupied batch slots. */
interface PoolDemand { prefill: number, slots: number }

/** What one group of failure domains is planned by. `isAbsent`: by its last known demand, since its daemons are out of contact. */
interface GroupPlan { group: DemandGroup, fleet: DomainFleet[], wanted: EndpointTargets, isAbsent: boolean }

/** The last order of a kind and its result. */
interface LastOrder {
  count: number
  atMs: number
  result: 'given' | 'refused' | 'failed'
  /** No endpoints were available according to the last answered order; an unanswered order does not change this. */
  unavailable: boolean
}

/**
 * Orders the number of endpoints that each pool needs.
 *
 * Each round compares the endpoints in the registry with the plan, so that a new lease holder continues from the actual state. An order contains
 * an absolute count, so repeating it is safe.
 */
export class OrderTask {
  readonly #options: OrderTaskOptions
  readonly #lastOrders = new Map<string, LastOrder>()
  /** Demand by the key of its group. */
  readonly #demand = new Map<string, EndpointDemand>()
  readonly #slotDemand = new Map<string, SlotDemand>()
  readonly #absentRegions: AbsentRegions
  /** Last known demand of the groups whose daemons are out of contact. */
  readonly #heldDemand = new Map<string, PoolDemand>()
  #timer: NodeJS.Timeout | undefined

  constructor (options: OrderTaskOptions) {
    this.#options = options
    this.#absentRegions = new AbsentRegions({ topology: options.topology, members: () => options.members?.() ?? [] })
  }

  /** Records the tokens of a request as demand. */
  asked (pool: PoolName, tokens: number): void {
    for (const key of demandKeys(pool, this.#options.topology)) this.#options.tallies.tally.add(key, tokens)
  }

  /** Starts periodic reconciliation; orders are sent only while this daemon holds the lease. */
  start (): void {
    this.#timer = setInterval(guarded('order-task', () => this.#reconcile()), RECONCILE_INTERVAL_MS)
  }

  /** Stops reconciliation. */
  stop (): void {
    clearInterval(this.#timer)
  }

  #reconcile (): void {
    const { lease, pools } = this.#options
    // A new holder starts without history: its orders from an earlier term are outdated.
    if (lease.fencing === undefined && lease.fencingInOutage === undefined) this.#lastOrders.clear()
    for (const pool of pools()) {
      if (!pool.scaling) continue
      const { scaling } = pool
      const plans = demandGroups(pool.name, scaling, this.#options.topology).map((group) => this.#planOf(group, scaling)).filter((plan) => plan !== undefined)
      if (lease.fencing !== undefined) this.#orderPool(pool, scaling, plans)
      else if (lease.fencingInOutage !== undefined) for (const plan of plans) this.#orderMissing(pool, scaling, plan)
    }
  }

  #planOf (group: DemandGroup, scaling: Scaling): GroupPlan | undefined {
    const isAbsent = this.#absentRegions.isAbsent(group, steadyNow())
    const demand = isAbsent ? this.#holdDemand(group) : this.#countDemand(group)
    if (!isAbsent) this.#heldDemand.delete(group.key)
    const fleet = group.domains.map((domain) => this.#fleetOf(group.pool, domain))
    return demand && { group, fleet, wanted: endpointsWanted(demand, fleet), isAbsent }
  }

  get #isMeasuring (): boolean {
    const { lease, tallies } = this.#options
    return tallies.isReplica || lease.fencing !== undefined
  }

  /** Returns the last known demand of a group whose daemons are out of contact. When they return, demand is counted anew: all that they counted meanwhile arrives at once. */
  #holdDemand (group: DemandGroup): PoolDemand | undefined {
    if (!this.#isMeasuring) this.#heldDemand.delete(group.key)
    const held = this.#heldDemand.get(group.key) ?? this.#countDemand(group)
    if (!held) return undefined
    this.#heldDemand.set(group.key, held)
    this.#demand.set(group.key, new EndpointDemand({ initialEngines: held.prefill, now: steadyNow() }))
    return held
  }

  /**
   * Measures the load in engines, on every tally replica.
   *
   * Any replica may take over the lease. If it started measuring only then, it would have to keep all endpoints until the measurement settles, and during a
   * rolling restart every successor would start over.
   */
  #countDemand (group: DemandGroup): PoolDemand | undefined {
    const { tallies } = this.#options
    if (!this.#isMeasuring) {
      this.#demand.delete(group.key)
      this.#slotDemand.delete(group.key)
      return undefined
    }
    const msPerToken = this.#options.table.pace(group.pool)?.msPerToken
    if (msPerToken === undefined) return undefined
    const counted = { ...countDemand(group, tallies.tally), msPerToken }
    const demand = this.#demand.get(group.key) ?? this.#initialDemand(group, counted.tokens)
    this.#demand.set(group.key, demand)
    if (demand.isBootstrapping(steadyNow())) demand.setInitialEngines(this.#options.allowedTokensPerS() * group.share * ASSUMED_QUOTA_FRACTION * msPerToken / MS_PER_S)
    return { prefill: demand.observe(counted, steadyNow()), slots: this.#countSlots(group) }
  }

  #countSlots (group: DemandGroup): number {
    const endpoints = this.#endpointsOf(group)
    const running = endpoints.reduce((sum, view) => sum + Math.min(runningNow(view), view.speed.batchSlots), 0)
    const demand = this.#slotDemand.get(group.key) ?? new SlotDemand()
    this.#slotDemand.set(group.key, demand)
    return demand.observe({ running, slots: Math.max(...endpoints.map((view) => view.speed.batchSlots)) }, steadyNow())
  }

  /** All endpoints of a group, those included that are in none of its pool's failure domains if the pool has one group. */
  #endpointsOf ({ pool, domains, isWhole }: DemandGroup): EndpointView[] {
    return this.#options.table.all.filter((view) => view.pool === pool && (isWhole || domains.includes(view.failureDomain)))
  }

  #orderPool (pool: Pool, scaling: Scaling, plans: readonly GroupPlan[]): void {
    const present = plans.filter(({ isAbsent }) => !isAbsent)
    const targets = plans.length === 1 ? [] : withShortages(present.map((plan) => ({ wanted: plan.wanted, obtainable: this.#obtainable(plan, scaling) })))
    plans.forEach((plan) => {
      const { group, fleet } = plan
      const wanted = targets[present.indexOf(plan)] ?? plan.wanted
      this.#retryReclaimable(pool, scaling, { fleet, perDomain: Math.ceil(wanted.withHeadroom / fleet.length) })
      for (const mix of spreadPlan(wanted, scaling, fleet)) this.#orderMix(pool, scaling, { group, mix: this.#keepUntilSettled(group, mix) })
    })
  }

  /** Endpoints that a group of failure domains can have: those planned there, but where orders are refused only those that exist. */
  #obtainable ({ group: { pool }, fleet, wanted }: GroupPlan, scaling: Scaling): number {
    return spreadPlan(wanted, scaling, fleet).reduce((sum, { failureDomain, onDemand, reclaimable }) => {
      const existing = fleet.find((domain) => domain.failureDomain === failureDomain)!
      const available = (isReclaimable: boolean) => this.#lastOrders.get(orderKey({ pool, failureDomain, reclaimable: isReclaimable }))?.unavailable !== true
      return sum + (available(true) ? reclaimable : existing.reclaimable) + (available(false) ? onDemand : existing.onDemand)
    }, 0)
  }

  /**
   * Orders missing on-demand endpoints during a store outage.
   *
   * Counts are never lowered, and reclaimable endpoints, which may be refused for lack of capacity, are not ordered: a refusal therefore means that another
   * daemon holds the lease.
   */
  #orderMissing (pool: Pool, scaling: Scaling, { group, ...plan }: GroupPlan): void {
    const fleet = plan.fleet.map((domain) => ({ ...domain, reclaimableAvailable: false }))
    for (const mix of spreadPlan(plan.wanted, scaling, fleet)) {
      const existing = fleet.find((domain) => domain.failureDomain === mix.failureDomain)!.onDemand
      const order = { pool: pool.name, failureDomain: mix.failureDomain, reclaimable: false, count: mix.onDemand }
      if (mix.onDemand > existing) this.#orderIfDue(order, { count: existing, bootMs: scaling.bootMs, group })
    }
  }

  /**
   * Raises the plan to the existing counts until the measured load has settled, and while the daemons of the group are out of contact.
   *
   * A daemon that takes over the lease during a burst has no measurement yet. Estimating the load from the endpoints left after a reclaim, it would stop
   * endpoints that are needed and order them again shortly after.
   */
  #keepUntilSettled (group: DemandGroup, mix: DomainMix): DomainMix {
    if (this.#demand.get(group.key)!.isSettled(steadyNow())) return mix
    const existing = this.#fleetOf(group.pool, mix.failureDomain)
    return { ...mix, onDemand: Math.max(mix.onDemand, existing.onDemand), reclaimable: Math.max(mix.reclaimable, existing.reclaimable) }
  }

  /** Estimates the initial load from the existing endpoints, leaving ones included: they were ordered for it. */
  #initialDemand (group: DemandGroup, tokens: number): EndpointDemand {
    const idle = this.#options.firstStart === true && tokens === 0
    const existing = this.#endpointsOf(group).length
    return new EndpointDemand({ initialEngines: idle ? 0 : existing * TARGET_UTILIZATION, knownIdle: idle, now: steadyNow() })
  }

  /** Endpoints that serve the pool's regular traffic; those of a canary version do not count. */
  #fleetOf (pool: PoolName, failureDomain: FailureDomain): DomainFleet {
    const activeVersion = this.#options.versions?.carries(pool)
    const staying = this.#staying(pool, failureDomain).filter(({ version }) => activeVersion === undefined || version === undefined || version === activeVersion)
    return {
      failureDomain,
      ...countByKind(staying),
      reclaimableAvailable: this.#lastOrders.get(orderKey({ pool, failureDomain, reclaimable: true }))?.unavailable !== true
    }
  }

  #staying (pool: PoolName, failureDomain: FailureDomain): EndpointView[] {
    return this.#options.table.all.filter((view) => view.pool === pool && view.failureDomain === failureDomain && view.leavingAtMs === undefined)
  }

  /**
   * Retries reclaimable endpoints in all failure domains where none were available, so that capacity returns to all of them at the same time.
   *
   * Always orders at least one more than exist: the platform accepts an already satisfied count even when none are available, which would say nothing about
   * availability. Domains at their maximum are skipped for the same reason.
   */
  #retryReclaimable (pool: Pool, scaling: Scaling, target: { fleet: readonly DomainFleet[], perDomain: number }): void {
    const unavailable = target.fleet.filter(({ reclaimableAvailable, onDemand, reclaimable }) => !reclaimableAvailable && onDemand + reclaimable < scaling.max)
    const due = unavailable.some((domain) => this.#sinceLastOrderMs(pool.name, domain.failureDomain) > REFUSAL_BACKOFF_MS)
    if (!due) return
    for (const { failureDomain, onDemand, reclaimable } of unavailable) {
      const count = Math.min(scaling.max - onDemand, Math.max(target.perDomain, reclaimable + 1))
      this.#sendOrder({ pool: pool.name, failureDomain, reclaimable: true, count })
    }
  }

  #sinceLastOrderMs (pool: PoolName, failureDomain: FailureDomain): number {
    const last = this.#lastOrders.get(orderKey({ pool, failureDomain, reclaimable: true }))
    return last ? steadyNow() - last.atMs : Infinity
  }

  #orderMix (pool: Pool, scaling: Scaling, { group, mix }: { group: DemandGroup, mix: DomainMix }): void {
    const { failureDomain } = mix
    const fleet = this.#fleetOf(pool.name, failureDomain)
    const all = countByKind(this.#staying(pool.name, failureDomain))
    const order = { pool: pool.name, failureDomain }
    const count = (kind: EndpointKind) => this.#countWithOtherVersions(pool.name, { wanted: mix[kind], active: fleet[kind], all: all[kind], max: scaling.max })
    if (fleet.reclaimableAvailable) this.#orderIfDue({ ...order, reclaimable: true, count: count('reclaimable') }, { count: all.reclaimable, bootMs: scaling.bootMs, group })
    this.#orderIfDue({ ...order, reclaimable: false, count: count('onDemand') }, { count: all.onDemand, bootMs: scaling.bootMs, group })
  }

  /**
   * Adds the endpoints of other versions, which the platform includes in its count.
   *
   * During a roll-out the count is never lowered: it is unknown which version's endpoints the platform would stop.
   */
  #countWithOtherVersions (pool: PoolName, { wanted, active, all, max }: { wanted: number, active: number, all: number, max: number }): number {
    const count = wanted + all - active
    return this.#options.versions?.isRolling(pool) === true ? Math.max(all, Math.min(count, max)) : count
  }

  #orderIfDue (order: EndpointOrder, current: { count: number, bootMs: number, group: DemandGroup }): void {
    if (this.#isDue(order, current)) guarded('order-task', () => this.#sendOrder(order))()
  }

  async #sendOrder (order: EndpointOrder): Promise<void> {
    const { duties, lease, metrics, name } = this.#options
    const outage = lease.fencing === undefined
    const previous = this.#lastOrders.get(orderKey(order))
    const sent: LastOrder = { count: order.count, atMs: steadyNow(), result: previous?.result ?? 'given', unavailable: previous?.unavailable ?? false }
    let fencing: number | undefined
    try {
      await lease.act(async (right) => {
        fencing = right.fencing
        this.#lastOrders.set(orderKey(order), sent)
        await duties.order(order, { name, ...right })
      }, { inOutage: true })
      sent.result = 'given'
      sent.unavailable = false
      metrics.orders.inc({ result: 'given' })
      log('order-given', { ...order, fencing: fencing! })
    } catch (err) {
      if (err instanceof LeaseError) return
      if (!(err instanceof DutyError)) throw err
      sent.result = err.failure === 'refused' ? 'refused' : 'failed'
      if (err.failure === 'refused') sent.unavailable = true
      metrics.orders.inc({ result: err.failure })
      log('order-refused', { ...order, fencing: fencing!, failure: err.failure, why: err.message })
      if (outage && err.failure === 'refused') lease.endOutageGrace()
      // The order may still be executed after newer ones; a higher fencing number makes the platform reject it.
      if (err.failure === 'unsure') lease.raiseFencing()
    }
  }

  /** Whether to send an order. An unchanged count is sent again only when it has no effect, because the order was lost or its endpoints were reclaimed. */
  #isDue (order: EndpointOrder, current: { count: number, bootMs: number, group: DemandGroup }): boolean {
    const last = this.#lastOrders.get(orderKey(order))
    // At startup the registry fills over several seconds; endpoints that are not listed yet are paid for nevertheless.
    if (!last) return order.count !== current.count || this.#demand.get(current.group.key)?.isKnownIdle(steadyNow()) === true
    const sinceMs = steadyNow() - last.atMs
    if (last.result === 'refused') return order.count !== current.count && sinceMs > REFUSAL_BACKOFF_MS
    if (last.result === 'failed') return sinceMs > FAILURE_RETRY_MS
    if (last.count !== order.count) return true
    return order.count !== current.count && sinceMs > current.bootMs + BOOT_GRACE_MS
  }
}

type EndpointKind = 'onDemand' | 'reclaimable'

function countByKind (endpoints: readonly EndpointView[]): Record<EndpointKind, number> {
  const reclaimable = endpoints.filter((view) => view.reclaimable).length
  return { onDemand: endpoints.length - reclaimable, reclaimable }
}

function endpointsWanted ({ prefill, slots }: PoolDemand, fleet: readonly DomainFleet[]): EndpointTargets {
  return {
    minimum: Math.ceil(Math.max(prefill, slots / MAX_SLOT_UTILIZATION_WHILE_BOOTING)),
    required: Math.max(fleet.length, Math.ceil(prefill / MAX_UTILIZATION), Math.ceil(slots / MAX_SLOT_UTILIZATION)),
    withHeadroom: Math.max(MIN_PER_DOMAIN * fleet.length, Math.ceil(prefill / TARGET_UTILIZATION), Math.ceil(slots / TARGET_SLOT_UTILIZATION))
  }
}

function orderKey ({ pool, failureDomain, reclaimable }: Omit<EndpointOrder, 'count'>): string {
  return `${pool}/${failureDomain}/${reclaimable ? 'reclaimable' : 'on-demand'}`
}
