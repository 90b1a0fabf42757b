/** Structured logging: one JSON object per line, on standard output by default. */
import { randomUUID } from 'node:crypto'
import type { Logger } from 'pino'
import { delay, steadyNow } from '../../core/time/index.ts'
import { boundFields } from './bound_fields.ts'
import { WARNING_EVENTS, type DaemonEvents, type LogEvent, type RequestEvents } from './events.ts'
import { LogRateLimiter } from './log_rate_limiter.ts'

/** Options of {@linkcode startLog}. */
export interface StartLogOptions {
  /** Name of the daemon, included in every line. */
  daemon: string
  /** File descriptor. Default 1, standard output. */
  fd?: number
  /**
   * Lines are held back until this settles, and only then the log library is loaded, which would add 15 ms to the startup that callers wait
   * for. Default: load at once.
   */
  after?: Promise<unknown>
}

/**
 * Maximum size of buffered lines, in bytes; further lines are dropped.
 *
 * Guards against a pipe that nobody reads: blocking on it would stall the daemon and all its requests.
 */
const MAX_BUFFERED_BYTES = 1 << 20
/** Buffered lines are written once they reach this size, in bytes. */
const MIN_WRITE_BYTES = 4096
const FINAL_FLUSH_TIMEOUT_MS = 200
/** Interval at which buffered lines are written, in milliseconds; a process that is killed loses up to this much of its log. */
const FLUSH_INTERVAL_MS = 250

interface Line { event: LogEvent, fields: object }

let logger: Logger | undefined
/** False while a write has failed or is under way. */
let isWritable = true
/** Lines logged while the log library is being loaded. */
let pendingLines: Line[] | undefined
const rateLimiter = new LogRateLimiter()

/** Starts logging; lines logged before this call are discarded. */
export async function startLog (options: StartLogOptions): Promise<void> {
  pendingLines = []
  await options.after
  const { default: pino } = await import('pino')
  const destination = pino.destination({ fd: options.fd ?? 1, sync: false, minLength: MIN_WRITE_BYTES, maxLength: MAX_BUFFERED_BYTES })
  destination.on('write', () => { isWritable = true })
  destination.on('error', () => { isWritable = false })
  const flushSync = destination.flushSync.bind(destination)
  // Called at the exit; it would retry a failed write, or wait for a reader, without end.
  destination.flushSync = () => { if (isWritable) flushSync() }
  // Distinguishes restarts of a daemon: lines of an earlier process say nothing about the current one.
  const base = { daemon: options.daemon, process: randomUUID().slice(0, 8) }
  logger = pino({ base, timestamp: pino.stdTimeFunctions.isoTime, formatters: { level: (level) => ({ level }) } }, destination)
  setInterval(() => {
    const counts = rateLimiter.takeDropped()
    if (counts) logger!.warn({ event: 'lines-left-out', counts })
    isWritable = false
    destination.flush()
  }, FLUSH_INTERVAL_MS).unref()
  for (const line of pendingLines) writeLine(line)
  pendingLines = undefined
}

/**
 * Writes buffered lines before the process exits.
 * @returns False if a write is still under way after a timeout, since the pipe may have no reader.
 */
export async function flushLog (): Promise<boolean> {
  const written = new Promise<boolean>((resolve) => (logger ? logger.flush(() => resolve(true)) : resolve(true)))
  return await Promise.race([written, delay(FINAL_FLUSH_TIMEOUT_MS).then(() => false)])
}

/** Logs an event about the daemon or the state it keeps of the system. */
export function log<E extends keyof DaemonEvents> (event: E, fields: DaemonEvents[E]): void {
  write(event, fields)
}

/** Logs an event about a request. */
export function logRequest<E extends keyof RequestEvents> (request: string, event: E, fields: RequestEvents[E]): void {
  write(event, { request, ...fields })
}

/** Writes one line unless the rate limit is reached; never blocks. */
function write (event: LogEvent, fields: object): void {
  if (!logger && !pendingLines) return
  if (!rateLimiter.tryAcquire(event, { warning: WARNING_EVENTS.has(event), now: steadyNow() })) return
  const line = { event, fields: boundFields(fields) }
  if (pendingLines) pendingLines.push(line)
  else writeLine(line)
}

function writeLine ({ event, fields }: Line): void {
  if (WARNING_EVENTS.has(event)) logger!.warn({ event, ...fields })
  else logger!.info({ event, ...fields })
}
