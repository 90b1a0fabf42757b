/** The reclaim decision as data: what runs where, what is scarce, and what a plan costs. */
import type { EndpointId, RequestId } from '../ids/index.ts'

/** A stream on an endpoint that is being reclaimed. */
export interface ThreatenedStream {
  id: RequestId
  source: EndpointId
  /** Prompt tokens plus tokens generated so far: the size of its KV cache. */
  kvTokens: number
  /** Tokens still to come, estimated from the request's limit. */
  remainingTokens: number
  /** Milliseconds until the request's deadline. */
  deadlineInMs: number
  /** False for a plain-service call: it is never moved. */
  movable: boolean
  /** Tokens of its prompt that a target's prefix cache holds. */
  cachedTokens: ReadonlyMap<EndpointId, number>
}

/** An endpoint that is going. */
export interface Source {
  id: EndpointId
  /** Milliseconds until the host is gone. */
  noticeMs: number
  /** The endpoint's whole KV export bandwidth, in tokens a second. */
  exportTokensPerS: number
  /** Part of that bandwidth this daemon plans with, by its part of the streams there; 1 when it plans for all. */
  share: number
  /** A random number in [0, 1), drawn once for each plan: rounds a share that no stream fits into. */
  luck: number
  betweenTokensMs: number
}

/** An endpoint that stays. */
export interface Target {
  id: EndpointId
  freeSlots: number
  freeKvTokens: number
  importTokensPerS: number
  /** Part of that bandwidth this daemon plans with; unless it is 0, one import always fits. 1 when it plans for all. */
  importShare: number
  prefillTokensPerS: number
  betweenTokensMs: number
  batchSlots: number
  pricePerHour: number
}

/** What the deployment pays for, in money. Derived, never set by an operator. */
export interface ReclaimWeights {
  /** Price of one recomputed token. */
  recomputedToken: number
  /** Price of one request that misses its deadline. */
  late: number
}

/** Everything a plan is made from. */
export interface ReclaimProblem {
  streams: readonly ThreatenedStream[]
  sources: ReadonlyMap<EndpointId, Source>
  targets: ReadonlyMap<EndpointId, Target>
  weights: ReclaimWeights
}

/** What becomes of one stream. */
export type Directive =
  | { stream: RequestId, action: 'finish' }
  | { stream: RequestId, action: 'import', target: EndpointId }
  | { stream: RequestId, action: 'prefill', target: EndpointId }
  | { stream: RequestId, action: 'hold' }

/** Makes a plan for all threatened streams at once. */
export interface ReclaimPlanner {
  plan (problem: ReclaimProblem): Directive[]
}

/** Part of the notice kept back for messages to arrive and orders to be confirmed, in milliseconds. */
export const NOTICE_MARGIN_MS = 300
/** Expected wait of a held stream for room elsewhere, in milliseconds. */
export const HOLD_MS = 2000

const MS_PER_HOUR = 3_600_000

/** Milliseconds of the notice that a plan may use. */
export function usableMs (source: Source): number {
  return Math.max(0, source.noticeMs - NOTICE_MARGIN_MS)
}

/** True when the stream ends on its source before the host is gone. */
export function canFinish (stream: ThreatenedStream, source: Source): boolean {
  return !stream.movable || stream.remainingTokens * source.betweenTokensMs <= usableMs(source)
}

/** Milliseconds of the source's export bandwidth that this daemon plans with. */
export function exportBudgetMs (source: Source): number {
  return usableMs(source) * source.share
}

/** Milliseconds of the source's export bandwidth that moving the stream's KV cache takes. */
export function exportMs (stream: ThreatenedStream, source: Source): number {
  return stream.kvTokens * 1000 / source.exportTokensPerS
}

/** Tokens that a prefill on the target computes again. */
export function prefillTokens (stream: ThreatenedStream, target: Target): number {
  return Math.max(0, stream.kvTokens - (stream.cachedTokens.get(target.id) ?? 0))
}

/** Money for the rest of the stream on the target. */
export function runPrice (stream: ThreatenedStream, target: Target): number {
  const ms = stream.remainingTokens * target.betweenTokensMs
  return target.pricePerHour * ms / MS_PER_HOUR / target.batchSlots
}

/** Money for one way of carrying a stream on, all of it. */
export function directivePrice (stream: ThreatenedStream, directive: Directive, problem: ReclaimProblem): number {
  if (directive.action === 'finish') return 0
  if (directive.action === 'hold') return holdPrice(stream, problem)
  const target = problem.targets.get(directive.target)!
  const redone = directive.action === 'prefill' ? prefillTokens(stream, target) : 0
  const delayMs = redone * 1000 / target.prefillTokensPerS + stream.remainingTokens * target.betweenTokensMs
  return redone * problem.weights.recomputedToken + runPrice(stream, target) + latePrice(stream, delayMs, problem)
}

/** Holding is a later prefill elsewhere, on the worst target: room is scarce by then. */
function holdPrice (stream: ThreatenedStream, problem: ReclaimProblem): number {
  const worst = worstTarget(problem.targets)
  const delayMs = HOLD_MS + stream.kvTokens * worst.prefillMsPerToken + stream.remainingTokens * worst.betweenTokensMs
  return stream.kvTokens * problem.weights.recomputedToken + stream.remainingTokens * worst.pricePerToken + latePrice(stream, delayMs, problem)
}

interface WorstTarget { pricePerToken: number, prefillMsPerToken: number, betweenTokensMs: number }

/** Asked for once for each alternative of a search, so it is worked out once for each set of targets. */
const worstTargets = new WeakMap<ReclaimProblem['targets'], WorstTarget>()

function worstTarget (targets: ReclaimProblem['targets']): WorstTarget {
  let worst = worstTargets.get(targets)
  if (!worst) {
    const all = [...targets.values()]
    worst = {
      pricePerToken: Math.max(0, ...all.map((target) => target.pricePerHour * target.betweenTokensMs / MS_PER_HOUR / target.batchSlots)),
      prefillMsPerToken: Math.max(0, ...all.map((target) => 1000 / target.prefillTokensPerS)),
      betweenTokensMs: Math.max(0, ...all.map((target) => target.betweenTokensMs))
    }
    worstTargets.set(targets, worst)
  }
  return worst
}

function latePrice (stream: ThreatenedStream, delayMs: number, problem: ReclaimProblem): number {
  return delayMs > stream.deadlineInMs ? problem.weights.late : 0
}

/** Totals of a plan. */
export interface PlanTotals { price: number, recomputedTokens: number, held: number, late: number, feasible: boolean }

/** Adds up a plan and checks it against export, import, slot and memory limits, apart from any planner. */
export function evaluate (plan: readonly Directive[], problem: ReclaimProblem): PlanTotals {
  const streams = new Map(problem.streams.map((stream) => [stream.id, stream]))
  const used = new Map<EndpointId, { slots: number, kv: number, exportMs: number, importMs: number }>()
  const use = (id: EndpointId) => used.get(id) ?? used.set(id, { slots: 0, kv: 0, exportMs: 0, importMs: 0 }).get(id)!
  const totals: PlanTotals = { price: 0, recomputedTokens: 0, held: 0, late: 0, feasible: plan.length === problem.streams.length }
  // Imports of one target run one after another, those of the shortest notice first.
  const notice = (directive: Directive) => usableMs(problem.sources.get(streams.get(directive.stream)!.source)!)
  const ordered = [...plan].sort((a, b) => notice(a) - notice(b))
  for (const directive of ordered) {
    const stream = streams.get(directive.stream)!
    const source = problem.sources.get(stream.source)!
    const price = directivePrice(stream, directive, problem)
    totals.price += price
    if (price >= problem.weights.late) totals.late++
    if (directive.action === 'finish') {
      totals.feasible &&= canFinish(stream, source)
      continue
    }
    totals.feasible &&= stream.movable
    if (directive.action === 'hold') {
      totals.held++
      totals.recomputedTokens += stream.kvTokens
      continue
    }
    const target = problem.targets.get(directive.target)!
    const room = use(target.id)
    room.slots++
    room.kv += stream.kvTokens + stream.remainingTokens
    if (directive.action === 'prefill') {
      totals.recomputedTokens += prefillTokens(stream, target)
    } else {
      const from = use(source.id)
      from.exportMs += exportMs(stream, source)
      room.importMs += stream.kvTokens * 1000 / target.importTokensPerS
      totals.feasible &&= from.exportMs <= usableMs(source) && room.importMs <= usableMs(source)
    }
    totals.feasible &&= room.slots <= target.freeSlots && room.kv <= target.freeKvTokens
  }
  return totals
}
