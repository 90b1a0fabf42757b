import { expect, test } from 'vitest'
import { simulatePlacement, type SimulatedClass } from '../../bench/_placing.ts'

// Guards against each daemon choosing the home of a shared prefix from only the endpoints that it is connected to.

const ENGINE = { slots: 12, queue: 25, readTokensPerMs: 125, firstMs: 62, pieceMs: 30, pieceMsPerRequest: 0.75 }
const REVIEW: SimulatedClass = { name: 'review', perS: 60, urgent: false, uniqueTokens: 6600, sharedTokens: 5400, subjects: 400, pieces: 42, firstTokenMs: 800, deadlineMs: 12_000, maxAttempts: 2 }
/** Largest fraction of the shared tokens that may be prefilled more than once. */
const MAX_REPEATED_PREFILL = 0.25

test.each([9, 83, 195])('with more engines than a daemon connects to, %d daemons choose the same one for a shared prefix', (daemons) => {
  const { asked, inTime, redundantPrefillTokens } = simulatePlacement({ seed: 1, daemons, engines: 80, engine: ENGINE, classes: [REVIEW], spanMs: 24_000, warmupMs: 4000 }).get('review')!
  expect(redundantPrefillTokens / asked).toBeLessThan(REVIEW.sharedTokens * MAX_REPEATED_PREFILL)
  expect(inTime / asked).toBeGreaterThan(0.95)
})
