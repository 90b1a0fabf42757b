import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, type DaemonId, type FailureDomain, type Region } from '../../core/ids/index.ts'
import type { Member } from '../../core/membership/index.ts'
import { delay } from '../../core/time/index.ts'
import { RegionTopology } from '../../core/topology/index.ts'
import { createMetrics } from '../metrics.ts'
import { seededRandom } from '../seeded_random.ts'
import { RegionLinkTask } from './region_link_task.ts'

const PROMPT = { bytes: 12_000, urgent: false, repeatable: false }
const CALL = { bytes: 600, urgent: false, repeatable: false }
const NEAR = as<FailureDomain>('n')
const FAR = as<FailureDomain>('s')
const REGIONS = new Map([[NEAR, as<Region>('north')], [FAR, as<Region>('south')]])

let calls = 0
let roundTripMs: number | undefined
let task: RegionLinkTask

function start (regions = REGIONS): RegionTopology {
  const topology = new RegionTopology({ ownDomain: NEAR, regions })
  const reachable = [{ id: as<DaemonId>('d1'), address: '', failureDomain: FAR }] as unknown as Member[]
  const links = {
    handle: () => {},
    isLinked: () => true,
    call: async () => {
      calls++
      if (roundTripMs === undefined) {
        await delay(1000)
        throw new Error('Cannot call d1: no reply')
      }
      await delay(roundTripMs)
    }
  }
  task = new RegionLinkTask({ topology, membership: { links, reachable }, metrics: createMetrics(), random: seededRandom(1) })
  task.start()
  return topology
}

/** Sends prompts for some time as long as they may cross; returns how many did. */
async function sendFor (ms: number): Promise<number> {
  let crossed = 0
  for (let spentMs = 0; spentMs < ms; spentMs += 10) {
    if (task.mayCross(PROMPT)) {
      task.crossed(PROMPT.bytes)
      crossed++
    }
    await vi.advanceTimersByTimeAsync(10)
  }
  return crossed
}

beforeEach(() => {
  vi.useFakeTimers()
  calls = 0
  roundTripMs = 41
})
afterEach(() => {
  task.stop()
  vi.useRealTimers()
})

test('samples rarely while nothing crosses, and often while something does', async () => {
  const topology = start()
  await vi.advanceTimersByTimeAsync(30_000)
  expect(calls).toBeLessThan(13)
  expect(topology.roundTripMs(FAR)).toBe(41)
  const idle = calls
  await sendFor(3000)
  expect(calls - idle).toBeGreaterThan(10)
})

test('a deployment with one region sends nothing', async () => {
  start(new Map())
  await vi.advanceTimersByTimeAsync(60_000)
  expect(calls).toBe(0)
})

test('prompts are held back while the link has a queue, and calls still cross', async () => {
  start()
  const free = await sendFor(5000)
  roundTripMs = 400
  await sendFor(3000)
  expect(await sendFor(5000)).toBeLessThan(free / 4)
  expect(task.mayCross(CALL)).toBe(true)
})

test('a cut is noticed, and the link is used again once it is whole', async () => {
  start()
  const before = await sendFor(5000)
  roundTripMs = undefined
  await sendFor(10_000)
  expect(await sendFor(2000)).toBeLessThan(5)
  roundTripMs = 41
  await sendFor(3000)
  expect(await sendFor(5000)).toBeGreaterThan(before / 4)
})
