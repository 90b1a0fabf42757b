/** Answers of the stand-in endpoints, computed from the input alone so that any caller can verify them. */
import xxhash from 'xxhash-wasm'

const { h32 } = await xxhash()
const DISTINCT_TOKENS = 46_656 // 36 ** 3: up to three base-36 digits

/** Returns token `i` of the answer to a prompt. */
export function answerToken (prompt: string, i: number): string {
  return (h32(`${prompt}#${i}`) % DISTINCT_TOKENS).toString(36) + ' '
}

/** Returns all tokens of the answer to a prompt. */
export function fullAnswer (prompt: string, tokens: number): string[] {
  return Array.from({ length: tokens }, (_, i) => answerToken(prompt, i))
}

/** Returns the answer of a plain service to an input. */
export function serviceAnswer (input: string): string {
  return `done:${h32(input).toString(16)}`
}
