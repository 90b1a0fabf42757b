/** Local search: makes a plan cheaper by moving one stream, or by moving one out of another's way. */
import type { EndpointId } from '../ids/index.ts'
import { directivePrice, exportBudgetMs, type Directive, type ReclaimProblem, type Source, type ThreatenedStream } from './problem.ts'
import type { Rooms } from './_rooms.ts'

/** One stream with its place in the plan. */
export interface Placed { stream: ThreatenedStream, directive: Directive, price: number }

const SMALLEST_GAIN = 1e-12
/** A daemon's subset is no larger. */
const TARGETS_SEARCHED = 24

/** Prices left to look at: bounds the time of a search whatever the problem's shape. */
interface Allowance { left: number }

/**
 * Improves placements in place until nothing helps or `looks` prices were looked at.
 *
 * A greedy plan fills a scarce target with whoever comes first; a stream that only fits there then pays for it. One exchange finds that.
 */
export function improve (placed: readonly Placed[], rooms: Rooms, problem: ReclaimProblem, looks: number): void {
  const allowance: Allowance = { left: looks }
  const search: Search = { rooms, problem, budget: budgetOf(placed, rooms), targets: [...problem.targets.keys()].slice(0, TARGETS_SEARCHED), allowance }
  let improved = true
  while (improved) {
    improved = false
    for (const one of placed) {
      for (const wanted of alternatives(one, search.targets)) {
        if (allowance.left <= 0) return
        improved = take(one, wanted, placed, search) || improved
      }
    }
  }
}

interface Search { rooms: Rooms, problem: ReclaimProblem, budget: (source: Source) => number, targets: readonly EndpointId[], allowance: Allowance }

/** Rounding may have given a source more than its share; the search never gives it still more. */
function budgetOf (placed: readonly Placed[], rooms: Rooms): (source: Source) => number {
  const used = new Map<EndpointId, number>()
  for (const { stream } of placed) used.set(stream.source, rooms.exported(stream.source))
  return (source) => Math.max(exportBudgetMs(source), used.get(source.id) ?? 0)
}

function alternatives ({ stream, directive }: Placed, targets: readonly EndpointId[]): Directive[] {
  const all: Directive[] = []
  for (const target of targets) {
    if (!('target' in directive) || directive.target !== target || directive.action !== 'import') all.push({ stream: stream.id, action: 'import', target })
    if (!('target' in directive) || directive.target !== target || directive.action !== 'prefill') all.push({ stream: stream.id, action: 'prefill', target })
  }
  return all
}

function take (one: Placed, wanted: Directive, placed: readonly Placed[], search: Search): boolean {
  const { rooms, problem, budget, allowance } = search
  allowance.left--
  const price = directivePrice(one.stream, wanted, problem)
  const gain = one.price - price
  if (gain <= SMALLEST_GAIN) return false
  rooms.add(one.stream, one.directive, -1)
  if (rooms.fits(one.stream, wanted, budget)) return settle(one, wanted, price, rooms)
  for (const other of placed) {
    if (allowance.left <= 0) break
    if (other !== one && inTheWay(other, one, wanted) && makeWay(one, wanted, other, gain, search)) return settle(one, wanted, price, rooms)
  }
  rooms.add(one.stream, one.directive)
  return false
}

function settle (one: Placed, directive: Directive, price: number, rooms: Rooms): true {
  one.directive = directive
  one.price = price
  rooms.add(one.stream, directive)
  return true
}

function inTheWay (other: Placed, one: Placed, wanted: Directive): boolean {
  if (!('target' in other.directive) || !('target' in wanted)) return false
  return other.directive.target === wanted.target || (other.directive.action === 'import' && other.stream.source === one.stream.source)
}

/** Moves `other` elsewhere if that costs less than `one` gains; its best way out is tried, the place `one` leaves included. */
function makeWay (one: Placed, wanted: Directive, other: Placed, gain: number, search: Search): boolean {
  const { rooms, budget } = search
  rooms.add(other.stream, other.directive, -1)
  if (rooms.fits(one.stream, wanted, budget)) {
    rooms.add(one.stream, wanted)
    const out = cheapestFit(other.stream, search)
    rooms.add(one.stream, wanted, -1)
    if (out.price - other.price < gain - SMALLEST_GAIN) return settle(other, out.directive, out.price, rooms)
  }
  rooms.add(other.stream, other.directive)
  return false
}

/** The cheapest directive that fits; holding always does. */
function cheapestFit (stream: ThreatenedStream, { rooms, problem, budget, targets, allowance }: Search): { directive: Directive, price: number } {
  const hold: Directive = { stream: stream.id, action: 'hold' }
  const best: { directive: Directive, price: number } = { directive: hold, price: directivePrice(stream, hold, problem) }
  for (const target of targets) {
    for (const action of ['import', 'prefill'] as const) {
      allowance.left--
      const directive: Directive = { stream: stream.id, action, target }
      const price = directivePrice(stream, directive, problem)
      if (price >= best.price || !rooms.fits(stream, directive, budget)) continue
      best.directive = directive
      best.price = price
    }
  }
  return best
}
