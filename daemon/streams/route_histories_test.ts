import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, type DaemonId, type EndpointVersion, type PoolName } from '../../core/ids/index.ts'
import { routeKeyOf, type VersionEvidence } from '../../core/streams/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { StandInNetwork, StandInStore } from '../../standins/index.ts'
import { createMetrics } from '../metrics.ts'
import { decodeEvidence, encodeEvidence } from './_messages.ts'
import { RETIREMENT_MS } from './_version_retirement.ts'
import { PoolHistory } from './pool_history.ts'

const HOST = 'a.example'
const V1 = as<EndpointVersion>('v1')
const POOLS = ['one', 'two'].map((name) => as<PoolName>(name)) as [PoolName, PoolName]
const [ONE, TWO] = POOLS
const ORIGIN = { host: HOST, path: '/review/1' }
const SEVERAL = { isOnly: false }
const WRITTEN_MS = 200

let network: StandInNetwork
let store: StandInStore
let histories: PoolHistory[]
beforeEach(() => {
  vi.useFakeTimers()
  network = new StandInNetwork()
  store = new StandInStore()
  histories = []
})
afterEach(() => {
  for (const history of histories) history.stop()
  vi.useRealTimers()
})

const pass = async (ms: number) => { await vi.advanceTimersByTimeAsync(ms) }
const routeTo = (pathPrefix: string, ...pools: PoolName[]) => ({ host: HOST, pathPrefix, pools: pools.map((pool) => ({ pool, weight: 1 })), cls: { resumable: true } })

/** Starts a daemon that sees an endpoint of each pool, both of one version, and serves the given routes. */
async function start (...routes: Array<ReturnType<typeof routeTo>>): Promise<PoolHistory> {
  const self = as<DaemonId>(`d${histories.length}`)
  const links = network.join(self)
  await links.listen()
  const startedAtMs = steadyNow()
  const member = { id: self, address: `node:${self}`, failureDomain: as<never>('a'), incarnation: 1, state: 'up' as const, revision: 0, heir: undefined }
  const history = new PoolHistory({ self, store, membership: { links, joined: true, rankedFor: () => [member] }, random: () => 0.5, metrics: createMetrics(), completeSinceMs: () => startedAtMs, registryAgeMs: () => 0 })
  histories.push(history)
  history.start()
  history.routesChanged(routes)
  expect(history.settled).toBe(false)
  history.endpointsChanged(POOLS.map((pool) => ({ pool, version: V1 })))
  await pass(WRITTEN_MS)
  expect(history.settled).toBe(true)
  return history
}

async function confirm (history: PoolHistory, pool: PoolName, origin = ORIGIN): Promise<unknown> {
  const confirmation = history.confirm(pool, { origin })
  await pass(400)
  return await confirmation
}

test('a pool of one version proves nothing about streams of a route that was moved to it, until none of them can live', async () => {
  // Guards against a stream that goes on in the pool that serves its route now, and began in another one.
  const history = await start(routeTo('/review/', ONE))
  expect([history.isCertain(ONE, ORIGIN), await confirm(history, ONE)]).toEqual([true, { isOnly: true, version: V1 }])
  let isUncertain = false
  history.onUncertain = () => { isUncertain = true }
  history.routesChanged([routeTo('/review/', TWO)])
  expect([isUncertain, history.isCertain(ONE, ORIGIN)]).toEqual([true, false])
  await pass(WRITTEN_MS)
  expect([history.isCertain(TWO, ORIGIN), await confirm(history, TWO)]).toEqual([false, SEVERAL])
  // A daemon that knows nothing but the present configuration.
  expect(await confirm(await start(routeTo('/review/', TWO)), TWO)).toEqual(SEVERAL)
  histories.pop()!.stop()
  await pass(RETIREMENT_MS + 60_000)
  expect([history.isCertain(TWO, ORIGIN), await confirm(history, TWO)]).toEqual([true, { isOnly: true, version: V1 }])
})

test('a daemon that does not know yet that a route was moved learns it from the store', async () => {
  const behind = await start(routeTo('/review/', ONE))
  const ahead = await start(routeTo('/review/', ONE))
  ahead.routesChanged([routeTo('/review/', TWO)])
  await pass(WRITTEN_MS)
  expect(await confirm(behind, ONE)).toEqual(SEVERAL)
})

test.each([
  ['added within another one', [routeTo('/review/', ONE)], [routeTo('/review/', ONE), routeTo('/review/1', TWO)], TWO],
  ['removed from within another one', [routeTo('/review/', ONE), routeTo('/review/1', TWO)], [routeTo('/review/', ONE)], ONE]
])('streams of a route that was %s may have begun in the pools of both', async (_what, before, after, pool) => {
  // Guards against a route that is known by its own name only, while the same requests came by another one.
  const history = await start(...before)
  history.routesChanged(after)
  await pass(WRITTEN_MS)
  expect([history.isCertain(pool, ORIGIN), await confirm(history, pool)]).toEqual([false, SEVERAL])
  expect(await confirm(history, ONE, { host: HOST, path: '/review/2' })).toEqual({ isOnly: true, version: V1 })
})

test('routes that no stored history names prove nothing, nor do those of a route whose streams end with their caller', async () => {
  const history = await start(routeTo('/review/', ONE), { ...routeTo('/letter/', ONE), cls: { resumable: false } })
  expect(await confirm(history, ONE, { host: HOST, path: '/letter/1' })).toEqual(SEVERAL)
  expect(await confirm(history, ONE, { host: 'b.example', path: ORIGIN.path })).toEqual(SEVERAL)
  expect((await store.snapshot('pool-versions/')).objects.map(({ key }) => key).sort()).toEqual([ONE, routeKeyOf({ host: HOST, pathPrefix: '/review/' }), TWO].map((name) => `pool-versions/${name}`).sort())
})

test('the confirmation of a daemon that does not know of origins counts only against a pool', () => {
  // Guards against daemons of an earlier release, which answer for the pool alone.
  const evidence: VersionEvidence = { record: undefined, versions: [V1], confirmation: { isOnly: true, version: V1 } }
  const reply = encodeEvidence(evidence)
  expect(decodeEvidence(reply, { origin: ORIGIN }).confirmation).toBeUndefined()
  expect(decodeEvidence({ ...reply, ofOrigin: true }, { origin: ORIGIN }).confirmation).toEqual(evidence.confirmation)
  expect(decodeEvidence(encodeEvidence({ ...evidence, confirmation: { isOnly: false } }), { origin: ORIGIN }).confirmation).toEqual(SEVERAL)
})
