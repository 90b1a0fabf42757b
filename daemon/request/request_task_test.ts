import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, type EndpointId, type EndpointVersion, type Fingerprint } from '../../core/ids/index.ts'
import { toWorkClass } from '../../core/config/index.ts'
import { noWork, type EndpointView, type Route } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { NO_TOKENS, type WorkClass } from '../../core/work/index.ts'
import { sessionConfig } from '../../bench/_session.ts'
import type { Header } from '../../core/answer/index.ts'
import { AttemptError, type FailurePoint } from '../../core/outcome/index.ts'
import type { AttemptSink } from '../../endpoints/index.ts'
import { EndpointTable } from '../endpoints/endpoint_table.ts'
import { createMetrics } from '../metrics.ts'
import type { PathWatch } from '../paths/index.ts'
import type { CrashWatch, QuarantineTask } from '../quarantine/index.ts'
import type { Dispatcher } from './dispatcher.ts'
import type { Placement } from './placement.ts'
import { RequestTask } from './request_task.ts'
import { QUARANTINED_REASON } from './work.ts'

const E1 = as<EndpointId>('e1')
const V1 = as<EndpointVersion>('v1')
const HELD_MS = 5000
const speed = { batchSlots: 8, prefillTokensPerS: 1, betweenTokensMs: 1, betweenTokensPerStreamMs: 0, exportTokensPerS: 0, importTokensPerS: 0 }
const VIEW: EndpointView = { id: E1, hostId: as('h'), pool: as('models'), failureDomain: as('d'), address: '', pricePerHour: 0, reclaimable: false, speed, firstMs: 0, latencyFactor: 1, others: noWork(), own: noWork(), leavingAtMs: undefined, ejectedUntilMs: 0 }
const E2 = as<EndpointId>('e2')
const E2_VIEW: EndpointView = { ...VIEW, id: E2, hostId: as('h2') }
const ROUTE: Route = { view: VIEW, firstTokenMs: 10, meetsTarget: true, uncachedTokens: 0, unreadTokens: 0, lane: 'normal' }

const RESUMABLE = { idempotent: true, streaming: true, resumable: true, maxAttempts: 2 }
const EVENTS = { status: 200, headers: [['content-type', 'text/event-stream']] as Header[] }

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

/** Creates a request with a simulated dispatcher and endpoint. */
function createRequest (cls: Partial<WorkClass> = {}) {
  const placements: Placement[] = []
  const sinks: Array<AttemptSink<string>> = []
  const stopped: EndpointId[] = []
  const blamed: string[] = []
  const held = { forMs: undefined as number | undefined }
  const elsewhere = { hasRoom: true, starts: true, isPaid: true, start: () => {} }
  const withdrawn: boolean[] = []
  const table = new EndpointTable({ self: as('d'), hash: (text) => text.length })
  table.applyHostList([VIEW, E2_VIEW].map(({ id, hostId }) => ({ hostId, hostClass: 'any', failureDomain: VIEW.failureDomain, reclaimable: false, pricePerHour: 0, state: 'live', endpoint: { id, pool: VIEW.pool, version: V1, address: '', speed } })))
  vi.spyOn(table, 'failed').mockImplementation(() => { blamed.push('table') })
  const task = new RequestTask<string>({
    work: { id: as('r'), account: as('a'), cls: { ...toWorkClass(sessionConfig().classes[1]!, true), ...cls }, pool: VIEW.pool, demand: NO_TOKENS, claim: undefined, fingerprint: () => as<Fingerprint>('f') },
    runner: {
      start: (view, _spec, sink) => {
        sinks.push(sink)
        return { detach: () => { stopped.push(view.id) } }
      },
      stop: async () => ({ stopped: true, pieces: [] })
    },
    ports: {
      table,
      dispatcher: {
        place: (placement: Placement) => { placements.push(placement) },
        remove: () => { elsewhere.start = () => {} },
        startQueued: () => {},
        canStartNow: () => elsewhere.hasRoom,
        startOnceRoom: (placement: Placement) => {
          elsewhere.start = () => { if (placement.mayStart?.() !== false) placement.placed(E2_VIEW, ROUTE) }
          if (elsewhere.starts) elsewhere.start()
        }
      } as Partial<Dispatcher> as Dispatcher,
      budget: { deposit: () => {}, tryWithdraw: (endpointGone) => elsewhere.isPaid && withdrawn.push(endpointGone) > 0 },
      metrics: createMetrics(),
      crashes: { abandoned: () => {}, failed: () => { blamed.push('crashes') } } as Partial<CrashWatch> as CrashWatch,
      paths: { canSend: () => true, suspect: () => { blamed.push('path') } } as Partial<PathWatch> as PathWatch,
      quarantine: { answered: () => {}, isSuspected: () => false, heldAt: () => (held.forMs === undefined ? undefined : { suspect: as('f'), forMs: held.forMs }) } as Partial<QuarantineTask> as QuarantineTask
    }
  })
  task.post({ type: 'begin' })
  return { task, table, placements, sinks, stopped, held, blamed, elsewhere, withdrawn }
}

test('a request that is quarantined while queued is not sent to an endpoint', () => {
  const { task, placements, sinks, held } = createRequest()
  held.forMs = HELD_MS
  placements[0]!.placed(VIEW, ROUTE)
  expect(sinks).toHaveLength(0)
  expect(task.final).toMatchObject({ outcome: 'not-run', reason: QUARANTINED_REASON, retryAfterMs: HELD_MS })
})

test('a request that is quarantined before its endpoint has begun to answer is stopped', () => {
  const { task, placements, stopped, held } = createRequest()
  placements[0]!.placed(VIEW, ROUTE)
  task.quarantineChanged()
  expect(task.final).toBeUndefined()
  held.forMs = HELD_MS
  task.quarantineChanged()
  expect(stopped).toEqual([E1])
  expect(task.final).toMatchObject({ outcome: 'unknown', reason: QUARANTINED_REASON })
})

test('a request that its endpoint has begun to answer finishes despite a quarantine', () => {
  const { task, placements, sinks, held } = createRequest()
  placements[0]!.placed(VIEW, ROUTE)
  sinks[0]!.onChunk(0, ['piece'])
  held.forMs = HELD_MS
  task.quarantineChanged()
  expect(task.final).toBeUndefined()
})

test.each<{ point: FailurePoint, paused: boolean, blames: string[] }>([
  { point: 'torn-answer', paused: true, blames: [] },
  { point: 'reset-after-send', paused: true, blames: [] },
  { point: 'torn-answer', paused: false, blames: ['crashes', 'path', 'table'] },
  { point: 'connect-refused', paused: true, blames: ['crashes', 'path'] },
  { point: 'endpoint-error', paused: true, blames: ['crashes', 'table'] }
])('a failed attempt ($point, paused: $paused) counts against $blames', ({ point, paused, blames }) => {
  // Guards against endpoints that are taken out of use since their callers do not read.
  const { task, placements, sinks, blamed } = createRequest()
  placements[0]!.placed(VIEW, ROUTE)
  if (paused) task.flow.pause()
  sinks[0]!.onError(new AttemptError('Cannot read answer', { point }))
  expect(blamed).toEqual(blames)
})

test('an attempt whose path is lost is given up only once another endpoint can take its request', async () => {
  // Guards against requests that wait without an attempt although theirs would have been answered.
  const affect = (task: RequestTask<string>) => task.pathLost({ isFinal: false })
  const { task, placements, sinks, stopped, elsewhere } = createRequest({ idempotent: true, streaming: true, resumable: true, maxAttempts: 3 })
  placements[0]!.placed(VIEW, ROUTE)
  elsewhere.hasRoom = false
  affect(task)
  await vi.advanceTimersByTimeAsync(0)
  expect([placements.length, stopped]).toEqual([1, []])
  elsewhere.hasRoom = true
  affect(task)
  await vi.advanceTimersByTimeAsync(0)
  expect([placements.length, stopped]).toEqual([2, [E1]])
  expect(sinks).toHaveLength(1)
})

test('an attempt at a version that must receive no more work is given up only once another endpoint answers its request', () => {
  // Guards against streams that wait without an attempt: all streams of the version look for the same free places.
  const { task, placements, sinks, stopped, elsewhere } = createRequest(RESUMABLE)
  placements[0]!.placed(VIEW, ROUTE)
  elsewhere.starts = false
  task.moveOffVersion(VIEW.pool, V1)
  expect([sinks.length, stopped]).toEqual([1, []])
  elsewhere.start()
  expect([sinks.length, stopped]).toEqual([2, []])
  sinks[1]!.onHead!(EVENTS)
  sinks[1]!.onChunk(0, ['one'])
  expect([task.runningAt, stopped]).toEqual([E2, [E1]])
})

test('a path that is lost for good ends its attempt whether or not another endpoint can take its request', () => {
  const { task, placements, elsewhere } = createRequest({ idempotent: true, maxAttempts: 3 })
  placements[0]!.placed(VIEW, ROUTE)
  elsewhere.hasRoom = false
  task.pathLost({ isFinal: true })
  expect(placements).toHaveLength(2)
})

/** A stream with two events whose endpoint is silent, and which has a backup at another one. */
function withBackup (cls: Partial<WorkClass> = {}) {
  const request = createRequest({ ...RESUMABLE, ...cls })
  request.placements[0]!.placed(VIEW, ROUTE)
  const [current] = request.sinks
  current!.onHead!(EVENTS)
  current!.onChunk(0, ['one', 'two'])
  request.task.handleStall()
  return { ...request, current: current!, backup: request.sinks[1]! }
}

test('the events of a backup follow those that the caller has, and the silent attempt is stopped', () => {
  const { task, stopped, current, backup } = withBackup()
  backup.onHead!(EVENTS)
  expect(stopped).toEqual([])
  backup.onChunk(2, ['three'])
  expect(stopped).toEqual([E1])
  current.onChunk(2, ['late'])
  backup.onChunk(3, ['four'])
  backup.onEnd(4)
  expect([task.answer.pieces, task.final?.outcome]).toEqual([['one', 'two', 'three', 'four'], 'answered'])
})

test('a silent attempt that goes on stops its backup, of which nothing is passed on', () => {
  // Guards against events of two runs in one answer.
  const { task, stopped, current, backup } = withBackup()
  current.onChunk(2, ['three'])
  expect(stopped).toEqual([E2])
  backup.onChunk(2, ['other'])
  backup.onEnd(3)
  expect(task.final).toBeUndefined()
  current.onEnd(3)
  expect([task.answer.pieces, task.final?.outcome]).toEqual([['one', 'two', 'three'], 'answered'])
})

test('an answer that does not continue the events of its caller ends the backup only', () => {
  const { task, current, backup } = withBackup()
  backup.onHead!({ status: 404, headers: [] })
  backup.onEnd(2)
  expect(task.final).toBeUndefined()
  current.onChunk(2, ['three'])
  current.onEnd(3)
  expect([task.answer.pieces, task.final?.outcome]).toEqual([['one', 'two', 'three'], 'answered'])
})

test('a request goes on with its backup when the silent attempt fails, and the other way round', () => {
  const first = withBackup()
  first.current.onError(new AttemptError('Cannot read answer', { point: 'torn-answer' }))
  expect(first.task.final).toBeUndefined()
  first.backup.onHead!(EVENTS)
  first.backup.onChunk(2, ['three'])
  first.backup.onEnd(3)
  expect([first.task.answer.pieces, first.task.final?.outcome]).toEqual([['one', 'two', 'three'], 'answered'])
  const second = withBackup()
  second.backup.onError(new AttemptError('Cannot send request', { point: 'endpoint-said-not-run' }))
  second.current.onEnd(2)
  expect(second.task.final?.outcome).toBe('answered')
})

test('the end of a request ends its attempt and its backup', () => {
  // Guards against endpoints that go on with a request that nobody waits for.
  const { task, stopped } = withBackup({ cancelOnLeave: true })
  task.post({ type: 'deadline' })
  expect(stopped.toSorted()).toEqual([E1, E2])
  expect(task.final?.outcome).toBe('unknown')
})

test('the retry budget is spent only for a backup that is sent', () => {
  // Guards against a budget that silent attempts empty without a retry.
  const { task, placements, elsewhere, withdrawn, sinks } = createRequest(RESUMABLE)
  placements[0]!.placed(VIEW, ROUTE)
  elsewhere.starts = false
  for (let i = 0; i < 5; i++) task.handleStall()
  expect([withdrawn.length, sinks.length]).toEqual([0, 1])
  elsewhere.start()
  for (let i = 0; i < 5; i++) task.handleStall()
  expect([withdrawn.length, sinks.length]).toEqual([1, 2])
})

test.each([
  ['goes on', (sink: AttemptSink<string>) => sink.onChunk(0, ['one'])],
  ['fails', (sink: AttemptSink<string>) => sink.onError(new AttemptError('Cannot read answer', { point: 'torn-answer' }))],
  ['ends', (sink: AttemptSink<string>) => sink.onEnd(0)]
])('a backup that waits for room is withdrawn when the silent attempt %s', (_case, happens) => {
  // Guards against a request that is sent once more although nothing waits for it.
  const { task, placements, elsewhere, sinks } = createRequest(RESUMABLE)
  placements[0]!.placed(VIEW, ROUTE)
  elsewhere.starts = false
  task.handleStall()
  happens(sinks[0]!)
  elsewhere.start()
  expect(sinks).toHaveLength(1)
})

test('a backup that is silent as well is replaced while the route allows another attempt', () => {
  // Guards against a request that waits for two silent endpoints while others could take it.
  for (const [maxAttempts, attempts] of [[2, 2], [3, 3]] as const) {
    const { task, sinks, stopped } = withBackup({ maxAttempts })
    task.handleStall()
    expect(sinks).toHaveLength(2)
    vi.advanceTimersByTime(10_000)
    task.handleStall()
    expect([sinks.length, stopped.length]).toEqual([attempts, attempts - 2])
  }
})

test.each([
  ['the endpoint of the backup sends', E2],
  ['the endpoint of the silent attempt sends', E1],
  ['neither endpoint sends', undefined]
])('neither a silent attempt nor its backup is given up before one of them answers, while %s something else', (_case, active) => {
  // Guards against an attempt that is given up for one that waits at its endpoint, or was never sent.
  const { task, table, stopped, backup } = withBackup()
  for (let i = 0; i < 10; i++) {
    vi.advanceTimersByTime(100)
    if (active) table.recordActivity(active)
    task.handleStall()
  }
  expect(stopped).toEqual([])
  backup.onHead!(EVENTS)
  backup.onChunk(2, ['three'])
  expect(stopped).toEqual([E1])
})

test('a path that may recover ends no attempt for which the retry budget has nothing left', () => {
  // Guards against requests that are failed although their path recovers.
  const { task, placements, elsewhere, stopped } = createRequest(RESUMABLE)
  placements[0]!.placed(VIEW, ROUTE)
  elsewhere.isPaid = false
  task.pathLost({ isFinal: false })
  expect([stopped, task.final]).toEqual([[], undefined])
  task.pathLost({ isFinal: true })
  expect(task.final?.outcome).toBe('unknown')
})

test('an attempt whose endpoint sends blocks that are no events is not silent', () => {
  // Guards against a second endpoint that works on a request whose own endpoint keeps the connection alive.
  const { task, stopped, current, backup } = withBackup()
  current.onWithoutId!()
  expect(stopped).toEqual([E2])
  const before = steadyNow()
  vi.advanceTimersByTime(2000)
  current.onWithoutId!()
  expect(task.progress!.lastPieceAtMs! - before).toBe(2000)
  backup.onChunk(2, ['other'])
  expect(task.answer.length).toBe(2)
})

test('a path that may recover ends no attempt for a backup that has not answered', () => {
  // Guards against a stream that is failed when its backup is refused, although the path to its endpoint recovers.
  const { task, stopped, backup } = withBackup()
  task.pathLost({ isFinal: false })
  expect(stopped).toEqual([])
  backup.onError(new AttemptError('Cannot send request', { point: 'endpoint-said-not-run' }))
  expect([task.final?.outcome, task.runningAt]).toEqual([undefined, E1])
})

test('a backup whose connection is not open yet does not take the place of a silent attempt whose endpoint works again', () => {
  // Guards against an attempt that is given up for one that was never sent.
  const { task, table, stopped, backup } = withBackup()
  vi.advanceTimersByTime(300)
  table.recordActivity(E1)
  task.handleStall()
  expect(stopped).toEqual([])
  backup.onError(new AttemptError('Cannot send request', { point: 'connect-timeout' }))
  expect(task.runningAt).toBe(E1)
})

test('a request of which an attempt cannot be started ends, and its daemon goes on', () => {
  // Guards against a request that stays open without an answer because an error left it handling a message.
  const { task, placements } = createRequest()
  vi.spyOn(RequestTask.prototype as unknown as { sink (): unknown }, 'sink').mockImplementationOnce(() => { throw new TypeError('broken') })
  const notified = vi.fn()
  task.subscribe(notified)
  expect(() => placements[0]!.placed(VIEW, ROUTE)).not.toThrow()
  expect(task.final).toMatchObject({ outcome: 'unknown' })
  expect(notified).toHaveBeenCalled()
  expect(task.decisions.map(({ text }) => text)).toContain('the daemon failed: broken')
})

test('a request that fails before its first attempt has not run', () => {
  const { task, placements, held } = createRequest()
  held.forMs = HELD_MS
  vi.spyOn(task, 'recordDecision').mockImplementationOnce(() => { throw new TypeError('broken') })
  expect(() => task.post({ type: 'refused', reason: 'no room' })).not.toThrow()
  expect(task.final).toMatchObject({ outcome: 'not-run' })
  expect(placements).toHaveLength(1)
})

test('a request is answered although the observer of its end fails', () => {
  const { task, placements, sinks } = createRequest()
  task.onFinish = () => { throw new TypeError('broken') }
  let final: unknown
  task.subscribe(() => { final = task.final })
  placements[0]!.placed(VIEW, ROUTE)
  sinks[0]!.onEnd(0)
  expect(final).toMatchObject({ outcome: 'answered' })
})

test('a backup whose endpoint is not listed any more is given up, and the attempt before it goes on', () => {
  // Guards against an error that leaves the request without an end.
  const { task, placements, sinks, table, elsewhere } = createRequest(RESUMABLE)
  elsewhere.starts = false
  placements[0]!.placed(VIEW, ROUTE)
  task.handleStall()
  const { get } = table
  vi.spyOn(table, 'get').mockImplementation((id) => (id === E2 ? undefined : get.call(table, id)))
  elsewhere.start()
  expect(task.state).toMatchObject({ phase: 'running', backup: undefined })
  sinks[0]!.onEnd(0)
  expect(task.final).toMatchObject({ outcome: 'answered' })
})
