/** Stand-in for the platform's cloud API: host prices, refused starts, reclaim notices and a delayed host list. */
import { as, type FailureDomain, type HostId, type PoolName } from '../core/ids/index.ts'
import type { EndpointSpeed } from '../core/routing/index.ts'
import { Waiters } from '../core/time/index.ts'
import { CloudError, type Cloud, type CloudOffer, type HostSpec, type ListedHost, type ReclaimNotice } from '../endpoints/index.ts'
import { StandInEngine } from './engine.ts'
import type { Ledger } from './ledger.ts'
import { StandInService } from './service.ts'

/** Injectable faults, all disabled by default. */
export interface CloudFaults {
  /** Failure domains in which starts of reclaimable hosts are refused. */
  refuseIn: Set<FailureDomain>
  /** Delay of the host list, in milliseconds. */
  listLagMs: number
  /** Suppresses reclaim notices. */
  silentNotices: boolean
}

/** A host type offered by the cloud, with its prices and endpoint speed. */
export interface HostClass { name: string, reclaimablePrice: number, onDemandPrice: number, speed: EndpointSpeed }

/** Options of {@linkcode StandInCloud}. */
export interface StandInCloudOptions {
  ledger: Ledger
  classes: readonly HostClass[]
  /** Call latency in milliseconds by pool name; pools listed here run plain services, all others run engines. */
  serviceLatencyMs: ReadonlyMap<string, number>
  /** Makes an endpoint reachable and returns its address. Default: in-process, with the endpoint id as address. */
  publish?: (endpoint: StandInEngine | StandInService) => Promise<{ url: string, close (): Promise<void> }>
}

interface Host { listed: ListedHost, close (): Promise<void>, endpoint: StandInEngine | StandInService, startedAtMs: number, stoppedAtMs: number | undefined }

const MS_PER_HOUR = 3_600_000

/** In-memory cloud that starts, stops and reclaims hosts. */
export class StandInCloud implements Cloud {
  readonly faults: CloudFaults = { refuseIn: new Set(), listLagMs: 0, silentNotices: false }
  readonly #options: StandInCloudOptions
  readonly #hosts = new Map<HostId, Host>()
  readonly #notices: ReclaimNotice[] = []
  readonly #waiting = new Waiters()
  #hostListHistory: Array<{ atMs: number, hosts: ListedHost[] }> = []
  #serial = 0

  constructor (options: StandInCloudOptions) {
    this.#options = options
  }

  async hosts (): Promise<ListedHost[]> {
    const asOf = Date.now() - this.faults.listLagMs
    const latest = this.#hostListHistory.filter((entry) => entry.atMs <= asOf).at(-1)
    return latest?.hosts ?? []
  }

  async offers (): Promise<CloudOffer[]> {
    const domains = [...new Set([...this.#hosts.values()].map((host) => host.listed.failureDomain))].sort()
    return domains.flatMap((failureDomain) => this.#options.classes.flatMap(({ name, reclaimablePrice, onDemandPrice, speed }) => [
      { hostClass: name, failureDomain, reclaimable: true, pricePerHour: reclaimablePrice, speed },
      { hostClass: name, failureDomain, reclaimable: false, pricePerHour: onDemandPrice, speed }
    ]))
  }

  async notices (after: number, waitMs: number): Promise<ReclaimNotice[]> {
    const ready = () => this.#notices.filter((notice) => notice.serial > after)
    if (this.faults.silentNotices || (ready().length === 0 && waitMs > 0)) await this.#waiting.wait(waitMs)
    return this.faults.silentNotices ? [] : ready()
  }

  async start (wanted: HostSpec): Promise<HostId> {
    if (wanted.reclaimable && this.faults.refuseIn.has(wanted.failureDomain)) {
      throw new CloudError(`Cannot start host: no capacity in ${wanted.failureDomain}`, { refused: true })
    }
    const hostClass = this.#options.classes.find((cls) => cls.name === wanted.hostClass)
    if (!hostClass) throw new CloudError(`Cannot start host: unknown host class ${wanted.hostClass}`, { refused: true })
    return await this.#addHost(wanted, hostClass)
  }

  async stop (id: HostId): Promise<void> {
    const host = this.#hosts.get(id)
    if (!host || host.stoppedAtMs !== undefined) return
    host.stoppedAtMs = Date.now()
    host.endpoint.terminate()
    this.#recordHostList()
    await host.close()
  }

  /** Reclaims hosts: they refuse new work immediately and are stopped after `noticeMs`. */
  reclaim (ids: readonly HostId[], noticeMs: number): void {
    const goneAtMs = Date.now() + noticeMs
    for (const id of ids) {
      const host = this.#hosts.get(id)!
      host.listed = { ...host.listed, state: 'leaving' }
      host.endpoint.faults.refuse = true
    }
    this.#notices.push({ serial: ++this.#serial, hosts: [...ids], goneAtMs })
    this.#recordHostList()
    this.#waiting.wakeAll()
    setTimeout(() => ids.forEach((id) => { this.stop(id) }), noticeMs)
  }

  /** Returns the running hosts of a failure domain. */
  hostsIn (domain: string): HostId[] {
    return this.live().filter((host) => host.failureDomain === domain).map((host) => host.hostId)
  }

  /** Returns the running hosts in their current state, without the delay of the host list. */
  live (): ListedHost[] {
    return [...this.#hosts.values()].filter((host) => host.stoppedAtMs === undefined).map((host) => host.listed)
  }

  /** Returns the endpoint on a host. */
  endpoint (id: HostId): StandInEngine | StandInService {
    return this.#hosts.get(id)!.endpoint
  }

  /** Returns the endpoint at an address. */
  at (address: string): StandInEngine | StandInService | undefined {
    return [...this.#hosts.values()].find((host) => host.listed.endpoint.address === address)?.endpoint
  }

  /** Returns the accumulated price of all hosts up to now. */
  cost (): number {
    const now = Date.now()
    return [...this.#hosts.values()].reduce((sum, host) => sum + host.listed.pricePerHour * ((host.stoppedAtMs ?? now) - host.startedAtMs) / MS_PER_HOUR, 0)
  }

  async #addHost (wanted: HostSpec, hostClass: HostClass): Promise<HostId> {
    const hostId = as<HostId>(`host-${wanted.failureDomain}-${this.#hosts.size + 1}`)
    const id = `${wanted.pool}-${hostId}`
    const endpoint = this.#createEndpoint(id, wanted.pool, hostClass.speed)
    const published = await this.#options.publish?.(endpoint) ?? { url: id, close: async () => {} }
    const listed: ListedHost = {
      hostId,
      hostClass: hostClass.name,
      failureDomain: wanted.failureDomain,
      reclaimable: wanted.reclaimable,
      pricePerHour: wanted.reclaimable ? hostClass.reclaimablePrice : hostClass.onDemandPrice,
      state: 'live',
      endpoint: { id: as(id), pool: wanted.pool, address: published.url, speed: hostClass.speed }
    }
    this.#hosts.set(hostId, { listed, endpoint, close: published.close, startedAtMs: Date.now(), stoppedAtMs: undefined })
    this.#recordHostList()
    return hostId
  }

  #createEndpoint (id: string, pool: PoolName, speed: EndpointSpeed): StandInEngine | StandInService {
    const { ledger, serviceLatencyMs } = this.#options
    const latencyMs = serviceLatencyMs.get(pool)
    if (latencyMs !== undefined) return new StandInService({ ledger, latencyMs })
    const peers = (address: string) => {
      const peer = this.at(address)
      return peer instanceof StandInEngine ? peer : undefined
    }
    return new StandInEngine({ address: id, speed, ledger, peers })
  }

  #recordHostList (): void {
    this.#hostListHistory.push({ atMs: Date.now(), hosts: this.live() })
    this.#hostListHistory = this.#hostListHistory.slice(-50)
  }
}
