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

interface Grant { number: number, endpoint: EndpointId, atMs: number }
interface Holder { held: readonly EndpointCount[], grants: Grant[], reportedAtMs: number }
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
/** Least interval between searches for daemons that are gone and grants that are lost, in milliseconds. */
const EXPIRY_INTERVAL_MS = 20
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
  /** Sums over all daemons. They are kept up to date, since a sum for each question would make the cost grow with the square of the number of daemons. */
  readonly #totals = new Map<EndpointId, number>()
  #expiredAtMs = -Infinity

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
    const known = this.#holders.get(daemon)
    const grants = known?.grants.filter(({ number, atMs }) => number > receivedGrants && now - atMs < GRANT_TTL_MS) ?? []
    if (known) this.#count(known, -1)
    const holder = { held, grants, reportedAtMs: now }
    this.#holders.set(daemon, holder)
    this.#count(holder, 1)
    for (const [endpoint] of rejected) this.#reject(endpoint, now)
  }

  /** Returns the number of further requests that may be sent to an endpoint; unlimited for others than fragile ones. */
  free (endpoint: EndpointId, { share, now }: { share: number, now: number }): number {
    const slots = this.#slots.get(endpoint)
    if (!slots) return Infinity
    if (now < slots.pausedUntilMs) return 0
    this.#raise(slots, now)
    const unchecked = Math.max(1, Math.floor(slots.fragile.maxRejectionsPerS) - 1) - countSince(slots.grantedAtMs, now - REJECTION_LATENCY_MS)
    return Math.max(0, Math.min(unchecked, Math.floor(slots.capacity * share) - this.#held(endpoint, now)))
  }

  /** Records that a daemon was granted a request to an endpoint. */
  granted (daemon: DaemonId, { endpoint, number, now }: { endpoint: EndpointId, number: number, now: number }): void {
    const slots = this.#slots.get(endpoint)
    if (!slots) return
    slots.grantedAtMs.push(now)
    const holder: Holder = this.#holders.get(daemon) ?? { held: [], grants: [], reportedAtMs: now }
    holder.grants.push({ number, endpoint, atMs: now })
    this.#holders.set(daemon, holder)
    this.#add(endpoint, 1)
  }

  /** Returns the rate of grants for an endpoint in the last second. */
  grantsPerS (endpoint: EndpointId, now: number): number {
    const slots = this.#slots.get(endpoint)
    if (!slots) return Infinity
    while (slots.grantedAtMs.length > 0 && now - slots.grantedAtMs[0]! >= RATE_WINDOW_MS) slots.grantedAtMs.shift()
    return slots.grantedAtMs.length
  }

  #held (endpoint: EndpointId, now: number): number {
    if (now - this.#expiredAtMs >= EXPIRY_INTERVAL_MS) this.#expire(now)
    return this.#totals.get(endpoint) ?? 0
  }

  #expire (now: number): void {
    this.#expiredAtMs = now
    for (const [id, holder] of this.#holders) {
      const isGone = now - holder.reportedAtMs >= HOLDER_TTL_MS
      if (!isGone && holder.grants.every(({ atMs }) => now - atMs < GRANT_TTL_MS)) continue
      this.#count(holder, -1)
      if (isGone) this.#holders.delete(id)
      else {
        holder.grants = holder.grants.filter(({ atMs }) => now - atMs < GRANT_TTL_MS)
        this.#count(holder, 1)
      }
    }
  }

  /** Adds what a daemon has to the sums, or removes it. */
  #count ({ held, grants }: Holder, sign: 1 | -1): void {
    for (const [endpoint, count] of held) this.#add(endpoint, sign * count)
    for (const { endpoint } of grants) this.#add(endpoint, sign)
  }

  #add (endpoint: EndpointId, count: number): void {
    const total = (this.#totals.get(endpoint) ?? 0) + count
    if (total === 0) this.#totals.delete(endpoint)
    else this.#totals.set(endpoint, total)
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

/** Returns how many of the times, which are in order, are later than the given one. */
function countSince (times: readonly number[], sinceMs: number): number {
  let count = 0
  while (count < times.length && times[times.length - 1 - count]! > sinceMs) count++
  return count
}
