import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, type DaemonId, type FailureDomain, type PoolName, type RequestId } from '../../core/ids/index.ts'
import { delay, steadyNow } from '../../core/time/index.ts'
import { StandInNetwork, type StandInLinks } from '../../standins/index.ts'
import type { MembershipTask } from '../peers/membership_task.ts'
import type { PathWatch, PoolReach } from '../paths/index.ts'
import { PROGRESS_TOPIC, CANCEL_TOPIC, FLOW_TOPIC, OFFER_METHOD, RECEIVED_TOPIC, RUN_METHOD, type RunQuery, type RunResult } from './_messages.ts'
import { WINDOW_BYTES } from './_run_flow.ts'
import { DelegatedRuns, DelegateFinder } from './index.ts'

const POOL = as<PoolName>('desk')
const DOMAIN = as<FailureDomain>('a')
const DEADLINE_MS = 4000
const QUERY: Omit<RunQuery, 'run'> = { req: { id: as<RequestId>('r'), method: 'GET', target: '/', host: 'h', headers: [], body: Buffer.alloc(0), demand: undefined, resumeFrom: 0, streamId: undefined }, account: undefined, pool: POOL, deadlineInMs: DEADLINE_MS, maxAttempts: 2 }

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => {
  finder.stop()
  runs.stop()
  vi.useRealTimers()
})

const network = new StandInNetwork()
let origin: StandInLinks
let peers: Map<DaemonId, StandInLinks>
let finder: DelegateFinder
let runs: DelegatedRuns
let reach: PoolReach

/** Creates a daemon that is cut off, and others that know nothing of delegation yet. */
async function start (peerCount: number): Promise<void> {
  reach = 'cut-off'
  peers = new Map()
  origin = network.join(as<DaemonId>('origin'))
  await origin.listen()
  const members: Array<{ id: DaemonId, address: string, failureDomain: FailureDomain }> = []
  for (let i = 0; i < peerCount; i++) {
    const id = as<DaemonId>(`peer-${i}`)
    const links = network.join(id)
    await links.listen()
    peers.set(id, links)
    members.push({ id, address: `node:${id}`, failureDomain: DOMAIN })
  }
  origin.keep(members.map(({ address }) => address))
  await vi.advanceTimersByTimeAsync(10)
  const membership = { links: origin, acceptingWork: members, core: { member: (id: DaemonId) => members.find((member) => member.id === id) } } as unknown as MembershipTask
  finder = new DelegateFinder({ self: origin.id, failureDomain: DOMAIN, hash: (text) => text.length + text.charCodeAt(text.length - 1), membership, paths: { reach: () => reach, isRecovering: () => false, hasLostRequests: () => false } as unknown as PathWatch, onOffer: () => {}, onInquiryEnd: () => {} })
  runs = new DelegatedRuns({ membership, finder })
  finder.start()
  runs.start()
}

function offers (id: string, room = 4): StandInLinks {
  const links = peers.get(as<DaemonId>(id))!
  links.handle(OFFER_METHOD, async () => ({ room, activityAgeMs: 50 }))
  return links
}

const way = () => finder.wayFor({ pool: POOL, idempotent: true, mayDelegate: true, avoidDelegates: [] })

interface Ending { atMs: number, point?: string, total?: number, refused?: string, reached?: number }

/** Runs a request at a daemon and records how it ends, in milliseconds from its start. */
function run (id: string, { repeatable }: { repeatable: boolean | (() => boolean) }) {
  const startedAtMs = steadyNow()
  const endings: Ending[] = []
  const end = (ending: Omit<Ending, 'atMs'>) => { endings.push({ atMs: steadyNow() - startedAtMs, ...ending }) }
  const attachment = runs.run(as<DaemonId>(id), { query: QUERY, mayRepeatNow: typeof repeatable === 'function' ? repeatable : () => repeatable }, {
    onHead: () => {},
    onChunk: () => {},
    onEnd: (total) => end({ total }),
    onRefused: (refused) => end({ refused }),
    onError: ({ point }, reached) => end({ point, reached })
  })
  return { endings, attachment }
}

test('while a pool is cut off, daemons are asked, and one that offers room is selected', async () => {
  await start(3)
  offers('peer-1')
  expect(way()).toEqual({ type: 'wait' })
  await vi.advanceTimersByTimeAsync(100)
  expect(way()).toMatchObject({ type: 'delegate', to: { id: 'peer-1', inFlight: 0, activityAgeMs: expect.any(Number) } })
  reach = 'reached'
  expect(way()).toEqual({ type: 'direct' })
})

test('a daemon that does not know the method is sent no request', async () => {
  // Guards against requests that are lost at a daemon of an earlier version.
  await start(2)
  const received: unknown[] = []
  for (const links of peers.values()) links.handle(RUN_METHOD, async (query: RunQuery) => { received.push(query) })
  way()
  await vi.advanceTimersByTimeAsync(3000)
  expect(way()).toEqual({ type: 'none' })
  expect(received).toEqual([])
})

test('a run whose caller does not take its answer is paused at its delegate, until it ends', async () => {
  await start(1)
  const seen: unknown[] = []
  const peer = offers('peer-0')
  peer.handle(RUN_METHOD, async () => await new Promise(() => {}))
  peer.onPost(FLOW_TOPIC, (message: unknown) => { seen.push(message) })
  const { attachment } = run('peer-0', { repeatable: false })
  attachment.pause!()
  attachment.resume!()
  attachment.detach()
  attachment.pause!()
  await vi.advanceTimersByTimeAsync(50)
  expect(seen).toEqual([{ run: 1, paused: true }, { run: 1, paused: false }])
})

test('a pause that finds no link is sent with the first part that arrives', async () => {
  await start(1)
  const seen: unknown[] = []
  const peer = offers('peer-0')
  peer.handle(RUN_METHOD, async (_args, { part }) => {
    await delay(100)
    part?.({ chunk: { offset: 0, pieces: [Buffer.from('x')] } })
    return await new Promise(() => {})
  })
  peer.onPost(FLOW_TOPIC, (message: unknown) => { seen.push(message) })
  const { attachment } = run('peer-0', { repeatable: false })
  vi.spyOn(origin, 'post').mockReturnValueOnce(false)
  attachment.pause!()
  await vi.advanceTimersByTimeAsync(50)
  expect(seen).toEqual([])
  await vi.advanceTimersByTimeAsync(150)
  expect(seen).toEqual([{ run: 1, paused: true }])
})

test('an origin confirms what it has received of an answer, also where there was no link at first', async () => {
  // Guards against a delegate that waits until the deadline for a confirmation.
  await start(1)
  const seen: unknown[] = []
  const peer = offers('peer-0')
  peer.handle(RUN_METHOD, async ({ confirms }: RunQuery, { part }) => {
    seen.push(confirms)
    for (let offset = 0; offset < 2; offset++) part?.({ chunk: { offset, pieces: [Buffer.alloc(WINDOW_BYTES / 2)] } })
    return await new Promise(() => {})
  })
  peer.onPost(RECEIVED_TOPIC, (message: unknown) => { seen.push(message) })
  let lost = 2
  const post = origin.post.bind(origin)
  vi.spyOn(origin, 'post').mockImplementation((to, topic, value) => (topic === RECEIVED_TOPIC && lost-- > 0 ? false : post(to, topic, value)))
  run('peer-0', { repeatable: false })
  await vi.advanceTimersByTimeAsync(50)
  expect(seen).toEqual([true])
  await vi.advanceTimersByTimeAsync(400)
  expect(seen).toEqual([true, { run: 1, bytes: WINDOW_BYTES }])
})

test('a request that has no way is not held once it is known that nobody can help', async () => {
  await start(2)
  for (const links of peers.values()) links.handle(OFFER_METHOD, async () => ({ room: 0, activityAgeMs: Infinity }))
  expect(way()).toEqual({ type: 'wait' })
  await vi.advanceTimersByTimeAsync(1000)
  expect(way()).toEqual({ type: 'none' })
})

test('a request of another daemon is not delegated once more', async () => {
  // Guards against requests that daemons hand on to each other in a circle.
  await start(1)
  offers('peer-0')
  expect(finder.wayFor({ pool: POOL, idempotent: true, mayDelegate: false, avoidDelegates: [] })).toEqual({ type: 'none' })
})

test('a run at a daemon that freezes is given up if it may be repeated, and waited for otherwise', async () => {
  // Guards against callers that are held until their deadline by a daemon that does not respond.
  await start(1)
  const frozen = offers('peer-0')
  frozen.handle(RUN_METHOD, async () => await new Promise(() => {}))
  const safe = run('peer-0', { repeatable: true })
  const unsafe = run('peer-0', { repeatable: false })
  network.silence(frozen.id, true)
  await vi.advanceTimersByTimeAsync(1400)
  network.silence(frozen.id, false)
  expect(safe.endings).toEqual([{ atMs: expect.any(Number), point: 'delegate-lost', reached: 1 }])
  expect(unsafe.endings).toEqual([])
})

test('a run at a daemon that freezes is waited for until its request can be sent another way', async () => {
  // Guards against requests that wait without a run although their delegate goes on.
  await start(1)
  const frozen = offers('peer-0')
  frozen.handle(RUN_METHOD, async () => await new Promise(() => {}))
  let hasOtherWay = false
  const { endings } = run('peer-0', { repeatable: () => hasOtherWay })
  network.silence(frozen.id, true)
  await vi.advanceTimersByTimeAsync(1600)
  expect(endings).toEqual([])
  hasOtherWay = true
  await vi.advanceTimersByTimeAsync(200)
  network.silence(frozen.id, false)
  expect(endings).toEqual([{ atMs: expect.any(Number), point: 'delegate-lost', reached: 1 }])
})

test('a run at a daemon that confirms it goes on for as long as the endpoint takes', async () => {
  await start(1)
  const links = offers('peer-0')
  links.handle(RUN_METHOD, async (): Promise<RunResult> => {
    await delay(3500)
    return { type: 'answered', total: 1 }
  })
  const timer = setInterval(() => links.post(origin.id, PROGRESS_TOPIC, undefined), 500)
  const { endings } = run('peer-0', { repeatable: true })
  await vi.advanceTimersByTimeAsync(3600)
  clearInterval(timer)
  expect(endings).toEqual([{ atMs: expect.any(Number), total: 1 }])
})

test('a run that was never sent is certain not to have run, and one whose link broke is not', async () => {
  // Guards against a promise that a request did not run while it may have, and against a failure where it certainly did not.
  await start(2)
  const lost = peers.get(as<DaemonId>('peer-1'))!
  lost.handle(RUN_METHOD, async () => await new Promise(() => {}))
  network.part(origin.id, as<DaemonId>('peer-0'), true)
  const unsent = run('peer-0', { repeatable: false })
  const broken = run('peer-1', { repeatable: false })
  await vi.advanceTimersByTimeAsync(50)
  await lost.close()
  await vi.advanceTimersByTimeAsync(50)
  network.healPartitions()
  expect([unsent.endings, broken.endings]).toEqual([
    [{ atMs: expect.any(Number), point: 'delegate-declined', reached: 0 }],
    [{ atMs: expect.any(Number), point: 'delegate-lost', reached: 1 }]
  ])
})

test('a request whose caller has left is cancelled at the delegate', async () => {
  await start(1)
  const links = offers('peer-0')
  const cancelled: unknown[] = []
  links.handle(RUN_METHOD, async () => await new Promise(() => {}))
  links.onPost(CANCEL_TOPIC, (message: unknown) => cancelled.push(message))
  const { attachment, endings } = run('peer-0', { repeatable: true })
  await vi.advanceTimersByTimeAsync(20)
  attachment.detach()
  await vi.advanceTimersByTimeAsync(20)
  expect([cancelled, endings]).toEqual([[{ run: 1 }], []])
})

test.each<[RunResult, Omit<Ending, 'atMs'>]>([
  [{ type: 'refused', why: 'no room in time', retryAfterMs: 700 }, { refused: 'no room in time' }],
  [{ type: 'declined', why: 'it is draining' }, { point: 'delegate-declined', reached: 0 }],
  [{ type: 'failed', why: 'endpoint failed', reached: 2 }, { point: 'endpoint-error', reached: 2 }],
  [{ type: 'lost', why: 'cut off', reached: 1 }, { point: 'delegate-lost', reached: 1 }]
])('the result %j is passed on as it is', async (result, ending) => {
  await start(1)
  offers('peer-0').handle(RUN_METHOD, async () => result)
  const { endings } = run('peer-0', { repeatable: true })
  await vi.advanceTimersByTimeAsync(50)
  expect(endings).toEqual([{ atMs: expect.any(Number), ...ending }])
})
