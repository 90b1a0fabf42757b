import { expect, test } from 'vitest'
import { QueueingDelay } from './queueing_delay.ts'

test('the delay is what the latest samples have above the least', () => {
  const delay = new QueueingDelay()
  expect(delay.delayMs).toBeUndefined()
  for (const [i, ms] of [41, 90, 95, 90].entries()) delay.record(ms, i * 100)
  expect([delay.baseMs, delay.delayMs]).toEqual([41, 49])
})

test('one late sample is no queue', () => {
  const delay = new QueueingDelay()
  for (const [i, ms] of [41, 42, 41, 400].entries()) delay.record(ms, i * 100)
  expect(delay.delayMs).toBe(0)
})

test('a route that has become longer is the new base after the window', () => {
  const delay = new QueueingDelay()
  delay.record(41, 0)
  for (let ms = 1000; ms <= 61_000; ms += 1000) delay.record(80, ms)
  expect([delay.baseMs, delay.delayMs]).toEqual([80, 0])
})

test('what is no time is ignored', () => {
  const delay = new QueueingDelay()
  for (const ms of [NaN, -5, Infinity]) delay.record(ms, 0)
  expect(delay.baseMs).toBeUndefined()
})
