import xxhash from 'xxhash-wasm'
import { beforeEach, expect, test } from 'vitest'
import { as, type DaemonId, type EndpointId, type FailureDomain, type HostId, type Region } from '../../core/ids/index.ts'
import { RegionTopology } from '../../core/topology/index.ts'
import { EndpointTable } from '../endpoints/endpoint_table.ts'
import { seededRandom } from '../seeded_random.ts'
import { DESK as POOL, DESK_CLASS, placement } from './_placement_fixture.ts'
import type { Placement, RegionCrossing } from './placement.ts'
import { createSharedDispatcher } from './shared_dispatcher.ts'

const { h32: hash } = await xxhash()
const SLOTS = 6
const SPEED = { batchSlots: SLOTS, prefillTokensPerS: 1e6, betweenTokensMs: 1, betweenTokensPerStreamMs: 0, exportTokensPerS: 0, importTokensPerS: 0 }
const topology = new RegionTopology({ ownDomain: as<FailureDomain>('n1'), regions: new Map([['n1', 'north'], ['s1', 'south']].map(([domain, region]) => [as<FailureDomain>(domain!), as<Region>(region!)])) })
const own = many('n1', 60)

let table: EndpointTable
beforeEach(() => { table = new EndpointTable({ self: as<DaemonId>('d'), hash, topology }) })

function many (domain: string, count: number): string[] {
  return Array.from({ length: count }, (_, i) => `${domain}-${i}`)
}

function list (ids: readonly string[]): void {
  table.applyHostList(ids.map((id) => ({ hostId: as<HostId>(id), hostClass: 'any', failureDomain: as<FailureDomain>(id.split('-')[0]!), reclaimable: false, pricePerHour: 0, state: 'live', endpoint: { id: as<EndpointId>(id), pool: POOL, address: '', speed: SPEED } })))
}

/** Places a request, and returns where it was started; undefined if it has to wait. */
function place (change: Partial<Placement> = {}, crossing?: RegionCrossing): string | undefined {
  let placedAt: string | undefined
  const dispatcher = createSharedDispatcher({ table, hash, random: seededRandom(1), topology, crossing, sharers: () => 1 })
  dispatcher.place(placement({ cls: { ...DESK_CLASS, urgent: false }, placed: ({ id }) => { placedAt = id }, ...change }))
  return placedAt
}

const fill = (id: string) => { for (let i = 0; i < SLOTS * 3; i++) table.started(as<EndpointId>(id), { lane: 'normal', tokens: 0 }) }

/** Fills all endpoints but one that the daemon is not connected to, and returns that one. */
function fillAllButOne (): string {
  list([...own, 's1-0'])
  const idle = own.find((id) => !table.candidates(POOL).some((view) => view.id === id))!
  for (const id of [...own, 's1-0']) if (id !== idle) fill(id)
  return idle
}

test('in a full region, requests that no other region takes start at endpoints of their own that the daemon is not connected to', () => {
  // Guards against refusals for want of room while an endpoint of the region beyond the daemon's own connections is idle.
  const idle = fillAllButOne()
  expect(place()).toBe(idle)
  fill(idle)
  expect(place()).toBeUndefined()
})

test('in a full region, a retry does not return to an endpoint that failed it and that the daemon is not connected to', () => {
  const idle = fillAllButOne()
  expect(place({ avoid: [as<EndpointId>(idle)] })).toBeUndefined()
})

test('a request that may not cross does not start at an endpoint of another region while its own is full', () => {
  list(['n1-0', ...many('s1', 60)])
  fill('n1-0')
  expect(place({}, { mayCross: () => false, crossed: () => {} })).toBeUndefined()
})
