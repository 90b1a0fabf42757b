/** Counts the requests that all daemons have at endpoints that must not be overrun, so that no more are sent than the endpoints have slots. */
import type { DaemonId, EndpointId, PoolName } from '../ids/index.ts'

/** An endpoint that fails when it has to reject too many requests. */
export interface FragileEndpoint {
  endpoint: EndpointId
  pool: PoolName
  /** Requests that it runs at once. */
  slots: number
  /** Rejections per second, of all daemons together, that it survives. */
  maxRejectionsPerS: number
}

/** Number of requests and permits that a daemon has for an endpoint, or that an endpoint rejected. */
export type EndpointCount = readonly [endpoint: EndpointId, count: number]

/** What a daemon reports about fragile endpoints. */
export interface SlotReport {
  /** Requests and unused permits of the daemon; none at endpoints that are not listed. */
  held: readonly EndpointCount[]
  /** Rejections since the last report. */
  rejected: readonly EndpointCount[]
  /** Number of the last grants that the daemon had received; 0 for none. */
  receivedGrants: number
}

interface Grant { number: number, endpoint: EndpointId, count: number, atMs: number }
interface Holder { held: Map<EndpointId, number>, grants: Grant[], reportedAtMs: number }
interface Slots {
  fragile: FragileEndpoint
  /** Requests that it gets at once, as learned from rejections. */
  capacity: number
  /** Capacity that was reduced by the last rejection; it is exceeded only now and then. */
  ceiling: number
  raisedAtMs: number
  pausedUntilMs: number
  grantedAtMs: number[]
}

/** Time after which a daemon that does not report counts as gone, in milliseconds; daemons with requests report several times in this time. */
const HOLDER_TTL_MS = 2000
/** Time after which a grant that the daemon did not confirm is taken to be lost, in milliseconds. */
const GRANT_TTL_MS = 1000
/** Time until the first grants for an endpoint, in milliseconds: all daemons must have reported what they have there. */
const WARM_UP_MS = 500
/** Part of the requests at an endpoint that remains its capacity after a rejection. */
const CAPACITY_AFTER_REJECTION = 0.75
/** Pause after a rejection, in multiples of the interval between the rejections that an endpoint survives. */
const PAUSE_RATE_FACTOR = 2
/** Time without a rejection after which the capacity is raised by one, in milliseconds. */
const RAISE_INTERVAL_MS = 500
/** The same once it is as large as at the last rejection, in milliseconds. */
const PROBE_INTERVAL_MS = 5000
/** Time within which a rejection is known here, in milliseconds. Fewer requests than an endpoint may reject in a second are granted in it. */
const REJECTION_LATENCY_MS = 25
const RATE_WINDOW_MS = 1000
const MS_PER_S = 1000

/**
 * Keeps what each daemon has at each fragile endpoint, from its reports and the grants that it has not confirmed yet.
 *
 * A rejection reduces the capacity for all daemons, and stops all grants for long enough that rejections alone stay below the rate that the endpoint survives.
 */
export class SlotLedger {
  readonly #slots = new Map<EndpointId, Slots>()
  readonly #holders = new Map<DaemonId, Holder>()

  /** Replaces the fragile endpoints. */
  update (endpoints: readonly FragileEndpoint[], now: number): void {
    const known = new Set(endpoints.map(({ endpoint }) => endpoint))
    for (const id of this.#slots.keys()) if (!known.has(id)) this.#slots.delete(id)
    for (const fragile of endpoints) {
      const slots = this.#slots.get(fragile.endpoint)
      if (slots) slots.fragile = fragile
      else this.#slots.set(fragile.endpoint, { fragile, capacity: fragile.slots, ceiling: fragile.slots, raisedAtMs: now, pausedUntilMs: now + WARM_UP_MS, grantedAtMs: [] })
    }
  }

  /** Applies a report of a daemon. Times are in milliseconds on the daemon's clock. */
  report (daemon: DaemonId, { held, rejected, receivedGrants }: SlotReport, now: number): void {
    const grants = this.#holders.get(daemon)?.grants.filter(({ number, atMs }) => number > receivedGrants && now - atMs < GRANT_TTL_MS) ?? []
    this.#holders.set(daemon, { held: new Map(held), grants, reportedAtMs: now })
    for (const [endpoint] of rejected) this.#reject(endpoint, now)
  }

  /** Returns true if an endpoint is fragile. */
  isFragile (endpoint: EndpointId): boolean {
    return this.#slots.has(endpoint)
  }

  /** Returns the number of further requests that may be sent to an endpoint; unlimited for others than fragile ones. */
  free (endpoint: EndpointId, { share, now }: { share: number, now: number }): number {
    const slots = this.#slots.get(endpoint)
    if (!slots) return Infinity
    if (now < slots.pausedUntilMs) return 0
    this.#raise(slots, now)
    const recent = slots.grantedAtMs.filter((atMs) => now - atMs < REJECTION_LATENCY_MS).length
    const unchecked = Math.max(1, slots.fragile.maxRejectionsPerS - 1) - recent
    return Math.max(0, Math.min(unchecked, Math.floor(slots.capacity * share) - this.#held(endpoint, now)))
  }

  /** Records that a daemon was granted a request to an endpoint. */
  granted (daemon: DaemonId, { endpoint, number, now }: { endpoint: EndpointId, number: number, now: number }): void {
    const slots = this.#slots.get(endpoint)
    if (!slots) return
    slots.grantedAtMs.push(now)
    const holder: Holder = this.#holders.get(daemon) ?? { held: new Map(), grants: [], reportedAtMs: now }
    holder.grants.push({ number, endpoint, count: 1, atMs: now })
    this.#holders.set(daemon, holder)
  }

  /** Returns the rate of grants for an endpoint in the last second. */
  grantsPerS (endpoint: EndpointId, now: number): number {
    const slots = this.#slots.get(endpoint)
    if (!slots) return Infinity
    slots.grantedAtMs = slots.grantedAtMs.filter((atMs) => now - atMs < RATE_WINDOW_MS)
    return slots.grantedAtMs.length
  }

  #held (endpoint: EndpointId, now: number): number {
    let sum = 0
    for (const [id, { held, grants, reportedAtMs }] of this.#holders) {
      if (now - reportedAtMs >= HOLDER_TTL_MS) {
        this.#holders.delete(id)
        continue
      }
      sum += held.get(endpoint) ?? 0
      for (const grant of grants) if (grant.endpoint === endpoint && now - grant.atMs < GRANT_TTL_MS) sum += grant.count
    }
    return sum
  }

  #reject (endpoint: EndpointId, now: number): void {
    const slots = this.#slots.get(endpoint)
    if (!slots) return
    // Requests that were rejected together show one shortage.
    if (now >= slots.pausedUntilMs) {
      slots.ceiling = Math.max(1, Math.min(slots.capacity, this.#held(endpoint, now)) - 1)
      slots.capacity = Math.max(1, Math.floor(slots.ceiling * CAPACITY_AFTER_REJECTION))
    }
    slots.pausedUntilMs = Math.max(slots.pausedUntilMs, now + PAUSE_RATE_FACTOR * MS_PER_S / (slots.fragile.maxRejectionsPerS + 1))
    slots.raisedAtMs = slots.pausedUntilMs
  }

  #raise (slots: Slots, now: number): void {
    while (slots.capacity < slots.fragile.slots) {
      const intervalMs = slots.capacity < slots.ceiling ? RAISE_INTERVAL_MS : PROBE_INTERVAL_MS
      if (now - slots.raisedAtMs < intervalMs) return
      slots.capacity++
      slots.raisedAtMs += intervalMs
    }
    slots.raisedAtMs = now
  }
}
