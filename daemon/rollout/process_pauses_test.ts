import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { ProcessPauses } from './process_pauses.ts'

const TICK_MS = 10

let nowMs: number
let pauses: ProcessPauses

beforeEach(() => {
  nowMs = 0
  vi.useFakeTimers({ toFake: ['setInterval', 'clearInterval'] })
  vi.spyOn(performance, 'now').mockImplementation(() => nowMs)
  pauses = new ProcessPauses()
})

afterEach(() => {
  pauses.stop()
  vi.restoreAllMocks()
  vi.useRealTimers()
})

/** Lets time pass with timers that are on time. */
function run (ms: number): void {
  for (let i = 0; i < ms; i += TICK_MS) {
    nowMs += TICK_MS
    vi.advanceTimersByTime(TICK_MS)
  }
}

/** Lets time pass without running timers. */
function pause (ms: number): void {
  nowMs += ms
}

test('pauses are counted from the requested moment on, and a running process has none', () => {
  pauses.start()
  run(100)
  expect(pauses.since(0)).toBe(0)
  pause(300)
  run(100)
  expect(pauses.since(0)).toBe(300)
  expect(pauses.since(200)).toBe(210)
  expect(pauses.since(450)).toBe(0)
})

test('a pause counts before the first timer has run after it', () => {
  // Guards against blaming an endpoint for an answer that is read before the late timer runs.
  pauses.start()
  run(50)
  pause(200)
  expect(pauses.since(0)).toBe(190)
})

test('nothing is measured before the start or after the stop, and old pauses are forgotten', () => {
  pause(500)
  pauses.start()
  run(100)
  expect(pauses.since(0)).toBe(0)
  pause(500)
  run(31_000)
  expect(pauses.since(0)).toBe(0)
  pause(500)
  pauses.stop()
  expect([pauses.since(0), vi.getTimerCount()]).toEqual([0, 0])
})
