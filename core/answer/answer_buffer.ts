/** The one place where an answer's tokens are put in order. */

/** Part of an answer, as an attempt at an endpoint produced it. */
export interface Chunk {
  /** The attempt that produced it; a later attempt replaces an earlier one. */
  attempt: number
  /** Place of the first token within the whole answer. */
  offset: number
  tokens: readonly string[]
}

/** Why a chunk was not taken, or `taken`. */
export type Verdict = 'taken' | 'old-attempt' | 'doubled' | 'held' | 'conflict' | 'overflow'

const MAX_HELD_TOKENS = 4096

/**
 * Collects an answer exactly once, in order, whatever order its chunks arrive in.
 *
 * Guards against a cancelled attempt that keeps sending (its tokens would appear twice), a chunk that overtakes another
 * (tokens swapped) and a doubled chunk. Offsets and attempt numbers decide, never arrival time.
 * @example
 * ```ts
 * const answer = new AnswerBuffer()
 * answer.replaceAttempt(1)
 * answer.add({ attempt: 1, offset: 0, tokens: ['a'] })
 * ```
 */
export class AnswerBuffer {
  readonly #tokens: string[] = []
  readonly #held = new Map<number, readonly string[]>()
  #heldTokens = 0
  #attempt = 0
  #total: number | undefined

  /** Tokens in order from the start of the answer. */
  get tokens (): readonly string[] { return this.#tokens }
  /** Tokens known without a gap. */
  get length (): number { return this.#tokens.length }
  /** The attempt whose chunks are taken. */
  get attempt (): number { return this.#attempt }
  /** True once the end is known and every token before it is here. */
  get whole (): boolean { return this.#total !== undefined && this.#total === this.#tokens.length }

  /** Takes chunks of a later attempt only; what the earlier one delivered stays. */
  replaceAttempt (attempt: number): void {
    if (attempt <= this.#attempt) return
    this.#attempt = attempt
    this.#held.clear()
    this.#heldTokens = 0
    this.#total = undefined
  }

  /** Adds a chunk and tells what became of it. */
  add (chunk: Chunk): Verdict {
    if (chunk.attempt !== this.#attempt) return 'old-attempt'
    if (chunk.offset > this.length) return this.#hold(chunk)
    const overlap = this.length - chunk.offset
    if (!this.#agrees(chunk, overlap)) return 'conflict'
    if (overlap >= chunk.tokens.length) return 'doubled'
    for (let i = overlap; i < chunk.tokens.length; i++) this.#tokens.push(chunk.tokens[i]!)
    this.#releaseHeld()
    return 'taken'
  }

  /** Records the explicit end of an attempt's answer. */
  end (attempt: number, total: number): void {
    if (attempt === this.#attempt) this.#total = total
  }

  #agrees (chunk: Chunk, overlap: number): boolean {
    const shared = Math.min(overlap, chunk.tokens.length)
    for (let i = 0; i < shared; i++) {
      if (this.#tokens[chunk.offset + i] !== chunk.tokens[i]) return false
    }
    return true
  }

  #hold (chunk: Chunk): Verdict {
    if (this.#held.has(chunk.offset)) return 'doubled'
    if (this.#heldTokens + chunk.tokens.length > MAX_HELD_TOKENS) return 'overflow'
    this.#held.set(chunk.offset, chunk.tokens)
    this.#heldTokens += chunk.tokens.length
    return 'held'
  }

  #releaseHeld (): void {
    for (const [offset, tokens] of [...this.#held].sort(([a], [b]) => a - b)) {
      if (offset > this.length) return
      this.#held.delete(offset)
      this.#heldTokens -= tokens.length
      this.add({ attempt: this.#attempt, offset, tokens })
    }
  }
}
