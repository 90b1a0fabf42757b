/** Problem details (RFC 9457) that include the request's outcome. */
import type { ServerResponse } from 'node:http'
import { ownStatus, type Outcome } from '../../core/outcome/index.ts'
import type { RequestId } from '../../core/ids/index.ts'
import type { FinalResult } from '../request/live_answer.ts'

/** Content of a problem document. */
export interface Problem {
  status: number
  title: string
  detail: string
  outcome: Exclude<Outcome, 'answered'>
  request?: RequestId
  retryAfterMs?: number | undefined
}

/** Returns the problem of a request that was refused without being run. */
export function refusedRequest (status: number, detail: string): Problem {
  return { status, title: 'Request refused', detail, outcome: 'not-run' }
}

/** Converts a request's final result, other than an answer, into a problem. */
export function problemOf (request: RequestId, final: FinalResult): Problem {
  if (final.otherBody) return { status: 422, title: 'Idempotency key used before', detail: final.reason, outcome: 'not-run', request }
  const outcome = final.outcome === 'not-run' ? 'not-run' : 'unknown'
  const title = outcome === 'not-run' ? 'Request was not run' : 'Request may have been run'
  return { status: ownStatus(outcome, 'failed'), title, detail: final.reason, outcome, request, retryAfterMs: final.retryAfterMs }
}

/** Serializes a problem as a JSON document. */
export function problemBody (problem: Problem): string {
  const { retryAfterMs, ...rest } = problem
  return JSON.stringify({ type: 'about:blank', ...rest, ...(retryAfterMs !== undefined && { retryAfterMs: Math.ceil(retryAfterMs) }) })
}

/** Sends a problem as the complete response. */
export function sendProblem (res: ServerResponse, problem: Problem): void {
  const headers: Record<string, string> = { 'content-type': 'application/problem+json' }
  if (problem.request !== undefined) headers['request-id'] = problem.request
  if (problem.retryAfterMs !== undefined) headers['retry-after'] = String(Math.max(1, Math.ceil(problem.retryAfterMs / 1000)))
  res.writeHead(problem.status, headers).end(problemBody(problem))
}
