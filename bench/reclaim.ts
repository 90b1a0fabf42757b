/** Compares the reclaim planner with restarting, prefill-only planning and the optimum. */
import { as, type EndpointId, type RequestId } from '../core/ids/index.ts'
import {
  BruteForcePlanner, JointPlanner, NOTICE_MARGIN_MS, PrefillPlanner, canFinish, evaluate, exportMs, reclaimWeights, shareImports,
  type Directive, type ReclaimPlanner, type ReclaimProblem, type Source, type Target, type AffectedStream
} from '../core/reclaim/index.ts'
import type { Random } from '../core/routing/index.ts'
import { seededRandom } from '../daemon/seeded_random.ts'
import { quantile, round, type Bench, type Figures } from './bench.ts'

/** Size and optimization goal of a deployment. */
export interface Shape { name: string, endpoints: number, domains: number, wantsLeast: 'cost' | 'recomputed-work' }
interface Stream extends AffectedStream { promptTokens: number }
interface Problem extends ReclaimProblem { streams: readonly Stream[] }

const SHAPES: readonly Shape[] = [
  { name: 'adunni-levy', endpoints: 6, domains: 3, wantsLeast: 'cost' },
  { name: 'kingston-parish', endpoints: 13, domains: 3, wantsLeast: 'recomputed-work' },
  { name: '600-endpoints', endpoints: 600, domains: 8, wantsLeast: 'cost' }
]
const WAVES = ['one', 'domain', '40%'] as const
const NOTICES_MS = [2000, 10_000, 30_000]
/** Assumed speed and price of one server with four accelerators; see docs/MEASUREMENTS.md. */
export const ENGINE = { batchSlots: 64, prefillTokensPerS: 12_000, exportTokensPerS: 14_000, importTokensPerS: 14_000, betweenTokensMs: 28, pricePerHour: 4.2 }
/** KV export rates: a fast link, and one at a quarter of its speed. */
const EXPORT_TOKENS_PER_S = [14_000, 3500]
const SLOT_OCCUPANCY = 0.5
const FREE_KV_TOKENS = 600_000
const SHARED_PREFIX_PROBABILITY = 0.3
const SMALL_CASES = 100
const TIMED_RUNS = 15
const TIMED_STREAMS = 2000
const DAEMONS = 420
const SUBSET = 24

/** `npm run bench -- reclaim`. */
export const reclaimBench: Bench = {
  name: 'reclaim',
  about: 'recomputed tokens, late requests and planning time of the reclaim planner',
  run ({ seed, print }) {
    const random = seededRandom(seed)
    const waves: Figures[] = []
    for (const shape of SHAPES) {
      for (const wave of WAVES) {
        for (const noticeMs of NOTICES_MS) {
          for (const exportTokensPerS of EXPORT_TOKENS_PER_S) waves.push(compare(shape, { wave, noticeMs, exportTokensPerS }, random))
        }
      }
    }
    print(Object.keys(waves[0]!).map((name) => name.slice(0, 15).padStart(16)).join(''))
    for (const row of waves) print(Object.values(row).map((cell) => String(cell).padStart(16)).join(''))
    return { waves, optimum: compareWithOptimum(random), planning: measurePlanningTime(random), uncoordinated: measureUncoordinated(random) }
  }
}

function compare (shape: Shape, options: { wave: typeof WAVES[number], noticeMs: number, exportTokensPerS: number }, random: Random): Figures {
  const { wave, noticeMs, exportTokensPerS } = options
  const problem = makeProblem(shape, { leaving: leavingCount(shape, wave), noticeMs, exportTokensPerS, random })
  const from = performance.now()
  const plan = new JointPlanner().plan(problem)
  const planMs = performance.now() - from
  const joint = evaluate(plan, problem)
  const prefill = evaluate(new PrefillPlanner().plan(problem), problem)
  const restart = restartBaseline(problem)
  return {
    shape: shape.name,
    wave,
    noticeMs,
    exportTokensPerS,
    streams: problem.streams.length,
    feasible: joint.feasible,
    recomputed: joint.recomputedTokens,
    prefillOnly: prefill.recomputedTokens,
    restart: restart.tokens,
    shareOfRestart: restart.tokens === 0 ? 0 : round(joint.recomputedTokens / restart.tokens, 3),
    held: joint.held,
    late: joint.late,
    latePrefillOnly: prefill.late,
    lateRestart: restart.late,
    price: round(joint.price, 4),
    pricePrefillOnly: round(prefill.price, 4),
    planMs: round(planMs, 1)
  }
}

function leavingCount (shape: Shape, wave: typeof WAVES[number]): number {
  if (wave === 'one') return 1
  return wave === 'domain' ? Math.ceil(shape.endpoints / shape.domains) : Math.round(shape.endpoints * 0.4)
}

/** Baseline: streams that cannot finish within the notice restart from scratch. */
function restartBaseline (problem: Problem): { tokens: number, late: number } {
  const moved = problem.streams.filter((stream) => !canFinish(stream, problem.sources.get(stream.source)!))
  const late = moved.filter((stream) => {
    const again = stream.kvTokens - stream.promptTokens + stream.remainingTokens
    return stream.promptTokens * 1000 / ENGINE.prefillTokensPerS + again * ENGINE.betweenTokensMs > stream.deadlineInMs
  })
  return { tokens: moved.reduce((sum, stream) => sum + stream.kvTokens, 0), late: late.length }
}

/** Generates a reclaim of `leaving` endpoints of a deployment, with streams at random points of their run. */
export function makeProblem (shape: Shape, options: { leaving: number, noticeMs: number, random: Random, streams?: number, slots?: number, exportTokensPerS?: number }): Problem {
  const { random } = options
  const id = (i: number) => as<EndpointId>(`e${i}`)
  const sources = new Map<EndpointId, Source>()
  const targets = new Map<EndpointId, Target>()
  for (let i = 0; i < shape.endpoints; i++) {
    if (i < options.leaving) sources.set(id(i), { id: id(i), noticeMs: options.noticeMs, exportTokensPerS: options.exportTokensPerS ?? ENGINE.exportTokensPerS, share: 1, roundingDraw: 0, betweenTokensMs: ENGINE.betweenTokensMs })
    else targets.set(id(i), { ...ENGINE, importShare: 1, id: id(i), freeSlots: options.slots ?? Math.round(ENGINE.batchSlots * (1 - SLOT_OCCUPANCY)), freeKvTokens: FREE_KV_TOKENS, pricePerHour: ENGINE.pricePerHour * (0.8 + random() * 0.6) })
  }
  const perSource = Math.round(ENGINE.batchSlots * SLOT_OCCUPANCY)
  const count = options.streams ?? options.leaving * perSource
  const targetIds = [...targets.keys()]
  const streams = Array.from({ length: count }, (_, i) => makeStream(i, id(i % options.leaving), targetIds, random))
  return { streams, sources, targets, weights: reclaimWeights(shape.wantsLeast, targets.values()) }
}

/** Generates a long review or a short reply at a random point of its run. */
function makeStream (i: number, source: EndpointId, targets: readonly EndpointId[], random: Random): Stream {
  const long = random() < 0.5
  const promptTokens = long ? 2000 + Math.floor(random() * 6000) : 100 + Math.floor(random() * 400)
  const answerTokens = long ? 500 + Math.floor(random() * 1500) : 50 + Math.floor(random() * 200)
  const done = Math.floor(random() * answerTokens)
  const cached = random() < SHARED_PREFIX_PROBABILITY ? [targets[Math.floor(random() * targets.length)]!] : []
  return {
    id: as<RequestId>(`d~${i}`),
    source,
    promptTokens,
    kvTokens: promptTokens + done,
    remainingTokens: answerTokens - done,
    deadlineInMs: (long ? 120_000 : 30_000) - done * ENGINE.betweenTokensMs,
    movable: true,
    cachedTokens: new Map(cached.map((target) => [target, Math.floor(promptTokens * 0.7)]))
  }
}

function compareWithOptimum (random: Random): Figures {
  let joint = 0
  let optimum = 0
  let prefill = 0
  const ratios: number[] = []
  for (let i = 0; i < SMALL_CASES; i++) {
    const problem = smallProblem(random)
    const price = (planner: ReclaimPlanner) => evaluate(planner.plan(problem), problem).price
    const optimalPrice = price(new BruteForcePlanner())
    const jointPrice = price(new JointPlanner())
    joint += jointPrice
    optimum += optimalPrice
    prefill += price(new PrefillPlanner())
    if (optimalPrice > 0) ratios.push(jointPrice / optimalPrice)
  }
  return { cases: SMALL_CASES, overOptimum: round(joint / optimum, 4), prefillOverOptimum: round(prefill / optimum, 4), p95: round(quantile(ratios, 0.95), 3), worst: round(Math.max(...ratios), 3) }
}

/** Two to five streams on two sources, and three targets with one to three free slots each: time and capacity are both scarce. */
function smallProblem (random: Random): Problem {
  const shape: Shape = { name: 'small', endpoints: 5, domains: 2, wantsLeast: random() < 0.5 ? 'cost' : 'recomputed-work' }
  return makeProblem(shape, { leaving: 2, noticeMs: 500 + random() * 1500, random, streams: 2 + Math.floor(random() * 4), slots: 1 + Math.floor(random() * 3) })
}

function measurePlanningTime (random: Random): Figures {
  const shape = SHAPES[2]!
  const problem = makeProblem(shape, { leaving: 75, noticeMs: 10_000, random, streams: TIMED_STREAMS })
  const planner = new JointPlanner()
  const times = Array.from({ length: TIMED_RUNS }, () => {
    const from = performance.now()
    planner.plan(problem)
    return performance.now() - from
  })
  return { streams: TIMED_STREAMS, endpoints: shape.endpoints, medianMs: round(quantile(times, 0.5)), maxMs: round(Math.max(...times)) }
}

/** Compares daemons that each plan for their own streams, without coordination, with a single planner that knows all streams. */
function measureUncoordinated (random: Random): Figures {
  const shape = SHAPES[2]!
  const problem = makeProblem(shape, { leaving: 75, noticeMs: 2000, random })
  const used = { exportMs: new Map<EndpointId, number>(), importMs: new Map<EndpointId, number>() }
  let recomputed = 0
  for (let daemon = 0; daemon < DAEMONS; daemon++) {
    const part = daemonProblem(problem, daemon, random)
    const plan = new JointPlanner().plan(part)
    recomputed += evaluate(plan, part).recomputedTokens
    addTransferTimes(plan, part, used)
  }
  return {
    daemons: DAEMONS,
    recomputed,
    onePlanner: evaluate(new JointPlanner().plan(problem), problem).recomputedTokens,
    exportsTooLate: lateShare(used.exportMs),
    importsTooLate: lateShare(used.importMs)
  }
}

function daemonProblem (problem: Problem, daemon: number, random: Random): Problem {
  const streams = problem.streams.filter((_, i) => i % DAEMONS === daemon)
  const sources = new Map([...problem.sources].map(([id, source]) => [id, { ...source, share: shareOf(streams, problem.streams, id), luck: random() }]))
  const subset = [...problem.targets.values()].filter(() => random() < SUBSET / problem.targets.size)
  const targets = shareImports(subset, { sharers: DAEMONS * SUBSET / problem.targets.size, random })
  return { ...problem, streams, sources, targets }
}

function addTransferTimes (plan: readonly Directive[], part: Problem, transferTimes: { exportMs: Map<EndpointId, number>, importMs: Map<EndpointId, number> }): void {
  const byId = new Map(part.streams.map((stream) => [stream.id, stream]))
  for (const directive of plan) {
    if (directive.action !== 'import') continue
    const stream = byId.get(directive.stream)!
    addTo(transferTimes.exportMs, stream.source, exportMs(stream, part.sources.get(stream.source)!))
    addTo(transferTimes.importMs, directive.target, stream.kvTokens * 1000 / ENGINE.importTokensPerS)
  }
}

function addTo (sums: Map<EndpointId, number>, key: EndpointId, value: number): void {
  sums.set(key, (sums.get(key) ?? 0) + value)
}

/** Returns the fraction of transfer time that exceeds the notice period. */
function lateShare (sums: ReadonlyMap<EndpointId, number>): number {
  const all = [...sums.values()].reduce((sum, ms) => sum + ms, 0)
  const over = [...sums.values()].reduce((sum, ms) => sum + Math.max(0, ms - (2000 - NOTICE_MARGIN_MS)), 0)
  return all === 0 ? 0 : round(over / all, 4)
}

function shareOf (own: readonly Stream[], all: readonly Stream[], source: EndpointId): number {
  const total = all.filter((stream) => stream.source === source).length
  return total === 0 ? 0 : own.filter((stream) => stream.source === source).length / total
}
