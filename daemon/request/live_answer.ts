/** An answer that is still growing, held here or at another daemon. */
import type { RequestId } from '../../core/ids/index.ts'
import type { Outcome } from '../../core/outcome/index.ts'

/** The last word on a request. */
export interface FinalWord {
  outcome: Outcome
  reason: string
  retryAfterMs: number | undefined
  /** The request that holds the answer, when the idempotency key was used before. */
  repeats?: RequestId
  /** True when the key was used before with another body. */
  otherBody?: boolean
}

/** What a caller's connection follows. */
export interface LiveAnswer {
  readonly id: RequestId
  readonly tokens: readonly string[]
  /** Set once, when nothing more will come. */
  readonly final: FinalWord | undefined
  /** True once an endpoint works on it. */
  readonly started: boolean
  /** True once another daemon carries it on: the caller resumes there. */
  readonly movedAway: boolean
  /** Calls the listener after each change; returns a function that stops it. */
  subscribe (listener: () => void): () => void
}

/** Keeps the listeners of an answer. */
export class Listeners {
  readonly #listeners = new Set<() => void>()

  /** Listeners now. */
  get size (): number { return this.#listeners.size }

  add (listener: () => void): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  notify (): void {
    for (const listener of [...this.#listeners]) listener()
  }
}

/** Mirror of an answer that another daemon holds. */
export class RemoteAnswer implements LiveAnswer {
  readonly id: RequestId
  readonly tokens: string[] = []
  final: FinalWord | undefined
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
   * Takes in what the holder sent; offsets make a doubled part harmless.
   *
   * A part that is missing would leave the caller with a torn answer that ends as if it were whole: the mirror is cut instead, and the
   * caller resumes from what it has.
   */
  take (part: AnswerPart): void {
    if (this.movedAway) return
    if (part.offset > this.tokens.length) return this.cut()
    if (part.offset + part.tokens.length > this.tokens.length) this.tokens.push(...part.tokens.slice(this.tokens.length - part.offset))
    this.started ||= part.started
    this.movedAway ||= part.movedAway
    this.final ??= part.final
    this.#listeners.notify()
  }

  /** The holder cannot be reached: the caller asks again, and by then its heir may hold the answer. */
  cut (): void {
    if (this.final) return
    this.movedAway = true
    this.#listeners.notify()
  }

  /** The holder is gone and nobody carries the answer on. */
  lose (reason: string): void {
    this.final ??= { outcome: 'unknown', reason, retryAfterMs: undefined }
    this.#listeners.notify()
  }
}

/** Part of an answer on its way between daemons. */
export interface AnswerPart { offset: number, tokens: readonly string[], started: boolean, movedAway: boolean, final: FinalWord | undefined }
