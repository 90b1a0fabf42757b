/** Latency of routing decisions, balance of endpoint subsets, and herding on stale load reports. */
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
  about: 'latency of routing decisions, balance of subsets, herding on stale load reports',
  async run ({ seed, print }) {
    const { h32 } = await xxhash()
    const random = seededRandom(seed)
    const times = SIZES.map((size) => ({ endpoints: size, target: decisionTimeUs(new TargetRouter({ random }), size, random), leastLoaded: decisionTimeUs(new LeastLoadedRouter(), size, random) }))
    const herding = [1, 250, 1000].flatMap((lagMs) => ['target', 'leastLoaded'].map((router) => simulateHerding(router, lagMs, seededRandom(seed))))
    for (const row of [...times, ...herding]) print(JSON.stringify(row))
    return { times, usPerEndpoint: round(slope(times.map((row) => ({ x: row.endpoints, y: row.target }))), 4), subsets: subsetSpread((text) => h32(text)), herding }
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
    latencyFactor: 1,
    own: noWork(),
    leavingAtMs: undefined,
    ejectedUntilMs: 0
  }))
}

const query = (): RouteQuery => ({ promptTokens: 2000, expectedTokens: 400, firstTokenMs: 1800, betweenTokensMs: 32, avoid: [], cachedTokens: () => 0 })

/** Returns the mean time per routing decision, in microseconds. */
function decisionTimeUs (router: Router, size: number, random: Random): number {
  const views = makeViews(size, random)
  const routeQuery = query()
  const startedAt = performance.now()
  for (let i = 0; i < DECISIONS; i++) router.pick(routeQuery, views, 0)
  return round((performance.now() - startedAt) * 1000 / DECISIONS)
}

function subsetSpread (hash: (text: string) => number): Figures {
  const endpoints = makeViews(600, seededRandom(1))
  const daemonCounts = new Map<string, number>()
  for (let i = 0; i < DAEMONS; i++) {
    for (const { id } of subset(as<DaemonId>(`daemon-${i}`), endpoints, { hash, size: SUBSET })) daemonCounts.set(id, (daemonCounts.get(id) ?? 0) + 1)
  }
  const counts = endpoints.map(({ id }) => daemonCounts.get(id) ?? 0)
  return { daemons: DAEMONS, endpoints: 600, subset: SUBSET, connectionsPerDaemon: SUBSET, daemonsPerEndpoint: { mean: round(DAEMONS * SUBSET / 600, 1), min: Math.min(...counts), p95: quantile(counts, 0.95), max: Math.max(...counts) } }
}

const HERD_DAEMONS = 60
const HERD_ENDPOINTS = 60
const HERD_MS = 20_000
const ARRIVALS_PER_MS = 1.1
const STREAM_MS = 2000

/** Simulates daemons that route on stale load reports. Counts streams started beyond the batch size, where tokens are generated too slowly. */
function simulateHerding (name: string, lagMs: number, random: Random): Figures {
  const actualRunning = new Array<number>(HERD_ENDPOINTS).fill(0)
  const daemons = Array.from({ length: HERD_DAEMONS }, () => ({ views: makeViews(HERD_ENDPOINTS, random), router: name === 'target' ? new TargetRouter({ random }) : new LeastLoadedRouter() }))
  const ends: Array<{ atMs: number, endpoint: number }> = []
  let overBatch = 0
  let started = 0
  let peak = 0
  for (let now = 0; now < HERD_MS; now++) {
    while (ends[0] && ends[0].atMs <= now) actualRunning[ends.shift()!.endpoint]!--
    if (now % lagMs === 0) for (const { views } of daemons) reportLoads(views, actualRunning)
    for (let due = ARRIVALS_PER_MS + (random() - 0.5); due > random(); due--) {
      const { views, router } = daemons[Math.floor(random() * HERD_DAEMONS)]!
      const route = router.pick(query(), views, now)
      if (!route) continue
      const endpoint = Number(route.view.id.slice(1))
      route.view.own.running++
      actualRunning[endpoint]!++
      started++
      peak = Math.max(peak, actualRunning[endpoint]!)
      if (actualRunning[endpoint]! > route.view.speed.batchSlots) overBatch++
      ends.push({ atMs: now + STREAM_MS, endpoint })
    }
  }
  return { router: name, lagMs, started, beyondBatch: round(overBatch / started, 4), peak, mean: round(started * STREAM_MS / HERD_MS / HERD_ENDPOINTS, 1) }
}

function reportLoads (views: readonly EndpointView[], actualRunning: readonly number[]): void {
  views.forEach((view, i) => {
    view.others = { running: actualRunning[i]!, unread: noWork().unread }
    view.own = noWork()
  })
}
