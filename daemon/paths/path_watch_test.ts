import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import xxhash from 'xxhash-wasm'
import { as, type DaemonId, type EndpointId, type FailureDomain, type HostId, type PoolName } from '../../core/ids/index.ts'
import type { PathCheck } from '../../core/paths/index.ts'
import type { AttemptProgress } from '../../core/request/index.ts'
import { delay, steadyNow } from '../../core/time/index.ts'
import type { ListedHost } from '../../endpoints/index.ts'
import { EndpointTable } from '../endpoints/endpoint_table.ts'
import { createMetrics } from '../metrics.ts'
import { PathWatch, type RequestOnPath } from './index.ts'

const { h32 } = await xxhash()
const POOL = as<PoolName>('llm')
const SPEED = { batchSlots: 8, prefillTokensPerS: 1000, betweenTokensMs: 5, betweenTokensPerStreamMs: 0, exportTokensPerS: 0, importTokensPerS: 0 }
const DIAL_TIMEOUT_MS = 300

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => {
  watch.stop()
  vi.useRealTimers()
})

let table: EndpointTable
let watch: PathWatch
let dialled: string[]
/** How endpoints answer connection attempts, by name; the others accept. */
let network: Map<string, PathCheck>
let requests: Array<RequestOnPath & { lost: boolean[] }>
let idle: Set<string>

function start (endpoints: number): void {
  table = new EndpointTable({ self: as<DaemonId>('self'), hash: (text) => h32(text) })
  dialled = []
  network = new Map()
  requests = []
  idle = new Set()
  table.applyHostList(Array.from({ length: endpoints }, (_, i): ListedHost => ({
    hostId: as<HostId>(`h${i}`),
    failureDomain: as<FailureDomain>(`z${i % 3}`),
    pricePerHour: 1,
    reclaimable: false,
    state: 'live',
    endpoint: { id: as<EndpointId>(`e${i}`), pool: POOL, address: `e${i}`, speed: SPEED, firstMs: 50 }
  }) as unknown as ListedHost))
  watch = new PathWatch({
    table,
    metrics: createMetrics(),
    dial: async (address) => {
      dialled.push(address)
      const result = network.get(address) ?? 'accepted'
      await delay(result === 'unanswered' ? DIAL_TIMEOUT_MS : 3)
      return result
    },
    hasIdleConnection: ({ id }) => idle.has(id),
    open: () => requests
  })
  watch.start()
}

const view = (i: number) => table.get(as<EndpointId>(`e${i}`))!

/** Adds a request that runs at an endpoint and gets no answer. */
function addRequest (i: number, progress: Partial<AttemptProgress> = {}): void {
  const lost: boolean[] = []
  requests.push({ runningAt: view(i).id, progress: { sentAtMs: steadyNow(), predictedMs: 50, lastPieceAtMs: undefined, longestPauseMs: undefined, ...progress }, lost, pathLost: ({ isFinal }) => lost.push(isFinal) })
}

function cut (result: PathCheck, endpoints: readonly number[]): void {
  for (const i of endpoints) network.set(`e${i}`, result)
}

const ALL = [0, 1, 2, 3, 4, 5]
const safe = { idempotent: true }

test('a daemon whose links hang knows it within a second', async () => {
  // Guards against callers that wait for endpoints that cannot be reached.
  start(6)
  cut('unanswered', ALL)
  addRequest(0)
  await vi.advanceTimersByTimeAsync(900)
  expect(watch.reach(POOL, safe)).toBe('cut-off')
  // Guards against answers that are given up because an endpoint pauses, and none of the daemons can tell the difference.
  expect(requests[0]!.lost).toEqual([])
  watch.moveLostRequests(POOL, 100)
  watch.moveLostRequests(POOL, 1000)
  expect(requests[0]!.lost).toEqual([false, true])
})

test('a daemon whose connections are refused knows it at once', async () => {
  start(6)
  cut('refused', ALL)
  watch.suspect(view(0), 'connect-failed')
  expect(watch.reach(POOL, safe)).toBe('reached')
  watch.suspect(view(1), 'connect-failed')
  await vi.advanceTimersByTimeAsync(10)
  for (const i of ALL) watch.suspect(view(i), 'connect-failed')
  await vi.advanceTimersByTimeAsync(10)
  expect(watch.reach(POOL, safe)).toBe('cut-off')
})

test('a sound endpoint that pauses keeps its path, and few connections are opened for it', async () => {
  // Guards against requests that are taken from an endpoint that is silent for a second or so and goes on.
  start(6)
  addRequest(0)
  await vi.advanceTimersByTimeAsync(3000)
  expect(watch.reach(POOL, safe)).toBe('reached')
  expect(requests[0]!.lost).toEqual([])
  expect(dialled.length).toBeLessThanOrEqual(12)
})

test('while other endpoints of the pool are recordActivity, silence of one opens no connections', async () => {
  start(6)
  addRequest(0)
  for (let ms = 0; ms < 3000; ms += 100) {
    table.recordActivity(view(1).id)
    await vi.advanceTimersByTimeAsync(100)
  }
  expect(dialled).toEqual([])
})

test('a pool of which some endpoints can be reached is not cut off', async () => {
  start(6)
  cut('unanswered', [0, 2, 4])
  addRequest(0)
  await vi.advanceTimersByTimeAsync(2000)
  expect(watch.reach(POOL, safe)).toBe('reached')
  expect([0, 1].map((i) => watch.canSend(view(i), safe))).toEqual([false, true])
})

test('a large pool is known to be cut off from a sample of its endpoints', async () => {
  // Guards against hundreds of connection attempts at each daemon of a failure domain that is cut off.
  start(24)
  cut('unanswered', Array.from({ length: 24 }, (_, i) => i))
  addRequest(0)
  await vi.advanceTimersByTimeAsync(900)
  expect(watch.reach(POOL, safe)).toBe('cut-off')
  expect(dialled.length).toBeLessThanOrEqual(2 * 6)
  await vi.advanceTimersByTimeAsync(10_000)
  expect(dialled.length).toBeLessThanOrEqual(2 * 6 + 10 * 2 * 6)
})

test('a daemon that can be reached again is used again within a second, first by idempotent requests one at a time', async () => {
  start(6)
  cut('unanswered', ALL)
  addRequest(0)
  await vi.advanceTimersByTimeAsync(2000)
  requests.length = 0
  network.clear()
  let waitedMs = 0
  for (; watch.stateOf(view(0).id) !== 'trial'; waitedMs += 10) await vi.advanceTimersByTimeAsync(10)
  expect(waitedMs).toBeLessThan(1000)
  expect([watch.canSend(view(0), safe), watch.canSend(view(0), { idempotent: false })]).toEqual([true, false])
  view(0).own.running = 1
  expect(watch.canSend(view(0), safe)).toBe(false)
  await vi.advanceTimersByTimeAsync(600)
  expect(ALL.map((i) => watch.stateOf(view(i).id))).toEqual(ALL.map(() => 'open'))
})

test('what was believed of an endpoint because of a lost path is taken back when the path works again', async () => {
  // Guards against ejections that outlast the cut that caused them.
  start(1)
  cut('refused', [0])
  for (let i = 0; i < 8; i++) {
    table.failed(view(0).id, { point: 'reset-after-send', sentAtMs: steadyNow() })
    await vi.advanceTimersByTimeAsync(100)
  }
  watch.suspect(view(0), 'connect-failed')
  await vi.advanceTimersByTimeAsync(10)
  expect([watch.stateOf(view(0).id), view(0).ejectedUntilMs > steadyNow() + 1000]).toEqual(['down', true])
  network.clear()
  await vi.advanceTimersByTimeAsync(600)
  expect(view(0).ejectedUntilMs).toBe(0)
})

test('connections that are open are used while new ones are refused', async () => {
  start(2)
  cut('refused', [0, 1])
  table.recordActivity(view(0).id)
  table.recordActivity(view(1).id)
  watch.suspect(view(0), 'connect-failed')
  watch.suspect(view(1), 'connect-failed')
  await vi.advanceTimersByTimeAsync(10)
  expect(watch.stateOf(view(0).id)).toBe('established-only')
  expect(watch.reach(POOL, safe)).toBe('cut-off')
  idle.add('e0')
  expect([watch.reach(POOL, safe), watch.canSend(view(0), safe), watch.canSend(view(1), safe)]).toEqual(['reached', true, false])
})
