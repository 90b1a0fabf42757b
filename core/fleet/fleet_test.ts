import fc from 'fast-check'
import { expect, test } from 'vitest'
import { as, type FailureDomain } from '../ids/index.ts'
import { CheapestPlanner, EndpointDemand, MixPlanner, OnDemandPlanner, ReclaimRisk, ScaleDownWindow, type FleetDemand, type Offer } from './index.ts'

const offer = (domain: string, pricePerHour: number, change: Partial<Offer> = {}): Offer => ({ failureDomain: as<FailureDomain>(domain), reclaimable: true, pricePerHour, reclaimsPerDay: 1, available: true, ...change })
const ON_DEMAND = offer('a', 11, { reclaimable: false, reclaimsPerDay: 0 })
const demand = (change: Partial<FleetDemand> = {}): FleetDemand => ({ hosts: 6, delivery: 0.999, bootMs: 180_000, lossPrice: 0.5, ...change })

test('reclaimable hosts are spread over more domains for a stricter delivery target', () => {
  const offers = [offer('a', 4), offer('b', 4.5), offer('c', 5), ON_DEMAND]
  const loose = new MixPlanner().plan(demand({ delivery: 0.9 }), offers)
  const tight = new MixPlanner().plan(demand({ delivery: 0.9999 }), offers)
  expect(loose.holdings).toEqual([{ offer: offers[0], count: 6 }])
  expect(tight.holdings.length).toBeGreaterThan(1)
  expect(tight.expectedMissed).toBeLessThanOrEqual(0.00005)
})

test('refused starts fall back to another domain, on-demand last', () => {
  const refused = { available: false }
  const domains = (offers: Offer[]) => new MixPlanner().plan(demand({ delivery: 0.9 }), offers).holdings.map(({ offer }) => `${offer.failureDomain}${offer.reclaimable ? '' : ' on demand'}`)
  expect(domains([offer('a', 4, refused), offer('b', 5), ON_DEMAND])).toEqual(['b'])
  expect(domains([offer('a', 4, refused), offer('b', 5, refused), ON_DEMAND])).toEqual(['a on demand'])
})

test('a domain that is reclaimed often has a higher estimated rate', () => {
  const risk = new ReclaimRisk(0)
  const [calm, stormy] = [as<FailureDomain>('a'), as<FailureDomain>('b')]
  for (let i = 0; i < 6; i++) risk.recordReclaim(stormy)
  const now = 86_400_000
  expect(risk.perDay(stormy, now)).toBeCloseTo(3.25)
  expect(risk.perDay(calm, now)).toBeCloseTo(0.25)
})

test('a reclaim wave does not make the fleet oscillate', () => {
  // Guards against hosts that are stopped during a short drop in demand and booted again when callers return a minute later.
  const scale = new ScaleDownWindow(600_000)
  expect([10, 4, 10, 4].map((hosts, i) => scale.smooth(hosts, i * 60_000))).toEqual([10, 10, 10, 10])
  expect(scale.smooth(4, 900_000)).toBe(4)
})

test('compared with the baselines: never more expensive than on-demand only, and never further from the target than the cheapest offer', () => {
  const offers = fc.array(fc.record({ price: fc.integer({ min: 3, max: 9 }), waves: fc.integer({ min: 0, max: 4 }) }), { minLength: 1, maxLength: 4 })
  fc.assert(fc.property(offers, fc.integer({ min: 1, max: 14 }), fc.constantFrom(0.99, 0.999, 0.9995), (list, hosts, delivery) => {
    const all = [...list.map(({ price, waves }, i) => offer(`d${i}`, price, { reclaimsPerDay: waves })), ON_DEMAND]
    const asked = demand({ hosts, delivery })
    const [plan, firm, cheap] = [new MixPlanner(), new OnDemandPlanner(), new CheapestPlanner()].map((planner) => planner.plan(asked, all))
    expect(plan!.pricePerHour).toBeLessThanOrEqual(firm!.pricePerHour + 1e-9)
    expect(plan!.expectedMissed).toBeLessThanOrEqual(Math.max(cheap!.expectedMissed, (1 - delivery) / 2) + 1e-9)
  }), { seed: 3, numRuns: 100 })
})

test('a surge is detected within two seconds and remembered after it ends', () => {
  // Guards against callers of a surge waiting for the time of two boots because the rate is averaged over longer than an endpoint takes to boot.
  const demand = new EndpointDemand({ initialEngines: 0, now: 0 })
  let tokens = 0
  const pass = (from: number, to: number, engines: number) => {
    let found = 0
    for (let now = from; now < to; now += 250) {
      tokens += engines * 25_000
      found = demand.observe({ tokens, reporters: 9, msPerToken: 0.01 }, now)
    }
    return found
  }
  expect(pass(0, 6000, 0)).toBe(0)
  expect(pass(6000, 8250, 5)).toBeGreaterThan(3)
  expect(pass(8250, 20_000, 5)).toBeCloseTo(5, 0)
  expect(pass(20_000, 30_000, 1)).toBeCloseTo(5, 0)
  expect(pass(30_000, 45_000, 1)).toBeCloseTo(1, 0)
})
