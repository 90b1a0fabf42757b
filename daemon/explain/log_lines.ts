/** Parser of the daemons' structured logs. */
import type { DaemonEvents, LogEvent, RequestEvents } from '../log/index.ts'

/** Fields common to all lines. */
interface LineBase {
  /** Time in milliseconds since the epoch, by the daemon's system clock. */
  atMs: number
  daemon: string
  /** Identifies the process; changes if the daemon restarts. */
  process: string
}

/** A line about a request. */
export type RequestLine = { [E in keyof RequestEvents]: LineBase & { event: E, request: string, fields: RequestEvents[E] } }[keyof RequestEvents]
/** A line about a daemon or the state it keeps of the system. */
export type DaemonLine = { [E in keyof DaemonEvents]: LineBase & { event: E, request?: undefined, fields: DaemonEvents[E] } }[keyof DaemonEvents]
/** Any line that a daemon logs. */
export type LogLine = RequestLine | DaemonLine

/**
 * Parses a log of one daemon, or the concatenated logs of several.
 *
 * Text before a line's JSON object, such as a time or host name added by a log collector, is ignored, as are lines without an object.
 * @returns The lines, sorted by time.
 */
export function readLog (text: string): LogLine[] {
  const lines = text.split('\n').flatMap((line) => parseLine(line) ?? [])
  return lines.sort((a, b) => a.atMs - b.atMs)
}

function parseLine (text: string): LogLine | undefined {
  const from = text.indexOf('{"level"')
  if (from < 0) return undefined
  try {
    const { level: _level, time, daemon, process, event, request, ...fields } = JSON.parse(text.slice(from)) as Record<string, unknown> & { time: string, event: LogEvent }
    return { atMs: Date.parse(time), daemon, process, event, request, fields } as LogLine
  } catch {
    // The last line of a killed process may be truncated.
    return undefined
  }
}
