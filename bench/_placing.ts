/** Simulation of request placement by many daemons that learn of each other's load with a delay: real dispatchers and simulated batch engines under a fake clock. */
import FakeTimers from '@sinonjs/fake-timers'
import xxhash from 'xxhash-wasm'
import { as, type AccountId, type ClassName, type DaemonId, type EndpointId, type FailureDomain, type HostId, type PoolName, type Region } from '../core/ids/index.ts'
import { LoadAggregator, reportIntervalMs, type Hash32, type Random, type Route } from '../core/routing/index.ts'
import { RegionTopology, type Topology } from '../core/topology/index.ts'
import { steadyNow } from '../core/time/index.ts'
import { maxHeldTokens, type Demand, type WorkClass } from '../core/work/index.ts'
import { EndpointTable } from '../daemon/endpoints/endpoint_table.ts'
import type { Dispatcher, DispatcherOptions } from '../daemon/request/dispatcher.ts'
import type { Placement } from '../daemon/request/placement.ts'
import { AttemptTracker } from '../daemon/request/attempt_tracker.ts'
import { RoomGate } from '../daemon/request/room_gate.ts'
import { createSharedDispatcher } from '../daemon/request/shared_dispatcher.ts'
import { seededRandom } from '../daemon/seeded_random.ts'
import type { ListedHost } from '../endpoints/index.ts'
import { countFirstToken, noResults, recordAsked, recordRefusal, type ClassResults, type SimulatedClass, type SimulatedRequest } from './_placing_results.ts'
import { BatchEngine, type BatchEngineOptions } from './_batch_engine.ts'
import { SimulatedMemory, type MemoryBound } from './_engine_memory.ts'

export type { ClassResults, SimulatedClass } from './_placing_results.ts'

/** Options of {@linkcode simulatePlacement}. */
export interface PlacementSimulationOptions {
  seed: number
  daemons: number
  engines: number
  engine: BatchEngineOptions
  classes: readonly SimulatedClass[]
  spanMs: number
  /** Warm-up period in milliseconds; requests that arrive during it are not counted. */
  warmupMs: number
  /** How the daemons bound what the engines hold. Default: not at all. */
  memory?: MemoryBound
  /** Called every {@linkcode SAMPLE_MS} after the warm-up. Default: does nothing. */
  sample? (engines: readonly BatchEngine[]): void
  /** Requests that arrive later are not counted. Default: one deadline before the end. */
  countUntilMs?: number
  /** Changes of the dispatchers, e.g. another queue. Default: none. */
  dispatcher?: Partial<Pick<DispatcherOptions, 'queue'>> & { gate?: boolean }
  /** Behaviour of the callers. Default: one account, whose callers wait for the answer past the deadline, and do not come back. */
  callers?: CallerOptions
  /** Interval in which every second endpoint is not listed and accepts nothing. Default: none. */
  lossMs?: readonly [from: number, to: number]
  /** Default: one region. */
  regions?: SimulatedRegions
}

/** Behaviour of simulated callers, who give up at the deadline. */
export interface CallerOptions {
  /** Relative traffic of each client account. */
  accounts: readonly number[]
  /** Factor of the arrival rate at a time in milliseconds. Default: 1. */
  timesAt? (ms: number): number
  /** Interval whose requests all arrive within {@linkcode RETURN_MS} of its end. Default: none. */
  outageMs?: readonly [from: number, to: number]
}

/** Two regions, with half of the daemons and endpoints in each. */
export interface SimulatedRegions {
  /** Shares of the arrivals at the daemons of each region. */
  shares: readonly [number, number]
  /** False for a router that knows the round trips and nothing else of regions. */
  ownFirst: boolean
}

/** Interval of samples of the engines, in milliseconds. */
export const SAMPLE_MS = 50

const POOL = as<PoolName>('models')
const DOMAINS = ['a', 'b', 'c'].map((name) => as<FailureDomain>(name))
const REGIONAL_DOMAINS = ['n1', 's1', 'n2', 's2'].map((name) => as<FailureDomain>(name))
const REGIONS = new Map(REGIONAL_DOMAINS.map((domain) => [domain, as<Region>(domain[0]!)]))
const ONE_WAY_DELAY_MS = 2
/** One-way delay between two regions in milliseconds. */
const REGION_DELAY_MS = 20
/** Engine speed that daemons assume before the first token has been observed. */
const SPEED = { batchSlots: 0, prefillTokensPerS: 100_000, betweenTokensMs: 4, betweenTokensPerStreamMs: 0.1, exportTokensPerS: 0, importTokensPerS: 0 }
const { h32 } = await xxhash()
const hash: Hash32 = (text) => h32(text)

/** Simulates callers, daemons and engines, and returns the request outcomes by class name. */
export function simulatePlacement (options: PlacementSimulationOptions): Map<string, ClassResults> {
  const clock = FakeTimers.install({ now: 0, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'] })
  try {
    const play = new PlacementSimulation(options)
    play.start()
    clock.tick(options.spanMs)
    play.memory?.finish()
    return play.figures
  } finally {
    clock.uninstall()
  }
}

interface SimulatedDaemon { id: DaemonId, domain: FailureDomain, table: EndpointTable, dispatcher: Dispatcher, gate: RoomGate | undefined }

class PlacementSimulation {
  readonly figures: Map<string, ClassResults>
  readonly #options: PlacementSimulationOptions
  readonly #random: Random
  readonly #engines = new Map<EndpointId, BatchEngine>()
  readonly #daemons: SimulatedDaemon[]
  readonly #domains: readonly FailureDomain[]
  readonly #domainOf = new Map<EndpointId, FailureDomain>()
  readonly #loadAggregator = new LoadAggregator()
  /** What bounds the memory of the engines. */
  readonly memory: SimulatedMemory | undefined
  readonly #hosts: readonly ListedHost[]
  #listed: ReadonlySet<EndpointId>
  #requests = 0

  constructor (options: PlacementSimulationOptions) {
    this.#options = options
    this.#random = seededRandom(options.seed)
    this.#domains = options.regions ? REGIONAL_DOMAINS : DOMAINS
    this.figures = new Map(options.classes.map(({ name }) => [name, noResults()]))
    this.#hosts = Array.from({ length: options.engines }, (_, i) => makeHost(i, { slots: options.engine.slots, failureDomain: this.#domains[i % this.#domains.length]! }))
    this.#listed = new Set(this.#hosts.map(({ endpoint }) => endpoint.id))
    for (const { endpoint, failureDomain } of this.#hosts) {
      this.#engines.set(endpoint.id, new BatchEngine(options.engine))
      this.#domainOf.set(endpoint.id, failureDomain)
    }
    this.memory = options.memory && new SimulatedMemory({ ...options.memory, daemons: options.daemons, oneWayDelayMs: ONE_WAY_DELAY_MS, random: this.#random })
    this.#daemons = Array.from({ length: options.daemons }, (_, i) => this.#daemon(i, this.#hosts))
  }

  start (): void {
    const reportMs = reportIntervalMs(this.#daemons.length)
    for (const daemon of this.#daemons) {
      setTimeout(() => setInterval(() => this.#report(daemon), reportMs), this.#random() * reportMs)
    }
    for (const cls of this.#options.classes) this.#options.callers ? this.#scheduleArrivals(cls, 0) : this.#scheduleArrival(cls)
    const { sample, warmupMs, lossMs } = this.#options
    if (sample) setTimeout(() => setInterval(() => sample([...this.#engines.values()]), SAMPLE_MS), warmupMs)
    if (!lossMs) return
    const [from, to] = lossMs
    setTimeout(() => this.#list(this.#hosts.filter((_, i) => i % 2 === 0)), from)
    setTimeout(() => this.#list(this.#hosts), to)
  }

  #list (hosts: readonly ListedHost[]): void {
    this.#listed = new Set(hosts.map(({ endpoint }) => endpoint.id))
    for (const { table, dispatcher } of this.#daemons) {
      table.applyHostList(hosts)
      dispatcher.startQueued()
    }
  }

  #daemon (i: number, hosts: readonly ListedHost[]): SimulatedDaemon {
    const id = as<DaemonId>(`d${i}`)
    const domain = this.#domains[i % this.#domains.length]!
    const topology = this.#topologyOf(domain)
    const table = new EndpointTable({ self: id, hash, topology, countsMemory: this.memory !== undefined })
    table.applyHostList(hosts)
    const memory = this.memory?.daemon(id, table)
    const { queue, gate: hasGate = false } = this.#options.dispatcher ?? {}
    const gate = hasGate ? new RoomGate({ table, topology, random: seededRandom(this.#options.seed * 1000 + i) }) : undefined
    const dispatcher = createSharedDispatcher({
      table,
      hash,
      random: seededRandom(this.#options.seed + i + 1),
      topology,
      sharers: () => this.#options.daemons,
      memory,
      ...(queue && { queue }),
      ...(gate && { gate })
    })
    if (memory) memory.onRoom = () => dispatcher.startQueued()
    return { id, domain, table, dispatcher, gate }
  }

  #topologyOf (ownDomain: FailureDomain): Pick<Topology, 'hasRegions' | 'isLocal' | 'regionOf' | 'roundTripMs'> {
    const { regions } = this.#options
    if (!regions) return new RegionTopology({ ownDomain })
    const topology = new RegionTopology({ ownDomain, regions: REGIONS })
    return regions.ownFirst ? topology : { hasRegions: false, isLocal: () => true, regionOf: () => undefined, roundTripMs: (domain) => topology.roundTripMs(domain) }
  }

  #crosses ({ domain }: SimulatedDaemon, endpoint: EndpointId): boolean {
    return REGIONS.get(domain) !== REGIONS.get(this.#domainOf.get(endpoint)!)
  }

  /** Draws the daemon at which a request arrives. */
  #drawDaemon (): SimulatedDaemon {
    const { regions } = this.#options
    if (!regions) return this.#daemons[Math.floor(this.#random() * this.#daemons.length)]!
    const isNorth = this.#random() * (regions.shares[0] + regions.shares[1]) < regions.shares[0]
    const daemons = this.#daemons.filter(({ domain }) => domain.startsWith('n') === isNorth)
    return daemons[Math.floor(this.#random() * daemons.length)]!
  }

  /** Reports are merged in the first region. */
  #report ({ id, domain, table, gate }: SimulatedDaemon): void {
    if (this.memory) return this.memory.report(id, table)
    const delayMs = ONE_WAY_DELAY_MS + (domain.startsWith('s') ? REGION_DELAY_MS : 0)
    const work = [...table.ownWork, ...gate?.reports ?? []].map(([endpoint, load]) => [endpoint, structuredClone(load)] as const)
    setTimeout(() => {
      this.#loadAggregator.report(id, work, steadyNow())
      const others = this.#loadAggregator.loadsOfOthers(id, steadyNow())
      setTimeout(() => {
        table.applyOthersWork(others)
        gate?.applyOthersWork(others)
      }, delayMs)
    }, delayMs)
  }

  #scheduleArrival (cls: SimulatedClass): void {
    setTimeout(() => {
      this.#handleArrival(cls)
      this.#scheduleArrival(cls)
    }, this.#gapMs(cls))
  }

  /** Schedules arrivals of which several may share a millisecond, the resolution of the fake clock. */
  #scheduleArrivals (cls: SimulatedClass, atMs: number): void {
    setTimeout(() => {
      let nextMs = atMs
      for (; nextMs <= steadyNow(); nextMs += this.#gapMs(cls)) this.#handleArrival(cls)
      this.#scheduleArrivals(cls, nextMs)
    }, Math.ceil(atMs - steadyNow()))
  }

  #gapMs (cls: SimulatedClass): number {
    const times = this.#options.callers?.timesAt?.(steadyNow()) ?? 1
    return -Math.log(1 - this.#random()) * 1000 / (cls.perS * times)
  }

  #handleArrival (cls: SimulatedClass): void {
    const counted = steadyNow() >= this.#options.warmupMs && steadyNow() < (this.#options.countUntilMs ?? this.#options.spanMs - cls.deadlineMs)
    const [from, to] = this.#options.callers?.outageMs ?? [0, 0]
    const delayMs = steadyNow() >= from && steadyNow() < to ? to - steadyNow() + this.#random() * RETURN_MS : 0
    if (delayMs > 0) setTimeout(() => this.#ask(cls, counted), delayMs)
    else this.#ask(cls, counted)
  }

  #ask (cls: SimulatedClass, counted: boolean): void {
    const daemon = this.#drawDaemon()
    const demand = this.#demand(cls)
    const req: SimulatedRequest = { cls, figures: counted ? this.figures.get(cls.name)! : undefined, account: this.#drawAccount(), atMs: steadyNow(), demand, attempts: 0, avoid: [] }
    recordAsked(req)
    this.#place(daemon, req)
  }

  #drawAccount (): AccountId {
    const shares = this.#options.callers?.accounts
    if (!shares) return as('account')
    let left = this.#random() * shares.reduce((sum, share) => sum + share, 0)
    return as(`account-${shares.findIndex((share) => (left -= share) < 0)}`)
  }

  #demand (cls: SimulatedClass): Demand {
    const subject = Math.floor(this.#random() * cls.subjects)
    // Prompt lengths are log-normal with a long tail; dividing by exp(0.5) keeps the mean at uniqueTokens.
    const own = Math.round(cls.uniqueTokens * Math.exp(standardNormal(this.#random)) / Math.exp(0.5))
    const parts = [{ key: `${cls.name}/${subject}`, tokens: cls.sharedTokens }, { key: `own/${this.#requests++}`, tokens: own }]
    const tokens = cls.pieces * PIECE_TOKENS
    return { promptTokens: cls.sharedTokens + own, maxTokens: tokens * 3, expectedTokens: tokens, parts }
  }

  #place (daemon: SimulatedDaemon, req: SimulatedRequest): void {
    const { cls, atMs, demand, avoid } = req
    const placement: Placement = {
      account: req.account,
      cls: workClassOf(cls),
      pool: POOL,
      demand,
      doneTokens: 0,
      acceptedAtMs: req.againAtMs ?? atMs,
      deadlineAtMs: atMs + cls.deadlineMs,
      resumed: false,
      avoid,
      placed: ({ id }, route) => this.#send(daemon, req, { endpoint: id, route }),
      refused: (_reason, retryAfterMs) => this.#handleRefusal(daemon, req, retryAfterMs),
      waits: () => {}
    }
    daemon.dispatcher.place(placement)
  }

  #send (daemon: SimulatedDaemon, req: SimulatedRequest, { endpoint, route }: { endpoint: EndpointId, route: Route }): void {
    const placedAtMs = steadyNow()
    const charge = new AttemptTracker(daemon.table)
    const heldTokens = maxHeldTokens(req.demand)
    charge.recordSent(endpoint, { lane: route.lane, tokens: route.uncachedTokens, heldTokens }, route)
    const crosses = this.#crosses(daemon, endpoint)
    if (req.figures) req.figures.sent++
    if (req.figures && crosses) req.figures.crossed++
    const delayMs = ONE_WAY_DELAY_MS + (crosses ? REGION_DELAY_MS : 0)
    const afterDelay = (act: () => void) => setTimeout(act, delayMs)
    setTimeout(() => {
      this.#countRedundantPrefill(req, endpoint)
      const taken = this.#listed.has(endpoint) && this.#engines.get(endpoint)!.trySubmit({
        isWanted: () => !this.#options.callers || steadyNow() < req.atMs + req.cls.deadlineMs,
        lane: route.lane,
        heldTokens,
        onLost: () => afterDelay(() => this.#handleRejection(daemon, req, { endpoint, charge })),
        parts: req.demand.parts,
        promptTokens: req.demand.promptTokens,
        pieces: Math.max(1, Math.round(req.cls.pieces * Math.exp(standardNormal(this.#random) * PIECES_SIGMA))),
        onFirstPiece: () => afterDelay(() => {
          charge.read()
          countFirstToken(req)
          req.figures?.predictionErrors.push(Math.abs(route.firstTokenMs / (steadyNow() - placedAtMs) - 1))
        }),
        onEnd: () => afterDelay(() => {
          charge.end()
          daemon.dispatcher.startQueued()
        })
      })
      if (!taken) afterDelay(() => this.#handleRejection(daemon, req, { endpoint, charge }))
    }, delayMs)
  }

  /** Counts a refusal, and comes back once if the time given for it is within the deadline. */
  #handleRefusal (daemon: SimulatedDaemon, req: SimulatedRequest, retryAfterMs: number): void {
    const { cls, atMs, figures } = req
    recordRefusal(req, { withRoom: this.#hasRoom() })
    const comesBack = this.#options.callers && req.againAtMs === undefined && steadyNow() + retryAfterMs < atMs + cls.deadlineMs
    if (!comesBack) {
      if (figures) figures.refusedByDaemon++
      return
    }
    const againAtMs = steadyNow() + retryAfterMs
    setTimeout(() => this.#place(daemon, { ...req, againAtMs }), retryAfterMs)
  }

  /** True if an engine of the pool has half of its slots free and nothing to prefill. */
  #hasRoom (): boolean {
    const { slots } = this.#options.engine
    return [...this.#engines].some(([id, engine]) => this.#listed.has(id) && engine.open < slots / 2 && engine.unreadTokens === 0)
  }

  #countRedundantPrefill ({ demand, figures }: SimulatedRequest, endpoint: EndpointId): void {
    if (!figures) return
    for (const { key, tokens } of demand.parts.slice(0, -1)) {
      const cachedElsewhere = !this.#engines.get(endpoint)!.hasCached(key) && [...this.#engines.values()].some((engine) => engine.hasCached(key))
      if (cachedElsewhere) figures.redundantPrefillTokens += tokens
    }
  }

  #handleRejection (daemon: SimulatedDaemon, req: SimulatedRequest, { endpoint, charge }: { endpoint: EndpointId, charge: AttemptTracker }): void {
    charge.end()
    if (req.attempts + 1 < req.cls.maxAttempts) this.#place(daemon, { ...req, attempts: req.attempts + 1, avoid: [...req.avoid, endpoint] })
    else if (req.figures) req.figures.rejectedByEngine++
    daemon.dispatcher.startQueued()
  }
}

/** Time within which all callers come back after an outage, in milliseconds. */
const RETURN_MS = 200
const PIECE_TOKENS = 9
const PIECES_SIGMA = 0.4

function workClassOf ({ name, urgent, maxAttempts, firstTokenMs, deadlineMs }: SimulatedClass): WorkClass {
  return {
    name: as<ClassName>(name),
    idempotent: maxAttempts > 1,
    streaming: true,
    resumable: maxAttempts > 1,
    cancelOnLeave: true,
    maxAttempts,
    priority: urgent ? 0 : 1,
    urgent,
    latency: { firstTokenMs, betweenTokensMs: undefined, deadlineMs },
    delivery: 0.99
  }
}

function makeHost (i: number, { slots, failureDomain }: { slots: number, failureDomain: FailureDomain }): ListedHost {
  return {
    hostId: as<HostId>(`h${i}`),
    hostClass: 'any',
    failureDomain,
    reclaimable: false,
    pricePerHour: 0,
    state: 'live',
    endpoint: { id: as<EndpointId>(`e${i}`), pool: POOL, address: '', firstMs: 60, learnsPace: true, speed: { ...SPEED, batchSlots: slots } }
  }
}

/** Draws a standard normal value (Box-Muller transform). */
function standardNormal (random: Random): number {
  return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
}
