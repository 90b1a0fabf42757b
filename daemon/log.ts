/** Structured log lines on standard output, one JSON object each. */
import pino, { type Logger } from 'pino'

/** Writes one line: an event and its fields. */
export type Log = (event: string, fields?: Record<string, unknown>) => void

/** Options of {@linkcode startLog}. */
export interface StartLogOptions {
  /** Name of the daemon, on every line. */
  daemon: string
  /** File descriptor. Default 1, standard output. */
  fd?: number
}

/**
 * Lines that wait to be written, in bytes, before further ones are lost.
 *
 * Guards against a pipe that nobody reads: a daemon that waited for it would stand still with all its requests.
 */
const MOST_WAITING_BYTES = 1 << 20
/** Lines are written together once there are so many bytes of them. */
const WRITE_AT_BYTES = 4096
const FLUSH_MS = 250

let logger: Logger | undefined

/** Begins to write; what is logged before goes nowhere. */
export function startLog (options: StartLogOptions): void {
  const destination = pino.destination({ fd: options.fd ?? 1, sync: false, minLength: WRITE_AT_BYTES, maxLength: MOST_WAITING_BYTES })
  logger = pino({ base: { daemon: options.daemon }, timestamp: pino.stdTimeFunctions.isoTime }, destination)
  setInterval(() => destination.flush(), FLUSH_MS).unref()
}

/** Writes what waits, before the process ends. */
export function flushLog (): void {
  logger?.flush()
}

/** Builds the log of one part of the daemon. */
export function logOf (part: string): Log {
  return (event, fields = {}) => logger?.info({ part, event, ...fields })
}
