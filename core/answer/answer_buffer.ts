/** The one place where an answer's pieces are put in order. */

/** Part of an answer, as an attempt at an endpoint produced it. */
export interface Chunk<P = string> {
  /** The attempt that produced it; a later attempt replaces an earlier one. */
  attempt: number
  /** Place of the first piece within the whole answer. */
  offset: number
  pieces: readonly P[]
}

/** Options of {@linkcode AnswerBuffer}. */
export interface AnswerBufferOptions<P> {
  /** Place of the first piece that is wanted: a caller that resumes has those before it. Default 0. */
  from?: number
  /** Tells whether two pieces at one place are the same. Default: identity. */
  same? (a: P, b: P): boolean
}

/** Why a chunk was not taken, or `taken`. */
export type Verdict = 'taken' | 'old-attempt' | 'doubled' | 'held' | 'conflict' | 'overflow'

const MAX_HELD_PIECES = 4096

/**
 * Collects an answer exactly once, in order, whatever order its chunks arrive in.
 *
 * Guards against a cancelled attempt that keeps sending (its pieces would appear twice), a chunk that overtakes another
 * (pieces swapped) and a doubled chunk. Offsets and attempt numbers decide, never arrival time.
 * @example
 * ```ts
 * const answer = new AnswerBuffer()
 * answer.replaceAttempt(1)
 * answer.add({ attempt: 1, offset: 0, pieces: ['a'] })
 * ```
 */
export class AnswerBuffer<P = string> {
  readonly #from: number
  readonly #options: AnswerBufferOptions<P>
  readonly #pieces: P[] = []
  readonly #held = new Map<number, readonly P[]>()
  #heldPieces = 0
  #attempt = 0
  #total: number | undefined

  constructor (options: AnswerBufferOptions<P> = {}) {
    this.#from = options.from ?? 0
    this.#options = options
  }

  /** Place of the first piece. */
  get from (): number { return this.#from }
  /** Pieces in order from the first one wanted. */
  get pieces (): readonly P[] { return this.#pieces }
  /** Place behind the last piece known without a gap. */
  get length (): number { return this.#from + this.#pieces.length }
  /** The attempt whose chunks are taken. */
  get attempt (): number { return this.#attempt }
  /** True once the end is known and every piece before it is here. */
  get whole (): boolean { return this.#total !== undefined && this.#total === this.length }

  /** Takes chunks of a later attempt only; what the earlier one delivered stays. */
  replaceAttempt (attempt: number): void {
    if (attempt <= this.#attempt) return
    this.#attempt = attempt
    this.#held.clear()
    this.#heldPieces = 0
    this.#total = undefined
  }

  /** Adds a chunk and tells what became of it. */
  add (chunk: Chunk<P>): Verdict {
    if (chunk.attempt !== this.#attempt) return 'old-attempt'
    if (chunk.offset > this.length) return this.#hold(chunk)
    const overlap = this.length - chunk.offset
    if (!this.#agrees(chunk, overlap)) return 'conflict'
    if (overlap >= chunk.pieces.length) return 'doubled'
    for (let i = overlap; i < chunk.pieces.length; i++) this.#pieces.push(chunk.pieces[i]!)
    this.#releaseHeld()
    return 'taken'
  }

  /** Records the explicit end of an attempt's answer. */
  end (attempt: number, total: number): void {
    if (attempt === this.#attempt) this.#total = total
  }

  #agrees (chunk: Chunk<P>, overlap: number): boolean {
    const shared = Math.min(overlap, chunk.pieces.length)
    for (let i = 0; i < shared; i++) {
      const place = chunk.offset + i - this.#from
      if (place >= 0 && !this.#isSame(this.#pieces[place]!, chunk.pieces[i]!)) return false
    }
    return true
  }

  #isSame (a: P, b: P): boolean {
    return this.#options.same ? this.#options.same(a, b) : Object.is(a, b)
  }

  #hold (chunk: Chunk<P>): Verdict {
    if (this.#held.has(chunk.offset)) return 'doubled'
    if (this.#heldPieces + chunk.pieces.length > MAX_HELD_PIECES) return 'overflow'
    this.#held.set(chunk.offset, chunk.pieces)
    this.#heldPieces += chunk.pieces.length
    return 'held'
  }

  #releaseHeld (): void {
    for (const [offset, pieces] of [...this.#held].sort(([a], [b]) => a - b)) {
      if (offset > this.length) return
      this.#held.delete(offset)
      this.#heldPieces -= pieces.length
      this.add({ attempt: this.#attempt, offset, pieces })
    }
  }
}
