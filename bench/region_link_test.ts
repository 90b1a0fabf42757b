import { expect, test } from 'vitest'
import { seededRandom } from '../daemon/seeded_random.ts'
import { simulateLink } from './_shared_link.ts'

const LINK_BYTES_PER_S = 5_250_000
const run = (senders: number, change: Partial<Parameters<typeof simulateLink>[0]> = {}) => simulateLink({ senders, capacity: () => LINK_BYTES_PER_S, demand: () => 2 * LINK_BYTES_PER_S / senders, durationMs: 60_000, random: seededRandom(1), ...change })

test.each([5, 50, 200])('%i senders at twice the rate of a link use it, add little delay and get equal parts', (senders) => {
  const { use, delayP95Ms, fairness } = run(senders)
  expect(use).toBeGreaterThanOrEqual(0.9)
  expect(delayP95Ms).toBeLessThan(100)
  expect(fairness).toBeGreaterThan(0.9)
})

test.each([5, 50, 200])('%i senders use a link again within three seconds of a cut of ten', (senders) => {
  const { use, delayP95Ms } = run(senders, { capacity: (ms) => (ms >= 20_000 && ms < 30_000 ? 0 : LINK_BYTES_PER_S), fromMs: 33_000 })
  expect(use).toBeGreaterThanOrEqual(0.9)
  expect(delayP95Ms).toBeLessThan(100)
})

test('lost samples do not make senders give a link up', () => {
  expect(run(50, { loss: 0.02 }).use).toBeGreaterThanOrEqual(0.9)
})

test('what half of the senders do not use, the others do', () => {
  const demand = (i: number) => (i % 2 === 0 ? LINK_BYTES_PER_S / 50 / 4 : 2 * LINK_BYTES_PER_S)
  const { use } = run(50, { demand })
  expect(use).toBeGreaterThanOrEqual(0.9)
  expect(run(50, { demand, fixedBytesPerS: LINK_BYTES_PER_S / 50 }).use).toBeLessThan(0.7)
})
