import fc from 'fast-check'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, type RequestId } from '../../core/ids/index.ts'
import { SEAL_THRESHOLD, type Claim, type ClaimResult, type KeyHash } from '../../core/once/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { StandInStore } from '../../standins/index.ts'
import { ClaimError, ShardLog } from './shard_log.ts'

const SEED = 11
const LONG_MS = 60_000

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

const claimOf = (key: string, request: string, body = 'same'): Claim => ({ key: as<KeyHash>(key), body, request: as<RequestId>(request), atMs: Date.now() })

/** Advances the fake clock until all claims have settled. */
async function settle<T> (...claims: Array<Promise<T>>): Promise<Array<PromiseSettledResult<T>>> {
  const all = Promise.allSettled(claims)
  await vi.advanceTimersByTimeAsync(LONG_MS)
  return await all
}

async function valueOf (claim: Promise<ClaimResult>): Promise<ClaimResult> {
  const [result] = await settle(claim)
  if (result!.status === 'rejected') throw result!.reason
  return result!.value
}

test('a key claimed through two daemons at once is claimed by one, and the other gets the id of the claiming request', async () => {
  // Guards against two daemons that both consider themselves the owner of a shard claiming the same key, which would run the request twice.
  // Only the version check on the head prevents it.
  const store = new StandInStore()
  const logs = [new ShardLog({ store, shard: 0 }), new ShardLog({ store, shard: 0 })]
  const results = await settle(...logs.map((log, i) => log.claim(claimOf('k', `${i}~1`), steadyNow() + LONG_MS)))
  expect(results.map((result) => result.status === 'fulfilled' && result.value)).toEqual([{ type: 'claimed' }, { type: 'repeated', request: '0~1' }])
})

test('an owner that resumes after a pause cannot claim a key that was claimed meanwhile', async () => {
  // Guards against a paused daemon deciding by outdated state. While it is paused, another daemon claims the key and seals the log. The version
  // that the paused daemon knows is outdated, so it must read the head before it can claim.
  const store = new StandInStore()
  const paused = new ShardLog({ store, shard: 0 })
  await valueOf(paused.claim(claimOf('first', 'a~1'), steadyNow() + LONG_MS))
  const other = new ShardLog({ store, shard: 0, intervalMs: 1 })
  for (let i = 0; i <= SEAL_THRESHOLD; i++) await valueOf(other.claim(claimOf(`k${i}`, `b~${i}`), steadyNow() + LONG_MS))
  expect(await valueOf(paused.claim(claimOf('k7', 'a~2'), steadyNow() + LONG_MS))).toEqual({ type: 'repeated', request: 'b~7' })
})

test('a write that is applied but whose response is lost counts as claimed', async () => {
  // Guards against reporting a failure after the store applied the claim and its response was lost. Told `not-run`, the caller would send the request
  // again with a new key; told nothing, the request would never be run. Reading back finds the daemon's own write.
  const store = new StandInStore()
  store.faults.loseAnswers = 1
  expect(await valueOf(new ShardLog({ store, shard: 0 }).claim(claimOf('k', 'a~1'), steadyNow() + LONG_MS))).toEqual({ type: 'claimed' })
})

test('with the store down a claim waits until its deadline, then fails before anything is run', async () => {
  const store = new StandInStore()
  store.faults.down = true
  const log = new ShardLog({ store, shard: 0 })
  const late = log.claim(claimOf('late', 'a~1'), steadyNow() + 1000)
  const patient = log.claim(claimOf('patient', 'a~2'), steadyNow() + 10_000)
  const both = Promise.allSettled([late, patient])
  await vi.advanceTimersByTimeAsync(3000)
  store.faults.down = false
  await vi.advanceTimersByTimeAsync(3000)
  const [first, second] = await both
  expect(first).toMatchObject({ status: 'rejected', reason: expect.any(ClaimError) })
  expect(second).toMatchObject({ status: 'fulfilled', value: { type: 'claimed' } })
})

test('a key that is repeated during the commit interval is not written again', async () => {
  // Guards against writing a claim without comparing it with claims made while it waited. A repeat sent within the commit interval, after a claim of
  // another key, went into the next batch unchecked. The fault schedules below found it.
  const store = new StandInStore()
  const log = new ShardLog({ store, shard: 0 })
  const first = log.claim(claimOf('k', 'a~1'), steadyNow() + LONG_MS)
  await vi.advanceTimersByTimeAsync(1)
  const other = log.claim(claimOf('other', 'a~2'), steadyNow() + LONG_MS)
  const repeated = log.claim(claimOf('k', 'a~3'), steadyNow() + LONG_MS)
  const results = await settle(first, other, repeated)
  expect(results.map((result) => result.status === 'fulfilled' && result.value.type)).toEqual(['claimed', 'claimed', 'repeated'])
})

test('a repeated key with another body is refused', async () => {
  const log = new ShardLog({ store: new StandInStore(), shard: 0 })
  await valueOf(log.claim(claimOf('k', 'a~1'), steadyNow() + LONG_MS))
  expect(await valueOf(log.claim(claimOf('k', 'a~2', 'other'), steadyNow() + LONG_MS))).toEqual({ type: 'other-body' })
})

test('claims are kept across sealing, merging and restarts until they expire', async () => {
  const store = new StandInStore()
  const log = new ShardLog({ store, shard: 0, intervalMs: 0, keptMs: 24 * 3_600_000 })
  for (let batch = 0; batch < 20; batch++) {
    await settle(...Array.from({ length: SEAL_THRESHOLD }, (_, i) => log.claim(claimOf(`k${batch}.${i}`, `a~${batch}.${i}`), steadyNow() + LONG_MS)))
  }
  const next = new ShardLog({ store, shard: 0, keptMs: 24 * 3_600_000 })
  for (const key of ['0.0', '10.99', '19.255']) {
    expect(await valueOf(next.claim(claimOf(`k${key}`, 'b~1'), steadyNow() + LONG_MS))).toEqual({ type: 'repeated', request: `a~${key}` })
  }
  expect(store.keys().length).toBeLessThan(10)
})

type Event =
  | { type: 'claim', daemon: number, key: number }
  | { type: 'down' | 'up' | 'slow' | 'quick' | 'lose' }
  | { type: 'restart', daemon: number }
  | { type: 'wait', ms: number }

const event: fc.Arbitrary<Event> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ type: fc.constant('claim' as const), daemon: fc.nat(2), key: fc.nat(4) }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constantFrom('down' as const, 'up' as const, 'slow' as const, 'quick' as const, 'lose' as const) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('restart' as const), daemon: fc.nat(2) }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('wait' as const), ms: fc.nat(400) }) }
)

interface Claimer { claim (claim: Claim, expiresAtMs: number): Promise<ClaimResult> }

/** Baseline for comparison that keeps claims only in each daemon's memory. */
class InMemoryLog implements Claimer {
  readonly #claims = new Map<KeyHash, Claim>()
  async claim (claim: Claim): Promise<ClaimResult> {
    const holder = this.#claims.get(claim.key)
    if (holder) return { type: 'repeated', request: holder.request }
    this.#claims.set(claim.key, claim)
    return { type: 'claimed' }
  }
}

/** Runs a schedule. Returns how often each key was reported as claimed. */
async function runSchedule (events: readonly Event[], make: (store: StandInStore) => Claimer): Promise<number[]> {
  const store = new StandInStore()
  const daemons = [make(store), make(store), make(store)]
  const claimed = [0, 0, 0, 0, 0]
  const open: Array<Promise<unknown>> = []
  let serial = 0
  for (const each of events) {
    if (each.type === 'claim') {
      const claim = claimOf(`k${each.key}`, `d${each.daemon}~${serial++}`)
      open.push(daemons[each.daemon]!.claim(claim, steadyNow() + 2000).then((result) => { if (result.type === 'claimed') claimed[each.key]!++ }, () => {}))
    } else if (each.type === 'restart') daemons[each.daemon] = make(store)
    else if (each.type === 'wait') await vi.advanceTimersByTimeAsync(each.ms)
    else applyFault(store, each.type)
  }
  store.faults.down = false
  await settle(...open)
  return claimed
}

function applyFault (store: StandInStore, fault: 'down' | 'up' | 'slow' | 'quick' | 'lose'): void {
  if (fault === 'down' || fault === 'up') store.faults.down = fault === 'down'
  else if (fault === 'lose') store.faults.loseAnswers++
  else store.faults.slowMs = fault === 'slow' ? 300 : 0
}

test('no key is claimed twice under any schedule of faults, unlike with claims in memory', async () => {
  let baselineDoubled = 0
  await fc.assert(fc.asyncProperty(fc.array(event, { minLength: 5, maxLength: 40 }), async (events) => {
    const claimed = await runSchedule(events, (store) => new ShardLog({ store, shard: 0 }))
    expect(Math.max(...claimed)).toBeLessThanOrEqual(1)
    const baseline = await runSchedule(events.filter((each) => each.type !== 'wait'), () => new InMemoryLog())
    if (Math.max(...baseline) > 1) baselineDoubled++
  }), { seed: SEED, numRuns: 80 })
  expect(baselineDoubled).toBeGreaterThan(25)
})
