/** Scales the hosts of one pool to its load: plans, starts, drains and stops hosts while this daemon holds the pool's lease. */
import { randomUUID } from 'node:crypto'
import type { Config } from '../../core/config/index.ts'
import { hostsNeeded, MixPlanner, ReclaimRisk, ScaleDownWindow, type FleetPlanner, type Holding, type Offer } from '../../core/fleet/index.ts'
import type { DaemonId, FailureDomain, HostId, PoolName } from '../../core/ids/index.ts'
import { AttemptError } from '../../core/outcome/index.ts'
import type { EndpointView } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { CloudError, type Cloud, type CloudOffer, type ListedHost, type ModelEngine } from '../../endpoints/index.ts'
import type { AuditTrail } from '../config/audit.ts'
import { log } from '../log/index.ts'
import { LeaseError, type LeaseTask } from './lease_task.ts'

/** Options of {@linkcode FleetTask}. */
export interface FleetTaskOptions {
  self: DaemonId
  pool: PoolName
  cloud: Cloud
  audit: Pick<AuditTrail, 'write'>
  config (): Config | undefined
  engine (view: Pick<EndpointView, 'id' | 'address'>): Pick<ModelEngine, 'load'>
  /** Lease of the pool. */
  lease: Pick<LeaseTask, 'act' | 'fencing'>
  /** Announces to all daemons that a host will leave at `goneAtMs` of the steady clock. */
  announceLeaving (host: HostId, goneAtMs: number): void
  /** Default: {@linkcode MixPlanner}. */
  planner?: FleetPlanner
}

/** Actions of one reconcile round. */
export interface ReconcileResult { needed: number, started: number, refused: number, draining: number, stopped: number }

/** Assumed time from starting a host to its first request, in milliseconds. */
const ASSUMED_BOOT_MS = 180_000
/** How long reclaimable offers of a failure domain are not used after a refused start, in milliseconds. */
const REFUSAL_BACKOFF_MS = 300_000
/** Time a surplus host has to finish its streams before it is stopped, in milliseconds. */
const DRAIN_TIMEOUT_MS = 120_000
/** Cost of redoing the work that is lost with a host. */
const HOST_LOSS_COST = 0.05
/** Maximum starts in one round: the weight store can serve only a few hosts at a time. */
const MAX_STARTS_PER_ROUND = 4

/**
 * Reconcile loop of one pool. Each round compares the hosts that the cloud lists with the plan, so that an interrupted round or a new lease
 * holder continues from the actual state. A round takes several calls: it ends with the lease, which each step asks for.
 */
export class FleetTask {
  readonly #options: FleetTaskOptions
  readonly #planner: FleetPlanner
  readonly #reclaimRisk = new ReclaimRisk(steadyNow())
  readonly #scaleDown = new ScaleDownWindow()
  readonly #refusedUntilMs = new Map<FailureDomain, number>()
  readonly #drainStartedAtMs = new Map<HostId, number>()
  /** Hosts that were started but are not listed yet. */
  readonly #booting = new Map<HostId, { offer: Offer, sinceMs: number }>()

  constructor (options: FleetTaskOptions) {
    this.#options = options
    this.#planner = options.planner ?? new MixPlanner()
  }

  /** Records a reclaim notice, from which the reclaim risk of the failure domain is estimated. */
  recordReclaim (domain: FailureDomain): void {
    this.#reclaimRisk.recordReclaim(domain)
  }

  /** Runs one round; does nothing without the lease. */
  async reconcile (): Promise<ReconcileResult> {
    const round: ReconcileResult = { needed: 0, started: 0, refused: 0, draining: 0, stopped: 0 }
    if (this.#options.lease.fencing === undefined) return round
    try {
      const offers = await this.#options.cloud.offers()
      const hosts = (await this.#options.cloud.hosts()).filter((host) => host.endpoint.pool === this.#options.pool)
      const live = hosts.filter((host) => host.state === 'live' && !this.#drainStartedAtMs.has(host.hostId))
      this.#pruneBooting(hosts)
      const wanted = await this.#plan(live, offers, round)
      await this.#startMissing(wanted, live, offers, round)
      await this.#drainSurplus(wanted, live, round)
      await this.#stopDrained(hosts, round)
    } catch (err) {
      if (!(err instanceof CloudError) && !(err instanceof LeaseError)) throw err
      log('fleet-round-cut', { pool: this.#options.pool, why: err.message })
    }
    return round
  }

  async #plan (live: readonly ListedHost[], offers: readonly CloudOffer[], round: ReconcileResult): Promise<Holding[]> {
    const now = steadyNow()
    const classes = this.#options.config()?.classes.filter((cls) => cls.pool === this.#options.pool) ?? []
    if (classes.length === 0 || offers.length === 0) return live.map((host) => ({ offer: this.#offerOf(host, now), count: 1 }))
    const betweenTokensMs = Math.min(...classes.map((cls) => cls.latency.betweenTokensMs ?? Infinity))
    const streams = await this.#countRunningStreams(live)
    const needed = hostsNeeded(streams, { speed: offers[0]!.speed, betweenTokensMs: Number.isFinite(betweenTokensMs) ? betweenTokensMs : undefined })
    round.needed = this.#scaleDown.smooth(Math.max(1, needed), now)
    const delivery = Math.max(...classes.map((cls) => cls.delivery))
    return this.#planner.plan({ hosts: round.needed, delivery, bootMs: ASSUMED_BOOT_MS, lossPrice: HOST_LOSS_COST }, offers.map((offer) => this.#offerOf(offer, now))).holdings
  }

  /** Running streams on the hosts. An endpoint that does not report its load counts as idle: its streams will move to other endpoints. */
  async #countRunningStreams (live: readonly ListedHost[]): Promise<number> {
    const loads = await Promise.all(live.map(async ({ endpoint }) => {
      try {
        return (await this.#options.engine({ id: endpoint.id, address: endpoint.address }).load()).running
      } catch (err) {
        if (err instanceof AttemptError) return 0
        throw err
      }
    }))
    return loads.reduce((sum, running) => sum + running, 0)
  }

  /** Removes hosts that are now listed, and those that failed to appear within twice the assumed boot time. */
  #pruneBooting (hosts: readonly ListedHost[]): void {
    const listed = new Set(hosts.map((host) => host.hostId))
    for (const [hostId, { sinceMs }] of this.#booting) {
      if (listed.has(hostId) || steadyNow() > sinceMs + ASSUMED_BOOT_MS * 2) this.#booting.delete(hostId)
    }
  }

  #offerOf ({ failureDomain, reclaimable, pricePerHour }: Pick<CloudOffer, 'failureDomain' | 'reclaimable' | 'pricePerHour'>, now: number): Offer {
    const available = !reclaimable || (this.#refusedUntilMs.get(failureDomain) ?? 0) <= now
    return { failureDomain, reclaimable, pricePerHour, reclaimsPerDay: reclaimable ? this.#reclaimRisk.perDay(failureDomain, now) : 0, available }
  }

  /** Starts missing hosts. Booting hosts count as present: the cloud lists a host minutes after its start, and each round until then would start another. */
  async #startMissing (wanted: readonly Holding[], live: readonly ListedHost[], offers: readonly CloudOffer[], round: ReconcileResult): Promise<void> {
    for (const { offer, count } of wanted) {
      const booting = [...this.#booting.values()].filter((each) => matchesOffer(each.offer, offer)).length
      const missing = count - booting - live.filter((host) => matchesOffer(host, offer)).length
      for (let i = 0; i < missing && round.started < MAX_STARTS_PER_ROUND; i++) {
        if (!await this.#startHost(offer, offers, round)) break
      }
    }
  }

  async #startHost (offer: Offer, offers: readonly CloudOffer[], round: ReconcileResult): Promise<boolean> {
    const { failureDomain, reclaimable } = offer
    const { hostClass } = offers.find((each) => each.failureDomain === failureDomain && each.reclaimable === reclaimable)!
    try {
      const hostId = await this.#options.lease.act(() => this.#options.cloud.start({ hostClass, failureDomain, pool: this.#options.pool, reclaimable }))
      round.started++
      this.#booting.set(hostId, { offer, sinceMs: steadyNow() })
      this.#recordStep('start', { hostId, failureDomain, reclaimable })
      return true
    } catch (err) {
      if (!(err instanceof CloudError) || !err.refused) throw err
      this.#refusedUntilMs.set(failureDomain, steadyNow() + REFUSAL_BACKOFF_MS)
      round.refused++
      this.#recordStep('refused', { failureDomain, reclaimable })
      return false
    }
  }

  /** Drains surplus hosts, but none while hosts are booting or were refused: a series of reclaims would otherwise leave fewer hosts than before. */
  async #drainSurplus (wanted: readonly Holding[], live: readonly ListedHost[], round: ReconcileResult): Promise<void> {
    if (this.#booting.size + round.refused > 0 || this.#options.lease.fencing === undefined) return
    const staying = [...live]
    for (const host of live) {
      const wantedCount = wanted.find(({ offer }) => matchesOffer(host, offer))?.count ?? 0
      const liveCount = staying.filter((other) => matchesOffer(other, host)).length
      if (liveCount <= wantedCount || staying.length <= round.needed) continue
      staying.splice(staying.indexOf(host), 1)
      this.#drainStartedAtMs.set(host.hostId, steadyNow())
      this.#options.announceLeaving(host.hostId, steadyNow() + DRAIN_TIMEOUT_MS)
      round.draining++
      this.#recordStep('drain', { hostId: host.hostId })
    }
  }

  async #stopDrained (hosts: readonly ListedHost[], round: ReconcileResult): Promise<void> {
    for (const [hostId, sinceMs] of this.#drainStartedAtMs) {
      const host = hosts.find((each) => each.hostId === hostId)
      if (host && await this.#countRunningStreams([host]) > 0 && steadyNow() < sinceMs + DRAIN_TIMEOUT_MS) continue
      if (host) await this.#options.lease.act(() => this.#options.cloud.stop(hostId))
      this.#drainStartedAtMs.delete(hostId)
      round.stopped++
      this.#recordStep('stop', { hostId })
    }
  }

  #recordStep (action: string, what: object): void {
    log('fleet-step', { pool: this.#options.pool, action, what })
    this.#options.audit.write({ kind: 'cloud', id: randomUUID(), who: this.#options.self, atMs: Date.now(), what: { action, pool: this.#options.pool, ...what } })
  }
}

function matchesOffer (host: Pick<Offer, 'failureDomain' | 'reclaimable'>, offer: Pick<Offer, 'failureDomain' | 'reclaimable'>): boolean {
  return host.failureDomain === offer.failureDomain && host.reclaimable === offer.reclaimable
}
