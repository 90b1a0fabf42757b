import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, type DaemonId, type EndpointVersion, type FailureDomain, type PoolName } from '../../core/ids/index.ts'
import type { Member } from '../../core/membership/index.ts'
import { delay, steadyNow } from '../../core/time/index.ts'
import { expectedErrors } from '../../scripts/fail_on_task_errors.ts'
import { StandInNetwork, StandInStore } from '../../standins/index.ts'
import { StoreError } from '../../store/index.ts'
import { createMetrics } from '../metrics.ts'
import { HISTORY_PREFIX } from './_history_reader.ts'
import { RETIREMENT_MS } from './_version_retirement.ts'
import { PoolHistory } from './pool_history.ts'

const POOL = as<PoolName>('llm')
const KEY = HISTORY_PREFIX + POOL
const V1 = as<EndpointVersion>('v1')
const V2 = as<EndpointVersion>('v2')
const views = (...versions: Array<EndpointVersion | undefined>) => versions.map((version) => ({ pool: POOL, ...(version !== undefined && { version }) }))
const ONLY_V1 = { isOnly: true, version: V1 }
const SEVERAL = { isOnly: false }
/** Time in which a daemon that ranks first writes, in milliseconds. */
const FIRST_TURN_MS = 50
/** Longest time for which endpoints of a new version get no new work, in milliseconds. */
const MAX_WITHHELD_MS = 1000

let network: StandInNetwork
let store: StandInStore
let members: Member[]
let histories: PoolHistory[]
beforeEach(() => {
  vi.useFakeTimers()
  network = new StandInNetwork()
  store = new StandInStore()
  members = []
  histories = []
})
afterEach(() => {
  for (const history of histories) history.stop()
  vi.useRealTimers()
})

interface StartOptions { registry?: { completeSinceMs: number | undefined, ageMs: number }, reads?: Pick<StandInStore, 'snapshot' | 'create' | 'update'> }

/** Starts a daemon, which ranks behind those before it. */
async function start ({ registry = { completeSinceMs: steadyNow(), ageMs: 0 }, reads = store }: StartOptions = {}): Promise<PoolHistory> {
  const self = as<DaemonId>(`d${members.length}`)
  const links = network.join(self)
  await links.listen()
  members.push({ id: self, address: `node:${self}`, failureDomain: as<FailureDomain>('a'), incarnation: 1, state: 'up', revision: 0, heir: undefined })
  const calls = { era: store.era, snapshot: (prefix: string) => reads.snapshot(prefix), create: (key: string, value: string) => reads.create(key, value), update: (...args: Parameters<StandInStore['update']>) => reads.update(...args) }
  const history = new PoolHistory({ self, store: calls, membership: { links, joined: true, rankedFor: () => members }, random: () => 0.5, metrics: createMetrics(), completeSinceMs: () => registry.completeSinceMs, registryAgeMs: () => registry.ageMs })
  histories.push(history)
  history.start()
  return history
}

const pass = async (ms: number) => { await vi.advanceTimersByTimeAsync(ms) }
const mayBegin = (history: PoolHistory, ...versions: Array<EndpointVersion | undefined>) => views(...versions).map((view) => history.mayBegin(view))
const stored = async () => JSON.parse((await store.get(KEY))!.value) as { era: number, versions: Record<string, string> }

async function confirm (history: PoolHistory): Promise<unknown> {
  const confirmation = history.confirm(POOL)
  await pass(400)
  return await confirmation
}

test('no work begins at a version before the store holds it', async () => {
  const history = await start()
  history.endpointsChanged(views(V1))
  expect([mayBegin(history, V1), history.settled]).toEqual([[false], false])
  await pass(FIRST_TURN_MS)
  expect([mayBegin(history, V1), history.settled, await stored(), history.isCertain(POOL)]).toEqual([[true], true, { era: 0, versions: { 'version=v1': 'listed' } }, true])
  history.endpointsChanged(views(V1, V2, undefined))
  expect([mayBegin(history, V1, V2, undefined), history.isCertain(POOL)]).toEqual([[true, false, false], false])
  await pass(FIRST_TURN_MS)
  expect([mayBegin(history, V1, V2, undefined), (await stored()).versions, await confirm(history)]).toEqual([[true, true, true], { none: 'listed', 'version=v1': 'listed', 'version=v2': 'listed' }, SEVERAL])
})

test('a daemon that knows one version learns of another from the store, whatever its registry shows', async () => {
  // Guards against a list of endpoints that is complete up to some moment.
  const behind = await start()
  const ahead = await start()
  for (const history of histories) history.endpointsChanged(views(V1))
  await pass(500)
  expect(await confirm(behind)).toEqual(ONLY_V1)
  ahead.endpointsChanged(views(V1, V2))
  await pass(500)
  expect(mayBegin(ahead, V2)).toEqual([true])
  expect(await confirm(behind)).toEqual(SEVERAL)
})

test('take-ups at one time share a read, which begins after the last of them', async () => {
  // Guards against an answer that was on its way when another daemon began a stream.
  let reads = 0
  const slow = async (prefix: string) => {
    const snapshot = await store.snapshot(prefix)
    await delay(reads++ === 0 ? 0 : 100)
    return snapshot
  }
  const other = await start()
  const history = await start({ reads: { snapshot: slow, create: (key, value) => store.create(key, value), update: (...args) => store.update(...args) } })
  for (const each of histories) each.endpointsChanged(views(V1))
  await pass(500)
  reads = 1
  const early = [history.confirm(POOL), history.confirm(POOL)]
  await pass(20)
  other.endpointsChanged(views(V1, V2))
  await pass(70)
  expect(mayBegin(other, V2)).toEqual([true])
  const late = [history.confirm(POOL), history.confirm(POOL)]
  await pass(400)
  expect(await Promise.all([...early, ...late])).toEqual([ONLY_V1, ONLY_V1, SEVERAL, SEVERAL])
  expect(reads).toBe(3)
})

test.each([9, 87, 420])('of %i daemons that see a version at once, a few write', async (count) => {
  for (let i = 0; i < count; i++) await start()
  await pass(1000)
  for (const history of histories) history.endpointsChanged(views(V1))
  const before = { ...store.calls }
  await pass(MAX_WITHHELD_MS)
  expect(histories.every((history) => history.mayBegin(views(V1)[0]!))).toBe(true)
  expect(store.calls.writes - before.writes).toBeLessThanOrEqual(3)
  expect(store.calls.reads - before.reads).toBeLessThanOrEqual(2 * count + 3)
})

test('the next daemon in rank writes if the first does not', async () => {
  const down = { snapshot: () => new Promise<never>(() => {}), create: () => new Promise<never>(() => {}), update: () => new Promise<never>(() => {}) }
  const first = await start({ reads: down })
  const second = await start()
  for (const history of histories) history.endpointsChanged(views(V1))
  await pass(500)
  expect([mayBegin(second, V1), mayBegin(first, V1)]).toEqual([[true], [true]])
  expect(await confirm(first)).toBeUndefined()
})

test('endpoints are used after a bounded time while no daemon reaches the store, and the version is written once it answers', async () => {
  // Guards against accepted work that is lost to an outage of the store.
  const history = await start()
  history.endpointsChanged(views(V1))
  await pass(FIRST_TURN_MS)
  store.faults.down = true
  history.endpointsChanged(views(V1, V2))
  await pass(MAX_WITHHELD_MS)
  expect(mayBegin(history, V1, V2)).toEqual([true, false])
  history.endpointsChanged(views(V2))
  await pass(MAX_WITHHELD_MS)
  expect([mayBegin(history, V2), history.isCertain(POOL), await confirm(history)]).toEqual([[true], false, undefined])
  history.endpointsChanged(views(V1, V2))
  await pass(MAX_WITHHELD_MS)
  expect(mayBegin(history, V1, V2)).toEqual([false, true])
  await pass(30 * MAX_WITHHELD_MS)
  expect(mayBegin(history, V1, V2)).toEqual([false, true])
  store.faults.down = false
  await pass(10_000)
  expect([(await stored()).versions, await confirm(history)]).toEqual([{ 'version=v1': 'listed', 'version=v2': 'listed' }, SEVERAL])
})

test('after a return of the store to a copy, a pool has an unknown version until no stream from before lives', async () => {
  // Guards against a version that the copy lacks.
  const registry = { completeSinceMs: steadyNow(), ageMs: 0 }
  const history = await start({ registry })
  history.endpointsChanged(views(V1))
  await pass(FIRST_TURN_MS)
  store.takeCopy()
  history.endpointsChanged(views(V1, V2))
  await pass(FIRST_TURN_MS)
  store.returnToCopy()
  store.era.learn(1, 'peer')
  await pass(1)
  expect([mayBegin(history, V1, V2), await confirm(history)]).toEqual([[true, true], SEVERAL])
  await pass(1000)
  expect(await stored()).toEqual({ era: 1, versions: { unknown: 'retiring', 'version=v1': 'listed', 'version=v2': 'listed' } })
  history.endpointsChanged(views(V1))
  await pass(RETIREMENT_MS)
  expect(await confirm(history)).toEqual(SEVERAL)
  await pass(60_000)
  expect([await stored(), await confirm(history)]).toEqual([{ era: 1, versions: { 'version=v1': 'listed' } }, ONLY_V1])
})

test('a version that has left stays until no stream of it lives, watched without a gap', async () => {
  const registry: { completeSinceMs: number | undefined, ageMs: number } = { completeSinceMs: steadyNow(), ageMs: 0 }
  const history = await start({ registry })
  history.endpointsChanged(views(V1, V2))
  await pass(FIRST_TURN_MS)
  history.endpointsChanged(views(V1))
  await pass(30_000)
  expect((await stored()).versions).toEqual({ 'version=v1': 'listed', 'version=v2': 'retiring' })
  await pass(RETIREMENT_MS / 2)
  registry.completeSinceMs = steadyNow()
  await pass(RETIREMENT_MS - 1000)
  expect(await confirm(history)).toEqual(SEVERAL)
  await pass(30_000)
  expect([await confirm(history), history.isCertain(POOL)]).toEqual([ONLY_V1, true])
})

test('a version that is listed again before it is removed is written again before work begins there, and stays', async () => {
  // Guards against a removal that takes back a version at which streams begin.
  const history = await start()
  const second = await start()
  for (const each of histories) each.endpointsChanged(views(V1, V2))
  await pass(500)
  for (const each of histories) each.endpointsChanged(views(V1))
  await pass(RETIREMENT_MS - 60_000)
  second.endpointsChanged(views(V1, V2))
  expect(mayBegin(second, V2)).toEqual([false])
  await pass(500)
  expect([mayBegin(second, V2), (await stored()).versions]).toEqual([[true], { 'version=v1': 'listed', 'version=v2': 'listed' }])
  await pass(120_000)
  expect(await confirm(history)).toEqual(SEVERAL)
})

test('a pool all of whose entries have lapsed keeps its versions', async () => {
  const history = await start()
  history.endpointsChanged(views(V1, V2))
  await pass(FIRST_TURN_MS)
  history.endpointsChanged([])
  await pass(2 * RETIREMENT_MS)
  expect((await stored()).versions).toEqual({ 'version=v1': 'listed', 'version=v2': 'listed' })
})

test.each(['null', '"text"', '{"era":0,"versions":{"version=v1":"listed","__proto__":{}}}', '{"era":0,"versions":5}'])('an odd entry of another program is replaced, and the pool is not certain: %s', async (value) => {
  await store.create(KEY, value)
  const history = await start()
  history.endpointsChanged(views(V1))
  await pass(MAX_WITHHELD_MS / 2)
  expect([mayBegin(history, V1), await confirm(history)]).toEqual([[true], SEVERAL])
})

test('a pool is not certain while the registry is silent, however long it was complete', async () => {
  // Guards against a belief that ends by a failure and not by its age.
  const registry = { completeSinceMs: steadyNow(), ageMs: 0 }
  const history = await start({ registry })
  let lost = 0
  history.onUncertain = () => { lost++ }
  history.endpointsChanged(views(V1))
  await pass(60_000)
  expect([history.isCertain(POOL), lost]).toEqual([true, 0])
  registry.ageMs = 10_000
  await pass(1000)
  expect([history.isCertain(POOL), lost]).toEqual([false, 1])
})

test('no work begins at a version that the store refuses to hold while others of the pool may get it', async () => {
  // Guards against a stream of a version that was never written, after which a daemon takes the pool for one of another version.
  let refuses = false
  const refused = async () => { throw new StoreError('Cannot write: 429', { failure: 'not-applied' }) }
  const writes = { snapshot: (prefix: string) => store.snapshot(prefix), create: (...args: Parameters<StandInStore['create']>) => (refuses ? refused() : store.create(...args)), update: (...args: Parameters<StandInStore['update']>) => (refuses ? refused() : store.update(...args)) }
  const history = await start({ reads: writes })
  history.endpointsChanged(views(V1))
  await pass(500)
  refuses = true
  history.endpointsChanged(views(V1, V2))
  await pass(60_000)
  expect([mayBegin(history, V1, V2), await confirm(history)]).toEqual([[true, false], ONLY_V1])
})

test('a new version is used in a bounded time while all others of its pool leave and the store is away', async () => {
  // Guards against endpoints that get no work although no others may.
  const history = await start()
  history.endpointsChanged(views(V1))
  await pass(500)
  store.faults.down = true
  history.endpointsChanged([{ ...views(V1)[0]!, leavingAtMs: steadyNow() }, ...views(V2)])
  await pass(2 * MAX_WITHHELD_MS)
  expect(mayBegin(history, V2)).toEqual([true])
})

test('an answer of another daemon that arrives when a version is not listed any more does not allow it later', async () => {
  // Guards against work at a version that may have been removed from the history meanwhile.
  const silent = { snapshot: () => new Promise<never>(() => {}), create: () => new Promise<never>(() => {}), update: () => new Promise<never>(() => {}) }
  const cutOff = await start({ reads: silent })
  await start()
  for (const each of histories) each.endpointsChanged(views(V1, V2))
  await pass(299)
  cutOff.endpointsChanged(views(V1))
  await pass(400)
  cutOff.endpointsChanged(views(V1, V2))
  expect(mayBegin(cutOff, V2)).toEqual([false])
})

test('an unexpected error of the store ends no loop of the history', async () => {
  // Guards against versions that are never written again, and against the end of the process.
  expectedErrors.set('pool-history', [])
  let failures = 2
  const faulty = { snapshot: async (prefix: string) => (failures-- > 0 ? await Promise.reject(new TypeError('unexpected')) : await store.snapshot(prefix)), create: (...args: Parameters<StandInStore['create']>) => store.create(...args), update: (...args: Parameters<StandInStore['update']>) => store.update(...args) }
  const history = await start({ reads: faulty })
  history.endpointsChanged(views(V1))
  await pass(5000)
  expect([expectedErrors.get('pool-history')!.length > 0, mayBegin(history, V1), history.isCertain(POOL)]).toEqual([true, [true], true])
  expectedErrors.delete('pool-history')
})
