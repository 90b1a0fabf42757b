import type { RequestEvents } from '../log/index.ts'
import { BACK_OFF_REASON, CUT_OFF_REASON, VERSION_GONE_REASON } from '../request/dispatcher.ts'
import type { DaemonLine, LogLine, RequestLine } from './log_lines.ts'

/** Log lines from which a request's outcome is explained. */
export interface Evidence {
  /** Lines that name the request. */
  requestLines: readonly RequestLine[]
  /** Lines about the state of the daemons that handled it at the time. */
  context: readonly DaemonLine[]
  /** All lines that were read. */
  lines: readonly LogLine[]
}

/** A daemon that logs nothing for this long after a request's last line is taken to have crashed, in milliseconds. */
const CRASH_SILENCE_MS = 3000

/** A revision that arrives within this time after a refusal may have been accepted before it, in milliseconds. */
const LATE_CONFIG_MS = 5000
/** A return of the store within this time before a request may have lost its configuration, in milliseconds. */
export const STORE_RETURN_MS = 30_000

/** Returns the most likely cause of a request's outcome. */
export function causeOf (evidence: Evidence): string {
  const { requestLines, context } = evidence
  if (requestLines.length === 0) {
    return context.length > 0
      ? 'no line names it; lines were left out under load (lines-left-out), so it may have come in that time'
      : 'no line names it: it reached none of these daemons, or not its whole head did'
  }
  const refused = last(requestLines, 'request-refused')
  if (refused) return causeOfRefusal(refused, evidence)
  const broke = last(requestLines, 'request-broke')
  if (broke) return `a fault of the daemon's: ${broke.why}`
  const ended = last(requestLines, 'request-ended')
  return ended ? causeOfEnd(ended, evidence) : causeOfMissingEnd(evidence)
}

function causeOfRefusal (f: RequestEvents['request-refused'], { requestLines, context, lines }: Evidence): string {
  switch (f.status) {
    case 401:
    case 404: {
      const what = f.status === 401 ? 'its credential' : 'a route for it'
      const process = requestLines.at(-1)!.process
      const { atMs } = requestLines.at(-1)!
      const newer = lines.find((line) => line.event === 'config-in-force' && line.process === process && line.atMs >= atMs && line.atMs <= atMs + LATE_CONFIG_MS)
      const age = f.revisionAgeMs === undefined ? 'never confirmed' : `confirmed ${Math.round(f.revisionAgeMs)} ms before`
      const later = newer?.event === 'config-in-force' ? `; revision ${newer.fields.revision} came ${newer.atMs - atMs} ms later` : ''
      const returned = lines.findLast((line) => line.event === 'store-returned' && line.process === process && line.atMs <= atMs && line.atMs >= atMs - STORE_RETURN_MS)
      const lost = returned?.event === 'store-returned' ? `; the store had returned to an older copy (era ${returned.fields.era}) ${atMs - returned.atMs} ms before` : ''
      return `configuration: revision ${f.revision} (${age}) does not have ${what}${later}${lost}`
    }
    case 429: {
      const keeper = context.some((line) => line.event === 'keeper-silent' || line.event === 'keeper-chosen')
      return keeper
        ? `over quota: account ${f.account} had no room while the daemon that counts quotas changed`
        : `over quota: account ${f.account} had used up what it may${describeRoom(f)}`
    }
    case 503: {
      const found = last(requestLines, 'stream-version')
      if (f.bodyBytes !== undefined) return `memory: ${f.why}`
      return found ? `version: ${describeStreamVersion(found)}` : 'no configuration: the daemon had just started and the store had not answered'
    }
    case 408: return 'caller: its request did not come whole in time'
    default: return `caller: ${f.why}`
  }
}

/** Describes why a stream that its caller resumed was refused. */
function describeStreamVersion ({ stream, result, pool, answered, waitedMs }: RequestEvents['stream-version']): string {
  const name = stream ?? 'a stream that its caller did not name'
  if (pool !== undefined) return `${name} began at ${pool}, which does not serve its route any more`
  if (result === 'unreachable') return `no other daemon answered within ${waitedMs} ms at which version ${name} began`
  return `none of ${answered} daemons knew at which version ${name} began, and its pool has had several or may have`
}

function describeRoom ({ cost, room }: RequestEvents['request-refused']): string {
  return cost === undefined || room === undefined ? '' : ` (${Math.round(room)} left, it costs ${cost})`
}

function causeOfEnd (f: RequestEvents['request-ended'], evidence: Evidence): string {
  const replaced = last(evidence.requestLines, 'answer-replaced')
  if (replaced) return `endpoint: it answered ${replaced.status} and did not say that it has not run the request, so that the caller got ${replaced.by}`
  if (f.outcome === 'answered') return causeOfAnswer(f, evidence)
  const evicted = last(evidence.requestLines, 'answer-evicted')
  if (evicted) return `caller: it took nothing for ${evicted.unreadMs} ms, and its answer was broken off since memory was short`
  if (f.why === 'caller left') return `caller left after ${Math.round(f.afterMs)} ms of ${Math.round(f.deadlineMs)}: ${describeTimeSpent(f, evidence)}`
  if (f.why.startsWith('deadline')) return `deadline: ${describeTimeSpent(f, evidence)}`
  const held = last(evidence.requestLines, 'request-held')
  if (held) return describeHeld(held)
  if (f.why === BACK_OFF_REASON) return `endpoints asked for time: ${describeBackOffs(evidence)}`
  if (f.why === CUT_OFF_REASON) return `cut off: ${describeCutOff(evidence)}`
  if (f.why === VERSION_GONE_REASON) return `version: ${describeVersionGone(evidence)}`
  if (f.why === 'no room in time') return `no room: ${describeQueue(evidence)}`
  const delegateFailed = last(evidence.requestLines, 'delegate-failed')
  if (delegateFailed) return `cut off: ${delegateFailed.to}, which ran it instead, ${delegateFailed.point === 'delegate-lost' ? 'was lost' : 'did not answer it'} after ${delegateFailed.pieces} pieces (${delegateFailed.why})`
  const failed = last(evidence.requestLines, 'attempt-failed')
  return failed ? causeOfFailure(failed, evidence) : `${f.outcome}: ${f.why}`
}

function describeHeld ({ fingerprint, part }: RequestEvents['request-held']): string {
  if (part === undefined) return `caller: endpoints that ran requests like it crashed; request-quarantined of ${fingerprint} names them`
  return `caller: endpoints crashed that ran requests with ${part} in their prompts; part-quarantined of it names them`
}

function causeOfAnswer (f: RequestEvents['request-ended'], evidence: Evidence): string {
  if (f.status !== undefined && f.status >= 500) return `endpoint: it answered ${f.status} itself`
  const failed = last(evidence.requestLines, 'attempt-failed')
  const started = last(evidence.requestLines, 'attempt-started')
  const delegated = last(evidence.requestLines, 'attempt-delegated')
  if (delegated) return `answered by way of ${delegated.to}, since no endpoint of ${delegated.pool} could be reached from its own daemon`
  if (failed) return `answered after a repeat: ${causeOfFailure(failed, evidence)}`
  if (started?.withinTarget === false) return `answered, late for want of room: ${started.running} of ${started.slots} places taken at its endpoint`
  return 'answered whole'
}

const REPEAT_SUFFIXES: Record<RequestEvents['attempt-failed']['repeat'], string> = {
  allowed: '',
  'over-budget': '; no repeat was left in the budget',
  suspected: '; it was not repeated, since endpoints that ran requests with the same prompt parts crashed',
  'not-allowed': '; it may not be repeated',
  'current-goes-on': '; the attempt before it went on'
}

function causeOfFailure (f: RequestEvents['attempt-failed'], { context }: Evidence): string {
  const leaving = f.endpointLeaving || context.some((line) => (line.event === 'endpoint-leaving' || line.event === 'endpoint-gone') && line.fields.endpoint === f.endpoint)
  const end = REPEAT_SUFFIXES[f.repeat]
  switch (f.point) {
    case 'endpoint-error': return `endpoint: ${f.endpoint} answered ${f.status ?? 'with a failure'}${end}`
    case 'endpoint-said-not-run': return `endpoint full or leaving: ${f.endpoint} turned it away${end}`
    case 'foreign-answer': return `endpoint: what came from ${f.endpoint} was not its answer${end}`
    case 'endpoint-gone':
    case 'connect-refused':
    case 'connect-timeout': return `endpoint gone: ${f.endpoint} was not there any more${end}`
    case 'withheld': return `endpoint asked for time: ${f.endpoint} did so before its connection was open${end}`
    case 'before-send': return `no connection to ${f.endpoint} was free${end}`
    default: return `${leaving ? 'reclaim' : 'crash'}: ${f.endpoint} ${leaving ? 'left' : 'broke off'} after ${f.pieces} pieces${end}`
  }
}

/** Describes where a request without an answer spent its time. */
function describeTimeSpent (f: RequestEvents['request-ended'], { requestLines }: Evidence): string {
  const started = requestLines.findLast((line) => line.event === 'attempt-started')
  if (!started) return 'it waited for room at an endpoint all the time'
  const endpoint = started.event === 'attempt-started' ? started.fields.endpoint : ''
  const atEndpointMs = requestLines.at(-1)!.atMs - started.atMs
  if (f.firstPieceMs === undefined) return `${endpoint} gave no word for ${atEndpointMs} ms`
  return `${endpoint} was still writing after ${atEndpointMs} ms (${f.pieces} pieces, longest pause ${Math.round(f.longestPauseMs ?? 0)} ms)`
}

/** Describes at which version a stream began that no endpoint could continue. */
function describeVersionGone ({ requestLines }: Evidence): string {
  const version = last(requestLines, 'stream-version')?.version ?? last(requestLines, 'attempt-started')?.version
  const pieces = last(requestLines, 'attempt-failed')?.pieces
  return `the stream began at ${version}, of which no endpoint was left${pieces ? ` after ${pieces} pieces` : ''}`
}

/** Describes how the request's pool was cut off from its daemon. */
function describeCutOff ({ context }: Evidence): string {
  const cutOff = context.findLast((line) => line.event === 'pool-cut-off')
  if (cutOff?.event !== 'pool-cut-off') return 'no endpoint of its pool could be reached, and no other daemon offered to run it'
  return `no endpoint of ${cutOff.fields.pool} could be reached, and no other daemon had room (${cutOff.fields.delegates.length} offered some at first)`
}

function describeQueue ({ requestLines }: Evidence): string {
  const noRoom = last(requestLines, 'request-no-room')
  if (noRoom) return `what waits at the endpoints of ${noRoom.pool} takes ${Math.round(noRoom.waitMs)} ms, longer than the ${Math.round(noRoom.allowedMs)} ms that would be in time`
  const waits = last(requestLines, 'request-waits')
  return waits ? `it waited behind ${waits.ahead} others for one of ${waits.candidates} endpoints` : 'every endpoint was full and the wait would have been too long'
}

/** Names the endpoints of the request's pool that had asked for time. */
function describeBackOffs ({ context }: Evidence): string {
  const endpoints = new Set(context.flatMap((line) => (line.event === 'endpoint-backs-off' ? [line.fields.endpoint] : [])))
  return endpoints.size > 0 ? [...endpoints].join(', ') : 'before the log begins'
}

/** Explains a request without a `request-ended` line: its daemon was killed or hung, or the log is truncated. */
function causeOfMissingEnd ({ requestLines, lines }: Evidence): string {
  const { daemon, process, atMs } = requestLines.at(-1)!
  const later = lines.filter((line) => line.daemon === daemon && line.atMs > atMs)
  const other = later.find((line) => line.process !== process)
  if (other) return `daemon killed: ${daemon} ended in the middle of it, and started again ${other.atMs - atMs} ms later`
  const end = lines.at(-1)!.atMs
  if (later.length === 0 && end - atMs > CRASH_SILENCE_MS) return `daemon killed or cut off: ${daemon} logged nothing after it`
  return 'still under way where the log ends, or its last line was left out'
}

function last<E extends keyof RequestEvents> (requestLines: readonly RequestLine[], event: E): RequestEvents[E] | undefined {
  return requestLines.findLast((line) => line.event === event)?.fields as RequestEvents[E] | undefined
}
