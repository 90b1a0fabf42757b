/** Tracks the capacity that a plan uses at sources and targets. */
import type { EndpointId } from '../ids/index.ts'
import { exportMs, usableNoticeMs, type Directive, type ReclaimProblem, type Source, type Target, type AffectedStream } from './problem.ts'

/** Capacity used at one target. */
interface TargetUsage { slots: number, kvTokens: number, importMs: number, prefillTokens: number }

/** Adds up the capacity that directives use and checks whether another one fits. */
export class CapacityTracker {
  readonly #problem: ReclaimProblem
  readonly #targetUsage = new Map<EndpointId, TargetUsage>()
  readonly #usedExportMs = new Map<EndpointId, number>()

  constructor (problem: ReclaimProblem) {
    this.#problem = problem
    for (const id of problem.targets.keys()) this.#targetUsage.set(id, { slots: 0, kvTokens: 0, importMs: 0, prefillTokens: 0 })
    for (const id of problem.sources.keys()) this.#usedExportMs.set(id, 0)
  }

  /** Returns the number of streams that the plan assigns to a target. */
  assignedStreams (target: EndpointId): number {
    return this.#targetUsage.get(target)!.slots
  }

  /** Returns the export time that the plan uses at a source, in milliseconds. */
  usedExportMs (source: EndpointId): number {
    return this.#usedExportMs.get(source)!
  }

  /** Returns whether the directive fits in addition to those already added. */
  fits (stream: AffectedStream, directive: Directive, exportBudgetMs: (source: Source) => number): boolean {
    if (directive.action === 'hold' || directive.action === 'finish') return true
    const target = this.#problem.targets.get(directive.target)!
    const usage = this.#targetUsage.get(directive.target)!
    if (usage.slots >= target.freeSlots || usage.kvTokens + requiredKvTokens(stream) > target.freeKvTokens) return false
    if (directive.action === 'prefill') return true
    const source = this.#problem.sources.get(stream.source)!
    if (target.importShare === 0) return false
    const importBudgetMs = usage.importMs === 0 ? usableNoticeMs(source) : usableNoticeMs(source) * target.importShare
    return usage.importMs + importMs(stream, target) <= importBudgetMs &&
      this.#usedExportMs.get(source.id)! + exportMs(stream, source) <= exportBudgetMs(source)
  }

  /** Adds the usage of a directive, or removes it with a `sign` of -1. */
  add (stream: AffectedStream, directive: Directive, sign: 1 | -1 = 1): void {
    if (directive.action === 'hold' || directive.action === 'finish') return
    const usage = this.#targetUsage.get(directive.target)!
    usage.slots += sign
    usage.kvTokens += sign * requiredKvTokens(stream)
    if (directive.action === 'prefill') return
    const source = this.#problem.sources.get(stream.source)!
    usage.importMs += sign * importMs(stream, this.#problem.targets.get(directive.target)!)
    this.#usedExportMs.set(source.id, this.#usedExportMs.get(source.id)! + sign * exportMs(stream, source))
  }
}

/** Returns the KV cache size that the stream needs at its target until it ends, in tokens. */
export function requiredKvTokens (stream: AffectedStream): number {
  return stream.kvTokens + stream.remainingTokens
}

/** Returns how long the target takes to import the stream's KV cache, in milliseconds. */
export function importMs (stream: AffectedStream, target: Target): number {
  return stream.kvTokens * 1000 / target.importTokensPerS
}
