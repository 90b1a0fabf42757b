import { expect, test } from 'vitest'
import { LinkEstimator } from './link_estimator.ts'

const MB = 1_000_000

test('a faster copy is believed at once, and a slower one, which may have waited, gradually', () => {
  const link = new LinkEstimator()
  link.learn({ bytes: 100 * MB, tookMs: 10, betweenDomains: false })
  expect(link.bytesPerS(false)).toBeCloseTo(10_000 * MB)
  link.learn({ bytes: 100 * MB, tookMs: 100, betweenDomains: false })
  expect(link.bytesPerS(false)).toBeCloseTo(8200 * MB)
})

test('copies between failure domains take twice as long', () => {
  const link = new LinkEstimator()
  link.learn({ bytes: 100 * MB, tookMs: 20, betweenDomains: true })
  expect([link.bytesPerS(false), link.bytesPerS(true)].map((rate) => Math.round(rate / MB))).toEqual([10_000, 5000])
})

test.each([[0, 10], [10, 10], [100 * MB, 0], [100 * MB, NaN], [100 * MB, -1]])('a copy of %d bytes in %d ms shows nothing', (bytes, tookMs) => {
  const link = new LinkEstimator()
  const before = link.bytesPerS(false)
  link.learn({ bytes, tookMs, betweenDomains: false })
  expect(link.bytesPerS(false)).toBe(before)
})
