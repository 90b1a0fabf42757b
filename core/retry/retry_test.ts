import { expect, test } from 'vitest'
import { countFailure, NO_FAILURES, RetryBudget } from './index.ts'

test('retries stay a tenth of fresh work however many attempts fail', () => {
  // Users see a short fault become a long outage: every request is tried again at once, and what is left of the fleet gets double work.
  const budget = new RetryBudget()
  let retries = 0
  for (let i = 0; i < 10_000; i++) {
    budget.earn()
    if (budget.spend()) retries++
  }
  expect(retries).toBeLessThanOrEqual(10_000 * 0.1 + 10)
  expect(retries).toBeGreaterThanOrEqual(1000)
})

test('an endpoint is left alone from the third failure in a row, twice as long each time, at most 30 s', () => {
  let count = NO_FAILURES
  const untils = Array.from({ length: 9 }, () => (count = countFailure(count, 0)).untilMs)
  expect(untils).toEqual([0, 0, 1000, 2000, 4000, 8000, 16_000, 30_000, 30_000])
})
