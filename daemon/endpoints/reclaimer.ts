/** Carries out the reclaim planner's decisions for the streams of this daemon. */
import type { EndpointId } from '../../core/ids/index.ts'
import {
  JointPlanner, NOTICE_MARGIN_MS, reclaimWeights, shareImports,
  type Directive, type ReclaimPlanner, type ReclaimProblem, type Source, type Target, type ThreatenedStream
} from '../../core/reclaim/index.ts'
import type { Config } from '../../core/config/index.ts'
import { runningNow, type EndpointView, type PrefixIndex } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { ModelEngine } from '../../endpoints/index.ts'
import type { EndpointTable } from './endpoint_table.ts'
import type { Metrics } from '../metrics.ts'
import type { RequestTask } from '../request/request_task.ts'

/** Options of {@linkcode Reclaimer}. */
export interface ReclaimerOptions {
  table: EndpointTable
  prefixes: PrefixIndex
  metrics: Metrics
  engine (view: EndpointView): ModelEngine
  /** Requests that are open on this daemon. */
  open (): Iterable<RequestTask<unknown>>
  wantsLeast (): Config['wantsLeast']
  random: () => number
  /** Daemons that use one endpoint, on average. */
  sharers (): number
  /** Default: {@linkcode JointPlanner}. */
  planner?: ReclaimPlanner
}

/** Room for KV cache that is assumed for each free batch slot, in tokens. */
const KV_TOKENS_PER_SLOT = 16_384
/** Notices of one wave come in several messages; they are planned together. */
const GATHER_MS = 20

/** Plans and moves the streams on endpoints that leave. */
export class Reclaimer {
  readonly #options: ReclaimerOptions
  readonly #planner: ReclaimPlanner
  readonly #sweeps = new Map<EndpointId, NodeJS.Timeout>()
  #planTimer: NodeJS.Timeout | undefined

  constructor (options: ReclaimerOptions) {
    this.#options = options
    this.#planner = options.planner ?? new JointPlanner()
    options.table.onLeaving((leaving) => leaving.forEach(({ view, goneAtMs }) => this.#threatened(view.id, goneAtMs)))
  }

  /** Plans again for everything on endpoints that leave; called when a notice shortens or a move fails. */
  replan (): void {
    this.#planTimer ??= setTimeout(() => {
      this.#planTimer = undefined
      this.#plan()
    }, GATHER_MS)
  }

  #threatened (endpoint: EndpointId, goneAtMs: number): void {
    clearTimeout(this.#sweeps.get(endpoint))
    const sweepInMs = Math.max(0, goneAtMs - steadyNow() - NOTICE_MARGIN_MS)
    this.#sweeps.set(endpoint, setTimeout(() => this.#sweep(endpoint), sweepInMs))
    this.replan()
  }

  /** A stream that was planned to finish and did not, or whose export is late, leaves now: after the notice nothing can be confirmed. */
  #sweep (endpoint: EndpointId): void {
    this.#sweeps.delete(endpoint)
    for (const task of this.#threatenedTasks()) {
      if (task.runningAt === endpoint) this.#move(task, { stream: task.id, action: 'hold' })
    }
  }

  #threatenedTasks (): RequestTask<unknown>[] {
    const { table } = this.#options
    return [...this.#options.open()].filter((task) => task.state.traits.movable && task.runningAt !== undefined && table.goneAtMs(task.runningAt) !== undefined)
  }

  #plan (): void {
    const tasks = this.#threatenedTasks().filter((task) => !task.exporting)
    if (tasks.length === 0) return
    const problem = this.#problem(tasks)
    const byId = new Map(tasks.map((task) => [task.id, task]))
    for (const directive of this.#planner.plan(problem)) {
      this.#options.metrics.moves.inc({ action: directive.action })
      this.#move(byId.get(directive.stream)!, directive)
    }
  }

  #move (task: RequestTask<unknown>, directive: Directive): void {
    task.decide('stream-moved', { endpoint: task.runningAt!, action: directive.action, target: 'target' in directive ? directive.target : undefined })
    if (directive.action === 'prefill') task.post({ type: 'move', endpoint: directive.target, mode: 'prefill' })
    if (directive.action === 'hold') task.post({ type: 'hold' })
    if (directive.action === 'import') this.#export(task, directive.target)
  }

  async #export (task: RequestTask<unknown>, targetId: EndpointId): Promise<void> {
    const { table, engine, metrics } = this.#options
    const source = table.get(task.runningAt!)
    const target = table.get(targetId)
    if (!source || !target) return
    task.exporting = true
    const { attempt } = task.state
    try {
      const handle = await engine(source).exportKv(`${task.id}.${attempt}`, target.address)
      task.exporting = false
      if (task.runningAt !== source.id || task.state.attempt !== attempt) return
      task.kvHandle = handle
      task.post({ type: 'move', endpoint: targetId, mode: 'import' })
    } catch (err) {
      task.exporting = false
      metrics.exportsFailed.inc()
      task.decide('export-failed', { endpoint: source.id, why: (err as Error).message })
      this.replan()
    }
  }

  #problem (tasks: readonly RequestTask<unknown>[]): ReclaimProblem {
    const now = steadyNow()
    const pools = new Set(tasks.map((task) => task.work.pool))
    const usable = [...pools].flatMap((pool) => this.#options.table.candidates(pool)).filter((view) => view.ejectedUntilMs <= now)
    const targets = shareImports(usable.map(targetOf), { sharers: this.#options.sharers(), random: this.#options.random })
    const sources = new Map<EndpointId, Source>()
    for (const task of tasks) sources.set(task.runningAt!, this.#sourceOf(task.runningAt!, now))
    const streams = tasks.map((task): ThreatenedStream => ({
      id: task.id,
      source: task.runningAt!,
      kvTokens: task.kvTokens,
      remainingTokens: Math.max(0, task.work.demand.maxTokens - task.answer.length),
      deadlineInMs: task.state.traits.deadlineAtMs - now,
      movable: true,
      cachedTokens: this.#options.prefixes.lookup(task.work.demand.parts, now)
    }))
    return { streams, sources, targets, weights: reclaimWeights(this.#options.wantsLeast(), targets.values()) }
  }

  /** Other daemons plan for the same endpoint and do not know of this plan: each uses the share of its own streams. */
  #sourceOf (id: EndpointId, now: number): Source {
    const view = this.#options.table.get(id)!
    const share = Math.min(1, view.own.running / Math.max(1, runningNow(view)))
    const { speed } = view
    return {
      id,
      noticeMs: this.#options.table.goneAtMs(id)! - now,
      exportTokensPerS: speed.exportTokensPerS,
      share,
      luck: this.#options.random(),
      betweenTokensMs: speed.betweenTokensMs + speed.betweenTokensPerStreamMs * runningNow(view)
    }
  }
}

function targetOf (view: EndpointView): Target {
  const { speed } = view
  const freeSlots = Math.max(0, speed.batchSlots - runningNow(view))
  return {
    id: view.id,
    freeSlots,
    freeKvTokens: freeSlots * KV_TOKENS_PER_SLOT,
    importTokensPerS: speed.importTokensPerS,
    importShare: 1,
    prefillTokensPerS: speed.prefillTokensPerS,
    betweenTokensMs: speed.betweenTokensMs + speed.betweenTokensPerStreamMs * (runningNow(view) + 1),
    batchSlots: speed.batchSlots,
    pricePerHour: view.pricePerHour
  }
}
