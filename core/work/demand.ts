/** Demand of requests on endpoints, in tokens. */

/** Block of a prompt. Requests whose prompts start with the same blocks can share their KV cache. */
export interface PromptPart {
  /** Identifies the text of the block together with all blocks before it. */
  key: string
  tokens: number
}

/** Demand of one request. */
export interface Demand {
  promptTokens: number
  /** Maximum number of tokens of the answer. */
  maxTokens: number
  /** Expected number of tokens of the answer. */
  expectedTokens: number
  /** Blocks of the prompt in order; empty if unknown. */
  parts: readonly PromptPart[]
}

/** Returns the number of tokens of memory that a request may take at an endpoint, at most. */
export function maxHeldTokens ({ promptTokens, maxTokens }: Pick<Demand, 'promptTokens' | 'maxTokens'>): number {
  return promptTokens + maxTokens
}

/** Most parts of one prompt that are looked at, and most characters of a part's key, since callers choose both. */
const MAX_SHARED_PARTS = 64
const MAX_KEY_LENGTH = 64

/** Returns the keys of the prompt parts that other requests may share: all but the last, which is the request's own. */
export function sharedParts ({ parts }: Pick<Demand, 'parts'>): string[] {
  return parts.slice(0, -1).slice(0, MAX_SHARED_PARTS).map(({ key }) => key.slice(0, MAX_KEY_LENGTH))
}

/** Demand of a plain call, which uses no tokens. */
export const NO_TOKENS: Demand = { promptTokens: 0, maxTokens: 0, expectedTokens: 0, parts: [] }

const CHARS_PER_TOKEN = 4

/** Estimates the number of tokens of a text from its length; engines report the exact number later. */
export function estimateTokens (text: string): number {
  return Math.ceil(text.length / CHARS_PER_TOKEN)
}

/** Options of {@linkcode splitPrompt}. */
export interface SplitPromptOptions {
  /** Hash function. */
  hash (text: string): number
  /** Length of a block in characters. Default 512. */
  blockLength?: number
}

const DEFAULT_BLOCK_LENGTH = 512

/**
 * Splits a prompt into blocks of equal length; an incomplete last block is omitted.
 *
 * The key of a block is the hash of the block and the key before it, so that each character of the prompt is hashed only once.
 * @example `splitPrompt('x'.repeat(1024), { hash })` gives two blocks of 128 tokens.
 */
export function splitPrompt (prompt: string, options: SplitPromptOptions): PromptPart[] {
  const length = options.blockLength ?? DEFAULT_BLOCK_LENGTH
  const parts: PromptPart[] = []
  let key = 0
  for (let end = length; end <= prompt.length; end += length) {
    key = options.hash(`${key}/${prompt.slice(end - length, end)}`)
    parts.push({ key: String(key), tokens: length / CHARS_PER_TOKEN })
  }
  return parts
}
