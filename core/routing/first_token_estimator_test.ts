import { expect, test } from 'vitest'
import { FirstTokenEstimator } from './index.ts'

/** Adds samples of an engine: prompts of many sizes, a tenth of them delayed by something else. */
function train (pace: FirstTokenEstimator, engine: { firstMs: number, msPerToken: number }, count: number): void {
  for (let i = 0; i < count; i++) {
    const unreadTokens = (i * 7919) % 20_000
    const delayFactor = i % 10 === 9 ? 5 : 1
    pace.learn({ unreadTokens, firstMs: (engine.firstMs + unreadTokens * engine.msPerToken) * delayFactor })
  }
}

test.each([[4, 'slower'], [0.25, 'faster']])('the speed of an engine %d times as slow (%s) is learned from eighty first tokens', (times) => {
  // Guards against a fixed estimate of prefill speed: on a deployment with engines half as fast as assumed, requests were queued behind two long prompts and
  // answered late, and only half of the required engines were ordered.
  const first = { firstMs: 50, msPerToken: 0.02 }
  const pace = new FirstTokenEstimator({ prior: first })
  const engine = { firstMs: 50 * times, msPerToken: 0.02 * times }
  train(pace, engine, 80)
  for (const tokens of [500, 5000, 15_000]) {
    const [predicted, actual] = [pace, engine].map(({ firstMs, msPerToken }) => firstMs + tokens * msPerToken) as [number, number]
    expect(Math.abs(predicted - actual) / actual, `${tokens} tokens`).toBeLessThan(0.5)
  }
  train(pace, first, 600)
  expect(pace.msPerToken).toBeGreaterThan(0.018)
  expect(pace.msPerToken).toBeLessThan(0.026)
})

test('prompts of a single size shift the line and keep a positive slope', () => {
  const pace = new FirstTokenEstimator({ prior: { firstMs: 50, msPerToken: 0.02 } })
  for (let i = 0; i < 500; i++) pace.learn({ unreadTokens: 1000, firstMs: 120 })
  expect(pace.firstMs + 1000 * pace.msPerToken).toBeCloseTo(120, -1)
  expect(pace.msPerToken).toBeGreaterThan(0)
  expect(pace.firstMs).toBeGreaterThanOrEqual(0)
})
