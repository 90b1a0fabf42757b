/** Enforces the quotas of client accounts on behalf of the daemons that voted for this one. */
import type { Quota } from '../catalog/index.ts'
import type { AccountId, DaemonId } from '../ids/index.ts'
import { bucketLimits, type QuotaTolerance } from './quota.ts'
import { SharedBucket } from './shared_bucket.ts'

/** Level of an account's bucket, as reported to another daemon. */
export type AccountLevel = readonly [account: AccountId, level: number]

/**
 * Decision on a request. `room` is the account's remaining quota, in requests or tokens. `unknown` is set if no daemon votes for the keeper,
 * which then has no share of the quota to decide on.
 */
export type QuotaDecision = { granted: true } | { granted: false, retryAfterMs: number, room: number, unknown?: true }

/**
 * Lifetime of a vote, in milliseconds.
 *
 * Longer than three vote intervals, so a lost vote has no effect. A daemon that selects another keeper may still be counted by the previous
 * one for this long.
 */
export const VOTE_TTL_MS = 1000

/** Fraction of its part of a quota's capacity that a keeper keeps back when it grants quota ahead: near its limit an account is charged request by request. */
const KEPT_BACK_FRACTION = 0.5

/** Interval between a daemon's votes, in milliseconds; three intervals fit into a vote's lifetime. */
export const VOTE_INTERVAL_MS = 300

/** A daemon's vote for a keeper. */
export interface Vote {
  /** Name of the daemon's host, which runs one daemon process at a time; unchanged by a restart. */
  host: string
  /** Increases with each vote and withdrawal of a daemon, so that late messages are ignored. */
  number: number
  /** Bucket levels reported by its previous keeper, the only record of what was used there. */
  told: readonly AccountLevel[]
  /** Milliseconds until its last vote for another keeper expires. */
  freeInMs: number
}

/**
 * Accounts for the quota use of all daemons that vote for it.
 *
 * A daemon votes for one keeper at a time, and a vote takes effect only once the previous one has expired. Keepers on two sides of a partition
 * therefore hold only the votes of their own side and draw on that share of every quota, so together they never grant more than a single
 * keeper would. A keeper that resumes after a pause has no valid votes.
 */
export class QuotaKeeper {
  #tolerance: QuotaTolerance
  readonly #quotas = new Map<AccountId, Quota>()
  readonly #buckets = new Map<AccountId, SharedBucket>()
  readonly #votes = new Map<DaemonId, { host: string, number: number, atMs: number, countsFromMs: number }>()

  constructor (options: { tolerance: QuotaTolerance }) {
    this.#tolerance = options.tolerance
  }

  /** Applies the quotas of a configuration; a lower quota takes effect immediately. */
  apply (quotas: ReadonlyMap<AccountId, Quota>, now: number): void {
    for (const id of this.#quotas.keys()) {
      if (quotas.has(id)) continue
      this.#quotas.delete(id)
      this.#buckets.delete(id)
    }
    for (const [id, quota] of quotas) {
      this.#quotas.set(id, quota)
      const limits = bucketLimits(quota, this.#tolerance)
      const bucket = this.#buckets.get(id)
      if (bucket) bucket.resize(limits)
      else this.#buckets.set(id, new SharedBucket({ ...limits, now }))
    }
  }

  /** Changes the tolerance of the current quotas. */
  setTolerance (tolerance: QuotaTolerance, now: number): void {
    this.#tolerance = tolerance
    this.apply(new Map(this.#quotas), now)
  }

  /** Records a daemon's first or repeated vote for this keeper. */
  vote (daemon: DaemonId, now: number, { host, number, told, freeInMs }: Vote): void {
    const known = this.#votes.get(daemon)
    if (known && known.number >= number) return
    this.#votes.set(daemon, { host, number, atMs: now, countsFromMs: Math.min(known?.countsFromMs ?? Infinity, now + freeInMs) })
    for (const [account, level] of told) this.#buckets.get(account)?.lowerTo(level)
  }

  /** Extends the vote of a daemon from which a message arrived. */
  renewVote (daemon: DaemonId, now: number): void {
    const known = this.#votes.get(daemon)
    if (known) known.atMs = now
  }

  /** Withdraws a daemon's vote; its earlier votes are ignored from now on. */
  withdraw (daemon: DaemonId, now: number, number: number): void {
    this.#votes.set(daemon, { host: '', number, atMs: now, countsFromMs: Infinity })
  }

  /**
   * Grants or denies a request.
   * @param at.all Number of daemons that may be running, reachable or not.
   */
  tryAcquire (account: AccountId, cost: number, at: { now: number, all: number }): QuotaDecision {
    const bucket = this.#buckets.get(account)
    if (!bucket) return { granted: true }
    const share = this.part(at.now, at.all)
    const room = bucket.room(at.now, share)
    const threshold = bucket.admissionThreshold(cost)
    if (room < threshold) return { granted: false, retryAfterMs: bucket.reject(cost, threshold), room, ...(share === 0 && { unknown: true }) }
    bucket.consume(cost)
    return { granted: true }
  }

  /** Grants an amount to a daemon that draws ahead: returns the amount, or 0 if the account is near its limit. */
  drawAhead (account: AccountId, amount: number, at: { now: number, all: number }): number {
    const bucket = this.#buckets.get(account)
    const share = this.part(at.now, at.all)
    if (!bucket || share === 0 || !(amount > 0) || bucket.room(at.now, share) - amount < bucket.capacity * share * KEPT_BACK_FRACTION) return 0
    bucket.consume(amount)
    return amount
  }

  /** Refunds the cost of a granted request that was not sent to any endpoint. */
  refund (account: AccountId, cost: number): void {
    this.#buckets.get(account)?.consume(-cost)
  }

  /** Returns the bucket levels, which voters keep for the next keeper in case this one fails. */
  levels (at: { now: number, all: number }): AccountLevel[] {
    const share = this.part(at.now, at.all)
    return [...this.#buckets].map(([account, bucket]) => {
      bucket.room(at.now, share)
      return [account, bucket.level]
    })
  }

  /**
   * Returns the fraction of all daemons whose votes for this keeper are valid.
   *
   * If the daemons of all hosts vote for this keeper, no other can hold a vote, so all votes count immediately. Otherwise callers would wait a
   * second after a loss of all daemons, until the votes for the lost keepers have expired.
   */
  part (now: number, all: number): number {
    const hosts = new Set<string>()
    let validVotes = 0
    for (const [daemon, { host, atMs, countsFromMs }] of this.#votes) {
      if (now - atMs > VOTE_TTL_MS) {
        this.#votes.delete(daemon)
        continue
      }
      if (countsFromMs < Infinity) hosts.add(host)
      if (countsFromMs <= now) validVotes++
    }
    return hosts.size >= all ? 1 : Math.min(validVotes, all) / Math.max(1, all)
  }
}
