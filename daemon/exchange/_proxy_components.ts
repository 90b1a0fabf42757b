/** Composition root of the proxy daemon: builds and connects its components. */
import { randomUUID } from 'node:crypto'
import { asFunction, asValue, createContainer, InjectionMode } from 'awilix'
import { totalTokenQuotaPerS, type Catalog } from '../../core/catalog/index.ts'
import { as, type DaemonId, type PoolName } from '../../core/ids/index.ts'
import { type RetryLimiter } from '../../core/retry/index.ts'
import type { Hash64 } from '../../core/quarantine/index.ts'
import type { EndpointView, Hash32, Random } from '../../core/routing/index.ts'
import { mayHoldRecords } from '../../core/streams/index.ts'
import { PollWatch } from '../../core/time/index.ts'
import { RegionTopology } from '../../core/topology/index.ts'
import { createEndCheck, dial, ExchangeClient } from '../../endpoints/index.ts'
import { ConfigFollower } from '../config/config_follower.ts'
import { OrderTask } from '../duties/order_task.ts'
import { UsageTask } from '../duties/usage_task.ts'
import { EndpointFollower } from '../endpoints/endpoint_follower.ts'
import { EndpointSignalRecorder } from '../endpoints/endpoint_signal_recorder.ts'
import { EndpointTable } from '../endpoints/endpoint_table.ts'
import { shareDepartures } from '../endpoints/departure_sharing.ts'
import { LeaseTask } from '../fleet/lease_task.ts'
import { AccountLimits } from '../limits/account_limits.ts'
import { EndpointLimits } from '../limits/endpoint_limits.ts'
import { EndpointLimitTask } from '../limits/endpoint_limit_task.ts'
import { CpuTimeLog } from '../log/index.ts'
import { createMetrics, type Metrics } from '../metrics.ts'
import { MemoryGuard } from '../memory/index.ts'
import { DelegatedRuns, DelegateFinder, DelegateServer } from '../delegation/index.ts'
import { RegionLinkTask } from '../link/index.ts'
import { MoveDirector } from '../moves/index.ts'
import { PathWatch } from '../paths/index.ts'
import { shareStoreEra } from '../peers/era_sharing.ts'
import { LeaseAnnouncer } from '../peers/lease_announcer.ts'
import { RoomGate } from '../request/room_gate.ts'
import { LoadTask } from '../peers/load_task.ts'
import { MembershipTask } from '../peers/membership_task.ts'
import { PeerLinks } from '../peers/peer_links.ts'
import { StoreRelay } from '../peers/store_relay.ts'
import { FleetSize } from '../peers/fleet_size.ts'
import { TallyTask } from '../peers/tally_task.ts'
import { CrashConfirmer, CrashWatch, QuarantineArchive, QuarantineTask } from '../quarantine/index.ts'
import type { Dispatcher } from '../request/dispatcher.ts'
import { createSharedDispatcher } from '../request/shared_dispatcher.ts'
import { StallWatch } from '../request/stall_watch.ts'
import { PoolHistory, RecordArchive, StreamVersions } from '../streams/index.ts'
import { seededRandom } from '../seeded_random.ts'
import { engineMemoryComponents, type EngineMemoryComponents } from './_engine_memory.ts'
import { ConnectionGateTask } from './connection_gate_task.ts'
import { ExchangeServer } from './exchange_server.ts'
import { Intake } from './intake.ts'
import { MonitorServer } from './monitor_server.ts'
import type { PlatformAdapter } from './platform_adapter.ts'
import type { ProxySettings } from './proxy_settings.ts'
import { ReadinessServer } from './readiness.ts'
import { StreamAdmission } from './stream_admission.ts'
import { catalogIndex, configFollower, connectionsTo, endpointFollower, isInOtherRegion, proxyStatus, retryBudgets, rolloutComponents, type RolloutComponents } from './_component_factories.ts'

/** Options of {@linkcode compose}. */
export interface ComposeOptions {
  settings: ProxySettings
  platform: PlatformAdapter
  hash: Hash32
  hash64: Hash64
  /** Returns the IP address and port to connect to for an endpoint's address. Default: the address itself. */
  endpointAddress?: ((address: string) => string) | undefined
}

/** Components of one daemon, keyed by their registration name in the container. */
export interface ProxyComponents {
  settings: ProxySettings
  platform: PlatformAdapter
  self: DaemonId
  hash: Hash32
  hash64: Hash64
  random: Random
  metrics: Metrics
  memory: MemoryGuard
  poll: PollWatch
  topology: RegionTopology
  regionLink: RegionLinkTask
  links: PeerLinks
  membership: MembershipTask
  fleet: FleetSize
  tallies: TallyTask
  relay: StoreRelay
  config: ConfigFollower<Catalog>
  limits: AccountLimits
  endpointLimits: EndpointLimits
  endpointLimitTask: EndpointLimitTask
  /** Undefined if the settings do not ask for the memory of engines to be bounded. */
  engineMemory: EngineMemoryComponents | undefined
  signals: EndpointSignalRecorder
  table: EndpointTable
  registry: EndpointFollower
  client: ExchangeClient
  confirmer: CrashConfirmer
  crashes: CrashWatch
  quarantine: QuarantineTask
  archive: QuarantineArchive
  loads: LoadTask
  roomGate: RoomGate | undefined
  paths: PathWatch
  delegateFinder: DelegateFinder
  delegatedRuns: DelegatedRuns
  delegateServer: DelegateServer
  recordArchive: RecordArchive
  poolHistory: PoolHistory
  streamVersions: StreamVersions
  dispatcher: Dispatcher
  budgetOf: (pool: PoolName) => RetryLimiter
  intake: Intake
  stalls: StallWatch
  moves: MoveDirector
  server: ExchangeServer
  connectionGate: ConnectionGateTask
  readiness: ReadinessServer
  monitor: MonitorServer
  processor: CpuTimeLog
  lease: LeaseTask
  usage: UsageTask
  orders: OrderTask
  rollouts: RolloutComponents | undefined
}

/**
 * Lease TTL as a fraction of `leaseMs`, the time within which two holders must not act alternately. A successor waits for another half of
 * the TTL.
 */
const LEASE_TTL_FRACTION = 2 / 3
/** Interval between reads of a lease held by another daemon, and delay before a failed lease call is retried, in milliseconds. */
const LEASE_POLL_MS = 500

/** Registers all components and connects their events; each component is built on first access. */
export function compose ({ settings, platform, hash, hash64, endpointAddress = (address) => address }: ComposeOptions): ProxyComponents {
  const container = createContainer<ProxyComponents>({ injectionMode: InjectionMode.PROXY })
  container.register({
    settings: asValue(settings),
    platform: asValue(platform),
    self: asValue(as<DaemonId>(`${settings.name}-${randomUUID().slice(0, 8)}`)),
    hash: asValue(hash),
    hash64: asValue(hash64),
    random: asFunction(({ self }: ProxyComponents) => seededRandom(hash(self))).singleton(),
    metrics: asFunction(createMetrics).singleton(),
    memory: asFunction(({ metrics }: ProxyComponents) => new MemoryGuard({ metrics, limitBytes: settings.memoryLimitBytes })).singleton(),
    poll: asFunction(() => new PollWatch()).singleton(),
    topology: asFunction(() => new RegionTopology({ ownDomain: settings.failureDomain, regions: settings.regions })).singleton(),
    links: asFunction((cradle: ProxyComponents) => new PeerLinks({
      self: cradle.self,
      secret: settings.peerSecret,
      metrics: cradle.metrics,
      ...(cradle.topology.hasRegions && { isFar: (peer: DaemonId) => isInOtherRegion(peer, cradle) })
    })).singleton(),
    membership: asFunction(({ self, links, topology, metrics, random }: ProxyComponents) => new MembershipTask({
      self,
      listen: settings.listen.peers,
      failureDomain: settings.failureDomain,
      topology,
      cores: settings.cores,
      seeds: settings.seeds,
      store: platform.store,
      links,
      hash,
      metrics,
      random,
      registrationName: settings.name
    })).singleton(),
    fleet: asFunction(({ membership }: ProxyComponents) => new FleetSize(membership)).singleton(),
    tallies: asFunction(({ self, membership }: ProxyComponents) => new TallyTask({ self, membership })).singleton(),
    relay: asFunction(({ membership, links, topology, metrics }: ProxyComponents) => new StoreRelay({
      store: platform.store,
      links,
      self: () => membership.core.self,
      acceptingWork: () => membership.acceptingWork,
      hash,
      topology,
      metrics,
      propagationMs: settings.registry.leavingMs
    })).singleton(),
    config: asFunction(configFollower).singleton(),
    limits: asFunction(({ self, membership, fleet, topology }: ProxyComponents) => new AccountLimits({ self, topology, host: settings.name, tolerance: settings.quota, membership, fleet })).singleton(),
    table: asFunction(({ self, topology }: ProxyComponents) => new EndpointTable({ self, hash, topology, countsMemory: settings.boundsEngineMemory === true })).singleton(),
    engineMemory: asFunction(engineMemoryComponents).singleton(),
    registry: asFunction(endpointFollower).singleton(),
    client: asFunction(({ config, fleet, topology, memory, poll }: ProxyComponents) => new ExchangeClient({
      poll,
      addressOf: endpointAddress,
      maxConnections: (view) => connectionsTo(view, config, fleet),
      onOpen: () => memory.connectionOpened(),
      onClose: () => memory.connectionClosed(),
      ...(topology.hasRegions && { onConnected: ({ failureDomain }, tookMs) => topology.recordRoundTrip(failureDomain, tookMs) })
    })).singleton(),
    confirmer: asFunction(({ membership, table, paths }: ProxyComponents) => new CrashConfirmer({ membership, table, paths, hash })).singleton(),
    crashes: asFunction(({ metrics, client, confirmer, paths, table }: ProxyComponents) => new CrashWatch({ metrics, poolSize: (pool) => table.usable(pool).length, dial: (view) => paths.dial(view), confirm: (view) => confirmer.confirm(view), isConnected: (view) => client.isConnected(view) })).singleton(),
    quarantine: asFunction(({ crashes, membership, metrics }: ProxyComponents) => new QuarantineTask({ crashes, membership, metrics })).singleton(),
    archive: asFunction(({ membership, quarantine }: ProxyComponents) => new QuarantineArchive({ store: platform.store, quarantine, maintainsArchive: () => membership.isFirstFor('quarantine') })).singleton(),
    endpointLimits: asFunction(({ metrics, table, limits }: ProxyComponents) => new EndpointLimits({ metrics, farKeeperMs: () => limits.farKeeperMs, isListed: (id) => table.get(id) !== undefined, listed: () => table.all })).singleton(),
    endpointLimitTask: asFunction(({ self, membership, endpointLimits, limits, dispatcher }: ProxyComponents) => new EndpointLimitTask({ self, membership, limits: endpointLimits, accounts: limits, queued: (pool) => dispatcher.queuedByUrgency(pool) })).singleton(),
    signals: asFunction(({ table, endpointLimits, metrics, random }: ProxyComponents) => new EndpointSignalRecorder({ table, limits: endpointLimits, metrics, random })).singleton(),
    loads: asFunction(({ self, membership, table, limits, endpointLimitTask, engineMemory, roomGate }: ProxyComponents) => new LoadTask({
      self,
      membership,
      table,
      limits,
      ...(roomGate && { pools: roomGate }),
      memory: engineMemory?.task,
      onReport: (from, loads) => {
        endpointLimitTask.sendLimits(from)
        engineMemory?.task.reported(from, loads)
      }
    })).singleton(),
    rollouts: asFunction(rolloutComponents).singleton(),
    paths: asFunction((cradle: ProxyComponents) => new PathWatch({
      table: cradle.table,
      metrics: cradle.metrics,
      dial: (address, options) => dial(endpointAddress(address), options),
      hasIdleConnection: (view) => cradle.client.hasIdle(view),
      open: () => cradle.intake.open
    })).singleton(),
    delegateFinder: asFunction((cradle: ProxyComponents) => new DelegateFinder({
      self: cradle.self,
      failureDomain: settings.failureDomain,
      hash,
      topology: cradle.topology,
      membership: cradle.membership,
      paths: cradle.paths,
      onOffer: (pool, cutOffMs) => {
        cradle.paths.moveLostRequests(pool, cutOffMs)
        cradle.dispatcher.startQueued()
      },
      onInquiryEnd: () => cradle.dispatcher.startQueued()
    })).singleton(),
    delegatedRuns: asFunction(({ membership, delegateFinder }: ProxyComponents) => new DelegatedRuns({ membership, finder: delegateFinder })).singleton(),
    delegateServer: asFunction(({ membership, table, paths, client, intake, metrics }: ProxyComponents) => new DelegateServer({ membership, table, paths, client, intake, metrics })).singleton(),
    recordArchive: asFunction(({ self, membership, fleet, random, metrics }: ProxyComponents) => new RecordArchive({
      self, store: platform.store, membership, hostCount: () => fleet.hostCount, mayHold: () => mayHoldRecords(self, membership.reachable, { hash }), random, metrics
    })).singleton(),
    poolHistory: asFunction((cradle: ProxyComponents) => new PoolHistory({
      self: cradle.self,
      store: platform.store,
      membership: cradle.membership,
      random: cradle.random,
      metrics: cradle.metrics,
      completeSinceMs: () => cradle.registry.completeSinceMs,
      registryAgeMs: () => cradle.registry.ageMs
    })).singleton(),
    streamVersions: asFunction((cradle: ProxyComponents) => new StreamVersions({
      self: cradle.self,
      membership: cradle.membership,
      hostCount: () => cradle.fleet.hostCount,
      hash,
      metrics: cradle.metrics,
      history: cradle.poolHistory,
      archive: cradle.recordArchive,
      registryAgeMs: () => cradle.registry.ageMs
    })).singleton(),
    regionLink: asFunction(({ topology, membership, metrics, random }: ProxyComponents) => new RegionLinkTask({ topology, membership, metrics, random })).singleton(),
    roomGate: asFunction(({ table, random, topology, regionLink }: ProxyComponents) => (settings.refusesLateStreams === true ? new RoomGate({ table, random, topology, crossing: regionLink }) : undefined)).singleton(),
    dispatcher: asFunction(({ table, random, topology, regionLink, fleet, rollouts, endpointLimits, engineMemory, paths, delegateFinder, roomGate }: ProxyComponents) => createSharedDispatcher({
      table,
      hash,
      random,
      topology,
      crossing: regionLink,
      sharers: () => fleet.hostCount,
      canaries: rollouts?.gate,
      limits: endpointLimits,
      memory: engineMemory?.memory,
      gate: roomGate,
      ways: { canSend: (view, work) => paths.canSend(view, work), wayFor: (req) => delegateFinder.wayFor(req) }
    })).singleton(),
    budgetOf: asFunction(retryBudgets).singleton(),
    intake: asFunction(({ memory, poll, table, dispatcher, metrics, client, crashes, quarantine, hash64, random, limits, endpointLimits, signals, usage, orders, budgetOf, config, rollouts, paths, delegatedRuns, streamVersions, archive }: ProxyComponents) => new Intake({
      memory: memory.account,
      poll,
      table,
      dispatcher,
      metrics,
      client,
      crashes,
      quarantine,
      hash64,
      random,
      limits,
      endpointLimits,
      signals,
      usage,
      orders,
      answers: rollouts?.gate,
      budgetOf,
      paths,
      checkEnd: createEndCheck({ dial: ({ address }, options) => dial(endpointAddress(address), options), lastActivityAtMs: ({ id }) => table.lastActivityAtMs(id) }),
      restored: () => archive.restored,
      streams: new StreamAdmission({ versions: streamVersions, hash64 }),
      delegate: (to, { mayRepeatNow, from, req: { credential, deadlineInMs: _, account, ...req }, ...query }, sink) => delegatedRuns.run(to, { query: { ...query, req: { ...req, resumeFrom: from }, account }, mayRepeatNow }, sink),
      dialect: platform.dialect,
      catalog: catalogIndex(config),
      known: config.known,
      configState: () => ({ revision: config.inForce?.revision ?? 0, revisionAgeMs: config.confirmedAgeMs })
    })).singleton(),
    stalls: asFunction(({ table, paths, intake }: ProxyComponents) => new StallWatch({ table, paths, open: () => intake.open })).singleton(),
    moves: asFunction((cradle: ProxyComponents) => new MoveDirector({
      table: cradle.table,
      topology: cradle.topology,
      metrics: cradle.metrics,
      random: cradle.random,
      paths: cradle.paths,
      port: platform.kvMover({ addressOf: endpointAddress }),
      open: () => cradle.intake.open,
      engineOf: (pool) => cradle.config.inForce?.pools.get(pool)?.engine,
      budgetOf: cradle.budgetOf,
      leavingMs: settings.registry.leavingMs,
      daemons: () => cradle.fleet.hostCount
    })).singleton(),
    server: asFunction(({ intake, metrics, memory, poll }: ProxyComponents) => new ExchangeServer({ intake, metrics, poll, maxConnections: settings.maxCallers, timeLimitMs: (req) => intake.timeLimitMs(req), guard: memory, dialect: platform.dialect })).singleton(),
    connectionGate: asFunction(({ server, metrics }: ProxyComponents) => new ConnectionGateTask({ server, metrics })).singleton(),
    readiness: asFunction(() => new ReadinessServer()).singleton(),
    monitor: asFunction((components: ProxyComponents) => new MonitorServer({ metrics: components.metrics, quarantine: components.quarantine, status: () => proxyStatus(components) })).singleton(),
    processor: asFunction(({ metrics }: ProxyComponents) => new CpuTimeLog(metrics)).singleton(),
    lease: asFunction(({ self, tallies, membership, links }: ProxyComponents) => new LeaseTask({
      self,
      store: platform.store,
      name: 'duties',
      ttlMs: settings.leaseMs * LEASE_TTL_FRACTION,
      pollIntervalMs: LEASE_POLL_MS,
      retryMs: LEASE_POLL_MS,
      fenced: settings.ordersFenced,
      reacquireDelayMs: settings.leaseMs,
      peers: new LeaseAnnouncer({ self, links, contenders: () => tallies.replicas }),
      contends: () => membership.joined && tallies.isReplica
    })).singleton(),
    usage: asFunction(({ lease, tallies }: ProxyComponents) => new UsageTask({
      name: settings.name, store: platform.store, duties: platform.duties, lease, tallies, ...settings.usage
    })).singleton(),
    orders: asFunction(({ lease, table, tallies, metrics, config, rollouts, topology, membership }: ProxyComponents) => new OrderTask({
      name: settings.name, topology, members: () => membership.core.members, duties: platform.duties, lease, table, tallies, metrics, versions: rollouts?.gate, firstStart: settings.firstStart, pools: () => config.inForce?.pools.values() ?? [], allowedTokensPerS: () => totalTokenQuotaPerS(config.inForce?.accounts?.byCredential.values() ?? [])
    })).singleton()
  })
  const components = container.cradle
  shareDepartures(components.table, components.membership)
  shareStoreEra(platform.store.era, { membership: components.membership, metrics: components.metrics })
  components.paths.onChange = (pool) => {
    components.delegateFinder.pathsChanged(pool)
    components.dispatcher.startQueued()
  }
  // A connection that was open when the path went down would lose the next request that is written to it.
  components.paths.onDown = (view) => components.client.dropIdle(view.id)
  components.endpointLimits.onRoom = () => components.dispatcher.startQueued()
  if (components.engineMemory) components.engineMemory.memory.onRoom = () => components.dispatcher.startQueued()
  components.table.onEnded((view) => components.endpointLimits.ended(view))
  components.signals.onRoom = () => components.dispatcher.startQueued()
  const mayBegin = (view: EndpointView) => components.poolHistory.mayBegin(view)
  components.table.restrictBegin(mayBegin)
  components.poolHistory.onAllowed = () => {
    components.table.restrictBegin(mayBegin)
    components.dispatcher.startQueued()
  }
  components.poolHistory.onUncertain = () => components.streamVersions.certaintyLost()
  components.streamVersions.onResumed = (key, resumption) => components.intake.streamResumed(key, resumption)
  components.quarantine.onHeld(() => { for (const task of components.intake.open) task.quarantineChanged() })
  components.rollouts?.gate.onVersionEmptied((pool, version) => { for (const task of components.intake.open) task.moveOffVersion(pool, version) })
  components.table.onReplaced((id, { announced }) => {
    if (!announced) components.crashes.restarted(components.table.get(id)!)
    components.client.cut(id)
  })
  components.config.onChange((catalog) => {
    components.limits.apply(catalog.accounts?.byId.values() ?? [])
    components.server.limit(catalog.limits)
    components.poolHistory.routesChanged(catalog.routes)
  })
  return components
}
