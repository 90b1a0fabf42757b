import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, type EndpointId, type Fingerprint } from '../../core/ids/index.ts'
import { Quarantine, type CrashReport } from '../../core/quarantine/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { StandInStore } from '../../standins/index.ts'
import { QuarantineArchive } from './quarantine_archive.ts'

const CRASHING = as<Fingerprint>('00000000000000aa')
const KEY = `quarantine/${CRASHING}`

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

/** Creates a daemon's quarantine and its archive. */
function daemonAt (store: StandInStore) {
  const quarantine = new Quarantine()
  const role = { keeps: true }
  const mergeReports = (reports: readonly CrashReport[]) => { quarantine.merge(reports, steadyNow()) }
  const archive = new QuarantineArchive({ store, quarantine: { get held () { return [...quarantine.held.values()] }, mergeReports, onHeld: () => {} }, maintainsArchive: () => role.keeps })
  const crashThreeEndpoints = () => { for (const endpoint of ['e1', 'e2', 'e3']) quarantine.crashed({ endpoint: as<EndpointId>(endpoint), aboard: [CRASHING] }, steadyNow()) }
  return { quarantine, archive, role, crashThreeEndpoints }
}

test('a daemon restores another one\'s quarantine from the store, with the same end time', async () => {
  const store = new StandInStore()
  const first = daemonAt(store)
  first.crashThreeEndpoints()
  await first.archive.synchronize()
  await vi.advanceTimersByTimeAsync(60_000)
  const second = daemonAt(store)
  await second.archive.synchronize()
  expect(second.quarantine.held.get(CRASHING)!.untilMs).toBeCloseTo(first.quarantine.held.get(CRASHING)!.untilMs, -1)
  const { writes } = store.calls
  await second.archive.synchronize()
  expect(store.calls.writes).toBe(writes)
})

test('a request that is no longer held is removed from the store', async () => {
  const store = new StandInStore()
  const { quarantine, archive, crashThreeEndpoints } = daemonAt(store)
  crashThreeEndpoints()
  await archive.synchronize()
  quarantine.answered(CRASHING, steadyNow())
  await archive.synchronize()
  expect(await store.get(KEY)).toBeUndefined()
})

test('a daemon that does not maintain the archive makes no store call', async () => {
  const store = new StandInStore()
  const { archive, role, crashThreeEndpoints } = daemonAt(store)
  role.keeps = false
  crashThreeEndpoints()
  await archive.synchronize()
  expect(store.calls).toMatchObject({ reads: 0, writes: 0 })
})

test('failed writes are retried once the store is back, even if another daemon wrote the same objects', async () => {
  const store = new StandInStore()
  const [first, second] = [daemonAt(store), daemonAt(store)]
  await Promise.all([first.archive.synchronize(), second.archive.synchronize()])
  store.faults.down = true
  first.crashThreeEndpoints()
  second.crashThreeEndpoints()
  await first.archive.synchronize()
  store.faults.down = false
  first.archive.start()
  second.archive.start()
  await vi.advanceTimersByTimeAsync(10_000)
  expect(await store.get(KEY)).toBeDefined()
  second.quarantine.answered(CRASHING, steadyNow())
  first.quarantine.answered(CRASHING, steadyNow())
  await vi.advanceTimersByTimeAsync(10_000)
  expect(await store.get(KEY)).toBeUndefined()
  first.archive.stop()
  second.archive.stop()
})

test('objects written by other programs quarantine nothing and are left unchanged', async () => {
  const store = new StandInStore()
  for (const [i, value] of ['no JSON', 'null', '7', '{"crashes":[null,{"endpoint":5}]}'].entries()) await store.create(`quarantine/${i}`, value)
  const { quarantine, archive } = daemonAt(store)
  await archive.synchronize()
  expect([quarantine.held.size, (await store.list('quarantine/')).length]).toEqual([0, 4])
})

test('a request that is still held is written again after the store has returned to a copy without it', async () => {
  // Guards against a quarantine that is lost with the last daemon which remembers it.
  const store = new StandInStore()
  const { archive, crashThreeEndpoints } = daemonAt(store)
  store.takeCopy()
  crashThreeEndpoints()
  await archive.synchronize()
  store.returnToCopy()
  await store.create('unrelated', '{}')
  await archive.synchronize()
  await archive.synchronize()
  expect(await store.get(KEY)).toBeDefined()
})

test('a request that was released is not quarantined again by the copy to which the store returns', async () => {
  const store = new StandInStore()
  const { quarantine, archive, crashThreeEndpoints } = daemonAt(store)
  crashThreeEndpoints()
  await archive.synchronize()
  store.takeCopy()
  quarantine.answered(CRASHING, steadyNow())
  await archive.synchronize()
  store.returnToCopy()
  await store.create('unrelated', '{}')
  await archive.synchronize()
  await archive.synchronize()
  expect([quarantine.held.size, await store.get(KEY)]).toEqual([0, undefined])
})
