/** Follows a request while its stream moves to another endpoint. */
import type { AttemptError } from '../../core/outcome/index.ts'

/** Learns what becomes of the attempts of a request, and may hold the end of one that a move explains. */
export interface MoveObserver {
  /** Called after events were added; `position` is their number from the start of the stream. */
  passedOn (position: number): void
  /** Returns true if a failure does not count yet; `fail` makes it count, `record` only records what it shows of the endpoint. */
  holds (err: AttemptError, effects: { fail: () => void, record: () => void }): boolean
  /** Called when an answer without a length ended with its connection. Returns true if it may be incomplete; `fail` makes it count as such. */
  holdsClose (fail: () => void): boolean
  /** Called when the request ended, or is sent to an endpoint anew. `whole` is true if it was answered. Default: false. */
  ended (whole?: boolean): void
}
