import { expect, test } from 'vitest'
import { LinkEstimator } from './link_estimator.ts'

const MB = 1_000_000

test('a faster copy is believed at once, and a slower one, which may have waited, gradually', () => {
  const link = new LinkEstimator()
  expect(link.learn({ bytes: 100 * MB, tookMs: 2, betweenDomains: false })).toBe(true)
  expect(link.bytesPerS(false)).toBeCloseTo(50_000 * MB)
  expect(link.learn({ bytes: 100 * MB, tookMs: 10, betweenDomains: false })).toBe(false)
  expect(link.bytesPerS(false)).toBeCloseTo(42_000 * MB)
})

test('copies between failure domains take twice as long', () => {
  const link = new LinkEstimator()
  link.learn({ bytes: 100 * MB, tookMs: 4, betweenDomains: true })
  expect([link.bytesPerS(false), link.bytesPerS(true)].map((rate) => Math.round(rate / MB))).toEqual([50_000, 25_000])
})

test.each([[0, 10], [10, 10], [100 * MB, 0], [100 * MB, NaN], [100 * MB, -1]])('a copy of %d bytes in %d ms shows nothing', (bytes, tookMs) => {
  const link = new LinkEstimator()
  const before = link.bytesPerS(false)
  link.learn({ bytes, tookMs, betweenDomains: false })
  expect(link.bytesPerS(false)).toBe(before)
})
