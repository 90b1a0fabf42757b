import xxhash from 'xxhash-wasm'
import { expect, test } from 'vitest'
import { as, type EndpointId } from '../ids/index.ts'
import { splitPrompt } from '../work/index.ts'
import { LeastLoadedRouter, noWork, PrefixIndex, subset, TargetRouter, type EndpointView, type RouteQuery } from './index.ts'

const { h32 } = await xxhash()
const hash = (text: string) => h32(text)
const id = (name: string) => as<EndpointId>(name)

function view (name: string, change: Partial<EndpointView> = {}): EndpointView {
  return {
    id: id(name),
    hostId: as(`host-${name}`),
    pool: as('p'),
    failureDomain: as('d'),
    address: name,
    pricePerHour: 4,
    reclaimable: true,
    speed: { batchSlots: 8, prefillTokensPerS: 1000, betweenTokensMs: 20, betweenTokensPerStreamMs: 1, exportTokensPerS: 1, importTokensPerS: 1 },
    others: { running: 0, unread: { urgent: 0, normal: 0, late: 0 } },
    firstMs: 0,
    latencyFactor: 1,
    own: noWork(),
    leavingAtMs: undefined,
    ejectedUntilMs: 0,
    ...change
  }
}

const query = (change: Partial<RouteQuery> = {}): RouteQuery => ({ promptTokens: 1000, expectedTokens: 100, firstTokenMs: 1800, betweenTokensMs: 32, avoid: [], cachedTokens: () => 0, ...change })
const router = () => new TargetRouter({ random: () => 0.5 })

test('selects the cheapest endpoint that meets the target, not the cheapest overall', () => {
  const busy = view('cheap', { pricePerHour: 2, others: { running: 1, unread: { urgent: 0, normal: 5000, late: 0 } } })
  const free = view('dear', { pricePerHour: 6 })
  expect(router().pick(query(), [busy, free], 0)).toMatchObject({ view: { id: 'dear' }, meetsTarget: true })
  expect(router().pick(query({ firstTokenMs: 10_000 }), [busy, free], 0)).toMatchObject({ view: { id: 'cheap' } })
})

test('leaving, ejected and avoided endpoints are not selected', () => {
  const views = [view('leaving', { leavingAtMs: 1 }), view('ejected', { ejectedUntilMs: 100 }), view('avoided')]
  for (const each of [router(), new LeastLoadedRouter()]) expect(each.pick(query({ avoid: [id('avoided')] }), views, 50)).toBeUndefined()
})

test('a cached prefix shortens the predicted first-token latency', () => {
  const views = [view('a', { others: { running: 0, unread: { urgent: 0, normal: 900, late: 0 } } }), view('b')]
  expect(router().pick(query({ firstTokenMs: 950, cachedTokens: (endpoint) => (endpoint === 'a' ? 950 : 0) }), views, 0)).toMatchObject({ view: { id: 'a' } })
})

test('own work counts before it is reported', () => {
  // Guards against sending a whole burst of requests to the endpoint that was idle in the last report, where tokens then come too slowly.
  const views = [view('a'), view('b')]
  const picked = Array.from({ length: 8 }, () => {
    const { view: chosen } = router().pick(query(), views, 0)!
    chosen.own.running++
    chosen.own.unread.normal += 1000
    return chosen.id
  })
  expect(picked.filter((each) => each === 'a')).toHaveLength(4)
})

test('a prompt prefix is found at the endpoint that ran it, until the entry expires', () => {
  const index = new PrefixIndex({ expiresMs: 1000 })
  const parts = (prompt: string) => splitPrompt(prompt, { hash, blockLength: 8 })
  index.record(parts('shared--beginning-of-a'), id('a'), 0)
  expect(index.lookup(parts('shared--beginning-of-b'), 500).get(id('a'))).toBe(4)
  expect(index.lookup(parts('another-beginning-of-b'), 500).size).toBe(0)
  expect(index.lookup(parts('shared--beginning-of-b'), 2000).size).toBe(0)
})

test('an endpoint that leaves changes one entry of a subset, and subsets differ between daemons', () => {
  const all = Array.from({ length: 100 }, (_, i) => ({ id: `e${i}` }))
  const before = subset(as('daemon'), all, { hash, size: 10 })
  const after = subset(as('daemon'), all.filter((each) => each !== before[0]), { hash, size: 10 })
  expect(after.filter((each) => !before.includes(each))).toHaveLength(1)
  expect(subset(as('other'), all, { hash, size: 10 })).not.toEqual(before)
})

test('a newly listed endpoint is not overloaded by all daemons at once', () => {
  // Guards against waits of seconds despite sufficient endpoints: after a reclaim eight daemons have queued work, and each sends all of it to a newly listed
  // endpoint before the first report.
  const sent = [0, 0]
  for (let daemon = 0; daemon < 8; daemon++) {
    const views = [view('new', { speed: { ...view('x').speed, batchSlots: 48 }, listedAtMs: 1000 }), view('old', { speed: { ...view('x').speed, batchSlots: 48 } })]
    const daemonRouter = new TargetRouter({ random: () => 0.5, sharers: () => 8 })
    for (let i = 0; i < 8; i++) {
      const { view: chosen } = daemonRouter.pick(query({ firstTokenMs: 20_000 }), views, 1050)!
      chosen.own.running++
      chosen.own.unread.normal += 1000
      sent[chosen.id === id('new') ? 0 : 1]!++
    }
  }
  expect(sent[0]).toBeLessThanOrEqual(16)
  expect(sent[0]).toBeGreaterThan(0)
})

test('requests go where shared parts are cached, as long as the first token is in time there', () => {
  // Guards against prefilling shared prompts again at a slightly less loaded endpoint, which delays the requests queued there.
  const views = [view('keeps', { pricePerHour: 0, others: { running: 0, unread: { urgent: 0, normal: 900, late: 0 } } }), view('empty', { pricePerHour: 0 })]
  const cachedTokens = (endpoint: EndpointId) => (endpoint === id('keeps') ? 600 : 0)
  expect(router().pick(query({ cachedTokens }), views, 0)).toMatchObject({ view: { id: 'keeps' }, uncachedTokens: 400 })
  expect(router().pick(query({ cachedTokens, firstTokenMs: 1200 }), views, 0)).toMatchObject({ view: { id: 'empty' } })
})
