/** The planner in use: decides for all threatened streams at once. */
import type { EndpointId } from '../ids/index.ts'
import { improve, type Placed } from './_improve.ts'
import { knapsack } from './_knapsack.ts'
import { Rooms } from './_rooms.ts'
import {
  canFinish, directivePrice, exportBudgetMs, exportMs, usableMs,
  type Directive, type ReclaimPlanner, type ReclaimProblem, type Source, type Target, type ThreatenedStream
} from './problem.ts'

/** Options of {@linkcode JointPlanner}. */
export interface JointPlannerOptions {
  /** Prices that the local search looks at for one plan; bounds its time. Default 40,000. */
  looks?: number
}

interface Move { stream: ThreatenedStream, saved: number }

/** Targets looked at for one stream in the first pass. */
const TARGETS_PER_STREAM = 12
const DEFAULT_LOOKS = 40_000
/** Above this many streams the first pass is left as it is: one daemon never has so many. */
const STREAMS_TO_IMPROVE = 400

/**
 * Finishes what can finish, then spends each source's export seconds on the streams whose KV cache is worth most, then resumes the
 * rest where their prefix is cached or the run is cheapest, and holds what fits nowhere; a local search then exchanges places.
 *
 * The exports of a source are chosen by a knapsack over the notice; targets are filled from the most valuable move down, so that a
 * domain's loss does not spend the scarce import room on small streams.
 */
export class JointPlanner implements ReclaimPlanner {
  readonly #looks: number

  constructor (options: JointPlannerOptions = {}) {
    this.#looks = options.looks ?? DEFAULT_LOOKS
  }

  plan (problem: ReclaimProblem): Directive[] {
    const rooms = new Rooms(problem)
    const finishing = problem.streams.filter((stream) => canFinish(stream, problem.sources.get(stream.source)!))
    const unplaced = new Set(problem.streams)
    for (const stream of finishing) unplaced.delete(stream)
    const open = [...problem.targets.values()].filter((target) => target.freeSlots > 0).sort((a, b) => a.pricePerHour - b.pricePerHour)
    const placed: Placed[] = []
    for (const stream of exportsWorthMost(unplaced, open, problem)) {
      const import_ = firstPlace(stream, 'import', open, rooms, problem)
      if (!import_) continue
      unplaced.delete(stream)
      placed.push(import_)
    }
    for (const stream of byDeadline(unplaced)) placed.push(firstPlace(stream, 'prefill', open, rooms, problem) ?? held(stream, problem))
    if (placed.length <= STREAMS_TO_IMPROVE) improve(placed, rooms, problem, this.#looks)
    return [...finishing.map((stream): Directive => ({ stream: stream.id, action: 'finish' })), ...placed.map(({ directive }) => directive)]
  }
}

/** The streams to export, most valuable first. */
function exportsWorthMost (streams: Iterable<ThreatenedStream>, open: readonly Target[], problem: ReclaimProblem): ThreatenedStream[] {
  const bySource = new Map<EndpointId, Move[]>()
  for (const stream of streams) {
    const moves = bySource.get(stream.source) ?? []
    const saved = savedByExport(stream, open, problem)
    if (saved > 0) moves.push({ stream, saved })
    bySource.set(stream.source, moves)
  }
  const chosen: Move[] = []
  for (const [id, moves] of bySource) chosen.push(...withinShare(moves, problem.sources.get(id)!))
  return chosen.sort((a, b) => b.saved - a.saved).map(({ stream }) => stream)
}

/**
 * A knapsack over this daemon's share of the source, then one stream more with the chance that the rest of the share is of its size.
 *
 * Many daemons with one stream each on a source have shares that no stream fits into; without the rounding they would all give up and
 * the bandwidth would go unused. With it, they use all of it on average.
 */
function withinShare (moves: readonly Move[], source: Source): Move[] {
  const budget = exportBudgetMs(source)
  const chosen = knapsack(moves.map(({ stream, saved }) => ({ size: exportMs(stream, source), value: saved })), budget).map((i) => moves[i]!)
  if (source.share >= 1) return chosen
  const rest = budget - chosen.reduce((sum, { stream }) => sum + exportMs(stream, source), 0)
  const next = moves.filter((move) => !chosen.includes(move)).sort((a, b) => b.saved - a.saved)[0]
  if (!next) return chosen
  const size = exportMs(next.stream, source)
  return size <= usableMs(source) && source.luck < rest / size ? [...chosen, next] : chosen
}

/** Money saved by moving the KV cache instead of the cheapest prefill. */
function savedByExport (stream: ThreatenedStream, open: readonly Target[], problem: ReclaimProblem): number {
  const cheapest = open[0]
  if (!cheapest) return 0
  const imported = directivePrice(stream, { stream: stream.id, action: 'import', target: cheapest.id }, problem)
  let prefill = directivePrice(stream, { stream: stream.id, action: 'prefill', target: cheapest.id }, problem)
  for (const id of stream.cachedTokens.keys()) {
    if ((problem.targets.get(id)?.freeSlots ?? 0) > 0) prefill = Math.min(prefill, directivePrice(stream, { stream: stream.id, action: 'prefill', target: id }, problem))
  }
  return prefill - imported
}

/** The cheapest of the first targets with room, those that hold some of the prompt included; among equals the least busy. */
function firstPlace (stream: ThreatenedStream, action: 'import' | 'prefill', open: readonly Target[], rooms: Rooms, problem: ReclaimProblem): Placed | undefined {
  const budget = action === 'import' ? usableMs : exportBudgetMs
  let best: Placed | undefined
  let bestBusy = 0
  const consider = (target: EndpointId): boolean => {
    const directive: Directive = { stream: stream.id, action, target }
    if (!rooms.fits(stream, directive, budget)) return false
    const price = directivePrice(stream, directive, problem)
    const busy = rooms.busy(target)
    if (best && (price > best.price || (price === best.price && busy >= bestBusy))) return true
    best = { stream, directive, price }
    bestBusy = busy
    return true
  }
  if (action === 'prefill') {
    for (const id of stream.cachedTokens.keys()) if (problem.targets.has(id)) consider(id)
  }
  let seen = 0
  for (const target of open) {
    if (consider(target.id) && ++seen >= TARGETS_PER_STREAM) break
  }
  if (best) rooms.add(stream, best.directive)
  return best
}

function held (stream: ThreatenedStream, problem: ReclaimProblem): Placed {
  const directive: Directive = { stream: stream.id, action: 'hold' }
  return { stream, directive, price: directivePrice(stream, directive, problem) }
}

function byDeadline (streams: Iterable<ThreatenedStream>): ThreatenedStream[] {
  return [...streams].sort((a, b) => a.deadlineInMs - b.deadlineInMs)
}
