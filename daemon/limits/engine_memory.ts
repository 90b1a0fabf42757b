/** Keeps this daemon's requests within the memory of the engines that it sends them to. */
import { MemoryStock, openAllowance, USABLE_SHARE, type EndpointTokens, type MemoryState, type MemoryWant } from '../../core/engine_memory/index.ts'
import type { DaemonId, EndpointId, PoolName } from '../../core/ids/index.ts'
import { addHeldTokens, noWork, type EndpointView, type EndpointWork, type Random } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { EndpointTable } from '../endpoints/endpoint_table.ts'
import { log } from '../log/index.ts'
import type { Metrics } from '../metrics.ts'

/** Options of {@linkcode EngineMemory}. */
export interface EngineMemoryOptions {
  table: EndpointTable
  metrics: Pick<Metrics, 'engineMemoryHeld' | 'engineMemoryPasses' | 'engineMemoryRefusals'>
  random: Random
  /** Returns the memory of an engine of a pool in tokens; undefined if the pool's engines do not name it. */
  memoryOf (pool: PoolName): number | undefined
  /** Returns the number of daemons that share the endpoints, including this one. */
  sharers (): number
}

/** Memory that was asked for in vain since the last message, by pool. */
interface Want { tokens: number, endpoints: Set<EndpointId> }
/** Load of the other daemons by endpoint, and the daemon that summed it. */
interface Others { from: DaemonId | undefined, loads: ReadonlyMap<EndpointId, OthersLoad> }
interface OthersLoad { heldTokens: number, running: number }

/** Time for which the sums of an earlier keeper count beside those of a new one, in milliseconds: daemons report to the new one meanwhile. */
const HAND_OVER_MS = 1500
/** Time after which a keeper that sends no sums grants nothing either, in milliseconds. */
const KEEPER_SILENT_MS = 1000
/** Part of an endpoint's memory from which ends of requests are reported at once. */
const PROMPT_REPORT_SHARE = 0.75
/** Time within which a want is not sent again, in milliseconds. The dispatcher looks at waiting requests less often. */
const WANT_REPEAT_MS = 700
/** Least mean size of requests as another daemon may see it, as a part of that which this one sees: each leaves out its own requests. */
const LEAST_MEAN_SHARE = 0.8
const NO_LOAD: OthersLoad = { heldTokens: 0, running: 0 }

/** Decides whether a request fits into the memory of an endpoint, by what all daemons hold there. */
export class EngineMemory {
  readonly #options: EngineMemoryOptions
  readonly #stock: MemoryStock
  readonly #wants = new Map<PoolName, Want>()
  readonly #sentWants = new Map<PoolName, { tokens: number, atMs: number }>()
  readonly #full = new Set<EndpointId>()
  /** Endpoints of which the keeper must learn before the next load report. */
  readonly #changed = new Set<EndpointId>()
  /** Mean number of tokens of a request by pool, as last reported. */
  #meanTokens = new Map<PoolName, number>()
  #others: Others | undefined
  #earlier: Others['loads'] | undefined
  #earlierUntilMs = -Infinity
  #othersAtMs = -Infinity
  /** Called when the keeper should learn of wants or freed memory soon. */
  onDue: () => void = () => {}
  /** Called when memory is kept for waiting requests, which may not use it. */
  onKept: () => void = () => {}
  /** Called when waiting requests may be able to start. */
  onRoom: () => void = () => {}

  constructor (options: EngineMemoryOptions) {
    this.#options = options
    this.#stock = new MemoryStock(options)
    options.table.onStarted((view, { heldTokens = 0 }) => this.#started(view, heldTokens))
    options.table.onEnded((view, heldTokens) => this.#ended(view, heldTokens))
  }

  /** Returns the usable memory of an endpoint in tokens; undefined if it is not bounded. */
  capacityOf (view: Pick<EndpointView, 'pool'>): number | undefined {
    const tokens = this.#options.memoryOf(view.pool)
    return tokens === undefined ? undefined : tokens * USABLE_SHARE
  }

  /** Returns whether a request of a pool exceeds what any engine of it can hold. */
  isTooLarge (pool: PoolName, tokens: number): boolean {
    const memory = this.#options.memoryOf(pool)
    if (memory === undefined || tokens <= memory * USABLE_SHARE) return false
    this.#options.metrics.engineMemoryRefusals.inc({ pool })
    return true
  }

  /** Returns whether a request may be sent to an endpoint now. If not, memory for it is asked for. */
  hasRoom (view: EndpointView, tokens: number): boolean {
    const capacityTokens = tokens > 0 ? this.capacityOf(view) : undefined
    if (capacityTokens === undefined) return true
    const state = this.#stateOf(view, { tokens, capacityTokens })
    const hasRoom = this.#stock.mayTake(view.id, tokens, state)
    this.#logChange(view, { hasRoom, isFull: state.heldTokens + tokens > capacityTokens, state })
    if (!hasRoom) this.#want(view, tokens)
    return hasRoom
  }

  /** Returns whether daemons may send requests of a pool without a grant to an endpoint with some tokens free. */
  isOpen (pool: PoolName, freeTokens: number): boolean {
    const meanTokens = this.#meanTokens.get(pool)
    return meanTokens === undefined || openAllowance({ freeTokens, meanTokens: meanTokens * LEAST_MEAN_SHARE, daemons: this.#options.sharers() }) > 0
  }

  /** Adds this daemon's unused grants to its load, as all of them count as held. */
  withGrants (loads: readonly EndpointWork[]): EndpointWork[] {
    const byEndpoint = new Map(loads)
    for (const [endpoint, tokens] of this.#stock.allUnused) {
      const load = structuredClone(byEndpoint.get(endpoint) ?? noWork())
      addHeldTokens(load, tokens)
      byEndpoint.set(endpoint, load)
    }
    return [...byEndpoint]
  }

  /**
   * Applies the load of the other daemons.
   * @param from The daemon that summed it.
   * @param visibleAfterMs Time after which a request that a daemon sends is known to all others.
   */
  applyOthers (loads: readonly EndpointWork[], { from, visibleAfterMs }: { from: DaemonId | undefined, visibleAfterMs: number }): void {
    const now = steadyNow()
    this.#othersAtMs = now
    if (this.#others && from !== this.#others.from) {
      this.#earlier = this.#others.loads
      this.#earlierUntilMs = now + HAND_OVER_MS
    }
    if (now >= this.#earlierUntilMs) this.#earlier = undefined
    const byEndpoint = new Map(loads.map(([endpoint, { heldTokens = 0, running }]) => [endpoint, { heldTokens, running }]))
    this.#others = { from, loads: byEndpoint }
    this.#learnMeans(byEndpoint)
    this.#stock.snapshot(visibleAfterMs, now)
    this.#showHeld()
    this.#stock.keepOnly((endpoint) => this.#options.table.get(endpoint) !== undefined)
  }

  /** Adds grants that arrived, and lets waiting requests start. */
  granted (grants: readonly EndpointTokens[]): void {
    for (const [endpoint, tokens] of grants) {
      this.#stock.granted(endpoint, tokens, steadyNow())
      this.#changed.add(endpoint)
      const pool = this.#options.table.get(endpoint)?.pool
      if (pool !== undefined) this.#sentWants.delete(pool)
    }
    if (grants.length > 0) this.onRoom()
  }

  /** Returns grants that arrived too late to be used. */
  declined (grants: readonly EndpointTokens[]): void {
    for (const [endpoint] of grants) this.#changed.add(endpoint)
  }

  /** Gives up grants that no request has used; returns whether there were any. */
  giveUp (): boolean {
    const given = this.#stock.giveUp(steadyNow())
    for (const endpoint of given) this.#changed.add(endpoint)
    return given.length > 0
  }

  /** Whether grants are left that no request has used. */
  get hasUnused (): boolean { return this.#stock.allUnused.length > 0 }

  /** What this daemon holds at each endpoint where that has changed since the last call. */
  takeChanged (): EndpointTokens[] {
    const changed = [...this.#changed].map((endpoint) => [endpoint, (this.#options.table.get(endpoint)?.own.heldTokens ?? 0) + this.#stock.unused(endpoint)] as const)
    this.#changed.clear()
    return changed
  }

  /** What requests asked for since the last call. */
  takeWants (): MemoryWant[] {
    const now = steadyNow()
    const wants = [...this.#wants].map(([pool, { tokens, endpoints }]) => {
      this.#sentWants.set(pool, { tokens, atMs: now })
      return { pool, tokens, endpoints: [...endpoints] }
    })
    this.#wants.clear()
    return wants
  }

  #stateOf (view: EndpointView, { tokens, capacityTokens }: { tokens: number, capacityTokens: number }): MemoryState {
    return {
      capacityTokens,
      heldTokens: this.#heldAt(view),
      meanTokens: this.#meanTokens.get(view.pool) ?? tokens,
      daemons: this.#options.sharers(),
      now: steadyNow()
    }
  }

  #learnMeans (loads: Others['loads']): void {
    const sums = new Map<PoolName, OthersLoad>()
    for (const [endpoint, { heldTokens, running }] of loads) {
      const pool = this.#options.table.get(endpoint)?.pool
      if (pool === undefined || heldTokens === 0) continue
      const sum = sums.get(pool) ?? NO_LOAD
      sums.set(pool, { heldTokens: sum.heldTokens + heldTokens, running: sum.running + running })
    }
    for (const [pool, { heldTokens, running }] of sums) if (running > 0) this.#meanTokens.set(pool, heldTokens / running)
  }

  #showHeld (): void {
    const { engineMemoryHeld } = this.#options.metrics
    const sums = new Map<PoolName, number>()
    for (const { pool, own } of this.#options.table.all) sums.set(pool, (sums.get(pool) ?? 0) + (own.heldTokens ?? 0))
    for (const [pool, tokens] of sums) engineMemoryHeld.set({ pool }, tokens)
  }

  #want ({ id, pool }: EndpointView, tokens: number): void {
    const sent = this.#sentWants.get(pool)
    if (sent?.tokens === tokens && steadyNow() - sent.atMs < WANT_REPEAT_MS) return
    let want = this.#wants.get(pool)
    if (want?.tokens !== tokens) {
      want = { tokens, endpoints: new Set() }
      this.#wants.set(pool, want)
    }
    want.endpoints.add(id)
    this.onDue()
  }

  #started (view: EndpointView, tokens: number): void {
    if (tokens === 0 || this.capacityOf(view) === undefined) return
    this.#stock.take(view.id, tokens, steadyNow())
    // The request was passed over for other endpoints, and needs none of them any more.
    if (this.#wants.get(view.pool)?.tokens === tokens) this.#wants.delete(view.pool)
  }

  #ended (view: EndpointView, tokens: number): void {
    const capacityTokens = tokens > 0 ? this.capacityOf(view) : undefined
    if (capacityTokens === undefined || this.#heldAt(view) + tokens < capacityTokens * PROMPT_REPORT_SHARE) return
    if (this.#keeperGrants) {
      this.#changed.add(view.id)
      return this.onDue()
    }
    // Nobody else can be granted what the request held, so that another request of this daemon may use it.
    this.#stock.granted(view.id, tokens, steadyNow())
    this.onKept()
  }

  /** False while the keeper is silent or new, and grants nothing. */
  get #keeperGrants (): boolean {
    const now = steadyNow()
    return now - this.#othersAtMs < KEEPER_SILENT_MS && now >= this.#earlierUntilMs
  }

  #heldAt (view: EndpointView): number {
    return Math.max(this.#others?.loads.get(view.id)?.heldTokens ?? 0, this.#earlier?.get(view.id)?.heldTokens ?? 0) + (view.own.heldTokens ?? 0)
  }

  #logChange ({ id, pool }: EndpointView, { hasRoom, isFull, state }: { hasRoom: boolean, isFull: boolean, state: MemoryState }): void {
    const { heldTokens, capacityTokens } = state
    if (!hasRoom) this.#options.metrics.engineMemoryPasses.inc({ pool })
    if (!hasRoom && isFull && !this.#full.has(id)) {
      this.#full.add(id)
      log('endpoint-memory-full', { endpoint: id, pool, heldTokens, capacityTokens: Math.floor(capacityTokens) })
    } else if (heldTokens <= capacityTokens / 2 && this.#full.delete(id)) log('endpoint-memory-free', { endpoint: id, pool, heldTokens, capacityTokens: Math.floor(capacityTokens) })
  }
}
