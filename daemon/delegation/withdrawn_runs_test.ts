// Guards against requests that run at a delegate after their callers have left, since the link between both daemons held them.
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { AnswerBuffer } from '../../core/answer/index.ts'
import { as, type DaemonId, type PoolName, type RequestId } from '../../core/ids/index.ts'
import type { RequestMessage } from '../../core/request/index.ts'
import { delay } from '../../core/time/index.ts'
import { EndpointLinks } from '../../standins/index.ts'
import { createMetrics } from '../metrics.ts'
import { PeerLinks } from '../peers/peer_links.ts'
import type { FinalResult } from '../request/live_answer.ts'
import { RUN_METHOD, START_TOPIC, type RunQuery } from './_messages.ts'
import { DelegatedRuns, DelegateServer, type DelegatedRunsOptions, type DelegateServerOptions } from './index.ts'

const POOL = as<PoolName>('desk')
const QUERY: Omit<RunQuery, 'run' | 'confirms'> = { req: { id: as<RequestId>('r'), method: 'GET', target: '/', host: 'h', headers: [], body: Buffer.alloc(0), demand: undefined, resumeFrom: 0, streamId: undefined }, account: undefined, pool: POOL, deadlineInMs: 5000, maxAttempts: 2 }
/** Time for which the link holds what is sent, in milliseconds. */
const CUT_MS = 400

/** A request that ends when it begins, or when its caller leaves. */
class FakeTask {
  static endsAtOnce = true
  readonly answer = new AnswerBuffer<Buffer>()
  readonly received: string[] = []
  readonly state = { sent: 0, phase: 'placing' }
  get started (): boolean { return this.received.includes('begin') }
  readonly binding = { version: undefined }
  readonly flow = { pause () {}, resume () {} }
  final: FinalResult | undefined
  #listener: () => void = () => {}

  subscribe (listener: () => void): () => void {
    this.#listener = listener
    return () => {}
  }

  post ({ type }: RequestMessage): void {
    this.received.push(type)
    if (this.final || !FakeTask.endsAtOnce) return
    this.final = { outcome: type === 'begin' ? 'answered' : 'not-run', reason: type, retryAfterMs: undefined }
    this.#listener()
  }
}

let origin: PeerLinks
let delegate: PeerLinks
let links: EndpointLinks
let tasks: FakeTask[]
let runs: DelegatedRuns
let server: DelegateServer
let member: { id: DaemonId, address: string }
const to = as<DaemonId>('b')

beforeEach(async () => {
  tasks = []
  origin = new PeerLinks({ self: as('a'), secret: 's', metrics: createMetrics() })
  delegate = new PeerLinks({ self: to, secret: 's', metrics: createMetrics() })
  const address = await delegate.listen('127.0.0.1', 0)
  links = await EndpointLinks.create()
  await links.add(address)
  member = { id: to, address: links.addressOf(address) }
  runs = new DelegatedRuns({ membership: { links: origin, core: { member: () => member } }, finder: { started () {}, ended () {} } } as unknown as DelegatedRunsOptions)
  server = new DelegateServer({
    membership: { links: delegate },
    paths: { reach: () => 'reached' },
    metrics: createMetrics(),
    intake: { acceptDelegated: () => { const task = new FakeTask(); tasks.push(task); return task } }
  } as unknown as DelegateServerOptions)
  server.start()
})
afterEach(async () => {
  server.stop()
  vi.restoreAllMocks()
  await origin.close()
  await delegate.close()
  await links.close()
})

function run () {
  return runs.run(to, { query: QUERY, mayRepeatNow: () => false }, { onHead () {}, onChunk () {}, onEnd () {}, onRefused () {}, onError () {} })
}

test('a run that a link holds does not begin once its caller has left', async () => {
  run()
  await vi.waitUntil(() => tasks[0]?.received.includes('begin'))
  links.cut('hang')
  const left = run()
  await delay(CUT_MS / 2)
  left.detach()
  await delay(CUT_MS / 2)
  links.restore()
  run()
  await vi.waitUntil(() => tasks.length === 3 && tasks[2]!.received.length > 0)
  expect(tasks.map(({ received }) => received[0])).toEqual(['begin', 'caller-left', 'begin'])
})

test('a run begins once, although the message that lets it begin is lost at first and sent again', async () => {
  // Guards against delegated requests that wait until their deadline since one message was lost with a link.
  const post = origin.post.bind(origin)
  let lost = 1
  vi.spyOn(origin, 'post').mockImplementation((to, topic, value) => topic === START_TOPIC && lost-- > 0 ? true : post(to, topic, value))
  runs.start()
  FakeTask.endsAtOnce = false
  run()
  await vi.waitUntil(() => tasks[0]?.received.includes('begin'))
  await delay(500)
  runs.stop()
  FakeTask.endsAtOnce = true
  expect(tasks[0]!.received).toEqual(['begin'])
})

test('a run begins at a daemon that has started at the address of the one that was asked', async () => {
  // Guards against delegated requests that wait until their deadline since what follows them is sent to a daemon that is gone.
  runs.run(as<DaemonId>('gone'), { query: QUERY, mayRepeatNow: () => false }, { onHead () {}, onChunk () {}, onEnd () {}, onRefused () {}, onError () {} })
  await vi.waitUntil(() => tasks[0]?.received.includes('begin'))
})

test('a run of an origin that does not say when it may begin begins at once', async () => {
  // Guards against daemons of earlier versions whose requests no other daemon runs.
  expect(await origin.call(member, RUN_METHOD, { ...QUERY, run: 1, confirms: true })).toMatchObject({ type: 'answered' })
  expect(tasks[0]!.received).toContain('begin')
})
