/** How many daemons may be acting, whether this one hears them or not. */
import { mayAnswer } from '../../core/membership/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { MembershipTask } from './membership_task.ts'

/** How long a daemon that the others call gone may still be there, in milliseconds: longer than partitions usually last. */
const COUNTED_MS = 120_000

/** Hosts are counted again after this long, in milliseconds, though no record has changed: those that are gone are forgotten with time. */
const COUNT_MS = 1000

/** Hosts assumed until another daemon was heard: one that starts cut off would otherwise take itself for the whole fleet. */
const ASSUMED = 16

/**
 * Counts hosts that run a daemon.
 *
 * A daemon that is thought gone may only be parted and use its share of what all share, so it counts on for a while; one that said that it
 * leaves does not. Two processes at one address are one host, of which the earlier is dead.
 */
export class FleetSize {
  readonly #membership: MembershipTask
  readonly #seenAtMs = new Map<string, number>()
  #counted = { version: -1, atMs: -Infinity, hosts: 0 }

  constructor (membership: MembershipTask) {
    this.#membership = membership
  }

  /** Hosts now, this one included. */
  get all (): number {
    const { joined, core: { version } } = this.#membership
    const now = steadyNow()
    if (version !== this.#counted.version || now - this.#counted.atMs > COUNT_MS) this.#counted = { version, atMs: now, hosts: this.#count(now) }
    return Math.max(joined ? 1 : ASSUMED, this.#counted.hosts)
  }

  #count (now: number): number {
    const { members } = this.#membership.core
    const alive = members.filter(mayAnswer)
    for (const { address } of alive) this.#seenAtMs.set(address, now)
    for (const { address, state } of members) {
      if (state === 'left' && !alive.some((other) => other.address === address)) this.#seenAtMs.delete(address)
    }
    for (const [address, seenAtMs] of this.#seenAtMs) if (now - seenAtMs > COUNTED_MS) this.#seenAtMs.delete(address)
    return this.#seenAtMs.size
  }
}
