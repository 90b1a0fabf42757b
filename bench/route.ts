/** Time of a routing decision, spread of subsets, and herding on lagged load. */
import xxhash from 'xxhash-wasm'
import { as, type DaemonId, type EndpointId } from '../core/ids/index.ts'
import { LeastLoadedRouter, noWork, subset, TargetRouter, type EndpointView, type Random, type Router, type RouteQuery } from '../core/routing/index.ts'
import { seededRandom } from '../daemon/seeded_random.ts'
import { quantile, round, slope, type Bench, type Figures } from './bench.ts'

const SIZES = [24, 100, 300, 600]
const DECISIONS = 20_000
const DAEMONS = 420
const SUBSET = 24

/** `npm run bench -- route`. */
export const routeBench: Bench = {
  name: 'route',
  about: 'time of a routing decision, spread of subsets, herding on lagged load',
  async run ({ seed, print }) {
    const { h32 } = await xxhash()
    const random = seededRandom(seed)
    const times = SIZES.map((size) => ({ endpoints: size, target: timeOf(new TargetRouter({ random }), size, random), leastLoaded: timeOf(new LeastLoadedRouter(), size, random) }))
    const herding = [1, 250, 1000].flatMap((lagMs) => ['target', 'leastLoaded'].map((router) => herd(router, lagMs, seededRandom(seed))))
    for (const row of [...times, ...herding]) print(JSON.stringify(row))
    return { times, usPerEndpoint: round(slope(times.map((row) => ({ x: row.endpoints, y: row.target }))), 4), subsets: spreadOf((text) => h32(text)), herding }
  }
}

function makeViews (count: number, random: Random): EndpointView[] {
  return Array.from({ length: count }, (_, i) => ({
    id: as<EndpointId>(`e${i}`),
    hostId: as(`h${i}`),
    pool: as('p'),
    failureDomain: as(`d${i % 8}`),
    address: '',
    pricePerHour: 3 + random() * 3,
    reclaimable: true,
    speed: { batchSlots: 64, prefillTokensPerS: 12_000, betweenTokensMs: 20, betweenTokensPerStreamMs: 0.3, exportTokensPerS: 1, importTokensPerS: 1 },
    others: { running: Math.floor(random() * 40), unread: { urgent: 0, normal: Math.floor(random() * 4000), late: 0 } },
    firstMs: 0,
    slowness: 1,
    own: noWork(),
    leavingAtMs: undefined,
    ejectedUntilMs: 0
  }))
}

const query = (): RouteQuery => ({ promptTokens: 2000, expectedTokens: 400, firstTokenMs: 1800, betweenTokensMs: 32, avoid: [], cachedTokens: () => 0 })

/** Microseconds for one decision. */
function timeOf (router: Router, size: number, random: Random): number {
  const views = makeViews(size, random)
  const asked = query()
  const from = performance.now()
  for (let i = 0; i < DECISIONS; i++) router.pick(asked, views, 0)
  return round((performance.now() - from) * 1000 / DECISIONS)
}

function spreadOf (hash: (text: string) => number): Figures {
  const endpoints = makeViews(600, seededRandom(1))
  const users = new Map<string, number>()
  for (let i = 0; i < DAEMONS; i++) {
    for (const { id } of subset(as<DaemonId>(`daemon-${i}`), endpoints, { hash, size: SUBSET })) users.set(id, (users.get(id) ?? 0) + 1)
  }
  const counts = endpoints.map(({ id }) => users.get(id) ?? 0)
  return { daemons: DAEMONS, endpoints: 600, subset: SUBSET, connectionsPerDaemon: SUBSET, daemonsPerEndpoint: { mean: round(DAEMONS * SUBSET / 600, 1), min: Math.min(...counts), p95: quantile(counts, 0.95), max: Math.max(...counts) } }
}

const HERD_DAEMONS = 60
const HERD_ENDPOINTS = 60
const HERD_MS = 20_000
const ARRIVALS_PER_MS = 1.1
const RUN_MS = 2000

/** Many daemons route on load reports that lag; figures are streams beyond the batch, where tokens come too slowly. */
function herd (name: string, lagMs: number, random: Random): Figures {
  const truth = new Array<number>(HERD_ENDPOINTS).fill(0)
  const daemons = Array.from({ length: HERD_DAEMONS }, () => ({ views: makeViews(HERD_ENDPOINTS, random), router: name === 'target' ? new TargetRouter({ random }) : new LeastLoadedRouter() }))
  const ends: Array<{ atMs: number, endpoint: number }> = []
  let over = 0
  let started = 0
  let peak = 0
  for (let now = 0; now < HERD_MS; now++) {
    while (ends[0] && ends[0].atMs <= now) truth[ends.shift()!.endpoint]!--
    if (now % lagMs === 0) for (const { views } of daemons) report(views, truth)
    for (let due = ARRIVALS_PER_MS + (random() - 0.5); due > random(); due--) {
      const { views, router } = daemons[Math.floor(random() * HERD_DAEMONS)]!
      const route = router.pick(query(), views, now)
      if (!route) continue
      const endpoint = Number(route.view.id.slice(1))
      route.view.own.running++
      truth[endpoint]!++
      started++
      peak = Math.max(peak, truth[endpoint]!)
      if (truth[endpoint]! > route.view.speed.batchSlots) over++
      ends.push({ atMs: now + RUN_MS, endpoint })
    }
  }
  return { router: name, lagMs, started, beyondBatch: round(over / started, 4), peak, mean: round(started * RUN_MS / HERD_MS / HERD_ENDPOINTS, 1) }
}

function report (views: readonly EndpointView[], truth: readonly number[]): void {
  views.forEach((view, i) => {
    view.others = { running: truth[i]!, unread: noWork().unread }
    view.own = noWork()
  })
}
