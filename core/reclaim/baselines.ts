/** Planners to measure against: restart, prefill only, and the optimum of small problems. */
import { canFinish, evaluate, type Directive, type ReclaimPlanner, type ReclaimProblem, type Target, type ThreatenedStream } from './problem.ts'

/** Sends every stream to the least loaded target; the caller of the planner starts it again from nothing. */
export class RestartPlanner implements ReclaimPlanner {
  plan (problem: ReclaimProblem): Directive[] {
    const room = new Map([...problem.targets.values()].map((target) => [target, target.freeSlots]))
    return problem.streams.map((stream) => {
      if (!stream.movable) return { stream: stream.id, action: 'finish' }
      const target = mostRoom(room)
      if (!target) return { stream: stream.id, action: 'hold' }
      room.set(target, room.get(target)! - 1)
      return { stream: stream.id, action: 'prefill', target: target.id }
    })
  }
}

/** Tokens that restarting a plan's streams computes again: whatever ran before, prompt and answer. */
export function restartedTokens (streams: readonly ThreatenedStream[]): number {
  return streams.reduce((sum, stream) => sum + (stream.movable ? stream.kvTokens : 0), 0)
}

/** Finishes what can finish and resumes everything else by prefill where the prefix is cached, then where there is most room. */
export class PrefillPlanner implements ReclaimPlanner {
  plan (problem: ReclaimProblem): Directive[] {
    const room = new Map([...problem.targets.values()].map((target) => [target, target.freeSlots]))
    return problem.streams.map((stream) => {
      if (canFinish(stream, problem.sources.get(stream.source)!)) return { stream: stream.id, action: 'finish' }
      const cached = [...room].filter(([target, slots]) => slots > 0 && stream.cachedTokens.has(target.id)).map(([target]) => target)
      const target = cached[0] ?? mostRoom(room)
      if (!target) return { stream: stream.id, action: 'hold' }
      room.set(target, room.get(target)! - 1)
      return { stream: stream.id, action: 'prefill', target: target.id }
    })
  }
}

function mostRoom (room: ReadonlyMap<Target, number>): Target | undefined {
  let best: Target | undefined
  for (const [target, slots] of room) {
    if (slots > 0 && (!best || slots > room.get(best)!)) best = target
  }
  return best
}

/** Tries every plan; for up to about six streams and three targets. */
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
      for (const directive of choices(stream, problem)) extend([...plan, directive])
    }
    extend([])
    return best
  }
}

function choices (stream: ThreatenedStream, problem: ReclaimProblem): Directive[] {
  if (canFinish(stream, problem.sources.get(stream.source)!)) return [{ stream: stream.id, action: 'finish' }]
  const moves = [...problem.targets.keys()].flatMap((target): Directive[] => [
    { stream: stream.id, action: 'import', target },
    { stream: stream.id, action: 'prefill', target }
  ])
  return [...moves, { stream: stream.id, action: 'hold' }]
}
