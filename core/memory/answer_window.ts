/** How much of an answer is held for a caller that does not take it. */
import type { MemoryAccount } from './memory_account.ts'

/** Largest window, in bytes: more than a connection with 100 ms of delay and 50 Mbit/s has on its way. */
export const MAX_WINDOW_BYTES = 1024 * 1024
/** Smallest window, in bytes: half of what one read from a socket may bring. */
export const MIN_WINDOW_BYTES = 32 * 1024
/** Fraction of the room below the low mark that one answer may take. */
const ROOM_FRACTION = 1 / 32

/** Returns the window of an answer in bytes: a fraction of the room that is left below the low mark. */
export function answerWindowBytes ({ yieldingBytes, lowMarkBytes }: Pick<MemoryAccount, 'yieldingBytes' | 'lowMarkBytes'>): number {
  return Math.min(MAX_WINDOW_BYTES, Math.max(MIN_WINDOW_BYTES, Math.floor((lowMarkBytes - yieldingBytes) * ROOM_FRACTION)))
}
