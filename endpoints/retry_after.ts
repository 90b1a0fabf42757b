/** Parses the time for which an endpoint wants no requests. */
import type { BackOff, InvalidSignal } from './attempt.ts'
import { invalidSignal } from './invalid_signal.ts'

const MS_PER_S = 1000
const SECONDS = /^\d{1,9}(\.\d{1,9})?$/
/** Longest time that is accepted, in seconds. */
const MAX_S = 86_400

/**
 * Parses the values of `Retry-After` headers, in seconds with or without a fraction. Zero asks for no time.
 * @returns Undefined if the endpoint asks for no time; {@linkcode InvalidSignal} for a date, a negative or too large number, or several values.
 * @example `parseRetryAfter(['0.5'])` gives `{ forMs: 500 }`.
 */
export function parseRetryAfter (values: readonly string[]): BackOff | InvalidSignal | undefined {
  const [value, ...others] = values.map((each) => each.trim())
  if (value === undefined) return undefined
  if (others.length > 0 || !SECONDS.test(value) || Number(value) > MAX_S) return invalidSignal(values)
  const forMs = Number(value) * MS_PER_S
  return forMs > 0 ? { forMs } : undefined
}
