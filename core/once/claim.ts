/** Claims on idempotency keys: whoever claims a key first may run the request, nobody else ever may. */
import type { Branded, RequestId } from '../ids/index.ts'

/** Hash of a client account and its idempotency key. */
export type KeyHash = Branded<string, 'KeyHash'>

/** A key that a request claimed. */
export interface Claim {
  key: KeyHash
  /** Hash of the request's body, so that a repeated key with another body is refused. */
  body: string
  /** Names the daemon that holds the answer. */
  request: RequestId
  /** Milliseconds since the epoch. */
  atMs: number
}

/** What a claim came to. */
export type ClaimResult =
  | { type: 'claimed' }
  /** The key was claimed before, by a request with the same body. */
  | { type: 'repeated', request: RequestId }
  /** The key was claimed before, by a request with another body. */
  | { type: 'other-body' }

/**
 * Compares a claim with the one that holds the key.
 *
 * A claim whose write was unsure finds itself in the log afterwards: the same request id means that it was written after all.
 */
export function judge (claim: Claim, holder: Claim): ClaimResult {
  if (holder.request === claim.request) return { type: 'claimed' }
  return holder.body === claim.body ? { type: 'repeated', request: holder.request } : { type: 'other-body' }
}
