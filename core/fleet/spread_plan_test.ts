import fc from 'fast-check'
import { expect, test } from 'vitest'
import type { Scaling } from '../catalog/index.ts'
import { as, type FailureDomain } from '../ids/index.ts'
import { spreadPlan, type DomainFleet, type DomainMix } from './index.ts'

const [IKEJA, LEKKI, YABA] = ['ikeja', 'lekki', 'yaba'].map((name) => as<FailureDomain>(name)) as [FailureDomain, FailureDomain, FailureDomain]
const scaling = (change: Partial<Scaling> = {}): Scaling => ({ min: 1, max: 4, bootMs: 4000, reclaimableShare: 0.18, pricePerS: new Map([[IKEJA, 0.85], [LEKKI, 1.2], [YABA, 1]]), ...change })
const domain = (failureDomain: FailureDomain, onDemand: number, reclaimable: number, reclaimableAvailable = true): DomainFleet => ({ failureDomain, onDemand, reclaimable, reclaimableAvailable })
const total = (mixes: readonly DomainMix[], kind: 'onDemand' | 'reclaimable') => mixes.reduce((sum, mix) => sum + mix[kind], 0)

test('on-demand endpoints keep serving while their reclaimable replacements boot', () => {
  // Guards against stopping the endpoints that carry the work while their replacements still boot.
  const fleet = [domain(IKEJA, 4, 0), domain(LEKKI, 1, 0), domain(YABA, 4, 0)]
  const plan = spreadPlan({ minimum: 5, required: 7, withHeadroom: 12 }, scaling(), fleet)
  expect(total(plan, 'onDemand')).toBe(7)
  for (const mix of plan) expect(mix.onDemand + mix.reclaimable).toBeLessThanOrEqual(4)
  expect(total(plan, 'reclaimable')).toBe(5)
})

test('on-demand endpoints are released as their reclaimable replacements start to serve', () => {
  let fleet = [domain(IKEJA, 4, 0), domain(LEKKI, 1, 0), domain(YABA, 4, 0)]
  for (let boots = 0; boots < 4; boots++) {
    const plan = spreadPlan({ minimum: 5, required: 7, withHeadroom: 12 }, scaling(), fleet)
    fleet = plan.map((mix) => domain(mix.failureDomain, mix.onDemand, mix.reclaimable))
  }
  expect(fleet.map(({ onDemand, reclaimable }) => [onDemand, reclaimable])).toEqual([[0, 4], [0, 4], [0, 4]])
})

test('while no reclaimable endpoints are available, the plan allows for the next reclaim', () => {
  // Guards against four seconds of late answers when a second domain is reclaimed six seconds after the first and on-demand endpoints are ordered only
  // then. A price increase that takes one domain also takes the others, so the endpoints outside the largest domain must carry the work.
  const calm = spreadPlan({ minimum: 3, required: 4, withHeadroom: 6 }, scaling(), [domain(IKEJA, 0, 2), domain(LEKKI, 0, 2), domain(YABA, 0, 2)])
  expect(total(calm, 'onDemand')).toBe(0)
  const wave = spreadPlan({ minimum: 3, required: 4, withHeadroom: 6 }, scaling(), [domain(IKEJA, 0, 0, false), domain(LEKKI, 0, 2, false), domain(YABA, 0, 2, false)])
  expect(total(wave, 'onDemand')).toBe(1)
  expect(total(wave, 'reclaimable')).toBe(4)
})

test('a starting fleet keeps its endpoints until cheaper ones serve', () => {
  const plan = spreadPlan({ minimum: 2, required: 3, withHeadroom: 6 }, scaling(), [domain(IKEJA, 3, 0), domain(LEKKI, 3, 0), domain(YABA, 3, 0)])
  expect([total(plan, 'onDemand'), total(plan, 'reclaimable')]).toEqual([3, 6])
})

test('plans stay within the limits of each domain, and serving endpoints are not stopped below the number required', () => {
  const fleets = fc.tuple(fc.nat(4), fc.nat(4), fc.boolean()).map(([onDemand, reclaimable, had]) => ({ onDemand, reclaimable: Math.min(reclaimable, 4 - onDemand), had }))
  fc.assert(fc.property(fc.tuple(fleets, fleets, fleets), fc.integer({ min: 3, max: 12 }), fc.integer({ min: 0, max: 9 }), (three, atLeast, more) => {
    const fleet = three.map(({ onDemand, reclaimable, had }, i) => domain([IKEJA, LEKKI, YABA][i]!, onDemand, reclaimable, had))
    const plan = spreadPlan({ minimum: Math.ceil(atLeast * 0.6), required: atLeast, withHeadroom: atLeast + more }, scaling(), fleet)
    let serves = 0
    for (const mix of plan) {
      const now = fleet.find(({ failureDomain }) => failureDomain === mix.failureDomain)!
      expect(mix.onDemand + mix.reclaimable).toBeLessThanOrEqual(4)
      expect(mix.onDemand + mix.reclaimable).toBeGreaterThanOrEqual(1)
      serves += Math.min(now.onDemand, mix.onDemand) + Math.min(now.reclaimable, mix.reclaimable)
    }
    const served = fleet.reduce((sum, { onDemand, reclaimable }) => sum + onDemand + reclaimable, 0)
    expect(serves).toBeGreaterThanOrEqual(Math.min(served, atLeast))
  }), { seed: 5, numRuns: 500 })
})
