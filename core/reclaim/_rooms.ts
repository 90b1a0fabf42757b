/** Room that a plan has used up so far, at sources and targets. */
import type { EndpointId } from '../ids/index.ts'
import { exportMs, usableMs, type Directive, type ReclaimProblem, type Source, type Target, type ThreatenedStream } from './problem.ts'

/** What is used of one target. */
interface TargetUse { slots: number, kv: number, importMs: number, prefillTokens: number }

/** Keeps count of what directives use, and tells whether one more fits. */
export class Rooms {
  readonly #problem: ReclaimProblem
  readonly #targets = new Map<EndpointId, TargetUse>()
  readonly #exportMs = new Map<EndpointId, number>()

  constructor (problem: ReclaimProblem) {
    this.#problem = problem
    for (const id of problem.targets.keys()) this.#targets.set(id, { slots: 0, kv: 0, importMs: 0, prefillTokens: 0 })
    for (const id of problem.sources.keys()) this.#exportMs.set(id, 0)
  }

  /** Streams that the plan puts on a target. */
  busy (target: EndpointId): number {
    return this.#targets.get(target)!.slots
  }

  /** Export bandwidth that the plan uses of a source, in milliseconds. */
  exported (source: EndpointId): number {
    return this.#exportMs.get(source)!
  }

  /** True when the directive fits beside all that were added. */
  fits (stream: ThreatenedStream, directive: Directive, exportBudgetMs: (source: Source) => number): boolean {
    if (directive.action === 'hold' || directive.action === 'finish') return true
    const target = this.#problem.targets.get(directive.target)!
    const use = this.#targets.get(directive.target)!
    if (use.slots >= target.freeSlots || use.kv + kvOf(stream) > target.freeKvTokens) return false
    if (directive.action === 'prefill') return true
    const source = this.#problem.sources.get(stream.source)!
    if (target.importShare === 0) return false
    const importBudgetMs = use.importMs === 0 ? usableMs(source) : usableMs(source) * target.importShare
    return use.importMs + importMs(stream, target) <= importBudgetMs &&
      this.#exportMs.get(source.id)! + exportMs(stream, source) <= exportBudgetMs(source)
  }

  /** Counts a directive; a `sign` of -1 takes it back. */
  add (stream: ThreatenedStream, directive: Directive, sign: 1 | -1 = 1): void {
    if (directive.action === 'hold' || directive.action === 'finish') return
    const use = this.#targets.get(directive.target)!
    use.slots += sign
    use.kv += sign * kvOf(stream)
    if (directive.action === 'prefill') return
    const source = this.#problem.sources.get(stream.source)!
    use.importMs += sign * importMs(stream, this.#problem.targets.get(directive.target)!)
    this.#exportMs.set(source.id, this.#exportMs.get(source.id)! + sign * exportMs(stream, source))
  }
}

/** KV cache that the stream needs at its target until its end, in tokens. */
export function kvOf (stream: ThreatenedStream): number {
  return stream.kvTokens + stream.remainingTokens
}

/** Milliseconds of the target's import bandwidth that taking the stream's KV cache takes. */
export function importMs (stream: ThreatenedStream, target: Target): number {
  return stream.kvTokens * 1000 / target.importTokensPerS
}
