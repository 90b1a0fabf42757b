/** Outcomes of requests, and the certainty that each kind of failed attempt leaves. */
import type { WholeAnswer } from '../answer/index.ts'

/**
 * Final result of a request as reported to its caller; exactly one applies.
 *
 * `not-run` is a guarantee that no endpoint started the request; `unknown` means that it may have run.
 */
export type Outcome = 'answered' | 'not-run' | 'unknown'

/** Stage or reason at which an attempt failed. */
export type FailurePoint =
  | 'before-send'
  | 'withheld'
  | 'connect-refused'
  | 'connect-timeout'
  | 'endpoint-said-not-run'
  | 'endpoint-leaving'
  | 'endpoint-gone'
  | 'stopped-before-start'
  | 'reset-after-send'
  | 'timeout-after-send'
  | 'endpoint-error'
  | 'torn-answer'
  | 'foreign-answer'
  | 'delegate-declined'
  | 'delegate-lost'

const OUTCOME_BY_POINT: Record<FailurePoint, Exclude<Outcome, 'answered'>> = {
  'before-send': 'not-run',
  withheld: 'not-run',
  'connect-refused': 'not-run',
  'connect-timeout': 'not-run',
  'endpoint-said-not-run': 'not-run',
  'endpoint-leaving': 'not-run',
  'endpoint-gone': 'not-run',
  'stopped-before-start': 'not-run',
  'reset-after-send': 'unknown',
  'timeout-after-send': 'unknown',
  'endpoint-error': 'unknown',
  'torn-answer': 'unknown',
  'foreign-answer': 'unknown',
  'delegate-declined': 'not-run',
  'delegate-lost': 'unknown'
}

/** Failure points at which no endpoint received any part of the request. */
const POINTS_BEFORE_ENDPOINT: ReadonlySet<FailurePoint> = new Set<FailurePoint>(['before-send', 'withheld', 'connect-refused', 'connect-timeout', 'delegate-declined'])

/** All failure points. */
export const FAILURE_POINTS = Object.keys(OUTCOME_BY_POINT) as FailurePoint[]

/**
 * Returns what is certain about an attempt that failed at a given point.
 *
 * A keep-alive connection that closes during a write is `unknown`: the endpoint may have read the bytes before the close.
 * @example `outcomeAt('reset-after-send')` gives `unknown`.
 */
export function outcomeAt (point: FailurePoint): Exclude<Outcome, 'answered'> {
  return OUTCOME_BY_POINT[point]
}

/** Returns true if the endpoint received, or may have received, part of the request. */
export function reachedEndpoint (point: FailurePoint): boolean {
  return !POINTS_BEFORE_ENDPOINT.has(point)
}

/** Returns true if the endpoint itself reported the failure, which shows that it is alive. */
export function isEndpointReported (point: FailurePoint): boolean {
  return point === 'endpoint-said-not-run' || point === 'endpoint-leaving' || point === 'endpoint-error'
}

/** Returns true if no connection to the endpoint could be opened. */
export function isConnectFailure (point: FailurePoint): boolean {
  return point === 'connect-refused' || point === 'connect-timeout'
}

/** Returns true if the connection ended in the middle of the attempt without an error response, as it does when the endpoint crashes. */
export function isConnectionAborted (point: FailurePoint): boolean {
  return point === 'reset-after-send' || point === 'torn-answer'
}

/** An attempt failed at a known point. Thrown by the endpoint adapters. */
export class AttemptError extends Error {
  override name = 'AttemptError'
  readonly point: FailurePoint
  /** The endpoint's error response, passed to the caller if no other attempt succeeds. */
  readonly answer: WholeAnswer | undefined

  constructor (what: string, options: { point: FailurePoint, answer?: WholeAnswer, cause?: unknown }) {
    super(what, { cause: options.cause })
    this.point = options.point
    this.answer = options.answer
  }

  /** Outcome that the failure point implies for this attempt. */
  get outcome (): Exclude<Outcome, 'answered'> {
    return outcomeAt(this.point)
  }
}
