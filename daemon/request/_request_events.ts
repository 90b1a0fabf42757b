/** Builds the log events for the start and the failure of an attempt, and for the end of a request. */
import type { AnswerHead, WholeAnswer } from '../../core/answer/index.ts'
import type { Fingerprint } from '../../core/ids/index.ts'
import { isConnectionAborted, type AttemptError } from '../../core/outcome/index.ts'
import type { StartMode, RequestState } from '../../core/request/index.ts'
import { runningNow, type EndpointView, type Lane, type Route } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { EndpointTable } from '../endpoints/endpoint_table.ts'
import type { RequestEvents } from '../log/index.ts'
import type { Metrics } from '../metrics.ts'
import type { AnswerParts } from './_answer_record.ts'
import type { FinalResult } from './live_answer.ts'
import type { PieceTimes } from './piece_times.ts'
import type { Crossing } from './placement.ts'
import type { RequestWork } from './work.ts'

/** An attempt that is about to start. `route` holds the router's prediction, if the router chose the endpoint. */
export interface StartedAttempt { attempt: number, mode: StartMode, lane: Lane, fromPiece: number, route: Route | undefined, table: EndpointTable }

/** Builds the `attempt-started` event, with the state of the endpoint as this daemon knew it. */
export function attemptStartedEvent (view: EndpointView, started: StartedAttempt): RequestEvents['attempt-started'] {
  const { attempt, mode, lane, fromPiece, route, table } = started
  return {
    attempt,
    endpoint: view.id,
    version: view.version,
    mode,
    fromPiece,
    lane,
    running: runningNow(view),
    slots: view.speed.batchSlots,
    othersAgeMs: table.othersAgeMs,
    listAgeMs: table.listAgeMs,
    ...(route && { predictedMs: route.firstTokenMs, withinTarget: route.meetsTarget, uncachedTokens: route.uncachedTokens })
  }
}

/** A request that is about to be sent to another region. */
export interface SpilledRequest { work: Pick<RequestWork, 'bytes'>, crossing: Crossing, metrics: Metrics }

/** Counts a request that is sent to another region and builds the `request-spilled` event. */
export function spilledEvent (view: EndpointView, { work: { bytes = 0 }, crossing, metrics }: SpilledRequest): RequestEvents['request-spilled'] {
  metrics.spilledRequests.inc({ region: crossing.region, why: crossing.why })
  metrics.spilledBytes.inc({ region: crossing.region }, bytes)
  return { endpoint: view.id, bytes, ...crossing }
}

/** A failed attempt. `afterMs` is the time since it was sent; `fingerprint` is only called, and `parts` only reported, if the connection broke. */
export interface FailedAttempt extends Pick<RequestEvents['attempt-failed'], 'attempt' | 'endpoint' | 'repeat' | 'afterMs' | 'pieces' | 'endpointLeaving'> {
  fingerprint (): Fingerprint
  parts: readonly string[]
}

/** Builds the `attempt-failed` event. */
export function attemptFailedEvent (err: AttemptError, { fingerprint, parts, ...failed }: FailedAttempt): RequestEvents['attempt-failed'] {
  return {
    ...failed,
    point: err.point,
    why: err.message,
    status: err.answer?.head.status,
    ...(isConnectionAborted(err.point) && { fingerprint: fingerprint(), parts })
  }
}

/** The parts of a finished request that its `request-ended` event reports. */
interface EndedRequest {
  readonly acceptedAtMs: number
  readonly state: RequestState
  readonly answer: { readonly length: number }
  readonly head: AnswerHead | undefined
  readonly failureAnswer: WholeAnswer | undefined
}

/** Builds the `request-ended` event: the outcome and the timing of the answer's pieces. */
export function requestEndedEvent (req: EndedRequest, { final, pieces, parts }: { final: FinalResult, pieces: PieceTimes, parts: AnswerParts }): RequestEvents['request-ended'] {
  return {
    outcome: final.outcome,
    why: final.reason,
    status: final.outcome === 'answered' ? req.head?.status : req.failureAnswer?.head.status,
    retryAfterMs: final.retryAfterMs,
    afterMs: steadyNow() - req.acceptedAtMs,
    firstPieceMs: pieces.firstAtMs === undefined ? undefined : pieces.firstAtMs - req.acceptedAtMs,
    longestPauseMs: pieces.longestPauseMs,
    pieces: req.answer.length,
    attempts: req.state.attempt,
    deadlineMs: req.state.traits.deadlineAtMs - req.acceptedAtMs,
    ...parts
  }
}
