import { expect, test } from 'vitest'
import { as, type FailureDomain, type Region } from '../ids/index.ts'
import { RegionTopology } from './topology.ts'

const domain = (name: string) => as<FailureDomain>(name)
const regions = new Map([['n1', 'north'], ['n2', 'north'], ['s1', 'south']].map(([name, region]) => [domain(name!), as<Region>(region!)]))

test('tells the own domain, the own region and others apart', () => {
  const topology = new RegionTopology({ ownDomain: domain('n1'), regions })
  expect(['n1', 'n2', 's1'].map((name) => topology.distanceTo(domain(name)))).toEqual(['same-domain', 'same-region', 'other-region'])
  expect(topology.hasRegions).toBe(true)
  expect(topology.isLocal(domain('s1'))).toBe(false)
})

test('without regions, every other domain is in the same one', () => {
  const topology = new RegionTopology({ ownDomain: domain('a') })
  expect(topology.hasRegions).toBe(false)
  expect([topology.roundTripMs(domain('a')), topology.roundTripMs(domain('b'))]).toEqual([0, 3])
})

test('a domain that the settings do not name counts as near', () => {
  expect(new RegionTopology({ ownDomain: domain('n1'), regions }).isLocal(domain('unnamed'))).toBe(true)
})

test('the least observed round trip to a region counts, and those too short are ignored', () => {
  const topology = new RegionTopology({ ownDomain: domain('n1'), regions })
  for (const ms of [55, 41, NaN, -1, 0, 0.4, 300]) topology.recordRoundTrip(domain('s1'), ms)
  topology.recordRoundTrip(domain('n2'), 1)
  expect(topology.roundTripMs(domain('s1'))).toBe(41)
  expect(topology.roundTripMs(domain('n2'))).toBe(3)
})

test('regions are ordered by their failure domains in the settings and by name, and alike for all daemons', () => {
  // Guards against keepers of quotas that change regions with each restart of a daemon.
  for (const own of ['n1', 's1', 'unnamed']) {
    const topology = new RegionTopology({ ownDomain: domain(own), regions })
    expect(['n1', 'n2', 's1', 'unnamed'].map((name) => topology.regionRank(domain(name)))).toEqual([0, 0, 1, 0])
  }
  expect(new RegionTopology({ ownDomain: domain('a') }).regionRank(domain('b'))).toBe(0)
})
