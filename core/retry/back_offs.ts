/** Keeps until when endpoints want no requests from this daemon. */
import type { EndpointId } from '../ids/index.ts'

/** How a request for time changes what is known. */
export type BackOffChange = 'began' | 'extended'

/**
 * Times that endpoints asked for themselves, as opposed to ejections, which are inferred from failures.
 *
 * Answers overtake each other, so a later answer that asks for less time does not shorten a back-off, and a success does not end it.
 */
export class BackOffs {
  /** End of each back-off, in milliseconds on the daemon's clock. */
  readonly #untilMs = new Map<EndpointId, number>()

  /** Records that an endpoint wants no requests until a time, and returns the change that it makes; undefined if it makes none. */
  record (endpoint: EndpointId, untilMs: number, now: number): BackOffChange | undefined {
    const knownMs = this.untilMs(endpoint)
    if (untilMs <= Math.max(knownMs, now)) return undefined
    this.#untilMs.set(endpoint, untilMs)
    return knownMs > now ? 'extended' : 'began'
  }

  /** End of an endpoint's last back-off, in milliseconds on the daemon's clock; 0 if none is known. */
  untilMs (endpoint: EndpointId): number { return this.#untilMs.get(endpoint) ?? 0 }

  /** Removes back-offs that have ended. */
  prune (now: number): void {
    for (const [endpoint, untilMs] of this.#untilMs) if (untilMs <= now) this.#untilMs.delete(endpoint)
  }
}
