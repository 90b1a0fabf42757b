/** Runs the fleet task of each pool of model engines on whichever daemon holds its lease. */
import type { Config } from '../../core/config/index.ts'
import { as, type DaemonId, type HostId, type PoolName } from '../../core/ids/index.ts'
import type { EndpointView, Hash32 } from '../../core/routing/index.ts'
import type { Cloud, ModelEngine } from '../../endpoints/index.ts'
import type { ObjectStore } from '../../store/index.ts'
import type { AuditTrail } from '../config/audit.ts'
import type { ConfigTask } from '../config/config_task.ts'
import type { EndpointTable } from '../endpoints/endpoint_table.ts'
import { FleetTask } from './fleet_task.ts'
import { LeaseTask } from './lease_task.ts'
import type { MembershipTask } from '../peers/membership_task.ts'

/** Options of {@linkcode FleetLoop}. */
export interface FleetLoopOptions {
  self: DaemonId
  hash: Hash32
  store: ObjectStore
  cloud: Cloud
  audit: AuditTrail
  config: ConfigTask
  table: EndpointTable
  membership: MembershipTask
  engine (view: Pick<EndpointView, 'id' | 'address'>): Pick<ModelEngine, 'load'>
  announceLeaving (host: HostId, goneAtMs: number): void
}

interface PoolWork { lease: LeaseTask, task: FleetTask }

const ROUND_MS = 10_000
/** Daemons that contend for one lease: each of them reads it every few seconds. */
const CONTENDERS = 3

/** Owns the leases and fleet tasks of this daemon. */
export class FleetLoop {
  readonly #options: FleetLoopOptions
  readonly #pools = new Map<PoolName, PoolWork>()
  #timer: NodeJS.Timeout | undefined

  constructor (options: FleetLoopOptions) {
    this.#options = options
    options.table.onLeaving((leaving) => {
      const waves = new Set(leaving.filter(({ signal }) => signal === 'notice').map(({ view }) => view.failureDomain))
      for (const { task } of this.#pools.values()) for (const domain of waves) task.reclaimed(domain)
    })
  }

  /** Begins the rounds. */
  start (): void {
    this.#timer = setInterval(() => this.#round(), ROUND_MS)
  }

  /** Ends them; leases run out by themselves. */
  stop (): void {
    clearInterval(this.#timer)
    for (const { lease } of this.#pools.values()) lease.stop()
  }

  #round (): void {
    for (const pool of this.#options.config.inForce?.config.pools ?? []) {
      if (pool.kind === 'model' && this.#contends(pool.name)) this.#workOn(as(pool.name)).task.reconcile()
    }
  }

  #contends (pool: string): boolean {
    const { self, hash, membership } = this.#options
    const rank = (id: DaemonId) => hash(`fleet/${pool}/${id}`)
    return membership.working.filter(({ id }) => rank(id) > rank(self)).length < CONTENDERS
  }

  #workOn (pool: PoolName): PoolWork {
    let work = this.#pools.get(pool)
    if (!work) {
      const { self, store, cloud, audit, engine, announceLeaving } = this.#options
      const lease = new LeaseTask({ self, store, name: `fleet-${pool}` })
      lease.start()
      const config = (): Config | undefined => this.#options.config.inForce?.config
      work = { lease, task: new FleetTask({ self, pool, cloud, audit, config, engine, announceLeaving, holds: () => lease.fencing !== undefined }) }
      this.#pools.set(pool, work)
    }
    return work
  }
}
