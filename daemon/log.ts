/** Structured log lines, for changes of state only; everything that repeats is a counter. */
import createDebug from 'debug'

/** Writes one line: an event and its fields. */
export type Log = (event: string, fields?: Record<string, unknown>) => void

/** Builds the log of one part of the daemon; `DEBUG=verbenatiller:*` shows it. */
export function logOf (part: string): Log {
  const write = createDebug(`verbenatiller:${part}`)
  return (event, fields = {}) => write('%s %o', event, fields)
}
