/** Approximate record of which endpoints hold which prompt parts. */
import { LRUMap } from 'mnemonist'
import type { EndpointId } from '../ids/index.ts'
import type { PromptPart } from '../work/index.ts'

/** Options of {@linkcode PrefixIndex}. */
export interface PrefixIndexOptions {
  /** Parts remembered over all endpoints. Default 20,000. */
  capacity?: number
  /** Milliseconds after which a part that nothing confirmed is forgotten. Default 60,000. */
  expiresMs?: number
}

/** When each endpoint last held a part. */
type Sightings = Map<EndpointId, number>

/**
 * Remembers where prompts ran, and forgets what it cannot confirm.
 *
 * Cache events arrive late and with gaps, so an entry is only a hint: routing to an evicted prefix costs a prefill, never an answer.
 */
export class PrefixIndex {
  readonly #parts: LRUMap<string, Sightings>
  readonly #expiresMs: number

  constructor (options: PrefixIndexOptions = {}) {
    this.#expiresMs = options.expiresMs ?? 60_000
    this.#parts = new LRUMap(options.capacity ?? 20_000)
  }

  /** Records that a prompt was prefilled at an endpoint. */
  record (parts: readonly PromptPart[], endpoint: EndpointId, now: number): void {
    for (const { key } of parts) {
      const sightings = this.#parts.get(key) ?? new Map<EndpointId, number>()
      sightings.set(endpoint, now)
      this.#parts.set(key, sightings)
    }
  }

  /** Tells how many tokens of the prompt each endpoint probably holds: the parts from the first to the first that it lacks. */
  lookup (parts: readonly PromptPart[], now: number): Map<EndpointId, number> {
    const held = new Map<EndpointId, number>()
    let tokensBefore = 0
    for (const { key, tokens } of parts) {
      for (const [endpoint, atMs] of this.#parts.get(key) ?? []) {
        const unbroken = tokensBefore === 0 || held.get(endpoint) === tokensBefore
        if (unbroken && now - atMs <= this.#expiresMs) held.set(endpoint, tokensBefore + tokens)
      }
      tokensBefore += tokens
    }
    return held
  }

  /** Forgets what an endpoint held: it is gone, or its memory is. */
  forget (endpoint: EndpointId): void {
    for (const sightings of this.#parts.values()) sightings.delete(endpoint)
  }
}
