import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import xxhash from 'xxhash-wasm'
import { as, type DaemonId, type EndpointId, type FailureDomain, type HostId, type PoolName } from '../../core/ids/index.ts'
import { noWork, type EndpointWork } from '../../core/routing/index.ts'
import { RegionTopology } from '../../core/topology/index.ts'
import { EndpointTable } from '../endpoints/endpoint_table.ts'
import { createMetrics } from '../metrics.ts'
import { placement } from '../request/_placement_fixture.ts'
import { createSharedDispatcher } from '../request/shared_dispatcher.ts'
import { TOO_LARGE_REASON } from '../request/dispatcher.ts'
import { seededRandom } from '../seeded_random.ts'
import { EngineMemory } from './engine_memory.ts'
import { EngineMemoryTask } from './engine_memory_task.ts'

const { h32: hash } = await xxhash()
const POOL = as<PoolName>('assistant')
const ENDPOINT = as<EndpointId>('e1')
const DOMAIN = as<FailureDomain>('a')
const MEMORY = 100_000
const KEEPER = as<DaemonId>('d0')
const SPEED = { batchSlots: 64, prefillTokensPerS: 1e6, betweenTokensMs: 1, betweenTokensPerStreamMs: 0, exportTokensPerS: 0, importTokensPerS: 0 }
const LINK_MS = 1
const REPORT_MS = 100

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

function tableOf (self: DaemonId, { countsMemory = true } = {}): EndpointTable {
  const table = new EndpointTable({ self, hash, countsMemory })
  table.applyHostList([{ hostId: as<HostId>('h'), hostClass: 'any', failureDomain: DOMAIN, reclaimable: false, pricePerHour: 0, state: 'live', endpoint: { id: ENDPOINT, pool: POOL, address: '', speed: SPEED } }])
  return table
}

/** Daemons of which the first one grants memory, connected by links that a test may cut. */
function fleet (count: number) {
  const handlers = new Map<DaemonId, Map<string, (value: never, from: DaemonId) => void>>()
  const cut = new Set<DaemonId>()
  const daemons = Array.from({ length: count }, (_, i) => {
    const id = as<DaemonId>(`d${i}`)
    const table = tableOf(id)
    const metrics = createMetrics()
    const memory = new EngineMemory({ table, metrics, random: seededRandom(i + 1), memoryOf: () => MEMORY, sharers: () => count })
    const own = new Map<string, (value: never, from: DaemonId) => void>()
    handlers.set(id, own)
    const post = (to: DaemonId, topic: string, value: unknown) => {
      const copy = structuredClone(value)
      setTimeout(() => { if (!cut.has(id) && !cut.has(to)) handlers.get(to)!.get(topic)!(copy as never, id) }, LINK_MS)
      return true
    }
    const links = { post, onPost: (topic: string, handler: (value: never, from: DaemonId) => void) => { own.set(topic, handler) } }
    const task = new EngineMemoryTask({ self: id, links, memory, metrics, poolOf: () => POOL, accounts: { keeper: i === 0 ? undefined : KEEPER, keeperShare: 1 } })
    return { id, table, memory, task, view: table.get(ENDPOINT)! }
  })
  const reports = (ms: number) => {
    for (let at = 0; at < ms; at += REPORT_MS) {
      for (const { id, table, memory, task } of daemons) {
        if (cut.has(id)) continue
        const work = structuredClone(memory.withGrants(table.ownWork))
        task.beforeReport()
        setTimeout(() => daemons[0]!.task.reported(id, work), LINK_MS)
      }
      vi.advanceTimersByTime(REPORT_MS)
    }
  }
  return { daemons, reports, cut }
}

const othersHold = (heldTokens: number): EndpointWork[] => [[ENDPOINT, { ...noWork(), running: Math.ceil(heldTokens / 1000), heldTokens }]]
const start = (table: EndpointTable, heldTokens: number) => table.started(ENDPOINT, { lane: 'normal', tokens: 0, heldTokens })

test('a request waits for a grant while the endpoint is more than half full, and starts once another daemon\'s request has ended', () => {
  const { daemons, reports } = fleet(3)
  const [, holder, asker] = daemons as [typeof daemons[0], typeof daemons[0], typeof daemons[0]]
  start(holder!.table, 70_000)
  start(holder!.table, 20_000)
  reports(4000)
  const rooms: boolean[] = []
  asker!.memory.applyOthers(othersHold(90_000), { from: KEEPER, visibleAfterMs: 200 })
  asker!.memory.onRoom = () => rooms.push(asker!.memory.hasRoom(asker!.view, 25_000))
  expect(asker!.memory.hasRoom(asker!.view, 25_000)).toBe(false)
  vi.advanceTimersByTime(50)
  expect(rooms).toEqual([])
  holder!.memory.applyOthers([], { from: KEEPER, visibleAfterMs: 200 })
  holder!.table.ended(ENDPOINT, { heldTokens: 20_000 })
  vi.advanceTimersByTime(20)
  expect(rooms).toEqual([true])
})

test('a grant that no request uses is returned, and another daemon gets it', () => {
  // Guards against memory that is lost to requests which were cancelled while they waited.
  const { daemons, reports } = fleet(4)
  start(daemons[1]!.table, 70_000)
  reports(4000)
  const granted: DaemonId[] = []
  for (const { id, memory, view } of daemons.slice(2)) {
    memory.applyOthers(othersHold(70_000), { from: KEEPER, visibleAfterMs: 200 })
    memory.onRoom = () => granted.push(id)
    memory.hasRoom(view, 25_000)
  }
  vi.advanceTimersByTime(20)
  expect(granted).toEqual(['d2'])
  vi.advanceTimersByTime(100)
  expect(granted).toEqual(['d2', 'd3'])
})

test('a grant that arrives long after it was asked for is not used', () => {
  // Guards against a late grant that the keeper has taken for lost and given to another daemon.
  const memory = new EngineMemory({ table: tableOf(as('d1')), metrics: createMetrics(), random: () => 0, memoryOf: () => MEMORY, sharers: () => 2 })
  let receive: (value: never, from: DaemonId) => void = () => {}
  const links = { post: () => true, onPost: (topic: string, handler: typeof receive) => { if (topic === 'engine-memory-granted') receive = handler } }
  const task = new EngineMemoryTask({ self: as('d1'), links, memory, metrics: createMetrics(), poolOf: () => POOL, accounts: { keeper: KEEPER, keeperShare: 0 } })
  const askedAtMs = performance.now()
  vi.advanceTimersByTime(2001)
  receive({ number: 1, askedAtMs, grants: [[ENDPOINT, 25_000]] } as never, KEEPER)
  expect(memory.hasUnused).toBe(false)
  receive({ number: 2, askedAtMs: performance.now(), grants: [[ENDPOINT, 25_000]] } as never, as('d9'))
  expect(memory.hasUnused).toBe(false)
  receive({ number: 2, askedAtMs: performance.now(), grants: [[ENDPOINT, 25_000]] } as never, KEEPER)
  expect(memory.hasUnused).toBe(true)
  task.stop()
})

test('while the keeper is silent, a daemon uses what its own requests free', () => {
  // Guards against engines that run empty until a new keeper grants memory.
  const { daemons } = fleet(2)
  const { memory, table, view } = daemons[1]!
  memory.applyOthers(othersHold(60_000), { from: KEEPER, visibleAfterMs: 200 })
  start(table, 30_000)
  expect(memory.hasRoom(view, 25_000)).toBe(false)
  vi.advanceTimersByTime(1000)
  table.ended(ENDPOINT, { heldTokens: 30_000 })
  expect(memory.hasRoom(view, 25_000)).toBe(true)
  expect(memory.withGrants(table.ownWork)).toEqual([[ENDPOINT, { ...noWork(), heldTokens: 30_000 }]])
})

test('sums of a new keeper, to which not all daemons have reported, do not replace those of the one before at once', () => {
  const { daemons } = fleet(2)
  const { memory, view } = daemons[1]!
  memory.applyOthers(othersHold(90_000), { from: KEEPER, visibleAfterMs: 0 })
  memory.applyOthers([], { from: as<DaemonId>('d9'), visibleAfterMs: 0 })
  expect(memory.hasRoom(view, 5000)).toBe(false)
  vi.advanceTimersByTime(1500)
  memory.applyOthers([], { from: as<DaemonId>('d9'), visibleAfterMs: 0 })
  expect(memory.hasRoom(view, 1000)).toBe(true)
})

test('a request that is larger than an engine\'s memory is refused at once, and its caller is given no time to come back', () => {
  const table = tableOf(as('d1'))
  const memory = new EngineMemory({ table, metrics: createMetrics(), random: () => 0, memoryOf: () => MEMORY, sharers: () => 2 })
  const dispatcher = createSharedDispatcher({ table, hash, random: seededRandom(1), topology: new RegionTopology({ ownDomain: DOMAIN }), sharers: () => 2, memory })
  const refusals: unknown[] = []
  const demand = { promptTokens: MEMORY - 100, maxTokens: 200, expectedTokens: 10, parts: [] }
  dispatcher.place(placement({ pool: POOL, demand, refused: (...refusal) => refusals.push(refusal) }))
  expect([refusals, dispatcher.queued]).toEqual([[[TOO_LARGE_REASON, Infinity]], 0])
})

test('requests of a pool whose engines do not name their memory, and those without tokens, have room, and nothing is asked for', () => {
  const table = tableOf(as('d1'))
  let due = 0
  const memoryOf = (tokens: number | undefined) => {
    const memory = new EngineMemory({ table, metrics: createMetrics(), random: () => 0, memoryOf: () => tokens, sharers: () => 2 })
    memory.onDue = () => { due++ }
    return memory
  }
  expect([memoryOf(undefined).hasRoom(table.get(ENDPOINT)!, 1e9), memoryOf(MEMORY).hasRoom(table.get(ENDPOINT)!, 0), due]).toEqual([true, true, 0])
})

test('tokens are counted with the requests that hold them, and only where this is asked for', () => {
  const table = tableOf(as('d1'))
  start(table, 3000)
  start(table, 500)
  expect(table.ownWork).toEqual([[ENDPOINT, { ...noWork(), running: 2, heldTokens: 3500 }]])
  table.ended(ENDPOINT, { heldTokens: 3000 })
  table.ended(ENDPOINT, { heldTokens: 500 })
  expect(table.get(ENDPOINT)!.own).toEqual(noWork())
  const uncounted = tableOf(as('d1'), { countsMemory: false })
  start(uncounted, 3000)
  expect(uncounted.ownWork).toEqual([[ENDPOINT, { ...noWork(), running: 1 }]])
})
