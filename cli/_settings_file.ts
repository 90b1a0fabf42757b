/** Reading of a settings file that may be rewritten at the same time. */
import { delay, steadyNow } from '../core/time/index.ts'

/** Longest time for which a file may be incomplete, in milliseconds. */
const WRITE_TIMEOUT_MS = 3000
const POLL_INTERVAL_MS = 50

/**
 * Reads a file that may be missing or incomplete while it is being written.
 * @param read Reads and validates the file.
 * @throws {Error} The last error of `read`, if it still fails after three seconds.
 */
export async function readOnceWritten<T> (read: () => T): Promise<T> {
  const giveUpAtMs = steadyNow() + WRITE_TIMEOUT_MS
  for (;;) {
    try {
      return read()
    } catch (err) {
      if (steadyNow() >= giveUpAtMs) throw err
    }
    await delay(POLL_INTERVAL_MS)
  }
}
