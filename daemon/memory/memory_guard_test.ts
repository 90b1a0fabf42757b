import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { steadyNow } from '../../core/time/index.ts'
import { createMetrics } from '../metrics.ts'
import { accountLimitBytes, MemoryGuard, MIN_LIMIT_BYTES, type HeldAnswer } from './index.ts'

const MB = 2 ** 20
const LIMIT_BYTES = 250 * MB

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

class Answer implements HeldAnswer {
  takenAtMs = steadyNow()
  paused = true
  repeatable = true
  evictedFor: string | undefined
  readonly #entry

  constructor (guard: MemoryGuard, readonly heldBytes: number) {
    this.#entry = guard.account.open('answer', heldBytes)
    guard.watch(this)
  }

  observe (): void {}
  evict (why: string): void {
    this.evictedFor = why
    this.#entry.close()
  }
}

test('an answer that pauses is ended when its caller has taken nothing for seconds, and later without a limit', () => {
  const endsAfterMs = (limitBytes: number | undefined) => {
    const guard = new MemoryGuard({ metrics: createMetrics(), limitBytes })
    const [silent, reading] = [new Answer(guard, MB), new Answer(guard, MB)]
    guard.start()
    const fromMs = steadyNow()
    while (!silent.evictedFor) {
      reading.takenAtMs = steadyNow()
      vi.advanceTimersByTime(250)
    }
    guard.stop()
    expect([silent.evictedFor, reading.evictedFor]).toEqual(['unread', undefined])
    return steadyNow() - fromMs
  }
  expect([endsAfterMs(LIMIT_BYTES), endsAfterMs(undefined)]).toEqual([3000, 10_000])
})

test('above the high mark, answers that nobody reads are ended until the low mark, those that can be repeated first', () => {
  const guard = new MemoryGuard({ metrics: createMetrics(), limitBytes: LIMIT_BYTES })
  const bytes = guard.account.limitBytes / 8
  const answers = Array.from({ length: 7 }, () => new Answer(guard, bytes))
  answers[0]!.repeatable = false
  vi.advanceTimersByTime(1500)
  answers[1]!.takenAtMs = steadyNow()
  guard.check()
  expect(answers.map(({ evictedFor }) => evictedFor)).toEqual([undefined, undefined, 'memory', 'memory', 'memory', undefined, undefined])
  expect(guard.account.level).toBe('normal')
})

test('connections are counted while they are open', () => {
  const guard = new MemoryGuard({ metrics: createMetrics() })
  guard.connectionOpened('caller')
  guard.connectionOpened('endpoint')
  expect(guard.account.bytesOf('connection')).toBeGreaterThan(0)
  guard.connectionClosed('endpoint')
  guard.connectionClosed('caller')
  expect(guard.account.heldBytes).toBe(0)
})

test('what may be held leaves room for the process within the limit', () => {
  for (const limitMb of [250, 350, 602]) expect(accountLimitBytes(limitMb * MB)).toBeLessThan((0.8 * limitMb - 112) * MB)
  expect(accountLimitBytes(MIN_LIMIT_BYTES)).toBeGreaterThan(0)
})
