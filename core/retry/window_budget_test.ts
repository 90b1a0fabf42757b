import fc from 'fast-check'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { WindowBudget } from './index.ts'

const WINDOW_MS = 10_000
const createBudget = (besideAtStart = 1) => new WindowBudget({ windowMs: WINDOW_MS, fraction: () => 0.2, extraRetries: () => 5, initialExtraFraction: besideAtStart })

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

test('the streams of a crashed endpoint are resumed elsewhere if few retries were sent before', () => {
  // Guards against callers that lose resumable answers: an endpoint with forty streams crashes, and the budget holds only five retries, although a
  // window's worth of them was never used.
  const budget = createBudget()
  for (let i = 0; i < 200; i++) {
    budget.deposit()
    vi.advanceTimersByTime(45)
  }
  expect(Array.from({ length: 60 }, () => budget.tryWithdraw()).filter(Boolean)).toHaveLength(45)
})

test('a restarted budget grants fewer retries in its first window', () => {
  const granted = () => Array.from({ length: 9 }, () => budget.tryWithdraw()).filter(Boolean).length
  const budget = createBudget(0.4)
  expect(granted()).toBe(2)
  vi.advanceTimersByTime(2 * WINDOW_MS)
  expect(granted()).toBe(5)
})

test('no window grants more retries than the first attempts in it and in the window before allow', () => {
  const step = fc.record({ gapMs: fc.integer({ min: 0, max: 900 }), fresh: fc.integer({ min: 0, max: 20 }), tries: fc.integer({ min: 0, max: 20 }) })
  fc.assert(fc.property(fc.array(step, { minLength: 20, maxLength: 80 }), (steps) => {
    const budget = createBudget()
    const fresh: number[] = []
    const granted: number[] = []
    for (const { gapMs, fresh: requests, tries } of steps) {
      vi.advanceTimersByTime(gapMs)
      for (let i = 0; i < requests; i++) { budget.deposit(); fresh.push(performance.now()) }
      for (let i = 0; i < tries; i++) if (budget.tryWithdraw()) granted.push(performance.now())
    }
    for (const from of granted) {
      const within = granted.filter((at) => at >= from && at < from + WINDOW_MS * 0.95).length
      const before = fresh.filter((at) => at >= from - WINDOW_MS && at < from + WINDOW_MS).length
      expect(within).toBeLessThanOrEqual(before * 0.2 + 5)
    }
  }), { seed: 17, numRuns: 200 })
})

test('partitioned, unevenly loaded and restarted daemons together stay within the retry limit of the fleet', () => {
  // Guards against shares that add up to more than the total: no daemon knows how many retries the others send.
  const daemons = 9
  const [ratio, beside, usedPart, atStart] = [0.2, 58, 0.8, 0.25]
  const share = () => new WindowBudget({ windowMs: WINDOW_MS, fraction: () => ratio * usedPart, extraRetries: () => beside * usedPart / daemons, initialExtraFraction: atStart })
  const step = fc.record({ gapMs: fc.integer({ min: 0, max: 900 }), at: fc.integer({ min: 0, max: daemons - 1 }), fresh: fc.integer({ min: 0, max: 30 }), tries: fc.integer({ min: 0, max: 30 }), restarts: fc.boolean() })
  fc.assert(fc.property(fc.array(step, { minLength: 40, maxLength: 120 }), (steps) => {
    const budgets = Array.from({ length: daemons }, share)
    const restartedAtMs = Array<number>(daemons).fill(performance.now())
    const fresh: number[] = []
    const granted: number[] = []
    for (const { gapMs, at, fresh: requests, tries, restarts } of steps) {
      vi.advanceTimersByTime(gapMs)
      // At most one restart per window: retries granted again after faster restarts are not bounded.
      if (restarts && performance.now() - restartedAtMs[at]! > WINDOW_MS) {
        budgets[at] = share()
        restartedAtMs[at] = performance.now()
      }
      for (let i = 0; i < requests; i++) { budgets[at]!.deposit(); fresh.push(performance.now()) }
      for (let i = 0; i < tries; i++) if (budgets[at]!.tryWithdraw()) granted.push(performance.now())
    }
    for (const from of granted) {
      const within = granted.filter((atMs) => atMs >= from && atMs < from + WINDOW_MS * 0.95).length
      const before = fresh.filter((atMs) => atMs >= from - WINDOW_MS && atMs < from + WINDOW_MS).length
      expect(within).toBeLessThanOrEqual(before * ratio + beside)
    }
  }), { seed: 18, numRuns: 200 })
})
