/** Counts the memory that the requests of all daemons may take at each endpoint, and grants what is free, so that no endpoint gets more than it has. */
import type { DaemonId, EndpointId, PoolName } from '../ids/index.ts'
import type { EndpointWork } from '../routing/index.ts'
import type { EndpointTokens } from './memory_stock.ts'
import { OPEN_SHARE, UNGRANTED_SHARE } from './open_allowance.ts'

/** A daemon's need for memory for its next request of a pool, at any of some endpoints. */
export interface MemoryWant { pool: PoolName, tokens: number, endpoints: readonly EndpointId[] }

/** A grant to a daemon. A daemon confirms the number with its next report. */
export interface MemoryGrant { daemon: DaemonId, endpoint: EndpointId, tokens: number, number: number }

/** Options of {@linkcode MemoryLedger}. */
export interface MemoryLedgerOptions {
  /** Returns the usable memory of an endpoint in tokens; undefined if it is not bounded. */
  capacityOf (endpoint: EndpointId): number | undefined
  /** Returns whether daemons may send requests without a grant while a number of tokens is free at an endpoint. Default: they may. */
  isOpen? (endpoint: EndpointId, freeTokens: number): boolean
}

interface Holder { held: Map<EndpointId, number>, grants: Array<Omit<MemoryGrant, 'daemon'> & { atMs: number }>, confirmedNumber: number, reportedAtMs: number }
/** Least sums of the load reports in the current and the last window. */
interface Low { current: number, last: number, startedAtMs: number }
interface Waiting { wants: readonly MemoryWant[], sinceMs: number, askedAtMs: number }

/** Time after which a daemon that does not report counts as gone, in milliseconds; most requests that it has sent have ended by then. */
const HOLDER_TTL_MS = 5000
/** Time after which a grant that was not confirmed is taken to be lost, in milliseconds; daemons use none that arrives later than two seconds after they asked. */
const GRANT_TTL_MS = 3500
/** Time from the first report until the first grant, in milliseconds: all daemons must have reported. */
const WARM_UP_MS = 1000
/** Time without any report after which a new warm-up is needed, in milliseconds. */
const PAUSE_MS = 1000
/** Time in which sends without a grant are all reported, in milliseconds. */
const UNREPORTED_MS = 1500
/** Time after which a daemon that waits is taken not to need the memory, in milliseconds; daemons that need it ask again sooner. */
const WANT_TTL_MS = 1500
/** Time after which a request that waits keeps smaller ones from the memory that it needs, in milliseconds. */
const STARVED_MS = 1000
const EXPIRY_INTERVAL_MS = 100

/**
 * Keeps what each daemon holds, from its reports and the grants that it has not confirmed yet. Times are in milliseconds on the daemon's clock.
 *
 * While the load of an endpoint that was last sent to daemons was low enough for sends without a grant, the memory for these is not granted.
 */
export class MemoryLedger {
  readonly #options: MemoryLedgerOptions
  readonly #holders = new Map<DaemonId, Holder>()
  /** Sums over all daemons, grants included. */
  readonly #totals = new Map<EndpointId, number>()
  /** Sums over the load reports, as they are sent to daemons. */
  readonly #reported = new Map<EndpointId, number>()
  readonly #lows = new Map<EndpointId, Low>()
  readonly #waiting = new Map<DaemonId, Waiting>()
  #number = 0
  #expiredAtMs = -Infinity
  #servingSinceMs = -Infinity
  #lastReportAtMs = -Infinity

  constructor (options: MemoryLedgerOptions) {
    this.#options = options
  }

  /** Announces that a daemon's next load report includes its grants up to a number. */
  confirm (daemon: DaemonId, number: number): void {
    const holder = this.#holders.get(daemon)
    if (holder) holder.confirmedNumber = number
  }

  /** Replaces what a daemon holds by its load report, which includes its unused grants. */
  report (daemon: DaemonId, loads: readonly EndpointWork[], now: number): void {
    const holder = this.#recordReport(daemon, now)
    const held = new Map<EndpointId, number>()
    for (const [endpoint, { heldTokens = 0 }] of loads) if (heldTokens > 0) held.set(endpoint, heldTokens)
    for (const endpoint of new Set([...holder.held.keys(), ...held.keys()])) {
      const change = (held.get(endpoint) ?? 0) - (holder.held.get(endpoint) ?? 0)
      this.#add(endpoint, change)
      this.#addReported(endpoint, change, now)
    }
    holder.held = held
    this.#dropGrants(holder, ({ number }) => number <= holder.confirmedNumber)
  }

  /** Replaces what a daemon holds at some endpoints, with its grants up to a number. */
  update (daemon: DaemonId, { held, received }: { held: readonly EndpointTokens[], received: number }, now: number): void {
    const holder = this.#recordReport(daemon, now)
    for (const [endpoint, tokens] of held) {
      const change = tokens - (holder.held.get(endpoint) ?? 0)
      this.#add(endpoint, change)
      this.#addReported(endpoint, change, now)
      if (tokens > 0) holder.held.set(endpoint, tokens)
      else holder.held.delete(endpoint)
    }
    holder.confirmedNumber = received
    this.#dropGrants(holder, ({ number }) => number <= received)
  }

  /** Records what a daemon needs, in place of what it needed before for the same pools. */
  want (daemon: DaemonId, wants: readonly MemoryWant[], now: number): void {
    const waiting = this.#waiting.get(daemon)
    const others = waiting?.wants.filter(({ pool }) => wants.every((want) => want.pool !== pool)) ?? []
    this.#waiting.set(daemon, { wants: [...others, ...wants], askedAtMs: now, sinceMs: waiting?.sinceMs ?? now })
  }

  /**
   * Grants free memory to the daemons that wait, the first ones first.
   * @param share Part of all daemons that report here; no more than this part of an endpoint's memory is granted.
   */
  allocate ({ share, now }: { share: number, now: number }): MemoryGrant[] {
    this.#expire(now)
    if (now - this.#servingSinceMs < WARM_UP_MS) {
      // Sums of a part of the daemons say nothing about what the endpoints hold.
      this.#lows.clear()
      return []
    }
    const grants: MemoryGrant[] = []
    const rooms = new Map<EndpointId, number>()
    for (const [daemon, { wants, sinceMs, askedAtMs }] of this.#waiting) {
      if (now - askedAtMs > WANT_TTL_MS) {
        this.#waiting.delete(daemon)
        continue
      }
      const unmet = wants.filter(({ tokens, endpoints }) => {
        const best = this.#roomiest(endpoints, { rooms, share, now })
        if (!best) return true
        if (best.room >= tokens) grants.push(this.#grant(daemon, { endpoint: best.endpoint, tokens, now }))
        // What is left is kept for a request that has waited for long.
        if (best.room >= tokens) rooms.set(best.endpoint, best.room - tokens)
        else if (now - sinceMs > STARVED_MS) rooms.set(best.endpoint, 0)
        return best.room < tokens
      })
      if (unmet.length === 0) this.#waiting.delete(daemon)
      else if (unmet.length < wants.length) this.#waiting.set(daemon, { wants: unmet, sinceMs, askedAtMs })
    }
    return grants
  }

  /** Returns the number of tokens held at an endpoint by all daemons, grants included. */
  held (endpoint: EndpointId): number { return this.#totals.get(endpoint) ?? 0 }

  /** Returns whether a daemon waits for memory. */
  isWaiting (daemon: DaemonId): boolean { return this.#waiting.has(daemon) }

  /** Number of daemons that wait for memory. */
  get waiting (): number { return this.#waiting.size }

  #roomiest (endpoints: readonly EndpointId[], { rooms, share, now }: { rooms: Map<EndpointId, number>, share: number, now: number }): { endpoint: EndpointId, room: number } | undefined {
    let best: { endpoint: EndpointId, room: number } | undefined
    for (const endpoint of endpoints) {
      let room = rooms.get(endpoint)
      if (room === undefined) {
        room = this.#room(endpoint, { share, now })
        rooms.set(endpoint, room)
      }
      if (room > (best?.room ?? 0)) best = { endpoint, room }
    }
    return best
  }

  #room (endpoint: EndpointId, { share, now }: { share: number, now: number }): number {
    const capacity = this.#options.capacityOf(endpoint)
    if (capacity === undefined) return 0
    const low = this.#lowOf(endpoint, now)
    const least = Math.min(low.current, low.last)
    const isOpen = least <= capacity * OPEN_SHARE && (this.#options.isOpen?.(endpoint, capacity - least) ?? true)
    const ungranted = isOpen ? (capacity - least) * UNGRANTED_SHARE : 0
    return (capacity - ungranted) * share - this.held(endpoint)
  }

  #grant (daemon: DaemonId, { endpoint, tokens, now }: { endpoint: EndpointId, tokens: number, now: number }): MemoryGrant {
    const number = ++this.#number
    this.#holderOf(daemon, now).grants.push({ endpoint, tokens, number, atMs: now })
    this.#add(endpoint, tokens)
    return { daemon, endpoint, tokens, number }
  }

  #recordReport (daemon: DaemonId, now: number): Holder {
    if (now - this.#lastReportAtMs > PAUSE_MS) this.#servingSinceMs = now
    this.#lastReportAtMs = now
    const holder = this.#holderOf(daemon, now)
    holder.reportedAtMs = now
    return holder
  }

  #holderOf (daemon: DaemonId, now: number): Holder {
    let holder = this.#holders.get(daemon)
    if (!holder) {
      holder = { held: new Map(), grants: [], confirmedNumber: 0, reportedAtMs: now }
      this.#holders.set(daemon, holder)
    }
    return holder
  }

  #dropGrants (holder: Holder, isDropped: (grant: Holder['grants'][number]) => boolean): void {
    if (!holder.grants.some(isDropped)) return
    for (const grant of holder.grants) if (isDropped(grant)) this.#add(grant.endpoint, -grant.tokens)
    holder.grants = holder.grants.filter((grant) => !isDropped(grant))
  }

  #expire (now: number): void {
    if (now - this.#expiredAtMs < EXPIRY_INTERVAL_MS) return
    this.#expiredAtMs = now
    for (const [daemon, holder] of this.#holders) {
      this.#dropGrants(holder, ({ atMs }) => now - atMs >= GRANT_TTL_MS)
      if (now - holder.reportedAtMs < HOLDER_TTL_MS) continue
      this.#dropGrants(holder, () => true)
      for (const [endpoint, tokens] of holder.held) {
        this.#add(endpoint, -tokens)
        this.#addReported(endpoint, -tokens, now)
      }
      this.#holders.delete(daemon)
      this.#waiting.delete(daemon)
    }
  }

  #add (endpoint: EndpointId, tokens: number): void {
    if (tokens !== 0) addTo(this.#totals, endpoint, tokens)
  }

  #addReported (endpoint: EndpointId, tokens: number, now: number): void {
    if (tokens === 0) return
    // The sum that is replaced was sent until now.
    this.#lowOf(endpoint, now)
    addTo(this.#reported, endpoint, tokens)
    const sum = this.#reported.get(endpoint) ?? 0
    const low = this.#lows.get(endpoint)!
    low.current = Math.min(low.current, sum)
    if (sum === 0 && this.#totals.get(endpoint) === undefined) this.#lows.delete(endpoint)
  }

  /** Least sums that were sent to daemons in the last one to two windows. */
  #lowOf (endpoint: EndpointId, now: number): Low {
    const sum = this.#reported.get(endpoint) ?? 0
    let low = this.#lows.get(endpoint)
    if (!low) {
      low = { current: sum, last: sum, startedAtMs: now }
      this.#lows.set(endpoint, low)
    }
    const ageMs = now - low.startedAtMs
    if (ageMs < UNREPORTED_MS) return low
    // The sum has not changed since the window ended, or this would have been called then: changes call it first.
    low.last = ageMs < 2 * UNREPORTED_MS ? low.current : sum
    low.current = sum
    low.startedAtMs = now
    return low
  }
}

function addTo (sums: Map<EndpointId, number>, endpoint: EndpointId, tokens: number): void {
  const sum = (sums.get(endpoint) ?? 0) + tokens
  if (sum === 0) sums.delete(endpoint)
  else sums.set(endpoint, sum)
}
