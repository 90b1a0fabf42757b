/** Holds the hosts of one pool that its work needs: plans, starts, drains and stops, while it has the pool's lease. */
import { randomUUID } from 'node:crypto'
import type { Config } from '../../core/config/index.ts'
import { hostsNeeded, MixPlanner, ReclaimRisk, ScaleDown, type FleetPlanner, type Holding, type Offer } from '../../core/fleet/index.ts'
import type { DaemonId, FailureDomain, HostId, PoolName } from '../../core/ids/index.ts'
import { AttemptError } from '../../core/outcome/index.ts'
import type { EndpointView } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { CloudError, type Cloud, type CloudOffer, type ListedHost, type ModelEngine } from '../../endpoints/index.ts'
import type { AuditTrail } from '../config/audit.ts'
import { log } from '../log/index.ts'

/** Options of {@linkcode FleetTask}. */
export interface FleetTaskOptions {
  self: DaemonId
  pool: PoolName
  cloud: Cloud
  audit: Pick<AuditTrail, 'write'>
  config (): Config | undefined
  engine (view: Pick<EndpointView, 'id' | 'address'>): Pick<ModelEngine, 'load'>
  /** True while this daemon holds the pool's lease. */
  holds (): boolean
  /** Tells all daemons that a host is leaving. */
  announceLeaving (host: HostId, goneAtMs: number): void
  /** Default: {@linkcode MixPlanner}. */
  planner?: FleetPlanner
}

/** What one round did. */
export interface FleetRound { needed: number, started: number, refused: number, draining: number, stopped: number }

/** From the order of a host to its first request, as long as nothing better is known, in milliseconds. */
const BOOT_MS = 180_000
/** How long starts are not tried again where one was refused, in milliseconds. */
const REFUSED_FOR_MS = 300_000
/** Time that a host which is no longer needed has to finish its streams, in milliseconds. */
const DRAIN_MS = 120_000
/** Money for the work that the loss of a host makes to be done again. */
const LOSS_PRICE = 0.05
/** Starts in one round: the weight store serves few hosts at once. */
const STARTS_AT_ONCE = 4

/**
 * One pool's reconcile loop. Each round compares what the cloud lists with what the plan wants, so that a round that was cut short, or a new
 * holder of the lease, goes on from what is there.
 */
export class FleetTask {
  readonly #options: FleetTaskOptions
  readonly #planner: FleetPlanner
  readonly #risk = new ReclaimRisk(steadyNow())
  readonly #scale = new ScaleDown()
  readonly #refusedUntil = new Map<FailureDomain, number>()
  readonly #drainedAt = new Map<HostId, number>()
  /** Hosts that were ordered and are not listed yet. */
  readonly #booting = new Map<HostId, { offer: Offer, sinceMs: number }>()

  constructor (options: FleetTaskOptions) {
    this.#options = options
    this.#planner = options.planner ?? new MixPlanner()
  }

  /** Counts a reclaim notice, so that the domain's risk is learnt. */
  reclaimed (domain: FailureDomain): void {
    this.#risk.reclaimed(domain)
  }

  /** One round; does nothing without the lease. */
  async reconcile (): Promise<FleetRound> {
    const round: FleetRound = { needed: 0, started: 0, refused: 0, draining: 0, stopped: 0 }
    if (!this.#options.holds()) return round
    try {
      const offers = await this.#options.cloud.offers()
      const hosts = (await this.#options.cloud.hosts()).filter((host) => host.endpoint.pool === this.#options.pool)
      const live = hosts.filter((host) => host.state === 'live' && !this.#drainedAt.has(host.hostId))
      this.#forgetBooted(hosts)
      const wanted = await this.#plan(live, offers, round)
      await this.#startMissing(wanted, live, offers, round)
      await this.#drainSurplus(wanted, live, round)
      await this.#stopDrained(hosts, round)
    } catch (err) {
      if (!(err instanceof CloudError)) throw err
      log('fleet-round-cut', { pool: this.#options.pool, why: err.message })
    }
    return round
  }

  async #plan (live: readonly ListedHost[], offers: readonly CloudOffer[], round: FleetRound): Promise<Holding[]> {
    const now = steadyNow()
    const classes = this.#options.config()?.classes.filter((cls) => cls.pool === this.#options.pool) ?? []
    if (classes.length === 0 || offers.length === 0) return live.map((host) => ({ offer: this.#offerOf(host, now), count: 1 }))
    const betweenTokensMs = Math.min(...classes.map((cls) => cls.latency.betweenTokensMs ?? Infinity))
    const streams = await this.#streams(live)
    const needed = hostsNeeded(streams, { speed: offers[0]!.speed, betweenTokensMs: Number.isFinite(betweenTokensMs) ? betweenTokensMs : undefined })
    round.needed = this.#scale.smooth(Math.max(1, needed), now)
    const delivery = Math.max(...classes.map((cls) => cls.delivery))
    return this.#planner.plan({ hosts: round.needed, delivery, bootMs: BOOT_MS, lossPrice: LOSS_PRICE }, offers.map((offer) => this.#offerOf(offer, now))).holdings
  }

  /** An endpoint that does not tell its load counts as idle: its streams will show elsewhere. */
  async #streams (live: readonly ListedHost[]): Promise<number> {
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

  /** A host that is never listed did not come up: it stops counting after twice the time that a host takes. */
  #forgetBooted (hosts: readonly ListedHost[]): void {
    const listed = new Set(hosts.map((host) => host.hostId))
    for (const [hostId, { sinceMs }] of this.#booting) {
      if (listed.has(hostId) || steadyNow() > sinceMs + BOOT_MS * 2) this.#booting.delete(hostId)
    }
  }

  #offerOf ({ failureDomain, reclaimable, pricePerHour }: Pick<CloudOffer, 'failureDomain' | 'reclaimable' | 'pricePerHour'>, now: number): Offer {
    const available = !reclaimable || (this.#refusedUntil.get(failureDomain) ?? 0) <= now
    return { failureDomain, reclaimable, pricePerHour, wavesPerDay: reclaimable ? this.#risk.perDay(failureDomain, now) : 0, available }
  }

  /** What was ordered counts as there: the list shows a host minutes after its order, and each round until then would order another. */
  async #startMissing (wanted: readonly Holding[], live: readonly ListedHost[], offers: readonly CloudOffer[], round: FleetRound): Promise<void> {
    for (const { offer, count } of wanted) {
      const booting = [...this.#booting.values()].filter((each) => isOf(each.offer, offer)).length
      const missing = count - booting - live.filter((host) => isOf(host, offer)).length
      for (let i = 0; i < missing && round.started < STARTS_AT_ONCE; i++) {
        if (!await this.#start(offer, offers, round)) break
      }
    }
  }

  async #start (offer: Offer, offers: readonly CloudOffer[], round: FleetRound): Promise<boolean> {
    const { failureDomain, reclaimable } = offer
    const { hostClass } = offers.find((each) => each.failureDomain === failureDomain && each.reclaimable === reclaimable)!
    try {
      const hostId = await this.#options.cloud.start({ hostClass, failureDomain, pool: this.#options.pool, reclaimable })
      round.started++
      this.#booting.set(hostId, { offer, sinceMs: steadyNow() })
      this.#record('start', { hostId, failureDomain, reclaimable })
      return true
    } catch (err) {
      if (!(err instanceof CloudError) || !err.refused) throw err
      this.#refusedUntil.set(failureDomain, steadyNow() + REFUSED_FOR_MS)
      round.refused++
      this.#record('refused', { failureDomain, reclaimable })
      return false
    }
  }

  /** Nothing is drained while something is still to boot: a wave would otherwise be met with fewer hosts than before. */
  async #drainSurplus (wanted: readonly Holding[], live: readonly ListedHost[], round: FleetRound): Promise<void> {
    if (this.#booting.size + round.refused > 0) return
    const staying = [...live]
    for (const host of live) {
      const wantedThere = wanted.find(({ offer }) => isOf(host, offer))?.count ?? 0
      const there = staying.filter((other) => isOf(other, host)).length
      if (there <= wantedThere || staying.length <= round.needed) continue
      staying.splice(staying.indexOf(host), 1)
      this.#drainedAt.set(host.hostId, steadyNow())
      this.#options.announceLeaving(host.hostId, steadyNow() + DRAIN_MS)
      round.draining++
      this.#record('drain', { hostId: host.hostId })
    }
  }

  async #stopDrained (hosts: readonly ListedHost[], round: FleetRound): Promise<void> {
    for (const [hostId, sinceMs] of this.#drainedAt) {
      const host = hosts.find((each) => each.hostId === hostId)
      if (host && await this.#streams([host]) > 0 && steadyNow() < sinceMs + DRAIN_MS) continue
      if (host) await this.#options.cloud.stop(hostId)
      this.#drainedAt.delete(hostId)
      round.stopped++
      this.#record('stop', { hostId })
    }
  }

  #record (action: string, what: object): void {
    log('fleet-step', { pool: this.#options.pool, action, what })
    this.#options.audit.write({ kind: 'cloud', id: randomUUID(), who: this.#options.self, atMs: Date.now(), what: { action, pool: this.#options.pool, ...what } })
  }
}

function isOf (host: Pick<Offer, 'failureDomain' | 'reclaimable'>, offer: Pick<Offer, 'failureDomain' | 'reclaimable'>): boolean {
  return host.failureDomain === offer.failureDomain && host.reclaimable === offer.reclaimable
}
