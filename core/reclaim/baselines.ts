/** Reference planners for benchmarks and tests: restart, prefill only, and exhaustive search for small problems. */
import { canFinish, evaluate, type Directive, type ReclaimPlanner, type ReclaimProblem, type Target, type AffectedStream } from './problem.ts'

/** Sends every stream to the target with the most free slots, where the caller of the planner restarts it from scratch. */
export class RestartPlanner implements ReclaimPlanner {
  plan (problem: ReclaimProblem): Directive[] {
    const freeSlots = new Map([...problem.targets.values()].map((target) => [target, target.freeSlots]))
    return problem.streams.map((stream) => {
      if (!stream.movable) return { stream: stream.id, action: 'finish' }
      const target = targetWithMostFreeSlots(freeSlots)
      if (!target) return { stream: stream.id, action: 'hold' }
      freeSlots.set(target, freeSlots.get(target)! - 1)
      return { stream: stream.id, action: 'prefill', target: target.id }
    })
  }
}

/** Returns the number of tokens recomputed when the streams are restarted: prompt and generated tokens. */
export function restartedTokens (streams: readonly AffectedStream[]): number {
  return streams.reduce((sum, stream) => sum + (stream.movable ? stream.kvTokens : 0), 0)
}

/** Lets streams finish that can and resumes the others by prefill: where the prefix is cached, otherwise at the target with the most free slots. */
export class PrefillPlanner implements ReclaimPlanner {
  plan (problem: ReclaimProblem): Directive[] {
    const freeSlots = new Map([...problem.targets.values()].map((target) => [target, target.freeSlots]))
    return problem.streams.map((stream) => {
      if (canFinish(stream, problem.sources.get(stream.source)!)) return { stream: stream.id, action: 'finish' }
      const cached = [...freeSlots].filter(([target, slots]) => slots > 0 && stream.cachedTokens.has(target.id)).map(([target]) => target)
      const target = cached[0] ?? targetWithMostFreeSlots(freeSlots)
      if (!target) return { stream: stream.id, action: 'hold' }
      freeSlots.set(target, freeSlots.get(target)! - 1)
      return { stream: stream.id, action: 'prefill', target: target.id }
    })
  }
}

function targetWithMostFreeSlots (freeSlots: ReadonlyMap<Target, number>): Target | undefined {
  let best: Target | undefined
  for (const [target, slots] of freeSlots) {
    if (slots > 0 && (!best || slots > freeSlots.get(best)!)) best = target
  }
  return best
}

/** Evaluates every possible plan. Practical for up to about six streams and three targets. */
export class BruteForcePlanner implements ReclaimPlanner {
  plan (problem: ReclaimProblem): Directive[] {
    let best: Directive[] = []
    let bestPrice = Infinity
    const extend = (plan: Directive[]) => {
      const stream = problem.streams[plan.length]
      if (!stream) {
        const totals = evaluate(plan, problem)
        if (totals.feasible && totals.price < bestPrice) {
          best = plan
          bestPrice = totals.price
        }
        return
      }
      for (const directive of possibleDirectives(stream, problem)) extend([...plan, directive])
    }
    extend([])
    return best
  }
}

function possibleDirectives (stream: AffectedStream, problem: ReclaimProblem): Directive[] {
  if (canFinish(stream, problem.sources.get(stream.source)!)) return [{ stream: stream.id, action: 'finish' }]
  const moves = [...problem.targets.keys()].flatMap((target): Directive[] => [
    { stream: stream.id, action: 'import', target },
    { stream: stream.id, action: 'prefill', target }
  ])
  return [...moves, { stream: stream.id, action: 'hold' }]
}
