import xxhash from 'xxhash-wasm'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, type DaemonId, type EndpointId, type EndpointVersion, type FailureDomain, type HostId, type Region } from '../../core/ids/index.ts'
import { RegionTopology } from '../../core/topology/index.ts'
import type { ListedHost } from '../../endpoints/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { EndpointTable } from '../endpoints/endpoint_table.ts'
import { EndpointLimits } from '../limits/endpoint_limits.ts'
import { createMetrics } from '../metrics.ts'
import { seededRandom } from '../seeded_random.ts'
import { NO_TOKENS } from '../../core/work/index.ts'
import { DESK as POOL, DESK_CLASS, placement } from './_placement_fixture.ts'
import type { Dispatcher } from './dispatcher.ts'
import type { CanaryGate, Crossing, Placement, RegionCrossing } from './placement.ts'
import { createSharedDispatcher } from './shared_dispatcher.ts'

const { h32: hash } = await xxhash()
const SLOTS = 6
const SPEED = { batchSlots: SLOTS, prefillTokensPerS: 1e6, betweenTokensMs: 1, betweenTokensPerStreamMs: 0, exportTokensPerS: 0, importTokensPerS: 0 }
const regions = new Map([['n1', 'north'], ['n2', 'north'], ['s1', 'south'], ['s2', 'south']].map(([domain, region]) => [as<FailureDomain>(domain!), as<Region>(region!)]))

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

/** An endpoint in a failure domain that its name begins with; those in the south are cheaper. */
function listed (name: string): ListedHost {
  const failureDomain = as<FailureDomain>(name.split('-')[0]!)
  return { hostId: as<HostId>(name), hostClass: 'any', failureDomain, reclaimable: false, pricePerHour: name.startsWith('n') ? 9 : 1, state: 'live', endpoint: { id: as<EndpointId>(name), pool: POOL, version: as<EndpointVersion>(name.endsWith('old') ? 'old' : 'new'), address: '', speed: SPEED } }
}

interface Fixture { table: EndpointTable, limits: EndpointLimits, dispatcher: Dispatcher, crossings: Crossing[], place (change?: Partial<Placement>): string | undefined }

function fixtureOf (names: readonly string[], { self = 'd', crossing, canaries, seed = 1 }: { self?: string, crossing?: RegionCrossing, canaries?: CanaryGate, seed?: number } = {}): Fixture {
  const topology = new RegionTopology({ ownDomain: as<FailureDomain>('n1'), regions })
  const table = new EndpointTable({ self: as<DaemonId>(self), hash, topology })
  table.applyHostList(names.map(listed))
  const limits = new EndpointLimits({ metrics: createMetrics(), isListed: () => true })
  const dispatcher = createSharedDispatcher({ table, hash, random: seededRandom(seed), topology, crossing, canaries, limits, sharers: () => 1 })
  const crossings: Crossing[] = []
  return {
    table,
    limits,
    dispatcher,
    crossings,
    place (change = {}) {
      let placedAt: EndpointId | undefined
      dispatcher.place(placement({
        spilled: (_view, each) => { crossings.push(each) },
        placed: ({ id }) => {
          placedAt = id
          table.started(id, { lane: 'normal', tokens: 0 })
        },
        ...change
      }))
      return placedAt
    }
  }
}

const fill = (table: EndpointTable, id: string) => { for (let i = 0; i < SLOTS; i++) table.started(as<EndpointId>(id), { lane: 'normal', tokens: 0 }) }
const backOff = (table: EndpointTable, ids: readonly string[]) => { for (const id of ids) table.backOff(as<EndpointId>(id), steadyNow() + 60_000) }
const many = (domain: string, count: number) => Array.from({ length: count }, (_, i) => `${domain}-${i}`)
const NOT_URGENT = { cls: { ...DESK_CLASS, urgent: false } }

test.each([[4, 4], [100, 100], [20, 300]])('none of 10,000 requests leaves its region while that has room: %d endpoints of its own, %d of another', (own, others) => {
  // Guards against requests at the cheaper endpoints of another region.
  const { table, place, crossings } = fixtureOf([...many('n1', own / 2), ...many('n2', own / 2), ...many('s1', others)])
  const running: EndpointId[] = []
  for (let i = 0; i < 10_000; i++) {
    running.push(as<EndpointId>(place(NOT_URGENT)!))
    // All slots of the region but one are in use.
    if (running.length === own * SLOTS - 1) table.ended(running.splice(i % running.length, 1)[0]!)
  }
  expect(running.filter((id) => id.startsWith('s'))).toEqual([])
  expect(crossings).toEqual([])
})

test('a request spills if its region has no room, and tells why', () => {
  const { table, place, crossings } = fixtureOf(['n1-0', 's1-0'])
  expect(place(NOT_URGENT)).toBe('n1-0')
  fill(table, 'n1-0')
  expect(place(NOT_URGENT)).toBe('s1-0')
  expect(crossings).toEqual([{ region: 'south', roundTripMs: 40, why: 'no-room' }])
})

test('a request of a pool without endpoints in its region is sent to another at once', () => {
  const { place, crossings } = fixtureOf(many('s1', 3))
  expect(place(NOT_URGENT)).toMatch(/^s1/)
  expect(crossings).toMatchObject([{ why: 'no-endpoint' }])
})

test('a retry goes to another endpoint of its region before one of another region', () => {
  const { place } = fixtureOf(['n1-0', 'n1-1', 's1-0', 's1-1'])
  for (let i = 0; i < 5; i++) expect(place({ ...NOT_URGENT, avoid: [as<EndpointId>('n1-0')] })).toBe('n1-1')
  expect(place({ ...NOT_URGENT, avoid: [as<EndpointId>('n1-0'), as<EndpointId>('n1-1')] })).toMatch(/^s1/)
})

test('of the requests that wait, those with the fewest bytes spill first, and what may not cross waits for its region', () => {
  // Guards against a small request that waits behind a large one that the link has no room for.
  let left = 0
  const sent: number[] = []
  const crossing: RegionCrossing = {
    mayCross: ({ bytes }) => bytes <= left,
    crossed: (bytes) => {
      left -= bytes
      sent.push(bytes)
    }
  }
  const { table, place, dispatcher } = fixtureOf(['n1-0', 's1-0'], { crossing })
  fill(table, 'n1-0')
  const started: number[] = []
  for (const bytes of [5000, 300, 100, 200]) {
    place({ ...NOT_URGENT, bytes, placed: () => started.push(bytes) })
  }
  expect([started, dispatcher.queued]).toEqual([[], 4])
  left = 350
  dispatcher.startQueued()
  expect([sent, dispatcher.queued]).toEqual([[100, 200], 2])
  for (let i = 0; i < SLOTS; i++) table.ended(as<EndpointId>('n1-0'))
  dispatcher.startQueued()
  expect([started, sent]).toEqual([[100, 200, 5000, 300], [100, 200]])
})

test('a new request that may cross does not wait behind one that may not', () => {
  const { table, place, dispatcher } = fixtureOf(['n1-0', 's1-0'], { crossing: { mayCross: ({ bytes }) => bytes < 1000, crossed: () => {} } })
  fill(table, 'n1-0')
  expect(place({ ...NOT_URGENT, bytes: 5000 })).toBeUndefined()
  expect(place({ ...NOT_URGENT, bytes: 10 })).toBe('s1-0')
  expect(dispatcher.queued).toBe(1)
})

test('all daemons of a region choose the same home of a shared prompt, in that region', () => {
  // Guards against a shared part that is read at dozens of endpoints of the region, or for which each request crosses.
  const demand = (subject: number) => ({ promptTokens: 6000, maxTokens: 10, expectedTokens: 10, parts: [{ key: `shared-${subject}`, tokens: 5500 }, { key: `own-${subject}`, tokens: 500 }] })
  const names = ['n1', 'n2', 's1', 's2'].flatMap((domain) => many(domain, 40))
  for (let subject = 0; subject < 20; subject++) {
    const homes = new Set(Array.from({ length: 12 }, (_, i) => fixtureOf(names, { self: `d${i}`, seed: i + 1 }).place({ ...NOT_URGENT, demand: demand(subject) })))
    expect([...homes]).toEqual([expect.stringMatching(/^n/)])
  }
  const homes = new Set(Array.from({ length: 12 }, (_, i) => fixtureOf([...many('s1', 40), ...many('s2', 40)], { self: `d${i}`, seed: i + 1 }).place({ ...NOT_URGENT, demand: demand(1) })))
  expect(homes.size).toBe(1)
})

test('the home of a shared prompt moves to another region while no endpoint of its own can serve', () => {
  const demand = { promptTokens: 6000, maxTokens: 10, expectedTokens: 10, parts: [{ key: 'shared', tokens: 5500 }, { key: 'own', tokens: 500 }] }
  const homes = new Set(Array.from({ length: 12 }, (_, i) => {
    const { table, place } = fixtureOf([...many('n1', 2), ...many('s1', 40)], { self: `d${i}`, seed: i + 1 })
    for (const id of many('n1', 2)) table.backOff(as<EndpointId>(id), Date.now() + 60_000)
    return place({ ...NOT_URGENT, demand })
  }))
  expect([...homes]).toEqual([expect.stringMatching(/^s1/)])
})

test('a daemon connects to endpoints of its region, and to a few of the other', () => {
  const { table } = fixtureOf([...many('n1', 100), ...many('s1', 100)])
  const connected = table.candidates(POOL)
  expect([connected.length, connected.filter(({ id }) => id.startsWith('s1')).length]).toEqual([24, 4])
})

test('requests try a version in their own region, and in another one only if it runs nowhere else', () => {
  let offered: string[] = []
  const canaries = { canaries: () => offered.map((id) => fixture.table.get(as<EndpointId>(id))!), spent: () => {} }
  const fixture: Fixture = fixtureOf(['n1-0', 'n1-1', 's1-0'], { canaries })
  offered = ['s1-0', 'n1-1']
  for (let i = 0; i < 3; i++) expect(fixture.place(NOT_URGENT)).toBe('n1-1')
  offered = ['s1-0']
  expect(fixture.place(NOT_URGENT)).toBe('s1-0')
  expect(fixture.crossings).toMatchObject([{ why: 'canary' }])
})

test('endpoints of another region are used beyond those that the daemon connects to', () => {
  // Guards against refusals while almost all of another region is idle.
  const { table, place } = fixtureOf([...many('n1', 50), ...many('s1', 50)])
  const connected = table.candidates(POOL).filter(({ id }) => id.startsWith('s1'))
  for (const id of many('n1', 50)) fill(table, id)
  for (const { id } of connected) fill(table, id)
  expect(place(NOT_URGENT)).toMatch(/^s1/)
})

test('all endpoints of another region serve while those of the own one back off', () => {
  const { table, place } = fixtureOf([...many('n1', 50), ...many('s1', 50)])
  backOff(table, many('n1', 50))
  const placed = Array.from({ length: 60 }, () => place(NOT_URGENT))
  expect(placed.filter((id) => id?.startsWith('s1'))).toHaveLength(60)
})

const NO_CROSSING: RegionCrossing = { mayCross: () => false, crossed: () => {} }

test('a retry that may not cross returns to the endpoint that failed it, if its region has no other', () => {
  // Guards against refusals because another region has room that the request may not use.
  const { place } = fixtureOf(['n1-0', 's1-0'], { crossing: NO_CROSSING })
  expect(place({ ...NOT_URGENT, avoid: [as<EndpointId>('n1-0')] })).toBe('n1-0')
})

test('a retry returns to the endpoint that failed it while those of the other region are ejected', () => {
  const { table, place } = fixtureOf(['n1-0', 's1-0'])
  table.get(as<EndpointId>('s1-0'))!.ejectedUntilMs = steadyNow() + 5000
  expect(place({ ...NOT_URGENT, avoid: [as<EndpointId>('n1-0')] })).toBe('n1-0')
})

/** Starts a request every 10 ms, in the own region or, as long as it is full, the other one; then returns where the next is placed. */
async function nextAfterStarts (at: 'n1-0' | 's1-0', beforeNext: (table: EndpointTable) => void, change: Partial<Placement> = {}): Promise<string | undefined> {
  let left = 0
  const { table, place, dispatcher } = fixtureOf(['n1-0', 's1-0'], { crossing: { mayCross: () => left > 0, crossed: () => { left-- } } })
  fill(table, 'n1-0')
  for (let i = 0; i < 20; i++) place(NOT_URGENT)
  for (let i = 0; i < 20; i++) {
    await vi.advanceTimersByTimeAsync(10)
    if (at === 'n1-0') table.ended(as<EndpointId>(at))
    else left = 1
    dispatcher.startQueued()
    if (at === 's1-0') table.ended(as<EndpointId>(at))
  }
  expect(dispatcher.queued).toBe(0)
  beforeNext(table)
  left = 1
  return place({ ...NOT_URGENT, ...change })
}

test('a request does not wait for a region whose endpoints back off', async () => {
  // Guards against waits of tenths of a second for room that will not come.
  expect(await nextAfterStarts('n1-0', (table) => { backOff(table, ['n1-0']) })).toBe('s1-0')
})

test('a retry waits for its region rather than return to the endpoint that failed it, if another region could take it', async () => {
  expect(await nextAfterStarts('n1-0', (table) => { table.ended(as<EndpointId>('n1-0')) }, { avoid: [as<EndpointId>('n1-0')] })).toBeUndefined()
})

test('the expected wait for the own region counts only what starts there', async () => {
  expect(await nextAfterStarts('n1-0', () => {})).toBeUndefined()
  expect(await nextAfterStarts('s1-0', () => {})).toBe('s1-0')
})

test('all daemons choose the same home in another region while all endpoints of their own back off', () => {
  const demand = (subject: number) => ({ promptTokens: 6000, maxTokens: 10, expectedTokens: 10, parts: [{ key: `shared-${subject}`, tokens: 5500 }, { key: 'own', tokens: 500 }] })
  const daemons = Array.from({ length: 12 }, (_, i) => fixtureOf([...many('n1', 40), ...many('s1', 40)], { self: `d${i}`, seed: i + 1 }))
  for (const { table } of daemons) backOff(table, many('n1', 40))
  for (let subject = 0; subject < 20; subject++) {
    const homes = new Set(daemons.map(({ place }) => place({ ...NOT_URGENT, demand: demand(subject) })))
    expect([...homes]).toEqual([expect.stringMatching(/^s1/)])
  }
})

test('endpoints that back off do not count as free slots of a full region', () => {
  const { table, place, crossings } = fixtureOf([...many('n1', 10), ...many('n2', 10), ...many('s1', 20)])
  many('n1', 10).forEach((id, i) => {
    fill(table, id)
    if (i < 8) table.started(as<EndpointId>(id), { lane: 'normal', tokens: 0 })
  })
  backOff(table, many('n2', 10))
  for (let i = 0; i < 50; i++) table.ended(as<EndpointId>(place()!))
  expect(crossings.filter(({ why }) => why === 'overload').length).toBeGreaterThan(15)
})

test('a request that may not cross finds the last room of its region', () => {
  const { table, place } = fixtureOf([...many('n1', 60), ...many('s1', 20)], { crossing: NO_CROSSING })
  const connected = table.candidates(POOL).map(({ id }) => id)
  const free = many('n1', 60).find((id) => !connected.includes(as<EndpointId>(id)))!
  for (const id of many('n1', 60)) {
    if (id === free) continue
    fill(table, id)
    table.started(as<EndpointId>(id), { lane: 'normal', tokens: 0 })
  }
  expect(place(NOT_URGENT)).toBe(free)
})

test('urgent requests that wait spill first', () => {
  let left = 5000
  const sent: number[] = []
  let isOpen = false
  const { table, place, dispatcher } = fixtureOf(['n1-0', 's1-0'], {
    crossing: {
      mayCross: ({ bytes }) => isOpen && bytes <= left,
      crossed: (bytes) => {
        left -= bytes
        sent.push(bytes)
      }
    }
  })
  for (let i = 0; i < 3; i++) fill(table, 'n1-0')
  place({ bytes: 9000 })
  place({ ...NOT_URGENT, bytes: 100 })
  place({ bytes: 5000 })
  expect(dispatcher.queued).toBe(3)
  isOpen = true
  dispatcher.startQueued()
  expect(sent).toEqual([5000])
})

test('while other regions have no room, waiting requests are not weighed', () => {
  // Guards against time spent on each waiting request while all endpoints are full.
  let weighed = 0
  const { table, place, dispatcher } = fixtureOf(['n1-0', 's1-0'])
  for (const id of ['n1-0', 's1-0']) fill(table, id)
  for (let i = 0; i < 20; i++) {
    const demand = {
      ...NO_TOKENS,
      get parts () {
        weighed++
        return []
      }
    }
    place({ ...NOT_URGENT, demand })
  }
  weighed = 0
  dispatcher.startQueued()
  expect(weighed).toBeLessThan(4)
})

/** Limits endpoints to two requests a second, of which none is permitted until one is granted. */
function limitTo ({ limits, table }: Fixture, names: readonly string[]): void {
  for (const name of names) limits.answered(table.get(as<EndpointId>(name))!, { perS: 2 }, steadyNow() + 1)
}

/** Counts the permits asked for, and grants each at an endpoint. */
function grantAt ({ limits }: Fixture, name: string): { asked: number } {
  const asks = { asked: 0 }
  limits.onAsk = () => {
    asks.asked += limits.takeAsks().length
    limits.receive({ grants: [[as<EndpointId>(name), 1]], waits: [{ pool: POOL, urgentMs: 0, normalMs: 0 }], answersAsks: true })
  }
  return asks
}

test('a request whose region has only endpoints with limits is diverted once', () => {
  const fixture = fixtureOf(['n1-0', 'n1-1', 's1-0', 's1-1'])
  limitTo(fixture, ['n1-0', 'n1-1', 's1-0'])
  fixture.limits.receive({ grants: [], waits: [{ pool: POOL, urgentMs: 4000, normalMs: 4000 }], answersAsks: false })
  let diverted = 0
  expect(fixture.place({ ...NOT_URGENT, diverted: () => { diverted++ } })).toBe('s1-1')
  expect(diverted).toBe(1)
})

test('a permit that was granted at an endpoint of another region is used, whatever the expected wait', async () => {
  // Guards against permits that expire while requests wait for their own region.
  let left = 0
  const fixture = fixtureOf(['n1-0', 's1-0'], { crossing: { mayCross: () => left > 0, crossed: () => {} } })
  const { table, place, dispatcher } = fixture
  fill(table, 'n1-0')
  for (let i = 0; i < 20; i++) place(NOT_URGENT)
  for (let i = 0; i < 20; i++) {
    await vi.advanceTimersByTimeAsync(10)
    table.ended(as<EndpointId>('n1-0'))
    dispatcher.startQueued()
  }
  expect(dispatcher.queued).toBe(0)
  for (let i = 0; i < SLOTS; i++) table.ended(as<EndpointId>('n1-0'))
  left = 1
  limitTo(fixture, ['n1-0', 's1-0'])
  grantAt(fixture, 's1-0')
  const placed: string[] = []
  place({ ...NOT_URGENT, placed: ({ id }) => placed.push(id) })
  await vi.advanceTimersByTimeAsync(0)
  expect(placed).toEqual(['s1-0'])
})

test('a request of an overloaded region asks for no permit of another while its own region can serve it in time', () => {
  const fixture = fixtureOf(['n1-0', 'n1-1', 's1-0'])
  for (let i = 0; i < 3; i++) fill(fixture.table, 'n1-0')
  limitTo(fixture, ['s1-0'])
  const asks = grantAt(fixture, 's1-0')
  expect(fixture.place()).toBe('n1-1')
  expect(asks.asked).toBe(0)
})

test('a request that asks for a permit of another region is not started in its own as well', async () => {
  // Guards against requests that are sent twice.
  const fixture = fixtureOf(['n1-0', 's1-0'])
  fill(fixture.table, 'n1-0')
  limitTo(fixture, ['s1-0'])
  grantAt(fixture, 's1-0')
  const placed: string[] = []
  fixture.place({ placed: ({ id }) => placed.push(id) })
  await vi.advanceTimersByTimeAsync(1000)
  expect(placed).toHaveLength(1)
})

test('a stream whose version runs in another region only continues there, and nowhere if it may not cross', () => {
  const names = ['n1-0', 'n1-1', 's1-old', 's1-0']
  const bound: Partial<Placement> = { ...NOT_URGENT, resumed: true, boundTo: { pool: POOL, version: as<EndpointVersion>('old') } }
  const { place, crossings } = fixtureOf(names)
  expect(place(bound)).toBe('s1-old')
  expect(crossings).toMatchObject([{ why: 'no-endpoint' }])
  expect(fixtureOf(names, { crossing: NO_CROSSING }).place(bound)).toBeUndefined()
})
