import fc from 'fast-check'
import { expect, test } from 'vitest'
import { selectEvictions, SMALL_ENTRY_BYTES, type UnreadAnswer } from './index.ts'

const SEED = 62
const NOW_MS = 10_000
const UNREAD_MS = 1000
const BIG = 4 * SMALL_ENTRY_BYTES
const answer = (takenAtMs: number, repeatable: boolean, bytes = BIG): UnreadAnswer => ({ bytes, takenAtMs, repeatable })
const select = (candidates: UnreadAnswer[], excessBytes: number) => selectEvictions(candidates, { excessBytes, now: NOW_MS, unreadMs: UNREAD_MS })

test('answers that can be repeated end first, those unread for longest first', () => {
  const [lastUnsafe, firstUnsafe] = [answer(5000, false), answer(1000, false)]
  const [lastSafe, firstSafe] = [answer(6000, true), answer(2000, true)]
  expect(select([lastUnsafe, firstUnsafe, lastSafe, firstSafe], Infinity)).toEqual([firstSafe, lastSafe, firstUnsafe, lastUnsafe])
})

test('nothing ends that is small or being read, however much is held', () => {
  expect(select([answer(0, true, SMALL_ENTRY_BYTES - 1), answer(NOW_MS - UNREAD_MS + 1, true)], Infinity)).toEqual([])
})

test('no more end than the excess asks for', () => {
  const candidates = fc.array(fc.record({ bytes: fc.nat(10 * SMALL_ENTRY_BYTES), takenAtMs: fc.nat(NOW_MS), repeatable: fc.boolean() }), { maxLength: 30 })
  fc.assert(fc.property(candidates, fc.nat(100 * SMALL_ENTRY_BYTES), (each, excessBytes) => {
    const selected = select(each, excessBytes)
    const without = selected.slice(0, -1).reduce((sum, { bytes }) => sum + bytes, 0)
    if (selected.length > 0) expect(without).toBeLessThan(excessBytes)
    expect(new Set(selected).size).toBe(selected.length)
    for (const { bytes } of selected) expect(bytes).toBeGreaterThanOrEqual(SMALL_ENTRY_BYTES)
  }), { seed: SEED, numRuns: 300 })
})
