/** Discrete-event simulation of rollouts: the decisions of the fleet, callers, and endpoints of two versions. */
import { Heap } from 'mnemonist'
import { as, type ClassName, type DaemonId, type EndpointId, type EndpointVersion, type PoolName } from '../core/ids/index.ts'
import {
  addAnswers, AnswerHistory, timeBucket, classAnswers, compareVersions, endpointCountFor, GRANT_INTERVAL_MS, GRANT_TTL_MS, GrantLedger, GrantAllowance, groupAnswers, isFinal, missingAnswers, nextGrantBatch, nextProgress, distributeGrants, estimateDemand, isDemandKnown,
  type AnswerBucket, type Answers, type ExposureLimit, type RolloutProgress
} from '../core/rollout/index.ts'
import type { Random } from '../core/routing/index.ts'
import { seededRandom } from '../daemon/seeded_random.ts'

/** Fault of the new version. */
export type VersionFault = 'good' | 'at-once' | 'later' | 'under-load' | 'one-route' | 'slow'

/** Kind of the pool: many engines and requests, or a plain service of few endpoints and requests. */
export type PoolKind = 'engines' | 'plain'

/** Options of {@linkcode simulateRollout}. */
export interface RolloutSimulationOptions {
  seed: number
  daemons: number
  /** Default `engines`. */
  pool?: PoolKind
  badness: VersionFault
  limit: ExposureLimit
  /** Uses the fixed-share canary instead of the rollout logic of the product. Default false. */
  baseline?: boolean
}

/** Result of a simulated rollout. */
export interface RolloutResult {
  stage: RolloutProgress['stage']
  /** Time of the verdict, as a fraction of the ordered duration. */
  endedAt: number
  /** Requests sent to the new version, and the number that the exposure limit allows by the deadline for a faulty version. */
  exposed: number
  allowed: number
  /** Failed or slow answers that callers received from the new version. */
  harmed: number
}

interface SimulatedClass { name: ClassName, perS: number, typicalMs: number, failureRate: number }
interface Event { atMs: number, act (): void }
/** Answers that a daemon has not reported yet. */
type PendingAnswers = Array<{ cls: ClassName, group: number | undefined, bucket: AnswerBucket }>
interface SimulatedDaemon { id: DaemonId, weight: number, allowance: GrantAllowance, pendingAnswers: PendingAnswers, asked: Map<ClassName, number>, knownProgress: RolloutProgress, reportScheduled: boolean }

const POOL = as<PoolName>('pool')
const OLD = as<EndpointVersion>('v1')
const NEW = as<EndpointVersion>('v2')
/** A pool that is rolled out; its `one-route` fault is in the last class. */
interface SimulatedPool {
  endpoints: number
  slots: number
  classes: readonly SimulatedClass[]
  /** Part of the answers that a slow version delays, and by which factor. */
  slow: { probability: number, factor: number }
  /** Number of concurrent requests at one endpoint from which `under-load` faults occur. */
  overload: number
  /** Latest start of the new version's endpoints, in milliseconds after the order. */
  maxStartMs: number
}

const POOLS: Record<PoolKind, SimulatedPool> = {
  engines: {
    endpoints: 12,
    slots: 12,
    classes: [
      { name: as('letter'), perS: 300, typicalMs: 110, failureRate: 0.004 },
      { name: as('check'), perS: 50, typicalMs: 60, failureRate: 0.14 },
      { name: as('review'), perS: 30, typicalMs: 240, failureRate: 0.002 },
      { name: as('quiet'), perS: 6, typicalMs: 60, failureRate: 0.004 }
    ],
    slow: { probability: 0.4, factor: 4 },
    overload: 3,
    maxStartMs: 0
  },
  plain: {
    endpoints: 3,
    slots: 6,
    classes: [
      { name: as('book'), perS: 12, typicalMs: 43, failureRate: 0.004 },
      { name: as('view'), perS: 8, typicalMs: 43, failureRate: 0.004 }
    ],
    slow: { probability: 1, factor: 8 },
    overload: 2,
    maxStartMs: 4000
  }
}
const MIN_DURATION_MS = 8000
const MAX_DURATION_MS = 30_000
const EVALUATION_INTERVAL_MS = 100
const ONE_WAY_DELAY_MS = 3
/** Spreads seeds apart: the first numbers of the generator are similar for adjacent seeds. */
const SEED_SPREAD = 0x9e3779b1
const FAULT_PROBABILITY = 0.3
const LATENCY_SIGMA = 0.5

/** Simulates a rollout until its verdict, or until twice its duration. */
export function simulateRollout (options: RolloutSimulationOptions): RolloutResult {
  return new RolloutSimulation(options).run()
}

class RolloutSimulation {
  readonly #options: RolloutSimulationOptions
  readonly #random: Random
  readonly #events = new Heap<Event>((a, b) => a.atMs - b.atMs)
  readonly #daemons: SimulatedDaemon[]
  readonly #answers: Answers = new Map()
  readonly #requestCounts = new Map<string, { daemon: DaemonId, cls: ClassName, count: number }>()
  readonly #running = new Map<EndpointId, number>()
  readonly #history = new AnswerHistory()
  readonly #grantCounts = new Map<EndpointId, number>()
  readonly #faultStartMs: number
  readonly #pool: SimulatedPool
  readonly #newStartMs: number
  #grantLedger = new GrantLedger(0)
  #grantedAtMs = -Infinity
  #progress: RolloutProgress
  #now = 0
  #runningAtOld = 0
  #emptySinceMs: number | undefined
  #exposed = 0
  #harmed = 0
  #requests = 0

  constructor (options: RolloutSimulationOptions) {
    this.#options = options
    this.#random = seededRandom(Math.imul(options.seed, SEED_SPREAD))
    const durationMs = MIN_DURATION_MS + this.#random() * (MAX_DURATION_MS - MIN_DURATION_MS)
    this.#pool = POOLS[options.pool ?? 'engines']
    this.#newStartMs = this.#pool.maxStartMs === 0 ? 0 : this.#pool.maxStartMs * this.#random()
    this.#faultStartMs = options.badness === 'later' ? this.#random() * durationMs : 0
    this.#progress = { order: { pool: POOL, to: NEW, durationMs }, from: OLD, stage: 'preparing', orderedAtMs: 0, stageAtMs: 0, granted: 0, why: '' }
    this.#daemons = Array.from({ length: options.daemons }, (_, i) => ({ id: as<DaemonId>(`d${i}`), weight: 0.3 + this.#random(), allowance: new GrantAllowance(), pendingAnswers: [], asked: new Map(), knownProgress: this.#progress, reportScheduled: false }))
  }

  run (): RolloutResult {
    const { durationMs } = this.#progress.order
    for (const cls of this.#pool.classes) this.#scheduleArrival(cls)
    this.#schedule(EVALUATION_INTERVAL_MS, () => this.#evaluate())
    let endedAtMs = 2 * durationMs
    for (let event = this.#events.pop(); event && event.atMs < 2 * durationMs; event = this.#events.pop()) {
      this.#now = event.atMs
      event.act()
      if (isFinal(this.#progress)) endedAtMs = Math.min(endedAtMs, this.#progress.stageAtMs)
      // Exposure counts until the deadline, but little follows a verdict: twice the propagation bound covers daemons that do not know of it yet.
      if (isFinal(this.#progress) && this.#now > endedAtMs + 2 * propagationBoundMs(this.#options.daemons)) break
    }
    const perS = this.#requests / (this.#now / 1000)
    const { share, slack } = this.#options.limit
    return { stage: this.#progress.stage, endedAt: endedAtMs / durationMs, exposed: this.#exposed, allowed: share * perS * durationMs / 1000 + slack, harmed: this.#harmed }
  }

  #schedule (inMs: number, act: () => void): void {
    this.#events.push({ atMs: this.#now + inMs, act })
  }

  #scheduleArrival (cls: SimulatedClass): void {
    this.#schedule(-Math.log(1 - this.#random()) * 1000 / cls.perS, () => {
      this.#handleArrival(cls)
      this.#scheduleArrival(cls)
    })
  }

  #handleArrival (cls: SimulatedClass): void {
    this.#requests++
    const daemon = this.#pickDaemon()
    daemon.asked.set(cls.name, (daemon.asked.get(cls.name) ?? 0) + 1)
    const canaries = daemon.knownProgress.stage === 'canary' ? daemon.allowance.endpointsFor(ORDER, cls.name, this.#now) : []
    if (canaries.length > 0) daemon.allowance.spend(cls.name)
    const isNew = canaries.length > 0 || ['switching', 'emptying', 'completed'].includes(daemon.knownProgress.stage)
    const endpoint = canaries.length > 0 ? canaries[Math.floor(this.#random() * canaries.length)]! : endpointAt(isNew ? NEW : OLD, Math.floor(this.#random() * this.#pool.endpoints))
    this.#startRequest(daemon, cls, { endpoint, isNew })
    this.#scheduleReport(daemon)
  }

  #startRequest (daemon: SimulatedDaemon, cls: SimulatedClass, { endpoint, isNew }: { endpoint: EndpointId, isNew: boolean }): void {
    const running = (this.#running.get(endpoint) ?? 0) + 1
    this.#running.set(endpoint, running)
    if (isNew) this.#exposed++
    else this.#runningAtOld++
    const { failed, slow } = this.#drawOutcome(cls, { isNew, running })
    const tookMs = cls.typicalMs * Math.exp(LATENCY_SIGMA * standardNormal(this.#random)) * (slow ? this.#pool.slow.factor : 1) * Math.max(1, running / this.#pool.slots)
    if (isNew && (failed || slow)) this.#harmed++
    this.#schedule(tookMs, () => {
      this.#running.set(endpoint, this.#running.get(endpoint)! - 1)
      if (!isNew) this.#runningAtOld--
      daemon.pendingAnswers.push({ cls: cls.name, group: isNew ? Number(endpoint.slice(3)) % 8 : undefined, bucket: failed ? 'failed' : timeBucket(tookMs, cls.typicalMs) })
      this.#scheduleReport(daemon)
    })
  }

  #drawOutcome (cls: SimulatedClass, { isNew, running }: { isNew: boolean, running: number }): { failed: boolean, slow: boolean } {
    const fails = this.#random() < cls.failureRate
    if (!isNew) return { failed: fails, slow: false }
    const { badness } = this.#options
    const slow = badness === 'slow' && this.#random() < this.#pool.slow.probability
    const isBad = badness === 'at-once' || (badness === 'later' && this.#now >= this.#faultStartMs) || (badness === 'under-load' && running >= this.#pool.overload) || (badness === 'one-route' && cls === this.#pool.classes.at(-1))
    return { failed: fails || (isBad && this.#random() < FAULT_PROBABILITY), slow }
  }

  #scheduleReport (daemon: SimulatedDaemon): void {
    if (daemon.reportScheduled) return
    daemon.reportScheduled = true
    this.#schedule(Math.max(150, 2.5 * this.#options.daemons) * (0.5 + this.#random() / 2) + ONE_WAY_DELAY_MS, () => this.#report(daemon))
  }

  #report (daemon: SimulatedDaemon): void {
    daemon.reportScheduled = false
    for (const { cls, group, bucket } of daemon.pendingAnswers) {
      const counts = classAnswers(this.#answers, cls)
      addAnswers(group === undefined ? counts.old : groupAnswers(counts, group), bucket, 1)
    }
    daemon.pendingAnswers = []
    for (const [cls, count] of daemon.asked) this.#requestCounts.set(`${daemon.id}/${cls}`, { daemon: daemon.id, cls, count })
  }

  #evaluate (): void {
    if (isFinal(this.#progress)) return
    this.#schedule(EVALUATION_INTERVAL_MS, () => this.#evaluate())
    this.#emptySinceMs = this.#runningAtOld > 0 ? undefined : this.#emptySinceMs ?? this.#now
    const next = this.#options.baseline
      ? this.#decideFixedShare()
      : nextProgress(this.#progress, {
        nowMs: this.#now,
        comparison: compareVersions(this.#answers, this.#history.record(structuredClone(this.#answers), this.#now)),
        newSlots: this.#now < this.#newStartMs ? 0 : this.#pool.endpoints * this.#pool.slots,
        running: sum(this.#running.values()),
        runningAtOld: this.#emptySinceMs !== undefined && this.#now - this.#emptySinceMs > 700 ? 0 : Math.max(1, this.#runningAtOld),
        propagationMs: propagationBoundMs(this.#options.daemons)
      })
    if (next) return this.#publishProgress(next)
    if (this.#progress.stage === 'canary') this.#issueGrants()
  }

  /** Adopts the new progress; each daemon learns of it after a random delay. */
  #publishProgress (next: RolloutProgress): void {
    this.#progress = next
    for (const daemon of this.#daemons) this.#schedule(this.#random() * maxPropagationMs(this.#options.daemons), () => { daemon.knownProgress = next })
  }

  #issueGrants (): void {
    if (this.#now - this.#grantedAtMs < GRANT_INTERVAL_MS) return
    const asked = [...this.#requestCounts.values()]
    const seconds = Math.max(1, this.#now / 1000)
    const portion = this.#options.baseline
      ? { requests: Math.floor(FIXED_SHARE * sum(asked.map(({ count }) => count)) / seconds), perEndpoint: 1 }
      : nextGrantBatch({ requests: sum(asked.map(({ count }) => count)), ageMs: this.#now, granted: this.#grantLedger.granted, endpoints: this.#pool.endpoints, answers: this.#answers }, this.#options.limit)
    if (!portion) return
    const grants = distributeGrants(estimateDemand(asked, { daemons: this.#daemons.map(({ id }) => id), ageMs: this.#now }), { requests: portion.requests, forMs: GRANT_TTL_MS, random: this.#random, ...(!this.#options.baseline && { missing: missingAnswers(this.#answers, asked.map(({ cls }) => cls)), inFull: !isDemandKnown(this.#now) }) })
    if (grants.size === 0) return
    this.#grantedAtMs = this.#now
    const endpoints = this.#leastGranted(endpointCountFor(sum([...grants.values()].map(({ charge }) => charge)), portion))
    for (const [id, { requests, charge }] of grants) {
      const daemon = this.#daemons.find((each) => each.id === id)!
      const number = this.#grantLedger.issue(id, { requests: sum(requests.map(([, count]) => count)), charge })
      this.#schedule(ONE_WAY_DELAY_MS, () => daemon.allowance.start({ order: ORDER, number, requests, endpoints, forMs: GRANT_TTL_MS }, this.#now))
      this.#schedule(ONE_WAY_DELAY_MS + GRANT_TTL_MS, () => {
        const { used } = daemon.allowance.end()!
        this.#schedule(ONE_WAY_DELAY_MS, () => this.#grantLedger.settle(id, number, used))
      })
    }
  }

  #leastGranted (count: number): EndpointId[] {
    const all = Array.from({ length: this.#pool.endpoints }, (_, i) => endpointAt(NEW, i))
    const chosen = all.sort((a, b) => (this.#grantCounts.get(a) ?? 0) - (this.#grantCounts.get(b) ?? 0)).slice(0, count)
    for (const id of chosen) this.#grantCounts.set(id, (this.#grantCounts.get(id) ?? 0) + 1)
    return chosen
  }

  /** Baseline: 5% of the requests for a third of the duration, then all of them, unless the failure rate is more than twice that of the old version. */
  #decideFixedShare (): RolloutProgress | undefined {
    const age = this.#now / this.#progress.order.durationMs
    const to = (stage: RolloutProgress['stage']) => ({ ...this.#progress, stage, stageAtMs: this.#now })
    if (this.#progress.stage === 'preparing') return to('canary')
    const all = [...this.#answers.values()]
    const failureRateOf = (counts: Array<{ failed: number, times: Map<number, number> }>) => {
      const failed = sum(counts.map((each) => each.failed))
      const answered = sum(counts.flatMap((each) => [...each.times.values()]))
      return { part: failed / Math.max(1, failed + answered), count: failed + answered }
    }
    const old = failureRateOf(all.map((each) => each.old))
    const now = failureRateOf(all.flatMap((each) => [...each.new.values()]))
    if (now.count >= FIXED_MIN_ANSWERS && now.part > 2 * old.part) return to('rolled-back')
    if (this.#progress.stage === 'canary') return age >= FIXED_CANARY_FRACTION ? to('switching') : undefined
    return this.#emptySinceMs !== undefined && this.#now - this.#emptySinceMs > 700 ? to('completed') : undefined
  }

  #pickDaemon (): SimulatedDaemon {
    let at = this.#random() * sum(this.#daemons.map(({ weight }) => weight))
    return this.#daemons.find(({ weight }) => (at -= weight) < 0) ?? this.#daemons.at(-1)!
  }
}

const FIXED_SHARE = 0.05
const FIXED_CANARY_FRACTION = 1 / 3
const FIXED_MIN_ANSWERS = 20
const ORDER = 'order'

/** Maximum time until a daemon learns of a fact, in milliseconds. */
function maxPropagationMs (daemons: number): number {
  return 60 + daemons / 3
}

/** Propagation time assumed by the rollout logic for a fleet size, in milliseconds. */
function propagationBoundMs (daemons: number): number {
  return daemons > 34 ? 3000 : 2000
}

function endpointAt (version: EndpointVersion, i: number): EndpointId {
  return as<EndpointId>(`${version}-${i}`)
}

function sum (numbers: Iterable<number>): number {
  let total = 0
  for (const number of numbers) total += number
  return total
}

/** Draws a standard normal value (Box-Muller transform). */
function standardNormal (random: Random): number {
  return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
}
