// Guards against an unexpected error that ends a loop, which nobody starts again, or the process.
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { storeVersion } from '../../core/store_version/index.ts'
import { as } from '../../core/ids/index.ts'
import { expectedErrors } from '../../scripts/fail_on_task_errors.ts'
import { EraTracker, type ObjectStore } from '../../store/index.ts'
import { LeaseTask } from '../fleet/lease_task.ts'
import { QuarantineArchive } from '../quarantine/quarantine_archive.ts'

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

/** A store without objects whose calls fail with an unexpected error at first. */
function faultyStore (failures: number): ObjectStore & { calls: number } {
  const call = <T>(answer: () => T) => async () => {
    store.calls++
    if (failures-- > 0) throw new TypeError('unexpected')
    return answer()
  }
  let revision = 0
  const written = call(() => storeVersion(0, ++revision))
  const store = { calls: 0, era: new EraTracker(), get: call(() => undefined), list: call(() => []), create: written, update: written, remove: call(() => {}), snapshot: call(() => ({ objects: [], version: storeVersion(0, 1) })), changes: () => new Promise<never>(() => {}) }
  return store
}

test('a lease is acquired after unexpected errors, with a pause after each', async () => {
  expectedErrors.set('lease', [])
  const store = faultyStore(3)
  const lease = new LeaseTask({ self: as('a'), store, name: 'duties', retryMs: 500 })
  lease.start()
  await vi.advanceTimersByTimeAsync(1400)
  expect([expectedErrors.get('lease')!.length, store.calls, lease.fencing]).toEqual([3, 3, undefined])
  await vi.advanceTimersByTimeAsync(2000)
  expect(lease.fencing).toBe(1)
  lease.stop()
})

test('the stored quarantine is read again after unexpected errors, and requests wait for no longer', async () => {
  expectedErrors.set('quarantine-archive', [])
  const store = faultyStore(2)
  const archive = new QuarantineArchive({ store, quarantine: { held: [], mergeReports () {}, onHeld () {} }, maintainsArchive: () => true })
  archive.restore()
  await archive.restored
  archive.start()
  await vi.advanceTimersByTimeAsync(10_000)
  expect([expectedErrors.get('quarantine-archive')!.length, store.calls]).toEqual([2, 3])
  archive.stop()
})
