/** A pool whose endpoints are ordered, for tests. */
import { vi } from 'vitest'
import type { Pool } from '../../core/catalog/index.ts'
import { as, type DaemonId, type EndpointId, type EndpointVersion, type FailureDomain, type HostId, type PoolName } from '../../core/ids/index.ts'
import { Tally } from '../../core/tally/index.ts'
import { DutyError, type EndpointOrder, type ListedHost } from '../../endpoints/index.ts'
import { EndpointTable } from '../endpoints/endpoint_table.ts'
import { StandInLease } from '../fleet/_stand_in_lease.ts'
import { createMetrics } from '../metrics.ts'
import type { TallyTask } from '../peers/tally_task.ts'
import { OrderTask, type OrderTaskOptions } from './order_task.ts'

/** Pool of the endpoints. */
export const POOL = as<PoolName>('llm')
/** Failure domains of the pool. */
export const DOMAINS = ['a', 'b', 'c'].map((name) => as<FailureDomain>(name))
/** Time that endpoints take to boot, in milliseconds. */
export const BOOT_MS = 4000
/** Version of the endpoints. */
export const FIRST_VERSION = as<EndpointVersion>('v1')
const SELF = as<DaemonId>('d')

let task: OrderTask | undefined

/** Stops the orders of the fleet that was started last. */
export function stopOrders (): void {
  task?.stop()
}

/** Simulated cloud that executes orders: endpoints boot, serve and are reclaimed. */
export class Fleet {
  readonly table = new EndpointTable({ self: SELF, hash: (text) => text.length })
  readonly tally = new Tally(SELF)
  readonly orders: EndpointOrder[] = []
  readonly lease = new StandInLease(() => 1)
  /** Failure domains without available reclaimable endpoints. */
  readonly exhausted = new Set<FailureDomain>()
  /** Total token rate that the quotas of all accounts allow, in tokens per second. */
  allowedTokensPerS = 0
  /** True while orders get no answer. */
  unanswered = false
  /** Batch slots of each endpoint. */
  slots = 64
  /** Concurrent requests over all serving endpoints. */
  running = 0
  readonly #ordered = new Map<string, number>()
  #hosts: ListedHost[] = []
  #number = 0

  constructor (onDemandPerDomain: number, max = 4) {
    for (const domain of DOMAINS) this.#set({ pool: POOL, failureDomain: domain, reclaimable: false, count: onDemandPerDomain }, 0)
    const pool: Pool = {
      name: POOL,
      healthPath: '/',
      maxConnections: 100,
      engine: undefined,
      scaling: { min: 1, max, bootMs: BOOT_MS, reclaimableShare: 0.18, pricePerS: new Map(DOMAINS.map((domain, i) => [domain, 1 + i / 10])) }
    }
    this.pools = () => [pool]
  }

  readonly pools: () => Pool[]

  /** Number of serving endpoints of one kind. */
  serving (reclaimable: boolean): number {
    return this.table.all.filter((view) => view.leavingAtMs === undefined && view.reclaimable === reclaimable).length
  }

  /** Number of serving endpoints in each failure domain. */
  get servingByDomain (): number[] {
    return DOMAINS.map((domain) => this.table.all.filter((view) => view.leavingAtMs === undefined && view.failureDomain === domain).length)
  }

  /** Number of ordered endpoints, booting or serving: those that are paid for. */
  get orderedCount (): number { return [...this.#ordered.values()].reduce((sum, count) => sum + count, 0) }

  start (options: Partial<Pick<OrderTaskOptions, 'firstStart' | 'versions' | 'topology' | 'members'>> = {}): OrderTask {
    task = new OrderTask({
      name: 'd',
      duties: { order: async (order) => this.#order(order), report: async () => {} },
      lease: this.lease,
      table: this.table,
      tallies: { tally: this.tally, isReplica: true } as unknown as TallyTask,
      metrics: createMetrics(),
      pools: this.pools,
      allowedTokensPerS: () => this.allowedTokensPerS,
      ...options
    })
    task.start()
    return task
  }

  /** Reclaims the reclaimable endpoints of a failure domain; afterwards none are available anywhere until `exhausted` is cleared. */
  reclaim (domain: FailureDomain): void {
    for (const each of DOMAINS) this.exhausted.add(each)
    const reclaimed = this.#hosts.filter((host) => host.reclaimable && host.failureDomain === domain)
    this.table.leaving(reclaimed.map(({ hostId }) => hostId), Date.now() + 2000, 'notice')
    this.#hosts = this.#hosts.filter((host) => !reclaimed.includes(host))
    this.#ordered.set(`${domain}/true`, 0)
  }

  /** Advances the clock under a constant load, given in engines. */
  async advance (ms: number, engines: number, ...tallyKeys: string[]): Promise<void> {
    for (let i = 0; i < ms / 250; i++) {
      for (const key of tallyKeys.length > 0 ? tallyKeys : [`demand/${POOL}`]) this.tally.add(key, engines * 100_000 / 4)
      const serving = this.table.all.filter((view) => view.leavingAtMs === undefined)
      const each = Math.min(this.slots, this.running / Math.max(1, serving.length))
      this.table.applyOthersWork(serving.map(({ id }) => [id, { running: each, unread: { urgent: 0, normal: 0, late: 0 } }]))
      await vi.advanceTimersByTimeAsync(250)
    }
  }

  #order (order: EndpointOrder): void {
    const existing = this.#ordered.get(`${order.failureDomain}/${order.reclaimable}`) ?? 0
    if (this.unanswered) throw new DutyError('Cannot order: no answer', { failure: 'unsure' })
    if (order.reclaimable && order.count > existing && this.exhausted.has(order.failureDomain)) throw new DutyError('Cannot order: none available', { failure: 'refused' })
    this.orders.push(order)
    this.#set(order, BOOT_MS)
  }

  #set (order: EndpointOrder, bootMs: number): void {
    const key = `${order.failureDomain}/${order.reclaimable}`
    this.#ordered.set(key, order.count)
    const existing = this.#hosts.filter((host) => `${host.failureDomain}/${host.reclaimable}` === key)
    const stopped = existing.slice(order.count)
    this.#hosts = this.#hosts.filter((host) => !stopped.includes(host))
    this.table.leaving(stopped.map(({ hostId }) => hostId), Date.now() + 2000, 'list')
    if (bootMs === 0) this.#boot(order)
    else setTimeout(() => this.#boot(order), bootMs)
  }

  /** Adds one endpoint of another version for each existing one; the cloud counts both versions together. */
  addVersion (version: EndpointVersion): void {
    const added = this.#hosts.map((host): ListedHost => {
      const id = `${host.endpoint.id}-${version}`
      return { ...host, hostId: as<HostId>(id), endpoint: { ...host.endpoint, id: as<EndpointId>(id), version } }
    })
    for (const { failureDomain, reclaimable } of added) {
      const key = `${failureDomain}/${reclaimable}`
      this.#ordered.set(key, this.#ordered.get(key)! + 1)
    }
    this.#hosts.push(...added)
    this.table.applyHostList(this.#hosts)
  }

  #boot ({ failureDomain, reclaimable }: EndpointOrder): void {
    const key = `${failureDomain}/${reclaimable}`
    const missing = (this.#ordered.get(key) ?? 0) - this.#hosts.filter((host) => `${host.failureDomain}/${host.reclaimable}` === key).length
    for (let i = 0; i < missing; i++) {
      const id = `e${this.#number++}`
      this.#hosts.push({
        hostId: as<HostId>(id),
        hostClass: POOL,
        failureDomain,
        reclaimable,
        pricePerHour: 0,
        state: 'live',
        endpoint: { id: as<EndpointId>(id), pool: POOL, version: FIRST_VERSION, address: `10.0.0.1:${this.#number}`, speed: { batchSlots: this.slots, prefillTokensPerS: 100_000, betweenTokensMs: 1, betweenTokensPerStreamMs: 1, exportTokensPerS: 0, importTokensPerS: 0 } }
      })
    }
    this.table.applyHostList(this.#hosts)
  }
}
