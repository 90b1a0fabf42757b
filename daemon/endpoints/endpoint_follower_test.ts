import fc from 'fast-check'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, type DaemonId, type PoolName } from '../../core/ids/index.ts'
import { isLater, storeVersion, type StoreVersion } from '../../core/store_version/index.ts'
import { delay, steadyNow } from '../../core/time/index.ts'
import { decodeEndpoint } from '../../platform/endpoint_decoder.ts'
import { EraTracker, StoreError, type Changes, type ObjectSource, type Snapshot, type StoredObject } from '../../store/index.ts'
import { EndpointFollower } from './endpoint_follower.ts'
import { EndpointTable } from './endpoint_table.ts'

const POOL = as<PoolName>('llm')
const GOOD = { service: POOL, address: '10.0.0.9:8080', zone: 'a', slots: 64, state: 'ready', born: 5, sequence: 4 }
const good = (i: number): [string, string] => [`good-${i}`, JSON.stringify({ ...GOOD, address: `10.0.0.${i}:80` })]

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

/** An in-memory registry whose entries are set by tests; its watch returns the changed entries. */
class Registry implements ObjectSource {
  readonly era = new EraTracker()
  objects: StoredObject[] = []
  #revision = 0
  isDown = false

  set (entries: Iterable<[string, string]>): void {
    this.#revision++
    this.objects = [...entries].map(([name, value]) => ({ key: `servers/${name}`, version: storeVersion(0, this.#revision), value }))
  }

  change (name: string, value: unknown): void {
    this.#revision++
    this.objects = this.objects.map((object) => (object.key === `servers/${name}` ? { ...object, version: storeVersion(0, this.#revision), value: JSON.stringify(value) } : object))
  }

  async snapshot (): Promise<Snapshot> {
    if (this.isDown) throw new StoreError('Cannot list: no answer', { failure: 'unsure' })
    return { objects: this.objects, version: storeVersion(0, this.#revision) }
  }

  async changes (_prefix: string, { after }: { after: StoreVersion }): Promise<Changes> {
    await delay(100)
    if (this.isDown) throw new StoreError('Cannot watch: no answer', { failure: 'unsure' })
    const objects = this.objects.filter(({ version }) => isLater(version, after))
    return { objects, removed: [], version: storeVersion(0, this.#revision) }
  }
}

function follow (registry: Registry, decode = decodeEndpoint): { table: EndpointTable, follower: EndpointFollower } {
  const table = new EndpointTable({ self: as<DaemonId>('d'), hash: (text) => text.length })
  const follower = new EndpointFollower({ store: registry, prefix: 'servers/', decode, table, random: () => 0.5, pool: () => undefined, onChange: () => {} })
  follower.start()
  return { table, follower }
}

test('a malformed entry does not hide the others', async () => {
  // Guards against rejecting every request for lack of endpoints because one entry that another program wrote makes the whole list unreadable.
  const registry = new Registry()
  registry.set([good(1), ['stray', '{"service":'], ['other', '17'], good(2)])
  const { table, follower } = follow(registry)
  await vi.advanceTimersByTimeAsync(10)
  expect(table.candidates(POOL).map(({ name }) => name).sort()).toEqual(['good-1', 'good-2'])
  follower.stop()
})

test('an entry that makes the decoder throw does not hide the others', async () => {
  // Guards against one entry crashing every daemon that reads it.
  const registry = new Registry()
  registry.set([good(1), ['broken', JSON.stringify(GOOD)], good(2)])
  const decode = (name: string, value: unknown) => {
    if (name === 'broken') throw new TypeError('Cannot read properties of undefined')
    return decodeEndpoint(name, value)
  }
  const { table, follower } = follow(registry, decode)
  await vi.advanceTimersByTimeAsync(10)
  expect(table.candidates(POOL).map(({ name }) => name).sort()).toEqual(['good-1', 'good-2'])
  follower.stop()
})

test('only the changed entry is decoded again', async () => {
  const registry = new Registry()
  registry.set([good(1), good(2), good(3)])
  let decoded = 0
  const decode = (name: string, value: unknown) => {
    decoded++
    return decodeEndpoint(name, value)
  }
  const { table, follower } = follow(registry, decode)
  await vi.advanceTimersByTimeAsync(10)
  expect(decoded).toBe(3)
  registry.change('good-2', { ...GOOD, address: '10.0.0.2:80', state: 'draining' })
  await vi.advanceTimersByTimeAsync(500)
  expect([decoded, table.candidates(POOL).map(({ name }) => name).sort()]).toEqual([4, ['good-1', 'good-3']])
  follower.stop()
})

test('an endpoint whose entry becomes invalid gets no new work until the entry is valid again', async () => {
  const registry = new Registry()
  registry.set([good(1), good(2)])
  const { table, follower } = follow(registry)
  await vi.advanceTimersByTimeAsync(10)
  registry.set([['good-1', '{"state":"of tomorrow"}'], good(2)])
  await vi.advanceTimersByTimeAsync(300)
  expect(table.candidates(POOL).map(({ name }) => name)).toEqual(['good-2'])
  registry.set([good(1), good(2)])
  await vi.advanceTimersByTimeAsync(300)
  expect(table.candidates(POOL).map(({ name }) => name).sort()).toEqual(['good-1', 'good-2'])
  follower.stop()
})

test('valid entries are followed whatever the other entries contain', async () => {
  const bytes = fc.oneof(fc.string(), fc.json(), fc.uint8Array().map((raw) => Buffer.from(raw).toString('utf8')), fc.tuple(fc.constantFrom(...Object.keys(GOOD)), fc.jsonValue()).map(([key, value]) => JSON.stringify({ ...GOOD, [key]: value, service: 'another' })))
  await fc.assert(fc.asyncProperty(fc.array(fc.tuple(fc.string().map((name) => `x${name}`), bytes), { maxLength: 6 }), async (stray) => {
    const registry = new Registry()
    registry.set(new Map([...stray, good(1), good(2)]))
    const { table, follower } = follow(registry)
    await vi.advanceTimersByTimeAsync(10)
    expect(table.candidates(POOL).map(({ name }) => name).sort()).toEqual(['good-1', 'good-2'])
    follower.stop()
  }), { seed: 13, numRuns: 300 })
})

const usable = (table: EndpointTable) => table.candidates(POOL).map(({ name }) => name).sort()

test('endpoints whose entries expired during a registry outage keep serving if the entries return soon', async () => {
  // Guards against rejecting all requests for 14 s: the store was down for longer than entries live, so all of them are missing when it returns, and
  // the endpoints stay marked as leaving although each rewrites its entry a second later.
  const registry = new Registry()
  registry.set([good(1), good(2), good(3)])
  const { table, follower } = follow(registry)
  await vi.advanceTimersByTimeAsync(10)
  registry.isDown = true
  await vi.advanceTimersByTimeAsync(5000)
  registry.isDown = false
  registry.set([good(3)])
  await vi.advanceTimersByTimeAsync(1200)
  expect(usable(table)).toEqual(['good-1', 'good-2', 'good-3'])
  registry.set([good(1), good(3)])
  await vi.advanceTimersByTimeAsync(1000)
  expect(usable(table)).toEqual(['good-1', 'good-2', 'good-3'])
  await vi.advanceTimersByTimeAsync(2500)
  expect(usable(table)).toEqual(['good-1', 'good-3'])
  follower.stop()
})

test('when most entries vanish at once, an undetected registry outage is assumed', async () => {
  const registry = new Registry()
  registry.set([good(1), good(2), good(3), good(4)])
  const { table, follower } = follow(registry)
  await vi.advanceTimersByTimeAsync(10)
  registry.set([good(4)])
  await vi.advanceTimersByTimeAsync(500)
  expect(usable(table)).toHaveLength(4)
  registry.set([good(1), good(2), good(3), good(4)])
  await vi.advanceTimersByTimeAsync(5000)
  expect(usable(table)).toHaveLength(4)
  follower.stop()
})

test('when a single entry vanishes, its endpoint is gone', async () => {
  const registry = new Registry()
  registry.set([good(1), good(2), good(3), good(4)])
  const { table, follower } = follow(registry)
  await vi.advanceTimersByTimeAsync(10)
  registry.set([good(1), good(2), good(3)])
  await vi.advanceTimersByTimeAsync(500)
  expect(usable(table)).toEqual(['good-1', 'good-2', 'good-3'])
  follower.stop()
})

test('an endpoint whose entry is rewritten after it was gone gets work again at once', async () => {
  // Guards against half of the endpoints staying idle for half a minute while requests are rejected: they could not reach the registry, their entries
  // expired one by one, and after their return a peer's late report of the departure still took effect.
  const registry = new Registry()
  registry.set([good(1), good(2), good(3), good(4)])
  const { table, follower } = follow(registry)
  await vi.advanceTimersByTimeAsync(10)
  registry.set([good(2), good(3), good(4)])
  await vi.advanceTimersByTimeAsync(500)
  expect(usable(table)).toEqual(['good-2', 'good-3', 'good-4'])
  registry.set([good(1), good(2), good(3), good(4)])
  await vi.advanceTimersByTimeAsync(500)
  expect(usable(table)).toHaveLength(4)
  table.leaving([table.instancesOf('good-1')[0]!.hostId], steadyNow() + 2000, 'peer')
  expect(usable(table)).toHaveLength(4)
  await vi.advanceTimersByTimeAsync(6000)
  table.leaving([table.instancesOf('good-1')[0]!.hostId], steadyNow() + 2000, 'peer')
  expect(usable(table)).toEqual(['good-2', 'good-3', 'good-4'])
  follower.stop()
})

test('a stale list that shows an old entry again does not restore its endpoint', async () => {
  const registry = new Registry()
  registry.set([good(1), good(2), good(3), good(4)])
  const { table, follower } = follow(registry)
  await vi.advanceTimersByTimeAsync(10)
  const before = registry.objects
  registry.set([good(2), good(3), good(4)])
  await vi.advanceTimersByTimeAsync(500)
  registry.objects = before
  await vi.advanceTimersByTimeAsync(1000)
  expect(usable(table)).toEqual(['good-2', 'good-3', 'good-4'])
  follower.stop()
})

test('the speed of a pool\'s endpoints is learned whether the pool or its endpoints become known first', async () => {
  // Guards against late answers from one daemon in five until its endpoints are replaced: it read the registry before the configuration, took model
  // engines for plain services, and never learned their prefill speed.
  const registry = new Registry()
  registry.set([good(1), good(2)])
  const { table, follower } = follow(registry)
  await vi.advanceTimersByTimeAsync(10)
  const [endpoint] = table.candidates(POOL)
  for (let i = 0; i < 60; i++) table.recordFirstToken(endpoint!.id, { predictedMs: 100, actualMs: 40 + i % 5 * 100, unreadTokens: i % 5 * 4000 })
  expect(table.pace(POOL)!.msPerToken).toBeCloseTo(0.025, 2)
  expect(table.candidates(POOL).every((view) => view.firstTokenModel === table.pace(POOL) && view.chunkInterval !== undefined)).toBe(true)
  follower.stop()
})
