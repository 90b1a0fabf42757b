import { expect, test } from 'vitest'
import { DrainAdmission } from './drain_admission.ts'

const TIMES = { listensUntilMs: 2600, endsAtMs: 7500 }

/** An admission of a daemon that drains and has answered requests of the class in these times. */
function draining (tookMs: number[]): DrainAdmission {
  const admission = new DrainAdmission()
  for (const ms of tookMs) admission.answered('summary', ms)
  admission.startDraining(TIMES)
  return admission
}

test('all requests are admitted until the drain begins', () => {
  const admission = new DrainAdmission()
  for (let i = 0; i < 10; i++) admission.answered('summary', 9000)
  expect(admission.admits('summary', { deadlineInMs: 10_000, now: 1 })).toBe(true)
})

test.each([
  { why: 'its class ends in time', took: 4000, deadlineInMs: 9000, now: 3000, admitted: true },
  { why: 'its class takes longer', took: 4600, deadlineInMs: 9000, now: 3000, admitted: false },
  { why: 'its class takes longer, also while callers come', took: 8000, deadlineInMs: 9000, now: 100, admitted: false },
  { why: 'its deadline ends it in time', took: 8000, deadlineInMs: 4500, now: 3000, admitted: true },
  { why: 'no time is left', took: 5, deadlineInMs: 1000, now: 7500, admitted: false }
])('while it drains a daemon admits a request or not: $why', ({ took, deadlineInMs, now, admitted }) => {
  // Guards against a request that is begun and cut when the daemon ends.
  expect(draining(Array.from({ length: 10 }, () => took)).admits('summary', { deadlineInMs, now })).toBe(admitted)
})

test('a request of a class without known times is admitted while callers come, and afterwards only if its deadline ends it in time', () => {
  // Guards against a stream that is begun on a connection whose first request comes late, and cut.
  const admission = draining([4000, 4000])
  expect([2599, 2600].map((now) => admission.admits('summary', { deadlineInMs: 9000, now }))).toEqual([true, false])
  expect(admission.admits('summary', { deadlineInMs: 1000, now: 6500 })).toBe(true)
})

test('one slow answer in many does not keep a class out, and one in five does', () => {
  const answers = (slow: number) => Array.from({ length: 20 }, (_, i) => (i < slow ? 9000 : 1000))
  expect([1, 4].map((slow) => draining(answers(slow)).admits('summary', { deadlineInMs: 9000, now: 3000 }))).toEqual([true, false])
})
