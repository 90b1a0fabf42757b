import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, type EndpointId, type Fingerprint } from '../../core/ids/index.ts'
import { noWork, type EndpointView } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { DialResult } from '../../endpoints/index.ts'
import { createMetrics } from '../metrics.ts'
import { CrashWatch, type Crash } from './crash_watch.ts'

const [A, B] = ['a', 'b'].map((text) => as<Fingerprint>(text)) as [Fingerprint, Fingerprint]
const FIRST = as<EndpointId>('e1')

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

function viewOf (change: Partial<EndpointView> = {}): EndpointView {
  const speed = { batchSlots: 8, prefillTokensPerS: 1, betweenTokensMs: 1, betweenTokensPerStreamMs: 0, exportTokensPerS: 0, importTokensPerS: 0 }
  return { id: FIRST, hostId: as('h'), pool: as('p'), failureDomain: as('d'), address: '', pricePerHour: 0, reclaimable: false, speed, firstMs: 0, latencyFactor: 1, others: noWork(), own: noWork(), leavingAtMs: undefined, ejectedUntilMs: 0, ...change }
}

function start (answer: DialResult, isConnected?: (view: EndpointView) => boolean) {
  const crashes: Crash[] = []
  const dials: string[] = []
  const watch = new CrashWatch({ metrics: createMetrics(), dial: async ({ address }) => { dials.push(address); return answer }, ...(isConnected && { isConnected }) })
  watch.onCrash((crash) => crashes.push(crash))
  return { watch, crashes, dials }
}

test('an endpoint that breaks off requests and refuses connections has crashed, with all of its requests in flight', async () => {
  const { watch, crashes, dials } = start('refused')
  watch.lost(viewOf(), A)
  watch.lost(viewOf(), B)
  await vi.advanceTimersByTimeAsync(0)
  watch.lost(viewOf(), as('late'))
  expect(crashes).toEqual([{ endpoint: FIRST, aboard: [A, B] }, { endpoint: FIRST, aboard: ['late'] }])
  expect(dials).toHaveLength(1)
})

test('a broken connection is no crash while the endpoint accepts new ones, until its address refuses them', async () => {
  const { watch, crashes } = start('accepted')
  watch.lost(viewOf(), A)
  await vi.advanceTimersByTimeAsync(100)
  expect(crashes).toEqual([])
  watch.gone(FIRST)
  watch.gone(FIRST)
  expect(crashes).toEqual([{ endpoint: FIRST, aboard: [A] }])
})

test('requests broken off by an endpoint that announced that it leaves are no crash', async () => {
  const { watch, crashes } = start('refused')
  watch.lost(viewOf({ leavingAtMs: 1 }), A)
  await vi.advanceTimersByTimeAsync(100)
  expect(crashes).toEqual([])
})

test('a request broken off by the restart of its endpoint was in flight at a crash', () => {
  const { watch, crashes } = start('accepted')
  watch.restarted(viewOf())
  watch.lost(viewOf({ leavingAtMs: 1 }), A)
  expect(crashes).toEqual([{ endpoint: FIRST, aboard: [A] }])
})

test('a connection lost long before its endpoint ended is not attributed to a crash', () => {
  const { watch, crashes } = start('accepted')
  watch.lost(viewOf(), A)
  vi.advanceTimersByTime(11_000)
  watch.gone(FIRST)
  expect(crashes).toEqual([])
})

test('a request abandoned shortly before its endpoint crashed counts as in flight', () => {
  const { watch, crashes } = start('accepted')
  watch.abandoned(viewOf(), A)
  vi.advanceTimersByTime(3000)
  watch.abandoned(viewOf(), B)
  watch.gone(FIRST)
  watch.gone(as('never used'))
  expect(crashes).toEqual([{ endpoint: FIRST, aboard: [B] }])
})

test('an endpoint that refuses connections after a request was abandoned there has crashed, although nothing else is sent to it', async () => {
  // Guards against crashes that no request is attributed to, because its caller had disconnected and no other request noticed them.
  const { watch, crashes, dials } = start('refused')
  watch.abandoned(viewOf(), A)
  await vi.advanceTimersByTimeAsync(1000)
  expect(crashes).toEqual([{ endpoint: FIRST, aboard: [A] }])
  await vi.advanceTimersByTimeAsync(10_000)
  expect(dials).toHaveLength(1)
})

test('an endpoint that stays up is dialled once for the requests abandoned there together, and again for a later one', async () => {
  const { watch, dials } = start('accepted')
  for (const request of [A, B]) watch.abandoned(viewOf(), request)
  await vi.advanceTimersByTimeAsync(3000)
  expect(dials).toHaveLength(1)
  watch.abandoned(viewOf(), A)
  await vi.advanceTimersByTimeAsync(3000)
  expect(dials).toHaveLength(2)
})

test('an endpoint is not dialled for an abandoned request while another connection to it is open, or after it announced that it leaves', async () => {
  const [connected, leaving] = [viewOf(), viewOf({ id: as<EndpointId>('leaving') })]
  const { watch, dials } = start('accepted', (view) => view === connected)
  watch.abandoned(connected, A)
  watch.abandoned(leaving, A)
  leaving.leavingAtMs = steadyNow()
  await vi.advanceTimersByTimeAsync(3000)
  expect(dials).toEqual([])
})

test('abandoned requests cost at most four dials per second, and none two seconds later', async () => {
  // Guards against a storm of connections to a pool whose requests all reach their deadlines.
  const { watch, dials } = start('accepted')
  for (let i = 0; i < 100; i++) watch.abandoned(viewOf({ id: as<EndpointId>(`e${i}`), address: `a${i}` }), A)
  await vi.advanceTimersByTimeAsync(2000)
  expect(dials.length).toBeLessThanOrEqual(8)
  expect(new Set(dials).size).toBe(dials.length)
  const before = dials.length
  await vi.advanceTimersByTimeAsync(10_000)
  expect([before > 0, dials.length]).toEqual([true, before])
})
