import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { storeVersion } from '../core/store_version/index.ts'
import { EraTracker, StoreFollower, type ObjectSource, type StoredObject } from './index.ts'

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

const object = (name: string, revision: number): StoredObject => ({ key: `servers/${name}`, version: storeVersion(0, revision), value: '{}' })

/** A source whose watches wait, and that counts its calls. */
function sourceOf (objects: StoredObject[]): ObjectSource & { calls: number } {
  return {
    calls: 0,
    era: new EraTracker(),
    async snapshot () {
      this.calls++
      return { objects, version: storeVersion(0, 9) }
    },
    changes () { return new Promise(() => {}) }
  }
}

test('an error of the consumer ends neither the follower nor counts as followed, and the answer is applied again after a pause', async () => {
  const source = sourceOf([object('a', 1)])
  const errors: unknown[] = []
  let isBroken = true
  const applied: string[][] = []
  const follower = new StoreFollower({
    store: source,
    prefix: 'servers/',
    random: () => 0.5,
    onError: (err) => errors.push((err as Error).message),
    onChange: (objects) => {
      if (isBroken) throw new RangeError('broken')
      applied.push([...objects.keys()])
    }
  })
  follower.start()
  await vi.advanceTimersByTimeAsync(10_000)
  // Pauses grow to a second, so that a lasting error costs little.
  expect([source.calls, errors.length]).toEqual([expect.closeTo(15, -1), source.calls])
  expect(source.calls).toBeLessThan(20)
  expect([follower.reachable, follower.completeSinceMs]).toEqual([false, undefined])
  isBroken = false
  await vi.advanceTimersByTimeAsync(2000)
  expect([applied, follower.reachable, follower.completeSinceMs !== undefined]).toEqual([[['servers/a']], true, true])
  follower.stop()
})

test('a source that fails with an unexpected error is asked again after a pause', async () => {
  const source = { ...sourceOf([object('a', 1)]) }
  const listing = source.snapshot
  let failures = 3
  source.snapshot = async (prefix) => {
    if (failures-- > 0) throw new TypeError('not iterable')
    return await listing.call(source, prefix)
  }
  const onError = vi.fn()
  const onChange = vi.fn()
  const follower = new StoreFollower({ store: source, prefix: 'servers/', random: () => 0.5, onError, onChange })
  follower.start()
  await vi.advanceTimersByTimeAsync(3000)
  expect([onError.mock.calls.length, onChange.mock.calls.length]).toEqual([3, 1])
  follower.stop()
})
