/** Compares what accounts were served of late. */
import type { AccountId } from '../ids/index.ts'
import { WorkRate } from './work_rate.ts'

/** Time over which the weight of past work falls to 1/e, in milliseconds. */
const WINDOW_MS = 5000
/** Rate below which an account is forgotten, in tokens per millisecond. */
const MIN_PER_MS = 1e-3

/**
 * Work accepted for each account.
 *
 * Load pattern: one account sends several times its usual. Without shares all accounts are refused alike, although one of them causes the overload.
 */
export class AccountShares {
  readonly #rates = new Map<AccountId, WorkRate>()

  /** Counts accepted work. */
  add (account: AccountId, tokens: number, now: number): void {
    let rate = this.#rates.get(account)
    if (!rate) {
      rate = new WorkRate({ windowMs: WINDOW_MS })
      this.#rates.set(account, rate)
    }
    rate.add(tokens, now)
  }

  /** Returns the work accepted for an account as a multiple of the mean of all active accounts; 0 if none is active. */
  ofMean (account: AccountId, now: number): number {
    let sum = 0
    for (const [id, rate] of this.#rates) {
      const perMs = rate.perMs(now)
      if (perMs < MIN_PER_MS) this.#rates.delete(id)
      else sum += perMs
    }
    return sum === 0 ? 0 : (this.#rates.get(account)?.perMs(now) ?? 0) * this.#rates.size / sum
  }
}
