/** Reconstructs the history of one request from the daemons' logs, with the likely cause of its outcome. */
import { describeDecision, type RequestEvents } from '../log/index.ts'
import { causeOf, STORE_RETURN_MS } from './_cause.ts'
import type { DaemonLine, LogLine, RequestLine } from './log_lines.ts'

/** One step in the history of a request. */
export interface Step {
  /** Milliseconds since the first line that names the request. */
  afterMs: number
  daemon: string
  text: string
}

/** History of a request and the cause of its outcome. */
export interface Explanation {
  steps: Step[]
  /** Description of the most likely cause. */
  cause: string
}

/** Lines about daemon state are included from this long before a request's first line up to its last, in milliseconds. */
const CONTEXT_MS = 1000
/** The same for entries that vanished from the registry, which are kept for up to 2.5 s. */
const HELD_ENTRIES_CONTEXT_MS = 3000
/** Time before a request in which its pool may have been cut off from the daemon, in milliseconds. */
const CUT_OFF_CONTEXT_MS = 30_000

/**
 * Explains a request.
 * @param lines Lines of all daemons that may have handled it, in order of time; see {@linkcode readLog}.
 * @example `explainRequest(readLog(text), '9c41d07be2a35f68').cause` gives "over quota: ...".
 */
export function explainRequest (lines: readonly LogLine[], request: string): Explanation {
  const requestLines = lines.filter((line): line is RequestLine => line.request === request)
  const first = requestLines[0]
  if (!first) return { steps: [], cause: causeOf({ requestLines: [], context: droppedLineEvents(lines), lines }) }
  const context = contextLines(lines, requestLines)
  const steps = [...requestLines, ...context].sort((a, b) => a.atMs - b.atMs).map((line): Step => ({
    afterMs: line.atMs - first.atMs,
    daemon: line.daemon,
    text: line.request === undefined ? describeDaemonLine(line) : describeRequestLine(line)
  }))
  return { steps, cause: causeOf({ requestLines, context, lines }) }
}

/** Selects the lines in which the daemons that handled the request logged changes of its endpoints, the store or the quota keeper. */
function contextLines (lines: readonly LogLine[], requestLines: readonly RequestLine[]): DaemonLine[] {
  const [first, last] = [requestLines[0]!, requestLines.at(-1)!]
  const processes = new Set(requestLines.map((line) => line.process))
  const endpoints = new Set(requestLines.flatMap((line) => (line.event === 'attempt-started' ? [line.fields.endpoint] : [])))
  const pools = poolsOf(requestLines)
  const stages = rolloutStages(lines, requestLines)
  return lines.filter((line): line is DaemonLine => {
    if (line.event === 'rollout-stage') return stages.has(line)
    if (line.request !== undefined || !processes.has(line.process)) return false
    // Explains why the request was not sent to the endpoint, so that no line of the request names it.
    if (line.event === 'endpoint-backs-off') return pools.has(line.fields.pool) && line.atMs <= last.atMs && line.atMs + line.fields.forMs >= first.atMs
    if (line.event === 'pool-cut-off' || line.event === 'pool-reached') return pools.has(line.fields.pool) && line.atMs <= last.atMs && line.atMs >= first.atMs - CUT_OFF_CONTEXT_MS
    if (line.event === 'store-returned') return line.atMs <= last.atMs && line.atMs >= first.atMs - STORE_RETURN_MS
    if (line.atMs < first.atMs - HELD_ENTRIES_CONTEXT_MS || line.atMs > last.atMs) return false
    if (line.event === 'endpoints-held') return line.fields.endpoints.some((endpoint) => endpoints.has(endpoint))
    if (line.atMs < first.atMs - CONTEXT_MS) return false
    switch (line.event) {
      case 'endpoint-leaving':
      case 'endpoint-gone':
      case 'endpoint-crashed':
      case 'endpoint-avoided': return endpoints.has(line.fields.endpoint)
      case 'endpoints-back':
      case 'endpoints-not-back': return line.fields.endpoints.some((endpoint) => endpoints.has(endpoint))
      case 'store-lost':
      case 'store-back':
      case 'keeper-silent':
      case 'keeper-chosen':
      case 'config-in-force':
      case 'daemon-started':
      case 'daemon-draining': return true
      default: return false
    }
  })
}

/** Selects the rollout stages that explain a request's version: the stage of its pool when it was sent, and later ones until its end. */
function rolloutStages (lines: readonly LogLine[], requestLines: readonly RequestLine[]): Set<LogLine> {
  const [first, last] = [requestLines[0]!, requestLines.at(-1)!]
  const pools = poolsOf(requestLines)
  const known = lines.filter((line) => line.event === 'rollout-stage' && line.process === first.process && pools.has(line.fields.pool) && line.atMs <= last.atMs)
  const before = known.findLast((line) => line.atMs < first.atMs)
  return new Set([...(before ? [before] : []), ...known.filter((line) => line.atMs >= first.atMs)])
}

function poolsOf (requestLines: readonly RequestLine[]): Set<string> {
  return new Set(requestLines.flatMap((line) => (line.event === 'request-taken' ? [line.fields.pool] : [])))
}

function droppedLineEvents (lines: readonly LogLine[]): DaemonLine[] {
  return lines.filter((line): line is DaemonLine => line.event === 'lines-left-out')
}

function describeRequestLine (line: RequestLine): string {
  return describeDecision(line.event, line.fields as RequestEvents[typeof line.event])
}

function describeDaemonLine (line: DaemonLine): string {
  return `(${line.event}: ${Object.entries(line.fields).map(([name, value]) => `${name} ${typeof value === 'object' ? JSON.stringify(value) : String(value)}`).join(', ')})`
}
