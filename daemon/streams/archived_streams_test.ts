import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, type DaemonId, type EndpointVersion, type PoolName, type StreamKey } from '../../core/ids/index.ts'
import type { EndpointView } from '../../core/routing/index.ts'
import { MAX_VERSION_RECORDS, type VersionRecord } from '../../core/streams/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { StandInNetwork } from '../../standins/index.ts'
import { createMetrics } from '../metrics.ts'
import { RECORDS_TOPIC } from './_messages.ts'
import type { KeyedRecord } from './_record_sender.ts'
import type { ArchiveFinding } from './record_archive.ts'
import { StreamVersions } from './stream_versions.ts'

const POOL = as<PoolName>('llm')
const LIFE_MS = 30_000
const V1 = { pool: POOL, version: as<EndpointVersion>('v1') }
const KEY = as<StreamKey>('stream-1')
const OTHER_KEY = as<StreamKey>('stream-2')
const DEAD = as<DaemonId>('dead')
const views = (...versions: Array<string | undefined>) => versions.map((version) => ({ pool: POOL, version })) as unknown as EndpointView[]
const record = (): VersionRecord => ({ streamVersion: V1, daemon: DEAD, expiresAtMs: steadyNow() + LIFE_MS })

let network: StandInNetwork
beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

/** Starts the only daemon of a fleet, with a stand-in for its archive. */
async function start (...versions: Array<string | undefined>) {
  network = new StandInNetwork()
  const links = network.join(as<DaemonId>('d0'))
  await links.listen()
  const added: StreamKey[] = []
  const archive = {
    restored: Promise.resolve() as Promise<unknown>,
    onRead: (_: ReadonlyMap<StreamKey, VersionRecord>) => {},
    add: (records: readonly KeyedRecord[]) => { added.push(...records.map(([key]) => key)) },
    find: vi.fn(async (): Promise<ArchiveFinding> => ({ record: undefined, isRead: true }))
  }
  const history = { confirm: async () => ({ isOnly: false as const }), isCertain: () => versions.length === 1 }
  const membership = { links, joined: true, acceptingWork: [], reachable: [] }
  const streams = new StreamVersions({ self: as<DaemonId>('d0'), membership, hostCount: () => 1, hash: (text) => text.length, metrics: createMetrics(), history, registryAgeMs: () => 0, archive })
  streams.endpointsChanged(views(...versions))
  return { streams, archive, added }
}

async function find (streams: StreamVersions, { key }: { key: StreamKey | undefined } = { key: KEY }) {
  const finding = streams.find({ key, pool: POOL, lifeMs: LIFE_MS })
  await vi.advanceTimersByTimeAsync(3000)
  return await finding
}

test('nothing is stored while a pool is certain to have one version; what was not is stored when another one is listed', async () => {
  // Guards against calls to the store in the ordinary case.
  const { streams, added } = await start('v1')
  await vi.advanceTimersByTimeAsync(LIFE_MS)
  streams.began(KEY, V1, { lifeMs: LIFE_MS })
  expect(added).toEqual([])
  streams.endpointsChanged(views('v1', 'v2'))
  expect(added).toEqual([KEY])
  streams.began(OTHER_KEY, V1, { lifeMs: LIFE_MS })
  streams.endpointsChanged(views('v1', 'v2', 'v3'))
  expect(added).toEqual([KEY, OTHER_KEY])
})

test('nothing is stored for pools whose endpoints have no version', async () => {
  const { streams, added } = await start(undefined)
  streams.began(KEY, { pool: POOL, version: undefined }, { lifeMs: LIFE_MS })
  expect(added).toEqual([])
})

test('a stored record says where a stream began; the store is not read for one that is known, or that its caller does not name', async () => {
  const { streams, archive } = await start('v1', 'v2')
  archive.onRead(new Map([[OTHER_KEY, record()]]))
  expect((await find(streams, { key: OTHER_KEY })).verdict).toEqual({ type: 'recorded', streamVersion: V1, daemon: DEAD })
  expect(await find(streams, { key: undefined })).toMatchObject({ verdict: { type: 'unknown' } })
  expect(archive.find).not.toHaveBeenCalled()
  archive.find.mockResolvedValueOnce({ record: record(), isRead: true })
  expect((await find(streams)).verdict).toMatchObject({ type: 'recorded', streamVersion: V1, daemon: DEAD })
})

test('a stream of which the store could not be read is distinguished from one of which no daemon has a record', async () => {
  const { streams, archive } = await start('v1', 'v2')
  expect(await find(streams)).toMatchObject({ verdict: { type: 'unknown' }, cause: 'several-versions' })
  archive.find.mockResolvedValue({ record: undefined, isRead: false })
  expect(await find(streams)).toMatchObject({ verdict: { type: 'unknown' }, cause: 'store-not-read' })
})

test('a record that this daemon holds is not replaced by what the store has', async () => {
  const { streams, archive } = await start('v1', 'v2')
  streams.began(KEY, { pool: POOL, version: as<EndpointVersion>('v2') }, { lifeMs: LIFE_MS })
  archive.onRead(new Map([[KEY, record()]]))
  expect((await find(streams)).verdict).toMatchObject({ streamVersion: { version: 'v2' } })
})

test('records that the store has are found however many there are, and evict none that other daemons sent', async () => {
  // Guards against a large fleet whose stored records exceed what a daemon holds for others.
  const { streams, archive } = await start('v1', 'v2')
  const other = network.join(as<DaemonId>('d1'))
  await other.listen()
  other.keep(['node:d0'])
  await vi.advanceTimersByTimeAsync(100)
  other.post(as<DaemonId>('d0'), RECORDS_TOPIC, [POOL, 'v2', OTHER_KEY, LIFE_MS])
  await vi.advanceTimersByTimeAsync(100)
  const many = new Map(Array.from({ length: 3 * MAX_VERSION_RECORDS }, (_, i) => [as<StreamKey>(`many-${i}`), record()]))
  for (let i = 0; i < 3; i++) archive.onRead(new Map(many))
  for (const key of [as<StreamKey>('many-0'), as<StreamKey>(`many-${many.size - 1}`)]) expect((await find(streams, { key })).verdict).toMatchObject({ type: 'recorded', streamVersion: V1 })
  expect((await find(streams, { key: OTHER_KEY })).verdict).toMatchObject({ type: 'recorded', streamVersion: { version: 'v2' } })
})
