import { expect, test } from 'vitest'
import { as, type HostId } from '../ids/index.ts'
import { Departures } from './index.ts'

const HOST = as<HostId>('h')
const isOutdated = (departures: Departures, version: number | undefined, now: number) => departures.isOutdated(HOST, { version, now })

test('a report of a departure is outdated by its registry version, regardless of when it arrives', () => {
  const departures = new Departures()
  departures.record(HOST, { goneAtMs: 100, version: 7 })
  departures.recordLive(HOST, { version: 9, now: 1000 })
  expect(departures.of(HOST)).toBeUndefined()
  expect([isOutdated(departures, 7, 1001), isOutdated(departures, 7, 500_000)]).toEqual([true, true])
  expect([isOutdated(departures, 10, 1001), isOutdated(departures, 10, 500_000)]).toEqual([false, false])
})

test('a report without a version is ignored while gossip from before the return may still arrive', () => {
  const departures = new Departures()
  departures.record(HOST, { goneAtMs: 100, version: 7 })
  departures.recordLive(HOST, { version: 9, now: 1000 })
  expect([isOutdated(departures, undefined, 5999), isOutdated(departures, undefined, 6000)]).toEqual([true, false])
})

test('a stale list with an entry from before the departure does not mark the host as returned', () => {
  const departures = new Departures()
  departures.recordLive(HOST, { version: 5, now: 0 })
  departures.record(HOST, { goneAtMs: 100, version: 7 })
  departures.record(HOST, { goneAtMs: 200, version: undefined })
  departures.record(HOST, { goneAtMs: 200, version: 6 })
  departures.recordLive(HOST, { version: 6, now: 1000 })
  expect(departures.of(HOST)).toEqual({ goneAtMs: 200, version: 7 })
  expect(isOutdated(departures, 6, 1000)).toBe(false)
})

test('departures of unlisted hosts expire, those of listed hosts do not', () => {
  const departures = new Departures()
  const listed = as<HostId>('listed')
  for (const host of [HOST, listed]) departures.record(host, { goneAtMs: 100, version: 7 })
  departures.prune(600_101, (host) => host === listed)
  expect([departures.of(HOST), departures.of(listed)]).toEqual([undefined, { goneAtMs: 100, version: 7 }])
})
