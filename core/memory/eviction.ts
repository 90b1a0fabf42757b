/** Which answers end, and in which order, when more is held than may be. */

/** Answer whose caller takes nothing. */
export interface UnreadAnswer {
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
 * Returns the answers to end, in order, until the excess is given back or none is left that may be ended.
 *
 * First those that can be repeated or resumed, then the others; those unread for longest first. Answers that are small or being read are kept.
 */
export function selectEvictions<T extends UnreadAnswer> (candidates: Iterable<T>, { excessBytes, now, unreadMs }: EvictionOptions): T[] {
  const evictable = [...candidates].filter(({ bytes, takenAtMs }) => bytes >= SMALL_ENTRY_BYTES && now - takenAtMs >= unreadMs)
  const selected: T[] = []
  let excess = excessBytes
  for (const each of evictable.sort((a, b) => Number(b.repeatable) - Number(a.repeatable) || a.takenAtMs - b.takenAtMs)) {
    if (excess <= 0) break
    selected.push(each)
    excess -= each.bytes
  }
  return selected
}
