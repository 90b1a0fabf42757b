/** What one request asks of an endpoint, in tokens. */

/** A part of a prompt; requests whose prompts begin with the same parts can share their KV cache. */
export interface PromptPart {
  /** Same for the same text behind the same parts. */
  key: string
  tokens: number
}

/** Size of one request. */
export interface Demand {
  promptTokens: number
  /** Most tokens that the answer may have. */
  maxTokens: number
  /** Tokens that the answer will probably have. */
  expectedTokens: number
  /** The prompt's parts in order; empty when nothing is known of them. */
  parts: readonly PromptPart[]
}

/** A plain call, which asks for no tokens. */
export const NO_TOKENS: Demand = { promptTokens: 0, maxTokens: 0, expectedTokens: 0, parts: [] }

const CHARS_PER_TOKEN = 4

/** Estimates prompt tokens from characters; engines report the exact number later. */
export function estimateTokens (text: string): number {
  return Math.ceil(text.length / CHARS_PER_TOKEN)
}

/** Options of {@linkcode partsOf}. */
export interface PartsOfOptions {
  /** Hashes a text to a number. */
  hash (text: string): number
  /** Characters of one part. Default 512. */
  blockLength?: number
}

const DEFAULT_BLOCK_LENGTH = 512

/**
 * Cuts a prompt into parts of equal length, the rest left out.
 *
 * Each key stands for its block and all before it, so that a long prompt is hashed once and not once for each block.
 * @example `partsOf('x'.repeat(1024), { hash })` gives two parts of 128 tokens.
 */
export function partsOf (prompt: string, options: PartsOfOptions): PromptPart[] {
  const length = options.blockLength ?? DEFAULT_BLOCK_LENGTH
  const parts: PromptPart[] = []
  let key = 0
  for (let end = length; end <= prompt.length; end += length) {
    key = options.hash(`${key}/${prompt.slice(end - length, end)}`)
    parts.push({ key: String(key), tokens: length / CHARS_PER_TOKEN })
  }
  return parts
}
