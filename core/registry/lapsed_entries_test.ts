import { expect, test } from 'vitest'
import { storeVersion } from '../store_version/index.ts'
import { LapsedEntries, type EntryState } from './index.ts'

const v = (revision: number) => storeVersion(0, revision)

const NAMES = ['a', 'b', 'c', 'd', 'e', 'f']
const OPTIONS = { renewEveryMs: 1200, leavingMs: 2000 }
/** 90% of the time in which a leaving endpoint may get new work. */
const HOLD_MS = 1800

const entries = (names: readonly string[], revision: number, leaving = false): Map<string, EntryState> => new Map(names.map((name) => [name, { version: v(revision), leaving }]))

/** Creates an instance that has processed one snapshot with the entries of all endpoints. */
function createWithAllEntries (): LapsedEntries {
  const lapsed = new LapsedEntries(OPTIONS)
  lapsed.update({ entries: entries(NAMES, 1), version: v(1), afterFailure: false, now: 0 })
  return lapsed
}

test('entries that return do not restart the hold', () => {
  const lapsed = createWithAllEntries()
  expect(lapsed.update({ entries: new Map(), version: v(10), afterFailure: false, now: 9000 }).held).toEqual(NAMES)
  lapsed.update({ entries: entries(['a'], 11), version: v(11), afterFailure: false, now: 10_600 })
  expect(lapsed.untilMs).toBe(9000 + HOLD_MS)
  expect(lapsed.removeOverdue(9000 + HOLD_MS)).toEqual(['b', 'c', 'd', 'e', 'f'])
  expect(lapsed.update({ entries: new Map(), version: v(12), afterFailure: false, now: 11_000 })).toMatchObject({ held: [], gone: ['a'] })
})

test('an entry written after the outage that goes missing is an endpoint that left, also while others are held', () => {
  const lapsed = createWithAllEntries()
  lapsed.update({ entries: new Map(), version: v(10), afterFailure: false, now: 9000 })
  lapsed.update({ entries: entries(['a', 'b'], 12), version: v(12), afterFailure: false, now: 9500 })
  expect(lapsed.update({ entries: entries(['b'], 12), version: v(13), afterFailure: false, now: 9600 })).toMatchObject({ held: [], gone: ['a'] })
  expect(lapsed.held).toEqual(['c', 'd', 'e', 'f'])
})

test('an entry that survived an outage and was not written since may lapse right after it', () => {
  const lapsed = createWithAllEntries()
  expect(lapsed.update({ entries: entries(['a', 'b'], 1), version: v(10), afterFailure: true, now: 9000 }).held).toEqual(['c', 'd', 'e', 'f'])
  expect(lapsed.update({ entries: entries(['a'], 1), version: v(11), afterFailure: false, now: 9400 }).held).toEqual(['b'])
  expect(lapsed.update({ entries: new Map(), version: v(12), afterFailure: false, now: 9000 + HOLD_MS })).toMatchObject({ held: [], gone: ['c', 'd', 'e', 'f', 'b', 'a'] })
})

test('a call that fails for less than the lifetime of entries does not indicate an outage', () => {
  const lapsed = createWithAllEntries()
  expect(lapsed.update({ entries: entries(NAMES.slice(1), 1), version: v(2), afterFailure: true, now: 2300 })).toMatchObject({ held: [], gone: ['a'] })
})

test('entries held when the registry becomes unavailable again get the full time after its return', () => {
  const lapsed = createWithAllEntries()
  lapsed.update({ entries: new Map(), version: v(10), afterFailure: true, now: 9000 })
  expect(lapsed.update({ entries: new Map(), version: v(10), afterFailure: true, now: 15_000 }).gone).toEqual([])
  expect(lapsed.untilMs).toBe(15_000 + HOLD_MS)
})

test('entries of endpoints that announced their departure are not held', () => {
  const lapsed = createWithAllEntries()
  lapsed.update({ entries: new Map([...entries(NAMES, 1), ...entries(['a'], 2, true)]), version: v(2), afterFailure: false, now: 100 })
  expect(lapsed.update({ entries: new Map(), version: v(10), afterFailure: true, now: 9000 })).toMatchObject({ held: NAMES.slice(1), gone: ['a'] })
})

test('a longer time for leaving does not extend the hold beyond its maximum', () => {
  const lapsed = new LapsedEntries({ ...OPTIONS, leavingMs: 5000 })
  lapsed.update({ entries: entries(NAMES, 1), version: v(1), afterFailure: false, now: 0 })
  lapsed.update({ entries: new Map(), version: v(10), afterFailure: false, now: 9000 })
  expect(lapsed.untilMs).toBe(11_500)
})

test('entries are not held if most others are unchanged, because only the connection was lost', () => {
  const lapsed = createWithAllEntries()
  expect(lapsed.update({ entries: entries(NAMES.slice(2), 1), version: v(2), afterFailure: true, now: 9000 })).toMatchObject({ held: [], gone: ['a', 'b'] })
})

test('entries that the registry lost by returning to a copy are held, and those of leaving endpoints are not', () => {
  // Guards against callers turned away from endpoints that joined after the copy was taken.
  const lapsed = createWithAllEntries()
  const at = (era: number, revision: number) => storeVersion(era, revision)
  lapsed.update({ entries: new Map([...entries(NAMES, 1), ['g', { version: v(5), leaving: false }], ['h', { version: v(6), leaving: true }]]), version: v(6), afterFailure: false, now: 1000 })
  const copied = new Map(NAMES.map((name) => [name, { version: at(1, 1), leaving: false }]))
  expect(lapsed.update({ entries: copied, version: at(1, 4), afterFailure: false, now: 2000 })).toMatchObject({ held: ['g'], gone: ['h'] })
  expect(lapsed.untilMs).toBe(2000 + HOLD_MS)
  const written = new Map([...copied, ['g', { version: at(1, 5), leaving: false }]])
  expect(lapsed.update({ entries: written, version: at(1, 5), afterFailure: false, now: 3000 })).toMatchObject({ restored: ['g'] })
  expect(lapsed.update({ entries: copied, version: at(1, 6), afterFailure: false, now: 3100 })).toMatchObject({ held: [], gone: ['g'] })
})
