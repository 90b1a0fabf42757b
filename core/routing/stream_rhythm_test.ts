import { expect, test } from 'vitest'
import { as } from '../ids/index.ts'
import { keepsPace, noWork, POOL_SMOOTHING, slowdown, StreamRhythm, TargetRouter, type EndpointView, type RouteQuery } from './index.ts'

function view (name: string, rhythm: StreamRhythm, poolRhythm: StreamRhythm): EndpointView {
  const speed = { batchSlots: 48, prefillTokensPerS: 50_000, betweenTokensMs: 4, betweenTokensPerStreamMs: 0.1, exportTokensPerS: 0, importTokensPerS: 0 }
  return { id: as(name), hostId: as(name), pool: as('p'), failureDomain: as('d'), address: name, pricePerHour: 0, reclaimable: true, speed, firstMs: 50, rhythm, poolRhythm, slowness: 1, others: noWork(), own: noWork(), leavingAtMs: undefined, ejectedUntilMs: 0 }
}

/** Three streams at each endpoint for a second; those at `slow` come at a fifth of the speed. */
function secondOfStreams () {
  const pool = new StreamRhythm({ smoothing: POOL_SMOOTHING })
  const [good, slow] = [new StreamRhythm(), new StreamRhythm()]
  for (let now = 0; now <= 1000; now += 125) {
    for (let i = 0; i < 9; i++) pool.learn(125, now)
    for (let i = 0; i < 3; i++) good.learn(125, now)
    if (now % 625 !== 0 || now === 0) continue
    for (let i = 0; i < 3; i++) { pool.learn(625, now); slow.learn(625, now) }
  }
  return { pool, good, slow }
}

const query: RouteQuery = { promptTokens: 800, expectedTokens: 290, firstTokenMs: 400, betweenTokensMs: 300, avoid: [], cachedTokens: () => 0 }

test('an endpoint that turns slow gets no work once its streams show it, though it is the emptiest', () => {
  // Each answer from one endpoint comes late, with pauses of 625 ms where 300 are allowed, for as long as its first tokens take to tell: new work
  // went there, because the streams beside it had ended.
  const { pool, good, slow } = secondOfStreams()
  const [busy, empty] = [view('good', good, pool), view('slow', slow, pool)]
  busy.own.running = 20
  expect(keepsPace(empty, 300, 1000)).toBe(false)
  expect(slowdown(slow, pool, 1000)).toBeGreaterThan(4)
  expect(new TargetRouter({ random: () => 0.5 }).pick(query, [busy, empty], 1000)).toMatchObject({ view: { id: 'good' }, meetsTarget: true })
})

test('what was seen long ago says nothing: it gets work again, and shows', () => {
  const { pool, good, slow } = secondOfStreams()
  expect(slow.pauseMs(1000)).toBe(625)
  expect(slow.pauseMs(4000)).toBeUndefined()
  expect([keepsPace(view('slow', slow, pool), 300, 4000), slowdown(slow, pool, 4000)]).toEqual([true, 1])
  expect([keepsPace(view('good', good, pool), 300, 1000), slowdown(good, pool, 1000)]).toEqual([true, 1])
})

test('a class that names no pause is served anywhere', () => {
  const { pool, slow } = secondOfStreams()
  expect(keepsPace(view('slow', slow, pool), undefined, 1000)).toBe(true)
})
