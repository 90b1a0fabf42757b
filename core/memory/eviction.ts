/** Which entries end, and in which order, when more is held than may be. */

/** An entry that may be ended. */
export type EvictionCandidate = UnsentBody | UnreadAnswer

/** Body of a request that has not been sent to an endpoint. */
export interface UnsentBody {
  type: 'body'
  bytes: number
  /** Milliseconds on the steady clock. */
  deadlineAtMs: number
  /** Time that the rest of the request takes at least, in milliseconds. */
  neededMs: number
}

/** Answer whose caller takes nothing. */
export interface UnreadAnswer {
  type: 'answer'
  bytes: number
  /** When the caller last took anything, in milliseconds on the steady clock. */
  takenAtMs: number
  /** True if the request may be sent again, or its stream resumed. */
  repeatable: boolean
}

/** Options of {@linkcode selectEvictions}. */
export interface EvictionOptions {
  /** Bytes to be given back. */
  excessBytes: number
  /** Milliseconds on the steady clock. */
  now: number
  /** Time since a caller last took anything from which on its answer may be ended, in milliseconds. */
  unreadMs: number
}

/** Entries below this size are never ended, in bytes: it takes thousands of them to fill the smallest host. */
export const SMALL_ENTRY_BYTES = 16 * 1024

/**
 * Returns the entries to end, in order, until the excess is given back or none is left that may be ended.
 *
 * First bodies that cannot meet their deadline, largest first; then answers that can be repeated or resumed; then other answers; those unread for longest first.
 * Entries that are small, bodies that can meet their deadline, and answers that are being read are kept.
 */
export function selectEvictions<T extends EvictionCandidate> (candidates: Iterable<T>, { excessBytes, now, unreadMs }: EvictionOptions): T[] {
  const evictable = [...candidates].filter((each) => each.bytes >= SMALL_ENTRY_BYTES && (each.type === 'body' ? now + each.neededMs > each.deadlineAtMs : now - each.takenAtMs >= unreadMs))
  const selected: T[] = []
  let excess = excessBytes
  for (const each of evictable.sort((a, b) => rankOf(a) - rankOf(b) || orderInRank(a, b))) {
    if (excess <= 0) break
    selected.push(each)
    excess -= each.bytes
  }
  return selected
}

function rankOf (each: EvictionCandidate): number {
  if (each.type === 'body') return 0
  return each.repeatable ? 1 : 2
}

function orderInRank (a: EvictionCandidate, b: EvictionCandidate): number {
  return a.type === 'answer' && b.type === 'answer' ? a.takenAtMs - b.takenAtMs : b.bytes - a.bytes
}
