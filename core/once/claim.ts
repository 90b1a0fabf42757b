/** Claims on idempotency keys. Only the request that first claims a key may run. */
import type { Branded, RequestId } from '../ids/index.ts'

/** Hash of a client account and its idempotency key. */
export type KeyHash = Branded<string, 'KeyHash'>

/** Claim of a request on an idempotency key. */
export interface Claim {
  key: KeyHash
  /** Hash of the request body, by which a reuse of the key with another body is rejected. */
  body: string
  /** Request that made the claim; its id contains the daemon that holds the answer. */
  request: RequestId
  /** Time of the claim in milliseconds since the epoch. */
  atMs: number
}

/** Result of a claim. */
export type ClaimResult =
  | { type: 'claimed' }
  /** The key was already claimed by a request with the same body. */
  | { type: 'repeated', request: RequestId }
  /** The key was already claimed by a request with another body. */
  | { type: 'other-body' }

/**
 * Determines the result of a claim from the claim that holds the key.
 *
 * If the outcome of a write was uncertain, the log may contain the claim itself: the same request id means that the write succeeded.
 */
export function resolveClaim (claim: Claim, holder: Claim): ClaimResult {
  if (holder.request === claim.request) return { type: 'claimed' }
  return holder.body === claim.body ? { type: 'repeated', request: holder.request } : { type: 'other-body' }
}
