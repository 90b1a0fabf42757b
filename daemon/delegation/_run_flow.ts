/** Bounds what a delegate has sent of one answer and its origin has not received. */
import type { AnswerFlow } from '../request/_answer_flow.ts'

/** Bytes of one answer that may be on their way to the origin. */
export const WINDOW_BYTES = 256 * 1024

/** Pauses a run while its origin asks for it, or while a window of its answer is on its way. */
export class RunFlow {
  readonly #flow: Pick<AnswerFlow, 'pause' | 'resume'>
  readonly #confirms: boolean
  #sentBytes = 0
  #receivedBytes = 0
  #pausedByOrigin = false
  #paused = false

  /** @param options.confirms True if the origin confirms what it has received; without, only its pauses count. */
  constructor (flow: Pick<AnswerFlow, 'pause' | 'resume'>, { confirms }: { confirms: boolean }) {
    this.#flow = flow
    this.#confirms = confirms
  }

  /** Records that bytes of the answer were sent. */
  sent (bytes: number): void {
    this.#sentBytes += bytes
    this.#update()
  }

  /** Records how many bytes of the answer the origin has received in all. */
  received (bytes: number): void {
    this.#receivedBytes = Math.max(this.#receivedBytes, bytes)
    this.#update()
  }

  /** Records whether the origin wants no more for now. */
  setPaused (paused: boolean): void {
    this.#pausedByOrigin = paused
    this.#update()
  }

  #update (): void {
    const isFull = this.#confirms && this.#sentBytes - this.#receivedBytes >= WINDOW_BYTES
    const paused = this.#pausedByOrigin || isFull
    if (paused === this.#paused) return
    this.#paused = paused
    if (paused) this.#flow.pause()
    else this.#flow.resume()
  }
}
