/** The request rates that endpoints limit themselves to, as observed in their answers by all daemons. */
import type { EndpointId, PoolName } from '../ids/index.ts'

/** What one answer of an endpoint says about its limit. */
export interface LimitObservation {
  endpoint: EndpointId
  pool: PoolName
  /** Requests per second that the endpoint takes from all daemons together; undefined if the answer names no limit. */
  perS: number | undefined
  /**
   * Time that the observation applies to, in milliseconds on the daemon's clock: the arrival of an answer that names a limit, or the sending of
   * a request whose answer names none.
   */
  atMs: number
}

/** How an observation changes what is known. */
export type LimitChange = 'began' | 'changed' | 'ended'

/** How long an ended limit is remembered, in milliseconds: late observations must not bring it back, and the other daemons must learn of its end. */
const ENDED_RETENTION_MS = 10_000

/**
 * Keeps the newest observation of each endpoint.
 *
 * Answers overtake each other, and reports of other daemons arrive late. A limit therefore ends only with the answer to a request that was
 * sent after the last answer that named it.
 */
export class ObservedLimits {
  readonly #newest = new Map<EndpointId, LimitObservation>()
  #version = 0

  /** Incremented whenever a limit begins, changes or ends. */
  get version (): number { return this.#version }

  /** True while any limit is in force. */
  get any (): boolean { return this.entries.some(({ perS }) => perS !== undefined) }

  /** Newest observations, including ended limits that are still remembered. */
  get entries (): LimitObservation[] { return [...this.#newest.values()] }

  /** Returns the limit of an endpoint in requests per second; undefined if it has none. */
  perS (endpoint: EndpointId): number | undefined { return this.#newest.get(endpoint)?.perS }

  /** Returns true if an endpoint had a limit, or was observed while others had one, and its last answer names none. */
  hasEnded (endpoint: EndpointId): boolean {
    return this.#newest.has(endpoint) && this.#newest.get(endpoint)!.perS === undefined
  }

  /** Returns the pool of an endpoint that has a limit. */
  poolOf (endpoint: EndpointId): PoolName | undefined {
    const known = this.#newest.get(endpoint)
    return known?.perS === undefined ? undefined : known.pool
  }

  /** Merges an observation and returns the change that it makes; undefined if it makes none. */
  observe (observation: LimitObservation): LimitChange | undefined {
    const { endpoint, perS, atMs } = observation
    const known = this.#newest.get(endpoint)
    if (!known && perS === undefined) return undefined
    if (known && known.atMs >= atMs) return undefined
    this.#newest.set(endpoint, observation)
    if (known?.perS === perS) return undefined
    this.#version++
    if (perS === undefined) return 'ended'
    return known?.perS === undefined ? 'began' : 'changed'
  }

  /** Removes endpoints that are gone and limits that ended long ago. */
  prune (isListed: (endpoint: EndpointId) => boolean, now: number): void {
    for (const [endpoint, { perS, atMs }] of this.#newest) {
      if (!isListed(endpoint) || (perS === undefined && now - atMs > ENDED_RETENTION_MS)) this.#newest.delete(endpoint)
    }
  }
}
