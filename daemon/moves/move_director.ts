/** Plans which running streams leave endpoints that are leaving, and moves them. */
import type { EngineCapacity } from '../../core/catalog/index.ts'
import type { EndpointId, PoolName } from '../../core/ids/index.ts'
import { LinkEstimator } from '../../core/moves/index.ts'
import { JointPlanner, NOTICE_MARGIN_MS, type ReclaimPlanner } from '../../core/reclaim/index.ts'
import type { RetryLimiter } from '../../core/retry/index.ts'
import { availableAtMs, runningNow, type EndpointView, type Random } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { Topology } from '../../core/topology/index.ts'
import type { KvMover, RunsReport } from '../../endpoints/index.ts'
import type { EndpointTable } from '../endpoints/endpoint_table.ts'
import type { Metrics } from '../metrics.ts'
import type { RequestTask } from '../request/request_task.ts'
import type { PathObserver } from '../request/work.ts'
import { kvTokensOf, runProblem, type AffectedRun } from './_run_problem.ts'
import { StreamMover } from './stream_mover.ts'
import { guarded } from '../tasks/index.ts'

/** Options of {@linkcode MoveDirector}. */
export interface MoveDirectorOptions {
  table: EndpointTable
  topology: Topology
  metrics: Metrics
  port: KvMover
  random: Random
  paths: Pick<PathObserver, 'canSend'>
  budgetOf (pool: PoolName): Pick<RetryLimiter, 'tryWithdraw'>
  /** Requests in progress on this daemon. */
  open (): Iterable<RequestTask<Buffer>>
  /** Engines of a pool; undefined for a pool of plain services and while no configuration is known. */
  engineOf (pool: PoolName): EngineCapacity | undefined
  /** Time for which an endpoint may be sent requests once its leaving is known, in milliseconds. */
  leavingMs: number
  /** Number of daemons. */
  daemons (): number
  /** Default: {@linkcode JointPlanner}. */
  planner?: ReclaimPlanner
}

/** Delay before planning, in milliseconds, so that the endpoints of a failure domain, which leave in several messages, are planned together. */
const BATCH_DELAY_MS = 20
/** Interval of plans while streams are left on endpoints that leave, in milliseconds: one that was to end in time may take longer. */
const PLAN_INTERVAL_MS = 400
/** Age up to which a report is used for another plan, in milliseconds. */
const MAX_REPORT_AGE_MS = 1000
/** Number of moves that are begun for one stream at one endpoint. */
const MAX_MOVES_PER_RUN = 4
/** Longest wait for the reports of the leaving endpoints, in milliseconds. */
const REPORT_LIMIT_MS = 150
/** Targets that one move may try. */
const MAX_TARGETS = 3
/** Shortest time limit of an order, in milliseconds. */
const MIN_ORDER_LIMIT_MS = 300
/** Endpoints that move KV caches belong to pools of at most this many connected endpoints; see `SUBSET_SIZE`. */
const CONNECTED_ENDPOINTS = 24

/** Fraction of `leavingMs` in which streams go on at an endpoint that leaves. The rest covers the time until this daemon knew, and requests in transit. */
const RECEIVES_FRACTION = 0.75

/** An endpoint that leaves, as far as it concerns the plans. */
interface DepartingSource {
  /** Drawn once, so that later plans do not export more than the first would. */
  roundingDraw: number
  /** Time that the copies under way take on its link, in milliseconds. */
  copyingMs: number
  report: RunsReport
  reportedAtMs: number
}

/** Moves the streams that may run once and cannot be resumed off endpoints that leave, in pools whose engines move KV caches. */
export class MoveDirector {
  readonly #options: MoveDirectorOptions
  readonly #planner: ReclaimPlanner
  readonly #links = new Map<PoolName, LinkEstimator>()
  /** Moves that were begun for the current run of a request. */
  readonly #begun = new WeakMap<RequestTask<Buffer>, { source: EndpointId, count: number }>()
  readonly #departures = new Map<EndpointId, DepartingSource>()
  #planTimer: NodeJS.Timeout | undefined
  #isStopped = false

  constructor (options: MoveDirectorOptions) {
    this.#options = options
    this.#planner = options.planner ?? new JointPlanner()
  }

  /** Begins to follow the endpoints that leave. */
  start (): void {
    this.#options.table.onLeaving((leaving) => {
      if (leaving.some(({ view }) => this.#movingEngine(view.pool))) this.#planIn(BATCH_DELAY_MS)
    })
  }

  /** Begins no more moves. Those under way end. */
  stop (): void {
    this.#isStopped = true
    clearTimeout(this.#planTimer)
  }

  #planIn (ms: number): void {
    if (this.#isStopped) return
    clearTimeout(this.#planTimer)
    this.#planTimer = setTimeout(guarded('move-director', () => {
      this.#planTimer = undefined
      this.#plan()
    }), ms)
  }

  #movingEngine (pool: PoolName): EngineCapacity | undefined {
    const engine = this.#options.engineOf(pool)
    return engine?.movesKv && engine.kvBytesPerToken > 0 ? engine : undefined
  }

  /** Streams that would be lost with their endpoint: those that can be resumed go on by themselves. */
  #affected (): Array<Omit<AffectedRun, 'reported'>> {
    const { table, open } = this.#options
    const now = steadyNow()
    return [...open()].flatMap((task) => {
      const source = task.runningAt === undefined ? undefined : table.get(task.runningAt)
      const goneAtMs = source && table.goneAtMs(source.id)
      const { streaming, resumable, idempotent } = task.work.cls
      if (!source || goneAtMs === undefined || goneAtMs <= now || task.mover || !streaming || resumable || idempotent) return []
      return this.#movingEngine(source.pool) && this.#movesBegun(task, source.id) < MAX_MOVES_PER_RUN ? [{ task, source, goneAtMs }] : []
    })
  }

  #movesBegun (task: RequestTask<Buffer>, source: EndpointId): number {
    const begun = this.#begun.get(task)
    return begun?.source === source ? begun.count : 0
  }

  async #plan (): Promise<void> {
    await this.#askSources(new Set(this.#affected().map(({ source }) => source)))
    if (this.#isStopped) return
    const affected = this.#affected()
    const groups = new Map<string, AffectedRun[]>()
    for (const run of affected) {
      const { pool, version, failureDomain } = run.source
      const key = `${pool}\0${version ?? ''}\0${this.#options.topology.regionOf(failureDomain) ?? ''}`
      const { report } = this.#departureOf(run.source.id)
      const reported = report instanceof Map ? report.get(run.task.id) : undefined
      groups.set(key, [...groups.get(key) ?? [], { ...run, reported }])
    }
    for (const runs of groups.values()) this.#planGroup(runs)
    if (affected.length > 0) this.#planIn(PLAN_INTERVAL_MS)
    else this.#forgetGone()
  }

  #departureOf (id: EndpointId): DepartingSource {
    let departure = this.#departures.get(id)
    if (!departure) this.#departures.set(id, departure = { roundingDraw: this.#options.random(), copyingMs: 0, report: 'unknown', reportedAtMs: -Infinity })
    return departure
  }

  #forgetGone (): void {
    for (const id of this.#departures.keys()) if (this.#options.table.goneAtMs(id) === undefined) this.#departures.delete(id)
  }

  async #askSources (sources: ReadonlySet<EndpointView>): Promise<void> {
    await Promise.all([...sources].map(async (source) => {
      const departure = this.#departureOf(source.id)
      if (steadyNow() - departure.reportedAtMs < MAX_REPORT_AGE_MS) return
      departure.report = await this.#options.port.runs(source, REPORT_LIMIT_MS)
      departure.reportedAtMs = steadyNow()
    }))
  }

  /** Plans for the streams of one pool, version and region. */
  #planGroup (runs: readonly AffectedRun[]): void {
    const { daemons, random, table, metrics } = this.#options
    const [{ source }] = runs as [AffectedRun]
    const engine = this.#movingEngine(source.pool)
    const targets = this.#targets(source)
    if (!engine || targets.length === 0) return
    const link = this.#linkOf(source.pool)
    const sharers = Math.max(1, daemons() * Math.min(1, CONNECTED_ENDPOINTS / Math.max(1, table.usable(source.pool).length)))
    const problem = runProblem({ runs, targets, engine, link, sharers, random, departureOf: (id) => this.#departureOf(id), eventIntervalMs: (id) => table.typicalIntervalMs(id) })
    const byId = new Map(runs.map((run) => [run.task.id, run]))
    for (const directive of this.#planner.plan(problem)) {
      const run = byId.get(directive.stream)!
      metrics.moves.inc({ action: directive.action === 'import' ? 'import' : 'finish' })
      if (directive.action === 'import') this.#move(run, { first: directive.target, targets, engine, link })
    }
  }

  /** Endpoints of the source's version and region that have room and ask for no rest. */
  #targets (source: EndpointView): EndpointView[] {
    const { table, topology, paths } = this.#options
    const now = steadyNow()
    const region = topology.regionOf(source.failureDomain)
    return table.select(source.pool, { pool: source.pool, version: source.version }).connected.filter((view) =>
      topology.regionOf(view.failureDomain) === region && availableAtMs(view) <= now && runningNow(view) < view.speed.batchSlots && paths.canSend(view, { idempotent: false }))
  }

  #mayReceive (id: EndpointId): boolean {
    const view = this.#options.table.get(id)
    return view !== undefined && (view.leavingAtMs === undefined || steadyNow() < view.leavingAtMs + RECEIVES_FRACTION * this.#options.leavingMs)
  }

  #linkOf (pool: PoolName): LinkEstimator {
    let link = this.#links.get(pool)
    if (!link) this.#links.set(pool, link = new LinkEstimator())
    return link
  }

  #move (run: AffectedRun, { first, targets, engine, link }: { first: EndpointId, targets: readonly EndpointView[], engine: EngineCapacity, link: LinkEstimator }): void {
    const { table, metrics, port } = this.#options
    const { task, source, goneAtMs } = run
    const accepting = targets.filter((view) => task.accepts(view))
    const isFar = (view: EndpointView) => Number(view.failureDomain !== source.failureDomain)
    const others = accepting.filter(({ id }) => id !== first).sort((a, b) => isFar(a) - isFar(b) || runningNow(a) - runningNow(b))
    const ordered = [...accepting.filter(({ id }) => id === first), ...others].slice(0, MAX_TARGETS)
    if (ordered.length === 0) return
    const kvTokens = kvTokensOf(run)
    const bytes = kvTokens * engine.kvBytesPerToken
    const copyMs = bytes * 1000 / link.bytesPerS(ordered.some((view) => isFar(view) === 1))
    const departure = this.#departureOf(source.id)
    departure.copyingMs += copyMs
    this.#begun.set(task, { source: source.id, count: this.#movesBegun(task, source.id) + 1 })
    new StreamMover({
      task,
      source,
      targets: ordered,
      kvTokens,
      bytesPerToken: engine.kvBytesPerToken,
      limitMs: ({ hasCopy }) => {
        // Copies of all streams at the source may be queued before this one.
        const expectedMs = hasCopy ? 0 : 2 * copyMs * Math.max(1, runningNow(source))
        const noticeMs = (table.goneAtMs(source.id) ?? goneAtMs) - steadyNow()
        return Math.max(MIN_ORDER_LIMIT_MS, Math.min(noticeMs - NOTICE_MARGIN_MS, MIN_ORDER_LIMIT_MS + expectedMs))
      },
      port,
      table,
      budget: this.#options.budgetOf(source.pool),
      mayReceive: (id) => this.#mayReceive(id),
      metrics,
      onCopied: ({ target, tookMs }) => {
        if (link.learn({ bytes, tookMs, betweenDomains: target.failureDomain !== source.failureDomain })) this.#planIn(BATCH_DELAY_MS)
      },
      onEnded: (outcome) => {
        departure.copyingMs -= copyMs
        if (outcome === 'not-moved' && !this.#planTimer) this.#planIn(PLAN_INTERVAL_MS)
      }
    }).start()
  }
}
