/** Records how the answer of one request was put together, for its last log line. */
import { framingOf, type AddResult, type AnswerHead } from '../../core/answer/index.ts'
import type { RequestEvents } from '../log/index.ts'

/** Fields of `request-ended` about the answer's parts. Those that are zero are left out. */
export type AnswerParts = Pick<RequestEvents['request-ended'], 'framing' | 'withoutId' | 'dropped' | 'held'>

/** Counts what the attempts of one request sent beside the pieces that were passed on. */
export class AnswerRecord {
  #head: AnswerHead | undefined
  #withoutId = 0
  #held = 0
  readonly #dropped: Partial<Record<AddResult, number>> = {}

  /** Records the head of the attempt that has completed the answer. */
  ended (head: AnswerHead | undefined): void {
    this.#head = head
  }

  /** Records a block of an event stream that has no id. */
  withoutId (): void {
    this.#withoutId++
  }

  /** Records what became of a chunk. */
  added (result: AddResult): void {
    if (result === 'held') this.#held++
    else if (result !== 'taken') this.#dropped[result] = (this.#dropped[result] ?? 0) + 1
  }

  /** The fields for the log. */
  get parts (): AnswerParts {
    return {
      ...(this.#head && { framing: framingOf(this.#head) }),
      ...(this.#withoutId > 0 && { withoutId: this.#withoutId }),
      ...(Object.keys(this.#dropped).length > 0 && { dropped: this.#dropped }),
      ...(this.#held > 0 && { held: this.#held })
    }
  }
}
