import { IncomingMessage, ServerResponse } from 'node:http'
import { Socket } from 'node:net'
import fc from 'fast-check'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { sessionConfig } from '../../bench/_session.ts'
import type { AnswerHead } from '../../core/answer/index.ts'
import { toWorkClass } from '../../core/config/index.ts'
import { as, type EndpointId, type EndpointVersion, type Fingerprint } from '../../core/ids/index.ts'
import { AttemptError, FAILURE_POINTS, isNotRunStatus, outcomeAt, type FailurePoint } from '../../core/outcome/index.ts'
import { noWork, type EndpointView, type Route } from '../../core/routing/index.ts'
import { NO_TOKENS } from '../../core/work/index.ts'
import type { AttemptSink } from '../../endpoints/index.ts'
import { EndpointTable } from '../endpoints/endpoint_table.ts'
import { MemoryGuard } from '../memory/index.ts'
import { createMetrics } from '../metrics.ts'
import type { CrashWatch, QuarantineTask } from '../quarantine/index.ts'
import type { DelegatedSink } from '../request/delegated_run.ts'
import type { Dispatcher } from '../request/dispatcher.ts'
import type { Placement } from '../request/placement.ts'
import { RequestTask } from '../request/request_task.ts'
import { writeExchange } from './exchange_writer.ts'
import { LEAVING_REASON } from './refusal.ts'

const SPEED = { batchSlots: 8, prefillTokensPerS: 1, betweenTokensMs: 1, betweenTokensPerStreamMs: 0, exportTokensPerS: 0, importTokensPerS: 0 }
const VIEWS: EndpointView[] = ['e1', 'e2'].map((id) => ({ id: as(id), hostId: as(`host-${id}`), pool: as('models'), failureDomain: as('d'), address: '', pricePerHour: 0, reclaimable: false, speed: SPEED, firstMs: 0, latencyFactor: 1, others: noWork(), own: noWork(), leavingAtMs: undefined, ejectedUntilMs: 0 }))
const routeTo = (view: EndpointView): Route => ({ view, firstTokenMs: 10, meetsTarget: true, uncachedTokens: 0, unreadTokens: 0, lane: 'normal' })

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

/** One attempt, at an endpoint or at another daemon, and whether the request has run there as far as the endpoint knows. */
interface ModelAttempt {
  direct?: AttemptSink<Buffer>
  delegated?: DelegatedSink<Buffer>
  mayHaveRun: boolean
  isOpen: boolean
}

/** A request with a simulated dispatcher, endpoints and delegate, and the response to its caller. */
function createExchange ({ idempotent }: { idempotent: boolean }) {
  let placement: Placement | undefined
  const attempts: ModelAttempt[] = []
  const held = { isHeld: false }
  const metrics = createMetrics()
  const table = new EndpointTable({ self: as('d'), hash: (text) => text.length })
  table.applyHostList(VIEWS.map(({ id, hostId }) => ({ hostId, hostClass: 'any', failureDomain: as('d'), reclaimable: false, pricePerHour: 0, state: 'live', endpoint: { id, pool: as('models'), version: as<EndpointVersion>('v1'), address: '', speed: SPEED } })))
  const begin = (attempt: Omit<ModelAttempt, 'mayHaveRun' | 'isOpen'>) => {
    attempts.push({ ...attempt, mayHaveRun: true, isOpen: true })
    return { detach: () => {} }
  }
  const task = new RequestTask<Buffer>({
    work: { id: as('r'), account: as('a'), cls: { ...toWorkClass(sessionConfig().classes[1]!, true), idempotent, resumable: idempotent, maxAttempts: 3 }, pool: as('models'), demand: NO_TOKENS, claim: undefined, fingerprint: () => as<Fingerprint>('f') },
    runner: { start: (_view, _spec, sink) => begin({ direct: sink }), stop: async () => ({ stopped: true, pieces: [] }) },
    delegate: (_to, _spec, sink) => begin({ delegated: sink }),
    ports: {
      table,
      dispatcher: { place: (placed: Placement) => { placement = placed }, remove: () => { placement = undefined }, startQueued: () => {}, canStartNow: () => true } as Partial<Dispatcher> as Dispatcher,
      budget: { deposit: () => {}, tryWithdraw: () => true },
      metrics,
      crashes: { abandoned: () => {}, failed: () => {} } as Partial<CrashWatch> as CrashWatch,
      quarantine: { answered: () => {}, isSuspected: () => false, heldAt: () => (held.isHeld ? { suspect: as('f'), forMs: 5000 } : undefined) } as Partial<QuarantineTask> as QuarantineTask
    }
  })
  const res = new ServerResponse(new IncomingMessage(new Socket()))
  const heads = vi.spyOn(res, 'writeHead')
  writeExchange(res, task, { guard: new MemoryGuard({ metrics }), metrics, closeConnection: () => false, onError: (err) => { throw err } })
  const takePlacement = () => {
    const taken = placement
    placement = undefined
    return taken
  }
  const headersOf = (): string[] => (heads.mock.calls[0]?.[1] as unknown as string[] | undefined ?? []).map((each) => each.toLowerCase())
  return { task, res, attempts, held, takePlacement, headersOf, get waits () { return placement !== undefined } }
}

type Exchange = ReturnType<typeof createExchange>

/** One event in the life of a request. */
type Action = (exchange: Exchange) => void

const headOf = (status: number): AnswerHead => ({ status, headers: [['Verbenatiller-Server-Stamp', 's']] })
const openAttempt = ({ attempts, task }: Exchange): ModelAttempt | undefined => (task.final ? undefined : attempts.findLast(({ isOpen }) => isOpen))

/** The running attempt writes a part of its answer, and then ends it or fails. */
function answers (status: number, then: 'end' | 'go-on'): Action {
  return (exchange) => {
    const attempt = openAttempt(exchange)
    if (!attempt) return
    const { length } = exchange.task.answer
    attempt.isOpen = then === 'go-on'
    attempt.direct?.onHead?.(headOf(status))
    attempt.delegated?.onHead(headOf(status), { version: undefined })
    attempt.direct?.onChunk(length, [Buffer.from('x')])
    attempt.delegated?.onChunk(length, [Buffer.from('x')])
    if (then === 'end') (attempt.direct ?? attempt.delegated)!.onEnd(length + 1)
  }
}

function fails (point: FailurePoint, status: number): Action {
  return (exchange) => {
    const attempt = openAttempt(exchange)
    if (!attempt) return
    attempt.isOpen = false
    attempt.mayHaveRun = outcomeAt(point) === 'unknown'
    const err = new AttemptError('Cannot use answer', { point, ...(point === 'endpoint-error' && { answer: { head: headOf(status), body: Buffer.from('failed') } }) })
    if (attempt.direct) attempt.direct.onError(err)
    else attempt.delegated!.onError(err, attempt.mayHaveRun ? 1 : 0)
  }
}

const refusedByDelegate: Action = (exchange) => {
  const attempt = openAttempt(exchange)
  if (!attempt?.delegated) return
  attempt.isOpen = attempt.mayHaveRun = false
  attempt.delegated.onRefused('no room in time', 200)
}

const anyStatus = fc.constantFrom(200, 301, 400, 408, 421, 429, 500, 503, 504)
const action: fc.Arbitrary<Action> = fc.oneof(
  { weight: 4, arbitrary: fc.constantFrom<Action>(...VIEWS.map((view): Action => ({ takePlacement }) => takePlacement()?.placed(view, routeTo(view)))) },
  { weight: 2, arbitrary: fc.constant<Action>(({ takePlacement }) => takePlacement()?.delegated?.({ id: as('other'), inFlight: 0, offerAgeMs: 0, activityAgeMs: 0 })) },
  { weight: 4, arbitrary: fc.tuple(fc.constantFrom(...FAILURE_POINTS), anyStatus).map(([point, status]) => fails(point, status)) },
  { weight: 3, arbitrary: fc.tuple(anyStatus, fc.constantFrom<'end' | 'go-on'>('end', 'go-on')).map(([status, then]) => answers(status, then)) },
  fc.constantFrom<Action>(
    refusedByDelegate,
    ({ takePlacement }) => takePlacement()?.refused('no room in time', 200),
    ({ task, waits }) => { if (waits) task.post({ type: 'refused', reason: LEAVING_REASON, retryAfterMs: 50 }) },
    ({ task }) => task.post({ type: 'given-up', reason: LEAVING_REASON }),
    ({ task }) => task.post({ type: 'deadline' }),
    ({ task, held }) => {
      held.isHeld = true
      task.quarantineChanged()
      held.isHeld = false
    },
    ({ task }) => task.post({ type: 'move', endpoint: as<EndpointId>('e2'), mode: 'import' }),
    ({ task }) => task.pathLost({ isFinal: true })
  )
)

test('no order of events ends a request that may have run, and may run only once, with a promise that it has not', () => {
  // Guards against callers that send a request again which an endpoint runs, however it ended.
  const ends = { promised: 0, mayHaveRun: 0 }
  fc.assert(fc.property(fc.array(action, { maxLength: 12 }), (actions) => {
    const exchange = createExchange({ idempotent: false })
    exchange.task.post({ type: 'begin' })
    for (const act of actions) act(exchange)
    exchange.task.post({ type: 'deadline' })
    const { res, attempts } = exchange
    const mayHaveRun = attempts.some((attempt) => attempt.mayHaveRun)
    expect([res.headersSent, exchange.task.final !== undefined]).toEqual([true, true])
    if (isNotRunStatus(res.statusCode)) expect(mayHaveRun).toBe(false)
    if (exchange.task.final!.outcome === 'unknown') expect(exchange.headersOf()).not.toContain('retry-after')
    if (isNotRunStatus(res.statusCode)) ends.promised++
    if (mayHaveRun) ends.mayHaveRun++
  }), { seed: 84, numRuns: 3000 })
  expect(Math.min(ends.promised, ends.mayHaveRun)).toBeGreaterThan(300)
})
