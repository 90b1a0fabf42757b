import { expect, test } from 'vitest'
import { as, type HostId } from '../ids/index.ts'
import { storeVersion, type StoreVersion } from '../store_version/index.ts'
import { Departures } from './index.ts'

const v = (revision: number) => storeVersion(0, revision)

const HOST = as<HostId>('h')
const isOutdated = (departures: Departures, version: StoreVersion | undefined, now: number) => departures.isOutdated(HOST, { version, now })

test('a report of a departure is outdated by its registry version, regardless of when it arrives', () => {
  const departures = new Departures()
  departures.record(HOST, { goneAtMs: 100, version: v(7) })
  departures.recordLive(HOST, { version: v(9), now: 1000 })
  expect(departures.of(HOST)).toBeUndefined()
  expect([isOutdated(departures, v(7), 1001), isOutdated(departures, v(7), 500_000)]).toEqual([true, true])
  expect([isOutdated(departures, v(10), 1001), isOutdated(departures, v(10), 500_000)]).toEqual([false, false])
})

test('a report without a version is ignored while gossip from before the return may still arrive', () => {
  const departures = new Departures()
  departures.record(HOST, { goneAtMs: 100, version: v(7) })
  departures.recordLive(HOST, { version: v(9), now: 1000 })
  expect([isOutdated(departures, undefined, 5999), isOutdated(departures, undefined, 6000)]).toEqual([true, false])
})

test('a stale list with an entry from before the departure does not mark the host as returned', () => {
  const departures = new Departures()
  departures.recordLive(HOST, { version: v(5), now: 0 })
  departures.record(HOST, { goneAtMs: 100, version: v(7) })
  departures.record(HOST, { goneAtMs: 200, version: undefined })
  departures.record(HOST, { goneAtMs: 200, version: v(6) })
  departures.recordLive(HOST, { version: v(6), now: 1000 })
  expect(departures.of(HOST)).toEqual({ goneAtMs: 200, version: v(7) })
  expect(isOutdated(departures, v(6), 1000)).toBe(false)
})

test('a departure of an older era holds although the store shows the host as live after its return to a copy', () => {
  // Guards against new work for an endpoint that left after the copy was taken.
  const departures = new Departures()
  departures.recordLive(HOST, { version: storeVersion(1, 5), now: 0 })
  departures.record(HOST, { goneAtMs: 100, version: storeVersion(1, 7) })
  departures.recordLive(HOST, { version: storeVersion(2, 5), now: 1000 })
  expect(departures.of(HOST)).toEqual({ goneAtMs: 100, version: storeVersion(1, 7) })
  expect(isOutdated(departures, storeVersion(1, 7), 1000)).toBe(false)
  expect(isOutdated(departures, storeVersion(1, 4), 1000)).toBe(true)
})

test('departures of unlisted hosts expire, those of listed hosts do not', () => {
  const departures = new Departures()
  const listed = as<HostId>('listed')
  for (const host of [HOST, listed]) departures.record(host, { goneAtMs: 100, version: v(7) })
  departures.prune(600_101, (host) => host === listed)
  expect([departures.of(HOST), departures.of(listed)]).toEqual([undefined, { goneAtMs: 100, version: v(7) }])
})
