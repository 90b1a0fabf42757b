/** Turns what the HTTP client reports into what is certain about an attempt. */
import { AttemptError, type FailurePoint } from '../core/outcome/index.ts'

const POINT_OF_CODE: Record<string, FailurePoint> = {
  ECONNREFUSED: 'connect-refused',
  EHOSTUNREACH: 'connect-refused',
  ENETUNREACH: 'connect-refused',
  UND_ERR_CONNECT_TIMEOUT: 'connect-timeout',
  UND_ERR_HEADERS_TIMEOUT: 'timeout-after-send',
  UND_ERR_BODY_TIMEOUT: 'timeout-after-send'
}

/** What an endpoint says of a refused attempt; without a word of it the attempt may have run. */
const POINT_OF_WORD: Record<string, FailurePoint> = { 'not-run': 'endpoint-said-not-run', leaving: 'endpoint-leaving' }

/**
 * Everything that is not known to come before the first byte counts as sent.
 * @param options.sent False when the client says that it wrote nothing of the request.
 */
export function attemptError (what: string, err: unknown, options: { sent?: boolean } = {}): AttemptError {
  if (err instanceof AttemptError) return err
  const point = POINT_OF_CODE[(err as NodeJS.ErrnoException).code ?? ''] ?? (options.sent === false ? 'before-send' : 'reset-after-send')
  return new AttemptError(`${what}: ${(err as Error).message}`, { point, cause: err })
}

/** Reads the endpoint's own word on whether a refused attempt ran. */
export function refusalError (what: string, status: number, headers: Record<string, string | string[] | undefined>): AttemptError {
  const point = POINT_OF_WORD[String(headers['x-outcome'])] ?? 'endpoint-error'
  const retryAfter = Number(headers['retry-after'])
  return new AttemptError(`${what}: status ${status}`, {
    point,
    retryAfterMs: Number.isFinite(retryAfter) ? retryAfter * 1000 : undefined
  })
}
