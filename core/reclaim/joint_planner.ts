/** The default planner: decides for all streams on reclaimed endpoints together. */
import type { EndpointId } from '../ids/index.ts'
import { improvePlan, type Placement } from './_local_search.ts'
import { knapsack } from './_knapsack.ts'
import { CapacityTracker } from './_capacity_tracker.ts'
import {
  canFinish, directivePrice, exportBudgetMs, exportMs, usableNoticeMs,
  type Directive, type ReclaimPlanner, type ReclaimProblem, type Source, type Target, type AffectedStream
} from './problem.ts'

/** Options of {@linkcode JointPlanner}. */
export interface JointPlannerOptions {
  /** Maximum number of prices the local search computes for one plan, which bounds its running time. Default 40,000. */
  maxEvaluations?: number
}

/** A stream whose KV cache is cheaper to move than to recompute, and the money that this saves. */
interface ExportCandidate { stream: AffectedStream, savings: number }

/** Targets with enough capacity that the greedy pass compares for one stream. */
const MAX_TARGETS_PER_STREAM = 12
const DEFAULT_MAX_EVALUATIONS = 40_000
/** Larger plans skip the local search; a single daemon never has this many streams. */
const MAX_STREAMS_TO_IMPROVE = 400

/**
 * Lets streams finish that can, exports the streams whose KV cache saves the most within each source's export bandwidth, resumes the rest by
 * prefill where their prefix is cached or running is cheapest, and holds streams that fit nowhere. A local search then improves the plan.
 *
 * A knapsack over the notice period selects the exports of each source. Targets are filled in descending order of savings, so that after the
 * loss of a failure domain scarce import bandwidth is not spent on small streams.
 */
export class JointPlanner implements ReclaimPlanner {
  readonly #maxEvaluations: number

  constructor (options: JointPlannerOptions = {}) {
    this.#maxEvaluations = options.maxEvaluations ?? DEFAULT_MAX_EVALUATIONS
  }

  plan (problem: ReclaimProblem): Directive[] {
    const capacity = new CapacityTracker(problem)
    const finishing = problem.streams.filter((stream) => canFinish(stream, problem.sources.get(stream.source)!))
    const unplaced = new Set(problem.streams)
    for (const stream of finishing) unplaced.delete(stream)
    const targets = [...problem.targets.values()].filter((target) => target.freeSlots > 0).sort((a, b) => a.pricePerHour - b.pricePerHour)
    const placements: Placement[] = []
    for (const stream of selectExports(unplaced, targets, problem)) {
      const placement = placeGreedily(stream, 'import', targets, capacity, problem)
      if (!placement) continue
      unplaced.delete(stream)
      placements.push(placement)
    }
    for (const stream of sortByDeadline(unplaced)) placements.push(placeWithoutExport(stream, targets, capacity, problem))
    if (placements.length <= MAX_STREAMS_TO_IMPROVE) improvePlan(placements, capacity, problem, this.#maxEvaluations)
    return [...finishing.map((stream): Directive => ({ stream: stream.id, action: 'finish' })), ...placements.map(({ directive }) => directive)]
  }
}

/** Selects the streams to export, in descending order of savings. */
function selectExports (streams: Iterable<AffectedStream>, targets: readonly Target[], problem: ReclaimProblem): AffectedStream[] {
  const candidatesBySource = new Map<EndpointId, ExportCandidate[]>()
  for (const stream of streams) {
    const candidates = candidatesBySource.get(stream.source) ?? []
    const savings = exportSavings(stream, targets, problem)
    if (savings > 0) candidates.push({ stream, savings })
    candidatesBySource.set(stream.source, candidates)
  }
  const chosen: ExportCandidate[] = []
  for (const [id, candidates] of candidatesBySource) chosen.push(...selectWithinShare(candidates, problem.sources.get(id)!))
  return chosen.sort((a, b) => b.savings - a.savings).map(({ stream }) => stream)
}

/**
 * Fills this daemon's share of a source's export bandwidth by a knapsack, then rounds randomly: one more stream is exported with a probability
 * equal to the unused part of the share divided by the time that stream needs.
 *
 * When many daemons have one stream each on a source, no stream fits into any share. Without the rounding none would export and the bandwidth
 * would stay unused; with it the daemons use all of it on average.
 */
function selectWithinShare (candidates: readonly ExportCandidate[], source: Source): ExportCandidate[] {
  const budgetMs = exportBudgetMs(source)
  const chosen = knapsack(candidates.map(({ stream, savings }) => ({ size: exportMs(stream, source), value: savings })), budgetMs).map((i) => candidates[i]!)
  if (source.share >= 1) return chosen
  const unusedMs = budgetMs - chosen.reduce((sum, { stream }) => sum + exportMs(stream, source), 0)
  const next = candidates.filter((candidate) => !chosen.includes(candidate)).sort((a, b) => b.savings - a.savings)[0]
  if (!next) return chosen
  const neededMs = exportMs(next.stream, source)
  return neededMs <= usableNoticeMs(source) && source.roundingDraw < unusedMs / neededMs ? [...chosen, next] : chosen
}

/** Money saved by moving the KV cache compared with the cheapest prefill. */
function exportSavings (stream: AffectedStream, targets: readonly Target[], problem: ReclaimProblem): number {
  const cheapest = targets[0]
  if (!cheapest) return 0
  const importPrice = directivePrice(stream, { stream: stream.id, action: 'import', target: cheapest.id }, problem)
  let prefillPrice = directivePrice(stream, { stream: stream.id, action: 'prefill', target: cheapest.id }, problem)
  for (const id of stream.cachedTokens.keys()) {
    if ((problem.targets.get(id)?.freeSlots ?? 0) > 0) prefillPrice = Math.min(prefillPrice, directivePrice(stream, { stream: stream.id, action: 'prefill', target: id }, problem))
  }
  return prefillPrice - importPrice
}

/**
 * Places a stream on the cheapest of the first {@linkcode MAX_TARGETS_PER_STREAM} targets with enough capacity. A prefill also considers all targets that
 * cache part of the prompt. Among equal prices the target with the fewest assigned streams is chosen.
 */
function placeGreedily (stream: AffectedStream, action: 'import' | 'prefill', targets: readonly Target[], capacity: CapacityTracker, problem: ReclaimProblem): Placement | undefined {
  const exportBudgetOf = action === 'import' ? usableNoticeMs : exportBudgetMs
  let best: Placement | undefined
  let bestAssignedStreams = 0
  const consider = (target: EndpointId): boolean => {
    const directive: Directive = { stream: stream.id, action, target }
    if (!capacity.fits(stream, directive, exportBudgetOf)) return false
    const price = directivePrice(stream, directive, problem)
    const assignedStreams = capacity.assignedStreams(target)
    if (best && (price > best.price || (price === best.price && assignedStreams >= bestAssignedStreams))) return true
    best = { stream, directive, price }
    bestAssignedStreams = assignedStreams
    return true
  }
  if (action === 'prefill') {
    for (const id of stream.cachedTokens.keys()) if (problem.targets.has(id)) consider(id)
  }
  let considered = 0
  for (const target of targets) {
    if (consider(target.id) && ++considered >= MAX_TARGETS_PER_STREAM) break
  }
  if (best) capacity.add(stream, best.directive)
  return best
}

function placeWithoutExport (stream: AffectedStream, targets: readonly Target[], capacity: CapacityTracker, problem: ReclaimProblem): Placement {
  const resumed = stream.lossTokens === undefined ? placeGreedily(stream, 'prefill', targets, capacity, problem) : undefined
  return resumed ?? holdPlacement(stream, problem)
}

function holdPlacement (stream: AffectedStream, problem: ReclaimProblem): Placement {
  const directive: Directive = { stream: stream.id, action: 'hold' }
  return { stream, directive, price: directivePrice(stream, directive, problem) }
}

function sortByDeadline (streams: Iterable<AffectedStream>): AffectedStream[] {
  return [...streams].sort((a, b) => a.deadlineInMs - b.deadlineInMs)
}
