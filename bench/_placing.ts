/** Simulation of request placement by many daemons that learn of each other's load with a delay: real dispatchers and simulated batch engines under a fake clock. */
import FakeTimers from '@sinonjs/fake-timers'
import xxhash from 'xxhash-wasm'
import { as, type ClassName, type DaemonId, type EndpointId, type FailureDomain, type HostId, type PoolName, type Region } from '../core/ids/index.ts'
import { LoadAggregator, reportIntervalMs, type Hash32, type Random, type Route } from '../core/routing/index.ts'
import { RegionTopology, type Topology } from '../core/topology/index.ts'
import { steadyNow } from '../core/time/index.ts'
import { maxHeldTokens, type Demand, type WorkClass } from '../core/work/index.ts'
import { EndpointTable } from '../daemon/endpoints/endpoint_table.ts'
import type { Dispatcher } from '../daemon/request/dispatcher.ts'
import type { Placement } from '../daemon/request/placement.ts'
import { AttemptTracker } from '../daemon/request/attempt_tracker.ts'
import { createSharedDispatcher } from '../daemon/request/shared_dispatcher.ts'
import { seededRandom } from '../daemon/seeded_random.ts'
import type { ListedHost } from '../endpoints/index.ts'
import { BatchEngine, type BatchEngineOptions } from './_batch_engine.ts'
import { SimulatedMemory, type MemoryBound } from './_engine_memory.ts'

/** Traffic of one work class. */
export interface SimulatedClass {
  name: string
  perS: number
  urgent: boolean
  /** Mean number of prompt tokens unique to a request; drawn from a log-normal distribution, so some requests have several times as many. */
  uniqueTokens: number
  /** Number of prompt tokens shared by all requests about one subject, and the number of subjects. */
  sharedTokens: number
  subjects: number
  pieces: number
  firstTokenMs: number
  deadlineMs: number
  maxAttempts: number
}

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
  /** Default: one region. */
  regions?: SimulatedRegions
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

/** Request outcomes of one class. */
export interface ClassResults {
  asked: number
  inTime: number
  late: number
  /** Refused by the daemon because no capacity became available in time. */
  refusedByDaemon: number
  /** Rejected by full engines after the last attempt. */
  rejectedByEngine: number
  /** Attempts, and those sent to another region. */
  sent: number
  crossed: number
  /** Shared prompt tokens prefilled on one engine while another engine had them cached. */
  redundantPrefillTokens: number
  /** Relative errors of the predicted time from placement to first token. */
  predictionErrors: number[]
}

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

interface SimulatedDaemon { id: DaemonId, domain: FailureDomain, table: EndpointTable, dispatcher: Dispatcher }

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
  #requests = 0

  constructor (options: PlacementSimulationOptions) {
    this.#options = options
    this.#random = seededRandom(options.seed)
    this.#domains = options.regions ? REGIONAL_DOMAINS : DOMAINS
    this.figures = new Map(options.classes.map(({ name }) => [name, { asked: 0, inTime: 0, late: 0, refusedByDaemon: 0, rejectedByEngine: 0, sent: 0, crossed: 0, redundantPrefillTokens: 0, predictionErrors: [] }]))
    const hosts = Array.from({ length: options.engines }, (_, i) => makeHost(i, { slots: options.engine.slots, failureDomain: this.#domains[i % this.#domains.length]! }))
    for (const { endpoint, failureDomain } of hosts) {
      this.#engines.set(endpoint.id, new BatchEngine(options.engine))
      this.#domainOf.set(endpoint.id, failureDomain)
    }
    this.memory = options.memory && new SimulatedMemory({ ...options.memory, daemons: options.daemons, oneWayDelayMs: ONE_WAY_DELAY_MS, random: this.#random })
    this.#daemons = Array.from({ length: options.daemons }, (_, i) => this.#daemon(i, hosts))
  }

  start (): void {
    const reportMs = reportIntervalMs(this.#daemons.length)
    for (const daemon of this.#daemons) {
      setTimeout(() => setInterval(() => this.#report(daemon), reportMs), this.#random() * reportMs)
    }
    for (const cls of this.#options.classes) this.#scheduleArrival(cls)
    const { sample, warmupMs } = this.#options
    if (sample) setTimeout(() => setInterval(() => sample([...this.#engines.values()]), SAMPLE_MS), warmupMs)
  }

  #daemon (i: number, hosts: readonly ListedHost[]): SimulatedDaemon {
    const id = as<DaemonId>(`d${i}`)
    const domain = this.#domains[i % this.#domains.length]!
    const topology = this.#topologyOf(domain)
    const table = new EndpointTable({ self: id, hash, topology, countsMemory: this.memory !== undefined })
    table.applyHostList(hosts)
    const memory = this.memory?.daemon(id, table)
    const dispatcher = createSharedDispatcher({
      table,
      hash,
      random: seededRandom(this.#options.seed + i + 1),
      topology,
      sharers: () => this.#options.daemons,
      memory
    })
    if (memory) memory.onRoom = () => dispatcher.startQueued()
    return { id, domain, table, dispatcher }
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
  #report ({ id, domain, table }: SimulatedDaemon): void {
    if (this.memory) return this.memory.report(id, table)
    const delayMs = ONE_WAY_DELAY_MS + (domain.startsWith('s') ? REGION_DELAY_MS : 0)
    const work = table.ownWork.map(([endpoint, load]) => [endpoint, structuredClone(load)] as const)
    setTimeout(() => {
      this.#loadAggregator.report(id, work, steadyNow())
      const others = this.#loadAggregator.loadsOfOthers(id, steadyNow())
      setTimeout(() => table.applyOthersWork(others), delayMs)
    }, delayMs)
  }

  #scheduleArrival (cls: SimulatedClass): void {
    setTimeout(() => {
      this.#handleArrival(cls)
      this.#scheduleArrival(cls)
    }, -Math.log(1 - this.#random()) * 1000 / cls.perS)
  }

  #handleArrival (cls: SimulatedClass): void {
    const counted = steadyNow() >= this.#options.warmupMs && steadyNow() < this.#options.spanMs - cls.deadlineMs
    const figures = counted ? this.figures.get(cls.name)! : undefined
    if (figures) figures.asked++
    const daemon = this.#drawDaemon()
    this.#place(daemon, { cls, figures, atMs: steadyNow(), demand: this.#demand(cls), attempts: 0, avoid: [] })
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
      account: as('account'),
      cls: workClassOf(cls),
      pool: POOL,
      demand,
      doneTokens: 0,
      acceptedAtMs: atMs,
      deadlineAtMs: atMs + cls.deadlineMs,
      resumed: false,
      avoid,
      placed: ({ id }, route) => this.#send(daemon, req, { endpoint: id, route }),
      refused: () => { if (req.figures) req.figures.refusedByDaemon++ },
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
      const taken = this.#engines.get(endpoint)!.trySubmit({
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

interface SimulatedRequest { cls: SimulatedClass, figures: ClassResults | undefined, atMs: number, demand: Demand, attempts: number, avoid: readonly EndpointId[] }

const PIECE_TOKENS = 9
const PIECES_SIGMA = 0.4

function countFirstToken ({ cls, figures, atMs }: SimulatedRequest): void {
  if (!figures) return
  if (steadyNow() - atMs <= cls.firstTokenMs) figures.inTime++
  else figures.late++
}

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
