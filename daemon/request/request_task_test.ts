import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, type EndpointId, type EndpointVersion, type Fingerprint } from '../../core/ids/index.ts'
import { toWorkClass } from '../../core/config/index.ts'
import { noWork, type EndpointView, type Route } from '../../core/routing/index.ts'
import { NO_TOKENS, type WorkClass } from '../../core/work/index.ts'
import { sessionConfig } from '../../bench/_session.ts'
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
const ROUTE: Route = { view: VIEW, firstTokenMs: 10, meetsTarget: true, uncachedTokens: 0, unreadTokens: 0, lane: 'normal' }

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

/** Creates a request with a simulated dispatcher and endpoint. */
function createRequest (cls: Partial<WorkClass> = {}) {
  const placements: Placement[] = []
  const sinks: Array<AttemptSink<string>> = []
  const stopped: EndpointId[] = []
  const blamed: string[] = []
  const held = { forMs: undefined as number | undefined }
  const elsewhere = { hasRoom: true }
  const table = new EndpointTable({ self: as('d'), hash: (text) => text.length })
  table.applyHostList([{ hostId: VIEW.hostId, hostClass: 'any', failureDomain: VIEW.failureDomain, reclaimable: false, pricePerHour: 0, state: 'live', endpoint: { id: E1, pool: VIEW.pool, version: V1, address: '', speed } }])
  vi.spyOn(table, 'failed').mockImplementation(() => { blamed.push('table') })
  const task = new RequestTask<string>({
    work: { id: as('r'), account: as('a'), cls: { ...toWorkClass(sessionConfig().classes[1]!, true), ...cls }, pool: VIEW.pool, demand: NO_TOKENS, claim: undefined, fingerprint: () => as<Fingerprint>('f') },
    runner: {
      start: (_view, _spec, sink) => {
        sinks.push(sink)
        return { detach: () => { stopped.push(E1) } }
      },
      stop: async () => ({ stopped: true, pieces: [] })
    },
    ports: {
      table,
      dispatcher: { place: (placement: Placement) => { placements.push(placement) }, remove: () => {}, startQueued: () => {}, canStartNow: () => elsewhere.hasRoom } as Partial<Dispatcher> as Dispatcher,
      budget: { deposit: () => {}, tryWithdraw: () => true },
      metrics: createMetrics(),
      crashes: { abandoned: () => {}, failed: () => { blamed.push('crashes') } } as Partial<CrashWatch> as CrashWatch,
      paths: { canSend: () => true, suspect: () => { blamed.push('path') } } as Partial<PathWatch> as PathWatch,
      quarantine: { isSuspected: () => false, heldAt: () => (held.forMs === undefined ? undefined : { suspect: as('f'), forMs: held.forMs }) } as Partial<QuarantineTask> as QuarantineTask
    }
  })
  task.post({ type: 'begin' })
  return { task, placements, sinks, stopped, held, blamed, elsewhere }
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

test.each([
  ['whose path is lost', (task: RequestTask<string>) => task.pathLost({ isFinal: false })],
  ['at a version that must receive no more work', (task: RequestTask<string>) => task.moveOffVersion(VIEW.pool, V1)]
])('an attempt %s is given up only once another endpoint can take its request', async (_case, affect) => {
  // Guards against requests that wait without an attempt although theirs would have been answered.
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

test('a path that is lost for good ends its attempt whether or not another endpoint can take its request', () => {
  const { task, placements, elsewhere } = createRequest({ idempotent: true, maxAttempts: 3 })
  placements[0]!.placed(VIEW, ROUTE)
  elsewhere.hasRoom = false
  task.pathLost({ isFinal: true })
  expect(placements).toHaveLength(2)
})
