import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import xxhash from 'xxhash-wasm'
import { as, endpointId, type DaemonId, type FailureDomain, type HostId } from '../../core/ids/index.ts'
import { RegionTopology } from '../../core/topology/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { ListedHost } from '../../endpoints/index.ts'
import { EndpointTable } from '../endpoints/endpoint_table.ts'
import { EndpointLimits } from '../limits/endpoint_limits.ts'
import { createMetrics } from '../metrics.ts'
import { seededRandom } from '../seeded_random.ts'
import { DESK as POOL, DESK_CLASS, placement } from './_placement_fixture.ts'
import type { Dispatcher } from './dispatcher.ts'
import type { Placement } from './placement.ts'
import { createSharedDispatcher } from './shared_dispatcher.ts'

const { h32: hash } = await xxhash()
const DOMAIN = as<FailureDomain>('a')
const CLASS = { ...DESK_CLASS, urgent: false, latency: { firstTokenMs: 500, betweenTokensMs: undefined, deadlineMs: 3000 } }
/** Time after which a request that asked for a permit goes elsewhere. */
const ASK_TIMEOUT_MS = 50
const NAMES = ['one', 'two', 'three', 'four']

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

interface Fixture { dispatcher: Dispatcher, limits: EndpointLimits, table: EndpointTable }

function listed (name: string): ListedHost {
  const id = endpointId(name, 1000)
  const speed = { batchSlots: 60, prefillTokensPerS: 1e6, betweenTokensMs: 1, betweenTokensPerStreamMs: 0, exportTokensPerS: 0, importTokensPerS: 0 }
  return { hostId: as<HostId>(id), hostClass: 'any', failureDomain: DOMAIN, reclaimable: false, pricePerHour: 0, state: 'live', endpoint: { id, name, startedAtMs: 1000, pool: POOL, address: '', speed } }
}

function fixture (subsetSize = NAMES.length): Fixture {
  const table = new EndpointTable({ self: as<DaemonId>('d'), hash, subsetSize })
  table.applyHostList(NAMES.map(listed))
  const limits = new EndpointLimits({ metrics: createMetrics(), isListed: () => true })
  return { table, limits, dispatcher: createSharedDispatcher({ table, hash, random: seededRandom(7), topology: new RegionTopology({ ownDomain: DOMAIN }), sharers: () => 1, limits }) }
}

function limitTo ({ limits, table }: Fixture, names: readonly string[], perS: number | undefined): void {
  for (const name of names) limits.answered(table.get(endpointId(name, 1000))!, { perS }, steadyNow() + 1)
}

function request (change: Partial<Placement>): Placement {
  return placement({ cls: CLASS, ...change })
}

/** Places a request and returns where it went, or why it did not. Nobody answers when it asks for a permit. */
async function place ({ dispatcher, limits }: Fixture, change: Partial<Placement> = {}): Promise<string> {
  let result = 'asks'
  dispatcher.place(request({
    placed: (view) => {
      limits.started(view)
      result = view.name!
    },
    refused: (_reason, retryAfterMs) => { result = `come back in ${Math.round(retryAfterMs)} ms` },
    waits: () => { result = 'waits' },
    ...change
  }))
  if (result === 'asks') await vi.advanceTimersByTimeAsync(ASK_TIMEOUT_MS)
  return result
}

async function placeMany (daemon: Fixture, count: number, change: Partial<Placement> = {}): Promise<string[]> {
  const results: string[] = []
  for (let i = 0; i < count; i++) results.push(await place(daemon, change))
  return results
}

test('endpoints without a limit take what those with a limit may not', async () => {
  const daemon = fixture()
  limitTo(daemon, ['one', 'two', 'three'], 2)
  expect(new Set(await placeMany(daemon, 40))).toEqual(new Set(['four']))
  daemon.limits.receive({ grants: [[endpointId('one', 1000), 2]], waits: [], answersAsks: false })
  const results = await placeMany(daemon, 60)
  expect(results.filter((name) => name === 'one')).toHaveLength(2)
  expect(results.filter((name) => name === 'four')).toHaveLength(58)
})

test('when all endpoints have limits, a request waits for a permit only if it is expected in time', async () => {
  // Guards against requests that wait for longer than their target and are refused then.
  const daemon = fixture()
  limitTo(daemon, NAMES, 2)
  expect(await place(daemon)).toBe('waits')
  daemon.limits.receive({ grants: [], waits: [{ pool: POOL, urgentMs: 10, normalMs: 4000 }], answersAsks: true })
  expect(await place(daemon)).toBe('come back in 4000 ms')
  daemon.limits.receive({ grants: [], waits: [{ pool: POOL, urgentMs: 10, normalMs: 20 }], answersAsks: true })
  expect(await place(daemon)).toBe('waits')
})

test('a request that waits starts with the next permit', async () => {
  const daemon = fixture()
  daemon.limits.onRoom = () => daemon.dispatcher.startQueued()
  limitTo(daemon, NAMES, 2)
  let placedAt: string | undefined
  expect(await place(daemon, { placed: (view) => { placedAt = view.name } })).toBe('waits')
  daemon.limits.receive({ grants: [[endpointId('three', 1000), 1]], waits: [{ pool: POOL, urgentMs: 0, normalMs: 0 }], answersAsks: true })
  expect(placedAt).toBe('three')
})

test('prompts with a shared prefix go together to an endpoint without a limit', async () => {
  // Guards against a prefix whose home has a limit and that is prefilled at all other endpoints instead.
  const daemon = fixture()
  const demand = { promptTokens: 4000, maxTokens: 10, expectedTokens: 10, parts: [{ key: 'shared', tokens: 3900 }, { key: 'own', tokens: 100 }] }
  const home = await place(daemon, { demand })
  limitTo(daemon, [home], 1)
  const others = await placeMany(daemon, 12, { demand })
  expect(new Set(others).size).toBe(1)
  expect(others).not.toContain(home)
})

test('an endpoint whose limit ended is used as before', async () => {
  const daemon = fixture()
  limitTo(daemon, ['one', 'two', 'three'], 2)
  limitTo(daemon, ['one', 'two', 'three'], undefined)
  expect(new Set(await placeMany(daemon, 80)).size).toBe(4)
})

/** Grants each request that asks a permit of an endpoint. */
function grantAll ({ limits }: Fixture, name: string): void {
  limits.onAsk = () => {
    limits.takeAsks()
    limits.receive({ grants: [[endpointId(name, 1000), 1]], waits: [{ pool: POOL, urgentMs: 0, normalMs: 0 }], answersAsks: true })
  }
}

test('a request uses the permit that it is granted', async () => {
  const daemon = fixture()
  limitTo(daemon, NAMES, 2)
  grantAll(daemon, 'two')
  expect(new Set(await placeMany(daemon, 20))).toEqual(new Set(['two']))
})

test('a permit of an endpoint that this daemon is not connected to is used', async () => {
  // Guards against permits that only expire: a daemon connects to a few endpoints of a large pool.
  const daemon = fixture(1)
  limitTo(daemon, NAMES, 2)
  const [connected] = daemon.table.candidates(POOL)
  const other = NAMES.find((name) => name !== connected!.name)!
  grantAll(daemon, other)
  expect(await place(daemon)).toBe(other)
})

test('a request does not use a permit of the endpoint where it failed before', async () => {
  const daemon = fixture()
  limitTo(daemon, ['one', 'two', 'three'], 2)
  grantAll(daemon, 'two')
  const results = await placeMany(daemon, 20, { avoid: [endpointId('two', 1000)] })
  expect(results).not.toContain('two')
})

test('a request whose caller leaves while it asks for a permit is not sent', async () => {
  const daemon = fixture()
  limitTo(daemon, NAMES, 2)
  let placedAt: string | undefined
  const asking = request({ placed: (view) => { placedAt = view.name } })
  daemon.dispatcher.place(asking)
  daemon.dispatcher.remove(asking)
  daemon.limits.takeAsks()
  daemon.limits.receive({ grants: [[endpointId('two', 1000), 1]], waits: [{ pool: POOL, urgentMs: 0, normalMs: 0 }], answersAsks: true })
  await vi.advanceTimersByTimeAsync(1000)
  expect(placedAt).toBeUndefined()
})
