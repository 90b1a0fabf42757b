/** Fingerprints of requests, to recognise a request that is sent again under another id. */
import { as, type Fingerprint } from '../ids/index.ts'

/** A 64-bit hash function. */
export type Hash64 = (bytes: Uint8Array, seed: bigint) => bigint

const HEX_DIGITS = 16
const encoder = new TextEncoder()

/**
 * Returns the fingerprint of a request's content.
 * @param parts The request as sent by the caller, without values that differ between attempts, such as an id or a deadline.
 * @example `fingerprintOf(['council', 'POST', 'a.example', '/letter/1', body], h64)`
 */
export function fingerprintOf (parts: ReadonlyArray<string | Uint8Array>, hash: Hash64): Fingerprint {
  // Parts are hashed separately, so that moving bytes from one part to the next changes the fingerprint.
  const hashed = parts.reduce((seed, part) => hash(typeof part === 'string' ? encoder.encode(part) : part, seed), 0n)
  return as(hashed.toString(16).padStart(HEX_DIGITS, '0'))
}
