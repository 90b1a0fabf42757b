import { expect, test } from 'vitest'
import { LogRateLimiter } from './index.ts'

const ROUTINE = { warning: false, now: 0 }
const WARNING = { warning: true, now: 0 }
const acquireMany = (limiter: LogRateLimiter, event: string, options: { warning: boolean, now: number }, count: number) => Array.from({ length: count }, () => limiter.tryAcquire(event, options)).filter(Boolean).length

test('a flood of one event drops only its own lines, and counts them', () => {
  const limiter = new LogRateLimiter({ perEvent: 10, routine: 100, total: 200 })
  expect(acquireMany(limiter, 'request-taken', ROUTINE, 25)).toBe(10)
  expect(acquireMany(limiter, 'request-ended', ROUTINE, 5)).toBe(5)
  expect(limiter.takeDropped()).toEqual({ 'request-taken': 15 })
  expect(limiter.takeDropped()).toBeUndefined()
})

test('warnings are still written when routine events have used up their limit', () => {
  // Guards against losing the lines that explain a failure because routine lines of the same second use up the limit.
  const limiter = new LogRateLimiter({ perEvent: 100, routine: 20, total: 40 })
  expect(acquireMany(limiter, 'request-taken', ROUTINE, 50)).toBe(20)
  expect(acquireMany(limiter, 'attempt-failed', WARNING, 50)).toBe(20)
})

test('each second has its own limit', () => {
  const limiter = new LogRateLimiter({ perEvent: 2 })
  expect(acquireMany(limiter, 'request-taken', ROUTINE, 3)).toBe(2)
  expect(acquireMany(limiter, 'request-taken', { warning: false, now: 999 }, 3)).toBe(0)
  expect(acquireMany(limiter, 'request-taken', { warning: false, now: 1000 }, 3)).toBe(2)
})
