import fc from 'fast-check'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, type EndpointVersion } from '../../core/ids/index.ts'
import { exposureAllowed } from '../../core/rollout/index.ts'
import { DURATION_MS, EXPOSURE_LIMIT, Fleet, NEW, OLD, PROPAGATION_MS } from './_simulated_fleet.ts'

let fleet: Fleet

beforeEach(() => { vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'] }) })

afterEach(() => {
  fleet.stop()
  vi.useRealTimers()
})

async function run (ms: number): Promise<void> {
  await vi.advanceTimersByTimeAsync(ms)
}

test('a version without a rollout order gets no requests', async () => {
  fleet = new Fleet(3, { seed: 1 })
  fleet.leaseHolders.add(0)
  await run(5000)
  expect(fleet.sentToNew).toBe(0)
})

test('a good version is completed by the deadline, and all daemons use it', async () => {
  fleet = new Fleet(3, { seed: 1 })
  fleet.leaseHolders.add(0)
  await run(1000)
  fleet.order()
  await run(DURATION_MS)
  expect(fleet.stage).toBe('completed')
  const before = fleet.requests - fleet.sentToNew
  await run(2000)
  expect(fleet.requests - fleet.sentToNew).toBe(before)
})

test('a bad version stays within its exposure limit until it is rolled back, and gets no requests afterwards', async () => {
  for (const seed of [1, 2, 3]) {
    fleet = new Fleet(3, { seed })
    fleet.failureRate = 0.3
    fleet.leaseHolders.add(0)
    fleet.order()
    await run(DURATION_MS / 2)
    expect(fleet.stage).toBe('rolled-back')
    expect(fleet.sentToNew).toBeLessThanOrEqual(exposureAllowed(fleet.asked, EXPOSURE_LIMIT))
    const before = fleet.sentToNew
    await run(DURATION_MS)
    expect(fleet.sentToNew).toBe(before)
    fleet.stop()
    vi.clearAllTimers()
  }
})

test.each([['at once', 0], ['late', 3000]])('a slow version of a pool with few requests, whose endpoints come %s, stays within its exposure limit', async (_, startsAfterMs) => {
  // Guards against all work for a version of which too few answers came to compare it.
  for (const durationMs of [5000, 10_000, 16_000]) {
    for (const seed of [1, 2, 3]) {
      fleet = new Fleet(9, { seed, requestEveryMs: 50, classes: ['book', 'view'], endpoints: 3 })
      fleet.slowdown = 8
      fleet.leaseHolders.add(0)
      fleet.listNewEndpoints(false)
      await run(1000)
      fleet.order(NEW, durationMs)
      await run(startsAfterMs)
      fleet.listNewEndpoints(true)
      await run(durationMs - startsAfterMs)
      expect(fleet.sentToNew).toBeLessThanOrEqual(EXPOSURE_LIMIT.slack + EXPOSURE_LIMIT.share * fleet.asked)
      expect(fleet.stage).toBe('rolled-back')
      fleet.stop()
      vi.clearAllTimers()
    }
  }
})

test.each([['at once', 0], ['late', 3000]])('a good version of a pool with few requests, whose endpoints come %s, is completed by the deadline', async (_, startsAfterMs) => {
  for (const durationMs of [10_000, 16_000]) {
    for (const seed of [1, 2, 3]) {
      fleet = new Fleet(9, { seed, requestEveryMs: 50, classes: ['book', 'view'], endpoints: 3 })
      fleet.leaseHolders.add(0)
      fleet.listNewEndpoints(false)
      await run(1000)
      fleet.order(NEW, durationMs)
      await run(startsAfterMs)
      fleet.listNewEndpoints(true)
      await run(durationMs - startsAfterMs)
      expect(fleet.stage).toBe('completed')
      fleet.stop()
      vi.clearAllTimers()
    }
  }
})

test('a version that turns bad after the switch gets no more requests although the store is slow', async () => {
  // Guards against a bad version that carries all work for as long as its verdict cannot be stored.
  fleet = new Fleet(3, { seed: 1 })
  fleet.leaseHolders.add(0)
  await run(1000)
  fleet.order(NEW, 20_000)
  while (fleet.stage !== 'switching') await run(100)
  await run(PROPAGATION_MS)
  fleet.failureRate = 0.5
  fleet.store.writesToDelay = Infinity
  await run(1500)
  const before = fleet.sentToNew
  await run(1000)
  expect(fleet.sentToNew).toBe(before)
  expect(fleet.store.verdicts).toEqual([])
})

test('a partitioned daemon stops sending requests to the canary version', async () => {
  fleet = new Fleet(3, { seed: 1 })
  fleet.leaseHolders.add(0)
  fleet.order()
  await run(3500)
  expect(fleet.stage).toBe('canary')
  for (const i of [0, 1, 2]) fleet.daemons[i]!.partitioned = true
  // Outstanding grants expire within a second.
  await run(1100)
  fleet.leaseHolders.clear()
  const before = fleet.sentToNew
  await run(10_000)
  expect(fleet.sentToNew).toBe(before)
})

test('the lease holder writes progress again that the store has lost', async () => {
  // Guards against granting requests twice, and against a second verdict, after a return of the store to a copy.
  for (const stage of ['canary', 'rolled-back'] as const) {
    fleet = new Fleet(3, { seed: 1 })
    fleet.order()
    const { store, daemons } = fleet
    const lost = { order: store.record!.order, from: OLD, stage, orderedAtMs: Date.now(), stageAtMs: Date.now(), granted: 60, why: 'test' }
    daemons[0]!.records.set(store.record!.order.pool, { ...store.record!, progress: lost, unsaved: true })
    fleet.leaseHolders.add(0)
    for (const listener of daemons[0]!.listeners) listener(store.record!.order.pool)
    await run(150)
    expect(store.record!.progress).toEqual(lost)
    expect(daemons[0]!.records.get(store.record!.order.pool)!.unsaved).toBeUndefined()
    fleet.stop()
    vi.clearAllTimers()
  }
})

test('a new lease holder resumes in the middle of a stage, however the previous one failed', async () => {
  for (const end of ['dies', 'freezes', 'is partitioned'] as const) {
    fleet = new Fleet(4, { seed: 2 })
    fleet.leaseHolders.add(0)
    fleet.order()
    await run(3000)
    if (end === 'dies') fleet.daemons[0]!.task.stop()
    if (end === 'freezes') fleet.daemons[0]!.frozen = true
    if (end === 'is partitioned') fleet.daemons[0]!.partitioned = true
    else fleet.leaseHolders.delete(0)
    await run(3000)
    fleet.leaseHolders.add(1)
    await run(DURATION_MS)
    expect(fleet.stage).toBe('completed')
    expect(fleet.store.verdicts).toEqual(['completed'])
    fleet.stop()
    vi.clearAllTimers()
  }
})

test('an order replaces an unfinished one, and an order repeated after its end starts again', async () => {
  fleet = new Fleet(3, { seed: 4 })
  fleet.leaseHolders.add(0)
  fleet.failureRate = 0.4
  fleet.order()
  await run(DURATION_MS / 2)
  expect(fleet.store.verdicts).toEqual(['rolled-back'])
  fleet.failureRate = 0
  fleet.order(NEW, DURATION_MS + 1)
  await run(DURATION_MS + 1)
  expect(fleet.store.verdicts).toEqual(['rolled-back', 'completed'])
  fleet.order(as<EndpointVersion>('v9'), 5000)
  await run(4000)
  fleet.order(OLD)
  await run(DURATION_MS)
  expect(fleet.store.verdicts).toEqual(['rolled-back', 'completed', 'completed'])
})

test('an order for a version without endpoints is rolled back at its deadline', async () => {
  fleet = new Fleet(3, { seed: 1 })
  fleet.leaseHolders.add(0)
  fleet.order(as<EndpointVersion>('v9'), 5000)
  await run(4500)
  expect(fleet.store.verdicts).toEqual([])
  await run(1500)
  expect(fleet.store.verdicts).toEqual(['rolled-back'])
})

interface Fault { atMs: number, kind: 'lease' | 'second lease holder' | 'freeze' | 'part' | 'store down' | 'lost replies' | 'late writes', daemon: number, forMs: number }

test('random fault schedules: granted requests stay within the exposure limit, and there is at most one verdict, which stands', async () => {
  // Faults: two lease holders at once, frozen and partitioned daemons, and a store that is down, applies writes late or loses replies.
  const fault: fc.Arbitrary<Fault> = fc.record({
    atMs: fc.integer({ min: 0, max: DURATION_MS }),
    kind: fc.constantFrom('lease', 'second lease holder', 'freeze', 'part', 'store down', 'lost replies', 'late writes'),
    daemon: fc.integer({ min: 0, max: 3 }),
    forMs: fc.integer({ min: 200, max: 5000 })
  })
  await fc.assert(fc.asyncProperty(fc.array(fault, { maxLength: 8 }), fc.boolean(), fc.integer({ min: 1, max: 1e6 }), async (faults, isBad, seed) => {
    vi.clearAllTimers()
    fleet = new Fleet(4, { seed })
    fleet.failureRate = isBad ? 0.3 : 0
    fleet.leaseHolders.add(0)
    for (const each of faults) setTimeout(() => injectFault(fleet, each), each.atMs)
    fleet.order()
    for (let ms = 0; ms < 2 * DURATION_MS; ms += 500) {
      await run(500)
      expect(fleet.granted).toBeLessThanOrEqual(exposureAllowed(fleet.asked, EXPOSURE_LIMIT))
    }
    expect(fleet.store.contradictions).toBe(0)
    expect(fleet.store.verdicts.length).toBeLessThanOrEqual(1)
    if (isBad) expect(fleet.store.verdicts).not.toContain('completed')
    for (let i = 0; i < 4; i++) fleet.heal(i)
    if (fleet.store.verdicts.length === 1) await expectOneVersion(fleet)
    fleet.stop()
  }), { seed: 7, numRuns: 25 })
}, 120_000)

function injectFault (fleet: Fleet, { kind, daemon, forMs }: Fault): void {
  const at = fleet.daemons[daemon]!
  const later = (act: () => void) => setTimeout(act, forMs)
  if (kind === 'lease') {
    fleet.leaseHolders.clear()
    fleet.leaseHolders.add(daemon)
  } else if (kind === 'second lease holder') {
    fleet.leaseHolders.add(daemon)
    later(() => { if (fleet.leaseHolders.size > 1) fleet.leaseHolders.delete(daemon) })
  } else if (kind === 'freeze') {
    at.frozen = true
    later(() => { at.frozen = false })
  } else if (kind === 'part') {
    at.partitioned = true
    later(() => fleet.heal(daemon))
  } else if (kind === 'store down') {
    fleet.store.down = true
    later(() => { fleet.store.down = false })
  } else if (kind === 'lost replies') {
    fleet.store.loseAnswers++
  } else {
    fleet.store.writesToDelay++
  }
}

/** Expects that, once the verdict has propagated, all new requests go to the version that it selects. */
async function expectOneVersion (fleet: Fleet): Promise<void> {
  await run(PROPAGATION_MS)
  const { sentToNew, requests } = fleet
  await run(1000)
  const expected = fleet.store.verdicts[0] === 'completed' ? fleet.requests - requests : 0
  expect(fleet.sentToNew - sentToNew).toBe(expected)
}
