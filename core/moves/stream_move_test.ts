import fc from 'fast-check'
import { expect, test } from 'vitest'
import { seededRandom } from '../../daemon/seeded_random.ts'
import { playMove, type WorldOptions, type WorldResult } from './_move_world.ts'

const SCHEDULES = 10_000
const SEED = 16
/** Number of choices of a schedule of which all combinations are played. */
const CHOICES = 15

const calm: Omit<WorldOptions, 'random'> = { noticeMs: 2500, total: 400, copyMs: 100, lossShare: 0, nonsenseShare: 0, lateShare: 0, targetDeathShare: 0, fullShare: 0, cutShare: 0 }
const play = (change: Partial<WorldOptions> = {}, seed = 1) => playMove({ random: seededRandom(seed), ...calm, ...change })

/** True if the caller got each event once and in order, and all of them if the stream ended whole. */
function isSound ({ events, whole }: WorldResult, total: number): boolean {
  return events.every((event, i) => event === i + 1) && (!whole || events.length === total)
}

const schedule = fc.record({
  seed: fc.integer({ min: 1, max: 2 ** 31 - 1 }),
  noticeMs: fc.integer({ min: 50, max: 4000 }),
  unmarked: fc.boolean(),
  deniedShare: fc.constantFrom(0, 0, 0.3),
  barredAfterMs: fc.constantFrom(0, 500, Infinity),
  total: fc.integer({ min: 1, max: 300 }),
  copyMs: fc.integer({ min: 1, max: 800 }),
  lossShare: fc.constantFrom(0, 0.1, 0.5, 0.7),
  nonsenseShare: fc.constantFrom(0, 0.1, 0.5),
  lateShare: fc.constantFrom(0, 0.1, 0.5),
  targetDeathShare: fc.constantFrom(0, 0.2, 0.8),
  fullShare: fc.constantFrom(0, 0.2, 0.8),
  cutShare: fc.constantFrom(0, 0.5)
})

test('a stream never runs at two endpoints, and no event is missing or doubled', () => {
  fc.assert(fc.property(schedule, ({ seed, ...options }) => {
    const result = play(options, seed)
    expect(result.doubled).toBe(false)
    expect(isSound(result, options.total)).toBe(true)
    expect(result.left).toEqual([])
  }), { numRuns: SCHEDULES, seed: SEED })
}, 120_000)

test.each<[string, Partial<WorldOptions>]>([
  ['losses, refusals, deaths and cuts', { noticeMs: 1500, total: 60, copyMs: 20 }],
  ['these, and an end that nothing marks', { noticeMs: 1500, total: 12, copyMs: 20, unmarked: true }],
  ['these and late messages, in a short stream', { noticeMs: 700, total: 4, copyMs: 20, lateShare: 0.5 }]
])('no combination of the first choices breaks the rules: %s', (_what, change) => {
  const faults = { lossShare: 0.5, nonsenseShare: 0.5, targetDeathShare: 0.5, fullShare: 0.5, cutShare: 0.5, ...change }
  for (let choices = 0; choices < 2 ** CHOICES; choices++) {
    // The world discards its first draw.
    let drawn = -1
    const random = () => (drawn++ < 0 || drawn > CHOICES || ((choices >> (drawn - 1)) & 1) === 0 ? 0.99 : 0)
    const result = playMove({ random, ...calm, ...faults })
    if (result.doubled || result.left.length > 0 || !isSound(result, faults.total ?? calm.total)) expect({ choices, result }).toBeUndefined()
  }
}, 120_000)

test('nearly all streams that fit the notice end whole although calls are lost and targets die or are full', () => {
  const random = seededRandom(SEED)
  const results = Array.from({ length: 2000 }, (_, i) => play({ total: 20 + Math.floor(random() * 300), copyMs: 1 + random() * 300, lossShare: 0.05, nonsenseShare: 0.02, lateShare: 0.05, targetDeathShare: 0.05, fullShare: 0.1 }, Math.floor(random() * 2 ** 31)))
  const kept = results.filter(({ lostAfterMove }) => !lostAfterMove)
  expect(kept.filter(({ whole }) => whole).length).toBeGreaterThanOrEqual(0.95 * kept.length)
  expect(kept.length).toBeGreaterThanOrEqual(0.9 * results.length)
}, 60_000)

test('a stream moves, and the source is left with nothing', () => {
  const { whole, left, state } = play()
  expect([whole, left, state.outcome, state.orders, state.continuations]).toEqual([true, [], 'moved', 1, 1])
})

test('a run that has stopped goes on at a target although its copies were refused before, while the source must get no request', () => {
  const random = seededRandom(SEED)
  const results = Array.from({ length: 300 }, () => play({ barredAfterMs: 0, fullShare: 0.2, total: 200 }, Math.floor(random() * 2 ** 31)))
  expect(results.every(({ state: { outcome } }) => outcome === 'moved' || outcome === 'given-up' || outcome === 'not-moved')).toBe(true)
  expect(results.filter(({ whole }) => whole).length).toBeGreaterThanOrEqual(0.9 * results.length)
})

test('a run that has stopped is not lost while its copy takes longer than the answers to its orders are waited for', () => {
  // Guards against orders that are used up by the answer that another one is under way.
  const target = play({ copyMs: 700 })
  expect([target.whole, target.state.outcome]).toEqual([true, 'moved'])
  const random = seededRandom(SEED)
  const refused = Array.from({ length: 300 }, () => play({ copyMs: 700, noticeMs: 6000, total: 380, fullShare: 0.4 }, Math.floor(random() * 2 ** 31)))
  expect(refused.filter(({ state: { outcome } }) => outcome === undefined || outcome === 'given-up')).toEqual([])
})
