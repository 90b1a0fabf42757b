/** Human-readable descriptions of the decisions about a request. */
import type { CutExchange, RequestEvents } from './events.ts'

type Describers = { [E in keyof RequestEvents]: (fields: RequestEvents[E]) => string }

const ms = (value: number) => `${Math.round(value)} ms`
const configSuffix = (revision: number, ageMs: number | undefined) => `configuration ${revision}${ageMs === undefined ? ', never confirmed' : `, confirmed ${ms(ageMs)} before`}`
const retryHint = (retryAfterMs: number | undefined) => (retryAfterMs === undefined || !Number.isFinite(retryAfterMs) ? '' : `; to come back in ${ms(retryAfterMs)}`)

const cutSuffix = (f: CutExchange) => `${ms(f.sinceMs)} after the drain began: ${f.phase}${f.endpoint === undefined ? '' : ` at ${f.endpoint}`}, ${f.pieces} pieces, ${f.unsentBytes} bytes not sent`

const DESCRIBERS: Describers = {
  'request-taken': (f) => `taken for ${f.account}: class ${f.class}, pool ${f.pool}, ${f.promptTokens} prompt tokens, ${ms(f.deadlineInMs)} left${f.fromPiece > 0 ? `, from piece ${f.fromPiece} of the stream that began as ${f.stream ?? 'an unnamed request'}` : ''} (${configSuffix(f.revision, f.revisionAgeMs)})`,
  'request-refused': (f) => `refused with ${f.status}: ${f.why}${retryHint(f.retryAfterMs)} (${configSuffix(f.revision, f.revisionAgeMs)})`,
  'stream-version': (f) => (f.version === undefined && f.pool === undefined ? `at which version it began is ${f.result}${f.cause === undefined ? '' : ` (${f.cause})`}, ${f.answered} daemons answered` : `began at ${f.version ?? 'an endpoint without a version'} of ${f.pool} (${f.daemon === undefined ? 'its only version' : `passed on by ${f.daemon}`}, ${f.answered} daemons answered in ${ms(f.waitedMs)})`),
  'request-broke': (f) => `the daemon failed: ${f.why}`,
  'request-no-room': (f) => `no room in ${f.pool}: a wait of ${ms(f.waitMs)}, allowed ${ms(f.allowedMs)}${retryHint(f.retryAfterMs)}`,
  'request-waits': (f) => `waits: no room at any of ${f.candidates} endpoints of ${f.pool}, ${f.ahead} ahead, ${ms(f.expectedMs)} expected`,
  'request-spilled': (f) => `sent to ${f.endpoint} in ${f.region}, ${f.roundTripMs.toFixed(0)} ms away: ${f.why}`,
  'request-diverted': (f) => `no permit for ${f.endpoint}, which takes ${f.perS} requests a second`,
  'request-held': (f) => `held for ${ms(f.forMs)}: endpoints that ran requests like it crashed (${f.part === undefined ? `fingerprint ${f.fingerprint}` : f.part})`,
  'attempt-started': (f) => {
    const prediction = f.predictedMs === undefined ? '' : `: first piece in ${ms(f.predictedMs)}, ${f.withinTarget ? 'within' : 'over'} target`
    return `attempt ${f.attempt} on ${f.endpoint}${f.version === undefined ? '' : ` (${f.version})`}, ${f.mode} from piece ${f.fromPiece}${prediction}`
  },
  'attempt-failed': (f) => `attempt ${f.attempt} on ${f.endpoint} failed: ${f.point}, repeat ${f.repeat}`,
  'backup-adopted': (f) => `attempt ${f.attempt} on ${f.endpoint} takes the place of the one before from piece ${f.pieces}, after ${ms(f.afterMs)}`,
  'backup-stopped': (f) => `attempt ${f.attempt} on ${f.endpoint} stopped after ${ms(f.afterMs)}: the one before goes on, or the request has ended`,
  'attempt-delegated': (f) => `attempt ${f.attempt} by ${f.to}, since no endpoint of ${f.pool} can be reached from here; from piece ${f.fromPiece}, ${f.inFlight} others there, offer ${ms(f.offerAgeMs)} old`,
  'delegate-failed': (f) => `attempt ${f.attempt} by ${f.to} failed: ${f.point}, repeat ${f.repeat}`,
  'request-taken-for': (f) => `taken for ${f.origin}, which cannot reach ${f.pool}: ${ms(f.deadlineInMs)} left, from piece ${f.fromPiece}, ${f.maxAttempts} endpoints at most`,
  'stream-moved': (f) => `reclaim of ${f.endpoint}: ${f.action}${f.target === undefined ? '' : ` at ${f.target}`}`,
  'stream-move-ended': (f) => `move from ${f.endpoint} to ${f.target}: ${f.outcome} after ${ms(f.tookMs)}, ${f.kvTokens} tokens, ${f.orders} orders to stop${f.why === undefined ? '' : ` (${f.why})`}`,
  'export-failed': (f) => `export of the KV cache at ${f.endpoint} failed, planning again`,
  'stream-taken-over': (f) => `taken over at token ${f.fromPiece}${f.endpoint === undefined ? ', waiting for room' : ` on ${f.endpoint}`}`,
  'answer-replaced': (f) => `answered ${f.by} by this daemon: the endpoint's ${f.status} guarantees that the request has not run, which is not known`,
  'answer-evicted': (f) => `broken off, memory was short: its caller took nothing for ${ms(f.unreadMs)} and left ${f.bytes} bytes`,
  'request-read-draining': (f) => `read ${ms(f.sinceMs)} after the drain began`,
  'connection-closed-draining': (f) => `connection closed by the ${f.by} ${cutSuffix(f)}`,
  'request-dropped': (f) => `dropped: its connection was ending ${ms(f.sinceMs)} after the drain began`,
  'request-given-up': (f) => `answered ${f.status} by this daemon, which leaves, ${cutSuffix(f)}`,
  'request-cut': (f) => `cut by the end of the process ${cutSuffix(f)}`,
  'stream-resumed': (f) => `resumed by its caller at ${f.by ?? 'this daemon'}, ended after piece ${f.pieces} in attempt ${f.attempt}`,
  'caller-left': (f) => `its caller left ${ms(f.afterMs)} after it was read as request ${f.nth} of its connection, where it had waited ${ms(f.unreadMs)} at most: ${f.phase}${f.endpoint === undefined ? '' : ` at ${f.endpoint}`}${f.sentForMs === undefined ? '' : `, sent ${ms(f.sentForMs)} before`}`,
  'request-ended': (f) => `${f.outcome}: ${f.why}${retryHint(f.retryAfterMs)}${describeParts(f)}`
}

function describeParts ({ framing, withoutId, dropped, held }: RequestEvents['request-ended']): string {
  const counts = [...Object.entries(dropped ?? {}), ['held behind a gap', held], ['without an id', withoutId]].filter(([, count]) => count !== undefined).map(([what, count]) => `, ${count} ${what}`)
  return `${framing === 'connection' ? ', ended by its connection alone' : ''}${counts.join('')}`
}

/** Returns a one-line description of a request event. */
export function describeDecision<E extends keyof RequestEvents> (event: E, fields: RequestEvents[E]): string {
  return DESCRIBERS[event](fields)
}
