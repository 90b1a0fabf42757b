/** Maps errors of the HTTP client and refused responses to {@linkcode AttemptError}. */
import { AttemptError, type FailurePoint } from '../core/outcome/index.ts'
import type { EndpointSignals } from './attempt.ts'
import { parseRetryAfter } from './retry_after.ts'

const FAILURE_POINT_BY_ERROR_CODE: Record<string, FailurePoint> = {
  ECONNREFUSED: 'connect-refused',
  EHOSTUNREACH: 'connect-refused',
  ENETUNREACH: 'connect-refused',
  UND_ERR_CONNECT_TIMEOUT: 'connect-timeout',
  UND_ERR_HEADERS_TIMEOUT: 'timeout-after-send',
  UND_ERR_BODY_TIMEOUT: 'timeout-after-send'
}

const UNAVAILABLE = 503

/** Failure points by value of the `x-outcome` header. Without the header, a refused attempt may have run. */
const FAILURE_POINT_BY_OUTCOME: Record<string, FailurePoint> = { 'not-run': 'endpoint-said-not-run', leaving: 'endpoint-leaving' }

/**
 * Converts an error of the HTTP client. The request counts as sent unless the error is known to have occurred before its first byte.
 * @param options.sent False when the client reports that it wrote nothing of the request.
 */
export function attemptError (operation: string, err: unknown, options: { sent?: boolean } = {}): AttemptError {
  if (err instanceof AttemptError) return err
  const point = FAILURE_POINT_BY_ERROR_CODE[(err as NodeJS.ErrnoException).code ?? ''] ?? (options.sent === false ? 'before-send' : 'reset-after-send')
  return new AttemptError(`${operation}: ${(err as Error).message}`, { point, cause: err })
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
