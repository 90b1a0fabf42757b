import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, type DaemonId, type EndpointVersion, type PoolName, type StreamKey } from '../../core/ids/index.ts'
import type { VersionRecord } from '../../core/streams/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { StandInStore } from '../../standins/index.ts'
import { createMetrics } from '../metrics.ts'
import { seededRandom } from '../seeded_random.ts'
import { RecordArchive } from './record_archive.ts'

const LIFE_MS = 30_000
const V1 = { pool: as<PoolName>('llm'), version: as<EndpointVersion>('v1') }
const key = (i: number | string) => as<StreamKey>(`stream-${i}`)

let store: StandInStore
let archives: RecordArchive[]
beforeEach(() => {
  vi.useFakeTimers()
  store = new StandInStore()
  archives = []
})
afterEach(() => {
  for (const archive of archives) archive.stop()
  vi.useRealTimers()
})

interface Daemon { archive: RecordArchive, metrics: ReturnType<typeof createMetrics>, read: Map<StreamKey, VersionRecord> }

/** Starts a daemon's archive, as one of `hosts`. */
function start (name: string, { hosts = 4, isFirst = false, mayHold = true }: { hosts?: number, isFirst?: boolean, mayHold?: boolean } = {}): Daemon {
  const metrics = createMetrics()
  const archive = new RecordArchive({
    self: as<DaemonId>(name), store, membership: { joined: true, isFirstFor: () => isFirst }, hostCount: () => hosts, mayHold: () => mayHold, random: seededRandom(archives.length), metrics
  })
  const read = new Map<StreamKey, VersionRecord>()
  archive.onRead = (records) => { for (const [stream, record] of records) read.set(stream, record) }
  archives.push(archive)
  archive.restore()
  archive.start()
  return { archive, metrics, read }
}

const record = (daemon = 'd1'): VersionRecord => ({ streamVersion: V1, daemon: as<DaemonId>(daemon), expiresAtMs: steadyNow() + LIFE_MS })
const add = ({ archive }: Daemon, ...streams: Array<number | string>) => archive.add(streams.map((i) => [key(i), record()]))

/** Finds a stream's record in the store as a daemon that was started later does. */
async function find ({ archive }: Daemon, i: number | string): Promise<{ version: string | undefined, isRead: boolean }> {
  const finding = archive.find(key(i))
  await vi.advanceTimersByTimeAsync(700)
  const { record, isRead } = await finding
  return { version: record?.streamVersion.version, isRead }
}

async function callsIn (metrics: Daemon['metrics'], kind: string): Promise<number> {
  const { values } = await metrics.storeCalls.get()
  return values.filter(({ labels }) => labels.use === 'streams' && labels.kind === kind).reduce((sum, { value }) => sum + value, 0)
}

test('a daemon that starts after all others have ended reads their records', async () => {
  const [first, second] = [start('d1'), start('d2')]
  add(first, 1)
  add(second, 2, 3)
  await vi.advanceTimersByTimeAsync(250)
  for (const { archive } of [first, second]) archive.stop()
  const { archive, read } = start('d3')
  await vi.advanceTimersByTimeAsync(10)
  await archive.restored
  expect([...read.keys()].sort()).toEqual([key(1), key(2), key(3)])
  expect([read.get(key(1))!.expiresAtMs - steadyNow()]).toEqual([expect.closeTo(LIFE_MS, -3)])
})

test('without new records nothing is written, and a daemon that no other asks reads nothing', async () => {
  // Guards against calls to the store for each pool that is certain to have one version.
  const { metrics } = start('d1', { mayHold: false })
  await vi.advanceTimersByTimeAsync(10 * 60_000)
  expect([await callsIn(metrics, 'read'), await callsIn(metrics, 'write')]).toEqual([0, 0])
})

test.each([[9, 20], [87, 2.3], [195, 1.1], [420, 0.5]])('at %i hosts a daemon writes at most %d times a second, and no record later than two intervals', async (hosts, perS) => {
  // Guards against more calls than the store takes from all daemons together.
  const daemon = start('d1', { hosts })
  await vi.advanceTimersByTimeAsync(100)
  const seconds = 40
  for (let i = 0; i < seconds * 20; i++) {
    add(daemon, i)
    await vi.advanceTimersByTimeAsync(50)
  }
  const writes = await callsIn(daemon.metrics, 'write')
  expect(writes).toBeLessThanOrEqual(perS * seconds + 1)
  expect(writes * hosts / seconds).toBeLessThanOrEqual(210)
  await vi.advanceTimersByTimeAsync(2 * Math.max(200, 5 * hosts))
  expect(await callsIn(daemon.metrics, 'write')).toBeLessThanOrEqual(writes + 1)
  const stored = await store.list('stream-records/')
  expect([stored.length, stored[0]!.value.includes(key(seconds * 20 - 1))]).toEqual([1, true])
})

test('many daemons that have new records at the same moment spread their writes', async () => {
  const daemons = Array.from({ length: 420 }, (_, i) => start(`d${i}`, { hosts: 420, mayHold: false }))
  const { writes } = store.calls
  for (const daemon of daemons) add(daemon, 1)
  await vi.advanceTimersByTimeAsync(1000)
  expect(store.calls.writes - writes).toBeLessThan(300)
  await vi.advanceTimersByTimeAsync(2000)
  expect(store.calls.writes - writes).toBe(420)
})

test('records are written again after a failure, whether or not the store applied the write', async () => {
  const daemon = start('d1')
  store.faults.down = true
  add(daemon, 1)
  await vi.advanceTimersByTimeAsync(2000)
  store.faults.down = false
  await vi.advanceTimersByTimeAsync(5000)
  store.faults.loseAnswers = 2
  add(daemon, 2)
  await vi.advanceTimersByTimeAsync(5000)
  add(daemon, 3)
  await vi.advanceTimersByTimeAsync(5000)
  const { read } = start('d2')
  await vi.advanceTimersByTimeAsync(50)
  expect([...read.keys()].sort()).toEqual([key(1), key(2), key(3)])
})

test('records are written again after the store has returned to a copy without them', async () => {
  const daemon = start('d1')
  await vi.advanceTimersByTimeAsync(50)
  store.takeCopy()
  add(daemon, 1)
  await vi.advanceTimersByTimeAsync(500)
  store.returnToCopy()
  await store.create('unrelated', '{}')
  await vi.advanceTimersByTimeAsync(3000)
  const { read } = start('d2')
  await vi.advanceTimersByTimeAsync(50)
  expect([...read.keys()]).toEqual([key(1)])
})

test('a daemon that leaves writes what it has not written yet', async () => {
  const daemon = start('d1')
  add(daemon, 1)
  await vi.advanceTimersByTimeAsync(10)
  add(daemon, 2)
  daemon.archive.stop()
  await daemon.archive.handOver()
  expect((await find(start('d2'), 2)).version).toBe('v1')
})

test('a daemon that leaves while the store refuses calls writes its records once it takes them, and gives up when it is late', async () => {
  // Guards against a last write that is tried once, while all daemons leave together and the store refuses what is beyond its rate.
  const daemon = start('d1')
  store.faults.down = true
  add(daemon, 1)
  const left = daemon.archive.handOver(steadyNow() + 1500)
  await vi.advanceTimersByTimeAsync(400)
  store.faults.down = false
  await vi.advanceTimersByTimeAsync(1500)
  await left
  expect(await find(start('d2'), 1)).toEqual({ version: 'v1', isRead: true })
  const late = start('d3')
  store.faults.down = true
  add(late, 2)
  let hasEnded = false
  late.archive.handOver(steadyNow() + 1500).then(() => { hasEnded = true })
  await vi.advanceTimersByTimeAsync(1500)
  expect(hasEnded).toBe(true)
})

test('a record that is stored after the start is found by a listing that callers share', async () => {
  // Guards against a listing for each caller whose stream nobody knows.
  const [first, second] = [start('d1'), start('d2')]
  await vi.advanceTimersByTimeAsync(300)
  add(first, 1)
  await vi.advanceTimersByTimeAsync(10)
  const reads = await callsIn(second.metrics, 'read')
  const findings = await Promise.all(Array.from({ length: 50 }, () => find(second, 1)))
  expect(findings.every(({ version }) => version === 'v1')).toBe(true)
  expect(await callsIn(second.metrics, 'read')).toBe(reads + 1)
  for (let i = 0; i < 100; i++) second.archive.find(key('unknown'))
  await vi.advanceTimersByTimeAsync(1000)
  expect(await callsIn(second.metrics, 'read')).toBeLessThanOrEqual(reads + 3)
})

test('a store that does not answer is no proof that it has no record', async () => {
  const daemon = start('d1')
  await vi.advanceTimersByTimeAsync(1000)
  store.stopAnswering()
  expect(await find(daemon, 1)).toEqual({ version: undefined, isRead: false })
  store.resumeAnswering()
  await vi.advanceTimersByTimeAsync(1000)
  expect(await find(daemon, 1)).toEqual({ version: undefined, isRead: true })
})

test('a daemon that starts while the store does not answer reads it later, and holds nobody up for more than a second', async () => {
  add(start('d1'), 1)
  await vi.advanceTimersByTimeAsync(300)
  store.faults.down = true
  const { archive, read } = start('d2')
  await vi.advanceTimersByTimeAsync(1000)
  await archive.restored
  expect(read.size).toBe(0)
  store.faults.down = false
  await vi.advanceTimersByTimeAsync(2000)
  expect([...read.keys()]).toEqual([key(1)])
})

test('objects are removed once their records have expired, by one daemon, and no others', async () => {
  const [first, second] = [start('d1', { isFirst: true }), start('d2')]
  await store.create('stream-records/other', '{"of":"another program"}')
  add(second, 1)
  await vi.advanceTimersByTimeAsync(70_000)
  add(second, 2)
  await vi.advanceTimersByTimeAsync(60_000)
  expect((await store.list('stream-records/')).length).toBe(2)
  const writes = await callsIn(second.metrics, 'write')
  await vi.advanceTimersByTimeAsync(180_000)
  expect((await store.list('stream-records/')).map(({ key }) => key)).toEqual(['stream-records/other'])
  expect([await callsIn(first.metrics, 'write'), await callsIn(second.metrics, 'write')]).toEqual([1, writes])
  add(second, 3)
  await vi.advanceTimersByTimeAsync(2000)
  expect((await find(start('d3'), 3)).version).toBe('v1')
})

test('what other programs wrote is skipped', async () => {
  for (const [i, value] of ['null', '7', '{"streams":[null,["llm"]]}', `{"streams":${'['.repeat(9000)}${']'.repeat(9000)}}`].entries()) await store.create(`stream-records/${i}`, value)
  add(start('d1'), 1)
  await vi.advanceTimersByTimeAsync(300)
  const { read } = start('d2')
  await vi.advanceTimersByTimeAsync(50)
  expect([...read.keys()]).toEqual([key(1)])
})
