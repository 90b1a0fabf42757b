/** Results of requests whose idempotency key could not be claimed. */
import type { ClaimResult } from '../../core/once/index.ts'
import type { FinalResult } from './live_answer.ts'

/** Returns the result of a request whose key an earlier request has claimed. */
export function repeatedKeyResult (claim: Exclude<ClaimResult, { type: 'claimed' }>): FinalResult {
  return claim.type === 'repeated'
    ? { outcome: 'not-run', reason: 'idempotency key was used before', retryAfterMs: undefined, repeats: claim.request }
    : { outcome: 'not-run', reason: 'idempotency key was used before with another body', retryAfterMs: undefined, otherBody: true }
}
