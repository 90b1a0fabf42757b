/** Simulated days of a fleet: cost, missed requests and recomputed tokens, compared with baselines and with a lower bound that knows all reclaims in advance. */
import { CheapestPlanner, MixPlanner, OnDemandPlanner, ReclaimRisk, ScaleDownWindow, type FleetPlanner, type Offer } from '../core/fleet/index.ts'
import { as, type FailureDomain } from '../core/ids/index.ts'
import { canFinish, evaluate, JointPlanner } from '../core/reclaim/index.ts'
import type { Random } from '../core/routing/index.ts'
import { seededRandom } from '../daemon/seeded_random.ts'
import { round, type Bench, type Figures } from './bench.ts'
import { makeProblem, type Shape } from './reclaim.ts'

interface Day { shape: Shape, peakHosts: number, delivery: number, domains: readonly Domain[], demand: (ms: number) => number, waves: readonly Wave[] }
interface Domain { name: FailureDomain, price: number }
interface Wave { atMs: number, domain: FailureDomain, noticeMs: number, refusedMs: number }
interface Host { domain: FailureDomain, reclaimable: boolean, price: number, readyAtMs: number }
interface Strategy { name: string, make: () => FleetPlanner, restarts: boolean }

const STEP_MS = 30_000
const DAY_MS = 86_400_000
const BOOT_MS = 180_000
const ON_DEMAND_PRICE = 11.5
/** Headroom for demand growth while a host boots. */
const GROWTH_MARGIN = 1.08
const LOSS_PRICE = 0.05
const DAYS = 5

const STRATEGIES: readonly Strategy[] = [
  { name: 'mix', make: () => new MixPlanner(), restarts: false },
  { name: 'on-demand only', make: () => new OnDemandPlanner(), restarts: false },
  { name: 'cheapest reclaimable, restart', make: () => new CheapestPlanner(), restarts: true }
]

/** `npm run bench -- cost`. */
export const costBench: Bench = {
  name: 'cost',
  about: 'cost, missed requests and recomputed tokens of seeded days, both deployments',
  run ({ seed, print }) {
    const rows: Figures[] = []
    for (const deployment of ['adunni-levy', 'kingston-parish'] as const) {
      for (const strategy of STRATEGIES) rows.push(averageDays(deployment, strategy, seed))
    }
    for (const row of rows) print(JSON.stringify(row))
    return { days: DAYS, rows }
  }
}

function averageDays (deployment: 'adunni-levy' | 'kingston-parish', strategy: Strategy, seed: number): Figures {
  const days = Array.from({ length: DAYS }, (_, i) => {
    const day = makeDay(deployment, seededRandom(spreadSeed(seed, i)))
    return { ...simulate(day, strategy, seededRandom(spreadSeed(seed, i + DAYS))), bound: lowerBound(day) }
  })
  const mean = (pick: (day: typeof days[number]) => number) => days.reduce((sum, day) => sum + pick(day), 0) / days.length
  const target = 1 - makeDay(deployment, seededRandom(1)).delivery
  return {
    deployment,
    strategy: strategy.name,
    costPerDay: round(mean((day) => day.cost)),
    overBound: round(mean((day) => day.cost) / mean((day) => day.bound), 3),
    missed: round(mean((day) => day.missed), 6),
    worstDayMissed: round(Math.max(...days.map((day) => day.missed)), 6),
    allowedMissed: round(target, 6),
    recomputedTokens: Math.round(mean((day) => day.recomputed)),
    waves: mean((day) => day.waves)
  }
}

/** Spreads seeds apart: with adjacent seeds the first numbers of the generator are similar, so all days would start with the same reclaims. */
function spreadSeed (seed: number, i: number): number {
  return Math.imul(seed * 1000 + i + 1, 0x9E3779B1)
}

function makeDay (deployment: 'adunni-levy' | 'kingston-parish', random: Random): Day {
  const adunni = deployment === 'adunni-levy'
  const names = adunni ? ['ikeja', 'lekki', 'yaba'] : ['half-way-tree', 'cross-roads', 'new-kingston']
  const domains = names.map((name, i) => ({ name: as<FailureDomain>(name), price: [4, 4.5, 5][i]! }))
  const waves = domains.flatMap(({ name }) => drawWaves(name, random)).sort((a, b) => a.atMs - b.atMs)
  const burstAtMs = (adunni ? 9 : 15) * 3_600_000
  const demand = (ms: number) => {
    const diurnal = 0.45 + 0.3 * Math.sin((ms / DAY_MS - 0.25) * 2 * Math.PI)
    const burst = Math.max(0, 1 - Math.abs(ms - burstAtMs) / 3_600_000) * 0.3
    return diurnal + burst
  }
  const peakHosts = adunni ? 6 : 13
  return { shape: { name: deployment, endpoints: peakHosts, domains: 3, wantsLeast: adunni ? 'cost' : 'recomputed-work' }, peakHosts, delivery: 0.999, domains, demand: (ms) => demand(ms) * peakHosts, waves }
}

function drawWaves (domain: FailureDomain, random: Random): Wave[] {
  const waves: Wave[] = []
  for (let atMs = -Math.log(1 - random()) * DAY_MS; atMs < DAY_MS; atMs += -Math.log(1 - random()) * DAY_MS) {
    waves.push({ atMs, domain, noticeMs: [2000, 10_000, 30_000][Math.floor(random() * 3)]!, refusedMs: 600_000 + random() * 1_200_000 })
  }
  return waves
}

interface Result { cost: number, missed: number, recomputed: number, waves: number }

function simulate (day: Day, strategy: Strategy, random: Random): Result {
  const planner = strategy.make()
  const risk = new ReclaimRisk(0)
  const scale = new ScaleDownWindow()
  const result: Result = { cost: 0, missed: 0, recomputed: 0, waves: day.waves.length }
  let hosts: Host[] = []
  let offered = 0
  let missed = 0
  for (let now = 0; now < DAY_MS; now += STEP_MS) {
    for (const wave of day.waves.filter(({ atMs }) => atMs >= now && atMs < now + STEP_MS)) hosts = reclaim(wave, hosts, { day, strategy, risk, result, random })
    const wanted = scale.smooth(day.demand(now) * GROWTH_MARGIN, now)
    const plan = planner.plan({ hosts: wanted, delivery: day.delivery, bootMs: BOOT_MS, lossPrice: LOSS_PRICE }, offersAt(day, risk, now))
    hosts = applyPlan(plan.holdings.map(({ offer, count }) => ({ offer, count })), hosts, now)
    const ready = hosts.filter((host) => host.readyAtMs <= now).length
    offered += day.demand(now)
    missed += Math.max(0, day.demand(now) - ready)
    result.cost += hosts.reduce((sum, host) => sum + host.price, 0) * STEP_MS / 3_600_000
  }
  return { ...result, missed: missed / offered }
}

function offersAt (day: Day, risk: ReclaimRisk, now: number): Offer[] {
  const refused = (domain: FailureDomain) => day.waves.some((wave) => wave.domain === domain && wave.atMs <= now && now < wave.atMs + wave.refusedMs)
  return [
    ...day.domains.map(({ name, price }): Offer => ({ failureDomain: name, reclaimable: true, pricePerHour: price, reclaimsPerDay: risk.perDay(name, now), available: !refused(name) })),
    { failureDomain: day.domains[0]!.name, reclaimable: false, pricePerHour: ON_DEMAND_PRICE, reclaimsPerDay: 0, available: true }
  ]
}

interface WaveContext { day: Day, strategy: Strategy, risk: ReclaimRisk, result: Result, random: Random }

function reclaim (wave: Wave, hosts: readonly Host[], { day, strategy, risk, result, random }: WaveContext): Host[] {
  risk.recordReclaim(wave.domain)
  const lost = hosts.filter((host) => host.reclaimable && host.domain === wave.domain)
  if (lost.length > 0 && hosts.length > lost.length) {
    const problem = makeProblem({ ...day.shape, endpoints: hosts.length }, { leaving: lost.length, noticeMs: wave.noticeMs, random })
    result.recomputed += strategy.restarts
      ? problem.streams.filter((stream) => !canFinish(stream, problem.sources.get(stream.source)!)).reduce((sum, stream) => sum + stream.kvTokens, 0)
      : evaluate(new JointPlanner().plan(problem), problem).recomputedTokens
  } else if (lost.length > 0) {
    // No host remains to take over streams: everything is recomputed on hosts that have yet to boot.
    result.recomputed += makeProblem({ ...day.shape, endpoints: lost.length + 1 }, { leaving: lost.length, noticeMs: wave.noticeMs, random }).streams.reduce((sum, stream) => sum + stream.kvTokens, 0)
  }
  return hosts.filter((host) => !lost.includes(host))
}

/** Starts missing hosts. Surplus hosts are stopped as their replacements become ready, or immediately if no host is booting. */
function applyPlan (wanted: ReadonlyArray<{ offer: Offer, count: number }>, hosts: readonly Host[], now: number): Host[] {
  const kept: Host[] = []
  let rest = [...hosts]
  for (const { offer, count } of wanted) {
    const same = rest.filter((host) => host.domain === offer.failureDomain && host.reclaimable === offer.reclaimable).sort((a, b) => a.readyAtMs - b.readyAtMs)
    const stay = same.slice(0, count)
    rest = rest.filter((host) => !stay.includes(host))
    kept.push(...stay)
    for (let i = stay.length; i < count; i++) kept.push({ domain: offer.failureDomain, reclaimable: offer.reclaimable, price: offer.pricePerHour, readyAtMs: now === 0 ? 0 : now + BOOT_MS })
  }
  const booting = kept.filter((host) => host.readyAtMs > now).length
  return [...kept, ...rest.slice(0, booting)]
}

/** Lower bound of the cost of any fleet: whole hosts for the current demand, in the cheapest domain that accepts reclaimable hosts at that time. */
function lowerBound (day: Day): number {
  let cost = 0
  for (let now = 0; now < DAY_MS; now += STEP_MS) {
    const open = day.domains.filter(({ name }) => !day.waves.some((wave) => wave.domain === name && wave.atMs <= now && now < wave.atMs + wave.refusedMs))
    const price = Math.min(ON_DEMAND_PRICE, ...open.map((domain) => domain.price))
    cost += Math.ceil(day.demand(now)) * price * STEP_MS / 3_600_000
  }
  return cost
}
