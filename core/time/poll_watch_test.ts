import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { PollWatch } from './poll_watch.ts'

const watch = new PollWatch()
beforeEach(() => { vi.useFakeTimers() })
afterEach(() => {
  watch.stop()
  vi.restoreAllMocks()
  vi.useRealTimers()
})

test('while a loop polls, what is read has waited for no longer than the interval of the checks', async () => {
  watch.start()
  await vi.advanceTimersByTimeAsync(1050)
  expect(watch.unreadMs).toBeLessThanOrEqual(100)
})

test('what is read after a pause may have waited for all of it, until the loop has polled again', async () => {
  watch.start()
  await vi.advanceTimersByTimeAsync(450)
  const wokenAtMs = performance.now() + 1600
  vi.spyOn(performance, 'now').mockReturnValue(wokenAtMs)
  expect(watch.unreadMs).toBeGreaterThanOrEqual(1600)
  await vi.advanceTimersByTimeAsync(100)
  expect(watch.unreadMs).toBe(0)
})
