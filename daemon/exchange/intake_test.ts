import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { RouteTable, UrgencyClassifier, type Account, type Route } from '../../core/catalog/index.ts'
import { as, type AccountId, type DaemonId, type PoolName, type RequestId, type StreamKey } from '../../core/ids/index.ts'
import { delay, steadyNow } from '../../core/time/index.ts'
import { createMetrics } from '../metrics.ts'
import { Intake, type CatalogIndex, type IntakeOptions } from './intake.ts'
import type { AdmittedStream } from './stream_admission.ts'

const ROUTE_TIMEOUT_MS = 3000
const POOL = as<PoolName>('desk')

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

function catalog (): CatalogIndex {
  const cls = { name: as<never>('check'), idempotent: true, streaming: false, resumable: false, cancelOnLeave: true, maxAttempts: 2, priority: 0, urgent: false, latency: { firstTokenMs: 200, betweenTokensMs: undefined, deadlineMs: ROUTE_TIMEOUT_MS }, delivery: 0.999 }
  const routes: Route[] = [{ host: 'a.example', pathPrefix: '/', cls, pools: [{ pool: POOL, weight: 1 }], anonymous: false }]
  const account: Account = { id: as('council'), priority: undefined, quota: undefined }
  return { routes: new RouteTable(routes), urgency: new UrgencyClassifier(routes), accounts: { byId: new Map([[account.id, account]]), byCredential: new Map([['key', account]]) }, pools: new Map() }
}

/** An intake whose quota keeper takes a while to grant a charge. */
function intakeWith ({ quotaWaitMs, catalogWaitMs = 0, stream }: { quotaWaitMs: number, catalogWaitMs?: number, stream?: AdmittedStream }): Intake {
  const knownAtMs = steadyNow() + catalogWaitMs
  return new Intake({
    metrics: createMetrics(),
    random: () => 0,
    catalog: () => (steadyNow() >= knownAtMs ? catalog() : undefined),
    known: delay(catalogWaitMs),
    limits: { charge: async () => { await delay(quotaWaitMs); return { giveBack: () => {} } } },
    budgetOf: () => ({ deposit: () => {}, tryWithdraw: () => true }),
    configState: () => ({ revision: 1, revisionAgeMs: 0 }),
    table: { backOffMs: () => 0 },
    streams: { admit: async () => stream },
    dispatcher: { remove: () => {}, startQueued: () => {} },
    quarantine: { heldAt: () => undefined }
  } as unknown as IntakeOptions)
}

const request = (deadlineInMs: number | undefined) => ({ id: as<RequestId>('r1'), method: 'GET', target: '/check', host: 'a.example', headers: [], credential: 'key', deadlineInMs, demand: undefined, resumeFrom: 0, streamId: undefined, body: Buffer.alloc(0) })

test.each([
  { deadlineInMs: undefined, endsAfterMs: ROUTE_TIMEOUT_MS },
  { deadlineInMs: 1800, endsAfterMs: 1800 }
])('the time for which a request is held for its quota or a configuration counts towards its time limit', async ({ deadlineInMs, endsAfterMs }) => {
  // Guards against requests that are answered later than their route allows while the quota keeper is being replaced.
  const intake = intakeWith({ quotaWaitMs: 900, catalogWaitMs: 600 })
  const arrivedAtMs = steadyNow()
  const accepted = intake.accept(request(deadlineInMs))
  await vi.advanceTimersByTimeAsync(1500)
  const task = await accepted
  expect(task.state.traits.deadlineAtMs).toBe(arrivedAtMs + endsAfterMs)
  task.abandon()
})

test('a late notice that a stream was resumed elsewhere ends no newer run of it', async () => {
  // Guards against a caller that is back at this daemon sooner than the notice of its try at another one.
  const stream = { key: as<StreamKey>('stream'), boundTo: { pool: POOL, version: undefined }, daemon: undefined, lifeMs: 30_000, isSplit: false, origin: { host: 'a.example', path: '/' } }
  const intake = intakeWith({ quotaWaitMs: 0, stream })
  const accept = async (id: string, resumeFrom: number) => {
    const accepted = intake.accept({ ...request(undefined), id: as<RequestId>(id), resumeFrom })
    await vi.advanceTimersByTimeAsync(1)
    return await accepted
  }
  const [first, third] = [await accept('first', 0), await accept('third', 5)]
  expect(intake.streamResumed(stream.key, { by: as<DaemonId>('other'), from: 5 })).toBe(false)
  expect([first.final?.outcome, third.final]).toEqual(['not-run', undefined])
  expect(intake.streamResumed(stream.key, { by: as<DaemonId>('other'), from: 6 })).toBe(true)
  expect(third.final?.outcome).toBe('not-run')
})

test('a request that another daemon has admitted is not charged, counted or added to the retry budget here again', async () => {
  // Guards against quotas, usage and budgets that count a request at its own daemon and at the one that runs it.
  const counted: string[] = []
  const count = (what: string) => () => { counted.push(what) }
  const intake = new Intake({
    metrics: createMetrics(),
    random: () => 0,
    catalog,
    limits: { charge: count('quota') },
    usage: { began: count('usage') },
    orders: { asked: count('demand') },
    answers: { asked: count('rollout') },
    budgetOf: () => ({ deposit: count('budget'), tryWithdraw: () => true }),
    table: {},
    dispatcher: { remove: () => {} },
    quarantine: { heldAt: () => undefined }
  } as unknown as IntakeOptions)
  const query = { req: { ...request(1000), account: as<AccountId>('council') }, pool: POOL, deadlineInMs: 400, maxAttempts: 1 }
  const task = intake.acceptDelegated(query, as<DaemonId>('origin'))!
  task.onBegun()
  expect([counted, task.state.traits.maxAttempts, task.state.traits.deadlineAtMs - steadyNow(), [...intake.open]]).toEqual([[], 1, 400, [task]])
  task.abandon()
  const refused = [{ ...query, pool: as<PoolName>('other') }, { ...query, req: { ...query.req, account: as<AccountId>('unknown') } }, { ...query, req: { ...query.req, account: undefined } }, { ...query, req: { ...query.req, host: 'b.example' } }]
  expect(refused.map((each) => intake.acceptDelegated(each, as<DaemonId>('origin')))).toEqual([undefined, undefined, undefined, undefined])
})
