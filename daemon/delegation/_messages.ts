/** Messages between the daemon that took a request and the one that runs it. */
import type { AnswerHead, WholeAnswer } from '../../core/answer/index.ts'
import type { AccountId, EndpointVersion, PoolName } from '../../core/ids/index.ts'
import type { StreamVersion } from '../../core/streams/index.ts'
import type { ProxiedRequest } from '../../endpoints/index.ts'

/** Asks what a daemon offers for the requests of a pool; replies with a `DelegateOffer`. */
export const OFFER_METHOD = 'delegation-offer'
/** Runs a request; replies with a {@linkcode RunResult} after any number of {@linkcode RunPart}s. */
export const RUN_METHOD = 'delegation-run'
/** Lets a run begin whose first part the origin has received; without it, a run that a link held would begin after its caller has left. */
export const START_TOPIC = 'delegation-start'
/** Cancels a run whose caller has left or that is not needed any more. */
export const CANCEL_TOPIC = 'delegation-cancel'

/** Pauses or resumes the answer of a run. */
export const FLOW_TOPIC = 'delegation-flow'
/** Confirms how much of the answer of a run the origin has received. */
export const RECEIVED_TOPIC = 'delegation-received'

/** Confirms to an origin, at intervals, that its requests still run. */
export const PROGRESS_TOPIC = 'delegation-progress'

/** Argument of {@linkcode OFFER_METHOD}. */
export interface OfferQuery { pool: PoolName }

/** Argument of {@linkcode RUN_METHOD}. The origin has checked the credential and charged the quota, so the credential is not included. */
export interface RunQuery {
  /** Identifies the run among those of the origin. */
  run: number
  req: Omit<ProxiedRequest, 'credential' | 'deadlineInMs'>
  account: AccountId | undefined
  pool: PoolName
  deadlineInMs: number
  /** Number of endpoints that the request may still be sent to. */
  maxAttempts: number
  /** Where the stream began; undefined while its caller has no event of it. */
  boundTo?: StreamVersion | undefined
  /** True if the origin confirms what it has received; daemons of earlier versions do not. */
  confirms?: boolean
  /** True if the run must not begin before the origin says so; daemons of earlier versions never do. */
  awaitsStart?: boolean
}

/** Part of the answer to a run. The first one confirms that the run has begun. */
export interface RunPart {
  head?: AnswerHead
  /** Sent along with the head: version of the endpoint that the first piece comes from. */
  version?: EndpointVersion
  chunk?: { offset: number, pieces: readonly Uint8Array[] }
  /** Number of endpoints that the request was sent to so far. */
  reached?: number
}

/**
 * Result of a run.
 *
 * `declined`: not run, and another daemon may be asked. `refused`: not run, and the caller is to come back later. `failed`: it may have run. `lost`: it may have run, and the delegate
 * cannot reach the endpoints any more.
 */
export type RunResult =
  | { type: 'answered', total: number }
  | { type: 'declined', why: string }
  | { type: 'refused', why: string, retryAfterMs: number }
  | { type: 'failed' | 'lost', why: string, reached: number, answer?: WholeAnswer | undefined }

/** Argument of {@linkcode FLOW_TOPIC}. */
export interface FlowMessage { run: number, paused: boolean }

/** Argument of {@linkcode RECEIVED_TOPIC}: all bytes of the answer since the start of the run. */
export interface ReceivedMessage { run: number, bytes: number }

/** Argument of {@linkcode START_TOPIC}. */
export interface StartMessage { run: number }

/** Argument of {@linkcode CANCEL_TOPIC}. */
export interface CancelMessage { run: number }
