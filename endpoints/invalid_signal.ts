/** Reports a value in an answer that could not be read. */
import type { InvalidSignal } from './attempt.ts'

const MAX_LOGGED_LENGTH = 80

/** Returns the values of a header, joined and shortened for the log. */
export function invalidSignal (values: readonly string[]): InvalidSignal {
  return { invalid: values.join(', ').slice(0, MAX_LOGGED_LENGTH) }
}
