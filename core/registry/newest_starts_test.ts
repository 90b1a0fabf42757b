import { expect, test } from 'vitest'
import { NewestStarts } from './newest_starts.ts'

test('a list may show the same start, a later one or an earlier one', () => {
  const starts = new NewestStarts()
  expect([starts.record('e', 100, 0), starts.record('e', 100, 1), starts.record('e', 200, 2), starts.record('e', 100, 3), starts.record('other', 50, 3)]).toEqual(['first', 'same', 'later', 'earlier', 'first'])
})

test('a start that is no longer listed expires', () => {
  const starts = new NewestStarts()
  starts.record('e', 200, 0)
  starts.prune(600_000)
  expect(starts.record('e', 100, 600_000)).toBe('earlier')
  starts.prune(600_001)
  expect(starts.record('e', 100, 600_001)).toBe('first')
})
