/** Data model of the reclaim decision: affected streams, limited capacities, and the price of a plan. */
import type { EndpointId, RequestId } from '../ids/index.ts'

/** A running stream on an endpoint that is being reclaimed. */
export interface AffectedStream {
  id: RequestId
  source: EndpointId
  /** Prompt tokens plus generated tokens, which is the size of its KV cache. */
  kvTokens: number
  /** Tokens still to be generated, estimated from the request's token limit. */
  remainingTokens: number
  /** Milliseconds until the request's deadline. */
  deadlineInMs: number
  /** False for a plain-service call, which is never moved. */
  movable: boolean
  /** Price of losing the stream, in recomputed tokens, if it may not be recomputed: it finishes, is imported, or is lost. Default: it may be. */
  lossTokens?: number
  /** Prompt tokens in each target's prefix cache. */
  cachedTokens: ReadonlyMap<EndpointId, number>
}

/** An endpoint that is being reclaimed. */
export interface Source {
  id: EndpointId
  /** Milliseconds until the host is taken away. */
  noticeMs: number
  /** Total KV export bandwidth of the endpoint, in tokens per second. */
  exportTokensPerS: number
  /** Fraction of that bandwidth available to this daemon: its fraction of the endpoint's streams, or 1 when it plans for all of them. */
  share: number
  /** Random number in [0, 1), drawn once per plan. Decides whether a stream that exceeds the share is exported. */
  roundingDraw: number
  /** Milliseconds between tokens at the current load. */
  betweenTokensMs: number
}

/** An endpoint that keeps running and can take over streams. */
export interface Target {
  id: EndpointId
  freeSlots: number
  freeKvTokens: number
  importTokensPerS: number
  /** Fraction of that bandwidth available to this daemon, or 1 when it plans for all daemons. Unless it is 0, one import always fits. */
  importShare: number
  prefillTokensPerS: number
  betweenTokensMs: number
  batchSlots: number
  pricePerHour: number
}

/** Prices of unwanted outcomes, in money. They are derived, not configured by an operator. */
export interface ReclaimWeights {
  /** Price of one recomputed token. */
  recomputedToken: number
  /** Price of one request that misses its deadline. */
  missedDeadline: number
}

/** Input of a planner. */
export interface ReclaimProblem {
  streams: readonly AffectedStream[]
  sources: ReadonlyMap<EndpointId, Source>
  targets: ReadonlyMap<EndpointId, Target>
  weights: ReclaimWeights
}

/** What to do with one stream. */
export type Directive =
  | { stream: RequestId, action: 'finish' }
  | { stream: RequestId, action: 'import', target: EndpointId }
  | { stream: RequestId, action: 'prefill', target: EndpointId }
  | { stream: RequestId, action: 'hold' }

/** Plans for all affected streams at once. */
export interface ReclaimPlanner {
  plan (problem: ReclaimProblem): Directive[]
}

/** Part of the notice reserved for messages to arrive and orders to be confirmed, in milliseconds. */
export const NOTICE_MARGIN_MS = 300
/** Expected time until a held stream finds capacity elsewhere, in milliseconds. */
export const EXPECTED_HOLD_MS = 2000

const MS_PER_HOUR = 3_600_000

/** Returns the milliseconds of the notice that a plan may use. */
export function usableNoticeMs (source: Source): number {
  return Math.max(0, source.noticeMs - NOTICE_MARGIN_MS)
}

/** Returns whether the stream can stay on its source: it is not movable, or it ends within the usable notice. */
export function canFinish (stream: AffectedStream, source: Source): boolean {
  return !stream.movable || stream.remainingTokens * source.betweenTokensMs <= usableNoticeMs(source)
}

/** Returns this daemon's share of the source's export time, in milliseconds. */
export function exportBudgetMs (source: Source): number {
  return usableNoticeMs(source) * source.share
}

/** Returns how long the source takes to export the stream's KV cache, in milliseconds. */
export function exportMs (stream: AffectedStream, source: Source): number {
  return stream.kvTokens * 1000 / source.exportTokensPerS
}

/** Returns the number of tokens that a prefill on the target recomputes. */
export function prefillTokens (stream: AffectedStream, target: Target): number {
  return Math.max(0, stream.kvTokens - (stream.cachedTokens.get(target.id) ?? 0))
}

/** Returns the price of running the rest of the stream on the target. */
export function runPrice (stream: AffectedStream, target: Target): number {
  const ms = stream.remainingTokens * target.betweenTokensMs
  return target.pricePerHour * ms / MS_PER_HOUR / target.batchSlots
}

/** Returns the total price of a directive: recomputation, the rest of the run, and the penalty for a missed deadline. */
export function directivePrice (stream: AffectedStream, directive: Directive, problem: ReclaimProblem): number {
  if (directive.action === 'finish') return 0
  if (directive.action !== 'import' && stream.lossTokens !== undefined) return stream.lossTokens * problem.weights.recomputedToken
  if (directive.action === 'hold') return holdPrice(stream, problem)
  const target = problem.targets.get(directive.target)!
  const recomputedTokens = directive.action === 'prefill' ? prefillTokens(stream, target) : 0
  const delayMs = recomputedTokens * 1000 / target.prefillTokensPerS + stream.remainingTokens * target.betweenTokensMs
  return recomputedTokens * problem.weights.recomputedToken + runPrice(stream, target) + missedDeadlinePrice(stream, delayMs, problem)
}

/** Prices holding as a later prefill on the worst target, because capacity is expected to be scarce by then. */
function holdPrice (stream: AffectedStream, problem: ReclaimProblem): number {
  const worst = worstTarget(problem.targets)
  const delayMs = EXPECTED_HOLD_MS + stream.kvTokens * worst.prefillMsPerToken + stream.remainingTokens * worst.betweenTokensMs
  return stream.kvTokens * problem.weights.recomputedToken + stream.remainingTokens * worst.pricePerToken + missedDeadlinePrice(stream, delayMs, problem)
}

interface WorstTarget { pricePerToken: number, prefillMsPerToken: number, betweenTokensMs: number }

/** Cached for each set of targets, because a search needs the value for every alternative. */
const worstTargets = new WeakMap<ReclaimProblem['targets'], WorstTarget>()

function worstTarget (targets: ReclaimProblem['targets']): WorstTarget {
  let worst = worstTargets.get(targets)
  if (!worst) {
    const candidates = [...targets.values()]
    worst = {
      pricePerToken: Math.max(0, ...candidates.map((target) => target.pricePerHour * target.betweenTokensMs / MS_PER_HOUR / target.batchSlots)),
      prefillMsPerToken: Math.max(0, ...candidates.map((target) => 1000 / target.prefillTokensPerS)),
      betweenTokensMs: Math.max(0, ...candidates.map((target) => target.betweenTokensMs))
    }
    worstTargets.set(targets, worst)
  }
  return worst
}

function missedDeadlinePrice (stream: AffectedStream, delayMs: number, problem: ReclaimProblem): number {
  return delayMs > stream.deadlineInMs ? problem.weights.missedDeadline : 0
}

/** Totals of a plan. */
export interface PlanTotals { price: number, recomputedTokens: number, held: number, late: number, feasible: boolean }

/** Computes the totals of a plan and checks it against export, import, slot and memory limits, independently of the planner that made it. */
export function evaluate (plan: readonly Directive[], problem: ReclaimProblem): PlanTotals {
  const streams = new Map(problem.streams.map((stream) => [stream.id, stream]))
  const usageById = new Map<EndpointId, { slots: number, kvTokens: number, exportMs: number, importMs: number }>()
  const usageOf = (id: EndpointId) => usageById.get(id) ?? usageById.set(id, { slots: 0, kvTokens: 0, exportMs: 0, importMs: 0 }).get(id)!
  const totals: PlanTotals = { price: 0, recomputedTokens: 0, held: 0, late: 0, feasible: plan.length === problem.streams.length }
  // A target runs its imports one after another, in order of increasing notice.
  const noticeOf = (directive: Directive) => usableNoticeMs(problem.sources.get(streams.get(directive.stream)!.source)!)
  const ordered = [...plan].sort((a, b) => noticeOf(a) - noticeOf(b))
  for (const directive of ordered) {
    const stream = streams.get(directive.stream)!
    const source = problem.sources.get(stream.source)!
    const price = directivePrice(stream, directive, problem)
    totals.price += price
    if (price >= problem.weights.missedDeadline) totals.late++
    if (directive.action === 'finish') {
      totals.feasible &&= canFinish(stream, source)
      continue
    }
    totals.feasible &&= stream.movable
    if (directive.action === 'hold') {
      totals.held++
      totals.recomputedTokens += stream.lossTokens === undefined ? stream.kvTokens : 0
      continue
    }
    const target = problem.targets.get(directive.target)!
    const targetUsage = usageOf(target.id)
    targetUsage.slots++
    targetUsage.kvTokens += stream.kvTokens + stream.remainingTokens
    if (directive.action === 'prefill') {
      totals.recomputedTokens += prefillTokens(stream, target)
    } else {
      const sourceUsage = usageOf(source.id)
      sourceUsage.exportMs += exportMs(stream, source)
      targetUsage.importMs += stream.kvTokens * 1000 / target.importTokensPerS
      totals.feasible &&= sourceUsage.exportMs <= usableNoticeMs(source) && targetUsage.importMs <= usableNoticeMs(source)
    }
    totals.feasible &&= targetUsage.slots <= target.freeSlots && targetUsage.kvTokens <= target.freeKvTokens
  }
  return totals
}
