/** Approximate record of which endpoint holds which prompt prefix. */
import { LRUMap } from 'mnemonist'
import type { EndpointId } from '../ids/index.ts'
import type { Hash32 } from './subset.ts'

/** Options of {@linkcode PrefixIndex}. */
export interface PrefixIndexOptions {
  hash: Hash32
  /** Characters of one block; prefixes are matched block by block. Default 512. */
  blockLength?: number
  /** Blocks remembered over all endpoints. Default 20,000. */
  capacity?: number
  /** Milliseconds after which a block that nothing confirmed is forgotten. Default 60,000. */
  expiresMs?: number
}

interface Sighting { endpoint: EndpointId, atMs: number }

const CHARS_PER_TOKEN = 4

/** Estimates prompt tokens from characters; engines report the exact number later. */
export function estimateTokens (text: string): number {
  return Math.ceil(text.length / CHARS_PER_TOKEN)
}

/**
 * Remembers where prompts ran, and forgets what it cannot confirm.
 *
 * Cache events arrive late and with gaps, so an entry is only a hint: routing to an evicted prefix costs a prefill, never an answer.
 */
export class PrefixIndex {
  readonly #blocks: LRUMap<number, Sighting>
  readonly #hash: Hash32
  readonly #blockLength: number
  readonly #expiresMs: number

  constructor (options: PrefixIndexOptions) {
    this.#hash = options.hash
    this.#blockLength = options.blockLength ?? 512
    this.#expiresMs = options.expiresMs ?? 60_000
    this.#blocks = new LRUMap(options.capacity ?? 20_000)
  }

  /** Records that a prompt was prefilled at an endpoint. */
  record (prompt: string, endpoint: EndpointId, now: number): void {
    for (const key of this.#keys(prompt)) this.#blocks.set(key, { endpoint, atMs: now })
  }

  /** Tells how many tokens of the prompt each endpoint probably holds. */
  lookup (prompt: string, now: number): Map<EndpointId, number> {
    const held = new Map<EndpointId, number>()
    let tokens = 0
    for (const key of this.#keys(prompt)) {
      const sighting = this.#blocks.get(key)
      if (!sighting || now - sighting.atMs > this.#expiresMs) break
      tokens += this.#blockLength / CHARS_PER_TOKEN
      held.set(sighting.endpoint, tokens)
    }
    return held
  }

  /** Each key stands for its block and all before it, so that a long prompt is hashed once and not once for each block. */
  * #keys (prompt: string): Generator<number> {
    let key = 0
    for (let end = this.#blockLength; end <= prompt.length; end += this.#blockLength) {
      key = this.#hash(`${key}/${prompt.slice(end - this.#blockLength, end)}`)
      yield key
    }
  }
}
