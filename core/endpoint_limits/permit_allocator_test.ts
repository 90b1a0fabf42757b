import { expect, test } from 'vitest'
import { as, type DaemonId, type EndpointId, type PoolName } from '../ids/index.ts'
import { PermitAllocator, type LimitObservation } from './index.ts'

const POOL = as<PoolName>('desk')
const A = as<EndpointId>('a')
const B = as<EndpointId>('b')
const daemon = (i: number) => as<DaemonId>(`edge-${i}`)
const limit = (endpoint: EndpointId, perS: number | undefined, atMs = 0): LimitObservation => ({ endpoint, pool: POOL, perS, atMs })
const need = (normal: number, urgent = 0) => [{ pool: POOL, urgent, normal, waits: true }]
const granted = ({ grants }: { grants: ReadonlyArray<readonly [EndpointId, number]> }) => grants.reduce((sum, [, count]) => sum + count, 0)

test('a permit that one daemon did not use is granted to another, and no more than that', () => {
  const allocator = new PermitAllocator()
  const options = (now: number) => ({ limits: [limit(A, 1)], share: 1, now })
  allocator.allocate(daemon(0), need(0), options(0))
  expect(granted(allocator.allocate(daemon(0), need(2), options(1000)))).toBe(1)
  expect(granted(allocator.allocate(daemon(1), need(2), options(1500)))).toBe(0)
  expect(granted(allocator.allocate(daemon(0), need(0), { ...options(1600), unused: [[A, 1]] }))).toBe(0)
  expect(granted(allocator.allocate(daemon(1), need(2), options(1700)))).toBe(1)
})

test.each([0.4, 2.5, 50])('all daemons together get permits at the rate of the limit (%d a second)', (perS) => {
  const allocator = new PermitAllocator()
  let total = 0
  const daemons = 87
  const reportIntervalMs = 300
  for (let i = 0; i * reportIntervalMs < 60_000 * daemons; i++) {
    total += granted(allocator.allocate(daemon(i % daemons), need(5), { limits: [limit(A, perS)], share: 1, now: i * reportIntervalMs / daemons }))
  }
  expect(total).toBeGreaterThan(60 * perS * 0.95 - 1)
  expect(total).toBeLessThanOrEqual(60 * perS + 1)
})

test('a daemon that sends everything gets the whole limit, and one that sends little is not starved', () => {
  const allocator = new PermitAllocator()
  const totals = [0, 0]
  for (let now = 0; now < 40_000; now += 100) {
    totals[0]! += granted(allocator.allocate(daemon(0), need(20), { limits: [limit(A, 4)], share: 1, now }))
    if (now >= 20_000) totals[1]! += granted(allocator.allocate(daemon(1), need(1), { limits: [limit(A, 4)], share: 1, now: now + 50 }))
    if (now === 19_900) expect(totals[0]).toBeGreaterThan(75)
  }
  expect(totals[1]).toBeGreaterThan(30)
})

test('urgent requests get permits first', () => {
  const allocator = new PermitAllocator()
  const options = (now: number) => ({ limits: [limit(A, 1)], share: 1, now })
  allocator.allocate(daemon(0), need(5), options(0))
  allocator.allocate(daemon(1), need(0, 1), options(10))
  expect(granted(allocator.allocate(daemon(0), need(5), options(1000)))).toBe(0)
  expect(granted(allocator.allocate(daemon(1), need(0, 1), options(1010)))).toBe(1)
})

test('allocators of two groups of daemons together grant no more than one', () => {
  // Guards against a partition or a change of the granting daemon that doubles the rate.
  const allocators = [new PermitAllocator(), new PermitAllocator()]
  let total = 0
  for (let now = 0; now < 20_000; now += 100) {
    allocators.forEach((allocator, i) => { total += granted(allocator.allocate(daemon(i), need(50), { limits: [limit(A, 5), limit(B, 3)], share: i === 0 ? 2 / 9 : 7 / 9, now })) })
  }
  expect(total).toBeLessThanOrEqual(160)
  expect(total).toBeGreaterThan(150)
})

test('the wait counts what other daemons wait for, of urgent requests only what is urgent', () => {
  const allocator = new PermitAllocator()
  const options = { limits: [limit(A, 2), limit(B, 2)], share: 1, now: 0 }
  allocator.allocate(daemon(0), need(6, 1), options)
  const { waits } = allocator.allocate(daemon(1), need(1), options)
  expect(waits).toEqual([{ pool: POOL, urgentMs: 500, normalMs: 2250 }])
})

test('requests that do not wait leave the permits to those that do', () => {
  const allocator = new PermitAllocator()
  const options = (now: number) => ({ limits: [limit(A, 1)], share: 1, now })
  const asked = (now: number) => granted(allocator.allocate(daemon(1), [{ pool: POOL, urgent: 0, normal: 1, waits: false }], options(now)))
  expect(asked(0)).toBe(0)
  allocator.allocate(daemon(0), need(1), options(10))
  expect(asked(1100)).toBe(0)
  expect(granted(allocator.allocate(daemon(0), need(1), options(1200)))).toBe(1)
  expect(asked(2200)).toBe(1)
})

test('the wait is unknown while no daemon has chosen the allocator', () => {
  // Guards against refusals with a Retry-After of many seconds while the granting daemon is being replaced.
  const { grants, waits } = new PermitAllocator().allocate(daemon(0), need(3), { limits: [limit(A, 2)], share: 0, now: 0 })
  expect([grants, waits]).toEqual([[], [{ pool: POOL, urgentMs: 0, normalMs: 0 }]])
})
