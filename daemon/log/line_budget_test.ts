import { expect, test } from 'vitest'
import { LineBudget } from './index.ts'

const ROUTINE = { trouble: false, now: 0 }
const TROUBLE = { trouble: true, now: 0 }
const spendMany = (budget: LineBudget, event: string, options: { trouble: boolean, now: number }, count: number) => Array.from({ length: count }, () => budget.spend(event, options)).filter(Boolean).length

test('a flood of one event leaves out its own lines only, and says how many', () => {
  const budget = new LineBudget({ perEvent: 10, routine: 100, all: 200 })
  expect(spendMany(budget, 'request-taken', ROUTINE, 25)).toBe(10)
  expect(spendMany(budget, 'request-ended', ROUTINE, 5)).toBe(5)
  expect(budget.takeLeftOut()).toEqual({ 'request-taken': 15 })
  expect(budget.takeLeftOut()).toBeUndefined()
})

test('trouble is still written when routine has used its part', () => {
  // In the second in which everything fails, the lines that tell why are lost among those that tell of business as usual.
  const budget = new LineBudget({ perEvent: 100, routine: 20, all: 40 })
  expect(spendMany(budget, 'request-taken', ROUTINE, 50)).toBe(20)
  expect(spendMany(budget, 'attempt-failed', TROUBLE, 50)).toBe(20)
})

test('each second has a budget of its own', () => {
  const budget = new LineBudget({ perEvent: 2 })
  expect(spendMany(budget, 'request-taken', ROUTINE, 3)).toBe(2)
  expect(spendMany(budget, 'request-taken', { trouble: false, now: 999 }, 3)).toBe(0)
  expect(spendMany(budget, 'request-taken', { trouble: false, now: 1000 }, 3)).toBe(2)
})
