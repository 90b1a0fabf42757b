/** Permits that a daemon holds for requests to endpoints with a limit. */
import type { EndpointId } from '../ids/index.ts'
import type { PermitGrant } from './permit_allocator.ts'

/** How long a permit may be used, in milliseconds. The sum over all daemons in a period exceeds the limit by what is granted in this time. */
export const PERMIT_TTL_MS = 1000

/** Holds permits until they are used or expire. */
export class PermitStock {
  /** Expiry times of the permits of each endpoint, in milliseconds on the daemon's clock, earliest first. */
  readonly #permits = new Map<EndpointId, number[]>()
  /** Numbers of permits that expired unused. */
  readonly #expired = new Map<EndpointId, number>()

  /** Endpoints with permits, which may have expired. */
  get endpoints (): EndpointId[] { return [...this.#permits.keys()] }

  /** Adds permits that were granted now. */
  add (grants: readonly PermitGrant[], now: number): void {
    for (const [endpoint, count] of grants) {
      const granted = Array<number>(count).fill(now + PERMIT_TTL_MS)
      if (count > 0) this.#permits.set(endpoint, [...this.#dropExpired(endpoint, now), ...granted])
    }
  }

  /** Returns the number of usable permits for an endpoint. */
  count (endpoint: EndpointId, now: number): number {
    return this.#permits.has(endpoint) ? this.#dropExpired(endpoint, now).length : 0
  }

  /** Uses a permit and returns true, or returns false if there is none. */
  take (endpoint: EndpointId, now: number): boolean {
    const [taken, ...left] = this.#dropExpired(endpoint, now)
    if (left.length > 0) this.#permits.set(endpoint, left)
    else this.#permits.delete(endpoint)
    return taken !== undefined
  }

  /** Removes all permits of an endpoint. */
  discard (endpoint: EndpointId): void {
    this.#permits.delete(endpoint)
  }

  /** Removes the permits that expired unused and returns them, so that other daemons can have them. */
  takeExpired (now: number): PermitGrant[] {
    for (const endpoint of this.#permits.keys()) this.#dropExpired(endpoint, now)
    const expired = [...this.#expired]
    this.#expired.clear()
    return expired
  }

  /** Returns the permits of an endpoint that are left after those that have expired were set aside. */
  #dropExpired (endpoint: EndpointId, now: number): number[] {
    const permits = this.#permits.get(endpoint) ?? []
    const usable = permits.filter((expiresAtMs) => expiresAtMs > now)
    if (usable.length < permits.length) this.#expired.set(endpoint, (this.#expired.get(endpoint) ?? 0) + permits.length - usable.length)
    if (usable.length > 0) this.#permits.set(endpoint, usable)
    else this.#permits.delete(endpoint)
    return usable
  }
}
