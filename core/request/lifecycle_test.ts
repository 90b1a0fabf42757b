import fc from 'fast-check'
import { expect, test } from 'vitest'
import { as, type DaemonId, type EndpointId, type RequestId } from '../ids/index.ts'
import { FAILURE_POINTS, outcomeAt } from '../outcome/index.ts'
import { canMove, newRequest, step, type RequestEffect, type RequestMessage, type RequestState, type RequestTraits } from './index.ts'

const A = as<EndpointId>('a')
const B = as<EndpointId>('b')
const D = as<DaemonId>('d')
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

// One case for each point at which a non-idempotent request can fail.
test.each(FAILURE_POINTS)('a non-idempotent request that fails at %s is retried only if it certainly did not run', (point) => {
  const { state, effects } = run({}, [...RUNNING, { type: 'failed', attempt: 1, point, retryGranted: true }])
  const certain = outcomeAt(point) === 'not-run'
  expect(effects.at(-1)).toMatchObject(certain ? { type: 'place', avoid: [A] } : { type: 'finish', outcome: 'unknown' })
  const denied = run({}, [...RUNNING, { type: 'failed', attempt: 1, point, retryGranted: false }])
  expect(denied.state.outcome).toBe(outcomeAt(point))
  expect(state.mayHaveRun).toBe(!certain)
})

test('after an attempt that may have run, a later refusal has the outcome unknown', () => {
  const { state } = run({ idempotent: true }, [
    ...RUNNING,
    { type: 'failed', attempt: 1, point: 'reset-after-send', retryGranted: true },
    { type: 'placed', endpoint: B },
    { type: 'failed', attempt: 2, point: 'connect-refused', retryGranted: true },
    { type: 'refused', reason: 'no room' }
  ])
  expect(state.outcome).toBe('unknown')
})

test('a non-idempotent stream that moves starts at its target only after the stop is confirmed', () => {
  // Guards against double execution: if the stop message to the source is lost while the target already runs, both endpoints produce the answer.
  const moving = run({}, [...RUNNING, { type: 'move', endpoint: B, mode: 'prefill' }])
  expect(moving.effects.slice(2)).toEqual([{ type: 'stop', endpoint: A, attempt: 1 }])
  const confirmed = step(moving.state, { type: 'stopped', attempt: 1, confirmed: true }, 0)
  expect(confirmed.effects).toEqual([{ type: 'start', endpoint: B, attempt: 2, mode: 'prefill' }])
  const lost = step(moving.state, { type: 'stopped', attempt: 1, confirmed: false }, 0)
  expect(lost.state.outcome).toBe('unknown')
})

test('an idempotent stream moves at once, and messages of its old attempt are ignored', () => {
  const moved = run({ idempotent: true }, [...RUNNING, { type: 'move', endpoint: B, mode: 'prefill' }, { type: 'ended', attempt: 1 }])
  expect(moved.state).toMatchObject({ phase: 'running', attempt: 2, endpoint: B })
  expect(step(moved.state, { type: 'ended', attempt: 2 }, 0).state.outcome).toBe('answered')
})

test('a stream that cannot be resumed moves with its KV cache only, which uses up no attempt', () => {
  const traits = { movable: false, maxAttempts: 2 }
  const { state } = run(traits, RUNNING)
  expect(step(state, { type: 'move', endpoint: B, mode: 'prefill' }, 0).effects).toEqual([])
  const moved = step(state, { type: 'move', endpoint: B, mode: 'import' }, 0)
  expect(moved.effects).toEqual([{ type: 'stop', endpoint: A, attempt: 1 }, { type: 'start', endpoint: B, attempt: 2, mode: 'import' }])
  expect(moved.state).toMatchObject({ sent: 0, mayHaveRun: true })
})

test('an import of a stream that can be resumed uses up an attempt', () => {
  const { state } = run({ movable: true }, RUNNING)
  expect(step(state, { type: 'move', endpoint: B, mode: 'import' }, 0).state.sent).toBe(1)
})

test.each(FAILURE_POINTS)('a stream that cannot be resumed does not begin anew when its move fails at %s', (point) => {
  // Guards against a second run: that the target did not run it says nothing of the source, which did.
  const { state } = run({ movable: false }, [...RUNNING, { type: 'move', endpoint: B, mode: 'import' }, { type: 'failed', attempt: 2, point, retryGranted: true }])
  expect([state.phase, state.outcome]).toEqual(['done', 'unknown'])
})

test('a plain-service call is never moved', () => {
  const { state } = run({ movable: false }, [...RUNNING, { type: 'move', endpoint: B, mode: 'prefill' }, { type: 'hold' }])
  expect(state).toMatchObject({ phase: 'running', endpoint: A })
})

test('the claim precedes the first attempt, and if it cannot be stored nothing runs', () => {
  const { state, effects } = run({ claims: true }, [{ type: 'begin' }, { type: 'claim-failed', outcome: 'not-run', reason: 'store down' }, { type: 'placed', endpoint: A }])
  expect(effects.map((effect) => effect.type)).toEqual(['claim', 'finish'])
  expect(state.outcome).toBe('not-run')
})

test('after the deadline nothing starts, and a running attempt is stopped with the outcome unknown', () => {
  expect(run({}, [{ type: 'begin' }, { type: 'deadline' }, { type: 'placed', endpoint: A }]).state.outcome).toBe('not-run')
  const running = run({}, [...RUNNING, { type: 'deadline' }])
  expect(running.state.outcome).toBe('unknown')
  expect(running.effects.at(-2)).toEqual({ type: 'stop', endpoint: A, attempt: 1 })
})

test('a request that is given up ends at once, and certainly has not run only if nothing was sent', () => {
  const givenUp: RequestMessage = { type: 'given-up', reason: 'leaves' }
  expect(run({}, [{ type: 'begin' }, givenUp, { type: 'placed', endpoint: A }]).state.outcome).toBe('not-run')
  expect(run({}, [...RUNNING, givenUp]).effects.slice(-2)).toEqual([{ type: 'stop', endpoint: A, attempt: 1 }, expect.objectContaining({ type: 'finish', outcome: 'unknown', reason: 'leaves' })])
})

test('a request that may have run, and may run only once, ends without a time to come back', () => {
  // Guards against callers that take the time for permission to send it again.
  const held: RequestMessage = { type: 'quarantined', reason: 'held', retryAfterMs: 5000 }
  const endOf = (idempotent: boolean, msgs: readonly RequestMessage[]) => run({ idempotent }, [{ type: 'begin' }, ...msgs, held]).effects.at(-1)
  const placed: RequestMessage = { type: 'placed', endpoint: A }
  expect([endOf(false, [placed]), endOf(true, [placed]), endOf(false, [])]).toMatchObject([
    { type: 'finish', outcome: 'unknown', retryAfterMs: undefined },
    { type: 'finish', outcome: 'unknown', retryAfterMs: 5000 },
    { type: 'finish', outcome: 'not-run', retryAfterMs: 5000 }
  ])
})

test('a request stops when its caller disconnects only if its class has cancelOnLeave', () => {
  expect(run({}, [...RUNNING, { type: 'caller-left' }]).state.phase).toBe('running')
  expect(run({ cancelOnLeave: true }, [...RUNNING, { type: 'caller-left' }]).state.phase).toBe('done')
})

const DELEGATED: RequestMessage[] = [{ type: 'begin' }, { type: 'delegated', to: D }]

test.each(FAILURE_POINTS)('a non-idempotent request that fails at a delegate at %s is retried only if it certainly did not run', (point) => {
  const { state, effects } = run({}, [...DELEGATED, { type: 'failed', attempt: 1, point, retryGranted: true }])
  const certain = outcomeAt(point) === 'not-run'
  expect(effects.at(-1)).toMatchObject(certain ? { type: 'place' } : { type: 'finish', outcome: 'unknown' })
  expect([state.mayHaveRun, state.avoidDelegates]).toEqual([!certain, [D]])
})

test('endpoints that a delegate has sent a request to count towards the most that it may be sent to', () => {
  // Guards against a delegate that makes all attempts anew.
  const lost = (reached: number) => run({ idempotent: true, maxAttempts: 3 }, [...DELEGATED, { type: 'failed', attempt: 1, point: 'delegate-lost', retryGranted: true, reached }])
  expect([lost(2).state, lost(3).state].map(({ phase, sent }) => [phase, sent])).toEqual([['placing', 2], ['done', 3]])
})

test('a request that a delegate runs is stopped there at its deadline, with the outcome unknown', () => {
  const { state, effects } = run({}, [...DELEGATED, { type: 'deadline' }])
  expect(state.outcome).toBe('unknown')
  expect(effects.at(-2)).toEqual({ type: 'stop', endpoint: undefined, attempt: 1 })
})

test('a request whose caller has part of an answer that no other attempt can complete is not retried, moved or held', () => {
  // Guards against an answer that is joined from two runs.
  const traits = { idempotent: true, maxAttempts: 3 }
  const failure: RequestMessage = { type: 'failed', attempt: 1, point: 'torn-answer', retryGranted: true }
  expect(run(traits, [...RUNNING, failure]).effects.at(-1)).toMatchObject({ type: 'place' })
  expect(run(traits, [...RUNNING, { type: 'bound' }, failure]).effects.at(-1)).toMatchObject({ type: 'finish', outcome: 'unknown' })
  for (const msg of [{ type: 'move', endpoint: B, mode: 'prefill' }, { type: 'move', endpoint: B, mode: 'import' }, { type: 'hold' }] satisfies RequestMessage[]) {
    expect(run(traits, [...RUNNING, { type: 'bound' }, msg]).state.phase).toBe('running')
    expect(run(traits, [...RUNNING, msg]).effects).toContainEqual({ type: 'stop', endpoint: A, attempt: 1 })
  }
})

test('no order of events runs a non-idempotent request twice, or sends any to more endpoints than allowed', () => {
  // Guards against a second execution by way of endpoints and delegates in any mixture.
  const attempt = fc.integer({ min: 1, max: 4 })
  const msg = fc.oneof(
    fc.constantFrom<RequestMessage>({ type: 'placed', endpoint: A }, { type: 'placed', endpoint: B }, { type: 'delegated', to: D }, { type: 'caller-left' }, { type: 'move', endpoint: B, mode: 'prefill' }, { type: 'refused', reason: 'no room', retryAfterMs: 500 }, { type: 'claimed' }, { type: 'claim-failed', outcome: 'not-run', reason: 'store down' }),
    fc.record({ type: fc.constant('failed' as const), attempt, point: fc.constantFrom(...FAILURE_POINTS), retryGranted: fc.boolean() }),
    fc.record({ type: fc.constant('stopped' as const), attempt, confirmed: fc.boolean() }),
    fc.record({ type: fc.constant('ended' as const), attempt })
  )
  fc.assert(fc.property(fc.array(msg, { maxLength: 20 }), fc.boolean(), (msgs, idempotent) => {
    let state = newRequest({ ...TRAITS, idempotent, movable: false, maxAttempts: 2 })
    let mayHaveRun = 0
    for (const each of msgs) {
      const isRunning = state.phase === 'running'
      const next = step(state, each, 0)
      for (const effect of next.effects) {
        const begins = effect.type === 'start' || effect.type === 'delegate'
        if (begins && !idempotent) expect(mayHaveRun).toBe(0)
        if (begins) expect(next.state.sent).toBeLessThan(2)
      }
      if (isRunning && each.type === 'failed' && each.attempt === state.attempt && outcomeAt(each.point) === 'unknown') mayHaveRun++
      // Only the refusal of a delegate is certain.
      if (isRunning && each.type === 'refused' && state.endpoint !== undefined) mayHaveRun++
      if (isRunning && (each.type === 'claimed' || each.type === 'claim-failed')) expect(next.state).toBe(state)
      if (next.state.outcome === 'not-run') expect(mayHaveRun).toBe(0)
      state = next.state
    }
  }), { seed: 50, numRuns: 3000 })
})

const WITH_BACKUP: RequestMessage[] = [...RUNNING, { type: 'backup', endpoint: B }]
const BACKED_UP = { idempotent: true, maxAttempts: 2 }

test('a silent attempt goes on until its backup answers', () => {
  // Guards against an attempt that is given up for one that its endpoint may not take.
  const started = run(BACKED_UP, WITH_BACKUP)
  expect(started.effects.at(-1)).toEqual({ type: 'start-backup', endpoint: B, attempt: 2 })
  expect(started.state).toMatchObject({ phase: 'running', attempt: 1, endpoint: A })
  const answered = step(started.state, { type: 'answering', attempt: 2 }, 0)
  expect(answered.effects).toEqual([{ type: 'stop', endpoint: A, attempt: 1 }, { type: 'adopt-backup', attempt: 2 }])
  expect(answered.state).toMatchObject({ phase: 'running', attempt: 2, endpoint: B, backup: undefined, sent: 1 })
})

test('a backup is stopped once the attempt before it goes on', () => {
  const { state, effects } = run(BACKED_UP, [...WITH_BACKUP, { type: 'answering', attempt: 1 }])
  expect(effects.at(-1)).toEqual({ type: 'stop-backup', endpoint: B, attempt: 2 })
  expect(state).toMatchObject({ phase: 'running', attempt: 1, endpoint: A, backup: undefined, sent: 1 })
  expect(step(state, { type: 'backup', endpoint: B }, 0).effects).toEqual([])
})

test.each(FAILURE_POINTS)('a request goes on with the attempt that is left when the other one fails at %s', (point) => {
  const backupFailed = run(BACKED_UP, [...WITH_BACKUP, { type: 'failed', attempt: 2, point, retryGranted: false }])
  expect(backupFailed.state).toMatchObject({ phase: 'running', attempt: 1, endpoint: A, mayHaveRun: outcomeAt(point) === 'unknown' })
  const currentFailed = run(BACKED_UP, [...WITH_BACKUP, { type: 'failed', attempt: 1, point, retryGranted: true }])
  expect(currentFailed.effects.at(-1)).toEqual({ type: 'adopt-backup', attempt: 2 })
  expect(currentFailed.state).toMatchObject({ phase: 'running', attempt: 2, endpoint: B, mayHaveRun: outcomeAt(point) === 'unknown' })
})

test('an endpoint that runs a backup counts when a stream is to move', () => {
  // Guards against a stream that is sent to more endpoints than its route allows.
  const { state } = run(BACKED_UP, RUNNING)
  expect([canMove(state), canMove(step(state, { type: 'backup', endpoint: B }, 0).state)]).toEqual([true, false])
  expect(canMove(run({ ...BACKED_UP, maxAttempts: 3 }, WITH_BACKUP).state)).toBe(true)
})

test('the number of a backup is not used again, whichever attempt goes on', () => {
  // Guards against pieces of a backup that was stopped, which are taken for those of a later attempt.
  const dropped = run({ ...BACKED_UP, maxAttempts: 3 }, [...WITH_BACKUP, { type: 'answering', attempt: 1 }, { type: 'failed', attempt: 1, point: 'torn-answer', retryGranted: true }, { type: 'placed', endpoint: B }])
  expect(dropped.effects.at(-1)).toMatchObject({ type: 'start', attempt: 3 })
  const takenOver: RequestState = { ...run(BACKED_UP, RUNNING).state, attempt: 4 }
  expect(step(takenOver, { type: 'backup', endpoint: B }, 0).effects).toEqual([{ type: 'start-backup', endpoint: B, attempt: 5 }])
})

test.each<[string, Partial<RequestTraits>, RequestMessage[]]>([
  ['a request that may run once', { idempotent: false }, RUNNING],
  ['a request without attempts left', { maxAttempts: 1 }, RUNNING],
  ['a request that is bound to its attempt', {}, [...RUNNING, { type: 'bound' }]],
  ['a request that waits', {}, [{ type: 'begin' }]],
  ['a request at a delegate', {}, DELEGATED]
])('%s gets no backup', (_case, traits, msgs) => {
  const { state } = run({ ...BACKED_UP, ...traits }, msgs)
  expect(step(state, { type: 'backup', endpoint: B }, 0).effects).toEqual([])
})

test('whatever happens to an attempt and its backup, one of them answers, none is left running, and none is one too many', () => {
  // Guards against attempts that run on unseen, and against more of them than the route allows.
  const C = as<EndpointId>('c')
  const attempt = fc.integer({ min: 1, max: 4 })
  const msg = fc.oneof(
    fc.constantFrom<RequestMessage>({ type: 'placed', endpoint: A }, { type: 'backup', endpoint: B }, { type: 'backup', endpoint: C }, { type: 'bound' }, { type: 'hold' }, { type: 'caller-left' }, { type: 'deadline' }, { type: 'given-up', reason: 'leaves' }, { type: 'move', endpoint: C, mode: 'prefill' }),
    fc.record({ type: fc.constant('failed' as const), attempt, point: fc.constantFrom(...FAILURE_POINTS), retryGranted: fc.boolean() }),
    fc.record({ type: fc.constant('stopped' as const), attempt, confirmed: fc.boolean() }),
    fc.record({ type: fc.constant('answering' as const), attempt }),
    fc.record({ type: fc.constant('ended' as const), attempt })
  )
  fc.assert(fc.property(fc.array(msg, { maxLength: 25 }), fc.integer({ min: 1, max: 3 }), (msgs, maxAttempts) => {
    let state = newRequest({ ...TRAITS, idempotent: true, maxAttempts, cancelOnLeave: true })
    const running = new Set<number>()
    let finished = 0
    for (const each of msgs) {
      const before = state
      if ((each.type === 'hold' || each.type === 'move') && !canMove(state)) continue
      const next = step(state, each, 0)
      state = next.state
      const ends = (each.type === 'failed' && each.attempt === before.backup?.attempt) || ((each.type === 'failed' || each.type === 'ended') && each.attempt === before.attempt)
      if (ends && before.phase === 'running') running.delete(each.attempt)
      for (const effect of next.effects) {
        if (effect.type === 'start' || effect.type === 'start-backup') running.add(effect.attempt)
        if (effect.type === 'stop' || effect.type === 'stop-backup') running.delete(effect.attempt)
        if (effect.type === 'finish') finished++
      }
      const expected = state.phase === 'running' ? [state.attempt, ...state.backup ? [state.backup.attempt] : []] : []
      expect([...running].sort()).toEqual(expected.sort())
      expect(state.sent + running.size).toBeLessThanOrEqual(maxAttempts)
    }
    expect(finished).toBe(state.phase === 'done' ? 1 : 0)
  }), { seed: 72, numRuns: 5000 })
})
