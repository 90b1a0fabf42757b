import { expect, test } from 'vitest'
import xxhash from 'xxhash-wasm'
import { as, endpointId, type DaemonId, type EndpointVersion, type FailureDomain, type HostId } from '../../core/ids/index.ts'
import { RegionTopology } from '../../core/topology/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { ListedHost } from '../../endpoints/index.ts'
import { EndpointTable } from '../endpoints/endpoint_table.ts'
import { seededRandom } from '../seeded_random.ts'
import { DESK as POOL, placement } from './_placement_fixture.ts'
import { VERSION_GONE_REASON, type Dispatcher } from './dispatcher.ts'
import type { Placement } from './placement.ts'
import { createSharedDispatcher } from './shared_dispatcher.ts'

const { h32: hash } = await xxhash()
const DOMAIN = as<FailureDomain>('a')
const SPEED = { batchSlots: 6, prefillTokensPerS: 1e6, betweenTokensMs: 1, betweenTokensPerStreamMs: 0, exportTokensPerS: 0, importTokensPerS: 0 }
const V1 = { pool: POOL, version: as<EndpointVersion>('v1') }
/** Requests that fill an endpoint, urgent ones included. */
const FULL = 50

function host (name: string, version: string | undefined, startedAtMs = 1): ListedHost {
  const id = endpointId(name, startedAtMs)
  return { hostId: as<HostId>(id), hostClass: 'any', failureDomain: DOMAIN, reclaimable: false, pricePerHour: 0, state: 'live', endpoint: { id, name, startedAtMs, pool: POOL, address: '', speed: SPEED, ...(version !== undefined && { version: as<EndpointVersion>(version) }) } }
}

function setUp (hosts: readonly ListedHost[], { subsetSize }: { subsetSize?: number } = {}): { table: EndpointTable, dispatcher: Dispatcher } {
  const table = new EndpointTable({ self: as<DaemonId>('d'), hash, ...(subsetSize !== undefined && { subsetSize }) })
  table.applyHostList(hosts)
  return { table, dispatcher: createSharedDispatcher({ table, hash, random: seededRandom(1), topology: new RegionTopology({ ownDomain: DOMAIN }), sharers: () => 1 }) }
}

/** Places a request and returns where it went: an endpoint's name, `waits`, or why and for how long it was refused. */
function place (dispatcher: Dispatcher, change: Partial<Placement>): string {
  let result = ''
  dispatcher.place(placement({
    ...change,
    placed: ({ name }) => { result = name! },
    waits: () => { result = 'waits' },
    refused: (reason, retryAfterMs) => { result = `${reason}, ${retryAfterMs}` }
  }))
  return result
}

const fill = (table: EndpointTable, name: string) => { for (let i = 0; i < FULL; i++) table.started(endpointId(name, 1), { lane: 'urgent', tokens: 0 }) }
const continues: Partial<Placement> = { boundTo: V1, resumed: true }

test('a stream continues at an endpoint of its version, also at one that this daemon does not connect to otherwise', () => {
  // Guards against a version whose endpoints are outside the subset.
  const others = Array.from({ length: 12 }, (_, i) => host(`other-${i}`, 'v2'))
  const { dispatcher } = setUp([...others, host('mine', 'v1')], { subsetSize: 1 })
  for (let i = 0; i < 5; i++) expect(place(dispatcher, continues)).toBe('mine')
})

test('a stream waits for its version while that is full, and nobody waits behind it', () => {
  // Guards against one stream that holds up a whole pool.
  const { table, dispatcher } = setUp([host('mine', 'v1'), host('other', 'v2')])
  fill(table, 'mine')
  expect(place(dispatcher, continues)).toBe('waits')
  expect(place(dispatcher, {})).toBe('other')
  fill(table, 'other')
  expect(place(dispatcher, {})).toBe('waits')
  expect([dispatcher.queued, dispatcher.queuedIn(POOL)]).toEqual([2, 2])
  for (let i = 0; i < FULL; i++) table.ended(endpointId('other', 1))
  dispatcher.startQueued()
  expect(dispatcher.queuedIn(POOL)).toBe(1)
})

test.each<[string, ListedHost[], string]>([
  ['none is listed', [host('other', 'v2')], `${VERSION_GONE_REASON}, Infinity`],
  ['the process of its endpoint has started again at another version', [host('mine', 'v2', 2), host('other', 'v2')], `${VERSION_GONE_REASON}, Infinity`],
  ['others have no version', [host('other', undefined)], `${VERSION_GONE_REASON}, Infinity`],
  ['nothing of its pool is listed', [], 'waits']
])('a stream whose version has no endpoint is refused at once unless the pool as a whole is away: %s', (_what, hosts, result) => {
  // Guards against callers that are held for a version that is gone, and against giving up work while a whole pool is replaced.
  const { table, dispatcher } = setUp([host('mine', 'v1')])
  if (hosts.length > 0) table.applyHostList(hosts)
  else table.leaving([as<HostId>(endpointId('mine', 1))], steadyNow(), 'refusal')
  expect(place(dispatcher, continues)).toBe(result)
})

test('a stream whose version has only endpoints that fail is refused with a time to come back', () => {
  const { table, dispatcher } = setUp([host('mine', 'v1'), host('other', 'v2')])
  table.get(endpointId('mine', 1))!.ejectedUntilMs = steadyNow() + 5000
  expect(place(dispatcher, continues)).toBe(`${VERSION_GONE_REASON}, 2000`)
})

test('a queued stream is refused as soon as its version is gone', () => {
  const { table, dispatcher } = setUp([host('mine', 'v1'), host('other', 'v2')])
  fill(table, 'mine')
  const refusals: string[] = []
  dispatcher.place(placement({ ...continues, refused: (reason) => refusals.push(reason) }))
  table.leaving([as<HostId>(endpointId('mine', 1))], steadyNow(), 'refusal')
  dispatcher.startQueued()
  expect([refusals, dispatcher.queued]).toEqual([[VERSION_GONE_REASON], 0])
})

test('a stream continues at a version that gets no new work, and not at one that was found to be worse', () => {
  const { table, dispatcher } = setUp([host('mine', 'v1'), host('other', 'v2')])
  table.restrictTo(({ version }) => version === 'v2')
  expect([place(dispatcher, continues), place(dispatcher, {})]).toEqual(['mine', 'other'])
  table.restrictTo(({ version }) => version === 'v2', ({ version }) => version !== 'v1')
  expect(place(dispatcher, continues)).toBe(`${VERSION_GONE_REASON}, Infinity`)
})

test('endpoints without a version are all alike', () => {
  const { dispatcher } = setUp([host('a', undefined), host('b', undefined)])
  const boundTo = { pool: POOL, version: undefined }
  expect(new Set(Array.from({ length: 20 }, () => place(dispatcher, { boundTo, resumed: true }))).has('')).toBe(false)
})
