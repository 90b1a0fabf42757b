import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { Waiters } from './waiters.ts'

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

test('a wait ends when all are woken, and leaves no timer', async () => {
  const waiters = new Waiters()
  const both = Promise.all([waiters.wait(1000), waiters.wait(2000)])
  waiters.wakeAll()
  await both
  expect(vi.getTimerCount()).toBe(0)
})

test('a wait that nobody ends is over after its timeout', async () => {
  let ended = false
  new Waiters().wait(1000).then(() => { ended = true })
  await vi.advanceTimersByTimeAsync(999)
  expect(ended).toBe(false)
  await vi.advanceTimersByTimeAsync(1)
  expect(ended).toBe(true)
})

test('a caller that waits again after being woken waits for the next change', async () => {
  // Guards against a caller that waits in a loop and is woken over and over by the same change.
  const waiters = new Waiters()
  let wakeups = 0
  const waitAgain = async () => { for (;;) { await waiters.wait(10_000); wakeups++ } }
  waitAgain()
  waiters.wakeAll()
  await vi.advanceTimersByTimeAsync(1)
  waiters.wakeAll()
  await vi.advanceTimersByTimeAsync(1)
  expect(wakeups).toBe(2)
})
