/** Queue in an order by score, as a baseline for the ways in which requests wait. */
import type { QueuedRequest, RequestQueue } from '../core/admission/index.ts'
import { steadyNow } from '../core/time/index.ts'

/** Returns the rank of a request that has waited for some time; the lowest goes next. */
export type Score = (entry: QueuedRequest<unknown>, waitedMs: number) => number

/** Priority that grows with the wait: a request that is not urgent overtakes urgent ones that come a second later. */
export const byAgeingPriority: Score = ({ urgent }, waitedMs) => (urgent ? 0 : 1000) - waitedMs
/** Most worth for each token, taking the worth of a class as equal for each request. */
export const byWorthOfWork: Score = ({ tokens }) => tokens

/** Starts the request with the lowest score; requests that can no longer start in time are dropped. */
export class OrderedQueue<T> implements RequestQueue<T> {
  readonly #score: Score
  readonly #entries = new Map<QueuedRequest<T>, number>()

  constructor (score: Score) {
    this.#score = score
  }

  get length (): number { return this.#entries.size }
  get urgentLength (): number { return [...this.#entries.keys()].filter(({ urgent }) => urgent).length }
  push (entry: QueuedRequest<T>): void { this.#entries.set(entry, steadyNow()) }
  ahead (): number { return this.#entries.size }
  remove (entry: QueuedRequest<T>): void { this.#entries.delete(entry) }
  find (matches: (entry: QueuedRequest<T>) => boolean): QueuedRequest<T> | undefined { return [...this.#entries.keys()].find(matches) }

  peek (): QueuedRequest<T> | undefined {
    const now = steadyNow()
    let best: { entry: QueuedRequest<T>, score: number } | undefined
    for (const [entry, atMs] of this.#entries) {
      const score = this.#score(entry, now - atMs)
      if (!best || score < best.score) best = { entry, score }
    }
    return best?.entry
  }

  expire (now: number, delayMs: (item: T) => number = () => 0): QueuedRequest<T>[] {
    const expired = [...this.#entries.keys()].filter(({ startByMs, item }) => startByMs <= now + delayMs(item))
    for (const entry of expired) this.#entries.delete(entry)
    return expired
  }
}
