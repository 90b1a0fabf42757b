/** Reassembly of an answer from its chunks. */

/** Consecutive pieces of an answer from one attempt. */
export interface Chunk<P = string> {
  /** Number of the attempt that produced the chunk; a later attempt replaces an earlier one. */
  attempt: number
  /** Position of the first piece within the whole answer. */
  offset: number
  pieces: readonly P[]
}

/** Options of {@linkcode AnswerBuffer}. */
export interface AnswerBufferOptions<P> {
  /** Position of the first piece to collect; a caller that resumes already has those before it. Default 0. */
  from?: number
  /** Compares two pieces at the same position. Default: `Object.is`. */
  isEqual? (a: P, b: P): boolean
}

/** Result of {@linkcode AnswerBuffer.add}: `taken` if the chunk extended the answer, `held` if it is buffered behind a gap, otherwise why it was dropped. */
export type AddResult = 'taken' | 'old-attempt' | 'doubled' | 'held' | 'conflict' | 'overflow'

/** Maximum number of pieces buffered behind gaps. */
const MAX_OUT_OF_ORDER_PIECES = 4096

/**
 * Collects each piece of an answer exactly once and in order, regardless of the order in which its chunks arrive.
 *
 * Guards against cancelled attempts that keep sending (their pieces would appear twice), reordered chunks (pieces would be swapped) and duplicate chunks.
 * Only offsets and attempt numbers determine the result, never the arrival time.
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
  #pieces: P[] = []
  /** Number of pieces that were taken out. */
  #taken = 0
  readonly #outOfOrder = new Map<number, readonly P[]>()
  #outOfOrderPieces = 0
  #attempt = 0
  #total: number | undefined

  constructor (options: AnswerBufferOptions<P> = {}) {
    this.#from = options.from ?? 0
    this.#options = options
  }

  /** Position of the first piece. */
  get from (): number { return this.#from }
  /** Contiguous pieces from position {@linkcode AnswerBuffer.from} on, without those that were taken out. */
  get pieces (): readonly P[] { return this.#pieces }
  /** Position after the last contiguous piece. */
  get length (): number { return this.#from + this.#taken + this.#pieces.length }
  /** Number of the attempt whose chunks are accepted. */
  get attempt (): number { return this.#attempt }
  /** True once the end of the answer is known and every piece before it was received. */
  get whole (): boolean { return this.#total !== undefined && this.#total === this.length }

  /** Takes the contiguous pieces out: their number still counts, and a chunk that overlaps them is a conflict, since they cannot be compared any more. */
  take (): readonly P[] {
    const pieces = this.#pieces
    if (pieces.length === 0) return pieces
    this.#pieces = []
    this.#taken += pieces.length
    return pieces
  }

  /** Accepts only chunks of a later attempt from now on; pieces that were already delivered are kept. */
  replaceAttempt (attempt: number): void {
    if (attempt <= this.#attempt) return
    this.#attempt = attempt
    this.#outOfOrder.clear()
    this.#outOfOrderPieces = 0
    this.#total = undefined
  }

  /** Adds a chunk. */
  add (chunk: Chunk<P>): AddResult {
    if (chunk.attempt !== this.#attempt) return 'old-attempt'
    if (chunk.offset > this.length) return this.#bufferOutOfOrder(chunk)
    const overlap = this.length - chunk.offset
    if (!this.#matchesDelivered(chunk, overlap)) return 'conflict'
    if (overlap >= chunk.pieces.length) return 'doubled'
    for (let i = overlap; i < chunk.pieces.length; i++) this.#pieces.push(chunk.pieces[i]!)
    this.#deliverBuffered()
    return 'taken'
  }

  /** Records the explicit end of an attempt's answer. `total` is the length of the whole answer in pieces. */
  end (attempt: number, total: number): void {
    if (attempt === this.#attempt) this.#total = total
  }

  #matchesDelivered (chunk: Chunk<P>, overlap: number): boolean {
    const shared = Math.min(overlap, chunk.pieces.length)
    for (let i = 0; i < shared; i++) {
      const index = chunk.offset + i - this.#from
      if (index < 0) continue
      if (index < this.#taken || !this.#isEqual(this.#pieces[index - this.#taken]!, chunk.pieces[i]!)) return false
    }
    return true
  }

  #isEqual (a: P, b: P): boolean {
    return this.#options.isEqual ? this.#options.isEqual(a, b) : Object.is(a, b)
  }

  #bufferOutOfOrder (chunk: Chunk<P>): AddResult {
    if (this.#outOfOrder.has(chunk.offset)) return 'doubled'
    if (this.#outOfOrderPieces + chunk.pieces.length > MAX_OUT_OF_ORDER_PIECES) return 'overflow'
    this.#outOfOrder.set(chunk.offset, chunk.pieces)
    this.#outOfOrderPieces += chunk.pieces.length
    return 'held'
  }

  #deliverBuffered (): void {
    for (const [offset, pieces] of [...this.#outOfOrder].sort(([a], [b]) => a - b)) {
      if (offset > this.length) return
      this.#outOfOrder.delete(offset)
      this.#outOfOrderPieces -= pieces.length
      this.add({ attempt: this.#attempt, offset, pieces })
    }
  }
}
