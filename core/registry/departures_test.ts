import { expect, test } from 'vitest'
import { as, type HostId } from '../ids/index.ts'
import { Departures } from './index.ts'

const HOST = as<HostId>('h')
const isOld = (departures: Departures, version: number | undefined, now: number) => departures.isOld(HOST, { version, now })

test('word of a departure is old by the version of the registry that it is of, however soon or late it comes', () => {
  const departures = new Departures()
  departures.note(HOST, { goneAtMs: 100, version: 7 })
  departures.shown(HOST, { version: 9, now: 1000 })
  expect(departures.of(HOST)).toBeUndefined()
  expect([isOld(departures, 7, 1001), isOld(departures, 7, 500_000)]).toEqual([true, true])
  expect([isOld(departures, 10, 1001), isOld(departures, 10, 500_000)]).toEqual([false, false])
})

test('word without a version is passed over while that of the time before the return may still go round', () => {
  const departures = new Departures()
  departures.note(HOST, { goneAtMs: 100, version: 7 })
  departures.shown(HOST, { version: 9, now: 1000 })
  expect([isOld(departures, undefined, 5999), isOld(departures, undefined, 6000)]).toEqual([true, false])
})

test('a list that lags shows an entry of before the departure, and brings nothing back', () => {
  const departures = new Departures()
  departures.shown(HOST, { version: 5, now: 0 })
  departures.note(HOST, { goneAtMs: 100, version: 7 })
  departures.note(HOST, { goneAtMs: 200, version: undefined })
  departures.note(HOST, { goneAtMs: 200, version: 6 })
  departures.shown(HOST, { version: 6, now: 1000 })
  expect(departures.of(HOST)).toEqual({ goneAtMs: 200, version: 7 })
  expect(isOld(departures, 6, 1000)).toBe(false)
})

test('hosts that nobody lists are forgotten after a while, those that are listed are not', () => {
  const departures = new Departures()
  const listed = as<HostId>('listed')
  for (const host of [HOST, listed]) departures.note(host, { goneAtMs: 100, version: 7 })
  departures.forget(600_101, (host) => host === listed)
  expect([departures.of(HOST), departures.of(listed)]).toEqual([undefined, { goneAtMs: 100, version: 7 }])
})
