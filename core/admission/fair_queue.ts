/** Queue of accepted requests that wait for an endpoint, fair between client accounts. */
import type { AccountId } from '../ids/index.ts'

/** A request that waits. */
export interface Waiting<T> {
  account: AccountId
  /** Work it asks for, in tokens. */
  tokens: number
  /** When it is too late to start, in milliseconds on the daemon's clock. */
  startByMs: number
  /** Short classes go before long ones of the same account and may use the reserve. */
  urgent: boolean
  item: T
}

/** Chooses which waiting request starts next. */
export interface WorkQueue<T> {
  readonly length: number
  push (entry: Waiting<T>): void
  /** How many of those that wait would start before one more request of this account. */
  ahead (account: AccountId, urgent: boolean): number
  /** The request to start next, without removing it. */
  peek (): Waiting<T> | undefined
  remove (entry: Waiting<T>): void
  /** The first request that matches. */
  find (matches: (entry: Waiting<T>) => boolean): Waiting<T> | undefined
  /** Removes and returns the requests that can no longer start in time. */
  expire (now: number): Waiting<T>[]
}

interface Lane<T> { served: number, entries: Waiting<T>[] }

/**
 * Start-time fair queue: the account with the fewest tokens served goes next, urgent work before other work.
 *
 * Guards against a large account that sends ten times its share: in one queue the small accounts would wait behind it. An account that
 * was idle starts at the level of the busy ones, so it cannot save up a claim on the future.
 */
export class FairQueue<T> implements WorkQueue<T> {
  readonly #lanes = new Map<AccountId, Lane<T>>()
  #level = 0
  #length = 0

  get length (): number { return this.#length }

  push (entry: Waiting<T>): void {
    const lane = this.#lane(entry.account)
    if (lane.entries.length === 0) lane.served = Math.max(lane.served, this.#level)
    const at = entry.urgent ? lane.entries.findIndex((other) => !other.urgent) : -1
    lane.entries.splice(at < 0 ? lane.entries.length : at, 0, entry)
    this.#length++
  }

  /** Lanes take turns, so a long one counts for no more than the new request's own place in its lane. */
  ahead (account: AccountId, urgent: boolean): number {
    const before = (lane: Lane<T>) => (urgent ? lane.entries.filter((entry) => entry.urgent).length : lane.entries.length)
    const own = this.#lanes.get(account)
    const place = (own ? before(own) : 0) + 1
    let ahead = place - 1
    for (const [other, lane] of this.#lanes) if (other !== account) ahead += Math.min(before(lane), place)
    return ahead
  }

  peek (): Waiting<T> | undefined {
    let best: Lane<T> | undefined
    for (const lane of this.#lanes.values()) {
      if (lane.entries.length > 0 && (!best || before(lane, best))) best = lane
    }
    return best?.entries[0]
  }

  remove (entry: Waiting<T>): void {
    const lane = this.#lane(entry.account)
    const at = lane.entries.indexOf(entry)
    if (at < 0) return
    lane.entries.splice(at, 1)
    this.#length--
    this.#level = Math.max(this.#level, lane.served)
    lane.served += entry.tokens
    this.#forgetIdle()
  }

  find (matches: (entry: Waiting<T>) => boolean): Waiting<T> | undefined {
    for (const lane of this.#lanes.values()) {
      const found = lane.entries.find(matches)
      if (found) return found
    }
    return undefined
  }

  expire (now: number): Waiting<T>[] {
    const late: Waiting<T>[] = []
    for (const lane of this.#lanes.values()) {
      late.push(...lane.entries.filter((entry) => entry.startByMs <= now))
      lane.entries = lane.entries.filter((entry) => entry.startByMs > now)
    }
    this.#length -= late.length
    return late
  }

  /** An idle lane at or below the level holds nothing that a new one would not. */
  #forgetIdle (): void {
    for (const [account, lane] of this.#lanes) {
      if (lane.entries.length === 0 && lane.served <= this.#level) this.#lanes.delete(account)
    }
  }

  #lane (account: AccountId): Lane<T> {
    let lane = this.#lanes.get(account)
    if (!lane) {
      lane = { served: this.#level, entries: [] }
      this.#lanes.set(account, lane)
    }
    return lane
  }
}

function before<T> (a: Lane<T>, b: Lane<T>): boolean {
  const aUrgent = a.entries[0]!.urgent
  const bUrgent = b.entries[0]!.urgent
  return aUrgent === bUrgent ? a.served < b.served : aUrgent
}

/** Baseline: first come, first served. */
export class FifoQueue<T> implements WorkQueue<T> {
  #entries: Waiting<T>[] = []

  get length (): number { return this.#entries.length }
  push (entry: Waiting<T>): void { this.#entries.push(entry) }
  ahead (): number { return this.#entries.length }
  peek (): Waiting<T> | undefined { return this.#entries[0] }
  find (matches: (entry: Waiting<T>) => boolean): Waiting<T> | undefined { return this.#entries.find(matches) }
  remove (entry: Waiting<T>): void { this.#entries = this.#entries.filter((other) => other !== entry) }

  expire (now: number): Waiting<T>[] {
    const late = this.#entries.filter((entry) => entry.startByMs <= now)
    this.#entries = this.#entries.filter((entry) => entry.startByMs > now)
    return late
  }
}
