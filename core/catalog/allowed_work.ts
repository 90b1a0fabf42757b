/** What all client accounts together may ask for. */
import type { AccountId } from '../ids/index.ts'
import type { Account } from './catalog.ts'

/**
 * Adds up the accounts' quotas of tokens.
 * @param accounts Any number of times each, as by their credentials.
 * @returns Tokens a second; an account without a quota in tokens adds nothing.
 */
export function allowedTokensPerS (accounts: Iterable<Account>): number {
  const quotas = new Map<AccountId, number>()
  for (const { id, quota } of accounts) quotas.set(id, quota?.unit === 'tokens' ? quota.perS : 0)
  return [...quotas.values()].reduce((sum, perS) => sum + perS, 0)
}
