/** Approximate index of the prompt parts in each endpoint's prefix cache. */
import { LRUMap } from 'mnemonist'
import type { EndpointId } from '../ids/index.ts'
import type { PromptPart } from '../work/index.ts'

/** Options of {@linkcode PrefixIndex}. */
export interface PrefixIndexOptions {
  /** Maximum number of parts in the index, over all endpoints. Default 20,000. */
  capacity?: number
  /** Milliseconds after which a part that was not used again counts as evicted. Default 60,000. */
  expiresMs?: number
}

/** When a part was last prefilled at each endpoint. */
type LastSeenByEndpoint = Map<EndpointId, number>

/**
 * Records where prompts ran and expires entries that are not confirmed again.
 *
 * Cache events arrive late and with gaps, so an entry is only a hint: routing to an evicted prefix costs a prefill, but never an answer.
 */
export class PrefixIndex {
  readonly #parts: LRUMap<string, LastSeenByEndpoint>
  readonly #expiresMs: number

  constructor (options: PrefixIndexOptions = {}) {
    this.#expiresMs = options.expiresMs ?? 60_000
    this.#parts = new LRUMap(options.capacity ?? 20_000)
  }

  /** Records that a prompt was prefilled at an endpoint. */
  record (parts: readonly PromptPart[], endpoint: EndpointId, now: number): void {
    for (const { key } of parts) {
      const lastSeen = this.#parts.get(key) ?? new Map<EndpointId, number>()
      lastSeen.set(endpoint, now)
      this.#parts.set(key, lastSeen)
    }
  }

  /** Returns the number of prompt tokens probably cached at each endpoint: its contiguous parts from the start of the prompt. */
  lookup (parts: readonly PromptPart[], now: number): Map<EndpointId, number> {
    const cachedTokens = new Map<EndpointId, number>()
    let tokensBefore = 0
    for (const { key, tokens } of parts) {
      for (const [endpoint, atMs] of this.#parts.get(key) ?? []) {
        const isContiguous = tokensBefore === 0 || cachedTokens.get(endpoint) === tokensBefore
        if (isContiguous && now - atMs <= this.#expiresMs) cachedTokens.set(endpoint, tokensBefore + tokens)
      }
      tokensBefore += tokens
    }
    return cachedTokens
  }

  /** Removes all entries of an endpoint that is gone or has lost its cache. */
  forget (endpoint: EndpointId): void {
    for (const lastSeen of this.#parts.values()) lastSeen.delete(endpoint)
  }
}
