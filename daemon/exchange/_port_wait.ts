/** Listening on ports that another process still uses. */
import { delay, steadyNow } from '../../core/time/index.ts'
import { log } from '../log/index.ts'

/** Longest wait for a port, in milliseconds: a connection that was closed may use its port for a minute. */
const PORT_WAIT_MS = 65_000
const POLL_INTERVAL_MS = 50
const IN_USE_CODE = 'EADDRINUSE'

/**
 * Calls a function that listens until its port is free.
 * @throws {Error} The error of the last call, if the port is still in use after 65 seconds, or for another reason at once.
 */
export async function whenPortIsFree (listen: () => Promise<unknown>): Promise<void> {
  const giveUpAtMs = steadyNow() + PORT_WAIT_MS
  for (let failures = 0; ; failures++) {
    try {
      await listen()
      return
    } catch (err) {
      const { code, message } = err as NodeJS.ErrnoException
      if (code !== IN_USE_CODE || steadyNow() >= giveUpAtMs) throw err
      if (failures === 0) log('port-in-use', { why: message })
    }
    await delay(POLL_INTERVAL_MS)
  }
}
