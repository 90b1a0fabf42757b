/** Holds client accounts to their quotas, over all daemons. */
import type { Account, Quota } from '../../core/catalog/index.ts'
import type { AccountId } from '../../core/ids/index.ts'
import { bucketOf, costOf, SharedBucket, type QuotaTolerance } from '../../core/quota/index.ts'
import type { TallyGrowth } from '../../core/tally/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { Demand } from '../../core/work/index.ts'
import type { MembershipTask } from '../peers/membership_task.ts'
import type { TallyTask } from '../peers/tally_task.ts'

/** Options of {@linkcode AccountLimits}. */
export interface AccountLimitsOptions {
  tolerance: QuotaTolerance
  tallies: TallyTask
  membership: MembershipTask
}

/** What an account asked for and was granted; given back when nothing came of it. */
export interface Charge {
  /** The request was not sent to any endpoint. */
  giveBack (): void
}

/** A quota has no room for a request now. */
export interface OverQuota { retryAfterMs: number }

interface AccountBucket { bucket: SharedBucket, quota: Quota, sinceMs: number }
/** Levels as an older daemon knows them. */
interface Levels { levels: Array<[account: AccountId, level: number, ageMs: number]> }

const USED = 'used/'
const GIVEN_BACK = 'given-back/'
const TOPIC = 'quota-levels'
const NO_CHARGE: Charge = { giveBack: () => {} }

/** Owns a bucket for each account with a quota. */
export class AccountLimits {
  readonly #options: AccountLimitsOptions
  readonly #buckets = new Map<AccountId, AccountBucket>()

  constructor (options: AccountLimitsOptions) {
    this.#options = options
    const { tallies, membership } = options
    tallies.onGrowth((growth) => growth.forEach((each) => this.#used(each)))
    membership.links.onPost(TOPIC, ({ levels }: Levels) => levels.forEach((each) => this.#adopt(...each)))
    membership.onLink((to) => membership.links.post(to, TOPIC, { levels: this.#levels() } satisfies Levels))
  }

  /** Puts the quotas of a configuration in force. */
  apply (accounts: Iterable<Account>): void {
    const known = new Set<AccountId>()
    for (const { id, quota } of accounts) {
      if (!quota) continue
      known.add(id)
      const entry = this.#buckets.get(id)
      const limits = bucketOf(quota, this.#options.tolerance)
      if (entry) {
        entry.quota = quota
        entry.bucket.resize(limits)
      } else {
        const now = steadyNow()
        this.#buckets.set(id, { quota, bucket: new SharedBucket({ ...limits, now }), sinceMs: now })
      }
    }
    for (const id of this.#buckets.keys()) if (!known.has(id)) this.#buckets.delete(id)
  }

  /** Charges a request to its account, or tells when there will be room. */
  charge (account: AccountId, demand: Demand | undefined): Charge | OverQuota {
    const entry = this.#buckets.get(account)
    if (!entry) return NO_CHARGE
    const { bucket, quota } = entry
    const cost = costOf(quota, demand)
    const { heard, all } = this.#options.tallies.hearing()
    if (bucket.room(steadyNow(), heard / all) < cost) return { retryAfterMs: bucket.waitMs(cost) }
    const { tally } = this.#options.tallies
    bucket.take(cost)
    tally.add(USED + account, cost)
    return {
      giveBack: () => {
        bucket.take(-cost)
        tally.add(GIVEN_BACK + account, cost)
      }
    }
  }

  #used ({ key, amount }: TallyGrowth): void {
    if (key.startsWith(USED)) this.#buckets.get(key.slice(USED.length) as AccountId)?.bucket.take(amount)
    if (key.startsWith(GIVEN_BACK)) this.#buckets.get(key.slice(GIVEN_BACK.length) as AccountId)?.bucket.take(-amount)
  }

  #levels (): Levels['levels'] {
    const now = steadyNow()
    return [...this.#buckets].map(([account, { bucket, sinceMs }]) => [account, bucket.level, now - sinceMs])
  }

  #adopt (account: AccountId, level: number, ageMs: number): void {
    const entry = this.#buckets.get(account)
    const now = steadyNow()
    if (!entry || now - entry.sinceMs >= ageMs) return
    entry.sinceMs = now - ageMs
    entry.bucket.adopt(level)
  }
}
