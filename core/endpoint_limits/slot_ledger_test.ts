import { expect, test } from 'vitest'
import { as, type DaemonId, type EndpointId, type PoolName } from '../ids/index.ts'
import { PermitAllocator, SlotLedger, type FragileEndpoint, type SlotReport } from './index.ts'

const POOL = as<PoolName>('desk')
const A = as<EndpointId>('a')
const daemon = (i: number) => as<DaemonId>(`edge-${i}`)
const FRAGILE: FragileEndpoint = { endpoint: A, pool: POOL, slots: 4, maxRejectionsPerS: 3 }
const report = (held: number, change: Partial<SlotReport> = {}): SlotReport => ({ held: held > 0 ? [[A, held]] : [], rejected: [], receivedGrants: 0, ...change })

/** Creates a ledger whose first grants may be made at time 500. */
function ledger (): SlotLedger {
  const created = new SlotLedger()
  created.update([FRAGILE], 0)
  return created
}

test('nothing is granted until all daemons had time to report what they have', () => {
  // Guards against a new keeper that grants slots that are in use.
  const slots = ledger()
  expect([slots.free(A, { share: 1, now: 499 }), slots.free(A, { share: 1, now: 500 })]).toEqual([0, 2])
})

test('requests of all daemons and grants on their way count', () => {
  const slots = ledger()
  slots.report(daemon(0), report(1), 500)
  slots.report(daemon(1), report(1), 500)
  slots.granted(daemon(1), { endpoint: A, number: 7, now: 510 })
  expect(slots.free(A, { share: 1, now: 510 })).toBe(1)
  slots.report(daemon(1), report(1, { receivedGrants: 6 }), 520)
  expect(slots.free(A, { share: 1, now: 520 })).toBe(1)
  slots.report(daemon(1), report(2, { receivedGrants: 7 }), 530)
  expect(slots.free(A, { share: 1, now: 530 })).toBe(1)
  expect(slots.free(A, { share: 0.5, now: 530 })).toBe(0)
})

test('what a daemon had is free again once it is gone, or a grant was lost', () => {
  const slots = ledger()
  slots.report(daemon(0), report(3), 500)
  slots.granted(daemon(1), { endpoint: A, number: 1, now: 500 })
  expect(slots.free(A, { share: 1, now: 1400 })).toBe(0)
  expect(slots.free(A, { share: 1, now: 1500 })).toBe(1)
  slots.report(daemon(0), report(1), 2500)
  expect(slots.free(A, { share: 1, now: 2500 })).toBe(2)
})

test('a rejection stops all grants for a while and reduces the capacity, which returns slowly', () => {
  // Guards against a rejection that slows only the daemon that got it.
  const slots = ledger()
  slots.report(daemon(0), report(4, { rejected: [[A, 3]] }), 600)
  slots.report(daemon(0), report(0), 700)
  expect([1099, 1100, 1600, 5000, 6599, 6600].map((now) => slots.free(A, { share: 1, now }))).toEqual([0, 2, 2, 2, 2, 2])
  slots.report(daemon(0), report(2), 6600)
  expect(slots.free(A, { share: 1, now: 6600 })).toBe(2)
})

test('fewer requests are granted than an endpoint survives rejecting, until a rejection would be known', () => {
  // Guards against a burst of grants that is rejected as a whole.
  const slots = ledger()
  slots.granted(daemon(0), { endpoint: A, number: 1, now: 600 })
  slots.granted(daemon(1), { endpoint: A, number: 2, now: 600 })
  expect([600, 624, 625].map((now) => slots.free(A, { share: 1, now }))).toEqual([0, 0, 2])
})

test('a rate that is no whole number grants whole requests', () => {
  const slots = new SlotLedger()
  slots.update([{ ...FRAGILE, maxRejectionsPerS: 3.5 }], 0)
  expect(slots.free(A, { share: 1, now: 600 })).toBe(2)
})

test.each([9, 87, 195, 420])('%i daemons together never have more than the slots at an endpoint, however late they report', (daemons) => {
  // Guards against a bound that grows with the number of daemons.
  const allocator = new PermitAllocator()
  const running = Array<number>(daemons).fill(0)
  const received = Array<number>(daemons).fill(0)
  let served = 0
  for (let now = 0; now < 20_000; now += 10) {
    for (let i = 0; i < daemons; i++) if (running[i]! > 0 && (now + i * 10) % 200 === 0) { served += running[i]!; running[i] = 0 }
    for (let i = now / 10 % 5; i < daemons; i += 5) {
      const { grants, number } = allocator.allocate(daemon(i), [{ pool: POOL, urgent: 0, normal: 3, waits: true }], { limits: [], share: 1, now, fragile: [FRAGILE], slots: report(running[i]!, { receivedGrants: received[i]! }) })
      running[i]! += grants.reduce((sum, [, count]) => sum + count, 0)
      received[i] = number
    }
    expect(running.reduce((sum, count) => sum + count)).toBeLessThanOrEqual(FRAGILE.slots)
  }
  expect(served).toBeGreaterThan(20 * FRAGILE.slots * 2)
})
