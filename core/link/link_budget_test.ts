import { expect, test } from 'vitest'
import { LinkBudget } from './link_budget.ts'

const budgetOf = (bytesPerS: number) => new LinkBudget({ bytesPerS: () => bytesPerS })

test('control always crosses, and what crosses is missing for the rest', () => {
  const budget = budgetOf(100_000)
  budget.crossed(10_000_000, 0)
  expect([budget.mayCross(100, 'control', 0), budget.mayCross(100, 'call', 0), budget.mayCross(100, 'bulk', 0)]).toEqual([true, false, false])
})

test('calls cross while bulk has used its part', () => {
  const budget = budgetOf(100_000)
  let prompts = 0
  while (budget.mayCross(12_000, 'bulk', 0)) {
    budget.crossed(12_000, 0)
    prompts++
  }
  expect(prompts).toBeGreaterThan(0)
  expect(budget.mayCross(800, 'call', 0)).toBe(true)
})

test('bulk crosses at the rate', () => {
  const budget = budgetOf(100_000)
  let crossedBytes = 0
  for (let ms = 0; ms < 20_000; ms += 5) {
    if (!budget.mayCross(12_000, 'bulk', ms)) continue
    budget.crossed(12_000, ms)
    crossedBytes += 12_000
  }
  expect(crossedBytes).toBeGreaterThan(0.9 * 2_000_000)
  expect(crossedBytes).toBeLessThan(1.1 * 2_000_000)
})

test('a body larger than the burst crosses once the burst is full', () => {
  const budget = budgetOf(10_000)
  expect(budget.mayCross(4_000_000, 'bulk', 0)).toBe(true)
  budget.crossed(4_000_000, 0)
  expect(budget.mayCross(100, 'bulk', 60_000)).toBe(false)
  expect(budget.mayCross(100, 'bulk', 500_000)).toBe(true)
})
