import xxhash from 'xxhash-wasm'
import { expect, test } from 'vitest'
import { as, type DaemonId, type EndpointId, type Region } from '../ids/index.ts'
import { preferOwnRegion, regionalSubset, spillShare, subset, type RegionRoutes, type Route } from './index.ts'

const { h32 } = await xxhash()
const hash = (text: string) => h32(text)
const NORTH = as<Region>('north')
const SELF = as<DaemonId>('d')

interface Listed { id: EndpointId, region: Region | undefined }

function listed (count: number, region: Region | undefined): Listed[] {
  return Array.from({ length: count }, (_, i) => ({ id: as<EndpointId>(`${region ?? 'own'}-${i}`), region }))
}

const select = (endpoints: readonly Listed[], self = SELF) => regionalSubset(self, endpoints, { hash, size: 24, otherRegionOf: ({ region }) => region })
const countOthers = (selected: readonly Listed[]) => selected.filter(({ region }) => region !== undefined).length

test('without other regions the subset is the one of rendezvous hashing', () => {
  const endpoints = listed(200, undefined)
  expect(select(endpoints)).toEqual(subset(SELF, endpoints, { hash, size: 24 }))
})

test('a subset holds endpoints of the own region and a few of each other', () => {
  const selected = select([...listed(200, undefined), ...listed(200, NORTH), ...listed(200, as<Region>('south'))])
  expect([selected.length, countOthers(selected)]).toEqual([24, 8])
})

test('endpoints of other regions take the places that the own region leaves free', () => {
  const selected = select([...listed(5, undefined), ...listed(200, NORTH)])
  expect([selected.length, countOthers(selected)]).toEqual([24, 19])
  expect(new Set(selected).size).toBe(24)
  expect(countOthers(select(listed(200, NORTH)))).toBe(24)
})

test('an endpoint that leaves changes one place of a subset', () => {
  const endpoints = [...listed(100, undefined), ...listed(100, NORTH)]
  const before = select(endpoints)
  for (const gone of before) {
    const after = select(endpoints.filter((endpoint) => endpoint !== gone))
    expect(before.filter((endpoint) => !after.includes(endpoint))).toEqual([gone])
  }
})

const route = (firstTokenMs: number, meetsTarget: boolean): Route => ({ view: undefined as never, firstTokenMs, meetsTarget, lane: 'normal', uncachedTokens: 0, unreadTokens: 0 })
const OPTIONS = { firstTokenMs: 500, waitMs: Infinity, roundTripMs: () => 40 }

test.each<[string, { connected?: Route, ownRegion?: Route, otherRegions?: Route, waitMs?: number, overloaded?: boolean }, 'connected' | 'ownRegion' | 'otherRegions' | undefined, string | undefined]>([
  ['an endpoint of the own region that meets the target', { connected: route(490, true), otherRegions: route(45, true) }, 'connected', undefined],
  ['one that the daemon is not connected to', { connected: route(900, false), ownRegion: route(490, true), otherRegions: route(45, true) }, 'ownRegion', undefined],
  ['another region where its own is late', { connected: route(900, false), ownRegion: route(700, false), otherRegions: route(450, true) }, 'otherRegions', 'late'],
  ['its own region where both are late', { connected: route(900, false), otherRegions: route(600, false) }, 'connected', undefined],
  ['another region where its own has no free slot', { connected: route(300, false), otherRegions: route(450, true) }, 'otherRegions', 'late'],
  ['another region where its own has no room', { otherRegions: route(600, false) }, 'otherRegions', 'no-room'],
  ['another region where its own is overloaded', { connected: route(300, true), otherRegions: route(450, true), overloaded: true }, 'otherRegions', 'overload'],
  ['its own region, overloaded, where the other is late', { connected: route(300, true), otherRegions: route(600, false), overloaded: true }, 'connected', undefined],
  ['no endpoint if it waits for less than the round trip', { otherRegions: route(45, true), waitMs: 30 }, undefined, undefined],
  ['no endpoint if there is none', {}, undefined, undefined]
])('a request goes to %s', (_where, { waitMs = Infinity, overloaded = false, ...routes }, expected, crossing) => {
  const choices: RegionRoutes = { connected: () => routes.connected, ownRegion: () => routes.ownRegion, otherRegions: () => routes.otherRegions }
  const picked = preferOwnRegion(choices, { ...OPTIONS, waitMs, overloaded })
  expect(picked?.route).toBe(expected && routes[expected])
  expect(picked?.crossing).toBe(crossing)
})

test('a region spills nothing while it has room as a whole, or is hardly busier than the others', () => {
  for (let own = 0; own <= 1; own += 0.1) expect(spillShare(own, 0)).toBe(0)
  for (let load = 1; load < 3; load += 0.1) expect(spillShare(load, load - 0.15)).toBe(0)
  expect([spillShare(1.1, 0.3), spillShare(1.2, 0.3), spillShare(2, 0.3)]).toEqual([expect.closeTo(0.5), 1, 1])
})
