import fc from 'fast-check'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, type RequestId } from '../../core/ids/index.ts'
import { SEAL_AT, type Claim, type ClaimResult, type KeyHash } from '../../core/once/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { StandInStore } from '../../standins/index.ts'
import { ClaimError, ShardLog } from './shard_log.ts'

const SEED = 11
const LONG_MS = 60_000

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

const claimOf = (key: string, request: string, body = 'same'): Claim => ({ key: as<KeyHash>(key), body, request: as<RequestId>(request), atMs: Date.now() })

/** Runs claims to their end under the paused clock. */
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

test('the same key at two daemons at once is claimed by one; the other learns whose it is', async () => {
  // Two portals send one letter, through two daemons that both believe they write the shard. Without the head's version both would
  // claim the key and the household would get two letters.
  const store = new StandInStore()
  const logs = [new ShardLog({ store, shard: 0 }), new ShardLog({ store, shard: 0 })]
  const results = await settle(...logs.map((log, i) => log.claim(claimOf('k', `${i}~1`), steadyNow() + LONG_MS)))
  expect(results.map((result) => result.status === 'fulfilled' && result.value)).toEqual([{ type: 'claimed' }, { type: 'repeated', request: '0~1' }])
})

test('an owner that was paused and wakes cannot claim what others claimed meanwhile', async () => {
  // A daemon writes a shard, is paused for an hour, and wakes believing that it still knows every claim. Meanwhile another daemon
  // claimed the key and sealed the log. The version the sleeper knew is gone, so it must read before it can claim.
  const store = new StandInStore()
  const sleeper = new ShardLog({ store, shard: 0 })
  await valueOf(sleeper.claim(claimOf('first', 'a~1'), steadyNow() + LONG_MS))
  const other = new ShardLog({ store, shard: 0, intervalMs: 1 })
  for (let i = 0; i <= SEAL_AT; i++) await valueOf(other.claim(claimOf(`k${i}`, `b~${i}`), steadyNow() + LONG_MS))
  expect(await valueOf(sleeper.claim(claimOf('k7', 'a~2'), steadyNow() + LONG_MS))).toEqual({ type: 'repeated', request: 'b~7' })
})

test('a write that was applied without an answer counts as claimed', async () => {
  // The store applies the claim and the answer is lost. Told "not run", the caller would send again with a new key; told nothing, the
  // letter would never be written. Reading back finds the daemon's own write.
  const store = new StandInStore()
  store.faults.loseAnswers = 1
  expect(await valueOf(new ShardLog({ store, shard: 0 }).claim(claimOf('k', 'a~1'), steadyNow() + LONG_MS))).toEqual({ type: 'claimed' })
})

test('with the store down a claim waits until its deadline, then fails with nothing run', async () => {
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

test('a key that repeats while the next write waits its turn is not written again', async () => {
  // Found by the schedules below. A letter is sent, and sent again within the commit interval with another key before it: the second
  // waited through the interval and went into the next batch without being held against the claims made meanwhile.
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

test('claims outlive sealing, merging and the daemon, until they are too old', async () => {
  const store = new StandInStore()
  const log = new ShardLog({ store, shard: 0, intervalMs: 0, keptMs: 24 * 3_600_000 })
  for (let batch = 0; batch < 20; batch++) {
    await settle(...Array.from({ length: SEAL_AT }, (_, i) => log.claim(claimOf(`k${batch}.${i}`, `a~${batch}.${i}`), steadyNow() + LONG_MS)))
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

/** Claims held in each daemon's memory: what the log is compared with. */
class NaiveLog implements Claimer {
  readonly #claims = new Map<KeyHash, Claim>()
  async claim (claim: Claim): Promise<ClaimResult> {
    const holder = this.#claims.get(claim.key)
    if (holder) return { type: 'repeated', request: holder.request }
    this.#claims.set(claim.key, claim)
    return { type: 'claimed' }
  }
}

/** Runs a schedule; returns how often each key was claimed, by every word that a claimer got. */
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

test('under any schedule of faults no key is claimed twice, where claims in memory are', async () => {
  let naiveDoubled = 0
  await fc.assert(fc.asyncProperty(fc.array(event, { minLength: 5, maxLength: 40 }), async (events) => {
    const claimed = await runSchedule(events, (store) => new ShardLog({ store, shard: 0 }))
    expect(Math.max(...claimed)).toBeLessThanOrEqual(1)
    const naive = await runSchedule(events.filter((each) => each.type !== 'wait'), () => new NaiveLog())
    if (Math.max(...naive) > 1) naiveDoubled++
  }), { seed: SEED, numRuns: 80 })
  expect(naiveDoubled).toBeGreaterThan(25)
})
