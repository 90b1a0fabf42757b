/** Reads the structured log of daemons back. */
import type { DaemonEvents, LogEvent, RequestEvents } from '../log/index.ts'

/** What every line says beside its own fields. */
interface LineBase {
  /** When, in milliseconds since the epoch by that daemon's time of day. */
  atMs: number
  daemon: string
  /** Changes when the daemon is restarted. */
  process: string
}

/** A decision about a request. */
export type RequestLine = { [E in keyof RequestEvents]: LineBase & { event: E, request: string, fields: RequestEvents[E] } }[keyof RequestEvents]
/** A change of what a daemon believes, or of its own life. */
export type DaemonLine = { [E in keyof DaemonEvents]: LineBase & { event: E, request?: undefined, fields: DaemonEvents[E] } }[keyof DaemonEvents]
/** One line of a log. */
export type LogLine = RequestLine | DaemonLine

/**
 * Reads a log, of one daemon or of several put together.
 *
 * Whatever stands before a line's object is passed over, as collectors put a time or a host's name there; so are lines that are no objects.
 * @returns The lines in order of time.
 */
export function readLog (text: string): LogLine[] {
  const lines = text.split('\n').flatMap((line) => lineOf(line) ?? [])
  return lines.sort((a, b) => a.atMs - b.atMs)
}

function lineOf (text: string): LogLine | undefined {
  const from = text.indexOf('{"level"')
  if (from < 0) return undefined
  try {
    const { level: _level, time, daemon, process, event, request, ...fields } = JSON.parse(text.slice(from)) as Record<string, unknown> & { time: string, event: LogEvent }
    return { atMs: Date.parse(time), daemon, process, event, request, fields } as LogLine
  } catch {
    // The last line of a process that was killed may be cut.
    return undefined
  }
}
