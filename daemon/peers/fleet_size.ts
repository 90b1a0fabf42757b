/** Estimates how many hosts run a daemon, including those that are currently unreachable. */
import { isPresumedAlive } from '../../core/membership/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { MembershipTask } from './membership_task.ts'

/** How long a daemon that was declared dead still counts, in milliseconds: longer than network partitions usually last. */
const ABSENT_RETENTION_MS = 120_000

/** Maximum age of the cached count, in milliseconds: absent hosts expire without any change to the membership records. */
const RECOUNT_INTERVAL_MS = 1000

/** Host count assumed until contact with another daemon: a daemon that starts partitioned must not treat itself as the whole fleet. */
const ASSUMED_HOSTS = 16

/**
 * Counts the hosts that run a daemon.
 *
 * A daemon that was declared dead may only be partitioned and still use its share of shared limits, so it keeps counting for a while; one that
 * announced its departure does not. Two processes at the same address count as one host: the earlier process is dead.
 */
export class FleetSize {
  readonly #membership: MembershipTask
  readonly #lastSeenAtMs = new Map<string, number>()
  #cached = { version: -1, atMs: -Infinity, hosts: 0 }

  constructor (membership: MembershipTask) {
    this.#membership = membership
  }

  /** Current number of hosts, including this one. */
  get hostCount (): number {
    const { joined, core: { version } } = this.#membership
    const now = steadyNow()
    if (version !== this.#cached.version || now - this.#cached.atMs > RECOUNT_INTERVAL_MS) this.#cached = { version, atMs: now, hosts: this.#count(now) }
    return Math.max(joined ? 1 : ASSUMED_HOSTS, this.#cached.hosts)
  }

  #count (now: number): number {
    const { members } = this.#membership.core
    const alive = members.filter(isPresumedAlive)
    for (const { address } of alive) this.#lastSeenAtMs.set(address, now)
    for (const { address, state } of members) {
      if (state === 'left' && !alive.some((other) => other.address === address)) this.#lastSeenAtMs.delete(address)
    }
    for (const [address, seenAtMs] of this.#lastSeenAtMs) if (now - seenAtMs > ABSENT_RETENTION_MS) this.#lastSeenAtMs.delete(address)
    return this.#lastSeenAtMs.size
  }
}
