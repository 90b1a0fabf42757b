import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, type EndpointId, type EndpointVersion, type FailureDomain, type Fingerprint, type Region, type RequestId } from '../../core/ids/index.ts'
import { toWorkClass } from '../../core/config/index.ts'
import type { Route } from '../../core/routing/index.ts'
import { delay, steadyNow } from '../../core/time/index.ts'
import { AttemptError } from '../../core/outcome/index.ts'
import { RegionTopology } from '../../core/topology/index.ts'
import { sessionConfig } from '../../bench/_session.ts'
import type { AttemptSink, KvMover, KvOrder, KvOrderResult, ListedHost, RunsReport } from '../../endpoints/index.ts'
import { EndpointTable } from '../endpoints/endpoint_table.ts'
import { createMetrics } from '../metrics.ts'
import type { CrashWatch, QuarantineTask } from '../quarantine/index.ts'
import type { Dispatcher } from '../request/dispatcher.ts'
import type { Placement } from '../request/placement.ts'
import { RequestTask } from '../request/request_task.ts'
import { MoveDirector } from './move_director.ts'

const POOL = as<never>('llm')
const SOURCE = as<EndpointId>('source')
const NOTICE_MS = 2500
const LEAVING_MS = 2000
const SPEED = { batchSlots: 4, prefillTokensPerS: 1000, betweenTokensMs: 25, betweenTokensPerStreamMs: 0, exportTokensPerS: 1000, importTokensPerS: 1000 }
const ENGINE = { batchSlots: 4, kvTokens: 100_000, kvBytesPerToken: 1000, handleMs: 5000, movesKv: true, backsUpKv: false }
const REGIONS = new Map([['a', 'north'], ['b', 'north'], ['c', 'south']].map(([name, region]) => [as<FailureDomain>(name!), as<Region>(region!)]))

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

function host (name: string, domain: string, version = 'v1'): ListedHost {
  return { hostId: as(name), hostClass: 'any', failureDomain: as(domain), reclaimable: true, pricePerHour: 0, state: 'live', endpoint: { id: as(name), pool: POOL, address: `${name}:1`, speed: SPEED, version: as<EndpointVersion>(version) } }
}

interface SetUpOptions {
  hosts?: readonly ListedHost[]
  resumable?: boolean
  engine?: Partial<typeof ENGINE>
  /** Endpoints that the quarantine keeps the requests from. */
  held?: readonly string[]
  /** Answers to orders. Default: done. */
  answer?: (order: KvOrder, type: 'prepare' | 'commit') => KvOrderResult | Promise<KvOrderResult>
  noticeMs?: number
  /** What the source reports. Default: unknown. */
  runsReport?: () => RunsReport
  /** Arrivals that the retry budget allows. */
  budget?: number
}

/** Streams at the source, and a port that records the orders. */
function setUp ({ hosts = [host('near', 'b')], resumable = false, engine = {}, held = [], answer = () => ({ type: 'done', handle: 'h', events: 2 }), noticeMs = NOTICE_MS, budget = 10, runsReport = () => 'unknown' }: SetUpOptions = {}) {
  let withdrawals = 0
  const orders: string[] = []
  const limits: number[] = []
  const failures: string[] = []
  const starts: string[] = []
  const sinks: Array<AttemptSink<Buffer>> = []
  const tasks: Array<RequestTask<Buffer>> = []
  const table = new EndpointTable({ self: as('d'), hash: (text) => text.length })
  table.applyHostList([host(SOURCE, 'a'), ...hosts])
  const metrics = createMetrics()
  const order = (type: 'prepare' | 'commit') => async (each: KvOrder) => {
    orders.push(`${type} ${each.id} ${each.target.id}`)
    limits.push(each.limitMs)
    return answer(each, type)
  }
  const port: KvMover = { prepare: order('prepare'), commit: order('commit'), release: async () => {}, runs: async () => runsReport() }
  const director = new MoveDirector({
    table,
    metrics,
    port,
    topology: new RegionTopology({ ownDomain: as('a'), regions: REGIONS }),
    random: () => 0.5,
    paths: { canSend: () => true },
    open: () => tasks.filter((task) => !task.final),
    engineOf: () => ({ ...ENGINE, ...engine }),
    budgetOf: () => ({ tryWithdraw: () => ++withdrawals <= budget }),
    leavingMs: LEAVING_MS,
    daemons: () => 1
  })
  director.start()
  const begin = (id: string, demand = { promptTokens: 1000, maxTokens: 1000 }) => {
    let placement!: Placement
    const cls = { ...toWorkClass(sessionConfig().classes[1]!, true), idempotent: resumable, resumable, streaming: true, maxAttempts: 1 }
    const task = new RequestTask<Buffer>({
      work: { id: as<RequestId>(id), account: as('a'), cls, pool: POOL, demand: { ...demand, expectedTokens: demand.maxTokens, parts: [] }, claim: undefined, fingerprint: () => as<Fingerprint>('f') },
      deadlineInMs: 60_000,
      runner: {
        start: (view, spec, sink) => {
          starts.push(`${spec.mode} ${id} ${view.id} from ${spec.from}`)
          sinks.push(sink)
          return { detach: () => {} }
        },
        stop: async () => ({ stopped: true, pieces: [] })
      },
      ports: {
        table,
        metrics,
        dispatcher: { place: (each: Placement) => { placement = each }, remove: () => {}, startQueued: () => {} } as Partial<Dispatcher> as Dispatcher,
        budget: { deposit: () => {}, tryWithdraw: () => true },
        crashes: { abandoned: () => {}, failed: ({ id }: { id: EndpointId }, point: string) => { failures.push(`${id} ${point}`) } } as Partial<CrashWatch> as CrashWatch,
        quarantine: { answered: () => {}, isSuspected: () => false, heldAt: (_suspects: unknown, views: ReadonlyArray<{ id: string }>) => (views.every((view) => held.includes(view.id)) ? { suspect: as('f'), forMs: 1 } : undefined) } as Partial<QuarantineTask> as QuarantineTask
      }
    })
    tasks.push(task)
    task.post({ type: 'begin' })
    placement.placed(table.get(SOURCE)!, { view: table.get(SOURCE)!, firstTokenMs: 1, meetsTarget: true, uncachedTokens: 0, unreadTokens: 0, lane: 'normal' } satisfies Route)
    sinks.at(-1)!.onChunk(0, [Buffer.from('1'), Buffer.from('2')])
    return task
  }
  const leave = async (observedMs = noticeMs) => {
    table.leaving([as(SOURCE)], steadyNow() + noticeMs, 'notice')
    await vi.advanceTimersByTimeAsync(observedMs)
  }
  return { withdrawn: () => withdrawals, orders, limits, failures, starts, sinks, table, metrics, begin, leave }
}

test('a stream that may run once moves', async () => {
  const { orders, starts, begin, leave } = setUp()
  begin('r1')
  await leave()
  expect(orders).toEqual(['prepare r1 near', 'commit r1 near'])
  expect(starts).toEqual(['fresh r1 source from 0', 'import r1 near from 2'])
})

test.each<[string, SetUpOptions]>([
  ['it can be resumed', { resumable: true }],
  ['the engines do not move KV caches', { engine: { movesKv: false } }],
  ['the size of a KV cache is not known', { engine: { kvBytesPerToken: 0 } }],
  ['the others run another version', { hosts: [host('other', 'b', 'v2')] }],
  ['the others are in another region', { hosts: [host('far', 'c')] }],
  ['the quarantine keeps it from the others', { held: ['near'] }]
])('a stream is left where it is if %s', async (_what, options) => {
  const { orders, begin, leave } = setUp(options)
  begin('r1')
  await leave()
  expect(orders).toEqual([])
})

test('endpoints that leave, ask for rest or are full get no stream', async () => {
  const { orders, table, begin, leave } = setUp({ hosts: ['leaving', 'resting', 'full', 'good'].map((name) => host(name, 'b')) })
  begin('r1')
  table.leaving([as('leaving')], steadyNow() + NOTICE_MS, 'notice')
  table.backOff(as('resting'), steadyNow() + 10_000)
  for (let i = 0; i < SPEED.batchSlots; i++) table.started(as('full'), { lane: 'normal', tokens: 0 })
  await leave()
  expect(orders).toEqual(['prepare r1 good', 'commit r1 good'])
})

test('a stream that the source does not know yet is tried again while the notice lasts', async () => {
  let tries = 0
  const { orders, starts, begin, leave } = setUp({ answer: () => (++tries < 3 ? { type: 'no-run' } : { type: 'done', handle: 'h', events: 2 }) })
  begin('r1')
  await leave()
  expect(orders).toEqual(['prepare r1 near', 'prepare r1 near', 'prepare r1 near', 'commit r1 near'])
  expect(starts.at(-1)).toBe('import r1 near from 2')
})

test('while the answer to an order to stop is lost, a stream goes on nowhere and its caller gets what the source makes', async () => {
  const { starts, sinks, begin, leave } = setUp({ answer: (_order, type) => (type === 'prepare' ? { type: 'done', handle: 'p', events: 2 } : { type: 'lost' }) })
  const task = begin('r1')
  await leave()
  sinks[0]!.onChunk(2, [Buffer.from('3')])
  sinks[0]!.onEnd(3)
  expect(task.final).toMatchObject({ outcome: 'answered' })
  expect(starts).toEqual(['fresh r1 source from 0'])
})

test('an answer without a length that an order to stop may have cut off does not count as whole', async () => {
  // Guards against an answer that ends early and looks complete.
  const { starts, sinks, begin, leave } = setUp({ runsReport: () => new Map(), answer: (_order, type) => (type === 'prepare' ? { type: 'done', handle: 'p', events: 2 } : { type: 'lost' }) })
  const task = begin('r1')
  await leave(1000)
  sinks[0]!.onEnd(2, { explicit: false })
  await vi.advanceTimersByTimeAsync(5000)
  expect(task.final).toMatchObject({ outcome: 'unknown' })
  expect(starts).toEqual(['fresh r1 source from 0'])
})

test('the moves of one plan do not exceed the slots of a target', async () => {
  const { orders, table, begin, leave } = setUp({ answer: () => ({ type: 'refused' }) })
  for (let i = 0; i < SPEED.batchSlots - 1; i++) table.started(as('near'), { lane: 'normal', tokens: 0 })
  for (const id of ['r1', 'r2', 'r3']) begin(id)
  await leave(100)
  expect(orders).toHaveLength(1)
})

test('a request with the handle does not go to the source long after its leaving was known', async () => {
  const { orders, starts, begin, leave } = setUp({
    noticeMs: 10_000,
    hosts: [host('near', 'b'), host('other', 'b')],
    answer: async (_order, type) => {
      if (type === 'commit') return { type: 'refused', handle: 'h', events: 2 }
      await delay(LEAVING_MS + 1000)
      return { type: 'done', handle: 'p', events: 2 }
    }
  })
  const task = begin('r1')
  await leave()
  expect(orders).toEqual(['prepare r1 near', 'commit r1 near', 'commit r1 other'])
  expect(starts).toEqual(['fresh r1 source from 0'])
  expect(task.mover).toBeUndefined()
})

test('a run that only one target can take is not stopped once its source could not take it back', async () => {
  const { orders, begin, leave } = setUp({
    noticeMs: 10_000,
    answer: async () => {
      await delay(LEAVING_MS + 1000)
      return { type: 'done', handle: 'p', events: 2 }
    }
  })
  const task = begin('r1')
  await leave(LEAVING_MS + 1100)
  expect([orders, task.mover]).toEqual([['prepare r1 near'], undefined])
})

test('a stream does not go on at a target whose leaving has been known for long', async () => {
  const { starts, table, begin, leave } = setUp({
    noticeMs: 10_000,
    hosts: [host('near', 'b'), host('other', 'b')],
    answer: async ({ target }, type) => {
      if (type === 'commit' && target.id === 'near') {
        table.leaving([as('near')], steadyNow() + NOTICE_MS, 'notice')
        await delay(LEAVING_MS)
      }
      return { type: 'done', handle: `${type} ${target.id}`, events: 2 }
    }
  })
  begin('r1')
  await leave()
  expect(starts).toEqual(['fresh r1 source from 0', 'import r1 other from 2'])
})

/** Refuses the requests with a handle that were started, until none is left to refuse. */
async function refuseContinuations (sinks: ReadonlyArray<AttemptSink<Buffer>>, first = 1): Promise<void> {
  for (let next = first; next < sinks.length; next++) {
    sinks[next]!.onError(new AttemptError('refused', { point: 'endpoint-said-not-run' }))
    await vi.advanceTimersByTimeAsync(100)
  }
}

test('a run that the retry budget allows no other arrival of is not stopped', async () => {
  const { orders, begin, leave } = setUp({ budget: 0 })
  begin('r1')
  await leave(200)
  expect(orders).toEqual(['prepare r1 near'])
})

test.each([[1, 1], [2, 2], [10, 3]])('with a retry budget of %d arrivals, a stream that is refused everywhere is sent %d times', async (budget, sends) => {
  const { starts, sinks, withdrawn, begin, leave } = setUp({ budget, hosts: ['near', 'other', 'third'].map((name) => host(name, 'b')) })
  const task = begin('r1')
  await leave(200)
  await refuseContinuations(sinks)
  expect(starts.slice(1)).toHaveLength(sends)
  expect(task.final).toMatchObject({ outcome: 'unknown' })
  expect(withdrawn()).toBe(Math.min(budget + 1, 3))
})

test('a stream whose move took longer than the interval of plans and did not stop it is planned again', async () => {
  let tries = 0
  const { orders, starts, begin, leave } = setUp({
    noticeMs: 5000,
    answer: async () => {
      if (++tries > 1) return { type: 'done', handle: 'h', events: 2 }
      await delay(700)
      return { type: 'refused' }
    }
  })
  begin('r1')
  await leave()
  expect(orders).toEqual(['prepare r1 near', 'prepare r1 near', 'commit r1 near'])
  expect(starts.at(-1)).toBe('import r1 near from 2')
})

test('the time limit of an order follows the notice that is left when it is sent, and what is left to copy', async () => {
  const { limits, table, begin, leave } = setUp({
    noticeMs: 5000,
    engine: { kvBytesPerToken: 5_000_000 },
    answer: async (_order, type) => {
      if (type === 'prepare') table.leaving([as(SOURCE)], steadyNow() + 1000, 'notice')
      return { type: type === 'prepare' && limits.length === 1 ? 'lost' : 'done', handle: 'h', events: 2 }
    }
  })
  begin('r1')
  await leave(1000)
  expect(limits[0]).toBeGreaterThan(1000)
  expect(limits[1]).toBeLessThan(1000)
  expect(limits[2]).toBe(300)
})

test('a source that refuses a connection is taken to have ended only some time after the end of the stream', async () => {
  // Guards against two runs when a port is closed before the run has ended.
  const { starts, sinks, begin, leave } = setUp({ runsReport: () => 'gone', answer: (_order, type) => (type === 'prepare' ? { type: 'done', handle: 'p', events: 2 } : { type: 'gone' }) })
  begin('r1')
  await leave(100)
  sinks[0]!.onError(new AttemptError('closed', { point: 'torn-answer' }))
  await vi.advanceTimersByTimeAsync(500)
  expect(starts).toEqual(['fresh r1 source from 0'])
  await vi.advanceTimersByTimeAsync(500)
  expect(starts.at(-1)).toBe('import r1 near from 2')
})

test('a target that refuses a continuation because it leaves is known to leave, and what it shows is recorded once', async () => {
  const { failures, sinks, table, begin, leave } = setUp()
  begin('r1')
  await leave(200)
  sinks[1]!.onError(new AttemptError('refused', { point: 'endpoint-leaving' }))
  expect(table.isLeavingOrGone(as('near'))).toBe(true)
  await vi.advanceTimersByTimeAsync(100)
  await refuseContinuations(sinks, 2)
  expect(failures.filter((each) => each.startsWith('near'))).toEqual(['near endpoint-leaving'])
})

test('targets of the failure domain of the source are chosen first', async () => {
  const { orders, begin, leave } = setUp({ hosts: [host('far-1', 'b'), host('far-2', 'b'), host('near-1', 'a'), host('near-2', 'a')], answer: () => ({ type: 'refused' }) })
  begin('r1')
  await leave(100)
  expect(orders.slice(0, 2).sort()).toEqual(['prepare r1 near-1', 'prepare r1 near-2'])
})
