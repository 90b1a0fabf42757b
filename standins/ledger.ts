/** Counts what really ran, apart from the product: executions, recomputed tokens, lost, doubled and crossed answers. */

/** Totals at the end of a session. */
export interface LedgerTotals { lost: number, doubled: number, crossed: number, recomputedTokens: number }

/** Written by the stand-in endpoints and callers, read at the end of a session. */
export class Ledger {
  readonly #executions = new Map<string, number>()
  readonly #computed = new Map<string, number>()
  readonly #mustRunOnce = new Set<string>()
  readonly #saidNotRun: string[] = []
  #recomputedTokens = 0
  #lost = 0
  #crossed = 0

  /** A caller names the work that must not run twice. */
  expectOnce (work: string): void {
    this.#mustRunOnce.add(work)
  }

  /** An endpoint began the work from its start. */
  executed (work: string): void {
    this.#executions.set(work, this.executions(work) + 1)
  }

  /** Times the work began from its start. */
  executions (work: string): number {
    return this.#executions.get(work) ?? 0
  }

  /** An engine computed `tokens` so that `kvTokens` of the work's KV cache exist; what was there before is recomputed work. */
  computed (work: string, tokens: number, kvTokens: number): void {
    const before = this.#computed.get(work) ?? 0
    const firstTime = Math.max(0, kvTokens - before)
    this.#recomputedTokens += Math.max(0, tokens - firstTime)
    this.#computed.set(work, Math.max(before, kvTokens))
  }

  /** A caller was told `not-run`. */
  toldNotRun (work: string): void {
    this.#saidNotRun.push(work)
  }

  /** A caller whose accepted request got no final word. */
  lost (): void { this.#lost++ }

  /** A caller given a torn answer or another's. */
  crossed (): void { this.#crossed++ }

  /** Work told `not-run` that ran all the same. */
  get falselyNotRun (): string[] {
    return this.#saidNotRun.filter((work) => this.executions(work) > 0)
  }

  totals (): LedgerTotals {
    const doubled = [...this.#mustRunOnce].filter((work) => this.executions(work) > 1).length
    return { lost: this.#lost, doubled, crossed: this.#crossed, recomputedTokens: this.#recomputedTokens }
  }
}
