import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, type DaemonId, type EndpointVersion, type FailureDomain, type PoolName, type StreamKey } from '../../core/ids/index.ts'
import type { Member } from '../../core/membership/index.ts'
import type { EndpointView } from '../../core/routing/index.ts'
import { delay, steadyNow } from '../../core/time/index.ts'
import { StoreError, type ObjectStore } from '../../store/index.ts'
import { StandInNetwork, StandInStore, type StandInLinks } from '../../standins/index.ts'
import { createMetrics } from '../metrics.ts'
import { PoolHistory, StreamVersions } from './index.ts'
import { RETIREMENT_MS } from './_version_retirement.ts'

const POOL = as<PoolName>('llm')
const LIFE_MS = 30_000
const STORE_TIMEOUT_MS = 1500
/** Time in which a version is written ahead, in milliseconds. */
const WRITTEN_MS = 200
const V1 = { pool: POOL, version: as<EndpointVersion>('v1') }
const V2 = { pool: POOL, version: as<EndpointVersion>('v2') }
const key = (i: number) => as<StreamKey>(`stream-${i}`)
const views = (...versions: string[]) => versions.map((version) => ({ pool: POOL, version })) as unknown as EndpointView[]

interface Daemon {
  streams: StreamVersions
  history: PoolHistory
  links: StandInLinks
  metrics: ReturnType<typeof createMetrics>
  registry: { completeSinceMs: number | undefined, ageMs: number }
  /** Calls of this daemon to the store hang. */
  hangs: boolean
  /** Must be called with the endpoints that the daemon sees. */
  see (...versions: string[]): void
}

let network: StandInNetwork
let store: StandInStore
let members: Member[]
let daemons: Daemon[]
beforeEach(() => {
  vi.useFakeTimers()
  network = new StandInNetwork()
  store = new StandInStore()
  members = []
  daemons = []
})
afterEach(() => {
  for (const { history } of daemons) history.stop()
  vi.useRealTimers()
})

const hash = (text: string) => [...text].reduce((value, char) => Math.imul(value ^ char.charCodeAt(0), 16777619) >>> 0, 2166136261)

/** Starts a daemon without links that follows the registry from now on and sees endpoints of the given versions. */
async function join (...versions: string[]): Promise<Daemon> {
  const self = as<DaemonId>(`d${members.length}`)
  const links = network.join(self)
  await links.listen()
  const metrics = createMetrics()
  const registry: Daemon['registry'] = { completeSinceMs: steadyNow(), ageMs: 0 }
  const membership = { links, joined: true, get acceptingWork () { return members }, get reachable () { return members }, rankedFor: () => members }
  const beliefs = { completeSinceMs: () => registry.completeSinceMs, registryAgeMs: () => registry.ageMs }
  const history = new PoolHistory({ self, store: storeOf(() => daemon.hangs), membership, random: () => 0.5, metrics, ...beliefs })
  const streams = new StreamVersions({ self, membership, hostCount: () => members.length, hash, metrics, history, ...beliefs })
  history.onUncertain = () => streams.certaintyLost()
  const see = (...seen: string[]) => {
    history.endpointsChanged(views(...seen))
    streams.endpointsChanged(views(...seen))
  }
  members.push({ id: self, address: `node:${self}`, failureDomain: as<FailureDomain>('abc'[members.length % 3]!), incarnation: 1, state: 'up', revision: 0, heir: undefined })
  const daemon: Daemon = { streams, history, links, metrics, registry, hangs: false, see }
  daemons.push(daemon)
  history.start()
  see(...versions)
  return daemon
}

/** The store as one daemon reaches it. */
function storeOf (hangs: () => boolean): Pick<ObjectStore, 'era' | 'snapshot' | 'create' | 'update'> {
  const reach = async <T>(call: () => Promise<T>) => {
    if (!hangs()) return await call()
    await delay(STORE_TIMEOUT_MS)
    throw new StoreError('Cannot reach the store: no answer', { failure: 'unsure' })
  }
  return {
    era: store.era,
    snapshot: (prefix) => reach(() => store.snapshot(prefix)),
    create: (at, value) => reach(() => store.create(at, value)),
    update: (at, value, version) => reach(() => store.update(at, value, version))
  }
}

/** Starts daemons with links to each other, as {@linkcode join} does. */
async function start (count: number, ...versions: string[]): Promise<void> {
  for (let i = 0; i < count; i++) await join(...versions)
  for (const { links } of daemons) links.keep(members.map(({ address }) => address))
  await vi.advanceTimersByTimeAsync(WRITTEN_MS)
}

async function kill (...which: number[]): Promise<void> {
  for (const i of which) await daemons[i]!.links.close()
  await vi.advanceTimersByTimeAsync(20)
}

/** Finds out where a stream began, at one daemon. */
async function find (at: number, stream: number | undefined): Promise<object> {
  const finding = daemons[at]!.streams.find({ key: stream === undefined ? undefined : key(stream), pool: POOL, lifeMs: LIFE_MS })
  await vi.advanceTimersByTimeAsync(3000)
  const { verdict } = await finding
  return verdict
}

async function sent (at: number): Promise<number> {
  const { values } = await daemons[at]!.metrics.streamRecords.get()
  return values.reduce((sum, { value }) => sum + value, 0)
}

test('a stream is found at any daemon after the one that began it and two others were killed', async () => {
  await start(9, 'v1', 'v2')
  for (let i = 0; i < 20; i++) daemons[0]!.streams.began(key(i), V2, { lifeMs: LIFE_MS })
  await vi.advanceTimersByTimeAsync(20)
  await kill(0, 4, 8)
  const found = await Promise.all(Array.from({ length: 20 }, (_, i) => find(1 + i % 3, i)))
  expect(found).toEqual(found.map(() => ({ type: 'recorded', streamVersion: V2, daemon: 'd0' })))
})

test('while a pool has had one version for long, nothing is sent, and a stream goes on at that version', async () => {
  // Guards against messages for each stream in the ordinary case.
  await start(3, 'v1', 'v1')
  await vi.advanceTimersByTimeAsync(LIFE_MS)
  daemons[0]!.streams.began(key(1), V1, { lifeMs: LIFE_MS })
  await vi.advanceTimersByTimeAsync(100)
  expect(await sent(0)).toBe(0)
  await kill(0)
  expect(await find(1, 1)).toEqual({ type: 'only-version', streamVersion: V1 })
  expect(await find(1, undefined)).toEqual({ type: 'only-version', streamVersion: V1 })
})

test('pools whose endpoints have no version cost nothing', async () => {
  await start(3)
  daemons[0]!.streams.began(key(1), { pool: POOL, version: undefined }, { lifeMs: LIFE_MS })
  expect([await sent(0), daemons[0]!.streams.size]).toEqual([0, 0])
})

test.each<[string, (daemon: Daemon) => void]>([
  ['another version is listed', ({ see }) => see('v1', 'v2')],
  ['the registry stops answering', ({ streams, registry }) => {
    registry.completeSinceMs = undefined
    streams.certaintyLost()
  }],
  ['the registry has not answered for long', ({ registry }) => { registry.ageMs = 5000 }]
])('records that nobody else has are sent when %s', async (_what, happens) => {
  // Guards against streams that began before the second version came, and are lost with their daemon after it.
  await start(4, 'v1')
  await vi.advanceTimersByTimeAsync(LIFE_MS)
  daemons[0]!.streams.began(key(1), V1, { lifeMs: LIFE_MS })
  happens(daemons[0]!)
  await vi.advanceTimersByTimeAsync(600)
  expect(await sent(0)).toBe(3)
  for (const { see } of daemons.slice(1)) see('v1', 'v2')
  await kill(0)
  expect(await find(1, 1)).toEqual({ type: 'recorded', streamVersion: V1, daemon: 'd0' })
})

test('a daemon that has just started finds records, and vouches for nothing that the store does not show it', async () => {
  await start(3, 'v1', 'v2')
  daemons[0]!.streams.began(key(1), V1, { lifeMs: LIFE_MS })
  await start(1, 'v1')
  expect(await find(3, 1)).toMatchObject({ type: 'recorded' })
  expect(await find(3, 2)).toEqual({ type: 'unknown' })
})

test('after all daemons were killed, one that has just started knows that a pool has had one version', async () => {
  // Guards against refusing every stream for as long as one lives.
  await start(3, 'v1')
  daemons[0]!.streams.began(key(1), V1, { lifeMs: LIFE_MS })
  await kill(0, 1, 2)
  members = []
  await join('v1')
  expect(await find(3, 1)).toEqual({ type: 'only-version', streamVersion: V1 })
})

test('a daemon that starts after a second version was listed does not take a pool for one of the version that it sees', async () => {
  // Guards against versions that left while all daemons were dead.
  await start(3, 'v1', 'v2')
  await kill(0, 1, 2)
  members = []
  await join('v1')
  await vi.advanceTimersByTimeAsync(LIFE_MS)
  expect(await find(3, 1)).toEqual({ type: 'unknown' })
})

test('a daemon that others do not answer guesses nothing, although it has seen one version only', async () => {
  // Guards against a daemon that is cut off from the others while they learn of another version.
  await start(3, 'v1')
  await vi.advanceTimersByTimeAsync(LIFE_MS)
  for (const other of [1, 2]) network.part(members[0]!.id, members[other]!.id, true)
  daemons[0]!.hangs = true
  expect(await find(0, 1)).toEqual({ type: 'unreachable' })
  daemons[0]!.hangs = false
  expect(await find(0, 1)).toEqual({ type: 'only-version', streamVersion: V1 })
  for (const { see } of daemons.slice(1)) see('v1', 'v2')
  await vi.advanceTimersByTimeAsync(WRITTEN_MS)
  expect(await find(0, 1)).toEqual({ type: 'unreachable' })
  network.healPartitions()
})

test('a daemon that the store does not answer has another one read it', async () => {
  await start(4, 'v1')
  await kill(0)
  daemons[1]!.hangs = true
  expect(await find(1, 1)).toEqual({ type: 'only-version', streamVersion: V1 })
  daemons[2]!.hangs = daemons[3]!.hangs = true
  expect(await find(1, 2)).toEqual({ type: 'unreachable' })
})

test('two daemons that are out of step together do not vouch for each other', async () => {
  // Guards against silence that counts as certainty.
  await start(5, 'v1')
  await vi.advanceTimersByTimeAsync(LIFE_MS)
  for (const out of [3, 4]) for (const other of [0, 1, 2]) network.part(members[out]!.id, members[other]!.id, true)
  for (const out of [3, 4]) daemons[out]!.hangs = true
  for (const { see } of daemons.slice(0, 3)) see('v1', 'v2')
  await vi.advanceTimersByTimeAsync(WRITTEN_MS)
  daemons[0]!.streams.began(key(1), V2, { lifeMs: LIFE_MS })
  expect(await find(3, 1)).not.toMatchObject({ type: 'only-version' })
  network.healPartitions()
  expect(await find(3, 1)).toMatchObject({ type: 'recorded', streamVersion: V2 })
})

test('a stream that a delegate began at a version which this daemon does not see is recorded at others', async () => {
  // Guards against a stream that is lost with its daemon since its pool is taken for one of another version.
  await start(3, 'v1')
  daemons[0]!.streams.began(key(1), V2, { lifeMs: LIFE_MS })
  await vi.advanceTimersByTimeAsync(100)
  await kill(0)
  expect(await find(1, 1)).toMatchObject({ type: 'recorded', streamVersion: V2 })
})

test.each<[string, object]>([
  ['the store answers again', { type: 'unreachable' }],
  ['the links to the others work again', { type: 'recorded', streamVersion: V2 }]
])('a daemon that is out of step with the others goes on at no other version once %s', async (what, verdict) => {
  // Guards against a list that is complete again by half of its sources.
  await start(3, 'v1')
  await vi.advanceTimersByTimeAsync(LIFE_MS)
  for (const other of [0, 1]) network.part(members[2]!.id, members[other]!.id, true)
  daemons[2]!.hangs = true
  for (const { see } of daemons.slice(0, 2)) see('v1', 'v2')
  await vi.advanceTimersByTimeAsync(WRITTEN_MS)
  daemons[0]!.streams.began(key(1), V2, { lifeMs: LIFE_MS })
  expect(await find(2, 1)).toEqual({ type: 'unreachable' })
  if (what.startsWith('the store')) daemons[2]!.hangs = false
  else network.healPartitions()
  expect(await find(2, 1)).toMatchObject(verdict)
})

test('daemons whose list is behind do not take it for the pool as it is', async () => {
  // Guards against a list that is complete up to a moment before the stream began.
  await start(3, 'v1')
  await vi.advanceTimersByTimeAsync(LIFE_MS)
  daemons[0]!.see('v1', 'v2')
  await vi.advanceTimersByTimeAsync(WRITTEN_MS)
  daemons[0]!.streams.began(key(1), V2, { lifeMs: LIFE_MS })
  await kill(0)
  expect(await find(2, 2)).not.toMatchObject({ type: 'only-version' })
})

test('a daemon that has missed a version does not take its pool for one of one version', async () => {
  await start(3, 'v1')
  await vi.advanceTimersByTimeAsync(LIFE_MS)
  daemons[1]!.see('v1', 'v2')
  await vi.advanceTimersByTimeAsync(WRITTEN_MS)
  expect(await find(0, 1)).toEqual({ type: 'unknown' })
})

test('a version that left is remembered for as long as its streams may live', async () => {
  await start(2, 'v1', 'v2')
  await vi.advanceTimersByTimeAsync(LIFE_MS)
  for (const { see } of daemons) see('v2')
  await vi.advanceTimersByTimeAsync(RETIREMENT_MS)
  expect(await find(0, 1)).toEqual({ type: 'unknown' })
  // The version is marked some seconds after it has left, and each daemon reads the store again within half a minute or so.
  await vi.advanceTimersByTimeAsync(60_000)
  expect(await find(0, 1)).toEqual({ type: 'only-version', streamVersion: V2 })
})

test('a record that arrives after the first inquiry is found', async () => {
  // Guards against callers that are back sooner than a busy daemon reads the record.
  await start(3, 'v1', 'v2')
  setTimeout(() => daemons[0]!.streams.began(key(1), V1, { lifeMs: LIFE_MS }), 30)
  expect(await find(1, 1)).toMatchObject({ type: 'recorded' })
  expect((await daemons[1]!.metrics.streamVersions.get()).values).toMatchObject([{ labels: { result: 'recorded-late' } }])
})

test('records survive daemons that leave one after the other', async () => {
  // Guards against rolling restarts of all holders within the life of a stream.
  await start(6, 'v1', 'v2')
  for (let i = 0; i < 10; i++) daemons[0]!.streams.began(key(i), V2, { lifeMs: LIFE_MS })
  await vi.advanceTimersByTimeAsync(10)
  for (let i = 0; i < 4; i++) {
    members = members.filter(({ id }) => id !== `d${i}`)
    daemons[i]!.streams.handOver()
    await vi.advanceTimersByTimeAsync(300)
    await kill(i)
  }
  const found = await Promise.all(Array.from({ length: 10 }, (_, i) => find(5, i)))
  expect(found).toEqual(found.map(() => expect.objectContaining({ type: 'recorded', streamVersion: V2 })))
})

test('the daemon that passes a stream on learns that its caller resumes it elsewhere, once it does', async () => {
  // Guards against a run that is ended for an inquiry whose request is refused.
  const resumed: string[] = []
  await start(4, 'v1', 'v2')
  for (const [i, { streams }] of daemons.entries()) streams.onResumed = (which, { by }) => resumed.push(`${which} at ${i} by ${by}`) > 0
  const resume = async (at: number) => {
    const { daemon } = await find(at, 1) as { daemon: DaemonId }
    const before = resumed.length
    daemons[at]!.streams.resumed(key(1), { daemon, from: 1 })
    await vi.advanceTimersByTimeAsync(10)
    return [before, daemon]
  }
  daemons[0]!.streams.began(key(1), V1, { lifeMs: LIFE_MS })
  await vi.advanceTimersByTimeAsync(10)
  expect(await resume(1)).toEqual([0, 'd0'])
  daemons[1]!.streams.began(key(1), V1, { lifeMs: LIFE_MS })
  await vi.advanceTimersByTimeAsync(10)
  expect(await resume(1)).toEqual([1, 'd1'])
  expect(await resume(0)).toEqual([1, 'd1'])
  expect(resumed).toEqual(['stream-1 at 0 by d1', 'stream-1 at 1 by d0'])
})

test('a daemon without a link to the one that passes a stream on tells it that the stream was resumed', async () => {
  const resumed: object[] = []
  await start(2, 'v1', 'v2')
  daemons[0]!.streams.onResumed = (which, resumption) => resumed.push({ which, ...resumption }) > 0
  daemons[0]!.streams.began(key(1), V1, { lifeMs: LIFE_MS })
  const { links, streams } = await join('v1', 'v2')
  expect(links.isLinked(members[0]!.id)).toBe(false)
  await streams.resumed(key(1), { daemon: members[0]!.id, from: 3 })
  await vi.advanceTimersByTimeAsync(20)
  expect(resumed).toEqual([{ which: 'stream-1', by: 'd2', from: 3 }])
})

test('a daemon with a newer run of a stream stays the one that passes it on', async () => {
  await start(2, 'v1', 'v2')
  daemons[0]!.streams.began(key(1), V1, { lifeMs: LIFE_MS })
  daemons[0]!.streams.onResumed = () => false
  await daemons[1]!.streams.resumed(key(1), { daemon: members[0]!.id, from: 3 })
  await vi.advanceTimersByTimeAsync(10)
  expect(await find(0, 1)).toMatchObject({ daemon: 'd0' })
})
