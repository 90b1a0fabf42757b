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
  evicted = false
  readonly #entry

  constructor (guard: MemoryGuard, readonly heldBytes: number) {
    this.#entry = guard.account.open('answer', heldBytes)
    guard.watch(this)
  }

  observe (): void {}
  evict (): void {
    this.evicted = true
    this.#entry.close()
  }
}

test('an answer that pauses is kept, however long, while there is memory', () => {
  for (const limitBytes of [LIMIT_BYTES, undefined]) {
    const guard = new MemoryGuard({ metrics: createMetrics(), limitBytes })
    const answer = new Answer(guard, MB)
    guard.start()
    vi.advanceTimersByTime(60_000)
    guard.stop()
    expect(answer.evicted).toBe(false)
  }
})

test.each([{ level: 'high', eighths: 7, evictedAfterMs: 5000 }, { level: 'full', eighths: 8, evictedAfterMs: 1000 }])('at the level $level, answers without progress for $evictedAfterMs ms are ended until the low mark, those that can be repeated first', ({ level, eighths, evictedAfterMs }) => {
  const guard = new MemoryGuard({ metrics: createMetrics(), limitBytes: LIMIT_BYTES })
  const bytes = Math.ceil(guard.account.limitBytes / 8)
  const answers = Array.from({ length: eighths }, () => new Answer(guard, bytes))
  answers[0]!.repeatable = false
  expect(guard.account.level).toBe(level)
  vi.advanceTimersByTime(evictedAfterMs - 1)
  answers[1]!.takenAtMs = steadyNow()
  guard.check()
  expect(answers.some(({ evicted }) => evicted)).toBe(false)
  vi.advanceTimersByTime(1)
  guard.check()
  const ended = answers.flatMap(({ evicted }, i) => (evicted ? [i] : []))
  expect(ended).toEqual(Array.from({ length: eighths - 3 }, (_, i) => i + 2).slice(0, ended.length))
  expect(guard.account.heldBytes).toBeLessThanOrEqual(guard.account.lowMarkBytes)
  expect(guard.account.heldBytes).toBeGreaterThan(guard.account.lowMarkBytes - bytes)
})

test('connections are counted while they are open', () => {
  const guard = new MemoryGuard({ metrics: createMetrics() })
  guard.connectionOpened()
  guard.connectionOpened()
  expect(guard.account.bytesOf('connection')).toBeGreaterThan(0)
  guard.connectionClosed()
  guard.connectionClosed()
  expect(guard.account.heldBytes).toBe(0)
})

test('idle connections, however many, leave the room for bodies and answers as it is', () => {
  // Guards against a daemon that refuses bodies and ends answers since it has many connections.
  const guard = new MemoryGuard({ metrics: createMetrics(), limitBytes: LIMIT_BYTES })
  for (let i = 0; i < 20_000; i++) guard.connectionOpened()
  expect([guard.account.level, guard.account.hasRoomFor(guard.account.highMarkBytes)]).toEqual(['normal', true])
})

test('what may be held leaves room for the process within the limit', () => {
  for (const limitMb of [250, 350, 602]) expect(accountLimitBytes(limitMb * MB)).toBeLessThan((0.8 * limitMb - 112) * MB)
  expect(accountLimitBytes(MIN_LIMIT_BYTES)).toBeGreaterThan(0)
})
