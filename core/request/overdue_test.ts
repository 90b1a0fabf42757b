import { expect, test } from 'vitest'
import { overdueAtMs, type AttemptPulse } from './index.ts'

const pulse = (change: Partial<AttemptPulse> = {}): AttemptPulse => ({ sentAtMs: 0, predictedMs: 150, pieceAtMs: undefined, longestPauseMs: undefined, ...change })

test('a stream is suspect a few of its longest pauses after its last piece, however long ago it began', () => {
  // A caller waits for two seconds and leaves: its stream came each 94 ms, then its endpoint was cut off, and nobody asked another.
  expect(overdueAtMs(pulse({ pieceAtMs: 9000, longestPauseMs: 94 }), { usualPauseMs: 90 })).toBe(9000 + 564)
  expect(overdueAtMs(pulse({ pieceAtMs: 9000, longestPauseMs: 94 }), { usualPauseMs: 200 })).toBe(9000 + 1200)
  expect(overdueAtMs(pulse({ pieceAtMs: 9000, longestPauseMs: 10 }), { usualPauseMs: 10 })).toBe(9000 + 500)
})

test('before its first piece an attempt is measured by what was predicted', () => {
  expect(overdueAtMs(pulse(), { usualPauseMs: undefined })).toBe(950)
  expect(overdueAtMs(pulse({ predictedMs: 1400 }), { usualPauseMs: 130 })).toBe(4700)
  expect(overdueAtMs(pulse({ predictedMs: undefined }), { usualPauseMs: undefined })).toBe(500)
})
