import { getEventListeners } from 'node:events'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { AnswerBuffer } from '../../core/answer/index.ts'
import { as, type DaemonId, type PoolName, type RequestId } from '../../core/ids/index.ts'
import type { RequestMessage } from '../../core/request/index.ts'
import { createMetrics } from '../metrics.ts'
import type { FinalResult } from '../request/live_answer.ts'
import type { PeerMethod, PostHandler } from '../peers/links.ts'
import { PROGRESS_TOPIC, CANCEL_TOPIC, FLOW_TOPIC, OFFER_METHOD, RECEIVED_TOPIC, RUN_METHOD, type RunPart, type RunQuery, type RunResult } from './_messages.ts'
import { WINDOW_BYTES } from './_run_flow.ts'
import { DelegateServer, type DelegateServerOptions } from './index.ts'

const POOL = as<PoolName>('desk')
const ORIGIN = as<DaemonId>('origin')
const QUERY: RunQuery = { run: 1, req: { id: as<RequestId>('r'), method: 'GET', target: '/', host: 'h', headers: [], body: Buffer.alloc(0), demand: undefined, resumeFrom: 0, streamId: undefined }, account: undefined, pool: POOL, deadlineInMs: 1000, maxAttempts: 2 }

/** A request that runs until it is given a result. */
class FakeTask {
  readonly answer = new AnswerBuffer<Buffer>()
  readonly received: string[] = []
  readonly state = { sent: 0, phase: 'running' }
  readonly started = true
  readonly binding = { version: undefined }
  readonly flow = { pause: () => { this.received.push('pause') }, resume: () => { this.received.push('resume') } }
  head: unknown
  final: FinalResult | undefined
  failureAnswer: unknown
  #listener: () => void = () => {}

  subscribe (listener: () => void): () => void {
    this.#listener = listener
    return () => { this.#listener = () => {} }
  }

  change (): void { this.#listener() }

  post (msg: RequestMessage): void {
    this.received.push(msg.type)
    if (msg.type === 'refused') this.finish({ outcome: 'not-run', reason: msg.reason, retryAfterMs: msg.retryAfterMs })
  }

  finish (final: Partial<FinalResult>): void {
    this.final = { outcome: 'answered', reason: 'whole', retryAfterMs: undefined, ...final }
    this.#listener()
  }
}

let methods: Map<string, PeerMethod>
let posts: Map<string, PostHandler>
let posted: Array<[DaemonId, string]>
let tasks: FakeTask[]
let server: DelegateServer
let link: AbortController
let room: number
let reach: 'reached' | 'cut-off'
let ageMs: number | undefined
/** Whether endpoints accept connections. */
let accepts: boolean

beforeEach(() => {
  vi.useFakeTimers()
  methods = new Map()
  posts = new Map()
  posted = []
  tasks = []
  link = new AbortController()
  room = 100
  reach = 'reached'
  ageMs = 10
  accepts = true
  const links = {
    handle: (method: string, handler: PeerMethod) => methods.set(method, handler),
    onPost: (topic: string, handler: PostHandler) => posts.set(topic, handler),
    post: (to: DaemonId, topic: string) => posted.push([to, topic])
  }
  server = new DelegateServer({
    membership: { links },
    table: { candidates: () => [{ id: 'e', speed: { batchSlots: 1000 }, own: { running: 0 }, others: { running: 0 } }] },
    paths: { reach: () => reach, activityAgeMs: () => ageMs, probe: async () => { ageMs = accepts ? 0 : undefined }, stateOf: () => 'open' },
    client: { available: () => room },
    metrics: createMetrics(),
    intake: { acceptDelegated: () => { const task = new FakeTask(); tasks.push(task); return task } }
  } as unknown as DelegateServerOptions)
  server.start()
})
afterEach(() => {
  server.stop()
  vi.useRealTimers()
})

const offer = async (from = ORIGIN) => await methods.get(OFFER_METHOD)!({ pool: POOL } as never, { from, part: () => {}, signal: link.signal }) as { room: number }
const run = (number: number, parts: RunPart[] = []) => methods.get(RUN_METHOD)!({ ...QUERY, run: number } as never, { from: ORIGIN, part: (value) => parts.push(value as RunPart), signal: link.signal }) as Promise<RunResult>

test('a run that has ended leaves nothing behind at the link to its origin', async () => {
  // Guards against memory that grows with each request of another daemon for as long as the link stays open.
  for (let i = 1; i <= 3; i++) {
    const result = run(i)
    await vi.advanceTimersByTimeAsync(1)
    tasks.at(-1)!.finish({})
    expect(await result).toEqual({ type: 'answered', total: 0 })
  }
  expect([server.open, getEventListeners(link.signal, 'abort').length]).toEqual([0, 0])
})

test('a daemon that leaves declines what waits here for an endpoint, and nothing that runs', async () => {
  // Guards against requests that fail as if they may have run although they never did.
  const results = [run(1), run(2)]
  await vi.advanceTimersByTimeAsync(1)
  tasks[0]!.state.phase = 'placing'
  server.declineWaiting()
  expect(await results[0]).toMatchObject({ type: 'declined' })
  expect(tasks.map(({ received }) => received)).toEqual([['begin', 'refused'], ['begin']])
})

test('a run ends when the link to its origin breaks, or its origin cancels it', async () => {
  run(1)
  run(2)
  await vi.advanceTimersByTimeAsync(1)
  posts.get(CANCEL_TOPIC)!({ run: 2 } as never, ORIGIN)
  expect(tasks.map(({ received }) => received)).toEqual([['begin'], ['begin', 'caller-left']])
  link.abort()
  expect(tasks.map(({ received }) => received.at(-1))).toEqual(['caller-left', 'caller-left'])
})

test('an origin whose caller does not take the answer pauses it', async () => {
  // Guards against an origin that holds whole answers of runs, since its delegate reads them as fast as it can.
  run(1)
  await vi.advanceTimersByTimeAsync(1)
  const flow = posts.get(FLOW_TOPIC)!
  for (const paused of [true, false]) flow({ run: 1, paused } as never, ORIGIN)
  flow({ run: 1, paused: true } as never, as<DaemonId>('second'))
  flow({ run: 2, paused: true } as never, ORIGIN)
  expect(tasks[0]!.received).toEqual(['begin', 'pause', 'resume'])
})

test('a delegate lets go of the parts that it has sent', async () => {
  const parts: RunPart[] = []
  run(1, parts)
  await vi.advanceTimersByTimeAsync(1)
  const task = tasks[0]!
  task.head = {}
  for (const [offset, text] of ['a', 'b'].entries()) {
    task.answer.add({ attempt: 0, offset, pieces: [Buffer.from(text)] })
    task.change()
    expect(task.answer.pieces).toEqual([])
  }
  expect(parts.flatMap(({ chunk }) => chunk ? [[chunk.offset, chunk.pieces.map(String).join()]] : [])).toEqual([[0, 'a'], [1, 'b']])
})

test('the room is divided among the daemons that ask, and no more requests run than the bound', async () => {
  // Guards against a helper that is overrun by the daemons that it helps.
  expect((await offer()).room).toBe(64)
  expect((await offer(as<DaemonId>('second'))).room).toBe(32)
  room = 6
  expect((await offer()).room).toBe(3)
  for (let i = 1; i <= 64; i++) run(i)
  await vi.advanceTimersByTimeAsync(1)
  expect([server.open, await run(65)]).toEqual([64, { type: 'declined', why: 'it runs 64 requests of other daemons' }])
})

test('a daemon that drains, is cut off itself, or has not reached the pool lately offers and runs nothing', async () => {
  ageMs = 5000
  accepts = false
  expect((await offer()).room).toBe(0)
  ageMs = 10
  accepts = true
  reach = 'cut-off'
  expect((await run(1)).type).toBe('declined')
  reach = 'reached'
  server.startDraining()
  expect([(await offer()).room, (await run(2)).type]).toEqual([0, 'declined'])
})

test('an endpoint that answered a moment ago and accepts no connections any more is no ground for an offer', async () => {
  // Guards against daemons that hand requests to each other in the moment in which the endpoints end, before each of them notices.
  accepts = false
  expect((await offer()).room).toBe(0)
})

test('an offer for one pool is no ground for an offer for another, and is renewed without further connections while the endpoints answer', async () => {
  expect((await offer()).room).toBe(64)
  accepts = false
  ageMs = 10
  expect((await offer()).room).toBe(64)
  const other = await methods.get(OFFER_METHOD)!({ pool: 'llm' } as never, { from: ORIGIN, part: () => {}, signal: link.signal }) as { room: number }
  expect(other.room).toBe(0)
})

test('an origin learns twice a second that its requests run', async () => {
  run(1)
  await vi.advanceTimersByTimeAsync(1100)
  expect(posted).toEqual([[ORIGIN, PROGRESS_TOPIC], [ORIGIN, PROGRESS_TOPIC]])
})

test.each<[Partial<FinalResult>, Partial<RunResult>]>([
  [{ outcome: 'not-run', reason: 'no room in time', retryAfterMs: 300 }, { type: 'refused', retryAfterMs: 300 }],
  [{ outcome: 'not-run', reason: 'endpoint failed: connect-refused' }, { type: 'declined' }],
  [{ outcome: 'not-run', reason: 'no endpoint of the pool can be reached', retryAfterMs: 1000 }, { type: 'declined' }],
  [{ outcome: 'unknown', reason: 'no endpoint of the pool can be reached' }, { type: 'lost' }],
  [{ outcome: 'unknown', reason: 'endpoint failed: torn-answer' }, { type: 'failed' }]
])('the final result %j is reported to the origin as what it means there', async (final, result) => {
  const reported = run(1)
  await vi.advanceTimersByTimeAsync(1)
  tasks[0]!.finish(final)
  expect(await reported).toMatchObject(result)
})

test('no more than a window of an answer is on its way to an origin that confirms what it receives', async () => {
  // Guards against a delegate that hands a whole answer to a link whose origin is slow to read it, or to pause it.
  methods.get(RUN_METHOD)!({ ...QUERY, confirms: true } as never, { from: ORIGIN, part: () => {}, signal: link.signal })
  await vi.advanceTimersByTimeAsync(1)
  const task = tasks[0]!
  task.head = {}
  const send = (bytes: number) => {
    task.answer.add({ attempt: 0, offset: task.answer.length, pieces: [Buffer.alloc(bytes)] })
    task.change()
  }
  const receive = (bytes: number, from = ORIGIN) => posts.get(RECEIVED_TOPIC)!({ run: 1, bytes } as never, from)
  const pause = (paused: boolean) => posts.get(FLOW_TOPIC)!({ run: 1, paused } as never, ORIGIN)
  send(WINDOW_BYTES - 1)
  expect(task.received).toEqual(['begin'])
  send(1)
  expect(task.received).toEqual(['begin', 'pause'])
  receive(1, as<DaemonId>('second'))
  pause(true)
  receive(1)
  expect(task.received).toEqual(['begin', 'pause'])
  pause(false)
  expect(task.received).toEqual(['begin', 'pause', 'resume'])
  send(1)
  receive(0)
  expect(task.received).toEqual(['begin', 'pause', 'resume', 'pause'])
})

test('the answer to an origin of an earlier version, which confirms nothing, is not held back', async () => {
  run(1)
  await vi.advanceTimersByTimeAsync(1)
  const task = tasks[0]!
  task.head = {}
  task.answer.add({ attempt: 0, offset: 0, pieces: [Buffer.alloc(2 * WINDOW_BYTES)] })
  task.change()
  expect(task.received).toEqual(['begin'])
})

test('a run that waits for another endpoint when its delegate leaves is lost, so that its origin may go on with it', async () => {
  // Guards against streams that are cut off although their origin could send them elsewhere: it takes a failure for final.
  const result = run(1)
  await vi.advanceTimersByTimeAsync(1)
  const task = tasks[0]!
  task.state.phase = 'placing'
  task.post = (msg) => { if (msg.type === 'refused') task.finish({ outcome: 'unknown', reason: msg.reason, retryAfterMs: undefined }) }
  server.declineWaiting()
  expect(await result).toMatchObject({ type: 'lost' })
})
