/** One daemon: composition root, start, drain and stop. */
import { randomUUID } from 'node:crypto'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { asFunction, asValue, createContainer, InjectionMode } from 'awilix'
import type Koa from 'koa'
import xxhash from 'xxhash-wasm'
import { as, type DaemonId, type EndpointId, type FailureDomain } from '../core/ids/index.ts'
import type { Member } from '../core/membership/index.ts'
import type { Hash64 } from '../core/quarantine/index.ts'
import { PrefixIndex, TargetRouter, type EndpointView, type Hash32, type Random } from '../core/routing/index.ts'
import { dial, HttpCloud, HttpEngine, HttpService, type Cloud, type DialResult, type ModelEngine, type PlainService } from '../endpoints/index.ts'
import { BudgetedStore, HttpStore, type ObjectStore, type StoreBudget, type StoreUse } from '../store/index.ts'
import { AuditTrail } from './config/audit.ts'
import { Broker } from './request/broker.ts'
import { callersApi } from './api/callers_api.ts'
import { Claims } from './once/claims.ts'
import { ConfigTask } from './config/config_task.ts'
import { Dispatcher } from './request/dispatcher.ts'
import { OpenResponses, stopListening } from './exchange/open_responses.ts'
import { EndpointSignalRecorder } from './endpoints/endpoint_signal_recorder.ts'
import { EndpointTable, SUBSET_SIZE } from './endpoints/endpoint_table.ts'
import { FleetLoop } from './fleet/fleet_loop.ts'
import { HostWatch } from './endpoints/host_watch.ts'
import type { Links } from './peers/links.ts'
import { log } from './log/index.ts'
import { MembershipTask } from './peers/membership_task.ts'
import { createMetrics, type Metrics } from './metrics.ts'
import { operatorsApi } from './api/operators_api.ts'
import { PeerLinks } from './peers/peer_links.ts'
import { CrashWatch, QuarantineArchive, QuarantineTask } from './quarantine/index.ts'
import { Reclaimer } from './endpoints/reclaimer.ts'
import { seededRandom } from './seeded_random.ts'
import type { Settings } from './settings.ts'
import { toWorkClass } from '../core/config/index.ts'
import { buildStatus, type StatusReport } from './status.ts'
import { delay, steadyNow } from '../core/time/index.ts'

/** Addresses that a daemon listens on. */
export interface DaemonAddresses { callers: string, operators: string, peers: string }

/** Options of {@linkcode Daemon.start}. */
export interface DaemonOptions {
  settings: Settings
  /** Seed of the daemon's random number generator. Default: the current time. */
  seed?: number
  /** Replacements of the platform's APIs, for tests and demos. Default: HTTP clients for the addresses in the settings. */
  store?: ObjectStore
  cloud?: Cloud
  /** Replacements of the connections to other daemons and to endpoints. Default: over the network. */
  links?: Links
  engine?: (view: EndpointView) => ModelEngine
  service?: (view: EndpointView) => PlainService
  dial?: (address: string) => Promise<DialResult>
  /** Serve the callers' and operators' APIs over HTTP. Default true. */
  http?: boolean
  /** Suffix of the daemon's id that distinguishes its restarts. Default: random. */
  run?: string
}

/** Rate limits of one daemon's calls to the store, by use; docs/CAPACITY.md has the total of the fleet. */
const STORE_BUDGETS: Record<StoreUse, StoreBudget> = {
  config: { perS: 2, burst: 10 },
  once: { perS: 100, burst: 100 },
  audit: { perS: 2, burst: 20 },
  members: { perS: 0.5, burst: 4 },
  lease: { perS: 1, burst: 4 },
  fleet: { perS: 1, burst: 4 },
  quarantine: { perS: 0.5, burst: 4 }
}

/** Time for the balancer to notice that the daemon is not ready, in milliseconds. */
const READINESS_PROPAGATION_MS = 1500
/** Time reserved at the end of the drain for handing streams over and notifying their callers, in milliseconds. */
const HANDOVER_RESERVE_MS = 3000
const DRAIN_POLL_MS = 50

/** Components of one daemon, keyed by their registration name in the container. */
interface DaemonComponents {
  settings: Settings
  self: DaemonId
  hash: Hash32
  hash64: Hash64
  random: Random
  metrics: Metrics
  store: ObjectStore
  cloud: Cloud
  storeFor: (use: StoreUse) => ObjectStore
  links: Links
  membership: MembershipTask
  audit: AuditTrail
  config: ConfigTask
  claims: Claims
  table: EndpointTable
  prefixes: PrefixIndex
  dispatcher: Dispatcher
  engine: (view: EndpointView) => ModelEngine
  service: (view: EndpointView) => PlainService
  signals: EndpointSignalRecorder
  crashes: CrashWatch
  quarantine: QuarantineTask
  archive: QuarantineArchive
  broker: Broker
  reclaimer: Reclaimer
  hosts: HostWatch
  fleet: FleetLoop
}

/** A running daemon. */
export class Daemon {
  readonly #components: DaemonComponents
  readonly #servers: Server[] = []
  readonly #responses = new OpenResponses()
  #addresses: DaemonAddresses | undefined
  #draining: Promise<void> | undefined

  readonly #http: boolean
  #resolveLeft: () => void = () => {}
  /** Resolves once the daemon has drained and left the membership, whether by a signal or an operator's call. */
  readonly left = new Promise<void>((resolve) => { this.#resolveLeft = resolve })

  private constructor (components: DaemonComponents, http: boolean) {
    this.#components = components
    this.#http = http
  }

  /**
   * Starts a daemon and resolves once it listens.
   * @throws {Error} If a port is in use.
   */
  static async start (options: DaemonOptions): Promise<Daemon> {
    const { h32, h64Raw } = await xxhash()
    const daemon = new Daemon(compose(options, (text) => h32(text), h64Raw), options.http ?? true)
    await daemon.#start()
    return daemon
  }

  get id (): DaemonId { return this.#components.self }
  get addresses (): DaemonAddresses { return this.#addresses! }
  get metrics (): Metrics { return this.#components.metrics }
  get broker (): Broker { return this.#components.broker }
  get config (): ConfigTask { return this.#components.config }
  get table (): EndpointTable { return this.#components.table }
  get membership (): MembershipTask { return this.#components.membership }
  get audit (): AuditTrail { return this.#components.audit }
  /** True while the balancer should route callers to this daemon. */
  get ready (): boolean { return this.#draining === undefined && this.#components.membership.joined && this.#components.config.inForce !== undefined && this.#components.table.all.length > 0 }

  /** Drains and stops; later calls return the first call's promise. */
  drain (who = 'signal'): Promise<void> {
    this.#draining ??= this.#drain(who)
    return this.#draining
  }

  /** Stops at once without draining, as in a crash. */
  async kill (): Promise<void> {
    this.#components.config.stop()
    this.#components.hosts.stop()
    this.#components.archive.stop()
    this.#components.quarantine.stop()
    this.#components.signals.stop()
    this.#components.fleet.stop()
    this.#components.broker.abandon()
    for (const server of this.#servers) server.closeAllConnections()
    await Promise.all([...this.#servers.map(close), this.#components.membership.stop()])
  }

  async #start (): Promise<void> {
    const { settings, membership, config, hosts, fleet, quarantine, archive } = this.#components
    await membership.start()
    config.start()
    await hosts.start()
    if (settings.manageFleet) fleet.start()
    quarantine.start()
    archive.start()
    if (this.#http) await this.#serve()
    log('daemon-started', { id: this.id, settings: settings.name, startMs: steadyNow() })
  }

  async #serve (): Promise<void> {
    const { settings, membership } = this.#components
    const callers = await this.#listen(callersApi(this.#components), settings.ports.callers)
    const operators = await this.#listen(operatorsApi({
      ...this.#components,
      bootstrapSecret: settings.peerSecret,
      ready: () => this.ready,
      drain: (who) => { this.drain(who) },
      status: () => this.status()
    }), settings.ports.operators)
    this.#addresses = { callers, operators, peers: `${membership.core.self.address}` }
  }

  /** Builds the status report for operators. */
  async status (): Promise<StatusReport> {
    const { broker, config } = this.#components
    const inForce = config.inForce
    const kinds = new Map(inForce?.config.pools.map(({ name, kind }) => [name, kind]))
    return await buildStatus({
      ...this.#components,
      open: broker.openCount,
      revision: inForce?.revision ?? 0,
      revisionSure: config.sure,
      classes: inForce?.config.classes.map((cls) => toWorkClass(cls, kinds.get(cls.pool) === 'model')) ?? []
    })
  }

  async #listen (app: Koa, port: number): Promise<string> {
    const { address } = this.#components.settings
    const serve = app.callback()
    const server = createServer({ keepAliveTimeout: 30_000 }, (req, res) => {
      this.#responses.add(res)
      return serve(req, res)
    })
    this.#servers.push(server)
    await new Promise<void>((resolve, reject) => server.once('error', reject).listen(port, address, resolve))
    return `http://${address}:${(server.address() as AddressInfo).port}`
  }

  /**
   * Shuts down gracefully. First reports not ready, since the balancer keeps sending for a while; then refuses new requests; then waits for
   * open requests to finish; then hands the rest over to a peer and tells their callers to resume there.
   */
  async #drain (who: string): Promise<void> {
    const { membership, broker, settings, audit } = this.#components
    const endsAtMs = steadyNow() + settings.drainMs
    log('daemon-draining', { who, open: broker.openCount })
    membership.setSelf({ state: 'draining' })
    audit.write({ kind: 'drain', id: randomUUID(), who, atMs: Date.now(), what: { daemon: this.id } })
    await delay(Math.min(READINESS_PROPAGATION_MS, settings.drainMs / 4))
    broker.refuseNew()
    this.#responses.closeIdle()
    await this.#waitForOpenRequests(endsAtMs - Math.min(HANDOVER_RESERVE_MS, settings.drainMs / 2))
    const { heir } = broker
    if (heir) await this.#handOverTo(heir, endsAtMs)
    else await this.#waitForOpenRequests(endsAtMs)
    await this.#leave(heir)
  }

  /** Hands streams over until none is left: one whose KV cache is being transferred cannot move yet, but may a moment later. */
  async #handOverTo (heir: Member, endsAtMs: number): Promise<void> {
    const { broker } = this.#components
    while (broker.openCount > 0 && steadyNow() < endsAtMs) {
      await broker.handOver(heir)
      await delay(DRAIN_POLL_MS)
    }
    await broker.handOverFinished(heir)
  }

  async #leave (heir: Member | undefined): Promise<void> {
    const { membership, broker, config, hosts, fleet, signals, quarantine, archive } = this.#components
    broker.releaseFollowers()
    const closing = this.#servers.map(stopListening)
    this.#responses.closeIdle()
    await Promise.race([Promise.all(closing), delay(READINESS_PROPAGATION_MS)])
    for (const server of this.#servers) server.closeAllConnections()
    config.stop()
    hosts.stop()
    fleet.stop()
    signals.stop()
    archive.stop()
    quarantine.stop()
    await membership.leave(heir?.id)
    log('daemon-left', { cut: broker.openCount, heir: heir?.id })
    this.#resolveLeft()
  }

  async #waitForOpenRequests (untilMs: number): Promise<void> {
    while (this.#components.broker.openCount > 0 && steadyNow() < untilMs) await delay(DRAIN_POLL_MS)
  }
}

function compose (options: DaemonOptions, hash: Hash32, hash64: Hash64): DaemonComponents {
  const { settings } = options
  const container = createContainer<DaemonComponents>({ injectionMode: InjectionMode.PROXY })
  container.register({
    settings: asValue(settings),
    self: asValue(as<DaemonId>(`${settings.name}-${options.run ?? randomUUID().slice(0, 8)}`)),
    hash: asValue(hash),
    hash64: asValue(hash64),
    // Generators with adjacent seeds produce similar first numbers, so the seed is mixed with the hash of the daemon's id.
    random: asFunction(({ self, hash }: DaemonComponents) => seededRandom((options.seed ?? Date.now()) ^ hash(self))).singleton(),
    metrics: asFunction(createMetrics).singleton(),
    store: asFunction(() => options.store ?? new HttpStore({ url: settings.platform.objectApi })).singleton(),
    cloud: asFunction(() => options.cloud ?? new HttpCloud({ url: settings.platform.cloudApi })).singleton(),
    storeFor: asFunction(storeFor).singleton(),
    links: asFunction(({ self, settings, metrics }: DaemonComponents) => options.links ?? new PeerLinks({ self, secret: settings.peerSecret, metrics })).singleton(),
    membership: asFunction(({ self, settings, storeFor, links, hash, metrics, random }: DaemonComponents) => new MembershipTask({
      self,
      listen: { host: settings.address, port: settings.ports.peers },
      failureDomain: as<FailureDomain>(settings.failureDomain),
      seeds: settings.seeds,
      store: storeFor('members'),
      links,
      hash,
      metrics,
      random
    })).singleton(),
    audit: asFunction(({ storeFor }: DaemonComponents) => new AuditTrail(storeFor('audit'))).singleton(),
    config: asFunction((components: DaemonComponents) => new ConfigTask(withStore(components, 'config'))).singleton(),
    claims: asFunction((components: DaemonComponents) => new Claims(withStore(components, 'once'))).singleton(),
    table: asFunction(({ self, hash }: DaemonComponents) => new EndpointTable({ self, hash })).singleton(),
    prefixes: asFunction(() => new PrefixIndex()).singleton(),
    dispatcher: asFunction(({ table, prefixes, random }: DaemonComponents) => new Dispatcher({
      table, prefixes, router: new TargetRouter({ random })
    })).singleton(),
    engine: asFunction(() => options.engine ?? perEndpoint((view) => new HttpEngine({ url: view.address }))).singleton(),
    service: asFunction(() => options.service ?? perEndpoint((view) => new HttpService({ url: view.address }))).singleton(),
    signals: asFunction(({ table, metrics, random }: DaemonComponents) => new EndpointSignalRecorder({ table, metrics, random })).singleton(),
    crashes: asFunction(({ metrics }: DaemonComponents) => new CrashWatch({ metrics, dial: ({ address }) => (options.dial ?? dial)(address) })).singleton(),
    quarantine: asFunction(({ crashes, membership, metrics }: DaemonComponents) => new QuarantineTask({ crashes, membership, metrics })).singleton(),
    archive: asFunction(({ storeFor, membership, quarantine }: DaemonComponents) => new QuarantineArchive({ store: storeFor('quarantine'), quarantine, maintainsArchive: () => membership.isFirstFor('quarantine') })).singleton(),
    broker: asFunction(({ self, hash, hash64, settings, config, membership, claims, metrics, table, dispatcher, signals, crashes, quarantine, engine, service }: DaemonComponents) => new Broker({
      self, hash, hash64, settings, config, membership, claims, metrics, ports: { table, dispatcher, signals, crashes, quarantine }, engine, service
    })).singleton(),
    reclaimer: asFunction(({ table, prefixes, metrics, engine, broker, config, random, membership }: DaemonComponents) => new Reclaimer({
      table,
      prefixes,
      metrics,
      engine,
      random,
      open: () => broker.open,
      wantsLeast: () => config.inForce?.config.wantsLeast ?? 'cost',
      sharers: () => Math.max(1, membership.acceptingWork.length * Math.min(1, SUBSET_SIZE / Math.max(1, table.all.length)))
    })).singleton(),
    hosts: asFunction(({ cloud, table, membership, random, dispatcher }: DaemonComponents) => new HostWatch({
      cloud, table, membership, random, onListed: () => dispatcher.startQueued()
    })).singleton(),
    fleet: asFunction(({ self, hash, storeFor, cloud, audit, config, table, membership, engine }: DaemonComponents) => new FleetLoop({
      self,
      hash,
      cloud,
      audit,
      config,
      table,
      membership,
      store: storeFor('lease'),
      // The engine's client uses only the address of the view.
      engine: (view) => engine(view as EndpointView),
      announceLeaving: (host, goneAtMs) => table.leaving([host], goneAtMs, 'notice')
    })).singleton()
  })
  const reclaimer = container.resolve('reclaimer')
  const broker = container.resolve('broker')
  broker.onStreamTakenOver = () => reclaimer.replan()
  container.resolve('signals').onRoom = () => container.resolve('dispatcher').startQueued()
  container.resolve('quarantine').onHeld(() => { for (const task of broker.open) task.quarantineChanged() })
  return container.cradle
}

function withStore (components: DaemonComponents, use: StoreUse) {
  const { self, settings, hash, metrics, random, links, storeFor } = components
  return { self, settings, hash, metrics, random, links, store: storeFor(use), get audit () { return components.audit }, get membership () { return components.membership } }
}

function storeFor ({ store, metrics, random }: DaemonComponents): (use: StoreUse) => ObjectStore {
  return (use) => new BudgetedStore(store, {
    use,
    budget: STORE_BUDGETS[use],
    random,
    onCall: (what, kind, failed) => metrics.storeCalls.inc({ use: what, kind, failed: String(failed) })
  })
}

/** Caches one client per endpoint, created on first use. */
function perEndpoint<T> (make: (view: EndpointView) => T): (view: EndpointView) => T {
  const clients = new Map<EndpointId, T>()
  return (view) => {
    let client = clients.get(view.id)
    if (!client) {
      client = make(view)
      clients.set(view.id, client)
    }
    return client
  }
}

function close (server: Server): Promise<void> {
  return new Promise((resolve) => { server.close(() => resolve()) })
}
