/** Moves rollouts through their stages, on the daemon that holds the lease. */
import { as, type DaemonId, type EndpointId, type EndpointVersion, type PoolName } from '../../core/ids/index.ts'
import {
  addAnswers, AnswerHistory, answerKeyPrefix, REQUEST_COUNT, classAnswers, compareVersions, endpointCountFor, GRANT_INTERVAL_MS, GRANT_TTL_MS, GrantLedger, groupAnswers, isFinal, missingAnswers, nextGrantBatch, nextProgress, orderId, currentProgress, parseAnswerKey, distributeGrants, estimateDemand, isDemandKnown,
  type AnswerKey, type Answers, type Comparison, type DaemonDemand, type ExposureLimit, type RolloutProgress, type RolloutRecord
} from '../../core/rollout/index.ts'
import { runningNow, type Random } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { isStoreFailure, StoreError } from '../../store/index.ts'
import type { EndpointTable } from '../endpoints/endpoint_table.ts'
import type { LeaseTask } from '../fleet/lease_task.ts'
import { log } from '../log/index.ts'
import type { Links } from '../peers/links.ts'
import type { TallyTask } from '../peers/tally_task.ts'
import type { RolloutFollower } from './rollout_follower.ts'
import type { RolloutPort } from './rollout_port.ts'
import { GRANT_TOPIC, GRANT_USED_TOPIC, type GrantMessage, type GrantUsedMessage, type VersionGate } from './version_gate.ts'
import { guarded } from '../tasks/index.ts'

/** Options of {@linkcode RolloutTask}. */
export interface RolloutTaskOptions {
  self: DaemonId
  port: Pick<RolloutPort, 'read' | 'write'>
  rollouts: Pick<RolloutFollower, 'records' | 'publish' | 'orderSeenAtMs' | 'hold' | 'onChange'>
  gate: Pick<VersionGate, 'carries' | 'acceptGrant' | 'onGrantUsed'>
  lease: Pick<LeaseTask, 'fencing' | 'fencingInOutage'>
  table: EndpointTable
  tallies: Pick<TallyTask, 'tally' | 'clock'>
  links: Pick<Links, 'post' | 'onPost'>
  /** Returns the daemons that take requests. */
  daemons (): readonly DaemonId[]
  exposure: ExposureLimit
  /** Time within which every daemon learns of a change, in milliseconds. */
  propagationMs: number
  random: Random
}

/** In-memory state of one order on the lease holder. */
interface CanaryState {
  order: string
  ledger: GrantLedger
  /** Total of canary requests that this daemon has recorded in the store as granted, including those of earlier lease holders. */
  persistedGrants: number
  history: AnswerHistory
  lastGrantAtMs: number
  /** How often each endpoint of the new version was chosen to serve a grant. */
  timesChosen: Map<EndpointId, number>
  /** Since when the old version has run no request, in milliseconds on the steady clock. */
  oldIdleSinceMs: number | undefined
}

const ROUND_INTERVAL_MS = 100
/** Requests recorded in the store as granted ahead of the grants themselves, so that not every grant costs a store write. */
const GRANT_WRITE_AHEAD = 40
/** The old version counts as idle after this long without a running request, in milliseconds; spans several load reports. */
const OLD_VERSION_IDLE_MS = 700
/** Load reports of other daemons that are older than this do not prove that the old version is idle, in milliseconds. */
const MAX_LOAD_REPORT_AGE_MS = 1000
/** A pool that lists no endpoint for this long has none, in milliseconds; the first endpoint list arrives sooner. */
const NO_ENDPOINTS_GRACE_MS = 2000
const NO_VERSION = as<EndpointVersion>('')

/**
 * Decides on rollouts for the whole fleet.
 *
 * Progress is stored beside the order, and each write is conditional on the version that it replaces, so a lease holder that was paused or partitioned detects this when it
 * writes. Grants are recorded in the store before they are sent. The answer counts that a successor needs are replicated on three daemons.
 */
export class RolloutTask {
  readonly #options: RolloutTaskOptions
  readonly #canaryStates = new Map<PoolName, CanaryState>()
  readonly #parsedKeys = new Map<string, AnswerKey>()
  readonly #poolsBeingWritten = new Set<PoolName>()
  #timer: NodeJS.Timeout | undefined
  #stopped = false

  constructor (options: RolloutTaskOptions) {
    this.#options = options
    options.links.onPost(GRANT_USED_TOPIC, (used: GrantUsedMessage, from) => this.#onGrantUsed(from, used))
    options.gate.onGrantUsed((used) => this.#onGrantUsed(options.self, used))
  }

  /** Starts deciding whenever this daemon holds the lease; the timer only runs while some order is unfinished. */
  start (): void {
    this.#options.rollouts.onChange(() => this.#updateTimer())
    this.#updateTimer()
  }

  /** Stops deciding. */
  stop (): void {
    this.#stopped = true
    clearInterval(this.#timer)
  }

  #updateTimer (): void {
    const hasUnfinished = !this.#stopped && [...this.#options.rollouts.records.values()].some(isUnfinished)
    if (hasUnfinished) this.#timer ??= setInterval(guarded('rollout-task', () => this.runRound()), ROUND_INTERVAL_MS)
    else this.#stopTimer()
  }

  #stopTimer (): void {
    clearInterval(this.#timer)
    this.#timer = undefined
    this.#canaryStates.clear()
    this.#parsedKeys.clear()
  }

  /** Advances each order if this daemon holds the lease; during a store outage only holds versions that compare worse. */
  runRound (): void {
    const { lease, rollouts } = this.#options
    if (lease.fencing !== undefined) {
      for (const record of rollouts.records.values()) if (!this.#poolsBeingWritten.has(record.order.pool)) guarded('rollout-task', () => this.#advance(record))()
    } else if (lease.fencingInOutage !== undefined) {
      for (const record of rollouts.records.values()) this.#holdIfWorse(record)
    } else {
      this.#canaryStates.clear()
    }
  }

  #holdIfWorse (record: RolloutRecord): void {
    const progress = currentProgress(record)
    if (progress && !isFinal(progress) && this.#compare(progress, this.#answersOf(progress)).verdict === 'worse') this.#options.rollouts.hold(progress)
  }

  #compare (progress: RolloutProgress, answers: Answers): Comparison {
    return compareVersions(answers, this.#canaryStateOf(progress).history.record(answers, steadyNow()))
  }

  #advance (record: RolloutRecord): void {
    const progress = currentProgress(record)
    if (!progress) {
      guarded('rollout-task', () => this.#prepare(record))()
      return
    }
    if (record.unsaved === true) {
      guarded('rollout-task', () => this.#write(record, progress))()
      return
    }
    if (isFinal(progress)) return
    const state = this.#canaryStateOf(progress)
    const answers = this.#answersOf(progress)
    const comparison = this.#compare(progress, answers)
    const next = nextProgress(progress, {
      nowMs: this.#nowMs(),
      comparison,
      newSlots: this.#slotsOf(progress.order.pool, progress.order.to),
      running: this.#runningInPool(progress.order.pool),
      runningAtOld: this.#runningAtOldVersion(progress, state),
      propagationMs: this.#options.propagationMs
    })
    // The verdict takes effect before it is stored: the store may be slow.
    if (next && comparison.verdict === 'worse') this.#options.rollouts.hold(progress)
    if (next) guarded('rollout-task', () => this.#write(record, next))()
    else if (progress.stage === 'canary') this.#issueGrants(record, { progress, state, answers })
  }

  /** Starts an order. The version that serves the pool now is the one to roll back to, even if an earlier order was left unfinished. */
  async #prepare (record: RolloutRecord): Promise<void> {
    const { gate, rollouts } = this.#options
    const { order } = record
    const seenMs = steadyNow() - rollouts.orderSeenAtMs(order.pool)
    const from = gate.carries(order.pool) ?? (seenMs > NO_ENDPOINTS_GRACE_MS ? NO_VERSION : undefined)
    if (from === undefined) return
    const nowMs = this.#nowMs()
    await this.#write(record, { order, from, stage: 'preparing', orderedAtMs: nowMs - seenMs, stageAtMs: nowMs, granted: 0, why: 'an operator ordered it' })
  }

  /** Writes progress. When the outcome is unknown, or another write came first, reads the record again. */
  async #write (record: RolloutRecord, progress: RolloutProgress): Promise<boolean> {
    const { port, rollouts } = this.#options
    const { pool } = record.order
    this.#poolsBeingWritten.add(pool)
    try {
      const { unsaved: _, ...written } = await port.write(record, progress)
      rollouts.publish(written)
      return true
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      log('rollout-not-written', { pool, stage: progress.stage, why: err.message })
      if (!isStoreFailure(err, 'not-applied')) await this.#reload(record)
      return false
    } finally {
      this.#poolsBeingWritten.delete(pool)
    }
  }

  async #persistGrants (record: RolloutRecord, { progress, state, granted }: { progress: RolloutProgress, state: CanaryState, granted: number }): Promise<void> {
    const before = state.persistedGrants
    // Set before the write: when listeners see the new record, it must match, or the state would be rebuilt as if another lease holder had written it.
    state.persistedGrants = granted
    if (!await this.#write(record, { ...progress, granted })) state.persistedGrants = before
  }

  async #reload (record: RolloutRecord): Promise<void> {
    try {
      const found = await this.#options.port.read(record)
      if (found) this.#options.rollouts.publish(found)
    } catch (err) {
      log('rollout-not-written', { pool: record.order.pool, stage: 'unknown', why: (err as Error).message })
    }
  }

  /** State of an order. When another lease holder has recorded grants, all recorded so far count as used, including this daemon's own. */
  #canaryStateOf (progress: RolloutProgress): CanaryState {
    const { granted, order: { pool } } = progress
    const order = orderId(progress)
    const known = this.#canaryStates.get(pool)
    if (known?.order === order && known.persistedGrants === granted) return known
    const before = known?.order === order ? known : { history: new AnswerHistory(), lastGrantAtMs: -Infinity, timesChosen: new Map<EndpointId, number>(), oldIdleSinceMs: undefined }
    const state: CanaryState = { ...before, order, ledger: new GrantLedger(granted), persistedGrants: granted }
    this.#canaryStates.set(pool, state)
    return state
  }

  #onGrantUsed (from: DaemonId, { pool, order, number, used }: GrantUsedMessage): void {
    const state = this.#canaryStates.get(pool)
    if (state?.order === order) state.ledger.settle(from, number, used)
  }

  #issueGrants (record: RolloutRecord, { progress, state, answers }: { progress: RolloutProgress, state: CanaryState, answers: Answers }): void {
    const now = steadyNow()
    if (now - state.lastGrantAtMs < GRANT_INTERVAL_MS) return
    const { pool, to } = progress.order
    const endpoints = this.#options.table.ofVersion(pool, to).map(({ id }) => id)
    const { demand, requests } = this.#demandOf(progress)
    const portion = nextGrantBatch({ requests, ageMs: this.#ageMs(progress), granted: state.ledger.granted, endpoints: endpoints.length, answers }, this.#options.exposure)
    const grants = portion && distributeGrants(demand, { requests: portion.requests, forMs: GRANT_TTL_MS, random: this.#options.random, missing: missingAnswers(answers, demand.map(({ cls }) => cls)), inFull: !isDemandKnown(this.#ageMs(progress)) })
    if (!grants || grants.size === 0) return
    const charge = Math.ceil(sumOf(grants.values(), (grant) => grant.charge))
    if (state.ledger.granted + charge > state.persistedGrants) {
      guarded('rollout-task', () => this.#persistGrants(record, { progress, state, granted: Math.ceil(state.ledger.granted) + charge + GRANT_WRITE_AHEAD }))()
      return
    }
    state.lastGrantAtMs = now
    const chosen = leastChosen(state.timesChosen, endpoints, endpointCountFor(charge, portion!))
    for (const [daemon, { requests, charge }] of grants) {
      const number = state.ledger.issue(daemon, { requests: sumOf(requests, ([, count]) => count), charge })
      this.#sendGrant(daemon, { pool, grant: { order: state.order, number, requests, endpoints: chosen, forMs: GRANT_TTL_MS } })
    }
  }

  #sendGrant (daemon: DaemonId, message: GrantMessage): void {
    const { self, gate, links } = this.#options
    if (daemon === self) gate.acceptGrant(message.pool, message.grant, undefined)
    else links.post(daemon, GRANT_TOPIC, message)
  }

  /** Request rate of each daemon and class since the order, and the number of requests in all. */
  #demandOf (progress: RolloutProgress): { demand: DaemonDemand[], requests: number } {
    const asked = [...this.#countsOf(progress)].filter(({ key }) => key.bucket === REQUEST_COUNT)
    return {
      demand: estimateDemand(asked.map(({ daemon, key, count }) => ({ daemon, cls: key.cls, count })), { daemons: this.#options.daemons(), ageMs: this.#ageMs(progress) }),
      requests: asked.reduce((sum, { count }) => sum + count, 0)
    }
  }

  #answersOf (progress: RolloutProgress): Answers {
    const answers: Answers = new Map()
    for (const { key: { cls, version, group = 0, bucket }, count } of this.#countsOf(progress)) {
      if (bucket === REQUEST_COUNT) continue
      const counts = classAnswers(answers, cls)
      if (version === progress.from) addAnswers(counts.old, bucket, count)
      else addAnswers(groupAnswers(counts, group), bucket, count)
    }
    return answers
  }

  * #countsOf (progress: RolloutProgress): Iterable<{ daemon: DaemonId, key: AnswerKey, count: number }> {
    const { pool } = progress.order
    const order = orderId(progress)
    for (const { daemon, key: text, total } of this.#options.tallies.tally.entries(answerKeyPrefix(pool))) {
      const key = this.#parsedKeys.get(text) ?? parseAnswerKey(pool, text)
      this.#parsedKeys.set(text, key)
      if (key.order === order) yield { daemon, key, count: total }
    }
  }

  #slotsOf (pool: PoolName, version: EndpointVersion): number {
    return this.#options.table.ofVersion(pool, version).reduce((sum, { speed }) => sum + speed.batchSlots, 0)
  }

  #runningInPool (pool: PoolName): number {
    return this.#options.table.all.filter((view) => view.pool === pool).reduce((sum, view) => sum + runningNow(view), 0)
  }

  #runningAtOldVersion ({ order: { pool }, from }: RolloutProgress, state: CanaryState): number | undefined {
    const { table } = this.#options
    if ((table.othersAgeMs ?? Infinity) > MAX_LOAD_REPORT_AGE_MS) return undefined
    const running = table.all.filter((view) => view.pool === pool && view.version === from).reduce((sum, view) => sum + runningNow(view), 0)
    const now = steadyNow()
    state.oldIdleSinceMs = running > 0 ? undefined : state.oldIdleSinceMs ?? now
    return running === 0 && now - state.oldIdleSinceMs! < OLD_VERSION_IDLE_MS ? undefined : running
  }

  #ageMs ({ orderedAtMs }: RolloutProgress): number {
    return this.#nowMs() - orderedAtMs
  }

  #nowMs (): number {
    return this.#options.tallies.clock.now(steadyNow())
  }
}

function sumOf<T> (items: Iterable<T>, valueOf: (item: T) => number): number {
  let sum = 0
  for (const item of items) sum += valueOf(item)
  return sum
}

function isUnfinished (record: RolloutRecord): boolean {
  const progress = currentProgress(record)
  if (record.unsaved === true) return true
  return !progress || !isFinal(progress)
}

/** Picks the endpoints chosen least often so far, and counts the choice. */
function leastChosen (timesChosen: Map<EndpointId, number>, endpoints: readonly EndpointId[], count: number): EndpointId[] {
  const chosen = [...endpoints].sort((a, b) => (timesChosen.get(a) ?? 0) - (timesChosen.get(b) ?? 0)).slice(0, count)
  for (const id of chosen) timesChosen.set(id, (timesChosen.get(id) ?? 0) + 1)
  return chosen
}
