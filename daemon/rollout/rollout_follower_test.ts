import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, type DaemonId } from '../../core/ids/index.ts'
import type { Fact } from '../../core/membership/index.ts'
import { currentProgress, type RolloutOrder, type RolloutProgress, type RolloutRecord, type RolloutStage } from '../../core/rollout/index.ts'
import { ordinalOf, storeVersion, type StoreVersion } from '../../core/store_version/index.ts'
import { StandInStore } from '../../standins/index.ts'
import type { StoredObject } from '../../store/index.ts'
import { RolloutFollower } from './rollout_follower.ts'

const POOL = as<RolloutOrder['pool']>('desk')
const KEY = `rollouts/${POOL}`

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => {
  follower.stop()
  vi.useRealTimers()
})

const orderTo = (to: string): RolloutOrder => ({ pool: POOL, to: as(to), durationMs: 60_000 })

function progressOf (to: string, stage: RolloutStage, granted = 0): RolloutProgress {
  return { order: orderTo(to), from: as('v1'), stage, orderedAtMs: 1000, stageAtMs: 2000, granted, why: 'test' }
}

interface Stored { order: RolloutOrder, progress?: RolloutProgress }
const decode = ({ version, value }: StoredObject): RolloutRecord => {
  const { order, progress } = JSON.parse(value) as Stored
  return { version, order, progress }
}

let store: StandInStore
let follower: RolloutFollower
let receiveFact: (fact: Fact) => void

async function start (stored: Stored): Promise<StoreVersion> {
  store = new StandInStore()
  store.takeCopy()
  const version = await store.create(KEY, JSON.stringify(stored))
  const membership = { publishFact: () => {}, onFact: (listener: (fact: Fact, from: DaemonId) => void) => { receiveFact = (fact) => listener(fact, as('edge-2')) } }
  follower = new RolloutFollower({ store, port: { prefix: 'rollouts/', decode }, membership, random: () => 0.5, waitMs: 1000 })
  follower.start()
  await vi.advanceTimersByTimeAsync(100)
  return version
}

/** Writes an order and its progress after a copy of the store was taken, and has the store return to the copy. */
async function lose (stored: Stored, version: StoreVersion): Promise<void> {
  store.takeCopy()
  await store.update(KEY, JSON.stringify(stored), version)
  await vi.advanceTimersByTimeAsync(100)
  store.returnToCopy()
  await vi.advanceTimersByTimeAsync(3000)
}

const record = () => follower.records.get(POOL)!

test.each([
  ['a verdict', progressOf('v2', 'canary', 40), progressOf('v2', 'rolled-back', 80)],
  ['granted requests', progressOf('v2', 'canary', 40), progressOf('v2', 'canary', 80)],
  ['a start', undefined, progressOf('v2', 'preparing')]
])('%s that a return of the store has lost is kept, and marked to be written again', async (_what, copied, lost) => {
  // Guards against two verdicts for one order, and against requests that are granted twice.
  const version = await start({ order: orderTo('v2'), ...(copied && { progress: copied }) })
  await lose({ order: orderTo('v2'), progress: lost }, version)
  expect(record()).toMatchObject({ progress: lost, unsaved: true })
  const found = (await store.get(KEY))!
  expect(record().version).toBe(found.version)
  await store.update(KEY, JSON.stringify({ order: orderTo('v2'), progress: lost }), found.version)
  await vi.advanceTimersByTimeAsync(100)
  expect(record().unsaved).toBeUndefined()
})

test('what another daemon knows of the lost progress counts as well', async () => {
  const version = await start({ order: orderTo('v2'), progress: progressOf('v2', 'canary', 40) })
  store.takeCopy()
  store.returnToCopy()
  await vi.advanceTimersByTimeAsync(3000)
  const known: RolloutRecord = { version: storeVersion(0, 9), order: orderTo('v2'), progress: progressOf('v2', 'completed', 90) }
  receiveFact({ key: `rollout/${POOL}`, version: ordinalOf(known.version), value: known })
  expect(record()).toMatchObject({ progress: { stage: 'completed', granted: 90 }, unsaved: true })
  expect(version).not.toBe(record().version)
})

test('an order that was replaced in the lost time is not followed again while the newer one is written again', async () => {
  const version = await start({ order: orderTo('v2'), progress: progressOf('v2', 'completed') })
  await lose({ order: orderTo('v3'), progress: progressOf('v3', 'switching', 90) }, version)
  expect(record().order.to).toBe('v3')
  const found = (await store.get(KEY))!
  await store.update(KEY, JSON.stringify({ order: orderTo('v3'), progress: progressOf('v2', 'completed') }), found.version)
  await vi.advanceTimersByTimeAsync(100)
  expect(currentProgress(record())).toEqual(progressOf('v3', 'switching', 90))
  await vi.advanceTimersByTimeAsync(20_000)
  expect(record().order.to).toBe('v3')
})

test('an order that is not written again within ten seconds is given up', async () => {
  const version = await start({ order: orderTo('v2'), progress: progressOf('v2', 'completed') })
  await lose({ order: orderTo('v3'), progress: progressOf('v3', 'switching', 90) }, version)
  expect(record().order.to).toBe('v3')
  await vi.advanceTimersByTimeAsync(10_000)
  expect(record().order.to).toBe('v2')
})

test('an order of which the copy has nothing is kept for ten seconds', async () => {
  await start({ order: orderTo('v2'), progress: progressOf('v2', 'canary', 40) })
  store.returnToCopy()
  await vi.advanceTimersByTimeAsync(5000)
  expect(record()).toMatchObject({ progress: { granted: 40 } })
  await vi.advanceTimersByTimeAsync(10_000)
  expect(follower.records.size).toBe(0)
})
