/** Executes the reclaim planner's decisions for this daemon's streams. */
import type { EndpointId } from '../../core/ids/index.ts'
import {
  JointPlanner, NOTICE_MARGIN_MS, reclaimWeights, shareImports,
  type Directive, type ReclaimPlanner, type ReclaimProblem, type Source, type AffectedStream
} from '../../core/reclaim/index.ts'
import type { Config } from '../../core/config/index.ts'
import { availableAtMs, type EndpointView, type PrefixIndex } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { ModelEngine } from '../../endpoints/index.ts'
import type { EndpointTable } from './endpoint_table.ts'
import type { Metrics } from '../metrics.ts'
import type { RequestTask } from '../request/request_task.ts'
import { sourceOf, targetOf } from './reclaim_problem.ts'
import { guarded } from '../tasks/index.ts'

/** Options of {@linkcode Reclaimer}. */
export interface ReclaimerOptions {
  table: EndpointTable
  prefixes: PrefixIndex
  metrics: Metrics
  engine (view: EndpointView): ModelEngine
  /** Requests in progress on this daemon. */
  open (): Iterable<RequestTask<unknown>>
  wantsLeast (): Config['wantsLeast']
  random: () => number
  /** Average number of daemons that use one endpoint. */
  sharers (): number
  /** Default: {@linkcode JointPlanner}. */
  planner?: ReclaimPlanner
}

/** Delay before planning, in milliseconds, so that the notices of one reclaim wave, which arrive in several messages, are planned together. */
const BATCH_DELAY_MS = 20

/** Plans and moves the streams on leaving endpoints. */
export class Reclaimer {
  readonly #options: ReclaimerOptions
  readonly #planner: ReclaimPlanner
  readonly #holdTimers = new Map<EndpointId, NodeJS.Timeout>()
  #planTimer: NodeJS.Timeout | undefined

  constructor (options: ReclaimerOptions) {
    this.#options = options
    this.#planner = options.planner ?? new JointPlanner()
    options.table.onLeaving((leaving) => leaving.forEach(({ view, goneAtMs }) => this.#onLeaving(view.id, goneAtMs)))
  }

  /** Plans again for all streams on leaving endpoints; called when an endpoint leaves, its time left changes, streams were taken over or an export fails. */
  replan (): void {
    this.#planTimer ??= setTimeout(guarded('reclaimer', () => {
      this.#planTimer = undefined
      this.#plan()
    }), BATCH_DELAY_MS)
  }

  #onLeaving (endpoint: EndpointId, goneAtMs: number): void {
    clearTimeout(this.#holdTimers.get(endpoint))
    const holdInMs = Math.max(0, goneAtMs - steadyNow() - NOTICE_MARGIN_MS)
    this.#holdTimers.set(endpoint, setTimeout(guarded('reclaimer', () => this.#holdRemaining(endpoint)), holdInMs))
    this.replan()
  }

  /** Holds the streams that are still on the endpoint shortly before it is gone, planned to finish or with a late export: afterwards nothing can be confirmed. */
  #holdRemaining (endpoint: EndpointId): void {
    this.#holdTimers.delete(endpoint)
    for (const task of this.#tasksToMove()) {
      if (task.runningAt === endpoint) this.#move(task, { stream: task.id, action: 'hold' })
    }
  }

  #tasksToMove (): RequestTask<unknown>[] {
    const { table } = this.#options
    return [...this.#options.open()].filter((task) => task.state.traits.movable && task.runningAt !== undefined && table.goneAtMs(task.runningAt) !== undefined)
  }

  #plan (): void {
    const tasks = this.#tasksToMove().filter((task) => !task.exporting)
    if (tasks.length === 0) return
    const problem = this.#problem(tasks)
    const byId = new Map(tasks.map((task) => [task.id, task]))
    for (const directive of this.#planner.plan(problem)) {
      this.#options.metrics.moves.inc({ action: directive.action })
      this.#move(byId.get(directive.stream)!, directive)
    }
  }

  #move (task: RequestTask<unknown>, directive: Directive): void {
    task.recordDecision('stream-moved', { endpoint: task.runningAt!, action: directive.action, target: 'target' in directive ? directive.target : undefined })
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
      task.recordDecision('export-failed', { endpoint: source.id, why: (err as Error).message })
      this.replan()
    }
  }

  #problem (tasks: readonly RequestTask<unknown>[]): ReclaimProblem {
    const now = steadyNow()
    const pools = new Set(tasks.map((task) => task.work.pool))
    const usable = [...pools].flatMap((pool) => this.#options.table.candidates(pool)).filter((view) => availableAtMs(view) <= now)
    const targets = shareImports(usable.map((view) => targetOf(view)), { sharers: this.#options.sharers(), random: this.#options.random })
    const sources = new Map<EndpointId, Source>()
    for (const task of tasks) sources.set(task.runningAt!, sourceOf(this.#options.table.get(task.runningAt!)!, { noticeMs: this.#options.table.goneAtMs(task.runningAt!)! - now, roundingDraw: this.#options.random() }))
    const streams = tasks.map((task): AffectedStream => ({
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
}
