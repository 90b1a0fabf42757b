import fc from 'fast-check'
import { expect, test } from 'vitest'
import { as, type AccountId } from '../ids/index.ts'
import { AccountShares, judgeRoom, PressureWatch, WorkRate, type RoomRequest } from './index.ts'

const SEED = 3
const REQUEST: RoomRequest = { urgent: true, targetMs: 500, remainingMs: 3000, spentMs: 0, ownMs: 60, sizeRatio: 1, accountRatio: 1 }
const judge = (change: Partial<RoomRequest>, backlog: { waitMs?: number, urgentShare?: number } = {}) => judgeRoom({ ...REQUEST, ...change }, { waitMs: 200, urgentShare: 0, ...backlog }, 0.5)

const requests = fc.record({
  urgent: fc.boolean(),
  targetMs: fc.integer({ min: 50, max: 5000 }),
  remainingMs: fc.integer({ min: 100, max: 20_000 }),
  spentMs: fc.integer({ min: 0, max: 1000 }),
  ownMs: fc.integer({ min: 1, max: 3000 }),
  sizeRatio: fc.double({ min: 0.01, max: 20, noNaN: true }),
  accountRatio: fc.double({ min: 0, max: 20, noNaN: true })
})

test('whatever the request, it runs if nothing waits, and a longer wait never makes it run', () => {
  const backlog = fc.record({ waitMs: fc.integer({ min: 0, max: 5000 }), urgentShare: fc.double({ min: 0, max: 2, noNaN: true }) })
  fc.assert(fc.property(requests, backlog, fc.integer({ min: 1, max: 5000 }), (req, { waitMs, urgentShare }, moreMs) => {
    expect(judgeRoom(req, { waitMs: 0, urgentShare }, 0).type).toBe('run')
    if (judgeRoom(req, { waitMs, urgentShare }, 0).type === 'refuse') expect(judgeRoom(req, { waitMs: waitMs + moreMs, urgentShare }, 0).type).toBe('refuse')
  }), { seed: SEED, numRuns: 500 })
})

test('a refused caller returns while its request can still be served, or gets no time to come back', () => {
  fc.assert(fc.property(requests, fc.double({ min: 0, max: 0.999, noNaN: true }), (req, random) => {
    const verdict = judgeRoom(req, { waitMs: 10_000, urgentShare: 0.5 }, random)
    if (verdict.type === 'run') return
    if (verdict.retryAfterMs !== Infinity) expect(verdict.retryAfterMs + req.ownMs).toBeLessThan(req.remainingMs)
  }), { seed: SEED, numRuns: 500 })
  expect(judge({ remainingMs: 400 }, { waitMs: 2000 })).toMatchObject({ type: 'refuse', retryAfterMs: Infinity })
})

test('urgent callers return before others', () => {
  const after = (urgent: boolean) => (judge({ urgent, remainingMs: 10_000 }, { waitMs: 600 }) as { retryAfterMs: number }).retryAfterMs
  expect(after(true)).toBeLessThan(after(false))
})

test.each([
  ['a large request yields to a small one', { sizeRatio: 4, ownMs: 160 }, { sizeRatio: 0.3, ownMs: 40 }, 250],
  ['an account far above the mean yields to the others', { accountRatio: 6 }, { accountRatio: 0.5 }, 200],
  ['a caller that comes back yields to a new one', { spentMs: 600 }, { spentMs: 0 }, 200],
  ['a request that cannot be in time yields to one that can', { ownMs: 700 }, { ownMs: 60 }, 200]
])('%s', (_name, yielding, other, waitMs) => {
  expect(judge(yielding, { waitMs }).type).toBe('refuse')
  expect(judge(other, { waitMs }).type).toBe('run')
})

test('the wait of requests that are not urgent grows with the share of urgent work, that of urgent ones does not', () => {
  const backlog = { waitMs: 150, urgentShare: 0.8 }
  expect(judge({ urgent: false }, { ...backlog, urgentShare: 0 }).type).toBe('run')
  expect(judge({ urgent: false }, backlog).type).toBe('refuse')
  expect(judge({ urgent: true }, backlog).type).toBe('run')
})

test('a burst is no overload, and overload lasts while waits are long now and then', () => {
  const watch = new PressureWatch()
  expect(watch.observe(1, 0)).toBe(false)
  expect(watch.observe(0.1, 6000)).toBe(false)
  expect(watch.observe(1, 10_000)).toBe(false)
  expect(watch.observe(1, 10_200)).toBe(true)
  expect(watch.observe(0.1, 12_000)).toBe(true)
  expect(watch.observe(0.1, 16_000)).toBe(false)
})

test('work counts less the older it is, by account as well', () => {
  const rate = new WorkRate()
  rate.add(1000, 0)
  expect(rate.perMs(0)).toBe(1)
  expect(rate.perMs(1000)).toBeCloseTo(Math.exp(-1))
  const shares = new AccountShares()
  const [large, small] = [as<AccountId>('large'), as<AccountId>('small')]
  expect(shares.ofMean(large, 0)).toBe(0)
  shares.add(large, 9000, 0)
  shares.add(small, 1000, 0)
  expect(shares.ofMean(large, 0)).toBeCloseTo(1.8)
  expect(shares.ofMean(small, 0)).toBeCloseTo(0.2)
  expect(shares.ofMean(large, 120_000)).toBe(0)
})
