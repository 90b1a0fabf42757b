import { expect, test } from 'vitest'
import { recordFailure, NO_FAILURES, RetryBudget } from './index.ts'

test('retries are limited to a tenth of first attempts however many attempts fail', () => {
  // Guards against a retry storm that turns a brief fault into a long outage: every request is retried immediately, which doubles the load on the
  // remaining endpoints.
  const budget = new RetryBudget()
  let retries = 0
  for (let i = 0; i < 10_000; i++) {
    budget.deposit()
    if (budget.tryWithdraw()) retries++
  }
  expect(retries).toBeLessThanOrEqual(10_000 * 0.1 + 10)
  expect(retries).toBeGreaterThanOrEqual(1000)
})

test('an endpoint is ejected from the third consecutive failure on, for twice as long each time, up to 30 s', () => {
  let count = NO_FAILURES
  const untils = Array.from({ length: 9 }, () => (count = recordFailure(count, { sentAtMs: 0, now: 0 })).untilMs)
  expect(untils).toEqual([0, 0, 1000, 2000, 4000, 8000, 16_000, 30_000, 30_000])
})

test('requests that fail together eject an endpoint once', () => {
  // Guards against one bad moment of an endpoint with many requests that keeps work from it for half a minute.
  let count = NO_FAILURES
  for (let i = 0; i < 64; i++) count = recordFailure(count, { sentAtMs: 900 + i, now: 1000 + i })
  expect(count).toMatchObject({ consecutive: 3, untilMs: 2002 })
  count = recordFailure(count, { sentAtMs: 2100, now: 2110 })
  expect(count).toMatchObject({ consecutive: 4, untilMs: 4110 })
})
