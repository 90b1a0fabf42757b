import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, type FailureDomain, type Region } from '../../core/ids/index.ts'
import type { MemberState } from '../../core/membership/index.ts'
import { RegionTopology } from '../../core/topology/index.ts'
import { DOMAINS, Fleet, POOL, stopOrders } from './_order_fixture.ts'

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => {
  stopOrders()
  vi.useRealTimers()
})

/** The first two failure domains are in the north. */
const regions = new Map(DOMAINS.map((domain, i) => [domain, as<Region>(i < 2 ? 'north' : 'south')]))

test('endpoints are ordered in the region that the requests come from', async () => {
  const fleet = new Fleet(2, 12)
  fleet.start({ topology: new RegionTopology({ ownDomain: DOMAINS[0]!, regions }) })
  await fleet.advance(60_000, 6, `region-demand/north/${POOL}`)
  expect(fleet.servingByDomain).toEqual([7, 7, 2])
})

test('what a region cannot have is ordered in the other one', async () => {
  // Guards against callers of a region that wait for endpoints which their own region will not get.
  const fleet = new Fleet(2, 4)
  fleet.start({ topology: new RegionTopology({ ownDomain: DOMAINS[0]!, regions }) })
  await fleet.advance(60_000, 6, `region-demand/north/${POOL}`)
  expect(fleet.servingByDomain.slice(0, 2)).toEqual([4, 4])
  expect(fleet.servingByDomain[2]).toBeGreaterThanOrEqual(3)
})

test('the demand of daemons in no region is served', async () => {
  const fleet = new Fleet(2, 12)
  const topology = new RegionTopology({ ownDomain: as<FailureDomain>('unnamed'), regions })
  const task = fleet.start({ topology })
  for (let i = 0; i < 240; i++) {
    task.asked(POOL, 6 * 100_000 / 4)
    await vi.advanceTimersByTimeAsync(250)
  }
  expect(fleet.servingByDomain).toEqual([7, 7, 2])
})

test.each([[[`demand/${POOL}`]], [[`demand/${POOL}`, `region-demand/north/${POOL}`]]])('the demand of daemons whose settings name no regions yet is served: tallies %j', async (keys) => {
  // Guards against too few endpoints while regions are introduced: daemons that were not restarted yet count demand without a region.
  const fleet = new Fleet(2, 12)
  fleet.start({ topology: new RegionTopology({ ownDomain: DOMAINS[0]!, regions }) })
  if (keys.length === 1) {
    await fleet.advance(60_000, 6, ...keys)
    expect(fleet.servingByDomain).toEqual([5, 4, 5])
    return
  }
  // Half of the demand comes from daemons of the north that count it by region.
  for (let i = 0; i < 240; i++) {
    fleet.tally.add(keys[1]!, 3 * 100_000 / 4)
    await fleet.advance(250, 6, keys[0]!)
  }
  expect(fleet.servingByDomain).toEqual([6, 6, 3])
})

const NORTH_KEYS = [`demand/${POOL}`, `region-demand/north/${POOL}`]
const SOUTH_KEYS = [`demand/${POOL}`, `region-demand/south/${POOL}`]

test('endpoints of a region that the lease holder cannot hear are kept, and its tokens do not count at once when it returns', async () => {
  // Guards against a region that is scaled to its minimum while its callers are served there, and against orders for a jump of its tallies.
  const fleet = new Fleet(2, 12)
  let south: MemberState = 'up'
  const members = () => DOMAINS.flatMap((failureDomain) => [1, 2].map(() => ({ failureDomain, state: regions.get(failureDomain) === 'south' ? south : 'up' as const })))
  fleet.start({ topology: new RegionTopology({ ownDomain: DOMAINS[0]!, regions }), members })
  await fleet.advance(60_000, 4, ...SOUTH_KEYS)
  const before = fleet.servingByDomain
  expect(before[2]).toBeGreaterThanOrEqual(8)
  await fleet.advance(4000, 2, ...NORTH_KEYS)
  south = 'suspect'
  await fleet.advance(4000, 2, ...NORTH_KEYS)
  south = 'gone'
  await fleet.advance(60_000, 2, ...NORTH_KEYS)
  const apart = fleet.servingByDomain
  expect(apart[2]).toBe(before[2])
  south = 'up'
  await fleet.advance(1000, 2, ...NORTH_KEYS)
  for (const key of SOUTH_KEYS) fleet.tally.add(key, 4 * 100_000 * 68)
  for (let i = 0; i < 160; i++) {
    for (const key of SOUTH_KEYS) fleet.tally.add(key, 4 * 100_000 / 4)
    await fleet.advance(250, 2, ...NORTH_KEYS)
    expect(fleet.servingByDomain).toEqual(apart)
  }
})

test('what a region that the lease holder cannot hear lacks is not ordered elsewhere', async () => {
  const fleet = new Fleet(2, 4)
  let south: MemberState = 'up'
  const members = () => DOMAINS.map((failureDomain) => ({ failureDomain, state: regions.get(failureDomain) === 'south' ? south : 'up' as const }))
  fleet.start({ topology: new RegionTopology({ ownDomain: DOMAINS[0]!, regions }), members })
  for (let i = 0; i < 160; i++) {
    for (const key of SOUTH_KEYS) fleet.tally.add(key, 8 * 100_000 / 4)
    await fleet.advance(250, 1, ...NORTH_KEYS)
  }
  expect(fleet.servingByDomain).toEqual([4, 4, 4])
  south = 'gone'
  await fleet.advance(60_000, 1, ...NORTH_KEYS)
  expect(fleet.servingByDomain).toEqual([2, 2, 4])
})
