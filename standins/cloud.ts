/** Stand-in for the platform's cloud: hosts with prices, refusals, reclaim notices and a lagging host list. */
import { as, type FailureDomain, type HostId, type PoolName } from '../core/ids/index.ts'
import type { EndpointSpeed } from '../core/routing/index.ts'
import { CloudError, type Cloud, type CloudOffer, type HostWanted, type ListedHost, type ReclaimNotice } from '../endpoints/index.ts'
import { StandInEngine } from './engine.ts'
import type { Ledger } from './ledger.ts'
import { StandInService } from './service.ts'

/** Faults, all off at first. */
export interface CloudFaults {
  /** Starts of reclaimable hosts are refused in these failure domains. */
  refuseIn: Set<FailureDomain>
  /** Milliseconds by which the host list lags. */
  listLagMs: number
  /** No notice is sent. */
  silentNotices: boolean
}

/** A kind of host that the cloud offers. */
export interface HostClass { name: string, reclaimablePrice: number, onDemandPrice: number, speed: EndpointSpeed }

/** Options of {@linkcode StandInCloud}. */
export interface StandInCloudOptions {
  ledger: Ledger
  classes: readonly HostClass[]
  /** Which pools are plain services, and how long a call takes there. */
  serviceLatencyMs: ReadonlyMap<string, number>
  /** Makes an endpoint reachable. Default: at its id, within the process. */
  publish?: (endpoint: StandInEngine | StandInService) => Promise<{ url: string, close (): Promise<void> }>
}

interface Host { listed: ListedHost, close (): Promise<void>, endpoint: StandInEngine | StandInService, startedAtMs: number, stoppedAtMs: number | undefined }

const MS_PER_HOUR = 3_600_000

/** One cloud. */
export class StandInCloud implements Cloud {
  readonly faults: CloudFaults = { refuseIn: new Set(), listLagMs: 0, silentNotices: false }
  readonly #options: StandInCloudOptions
  readonly #hosts = new Map<HostId, Host>()
  readonly #notices: ReclaimNotice[] = []
  readonly #waiting = new Set<() => void>()
  #history: Array<{ atMs: number, hosts: ListedHost[] }> = []
  #serial = 0

  constructor (options: StandInCloudOptions) {
    this.#options = options
  }

  async hosts (): Promise<ListedHost[]> {
    const asOf = Date.now() - this.faults.listLagMs
    const seen = this.#history.filter((entry) => entry.atMs <= asOf).at(-1)
    return seen?.hosts ?? []
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
    if (this.faults.silentNotices || (ready().length === 0 && waitMs > 0)) await this.#wait(waitMs)
    return this.faults.silentNotices ? [] : ready()
  }

  async start (wanted: HostWanted): Promise<HostId> {
    if (wanted.reclaimable && this.faults.refuseIn.has(wanted.failureDomain)) {
      throw new CloudError(`Cannot start host: none free in ${wanted.failureDomain}`, { refused: true })
    }
    const hostClass = this.#options.classes.find((cls) => cls.name === wanted.hostClass)
    if (!hostClass) throw new CloudError(`Cannot start host: no class ${wanted.hostClass}`, { refused: true })
    return await this.#boot(wanted, hostClass)
  }

  async stop (id: HostId): Promise<void> {
    const host = this.#hosts.get(id)
    if (!host || host.stoppedAtMs !== undefined) return
    host.stoppedAtMs = Date.now()
    host.endpoint.die()
    this.#record()
    await host.close()
  }

  /** Reclaims hosts with notice; they refuse new work at once and are gone when it ends. */
  reclaim (ids: readonly HostId[], noticeMs: number): void {
    const goneAtMs = Date.now() + noticeMs
    for (const id of ids) {
      const host = this.#hosts.get(id)!
      host.listed = { ...host.listed, state: 'leaving' }
      host.endpoint.faults.refuse = true
    }
    this.#notices.push({ serial: ++this.#serial, hosts: [...ids], goneAtMs })
    this.#record()
    for (const wake of [...this.#waiting]) wake()
    setTimeout(() => ids.forEach((id) => { this.stop(id) }), noticeMs)
  }

  /** Hosts of a failure domain that run. */
  hostsIn (domain: string): HostId[] {
    return this.live().filter((host) => host.failureDomain === domain).map((host) => host.hostId)
  }

  /** Hosts that run, as they are, without the lag. */
  live (): ListedHost[] {
    return [...this.#hosts.values()].filter((host) => host.stoppedAtMs === undefined).map((host) => host.listed)
  }

  /** The endpoint on a host. */
  endpoint (id: HostId): StandInEngine | StandInService {
    return this.#hosts.get(id)!.endpoint
  }

  /** The endpoint at an address. */
  at (address: string): StandInEngine | StandInService | undefined {
    return [...this.#hosts.values()].find((host) => host.listed.endpoint.address === address)?.endpoint
  }

  /** Money spent on hosts until now. */
  cost (): number {
    const now = Date.now()
    return [...this.#hosts.values()].reduce((sum, host) => sum + host.listed.pricePerHour * ((host.stoppedAtMs ?? now) - host.startedAtMs) / MS_PER_HOUR, 0)
  }

  async #boot (wanted: HostWanted, hostClass: HostClass): Promise<HostId> {
    const hostId = as<HostId>(`host-${wanted.failureDomain}-${this.#hosts.size + 1}`)
    const id = `${wanted.pool}-${hostId}`
    const endpoint = this.#make(id, wanted.pool, hostClass.speed)
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
    this.#record()
    return hostId
  }

  #make (id: string, pool: PoolName, speed: EndpointSpeed): StandInEngine | StandInService {
    const { ledger, serviceLatencyMs } = this.#options
    const latencyMs = serviceLatencyMs.get(pool)
    if (latencyMs !== undefined) return new StandInService({ ledger, latencyMs })
    const peers = (address: string) => {
      const peer = this.at(address)
      return peer instanceof StandInEngine ? peer : undefined
    }
    return new StandInEngine({ address: id, speed, ledger, peers })
  }

  #record (): void {
    this.#history.push({ atMs: Date.now(), hosts: this.live() })
    this.#history = this.#history.slice(-50)
  }

  #wait (ms: number): Promise<void> {
    return new Promise((resolve) => {
      const done = () => {
        clearTimeout(timer)
        this.#waiting.delete(done)
        resolve()
      }
      const timer = setTimeout(done, ms)
      this.#waiting.add(done)
    })
  }
}
