/** Total quota of all client accounts. */
import type { AccountId } from '../ids/index.ts'
import type { Account } from './catalog.ts'

/**
 * Returns the sum of the token quotas of all accounts.
 * @param accounts Accounts by credential; an account with several credentials counts once.
 * @returns Tokens per second. Accounts without a token quota do not count.
 */
export function totalTokenQuotaPerS (accounts: Iterable<Account>): number {
  const quotas = new Map<AccountId, number>()
  for (const { id, quota } of accounts) quotas.set(id, quota?.unit === 'tokens' ? quota.perS : 0)
  return [...quotas.values()].reduce((sum, perS) => sum + perS, 0)
}
