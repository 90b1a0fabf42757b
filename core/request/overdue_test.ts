import { expect, test } from 'vitest'
import { overdueAtMs, type AttemptProgress } from './index.ts'

const progress = (change: Partial<AttemptProgress> = {}): AttemptProgress => ({ sentAtMs: 0, predictedMs: 150, lastPieceAtMs: undefined, longestPauseMs: undefined, ...change })

test('a stream is overdue a few of its longest pauses after its last piece, regardless of its age', () => {
  // Guards against a stream that is not moved when its endpoint is cut off: with pieces every 94 ms, its caller gave up after two seconds.
  expect(overdueAtMs(progress({ lastPieceAtMs: 9000, longestPauseMs: 94 }), { typicalIntervalMs: 90 })).toBe(9000 + 564)
  expect(overdueAtMs(progress({ lastPieceAtMs: 9000, longestPauseMs: 94 }), { typicalIntervalMs: 200 })).toBe(9000 + 1200)
  expect(overdueAtMs(progress({ lastPieceAtMs: 9000, longestPauseMs: 10 }), { typicalIntervalMs: 10 })).toBe(9000 + 500)
})

test('before its first piece an attempt is overdue relative to the prediction', () => {
  expect(overdueAtMs(progress(), { typicalIntervalMs: undefined })).toBe(950)
  expect(overdueAtMs(progress({ predictedMs: 1400 }), { typicalIntervalMs: 130 })).toBe(4700)
  expect(overdueAtMs(progress({ predictedMs: undefined }), { typicalIntervalMs: undefined })).toBe(500)
})
