/** Tracks the latest start of each endpoint, since lists and peers may report an older one. */

/** How long the start of an endpoint that is no longer listed is kept, in milliseconds. */
const RETENTION_MS = 600_000

/** Order of a start relative to the latest one known before. */
export type StartOrder = 'first' | 'same' | 'later' | 'earlier'

/** Latest known start of each endpoint, by endpoint name. */
export class NewestStarts {
  readonly #latest = new Map<string, { startedAtMs: number, listedAtMs: number }>()

  /** Records a listed start and returns its order. All times are in milliseconds; `startedAtMs` is on the endpoint's clock. */
  record (name: string, startedAtMs: number, now: number): StartOrder {
    const known = this.#latest.get(name)
    if (known && startedAtMs < known.startedAtMs) return 'earlier'
    this.#latest.set(name, { startedAtMs, listedAtMs: now })
    if (!known) return 'first'
    return startedAtMs > known.startedAtMs ? 'later' : 'same'
  }

  /** Removes endpoints that have not been listed for {@linkcode RETENTION_MS}. */
  prune (now: number): void {
    for (const [name, { listedAtMs }] of this.#latest) if (now > listedAtMs + RETENTION_MS) this.#latest.delete(name)
  }
}
