/** Decides on each daemon which version of a pool's endpoints serves a request, and counts the answers of each version. */
import type { ClassName, DaemonId, EndpointVersion, PoolName } from '../../core/ids/index.ts'
import { answerKey, answerKeyPrefix, barredVersion, requestCountKey, answerBucket, GrantAllowance, endpointGroup, isFinal, orderId, currentProgress, versionRule, type AnswerBucket, type Grant, type RolloutProgress, type VersionRule } from '../../core/rollout/index.ts'
import type { EndpointView, Hash32 } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { EndpointTable } from '../endpoints/endpoint_table.ts'
import type { Metrics } from '../metrics.ts'
import type { Links } from '../peers/links.ts'
import type { TallyTask } from '../peers/tally_task.ts'
import type { ProcessAvailability } from './process_availability.ts'
import type { RolloutFollower } from './rollout_follower.ts'
import { guarded } from '../tasks/index.ts'

/** Options of {@linkcode VersionGate}. */
export interface VersionGateOptions {
  table: EndpointTable
  rollouts: Pick<RolloutFollower, 'records' | 'onChange' | 'isHeld'>
  tallies: Pick<TallyTask, 'tally' | 'reportSoon'>
  links: Pick<Links, 'post' | 'onPost'>
  hash: Hash32
  metrics: Pick<Metrics, 'rolloutAnswers'>
  /** Started only while a rollout is in progress. */
  availability: Pick<ProcessAvailability, 'start' | 'stop' | 'unavailableSince'>
}

/** Message that gives a daemon a grant. */
export interface GrantMessage { pool: PoolName, grant: Grant }
/** Message that reports how many requests of an ended grant a daemon sent. */
export interface GrantUsedMessage { pool: PoolName, order: string, number: number, used: number }

/** Work that needs an endpoint. */
export interface GatedWork { pool: PoolName, cls: { name: ClassName } }

/** Topic of {@linkcode GrantMessage}, sent by the lease holder. */
export const GRANT_TOPIC = 'rollout-grant'
/** Topic of {@linkcode GrantUsedMessage}. */
export const GRANT_USED_TOPIC = 'rollout-grant-used'

/**
 * Restricts the endpoint table to the versions that may get work.
 *
 * A canary version gets requests only by grants, which expire: a daemon that is partitioned stops sending requests to it.
 */
export class VersionGate {
  readonly #options: VersionGateOptions
  /** Version that serves each pool outside a rollout: the one found when the pool was first seen, or that of the last completed order. */
  readonly #stableVersions = new Map<PoolName, EndpointVersion>()
  readonly #rules = new Map<PoolName, VersionRule>()
  readonly #grants = new Map<PoolName, { purse: GrantAllowance, order: string, from: DaemonId | undefined }>()
  readonly #timers = new Map<PoolName, NodeJS.Timeout>()
  #onGrantUsed: (used: GrantUsedMessage) => void = () => {}
  #onVersionEmptied: (pool: PoolName, version: EndpointVersion) => void = () => {}

  constructor (options: VersionGateOptions) {
    this.#options = options
    options.links.onPost(GRANT_TOPIC, ({ pool, grant }: GrantMessage, from) => this.acceptGrant(pool, grant, from))
    options.rollouts.onChange((pool) => this.#onChange(pool))
    this.#restrictTable()
  }

  /** Drops all grants. */
  stop (): void {
    this.#options.availability.stop()
    for (const timer of this.#timers.values()) clearTimeout(timer)
    this.#grants.clear()
  }

  /** Sets the listener for the use of grants that this daemon issued to itself. */
  onGrantUsed (listener: (used: GrantUsedMessage) => void): void {
    this.#onGrantUsed = listener
  }

  /** Sets the listener that moves streams off a version that is being emptied. */
  onVersionEmptied (listener: (pool: PoolName, version: EndpointVersion) => void): void {
    this.#onVersionEmptied = listener
  }

  /** Accepts a grant; `from` is undefined for one that this daemon issued itself. */
  acceptGrant (pool: PoolName, grant: Grant, from: DaemonId | undefined): void {
    const known = this.#grants.get(pool)
    const purse = known?.purse ?? new GrantAllowance()
    const before = purse.start(grant, steadyNow())
    if (known && before) this.#reportUsed({ pool, order: known.order, ...before }, known.from)
    this.#grants.set(pool, { purse, order: grant.order, from })
    clearTimeout(this.#timers.get(pool))
    this.#timers.set(pool, setTimeout(guarded('version-gate', () => this.#endGrant(pool)), grant.forMs))
  }

  /** Version that serves a pool; undefined when its endpoints do not report one. */
  carries (pool: PoolName): EndpointVersion | undefined {
    return this.#ruleOf(pool)?.carries
  }

  /** Whether a rollout of the pool is in progress. */
  isRolling (pool: PoolName): boolean {
    return this.#unfinished(pool) !== undefined
  }

  /** Canary endpoints that a request may be sent to; none without a grant for its class. */
  canaries ({ pool, cls }: GatedWork): readonly EndpointView[] {
    const held = this.#grants.get(pool)
    const progress = held && this.#progress(pool)
    if (!progress || progress.stage !== 'canary') return []
    const granted = held.purse.endpointsFor(orderId(progress), cls.name, steadyNow())
    return granted.length === 0 ? [] : this.#options.table.ofVersion(pool, progress.order.to).filter((view) => granted.includes(view.id) && this.#options.table.mayBegin(view))
  }

  /** Counts a request that was sent to a canary endpoint against the grant. */
  spent ({ pool, cls }: GatedWork): void {
    this.#grants.get(pool)?.purse.spend(cls.name)
  }

  /** Counts a request that arrived. */
  asked ({ pool, cls }: GatedWork): void {
    const progress = this.#unfinished(pool)
    if (progress) this.#addToTally(requestCountKey(pool, orderId(progress), cls.name))
  }

  /**
   * Counts an answer by the time that its first part took. An answer of the new version for much of whose time this process was unavailable is not timed:
   * once the old version gets no requests, its answers do not show that as well. Those of the old version always are: what this process adds to them only
   * makes the comparison milder, and on a busy host there may be no others to compare with.
   */
  answered (view: EndpointView, cls: ClassName, { tookMs, predictedMs }: { tookMs: number, predictedMs: number }): void {
    const isOld = view.version === this.#progress(view.pool)?.from
    const unavailableMs = isOld ? 0 : this.#options.availability.unavailableSince(steadyNow() - tookMs)
    this.#count(view, cls, answerBucket({ tookMs, predictedMs, unavailableMs }))
  }

  /** Counts a failure that the endpoint itself reported. */
  failed (view: EndpointView, cls: ClassName): void {
    this.#count(view, cls, 'failed')
  }

  #count (view: EndpointView, cls: ClassName, bucket: AnswerBucket): void {
    const progress = this.#unfinished(view.pool)
    if (!progress || view.version === undefined) return
    const isNew = view.version === progress.order.to
    if (!isNew && view.version !== progress.from) return
    this.#options.metrics.rolloutAnswers.inc({ pool: view.pool, version: view.version, failed: bucket === 'failed' ? 'yes' : 'no' })
    const group = isNew ? endpointGroup(view.id, this.#options.hash) : undefined
    this.#addToTally(answerKey(view.pool, { order: orderId(progress), version: view.version, cls, group, bucket }))
  }

  #addToTally (key: string): void {
    const { tallies } = this.#options
    tallies.tally.add(key, 1)
    tallies.reportSoon()
  }

  #unfinished (pool: PoolName): RolloutProgress | undefined {
    const progress = this.#progress(pool)
    return progress && !isFinal(progress) ? progress : undefined
  }

  #progress (pool: PoolName): RolloutProgress | undefined {
    const record = this.#options.rollouts.records.get(pool)
    return record && currentProgress(record)
  }

  #restrictTable (): void {
    const { table, rollouts } = this.#options
    table.restrictTo((view) => this.#mayServe(view), ({ pool, version }) => version === undefined || barredVersion(rollouts.records.get(pool), { held: rollouts.isHeld(pool) }) !== version)
  }

  #mayServe ({ pool, version }: EndpointView): boolean {
    return version === undefined || this.#ruleOf(pool)?.carries === version
  }

  #ruleOf (pool: PoolName): VersionRule | undefined {
    const known = this.#rules.get(pool)
    if (known) return known
    const before = this.#stableVersions.get(pool) ?? this.#commonVersion(pool)
    if (before === undefined) return undefined
    this.#stableVersions.set(pool, before)
    const { rollouts } = this.#options
    const rule = versionRule(rollouts.records.get(pool), { before, held: rollouts.isHeld(pool) })
    this.#rules.set(pool, rule)
    return rule
  }

  /** Version that most endpoints run when the pool is first seen. The version that the pool's order names is not counted: its endpoints may already be there. */
  #commonVersion (pool: PoolName): EndpointVersion | undefined {
    const ordered = this.#options.rollouts.records.get(pool)?.order.to
    const counts = new Map<EndpointVersion, number>()
    for (const { version, pool: of } of this.#options.table.all) if (of === pool && version !== undefined) counts.set(version, (counts.get(version) ?? 0) + (version === ordered ? 0 : 1))
    return [...counts].sort(([a, many], [b, fewer]) => fewer - many || a.localeCompare(b, 'en', { numeric: true }))[0]?.[0]
  }

  #onChange (pool: PoolName): void {
    const { rollouts, availability } = this.#options
    const progress = this.#progress(pool)
    if (progress?.stage === 'completed') this.#stableVersions.set(pool, progress.order.to)
    this.#rules.delete(pool)
    if ([...rollouts.records.keys()].some((each) => this.isRolling(each))) availability.start()
    else availability.stop()
    if (!progress || isFinal(progress)) this.#options.tallies.tally.forget((key) => key.startsWith(answerKeyPrefix(pool)))
    this.#restrictTable()
    const { leaves } = this.#ruleOf(pool) ?? {}
    if (leaves !== undefined) this.#onVersionEmptied(pool, leaves)
  }

  #endGrant (pool: PoolName): void {
    const held = this.#grants.get(pool)
    const used = held?.purse.end()
    this.#grants.delete(pool)
    if (held && used) this.#reportUsed({ pool, order: held.order, ...used }, held.from)
  }

  #reportUsed (used: GrantUsedMessage, to: DaemonId | undefined): void {
    if (to === undefined) this.#onGrantUsed(used)
    else this.#options.links.post(to, GRANT_USED_TOPIC, used)
  }
}
