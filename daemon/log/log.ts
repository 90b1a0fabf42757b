/** Structured log lines on standard output, one JSON object each. */
import { randomUUID } from 'node:crypto'
import type { Logger } from 'pino'
import { delay, steadyNow } from '../../core/time/index.ts'
import { TROUBLE, type DaemonEvents, type LogEvent, type RequestEvents } from './events.ts'
import { LineBudget } from './line_budget.ts'

/** Options of {@linkcode startLog}. */
export interface StartLogOptions {
  /** Name of the daemon, on every line. */
  daemon: string
  /** File descriptor. Default 1, standard output. */
  fd?: number
  /** Lines wait until this settles: loading the writer takes 15 ms of a start, which callers wait for. Default: at once. */
  after?: Promise<unknown>
}

/**
 * Lines that wait to be written, in bytes, before further ones are lost.
 *
 * Guards against a pipe that nobody reads: a daemon that waited for it would stand still with all its requests.
 */
const MOST_WAITING_BYTES = 1 << 20
/** Lines are written together once there are so many bytes of them. */
const WRITE_AT_BYTES = 4096
const LAST_FLUSH_MS = 200
/** Longest that a line waits for others, in milliseconds; so much is lost when the process is killed. */
const FLUSH_MS = 250

interface Line { event: LogEvent, fields: object }

let logger: Logger | undefined
/** Lines of the time in which the writer is loaded. */
let early: Line[] | undefined
const budget = new LineBudget()

/** Begins to write; what is logged before the call goes nowhere. */
export async function startLog (options: StartLogOptions): Promise<void> {
  early = []
  await options.after
  const { default: pino } = await import('pino')
  const destination = pino.destination({ fd: options.fd ?? 1, sync: false, minLength: WRITE_AT_BYTES, maxLength: MOST_WAITING_BYTES })
  // A daemon that was restarted is another process: what came before its start tells nothing of it.
  const base = { daemon: options.daemon, process: randomUUID().slice(0, 8) }
  logger = pino({ base, timestamp: pino.stdTimeFunctions.isoTime, formatters: { level: (level) => ({ level }) } }, destination)
  setInterval(() => {
    const counts = budget.takeLeftOut()
    if (counts) logger!.warn({ event: 'lines-left-out', counts })
    destination.flush()
  }, FLUSH_MS).unref()
  for (const line of early) writeLine(line)
  early = undefined
}

/** Writes what waits, before the process ends; gives up on a pipe that nobody reads. */
export async function flushLog (): Promise<void> {
  const written = new Promise<void>((resolve) => (logger ? logger.flush(() => resolve()) : resolve()))
  await Promise.race([written, delay(LAST_FLUSH_MS)])
}

/** Logs what changes the daemon's beliefs or its own life. */
export function log<E extends keyof DaemonEvents> (event: E, fields: DaemonEvents[E]): void {
  write(event, fields)
}

/** Logs a decision about a request. */
export function logRequest<E extends keyof RequestEvents> (request: string, event: E, fields: RequestEvents[E]): void {
  write(event, { request, ...fields })
}

/** Writes one line, unless the second has had too many; never blocks. */
function write (event: LogEvent, fields: object): void {
  if (!logger && !early) return
  if (!budget.spend(event, { trouble: TROUBLE.has(event), now: steadyNow() })) return
  if (early) early.push({ event, fields })
  else writeLine({ event, fields })
}

function writeLine ({ event, fields }: Line): void {
  if (TROUBLE.has(event)) logger!.warn({ event, ...fields })
  else logger!.info({ event, ...fields })
}
