import { expect, test } from 'vitest'
import { as } from '../ids/index.ts'
import { meetsIntervalTarget, noWork, POOL_SMOOTHING, slowdownFactor, ChunkIntervalEstimator, TargetRouter, type EndpointView, type RouteQuery } from './index.ts'

function view (name: string, rhythm: ChunkIntervalEstimator, poolRhythm: ChunkIntervalEstimator): EndpointView {
  const speed = { batchSlots: 48, prefillTokensPerS: 50_000, betweenTokensMs: 4, betweenTokensPerStreamMs: 0.1, exportTokensPerS: 0, importTokensPerS: 0 }
  return { id: as(name), hostId: as(name), pool: as('p'), failureDomain: as('d'), address: name, pricePerHour: 0, reclaimable: true, speed, firstMs: 50, chunkInterval: rhythm, poolChunkInterval: poolRhythm, latencyFactor: 1, others: noWork(), own: noWork(), leavingAtMs: undefined, ejectedUntilMs: 0 }
}

/** Simulates one second of three streams at each endpoint; those at `slow` run at a fifth of the speed. */
function simulateStreams () {
  const pool = new ChunkIntervalEstimator({ smoothing: POOL_SMOOTHING })
  const [good, slow] = [new ChunkIntervalEstimator(), new ChunkIntervalEstimator()]
  for (let now = 0; now <= 1000; now += 125) {
    for (let i = 0; i < 9; i++) pool.learn(125, now)
    for (let i = 0; i < 3; i++) good.learn(125, now)
    if (now % 625 !== 0 || now === 0) continue
    for (let i = 0; i < 3; i++) { pool.learn(625, now); slow.learn(625, now) }
  }
  return { pool, good, slow }
}

const query: RouteQuery = { promptTokens: 800, expectedTokens: 290, firstTokenMs: 400, betweenTokensMs: 300, avoid: [], cachedTokens: () => 0 }

test('an endpoint that becomes slow gets no work once its streams show it, even if it has the least load', () => {
  // Guards against late answers with intervals of 625 ms where 300 ms are allowed: new work went to the slow endpoint because its streams had ended, until its
  // first tokens showed the problem.
  const { pool, good, slow } = simulateStreams()
  const [busy, empty] = [view('good', good, pool), view('slow', slow, pool)]
  busy.own.running = 20
  expect(meetsIntervalTarget(empty, 300, 1000)).toBe(false)
  expect(slowdownFactor(slow, pool, 1000)).toBeGreaterThan(4)
  expect(new TargetRouter({ random: () => 0.5 }).pick(query, [busy, empty], 1000)).toMatchObject({ view: { id: 'good' }, meetsTarget: true })
})

test('old samples expire, so that the endpoint gets work again and yields new ones', () => {
  const { pool, good, slow } = simulateStreams()
  expect(slow.intervalMs(1000)).toBe(625)
  expect(slow.intervalMs(4000)).toBeUndefined()
  expect([meetsIntervalTarget(view('slow', slow, pool), 300, 4000), slowdownFactor(slow, pool, 4000)]).toEqual([true, 1])
  expect([meetsIntervalTarget(view('good', good, pool), 300, 1000), slowdownFactor(good, pool, 1000)]).toEqual([true, 1])
})

test('a class without an interval target is served by any endpoint', () => {
  const { pool, slow } = simulateStreams()
  expect(meetsIntervalTarget(view('slow', slow, pool), undefined, 1000)).toBe(true)
})
