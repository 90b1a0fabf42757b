/** The answers that the stand-in endpoints give: a function of the input alone, so that anybody can check them. */
import xxhash from 'xxhash-wasm'

const { h32 } = await xxhash()
const WORD_SPACE = 46_656

/** Token `i` of the answer to a prompt. */
export function answerToken (prompt: string, i: number): string {
  return (h32(`${prompt}#${i}`) % WORD_SPACE).toString(36) + ' '
}

/** The whole answer to a prompt. */
export function wholeAnswer (prompt: string, tokens: number): string[] {
  return Array.from({ length: tokens }, (_, i) => answerToken(prompt, i))
}

/** The answer of a plain service. */
export function serviceAnswer (input: string): string {
  return `done:${h32(input).toString(16)}`
}
