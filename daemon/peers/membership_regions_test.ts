import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import xxhash from 'xxhash-wasm'
import { as, type DaemonId, type FailureDomain, type Region } from '../../core/ids/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { RegionTopology } from '../../core/topology/index.ts'
import { StandInNetwork, StandInStore } from '../../standins/index.ts'
import { createMetrics } from '../metrics.ts'
import { seededRandom } from '../seeded_random.ts'
import { MembershipTask } from './membership_task.ts'

const REGIONS = new Map([['a', 'north'], ['b', 'north'], ['c', 'south'], ['d', 'south']].map(([domain, region]) => [as<FailureDomain>(domain!), as<Region>(region!)]))
const FAR_LATENCY_MS = 20

const { h32: hash } = await xxhash()
const isSouth = (id: DaemonId) => 'cd'.includes(id[0]!)
let tasks: MembershipTask[]
let network: StandInNetwork

beforeEach(() => { vi.useFakeTimers() })
afterEach(async () => {
  for (const task of tasks) await task.stop()
  vi.useRealTimers()
})

async function start (daemons: number): Promise<void> {
  network = new StandInNetwork({ latencyMs: (from, to) => (isSouth(from) === isSouth(to) ? 1 : FAR_LATENCY_MS) })
  const store = new StandInStore()
  const random = seededRandom(5)
  tasks = []
  for (let i = 0; i < daemons; i++) {
    const domain = 'abcd'[i % 4]!
    const self = as<DaemonId>(`${domain}-${i}`)
    const topology = new RegionTopology({ ownDomain: as<FailureDomain>(domain), regions: REGIONS })
    const task = new MembershipTask({ self, listen: { host: '', port: 0 }, failureDomain: as(domain), topology, seeds: tasks.slice(0, 3).map(({ core }) => core.self.address), store, links: network.join(self), hash, metrics: createMetrics(), random })
    await task.start()
    tasks.push(task)
    await vi.advanceTimersByTimeAsync(20)
  }
  await vi.advanceTimersByTimeAsync(10_000)
}

/** Milliseconds until all daemons meet a condition; Infinity after a minute. */
async function timeUntil (holds: (task: MembershipTask) => boolean, stepMs = 10): Promise<number> {
  const startMs = steadyNow()
  while (!tasks.every(holds)) {
    if (steadyNow() - startMs > 60_000) return Infinity
    await vi.advanceTimersByTimeAsync(stepMs)
  }
  return steadyNow() - startMs
}

test.each([9, 67])('a fact reaches all daemons of two regions soon (%i daemons)', async (daemons) => {
  await start(daemons)
  expect(tasks.every(({ acceptingWork }) => acceptingWork.length === daemons)).toBe(true)
  tasks[3]!.publishFact({ key: 'leaving/host', version: 1, value: 1 })
  const ms = await timeUntil(({ core }) => core.fact('leaving/host') !== undefined)
  expect(ms).toBeLessThanOrEqual(500)
})

test.each([9, 40])('regions that were cut off from each other know all members again after the link is back (%i daemons)', async (daemons) => {
  await start(daemons)
  const ids = tasks.map(({ core }) => core.self.id)
  for (const a of ids) for (const b of ids) if (!isSouth(a) && isSouth(b)) network.part(a, b, true)
  const noticedMs = await timeUntil(({ core, acceptingWork }) => acceptingWork.every(({ id }) => isSouth(id) === isSouth(core.self.id)), 100)
  // Long enough for each side to declare the other gone.
  await vi.advanceTimersByTimeAsync(20_000)
  network.healPartitions()
  const healedMs = await timeUntil(({ acceptingWork }) => acceptingWork.length === daemons, 100)
  expect(noticedMs).toBeLessThanOrEqual(10_000)
  expect(healedMs).toBeLessThanOrEqual(30_000)
})
