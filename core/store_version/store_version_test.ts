import { expect, test } from 'vitest'
import { eraOf, formatVersion, fromOrdinal, isLater, later, NO_VERSION, ordinalOf, revisionOf, storeVersion } from './index.ts'

const OLD = storeVersion(1, 400)
const NEW = storeVersion(2, 7)

test('every state of a later era is later, whatever its revision', () => {
  expect([isLater(NEW, OLD), isLater(OLD, NEW), isLater(OLD, OLD)]).toEqual([true, false, false])
  expect([later(OLD, NEW), later(NEW, OLD)]).toEqual([NEW, NEW])
  expect([isLater(storeVersion(1, 401), OLD), isLater(OLD, NO_VERSION)]).toEqual([true, true])
})

test('a version keeps its era and revision, also as an ordinal', () => {
  const largest = storeVersion(2 ** 13 - 1, 2 ** 40 - 1)
  for (const version of [OLD, NEW, NO_VERSION, largest]) {
    expect(storeVersion(eraOf(version), revisionOf(version))).toBe(version)
    expect(fromOrdinal(ordinalOf(version))).toBe(version)
  }
  expect(formatVersion(NEW)).toBe('2.7')
})

test('an era or a revision that cannot be ordered is refused', () => {
  for (const [era, revision] of [[-1, 0], [0, -1], [1.5, 0], [0, NaN], [2 ** 13, 0], [0, 2 ** 40]] as const) expect(() => storeVersion(era, revision)).toThrow(RangeError)
})

test('bare comparisons of versions do not compile', () => {
  // Guards against code that takes revisions for an order that survives a return of the store.
  const comparisons = [
    // @ts-expect-error: an operator cannot compare versions
    () => OLD < NEW,
    // @ts-expect-error: a version is not a number
    () => Math.max(OLD, NEW),
    // @ts-expect-error: a version is not a number
    () => OLD + 1,
    // @ts-expect-error: a number is not a version
    () => isLater(OLD, 7)
  ]
  expect(comparisons).toHaveLength(4)
})
