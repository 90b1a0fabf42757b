import { expect, test } from 'vitest'
import xxhash from 'xxhash-wasm'
import { as, endpointId, type DaemonId, type EndpointId, type EndpointVersion, type FailureDomain, type HostId } from '../../core/ids/index.ts'
import { RegionTopology } from '../../core/topology/index.ts'
import type { ListedHost } from '../../endpoints/index.ts'
import { EndpointTable } from '../endpoints/endpoint_table.ts'
import { seededRandom } from '../seeded_random.ts'
import { DESK as POOL, DESK_CLASS, placement } from './_placement_fixture.ts'
import type { Placement } from './placement.ts'
import { createSharedDispatcher } from './shared_dispatcher.ts'

const { h32: hash } = await xxhash()
const DOMAIN = as<FailureDomain>('a')
const SPEED = { batchSlots: 6, prefillTokensPerS: 1e6, betweenTokensMs: 1, betweenTokensPerStreamMs: 0, exportTokensPerS: 0, importTokensPerS: 0 }

function listed (name: string, startedAtMs: number): ListedHost {
  const id = endpointId(name, startedAtMs)
  return { hostId: as<HostId>(id), hostClass: 'any', failureDomain: DOMAIN, reclaimable: false, pricePerHour: 0, state: 'live', endpoint: { id, name, startedAtMs, pool: POOL, address: '', speed: SPEED } }
}

test('a request that failed at an endpoint is not retried at the same endpoint after a restart', () => {
  // Guards against retrying a request at an endpoint that crashed while running it and has restarted.
  const placedAt = new Set<EndpointId>()
  for (let seed = 1; seed <= 20; seed++) {
    const table = new EndpointTable({ self: as<DaemonId>('d'), hash })
    table.applyHostList([listed('failed', 1000), listed('other', 1000)])
    table.applyHostList([listed('failed', 2000), listed('other', 1000)])
    const dispatcher = createSharedDispatcher({ table, hash, random: seededRandom(seed), topology: new RegionTopology({ ownDomain: DOMAIN }), sharers: () => 1 })
    dispatcher.place(placement({ avoid: [endpointId('failed', 1000)], placed: ({ id }) => placedAt.add(id) }))
  }
  expect([...placedAt]).toEqual([endpointId('other', 1000)])
})

test('only a request without earlier attempts is sent to a canary endpoint, and only if the endpoint has room', () => {
  const [OLD, NEW] = [as<EndpointVersion>('v1'), as<EndpointVersion>('v2')]
  const table = new EndpointTable({ self: as<DaemonId>('d'), hash })
  const host = (name: string, version: EndpointVersion) => {
    const each = listed(name, 1000)
    return { ...each, endpoint: { ...each.endpoint, version } }
  }
  table.applyHostList([host('old', OLD), host('new', NEW)])
  table.restrictTo(({ version }) => version === OLD)
  let spent = 0
  const canaries = { canaries: () => table.ofVersion(POOL, NEW), spent: () => { spent++ } }
  const dispatcher = createSharedDispatcher({ table, hash, random: seededRandom(1), topology: new RegionTopology({ ownDomain: DOMAIN }), sharers: () => 1, canaries })
  const sentTo = (change: Partial<Placement>): string | undefined => {
    let name: string | undefined
    dispatcher.place(placement({ ...change, placed: (view) => { name = view.name } }))
    return name
  }
  expect([sentTo({}), spent]).toEqual(['new', 1])
  expect([sentTo({ resumed: true }), spent]).toEqual(['old', 1])
  expect([sentTo({ avoid: [endpointId('old', 1000)] }), spent]).toEqual(['old', 1])
  for (let i = 0; i < 50; i++) table.started(endpointId('new', 1000), { lane: 'urgent', tokens: 0 })
  expect([sentTo({}), spent]).toEqual(['old', 1])
})

test('while the endpoints that a daemon is connected to are full, requests start at others of the pool', () => {
  // Guards against refusals for want of room while endpoints beyond the daemon's own connections are idle.
  const ENDPOINTS = 30
  const table = new EndpointTable({ self: as<DaemonId>('d'), hash })
  table.applyHostList(Array.from({ length: ENDPOINTS }, (_, i) => listed(`e${i}`, 1000)))
  const connected = table.candidates(POOL).map(({ id }) => id)
  expect(connected.length).toBeLessThan(ENDPOINTS)
  for (const id of connected) for (let i = 0; i < 50; i++) table.started(id, { lane: 'urgent', tokens: 0 })
  const dispatcher = createSharedDispatcher({ table, hash, random: seededRandom(1), topology: new RegionTopology({ ownDomain: DOMAIN }), sharers: () => 1 })
  const placedAt: EndpointId[] = []
  for (let i = 0; i < 6; i++) dispatcher.place(placement({ placed: ({ id }) => { placedAt.push(id) } }))
  expect(placedAt).toHaveLength(6)
  expect(placedAt.filter((id) => connected.includes(id))).toEqual([])
})

test('a request whose endpoint is silent starts at the next endpoint that can take it, ahead of those that wait, and not where it was', () => {
  // Guards against requests at an endpoint that does not answer, which get no other one while the pool is full.
  const table = new EndpointTable({ self: as<DaemonId>('d'), hash })
  table.applyHostList([listed('silent', 1000), listed('other', 1000)])
  const [SILENT, OTHER] = [endpointId('silent', 1000), endpointId('other', 1000)]
  const dispatcher = createSharedDispatcher({ table, hash, random: seededRandom(1), topology: new RegionTopology({ ownDomain: DOMAIN }), sharers: () => 1 })
  for (const id of [SILENT, OTHER]) for (let i = 0; i < SPEED.batchSlots; i++) table.started(id, { lane: 'normal', tokens: 0 })
  const placedAt: string[] = []
  const cls = { ...DESK_CLASS, urgent: false }
  dispatcher.place(placement({ cls, resumed: true, placed: ({ id }) => placedAt.push(`waiting at ${id}`) }))
  const stalled = placement({ cls, resumed: true, avoid: [SILENT], accepts: ({ id }) => id !== SILENT, placed: ({ id }) => placedAt.push(`stalled at ${id}`) })
  dispatcher.startOnceRoom(stalled)
  const removed = placement({ cls, resumed: true, placed: ({ id }) => placedAt.push(`removed at ${id}`) })
  dispatcher.startOnceRoom(removed)
  dispatcher.remove(removed)
  expect(placedAt).toEqual([])
  table.ended(SILENT)
  dispatcher.startQueued()
  expect(placedAt).toEqual([`waiting at ${SILENT}`])
  table.ended(OTHER)
  dispatcher.startQueued()
  expect(placedAt).toEqual([`waiting at ${SILENT}`, `stalled at ${OTHER}`])
})

test('a request starts now only where it may be sent: with a permit, and if the budget allows it', () => {
  // Guards against an attempt that is given up for one that is then queued or refused.
  const table = new EndpointTable({ self: as<DaemonId>('d'), hash })
  table.applyHostList([listed('one', 1000)])
  let hasPermit = false
  const limits = { isLimited: () => true, perS: () => 1, mayStart: () => hasPermit, hasReservedSlot: () => false, permitted: () => [], ask: () => undefined, diverted: () => {}, queued: () => {}, waitMs: () => 0 }
  const dispatcher = createSharedDispatcher({ table, hash, random: seededRandom(1), topology: new RegionTopology({ ownDomain: DOMAIN }), sharers: () => 1, limits })
  let placed = 0
  const request = (mayStart: boolean) => placement({ mayStart: () => mayStart, placed: () => { placed++ } })
  expect(dispatcher.canStartNow(request(true))).toBe(false)
  dispatcher.startOnceRoom(request(true))
  expect(placed).toBe(0)
  hasPermit = true
  expect(dispatcher.canStartNow(request(true))).toBe(true)
  dispatcher.startOnceRoom(request(false))
  expect(placed).toBe(0)
  dispatcher.startQueued()
  expect(placed).toBe(1)
})
