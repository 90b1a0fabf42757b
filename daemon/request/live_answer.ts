/** Answers that may still grow, held by this daemon or mirrored from another. */
import type { RequestId } from '../../core/ids/index.ts'
import type { Outcome } from '../../core/outcome/index.ts'

/** The final result of a request. */
export interface FinalResult {
  outcome: Outcome
  reason: string
  retryAfterMs: number | undefined
  /** The request that holds the answer, if the idempotency key was used before. */
  repeats?: RequestId
  /** True if the idempotency key was used before with a different body. */
  otherBody?: boolean
}

/** An answer that callers read while it is produced. */
export interface LiveAnswer {
  readonly id: RequestId
  readonly tokens: readonly string[]
  /** Set once, when the answer is complete or has failed. */
  readonly final: FinalResult | undefined
  /** True once an attempt has started. */
  readonly started: boolean
  /** True once another daemon has taken over; callers resume there. */
  readonly movedAway: boolean
  /** Calls the listener after each change. Returns a function that removes the listener. */
  subscribe (listener: () => void): () => void
}

/** The set of listeners of an answer. */
export class Listeners {
  readonly #listeners = new Set<() => void>()

  /** Number of listeners. */
  get size (): number { return this.#listeners.size }

  add (listener: () => void): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  notify (): void {
    for (const listener of [...this.#listeners]) listener()
  }
}

/** Mirror of an answer held by another daemon. */
export class RemoteAnswer implements LiveAnswer {
  readonly id: RequestId
  readonly tokens: string[] = []
  final: FinalResult | undefined
  started = false
  movedAway = false
  readonly #listeners = new Listeners()

  constructor (id: RequestId) {
    this.id = id
  }

  subscribe (listener: () => void): () => void {
    return this.#listeners.add(listener)
  }

  /**
   * Applies a part sent by the holder. Offsets make duplicate parts harmless.
   *
   * A missing part would leave the caller with a gap in an answer that looks complete. The mirror is therefore cut, and the caller
   * resumes from what it has received.
   */
  applyPart (part: AnswerPart): void {
    if (this.movedAway) return
    if (part.offset > this.tokens.length) return this.cut()
    if (part.offset + part.tokens.length > this.tokens.length) this.tokens.push(...part.tokens.slice(this.tokens.length - part.offset))
    this.started ||= part.started
    this.movedAway ||= part.movedAway
    this.final ??= part.final
    this.#listeners.notify()
  }

  /** Ends the mirror because the holder is unreachable. Callers ask again, and by then the holder's heir may have the answer. */
  cut (): void {
    if (this.final) return
    this.movedAway = true
    this.#listeners.notify()
  }

  /** Ends the mirror with the outcome `unknown`, because no daemon holds the answer any more. */
  markLost (reason: string): void {
    this.final ??= { outcome: 'unknown', reason, retryAfterMs: undefined }
    this.#listeners.notify()
  }
}

/** Part of an answer, as sent between daemons. */
export interface AnswerPart { offset: number, tokens: readonly string[], started: boolean, movedAway: boolean, final: FinalResult | undefined }
