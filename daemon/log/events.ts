/**
 * Everything that a daemon logs: one type for each event.
 *
 * Durations are in milliseconds, prompts and answers in tokens, unless a field says otherwise. An age tells how long before the line a belief
 * was last confirmed.
 */

/** Which configuration a decision went by. */
export interface ConfigState {
  /** Revision in force on this daemon; 0 before the first. */
  revision: number
  /** Since the store last confirmed that no newer one exists; undefined when it never did. */
  revisionAgeMs: number | undefined
}

/** Decisions about one request. */
export interface RequestEvents {
  /** A route and an account were found, and its quota had room. */
  'request-taken': ConfigState & { account: string, class: string, pool: string, deadlineInMs: number, promptTokens: number, maxTokens: number, fromPiece: number, quotaWaitMs: number }
  /** Refused before anything ran. Over a quota: `cost` of the request and `room` that the account had, in the quota's unit. */
  'request-refused': ConfigState & { status: number, why: string, retryAfterMs?: number | undefined, host?: string | undefined, path?: string | undefined, account?: string | undefined, class?: string | undefined, cost?: number | undefined, room?: number | undefined }
  /** A fault of the daemon's own; the caller is told 500. */
  'request-broke': { why: string, stack?: string | undefined }
  /** No endpoint has room now; the request waits for one. */
  'request-waits': { pool: string, ahead: number, expectedMs: number, latestStartInMs: number, candidates: number }
  /** Sent to no endpoint: requests of the same content crashed those that ran them. */
  'request-held': { fingerprint: string, forMs: number }
  /** Sent to an endpoint. `predictedMs` to the first piece, from `running` requests in `slots`, as others told `othersAgeMs` ago. */
  'attempt-started': { attempt: number, endpoint: string, version?: string | undefined, mode: string, fromPiece: number, lane: string, predictedMs?: number, withinTarget?: boolean, uncachedTokens?: number, running: number, slots: number, othersAgeMs?: number | undefined, listAgeMs?: number | undefined }
  /** The attempt gave no whole answer. `point` tells how far it came, `repeat` what follows; `fingerprint` is that of a request whose endpoint broke off. */
  'attempt-failed': { attempt: number, endpoint: string, point: string, why: string, status?: number | undefined, afterMs: number, pieces: number, endpointLeaving: boolean, fingerprint?: string, repeat: 'allowed' | 'over-budget' | 'not-allowed' }
  /** A leaving endpoint's stream: what the planner decided. */
  'stream-moved': { endpoint: string, action: string, target?: string | undefined }
  /** A KV cache could not be exported; the streams are planned again. */
  'export-failed': { endpoint: string, why: string }
  /** Another daemon's stream goes on here. */
  'stream-taken-over': { endpoint?: string | undefined, fromPiece: number }
  /** The last word. */
  'request-ended': { outcome: string, why: string, status?: number | undefined, retryAfterMs?: number | undefined, afterMs: number, firstPieceMs?: number | undefined, longestPauseMs?: number | undefined, pieces: number, attempts: number, deadlineMs: number }
}

/** What changes a daemon's beliefs, and its own life. */
export interface DaemonEvents {
  'daemon-started': { id: string, settings: string, startMs: number }
  /** Processor time of the whole process, and what it did in the same span; messages are those between daemons. */
  'processor-time': { usedMs: number, spanMs: number, requests: number, attempts: number, pieces: number, messagesIn: number, messagesOut: number, memoryMb: number }
  'daemon-draining': { who: string, open: number }
  'daemon-left': { cut: number, heir?: string | undefined }
  'settings-read': { changed: readonly string[], needRestart: readonly string[] }
  'settings-refused': { problems: readonly string[] }
  'config-in-force': { revision: number, before: number, from: string }
  'config-refused': { problems: readonly string[], inForce: number }
  /** Another daemon told of a revision, and did not hand it over. */
  'config-not-told': { revision: number, from: string, why: string }
  'store-lost': { what: string, why: string, lastAnswerAgeMs: number | undefined }
  'store-back': { what: string }
  /** Another daemon could not tell what changed in the store; the next one, or the store itself, is asked. */
  'relay-failed': { peer: string, prefix: string, why: string }
  'member-changed': { peer: string, state: string }
  'peer-not-linked': { peer: string, why: string }
  'peer-send-failed': { peer: string, why: string }
  /** Could not be read; the link it came on was ended. */
  'peer-message-refused': { peer: string, why: string }
  'not-registered': { why: string }
  'endpoint-listed': { endpoint: string, pool: string, failureDomain: string, reclaimable: boolean, slots: number }
  'endpoint-leaving': { endpoint: string, signal: string, leftMs: number }
  'endpoint-gone': { endpoint: string }
  /** Its process ended, as a later start under the same name shows. */
  'endpoint-restarted': { endpoint: string, by: string }
  /** Listed as live long after it was said to leave. */
  'endpoint-taken-back': { endpoint: string }
  'endpoint-refused': { endpoint: string, problems: readonly string[] }
  /** Their entries vanished and may come back: `why` says what is taken for an outage of the registry, `forMs` how long they have. */
  'endpoints-held': { endpoints: readonly string[], why: string, forMs: number }
  /** Held until now, and written anew. */
  'endpoints-back': { endpoints: readonly string[] }
  /** Their entries vanished with an outage of the registry, and did not come back in time. */
  'endpoints-not-back': { endpoints: readonly string[] }
  /** Its process ended without notice; `aboard` are the fingerprints of requests that this daemon had sent there. */
  'endpoint-crashed': { endpoint: string, pool: string, aboard: readonly string[] }
  /** Sent to no endpoint any more: it was aboard these crashes, as no other request was. */
  'request-quarantined': { fingerprint: string, crashes: readonly string[], forMs: number }
  /** Sent to endpoints again: it was served, another explains the crashes, or its time is over. */
  'request-let-go': { fingerprint: string }
  /** An operator let it go. */
  'request-released': { fingerprint: string, who: string }
  /** What is held could not be read from or written to the store; it is tried again. */
  'quarantine-not-stored': { why: string }
  /** Left alone after failures in a row. */
  'endpoint-avoided': { endpoint: string, failures: number, forMs: number }
  /** Has work and gave no word for several times its rhythm: left alone for a while. */
  'endpoint-silent': { endpoint: string, wordAgeMs: number, forMs: number }
  'keeper-chosen': { keeper: string, before: string }
  'keeper-silent': { keeper: string, requests: number, why: string }
  'lease-changed': { name: string, holder: string, fencing: number }
  'lease-call-failed': { name: string, why: string }
  /** A roll-out of a version has come to a stage; `granted` requests may have gone to the new version before the switch. */
  'rollout-stage': { pool: string, from: string | undefined, to: string, stage: string, why: string, granted: number }
  /** Its new version is worse and gets nothing more, though the store does not take the verdict yet. */
  'rollout-held': { pool: string, order: string }
  'rollout-refused': { order: string, problems: readonly string[] }
  /** The store did not take a stage; it is decided again. */
  'rollout-not-written': { pool: string, stage: string, why: string }
  'usage-reported': { window: number, fencing: number, requests: number }
  'usage-not-reported': { window: number | undefined, why: string }
  'order-given': { pool: string, failureDomain: string, reclaimable: boolean, count: number, fencing: number }
  'order-refused': { pool: string, failureDomain: string, reclaimable: boolean, count: number, fencing: number, failure: string, why: string }
  /** Bought, drained or stopped. */
  'fleet-step': { pool: string, action: string, what: object }
  'fleet-round-cut': { pool: string, why: string }
  'answers-lost': { heir: string, why: string }
  /** Lines that were left out in the second before, by event. */
  'lines-left-out': { counts: Readonly<Record<string, number>> }
}

/** Name of an event. */
export type LogEvent = keyof DaemonEvents | keyof RequestEvents

/** Events that tell of trouble: written as warnings, and the last to be left out under load. */
export const TROUBLE: ReadonlySet<LogEvent> = new Set<LogEvent>([
  'request-refused', 'request-broke', 'request-held', 'attempt-failed', 'export-failed', 'settings-refused', 'config-refused', 'config-not-told', 'store-lost', 'relay-failed',
  'peer-not-linked', 'peer-send-failed', 'peer-message-refused', 'not-registered', 'endpoint-refused', 'endpoint-crashed', 'request-quarantined', 'quarantine-not-stored', 'endpoint-avoided', 'endpoint-silent', 'keeper-silent', 'lease-call-failed',
  'usage-not-reported', 'order-refused', 'rollout-held', 'rollout-refused', 'rollout-not-written', 'fleet-round-cut', 'answers-lost', 'lines-left-out'
])
