import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, type DaemonId } from '../../core/ids/index.ts'
import { StandInNetwork, StandInStore } from '../../standins/index.ts'
import { createMetrics } from '../metrics.ts'
import { MembershipTask } from './membership_task.ts'

const KEY = 'members/edge-0'
let store: StandInStore
let task: MembershipTask

beforeEach(() => { vi.useFakeTimers() })
afterEach(async () => {
  await task.stop()
  vi.useRealTimers()
})

async function start (): Promise<void> {
  const self = as<DaemonId>('edge-0-1')
  task = new MembershipTask({ self, listen: { host: '', port: 0 }, failureDomain: as('a'), seeds: [], store, links: new StandInNetwork().join(self), hash: () => 0, metrics: createMetrics(), random: () => 0.5, registrationName: 'edge-0' })
  await task.start()
  await vi.advanceTimersByTimeAsync(1000)
}

test('a daemon registers again if the store has lost its registration by returning to a copy', async () => {
  // Guards against daemons that no other can find until their next periodic registration, minutes later.
  store = new StandInStore()
  store.takeCopy()
  await start()
  expect(store.keys()).toEqual([KEY])
  store.returnToCopy()
  await store.list('members/')
  await vi.advanceTimersByTimeAsync(3000)
  expect(store.keys()).toEqual([KEY])
})

test('a registration that the copy has is not written again', async () => {
  store = new StandInStore()
  await start()
  store.takeCopy()
  store.returnToCopy()
  await store.list('members/')
  const { writes } = store.calls
  await vi.advanceTimersByTimeAsync(3000)
  expect(store.calls.writes).toBe(writes)
  const left = task.leave(undefined)
  await vi.advanceTimersByTimeAsync(1000)
  await left
  expect(store.keys()).toEqual([])
})

test('a daemon counts as introduced once it has the member tables of two others, or of the only other one', async () => {
  // Guards against a daemon that takes a configuration for the newest because another that has just started knows no newer one.
  const network = new StandInNetwork()
  const tasks: MembershipTask[] = []
  const join = async (name: string, seeds: readonly string[]) => {
    const self = as<DaemonId>(name)
    task = new MembershipTask({ self, listen: { host: '', port: 0 }, failureDomain: as('a'), seeds, store: new StandInStore(), links: network.join(self), hash: () => 0, metrics: createMetrics(), random: () => 0.5 })
    tasks.push(task)
    await task.start()
    await vi.advanceTimersByTimeAsync(100)
    return task
  }
  const first = await join('first', ['node:second', 'node:third'])
  const alone = await join('alone', [])
  expect([first.introduced, alone.introduced]).toEqual([false, true])
  const second = await join('second', ['node:first'])
  expect([first.introduced, second.introduced]).toEqual([false, true])
  const third = await join('third', ['node:first', 'node:second'])
  expect([first.introduced, third.introduced]).toEqual([true, true])
  for (const each of tasks) await each.stop()
})

test('a daemon that starts beside many ended ones finds those that run before it stops waiting for them', async () => {
  // Guards against a daemon that serves an older configuration, because all addresses that it tried first were those of ended daemons.
  const network = new StandInNetwork()
  const shared = new StandInStore()
  const tasks: MembershipTask[] = []
  const join = async (name: string, random: () => number) => {
    const self = as<DaemonId>(name)
    const joined = new MembershipTask({ self, listen: { host: '', port: 0 }, failureDomain: as('a'), seeds: [], store: shared, links: network.join(self), hash: () => 0, metrics: createMetrics(), random })
    tasks.push(joined)
    await joined.start()
    await vi.advanceTimersByTimeAsync(100)
    return joined
  }
  for (let i = 0; i < 8; i++) await shared.create(`members/ended-${i}`, JSON.stringify({ id: `ended-${i}`, address: `node:ended-${i}`, atMs: Date.now() }))
  for (const name of ['running-1', 'running-2']) await join(name, () => 0)
  // The addresses are tried in the order in which the store lists them.
  task = await join('starting', () => 0.999)
  await vi.advanceTimersByTimeAsync(300)
  expect(task.introduced).toBe(true)
  for (const each of tasks) await each.stop()
})
