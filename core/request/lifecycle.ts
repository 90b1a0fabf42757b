/** Lifecycle of a request as a pure state machine: (state, message, now) to (state, effects). */
import type { DaemonId, EndpointId, RequestId } from '../ids/index.ts'
import { outcomeAt, reachedEndpoint, type FailurePoint, type Outcome } from '../outcome/index.ts'

/** How an attempt starts: from the beginning, by prefilling the pieces already delivered, or by importing the KV cache. */
export type StartMode = 'fresh' | 'prefill' | 'import'

/** Properties of a request, from its class and its caller, that determine how it is handled. */
export interface RequestTraits {
  id: RequestId
  idempotent: boolean
  /** True for model streams, which can be moved between endpoints; false for plain-service calls. */
  movable: boolean
  cancelOnLeave: boolean
  /** True if a claim on the idempotency key must be stored before the first attempt. */
  claims: boolean
  /** Maximum number of endpoints that the request may be sent to, including the first. */
  maxAttempts: number
  /** Milliseconds on the daemon's clock. */
  deadlineAtMs: number
}

/** Phase of a request; `done` is final. */
export type Phase = 'claiming' | 'placing' | 'running' | 'stopping' | 'done'

/** An attempt beside the current one. */
export interface BackupAttempt { endpoint: EndpointId, attempt: number }

/** State of one request. */
export interface RequestState {
  readonly traits: RequestTraits
  readonly phase: Phase
  /** Number of the attempt whose answer is passed on. */
  readonly attempt: number
  /** Number of the last backup that was started; 0 if there was none. */
  readonly lastBackup: number
  /** Attempt that was started while the current one is silent; the first of both to answer is passed on. */
  readonly backup: BackupAttempt | undefined
  /** Number of attempts that reached, or may have reached, an endpoint. */
  readonly sent: number
  readonly endpoint: EndpointId | undefined
  /** Daemon that runs the current attempt at an endpoint that it selects; undefined if this daemon sends to the endpoint itself. */
  readonly delegate: DaemonId | undefined
  /** True once an attempt may have run; the outcome can then no longer be `not-run`. */
  readonly mayHaveRun: boolean
  /** True once part of an answer was passed on that only the attempt which began it can complete. */
  readonly isBound: boolean
  /** Endpoints of earlier attempts, which placement should avoid. */
  readonly avoid: readonly EndpointId[]
  /** Daemons that declined the request or were lost while they ran it; they are not asked again. */
  readonly avoidDelegates: readonly DaemonId[]
  /** Target of a move that waits for the old endpoint to confirm the stop; undefined if the request is to be placed again. */
  readonly next: { endpoint: EndpointId, mode: StartMode } | undefined
  readonly outcome: Outcome | undefined
}

/** Input of {@linkcode step}. */
export type RequestMessage =
  | { type: 'begin' }
  | { type: 'claimed' }
  | { type: 'claim-failed', outcome: Exclude<Outcome, 'answered'>, reason: string, retryAfterMs?: number }
  | { type: 'placed', endpoint: EndpointId }
  | { type: 'delegated', to: DaemonId }
  | { type: 'refused', reason: string, retryAfterMs?: number }
  | { type: 'bound' }
  /** The current attempt is silent, and an endpoint can take the request now. */
  | { type: 'backup', endpoint: EndpointId }
  /** An attempt has sent part of its answer, or is the likelier one to. Needed only while there is a backup. */
  | { type: 'answering', attempt: number }
  | { type: 'ended', attempt: number }
  /** `reached` is the number of endpoints that a delegate reported to have sent the request to. Default: as the point implies. */
  | { type: 'failed', attempt: number, point: FailurePoint, retryGranted: boolean, reached?: number }
  | { type: 'move', endpoint: EndpointId, mode: StartMode }
  | { type: 'stopped', attempt: number, confirmed: boolean }
  | { type: 'hold' }
  | { type: 'quarantined', reason: string, retryAfterMs: number }
  | { type: 'deadline' }
  | { type: 'caller-left' }
  | { type: 'cancelled' }
  /** Nothing more can be done for the request, although an attempt may still run. */
  | { type: 'given-up', reason: string }

/** Action that the daemon has to carry out. */
export type RequestEffect =
  | { type: 'claim' }
  | { type: 'place', avoid: readonly EndpointId[] }
  | { type: 'start', endpoint: EndpointId, attempt: number, mode: StartMode }
  | { type: 'delegate', to: DaemonId, attempt: number }
  | { type: 'start-backup', endpoint: EndpointId, attempt: number }
  /** The backup becomes the current attempt. The previous one has failed, or a `stop` follows. */
  | { type: 'adopt-backup', attempt: number }
  | { type: 'stop-backup', endpoint: EndpointId, attempt: number }
  /** `endpoint` is undefined if a delegate runs the attempt. */
  | { type: 'stop', endpoint: EndpointId | undefined, attempt: number }
  | { type: 'finish', outcome: Outcome, reason: string, retryAfterMs: number | undefined }

/** Result of {@linkcode step}: the new state and the effects to carry out. */
export interface Step { state: RequestState, effects: RequestEffect[] }

/** Returns the initial state of an accepted request. */
export function newRequest (traits: RequestTraits): RequestState {
  return { traits, phase: 'placing', attempt: 0, lastBackup: 0, backup: undefined, sent: 0, endpoint: undefined, delegate: undefined, mayHaveRun: false, isBound: false, avoid: [], avoidDelegates: [], next: undefined, outcome: undefined }
}

/**
 * Advances a request by one message.
 * @param now Milliseconds on the daemon's clock.
 * @returns The new state and the effects to carry out, in order.
 * @example `step(newRequest(traits), { type: 'begin' }, 0).effects` contains a `claim` or a `place` effect.
 */
export function step (state: RequestState, msg: RequestMessage, now: number): Step {
  if (state.phase === 'done') return { state, effects: [] }
  switch (msg.type) {
    case 'begin': return begin(state)
    // The result of a claim that the request does not wait for must not start or end anything.
    case 'claimed': return state.phase === 'claiming' ? place(state, now) : unchanged(state)
    case 'claim-failed': return state.phase === 'claiming' ? finish(state, msg.outcome, msg.reason, msg.retryAfterMs) : unchanged(state)
    case 'placed': return start(state, msg.endpoint, 'fresh')
    case 'delegated': return delegate(state, msg.to)
    case 'refused': return refused(state, msg)
    case 'bound': return { state: { ...state, isBound: true }, effects: [] }
    case 'backup': return startBackup(state, msg.endpoint)
    case 'answering': return answering(state, msg.attempt)
    case 'ended': return msg.attempt === state.attempt ? finish(state, 'answered', 'whole') : unchanged(state)
    case 'failed': return failed(state, msg, now)
    case 'move': return move(state, msg)
    case 'stopped': return stopped(state, msg, now)
    case 'hold': return hold(state)
    case 'quarantined': return abort(state, msg.reason, msg.retryAfterMs)
    case 'deadline': return abort(state, 'deadline passed')
    case 'cancelled': return abort(state, 'cancelled by the caller')
    case 'given-up': return abort(state, msg.reason)
    case 'caller-left': return state.traits.cancelOnLeave ? abort(state, 'caller left') : unchanged(state)
  }
}

/** A refusal by a delegate means that it has not begun the request; any other one, while an endpoint has the request, says nothing about the run. */
function refused (state: RequestState, { reason, retryAfterMs }: Extract<RequestMessage, { type: 'refused' }>): Step {
  if (state.phase === 'running' && state.endpoint !== undefined) return abort(state, reason, retryAfterMs)
  return finish(state, failureOutcome(state), reason, retryAfterMs)
}

function begin (state: RequestState): Step {
  if (!state.traits.claims) return { state, effects: [{ type: 'place', avoid: state.avoid }] }
  return { state: { ...state, phase: 'claiming' }, effects: [{ type: 'claim' }] }
}

function place (state: RequestState, now: number): Step {
  if (now >= state.traits.deadlineAtMs) return abort(state, 'deadline passed')
  return { state: { ...state, phase: 'placing', endpoint: undefined, delegate: undefined, next: undefined }, effects: [{ type: 'place', avoid: state.avoid }] }
}

/** Attempts and their backups are numbered together. */
function nextAttempt ({ attempt, lastBackup }: RequestState): number {
  return Math.max(attempt, lastBackup) + 1
}

function start (state: RequestState, endpoint: EndpointId, mode: StartMode): Step {
  if (state.phase === 'running') return unchanged(state)
  const attempt = nextAttempt(state)
  const next: RequestState = { ...state, phase: 'running', attempt, endpoint, next: undefined }
  return { state: next, effects: [{ type: 'start', endpoint, attempt, mode: state.mayHaveRun && mode === 'fresh' ? 'prefill' : mode }] }
}

function delegate (state: RequestState, to: DaemonId): Step {
  if (state.phase !== 'placing') return unchanged(state)
  const attempt = nextAttempt(state)
  return { state: { ...state, phase: 'running', attempt, endpoint: undefined, delegate: to }, effects: [{ type: 'delegate', to, attempt }] }
}

/** Returns true if a silent attempt may get a backup, subject to the retry budget. */
export function mayStartBackup (state: RequestState): boolean {
  return state.phase === 'running' && state.endpoint !== undefined && state.backup === undefined && canRetry(state, 'timeout-after-send')
}

function startBackup (state: RequestState, endpoint: EndpointId): Step {
  if (!mayStartBackup(state) || endpoint === state.endpoint) return unchanged(state)
  const attempt = nextAttempt(state)
  return { state: { ...state, lastBackup: attempt, backup: { endpoint, attempt } }, effects: [{ type: 'start-backup', endpoint, attempt }] }
}

/** The first attempt to answer goes on, and the other one is stopped: an answer is passed on from one at a time. */
function answering (state: RequestState, attempt: number): Step {
  const { backup } = state
  if (!backup || state.phase !== 'running') return unchanged(state)
  if (attempt === state.attempt) return dropBackup(state, { reached: 1, mayHaveRun: true })
  if (attempt !== backup.attempt) return unchanged(state)
  const stop: RequestEffect = { type: 'stop', endpoint: state.endpoint, attempt: state.attempt }
  const adopted = adoptBackup({ ...state, sent: state.sent + 1, mayHaveRun: true }, backup)
  return { state: adopted.state, effects: [stop, ...adopted.effects] }
}

function adoptBackup (state: RequestState, { endpoint, attempt }: BackupAttempt): Step {
  return { state: { ...state, attempt, endpoint, avoid: [...state.avoid, state.endpoint!], backup: undefined }, effects: [{ type: 'adopt-backup', attempt }] }
}

/** `reached` is the number of endpoints that the backup reached, or may have reached. */
function dropBackup (state: RequestState, { reached, mayHaveRun }: { reached: number, mayHaveRun: boolean }): Step {
  const { backup } = state
  if (!backup) return unchanged(state)
  const { endpoint, attempt } = backup
  return { state: { ...state, backup: undefined, sent: state.sent + reached, mayHaveRun: state.mayHaveRun || mayHaveRun, avoid: [...state.avoid, endpoint] }, effects: [{ type: 'stop-backup', endpoint, attempt }] }
}

function failed (state: RequestState, msg: Extract<RequestMessage, { type: 'failed' }>, now: number): Step {
  if (state.phase !== 'running') return unchanged(state)
  const reached = msg.reached ?? (reachedEndpoint(msg.point) ? 1 : 0)
  const certainlyNotRun = outcomeAt(msg.point) === 'not-run'
  if (msg.attempt === state.backup?.attempt) return { state: dropBackup(state, { reached, mayHaveRun: !certainlyNotRun }).state, effects: [] }
  if (msg.attempt !== state.attempt) return unchanged(state)
  const mayHaveRun = state.mayHaveRun || !certainlyNotRun
  if (state.backup) return adoptBackup({ ...state, sent: state.sent + reached, mayHaveRun }, state.backup)
  const updated: RequestState = {
    ...state,
    sent: state.sent + reached,
    mayHaveRun,
    avoid: state.endpoint === undefined ? state.avoid : [...state.avoid, state.endpoint],
    avoidDelegates: state.delegate === undefined ? state.avoidDelegates : [...state.avoidDelegates, state.delegate]
  }
  if (canRetry(state, msg.point, msg.reached) && msg.retryGranted) return place(updated, now)
  return finish(updated, failureOutcome(updated), `endpoint failed: ${msg.point}`)
}

/**
 * Returns true if a request whose running attempt failed may be retried at another endpoint, subject to the retry budget.
 *
 * A non-idempotent request is retried only if the failed attempt certainly did not run; otherwise it could be executed twice. A request whose caller has part of an
 * answer that no other attempt can complete is not retried at all.
 */
export function canRetry (state: RequestState, point: FailurePoint, reached = reachedEndpoint(point) ? 1 : 0): boolean {
  const sent = state.sent + reached
  // The run of a stream that cannot be resumed goes on with its KV cache or not at all.
  const isOver = state.mayHaveRun && !state.traits.movable
  return !state.isBound && sent < state.traits.maxAttempts && ((outcomeAt(point) === 'not-run' && !isOver) || state.traits.idempotent)
}

/** Number of unreachable endpoints after which further attempts are charged to the retry budget. */
const MAX_FREE_RETRIES = 3

/**
 * Returns true if a retry is free. An attempt that reached no endpoint cost no endpoint any work, so its retry is not charged to the budget. The
 * number of free retries is limited, since a pool that refuses all connections would otherwise be retried forever.
 */
export function isFreeRetry (state: RequestState, point: FailurePoint): boolean {
  return !reachedEndpoint(point) && state.avoid.length + state.avoidDelegates.length < MAX_FREE_RETRIES
}

/** Returns true if a running stream may continue at another endpoint; the target counts towards `maxAttempts`, as do the current endpoint and that of a backup. */
export function canMove (state: RequestState): boolean {
  const sent = state.sent + (state.backup ? 2 : 1)
  return state.phase === 'running' && state.traits.movable && !state.isBound && sent + 1 <= state.traits.maxAttempts
}

function move (state: RequestState, msg: Extract<RequestMessage, { type: 'move' }>): Step {
  const isImport = msg.mode === 'import'
  if (state.phase !== 'running' || state.backup || state.isBound || !(state.traits.movable || isImport) || state.endpoint === undefined) return unchanged(state)
  const stop: RequestEffect = { type: 'stop', endpoint: state.endpoint, attempt: state.attempt }
  // The import of a stream that cannot be resumed is the same run: it uses up no attempt.
  const moved: RequestState = { ...state, sent: state.sent + (isImport && !state.traits.movable ? 0 : 1), mayHaveRun: true, avoid: [...state.avoid, state.endpoint] }
  if (state.traits.idempotent || isImport) {
    const started = start({ ...moved, phase: 'placing' }, msg.endpoint, msg.mode)
    return { state: started.state, effects: [stop, ...started.effects] }
  }
  // Two endpoints running a non-idempotent request would be two executions: the next attempt waits until the stop is confirmed.
  return { state: { ...moved, phase: 'stopping', next: { endpoint: msg.endpoint, mode: msg.mode } }, effects: [stop] }
}

function hold (state: RequestState): Step {
  if (state.phase !== 'running' || state.isBound || !state.traits.movable || state.endpoint === undefined) return unchanged(state)
  if (state.backup) return answering(state, state.backup.attempt)
  const stop: RequestEffect = { type: 'stop', endpoint: state.endpoint, attempt: state.attempt }
  return { state: { ...state, phase: 'stopping', sent: state.sent + 1, mayHaveRun: true, avoid: [...state.avoid, state.endpoint], next: undefined }, effects: [stop] }
}

function stopped (state: RequestState, msg: Extract<RequestMessage, { type: 'stopped' }>, now: number): Step {
  if (state.phase !== 'stopping' || msg.attempt !== state.attempt) return unchanged(state)
  if (!msg.confirmed && !state.traits.idempotent) return finish(state, 'unknown', 'stop was not confirmed')
  if (state.next === undefined) return place(state, now)
  return start(state, state.next.endpoint, state.next.mode)
}

/** Drops the backup, and then takes a step. */
function withoutBackup (state: RequestState, next: (state: RequestState) => Step): Step {
  const dropped = dropBackup(state, { reached: 1, mayHaveRun: true })
  const { state: after, effects } = next(dropped.state)
  return { state: after, effects: [...dropped.effects, ...effects] }
}

function abort (state: RequestState, reason: string, retryAfterMs?: number): Step {
  if (state.backup) return withoutBackup(state, (dropped) => abort(dropped, reason, retryAfterMs))
  const running = state.phase === 'running'
  const stop: RequestEffect[] = running ? [{ type: 'stop', endpoint: state.endpoint, attempt: state.attempt }] : []
  const end = finish({ ...state, mayHaveRun: state.mayHaveRun || running }, failureOutcome({ ...state, mayHaveRun: state.mayHaveRun || running }), reason, retryAfterMs)
  return { state: end.state, effects: [...stop, ...end.effects] }
}

function finish (state: RequestState, outcome: Outcome, reason: string, retryAfterMs?: number): Step {
  if (state.backup) return withoutBackup(state, (dropped) => finish(dropped, outcome, reason, retryAfterMs))
  // Callers take a time to come back for permission to send the request again.
  const mayComeBack = outcome === 'not-run' || state.traits.idempotent
  return { state: { ...state, phase: 'done', outcome }, effects: [{ type: 'finish', outcome, reason, retryAfterMs: mayComeBack ? retryAfterMs : undefined }] }
}

/** Outcome of a request that was not answered. A claim that may have been stored does not matter here, since a claim is not a run. */
function failureOutcome (state: RequestState): Exclude<Outcome, 'answered'> {
  return state.mayHaveRun ? 'unknown' : 'not-run'
}

function unchanged (state: RequestState): Step {
  return { state, effects: [] }
}
