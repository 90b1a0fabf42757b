import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { ProcessAvailability } from './process_availability.ts'

const TICK_MS = 10

let nowMs: number
let busyMs: number
let availability: ProcessAvailability

beforeEach(() => {
  nowMs = 0
  busyMs = 0
  vi.useFakeTimers({ toFake: ['setInterval', 'clearInterval'] })
  vi.spyOn(performance, 'now').mockImplementation(() => nowMs)
  availability = new ProcessAvailability({ busyMs: () => busyMs })
})

afterEach(() => {
  availability.stop()
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
  availability.start()
  run(100)
  expect(availability.unavailableSince(0)).toBe(0)
  pause(300)
  run(100)
  expect(availability.unavailableSince(0)).toBe(300)
  expect(availability.unavailableSince(200)).toBe(210)
  expect(availability.unavailableSince(450)).toBe(0)
})

test('a pause counts before the first timer has run after it', () => {
  // Guards against blaming an endpoint for an answer that is read before the late timer runs.
  availability.start()
  run(50)
  pause(200)
  expect(availability.unavailableSince(0)).toBe(190)
})

test('nothing is measured before the start or after the stop, and old pauses are forgotten', () => {
  pause(500)
  availability.start()
  run(100)
  expect(availability.unavailableSince(0)).toBe(0)
  pause(500)
  run(31_000)
  expect(availability.unavailableSince(0)).toBe(0)
  pause(500)
  availability.stop()
  expect([availability.unavailableSince(0), vi.getTimerCount()]).toEqual([0, 0])
})

test('a process that is busy without late timers is unavailable for the time that it is busy', () => {
  // Guards against blaming an endpoint for an answer that took several short turns of a busy event loop.
  availability.start()
  run(50)
  for (let i = 0; i < 6; i++) {
    busyMs += 9
    run(10)
  }
  expect(availability.unavailableSince(50)).toBe(54)
  run(100)
  expect(availability.unavailableSince(110)).toBe(0)
})

test('a process is never unavailable for longer than the time that has passed', () => {
  availability.start()
  run(50)
  busyMs += 10
  nowMs += 4
  expect(availability.unavailableSince(50)).toBe(4)
})
