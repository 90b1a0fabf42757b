/** Maps errors of the HTTP client and refused responses to {@linkcode AttemptError}. */
import { AttemptError, type FailurePoint } from '../core/outcome/index.ts'
import type { EndpointSignals } from './attempt.ts'
import { parseRetryAfter } from './retry_after.ts'

/** Failure points of errors while a connection is opened. The first three codes also end connections that carry a request. */
const CONNECT_FAILURE_POINTS: Record<string, FailurePoint> = {
  ECONNREFUSED: 'connect-refused',
  EHOSTUNREACH: 'connect-refused',
  ENETUNREACH: 'connect-refused',
  UND_ERR_CONNECT_TIMEOUT: 'connect-timeout'
}

const TIMEOUT_POINTS: Record<string, FailurePoint> = {
  UND_ERR_HEADERS_TIMEOUT: 'timeout-after-send',
  UND_ERR_BODY_TIMEOUT: 'timeout-after-send'
}

const UNAVAILABLE = 503

/** Failure points by value of the `x-outcome` header. Without the header, a refused attempt may have run. */
const FAILURE_POINT_BY_OUTCOME: Record<string, FailurePoint> = { 'not-run': 'endpoint-said-not-run', leaving: 'endpoint-leaving' }

/**
 * Converts an error of the HTTP client. The request counts as sent unless the error is known to have occurred before its first byte.
 * @param options.sent Whether the client reports that it began to write the request. Default: it reports nothing.
 */
export function attemptError (operation: string, err: unknown, options: { sent?: boolean } = {}): AttemptError {
  if (err instanceof AttemptError) return err
  return new AttemptError(`${operation}: ${(err as Error).message}`, { point: pointOf(err as NodeJS.ErrnoException, options), cause: err })
}

/** An error without a system call sums up those of several addresses that were tried. */
function pointOf ({ code = '', syscall = 'connect' }: NodeJS.ErrnoException, { sent }: { sent?: boolean }): FailurePoint {
  const connectPoint = sent !== true && syscall === 'connect' ? CONNECT_FAILURE_POINTS[code] : undefined
  return connectPoint ?? TIMEOUT_POINTS[code] ?? (sent === false ? 'before-send' : 'reset-after-send')
}

/** Creates the error for a refused attempt; the `x-outcome` header tells whether the attempt ran. */
export function refusalError (operation: string, status: number, headers: Record<string, string | string[] | undefined>): AttemptError {
  const point = FAILURE_POINT_BY_OUTCOME[String(headers['x-outcome'])] ?? 'endpoint-error'
  return new AttemptError(`${operation}: status ${status}`, { point })
}

/** Reads what an endpoint says about itself in a refusal. */
export function refusalSignals (status: number, headers: Record<string, string | string[] | undefined>): EndpointSignals {
  return status === UNAVAILABLE ? { backOff: parseRetryAfter([headers['retry-after'] ?? []].flat()) } : {}
}
