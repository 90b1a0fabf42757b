import { expect, test } from 'vitest'
import { as } from '../ids/index.ts'
import { totalTokenQuotaPerS, type Account } from './index.ts'

const account = (id: string, quota: Account['quota']): Account => ({ id: as(id), priority: undefined, quota })

test('token quotas are added up, counting an account with two credentials once', () => {
  const large = account('large', { unit: 'tokens', perS: 150_000, burst: 1, plainTokens: 200 })
  const accounts = [large, large, account('small', { unit: 'tokens', perS: 5000, burst: 1, plainTokens: 200 })]
  expect(totalTokenQuotaPerS(accounts)).toBe(155_000)
  expect(totalTokenQuotaPerS([...accounts, account('calls', { unit: 'requests', perS: 9, burst: 1, plainTokens: 0 }), account('open', undefined)])).toBe(155_000)
  expect(totalTokenQuotaPerS([])).toBe(0)
})
