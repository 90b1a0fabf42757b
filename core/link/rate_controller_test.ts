import fc from 'fast-check'
import { expect, test } from 'vitest'
import { INITIAL_BYTES_PER_S, MIN_BYTES_PER_S, RateController } from './rate_controller.ts'

test('an unused rate does not grow', () => {
  const rate = new RateController()
  for (let i = 0; i < 100; i++) rate.sampled(0, 0)
  expect(rate.bytesPerS).toBe(INITIAL_BYTES_PER_S)
})

test('doubles until the link shows a queue, then grows in small steps', () => {
  const rate = new RateController()
  for (let i = 0; i < 13; i++) rate.sampled(0, rate.bytesPerS)
  expect(rate.bytesPerS).toBe(32 * INITIAL_BYTES_PER_S)
  rate.sampled(200, rate.bytesPerS)
  const reduced = rate.bytesPerS
  expect(reduced).toBe(16 * INITIAL_BYTES_PER_S)
  rate.sampled(0, reduced)
  expect(rate.bytesPerS).toBeGreaterThan(reduced)
  expect(rate.bytesPerS).toBeLessThan(reduced * 1.1)
})

test('one queue reduces the rate once, not with each sample that still shows it', () => {
  const rate = new RateController({ initialBytesPerS: 1e6 })
  rate.sampled(60, 1e6)
  const reduced = rate.bytesPerS
  rate.sampled(60, reduced)
  rate.sampled(60, reduced)
  expect(rate.bytesPerS).toBe(reduced)
})

test('a slow sender tolerates more delay than a fast one', () => {
  expect(new RateController({ initialBytesPerS: 4096 }).targetMs).toBeGreaterThan(new RateController({ initialBytesPerS: 1e6 }).targetMs)
})

test('after a cut, half of the rate before it is used', () => {
  const rate = new RateController({ initialBytesPerS: 1e6 })
  for (let i = 0; i < 100; i++) rate.lost()
  expect(rate.bytesPerS).toBe(MIN_BYTES_PER_S)
  rate.sampled(0, 0)
  expect(rate.bytesPerS).toBe(5e5)
})

test('any series of samples keeps the rate within its bounds', () => {
  fc.assert(fc.property(fc.array(fc.oneof(fc.constant('lost' as const), fc.record({ delayMs: fc.double({ min: 0, max: 1e6, noNaN: true }), used: fc.double({ min: 0, max: 1e10, noNaN: true }) }))), (series) => {
    const rate = new RateController()
    for (const sample of series) {
      if (sample === 'lost') rate.lost()
      else rate.sampled(sample.delayMs, sample.used)
      expect(rate.bytesPerS).toBeGreaterThanOrEqual(MIN_BYTES_PER_S)
      expect(rate.bytesPerS).toBeLessThanOrEqual(125_000_000)
    }
  }), { seed: 1, numRuns: 500 })
})
