/** Runs the fleet task of each model pool on the daemon that holds the pool's lease. */
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
import { guarded } from '../tasks/index.ts'

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

interface ManagedPool { lease: LeaseTask, task: FleetTask }

const RECONCILE_INTERVAL_MS = 10_000
/** Maximum number of daemons that contend for one lease: each of them reads it every few seconds. */
const MAX_CONTENDERS = 3

/** Manages the pool leases and fleet tasks of this daemon. */
export class FleetLoop {
  readonly #options: FleetLoopOptions
  readonly #pools = new Map<PoolName, ManagedPool>()
  #timer: NodeJS.Timeout | undefined

  constructor (options: FleetLoopOptions) {
    this.#options = options
    options.table.onLeaving((leaving) => {
      const reclaimedDomains = new Set(leaving.filter(({ signal }) => signal === 'notice').map(({ view }) => view.failureDomain))
      for (const { task } of this.#pools.values()) for (const domain of reclaimedDomains) task.recordReclaim(domain)
    })
  }

  /** Starts periodic reconciliation. */
  start (): void {
    this.#timer = setInterval(guarded('fleet-loop', () => this.#reconcileAll()), RECONCILE_INTERVAL_MS)
  }

  /** Stops reconciliation; held leases expire. */
  stop (): void {
    clearInterval(this.#timer)
    for (const { lease } of this.#pools.values()) lease.stop()
  }

  #reconcileAll (): void {
    for (const pool of this.#options.config.inForce?.config.pools ?? []) {
      if (pool.kind === 'model' && this.#contends(pool.name)) guarded('fleet-task', () => this.#managedPool(as(pool.name)).task.reconcile())()
    }
  }

  #contends (pool: string): boolean {
    const { self, hash, membership } = this.#options
    const rank = (id: DaemonId) => hash(`fleet/${pool}/${id}`)
    return membership.acceptingWork.filter(({ id }) => rank(id) > rank(self)).length < MAX_CONTENDERS
  }

  #managedPool (pool: PoolName): ManagedPool {
    let managed = this.#pools.get(pool)
    if (!managed) {
      const { self, store, cloud, audit, engine, announceLeaving } = this.#options
      const lease = new LeaseTask({ self, store, name: `fleet-${pool}` })
      lease.start()
      const config = (): Config | undefined => this.#options.config.inForce?.config
      managed = { lease, task: new FleetTask({ self, pool, cloud, audit, config, engine, announceLeaving, lease }) }
      this.#pools.set(pool, managed)
    }
    return managed
  }
}
