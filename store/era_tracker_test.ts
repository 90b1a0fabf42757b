import { expect, test } from 'vitest'
import { storeVersion } from '../core/store_version/index.ts'
import { EraTracker, StoreError, type EraRise } from './index.ts'

function failureOf (check: () => void): string | undefined {
  try {
    check()
    return undefined
  } catch (err) {
    return (err as StoreError).failure
  }
}

test('listeners are told of each rise once, and not of the first era', () => {
  const tracker = new EraTracker()
  const rises: EraRise[] = []
  tracker.onRise((rise) => rises.push(rise))
  for (const [era, from] of [[1, 'store'], [1, 'store'], [3, 'edge-2'], [2, 'store'], [3, 'store']] as const) tracker.learn(era, from)
  expect(rises).toEqual([{ era: 3, before: 1, from: 'edge-2' }])
  expect(tracker.current).toBe(3)
})

test('a value that is no era is ignored', () => {
  // Guards against a daemon that refuses all answers after a malformed one.
  const tracker = new EraTracker()
  tracker.learn(1, 'store')
  for (const era of [NaN, Infinity, 1.5, -1, 1e9]) tracker.learn(era, 'store')
  expect(tracker.current).toBe(1)
})

test('a store that begins to send eras has returned from one without', () => {
  const tracker = new EraTracker()
  const rises: EraRise[] = []
  tracker.onRise((rise) => rises.push(rise))
  tracker.checkAnswer(0, 'GET config')
  tracker.checkAnswer(1, 'GET config')
  expect(rises).toEqual([{ era: 1, before: 0, from: 'store' }])
})

test('late answers, and versions of another era, are refused', () => {
  const tracker = new EraTracker()
  tracker.learn(2, 'store')
  const old = storeVersion(1, 9)
  expect(failureOf(() => tracker.checkAnswer(1, 'GET config'))).toBe('history-gone')
  expect(failureOf(() => tracker.checkContinues(old, 'GET config'))).toBe('history-gone')
  expect(failureOf(() => tracker.checkCondition(old, 'PUT config'))).toBe('conflict')
  for (const [era, replaces] of [[2, old], [1, old], [1, undefined]] as const) expect(failureOf(() => tracker.checkWritten(era, { replaces, call: 'PUT config' }))).toBe('unsure')
  const current = storeVersion(2, 3)
  for (const check of [() => tracker.checkAnswer(2, ''), () => tracker.checkContinues(current, ''), () => tracker.checkCondition(current, ''), () => tracker.checkWritten(2, { replaces: current, call: '' }), () => tracker.checkWritten(2, { replaces: undefined, call: '' })]) expect(failureOf(check)).toBeUndefined()
})
