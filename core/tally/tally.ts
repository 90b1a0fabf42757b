/** Distributed counters (grow-only counter CRDT): each daemon increments its own total and gossips it. */
import type { DaemonId } from '../ids/index.ts'

/** Total of one key on one daemon. */
export type TallyEntry = readonly [key: string, total: number]

/** Totals of one daemon, as sent by itself or forwarded by another. */
export interface TallySheet { daemon: DaemonId, entries: TallyEntry[] }

/**
 * Grow-only counters by daemon and key.
 *
 * Totals never decrease, so duplicate, late and forwarded messages have no effect, and a lost message is made up for by the next. The totals that a daemon
 * published before it failed remain included.
 */
export class Tally {
  readonly #self: DaemonId
  readonly #totals = new Map<DaemonId, Map<string, number>>()
  readonly #changed = new Set<string>()

  constructor (self: DaemonId) {
    this.#self = self
    this.#totals.set(self, new Map())
  }

  /** Increases this daemon's own total. */
  add (key: string, amount: number): void {
    const own = this.#totals.get(this.#self)!
    own.set(key, (own.get(key) ?? 0) + amount)
    this.#changed.add(key)
  }

  /** Returns this daemon's own total. */
  own (key: string): number {
    return this.#totals.get(this.#self)!.get(key) ?? 0
  }

  /** Returns the sum of the known totals of all daemons. */
  sum (key: string): number {
    let sum = 0
    for (const totals of this.#totals.values()) sum += totals.get(key) ?? 0
    return sum
  }

  /** Returns the number of daemons with a known total for the key. */
  reporterCount (key: string): number {
    let count = 0
    for (const totals of this.#totals.values()) if (totals.has(key)) count++
    return count
  }

  /** Returns the keys with a prefix, over all daemons. */
  keys (prefix: string): Set<string> {
    const keys = new Set<string>()
    for (const totals of this.#totals.values()) {
      for (const key of totals.keys()) if (key.startsWith(prefix)) keys.add(key)
    }
    return keys
  }

  /** Iterates over the totals of each daemon whose key has a prefix. */
  * entries (prefix: string): Iterable<{ daemon: DaemonId, key: string, total: number }> {
    for (const [daemon, totals] of this.#totals) {
      for (const [key, total] of totals) if (key.startsWith(prefix)) yield { daemon, key, total }
    }
  }

  /** Returns the own totals that changed since the previous call. */
  takeChanges (): TallyEntry[] {
    const own = this.#totals.get(this.#self)!
    const entries = [...this.#changed].filter((key) => own.has(key)).map((key): TallyEntry => [key, own.get(key)!])
    this.#changed.clear()
    return entries
  }

  /** Returns all known totals of one daemon. */
  sheetOf (daemon: DaemonId): TallyEntry[] {
    return [...this.#totals.get(daemon) ?? []]
  }

  /** Returns all known totals, for a joining daemon. */
  sheets (): TallySheet[] {
    return [...this.#totals.keys()].map((daemon) => ({ daemon, entries: this.sheetOf(daemon) }))
  }

  /** Merges the totals of a daemon. Totals of this daemon itself are ignored. */
  receive (sheet: TallySheet): void {
    if (sheet.daemon === this.#self) return
    const totals = this.#totals.get(sheet.daemon) ?? new Map<string, number>()
    this.#totals.set(sheet.daemon, totals)
    for (const [key, total] of sheet.entries) totals.set(key, Math.max(total, totals.get(key) ?? 0))
  }

  /** Removes matching keys of all daemons. */
  forget (matches: (key: string) => boolean): void {
    for (const totals of this.#totals.values()) {
      for (const key of totals.keys()) if (matches(key)) totals.delete(key)
    }
  }

  /** Removes the totals of a departed daemon. */
  forgetDaemon (daemon: DaemonId): void {
    if (daemon !== this.#self) this.#totals.delete(daemon)
  }
}
