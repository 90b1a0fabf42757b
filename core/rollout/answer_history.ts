/** Keeps earlier answer counts, to detect a version that degrades late. */
import { answersSince, type Answers } from './answers.ts'

/** Lengths of the trailing windows that are compared in addition to the whole rollout, in milliseconds. */
const WINDOWS_MS = [1000, 3000]

/** Keeps snapshots of the counts over the longest window. */
export class AnswerHistory {
  #snapshots: Array<{ atMs: number, answers: Answers }> = []

  /**
   * Records a snapshot of the counts, which must not be modified afterwards, and returns the answers within each window.
   *
   * Counted since the order, a version that was good for a while and is bad now would still look half good for as long again.
   */
  record (answers: Answers, now: number): Answers[] {
    this.#snapshots = this.#snapshots.filter(({ atMs }) => atMs > now - Math.max(...WINDOWS_MS) - WINDOWS_MS[0]!)
    const windows = WINDOWS_MS.flatMap((ms) => {
      const before = this.#snapshots.findLast(({ atMs }) => atMs <= now - ms)
      return before ? [answersSince(answers, before.answers)] : []
    })
    this.#snapshots.push({ atMs: now, answers })
    return windows
  }
}
