import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, type EndpointId, type Fingerprint } from '../../core/ids/index.ts'
import { toWorkClass } from '../../core/config/index.ts'
import { noWork, type EndpointView, type Route } from '../../core/routing/index.ts'
import { NO_TOKENS } from '../../core/work/index.ts'
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
const HELD_MS = 5000
const speed = { batchSlots: 8, prefillTokensPerS: 1, betweenTokensMs: 1, betweenTokensPerStreamMs: 0, exportTokensPerS: 0, importTokensPerS: 0 }
const VIEW: EndpointView = { id: E1, hostId: as('h'), pool: as('models'), failureDomain: as('d'), address: '', pricePerHour: 0, reclaimable: false, speed, firstMs: 0, latencyFactor: 1, others: noWork(), own: noWork(), leavingAtMs: undefined, ejectedUntilMs: 0 }
const ROUTE: Route = { view: VIEW, firstTokenMs: 10, meetsTarget: true, uncachedTokens: 0, unreadTokens: 0, lane: 'normal' }

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

/** Creates a request with a simulated dispatcher and endpoint. */
function createRequest () {
  const placements: Placement[] = []
  const sinks: Array<AttemptSink<string>> = []
  const stopped: EndpointId[] = []
  const blamed: string[] = []
  const held = { forMs: undefined as number | undefined }
  const table = new EndpointTable({ self: as('d'), hash: (text) => text.length })
  table.applyHostList([{ hostId: VIEW.hostId, hostClass: 'any', failureDomain: VIEW.failureDomain, reclaimable: false, pricePerHour: 0, state: 'live', endpoint: { id: E1, pool: VIEW.pool, address: '', speed } }])
  vi.spyOn(table, 'failed').mockImplementation(() => { blamed.push('table') })
  const task = new RequestTask<string>({
    work: { id: as('r'), account: as('a'), cls: toWorkClass(sessionConfig().classes[1]!, true), pool: VIEW.pool, demand: NO_TOKENS, claim: undefined, fingerprint: () => as<Fingerprint>('f') },
    runner: {
      start: (_view, _spec, sink) => {
        sinks.push(sink)
        return { detach: () => { stopped.push(E1) } }
      },
      stop: async () => ({ stopped: true, pieces: [] })
    },
    ports: {
      table,
      dispatcher: { place: (placement: Placement) => { placements.push(placement) }, remove: () => {}, startQueued: () => {} } as Partial<Dispatcher> as Dispatcher,
      budget: { deposit: () => {}, tryWithdraw: () => true },
      metrics: createMetrics(),
      crashes: { abandoned: () => {}, failed: () => { blamed.push('crashes') } } as Partial<CrashWatch> as CrashWatch,
      paths: { canSend: () => true, suspect: () => { blamed.push('path') } } as Partial<PathWatch> as PathWatch,
      quarantine: { isSuspected: () => false, heldAt: () => (held.forMs === undefined ? undefined : { suspect: as('f'), forMs: held.forMs }) } as Partial<QuarantineTask> as QuarantineTask
    }
  })
  task.post({ type: 'begin' })
  return { task, placements, sinks, stopped, held, blamed }
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
