/** Local search that lowers the price of a plan by reassigning one stream, or by displacing another stream to make room for it. */
import type { EndpointId } from '../ids/index.ts'
import { directivePrice, exportBudgetMs, type Directive, type ReclaimProblem, type Source, type AffectedStream } from './problem.ts'
import type { CapacityTracker } from './_capacity_tracker.ts'

/** A stream, the directive planned for it and the price of that directive. */
export interface Placement { stream: AffectedStream, directive: Directive, price: number }

/** Gains up to this size count as none. */
const MIN_GAIN = 1e-12
/** Maximum number of targets that the search considers; the subset of endpoints that a daemon uses is no larger. */
const MAX_TARGETS_SEARCHED = 24

/** Number of prices the search may still compute; bounds its running time for any problem. */
interface EvaluationBudget { left: number }

/**
 * Improves placements in place until no change lowers the price or `maxEvaluations` prices have been computed.
 *
 * A greedy plan may fill a scarce target with a stream that would also fit elsewhere, at the expense of a later stream that fits only there. Displacing
 * one stream corrects this.
 */
export function improvePlan (placements: readonly Placement[], capacity: CapacityTracker, problem: ReclaimProblem, maxEvaluations: number): void {
  const evaluations: EvaluationBudget = { left: maxEvaluations }
  const search: SearchContext = { capacity, problem, exportBudgetOf: exportBudgets(placements, capacity), targets: [...problem.targets.keys()].slice(0, MAX_TARGETS_SEARCHED), evaluations }
  let improved = true
  while (improved) {
    improved = false
    for (const placement of placements) {
      for (const candidate of alternatives(placement, search.targets)) {
        if (evaluations.left <= 0) return
        improved = tryReassign(placement, candidate, placements, search) || improved
      }
    }
  }
}

interface SearchContext { capacity: CapacityTracker, problem: ReclaimProblem, exportBudgetOf: (source: Source) => number, targets: readonly EndpointId[], evaluations: EvaluationBudget }

/** Export budget of each source. Where random rounding has already exceeded the share, the budget is what is used, so the search never exceeds it further. */
function exportBudgets (placements: readonly Placement[], capacity: CapacityTracker): (source: Source) => number {
  const usedMs = new Map<EndpointId, number>()
  for (const { stream } of placements) usedMs.set(stream.source, capacity.usedExportMs(stream.source))
  return (source) => Math.max(exportBudgetMs(source), usedMs.get(source.id) ?? 0)
}

function alternatives ({ stream, directive }: Placement, targets: readonly EndpointId[]): Directive[] {
  const directives: Directive[] = []
  for (const target of targets) {
    if (!('target' in directive) || directive.target !== target || directive.action !== 'import') directives.push({ stream: stream.id, action: 'import', target })
    if (!('target' in directive) || directive.target !== target || directive.action !== 'prefill') directives.push({ stream: stream.id, action: 'prefill', target })
  }
  return directives
}

function tryReassign (placement: Placement, candidate: Directive, placements: readonly Placement[], search: SearchContext): boolean {
  const { capacity, problem, exportBudgetOf, evaluations } = search
  evaluations.left--
  const price = directivePrice(placement.stream, candidate, problem)
  const gain = placement.price - price
  if (gain <= MIN_GAIN) return false
  capacity.add(placement.stream, placement.directive, -1)
  if (capacity.fits(placement.stream, candidate, exportBudgetOf)) return reassign(placement, candidate, price, capacity)
  for (const other of placements) {
    if (evaluations.left <= 0) break
    if (other !== placement && competesForCapacity(other, placement, candidate) && tryDisplace(placement, candidate, other, gain, search)) return reassign(placement, candidate, price, capacity)
  }
  capacity.add(placement.stream, placement.directive)
  return false
}

function reassign (placement: Placement, directive: Directive, price: number, capacity: CapacityTracker): true {
  placement.directive = directive
  placement.price = price
  capacity.add(placement.stream, directive)
  return true
}

function competesForCapacity (other: Placement, placement: Placement, candidate: Directive): boolean {
  if (!('target' in other.directive) || !('target' in candidate)) return false
  return other.directive.target === candidate.target || (other.directive.action === 'import' && other.stream.source === placement.stream.source)
}

/**
 * Displaces `other` if reassigning it costs less than `placement` gains. Only the cheapest directive for `other` is tried; the capacity that `placement`
 * releases counts as free.
 */
function tryDisplace (placement: Placement, candidate: Directive, other: Placement, gain: number, search: SearchContext): boolean {
  const { capacity, exportBudgetOf } = search
  capacity.add(other.stream, other.directive, -1)
  if (capacity.fits(placement.stream, candidate, exportBudgetOf)) {
    capacity.add(placement.stream, candidate)
    const replacement = cheapestFit(other.stream, search)
    capacity.add(placement.stream, candidate, -1)
    if (replacement.price - other.price < gain - MIN_GAIN) return reassign(other, replacement.directive, replacement.price, capacity)
  }
  capacity.add(other.stream, other.directive)
  return false
}

/** Returns the cheapest directive that fits; holding the stream always fits. */
function cheapestFit (stream: AffectedStream, { capacity, problem, exportBudgetOf, targets, evaluations }: SearchContext): { directive: Directive, price: number } {
  const hold: Directive = { stream: stream.id, action: 'hold' }
  const best: { directive: Directive, price: number } = { directive: hold, price: directivePrice(stream, hold, problem) }
  for (const target of targets) {
    for (const action of ['import', 'prefill'] as const) {
      evaluations.left--
      const directive: Directive = { stream: stream.id, action, target }
      const price = directivePrice(stream, directive, problem)
      if (price >= best.price || !capacity.fits(stream, directive, exportBudgetOf)) continue
      best.directive = directive
      best.price = price
    }
  }
  return best
}
