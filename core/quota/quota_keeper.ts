/** Grants client accounts what their quotas allow, for the daemons that have chosen this one to count. */
import type { Quota } from '../catalog/index.ts'
import type { AccountId, DaemonId } from '../ids/index.ts'
import { bucketOf, type QuotaTolerance } from './quota.ts'
import { SharedBucket } from './shared_bucket.ts'

/** Level of an account's bucket, as a daemon was told it. */
export type AccountLevel = readonly [account: AccountId, level: number]

/**
 * What a request is told. `room` is what the account had left, in requests or tokens; `unknown` when nobody has chosen the keeper, so that it cannot know
 * whether there is any.
 */
export type Grant = { granted: true } | { granted: false, retryAfterMs: number, room: number, unknown?: true }

/**
 * How long a daemon's choice counts, in milliseconds.
 *
 * Longer than three of its votes are apart, so that a lost one costs nothing; and as long as a daemon that chose another may be counted by both.
 */
export const VOTE_KEPT_MS = 1000

/** Between two votes for a keeper, in milliseconds; three of them fit into the time that one counts. */
export const VOTE_MS = 300

/** A daemon's choice of a keeper. */
export interface Vote {
  /** Names the place of the daemon, which has one process at a time; the same after a restart. */
  host: string
  /** Grows with each vote and each withdrawal of a daemon, so that one that comes late undoes nothing. */
  number: number
  /** Levels that its keeper before told it; nobody else knows what was used there. */
  told: readonly AccountLevel[]
  /** Milliseconds until its last vote for another keeper counts no more. */
  freeInMs: number
}

/**
 * Counts what all of its voters use.
 *
 * Each daemon chooses one keeper at a time, and a vote counts only once the one before has run out. So of keepers on two sides of a partition
 * each has the votes of its own side only, and draws on that part of every quota: together they never grant more than one keeper would. A keeper
 * that was paused wakes with no votes.
 */
export class QuotaKeeper {
  #tolerance: QuotaTolerance
  readonly #quotas = new Map<AccountId, Quota>()
  readonly #buckets = new Map<AccountId, SharedBucket>()
  readonly #votes = new Map<DaemonId, { host: string, number: number, atMs: number, countsFromMs: number }>()

  constructor (options: { tolerance: QuotaTolerance }) {
    this.#tolerance = options.tolerance
  }

  /** Puts the quotas of a configuration in force; a lower one binds at once. */
  apply (quotas: ReadonlyMap<AccountId, Quota>, now: number): void {
    for (const id of this.#quotas.keys()) {
      if (quotas.has(id)) continue
      this.#quotas.delete(id)
      this.#buckets.delete(id)
    }
    for (const [id, quota] of quotas) {
      this.#quotas.set(id, quota)
      const limits = bucketOf(quota, this.#tolerance)
      const bucket = this.#buckets.get(id)
      if (bucket) bucket.resize(limits)
      else this.#buckets.set(id, new SharedBucket({ ...limits, now }))
    }
  }

  /** Takes another tolerance of the quotas in force. */
  tolerate (tolerance: QuotaTolerance, now: number): void {
    this.#tolerance = tolerance
    this.apply(new Map(this.#quotas), now)
  }

  /** A daemon has chosen this keeper, or says so again. */
  vote (daemon: DaemonId, now: number, { host, number, told, freeInMs }: Vote): void {
    const known = this.#votes.get(daemon)
    if (known && known.number >= number) return
    this.#votes.set(daemon, { host, number, atMs: now, countsFromMs: Math.min(known?.countsFromMs ?? Infinity, now + freeInMs) })
    for (const [account, level] of told) this.#buckets.get(account)?.lower(level)
  }

  /** A daemon that has chosen this keeper was heard. */
  heard (daemon: DaemonId, now: number): void {
    const known = this.#votes.get(daemon)
    if (known) known.atMs = now
  }

  /** A daemon has chosen another; no vote of before counts any more. */
  withdraw (daemon: DaemonId, now: number, number: number): void {
    this.#votes.set(daemon, { host: '', number, atMs: now, countsFromMs: Infinity })
  }

  /**
   * Grants or denies one request.
   * @param all Daemons that may act, whether they are heard or not.
   */
  ask (account: AccountId, cost: number, at: { now: number, all: number }): Grant {
    const bucket = this.#buckets.get(account)
    if (!bucket) return { granted: true }
    const part = this.part(at.now, at.all)
    const room = bucket.room(at.now, part)
    const needed = bucket.needed(cost)
    if (room < needed) return { granted: false, retryAfterMs: bucket.turnAway(cost, needed), room, ...(part === 0 && { unknown: true }) }
    bucket.take(cost)
    return { granted: true }
  }

  /** Gives back what a request was granted that was not sent to any endpoint. */
  giveBack (account: AccountId, cost: number): void {
    this.#buckets.get(account)?.take(-cost)
  }

  /** Levels for the voters to keep, in case another must count after this one. */
  levels (at: { now: number, all: number }): AccountLevel[] {
    const part = this.part(at.now, at.all)
    return [...this.#buckets].map(([account, bucket]) => {
      bucket.room(at.now, part)
      return [account, bucket.level]
    })
  }

  /**
   * Part of all daemons that have chosen this keeper.
   *
   * Once every host's daemon has chosen it, nobody is left to ask another: then all count at once. Else all callers would wait a second after each
   * loss of all daemons, for votes that died with their keepers to run out.
   */
  part (now: number, all: number): number {
    const hosts = new Set<string>()
    let counted = 0
    for (const [daemon, { host, atMs, countsFromMs }] of this.#votes) {
      if (now - atMs > VOTE_KEPT_MS) {
        this.#votes.delete(daemon)
        continue
      }
      if (countsFromMs < Infinity) hosts.add(host)
      if (countsFromMs <= now) counted++
    }
    return hosts.size >= all ? 1 : Math.min(counted, all) / Math.max(1, all)
  }
}
