/** Whether an answer is read from where it comes, or pauses since its caller does not take it. */
import { steadyNow } from '../../core/time/index.ts'
import type { Attachment } from '../../endpoints/index.ts'

/** Time after a pause in which an answer that breaks off is not held against its endpoint, in milliseconds: an endpoint cuts off an answer that nobody reads. */
const CUT_OFF_MS = 1000

/** Pauses the answer of one request, across its attempts. */
export class AnswerFlow {
  readonly #attachment: () => Attachment | undefined
  #paused = false
  #resumedAtMs = -Infinity

  /** @param attachment Returns the current attempt. */
  constructor (attachment: () => Attachment | undefined) {
    this.#attachment = attachment
  }

  /** Since when the answer has been read without a pause, in milliseconds on the steady clock; `Infinity` while it pauses. */
  get readingSinceMs (): number { return this.#paused ? Infinity : this.#resumedAtMs }

  /** True while the answer pauses, and shortly after. */
  get pausedLately (): boolean { return this.readingSinceMs > steadyNow() - CUT_OFF_MS }

  /** Must be called when an attempt has started. */
  started (): void {
    if (this.#paused) this.#attachment()?.pause?.()
  }

  /** Stops reading until {@linkcode AnswerFlow.resume}. */
  pause (): void {
    this.#paused = true
    this.#attachment()?.pause?.()
  }

  /** Reads on. */
  resume (): void {
    if (!this.#paused) return
    this.#paused = false
    this.#resumedAtMs = steadyNow()
    this.#attachment()?.resume?.()
  }
}
