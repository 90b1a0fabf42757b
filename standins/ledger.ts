/** Ground truth recorded independently of the daemons: executions, recomputed tokens, and lost, duplicate or mixed-up answers. */

/** Totals at the end of a session: `doubled` counts once-only work that ran twice, `crossed` counts incomplete or foreign answers. */
export interface LedgerTotals { lost: number, doubled: number, crossed: number, recomputedTokens: number }

/** Records events reported by stand-in endpoints and callers, and totals them at the end of a session. */
export class Ledger {
  readonly #executions = new Map<string, number>()
  readonly #computedTokens = new Map<string, number>()
  readonly #mustRunOnce = new Set<string>()
  readonly #reportedNotRun: string[] = []
  #recomputedTokens = 0
  #lost = 0
  #crossed = 0

  /** Marks work that must not run twice. */
  expectOnce (work: string): void {
    this.#mustRunOnce.add(work)
  }

  /** Records that an endpoint started the work from the beginning. */
  recordExecution (work: string): void {
    this.#executions.set(work, this.executionCount(work) + 1)
  }

  /** Returns how often the work was started from the beginning. */
  executionCount (work: string): number {
    return this.#executions.get(work) ?? 0
  }

  /** Records that an engine computed `tokens`, extending the KV cache of the work to `kvTokens`. Tokens that had been computed before count as recomputed. */
  recordComputed (work: string, tokens: number, kvTokens: number): void {
    const before = this.#computedTokens.get(work) ?? 0
    const firstTime = Math.max(0, kvTokens - before)
    this.#recomputedTokens += Math.max(0, tokens - firstTime)
    this.#computedTokens.set(work, Math.max(before, kvTokens))
  }

  /** Records that a caller received the outcome `not-run`. */
  recordNotRun (work: string): void {
    this.#reportedNotRun.push(work)
  }

  /** Records an accepted request that never got a final result. */
  lost (): void { this.#lost++ }

  /** Records an incomplete answer, or one that belongs to another request. */
  crossed (): void { this.#crossed++ }

  /** Work that was reported as `not-run` but did run. */
  get falselyNotRun (): string[] {
    return this.#reportedNotRun.filter((work) => this.executionCount(work) > 0)
  }

  totals (): LedgerTotals {
    const doubled = [...this.#mustRunOnce].filter((work) => this.executionCount(work) > 1).length
    return { lost: this.#lost, doubled, crossed: this.#crossed, recomputedTokens: this.#recomputedTokens }
  }
}
