import { expect, test } from 'vitest'
import { evidenceAbove, evidenceOfExcess, wilsonUpperBound } from './index.ts'

test('evidence grows with events above the allowed proportion and falls with events below it', () => {
  expect(evidenceAbove(10, 20, 0.05)).toBeGreaterThan(15)
  expect(evidenceAbove(1, 20, 0.05)).toBeLessThan(0)
  expect(evidenceAbove(0, 0, 0.05)).toBeCloseTo(0)
  expect(evidenceAbove(4, 4, 0.5)).toBeGreaterThan(evidenceAbove(2, 2, 0.5))
})

test('the false alarm rate stays below its bound under continuous monitoring', () => {
  // By chance alone, evidence of e^n to one occurs less than once in e^n runs; the false alarm rate of a rollout relies on this bound.
  const ALLOWED = 0.1
  const ODDS = 20
  const RUNS = 2000
  let random = 1
  const next = () => (random = random * 48271 % 2147483647) / 2147483647
  let exceeded = 0
  for (let run = 0; run < RUNS; run++) {
    let events = 0
    for (let count = 1; count <= 150; count++) {
      if (next() < ALLOWED) events++
      if (evidenceAbove(events, count, ALLOWED) < Math.log(ODDS)) continue
      exceeded++
      break
    }
  }
  expect(exceeded / RUNS).toBeLessThan(1 / ODDS)
})

test('the upper bound is one without observations and tightens with them', () => {
  expect(wilsonUpperBound(0, 0)).toBe(1)
  expect(wilsonUpperBound(0, 100)).toBeLessThan(0.02)
  expect(wilsonUpperBound(50, 100)).toBeGreaterThan(0.5)
})

test('an excess is ruled out by enough observations without it, and never by none', () => {
  const options = { allowed: 0.04, excess: 0.25 }
  expect(evidenceOfExcess(0, 0, options)).toBe(0)
  expect(evidenceOfExcess(0, 12, options)).toBeLessThan(-Math.log(10))
  expect(evidenceOfExcess(2, 12, options)).toBeGreaterThan(0)
  expect(evidenceOfExcess(12, 12, { allowed: 0.95, excess: 0.25 })).toBeGreaterThan(0)
})
