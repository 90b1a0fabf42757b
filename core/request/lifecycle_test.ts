import { expect, test } from 'vitest'
import { as, type EndpointId, type RequestId } from '../ids/index.ts'
import { FAILURE_POINTS, outcomeAt } from '../outcome/index.ts'
import { newRequest, step, type RequestEffect, type RequestMessage, type RequestState, type RequestTraits } from './index.ts'

const A = as<EndpointId>('a')
const B = as<EndpointId>('b')
const TRAITS: RequestTraits = { id: as<RequestId>('d~1'), idempotent: false, movable: true, cancelOnLeave: false, claims: false, maxAttempts: Infinity, deadlineAtMs: 1000 }

function run (traits: Partial<RequestTraits>, msgs: readonly RequestMessage[], now = 0): { state: RequestState, effects: RequestEffect[] } {
  let state = newRequest({ ...TRAITS, ...traits })
  const effects: RequestEffect[] = []
  for (const msg of msgs) {
    const next = step(state, msg, now)
    state = next.state
    effects.push(...next.effects)
  }
  return { state, effects }
}

const RUNNING: RequestMessage[] = [{ type: 'begin' }, { type: 'placed', endpoint: A }]

// The truth of "not run": one row for every point at which a non-idempotent request can fail.
test.each(FAILURE_POINTS)('a non-idempotent request that fails at %s is told the truth and runs again only when it certainly did not run', (point) => {
  const { state, effects } = run({}, [...RUNNING, { type: 'failed', attempt: 1, point, retryGranted: true }])
  const certain = outcomeAt(point) === 'not-run'
  expect(effects.at(-1)).toMatchObject(certain ? { type: 'place', avoid: [A] } : { type: 'finish', outcome: 'unknown' })
  const denied = run({}, [...RUNNING, { type: 'failed', attempt: 1, point, retryGranted: false }])
  expect(denied.state.outcome).toBe(outcomeAt(point))
  expect(state.mayHaveRun).toBe(!certain)
})

test('an attempt that may have run makes every later refusal unknown', () => {
  const { state } = run({ idempotent: true }, [
    ...RUNNING,
    { type: 'failed', attempt: 1, point: 'reset-after-send', retryGranted: true },
    { type: 'placed', endpoint: B },
    { type: 'failed', attempt: 2, point: 'connect-refused', retryGranted: true },
    { type: 'refused', reason: 'no room' }
  ])
  expect(state.outcome).toBe('unknown')
})

test('a letter that moves starts at its target only after the stop is confirmed', () => {
  // A household gets two letters: the draft moves off a host that leaves, the order to stop is lost, and both hosts write it. The
  // target must not start before the source confirmed.
  const moving = run({}, [...RUNNING, { type: 'move', endpoint: B, mode: 'prefill' }])
  expect(moving.effects.slice(2)).toEqual([{ type: 'stop', endpoint: A, attempt: 1 }])
  const confirmed = step(moving.state, { type: 'stopped', attempt: 1, confirmed: true }, 0)
  expect(confirmed.effects).toEqual([{ type: 'start', endpoint: B, attempt: 2, mode: 'prefill' }])
  const lost = step(moving.state, { type: 'stopped', attempt: 1, confirmed: false }, 0)
  expect(lost.state.outcome).toBe('unknown')
})

test('a review moves at once, and its old attempt no longer counts', () => {
  const moved = run({ idempotent: true }, [...RUNNING, { type: 'move', endpoint: B, mode: 'prefill' }, { type: 'ended', attempt: 1 }])
  expect(moved.state).toMatchObject({ phase: 'running', attempt: 2, endpoint: B })
  expect(step(moved.state, { type: 'ended', attempt: 2 }, 0).state.outcome).toBe('answered')
})

test('a plain-service call is never moved', () => {
  const { state } = run({ movable: false }, [...RUNNING, { type: 'move', endpoint: B, mode: 'prefill' }, { type: 'hold' }])
  expect(state).toMatchObject({ phase: 'running', endpoint: A })
})

test('the claim comes before the first attempt, and a claim that cannot be written runs nothing', () => {
  const { state, effects } = run({ claims: true }, [{ type: 'begin' }, { type: 'claim-failed', outcome: 'not-run', reason: 'store down' }, { type: 'placed', endpoint: A }])
  expect(effects.map((effect) => effect.type)).toEqual(['claim', 'finish'])
  expect(state.outcome).toBe('not-run')
})

test('after the deadline nothing starts, and what ran is stopped and unknown', () => {
  expect(run({}, [{ type: 'begin' }, { type: 'deadline' }, { type: 'placed', endpoint: A }]).state.outcome).toBe('not-run')
  const running = run({}, [...RUNNING, { type: 'deadline' }])
  expect(running.state.outcome).toBe('unknown')
  expect(running.effects.at(-2)).toEqual({ type: 'stop', endpoint: A, attempt: 1 })
})

test('only a class that says so stops when its caller leaves', () => {
  expect(run({}, [...RUNNING, { type: 'caller-left' }]).state.phase).toBe('running')
  expect(run({ cancelOnLeave: true }, [...RUNNING, { type: 'caller-left' }]).state.phase).toBe('done')
})
