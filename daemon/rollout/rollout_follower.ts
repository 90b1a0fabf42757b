/** Follows rollout orders in the store and in facts gossiped by the other daemons. */
import { problemsOf } from '../../core/config/validate.ts'
import { as, type PoolName } from '../../core/ids/index.ts'
import type { Fact } from '../../core/membership/index.ts'
import { isSameOrder, mergeRecords, orderId, currentProgress, type RolloutProgress, type RolloutRecord } from '../../core/rollout/index.ts'
import type { Random } from '../../core/routing/index.ts'
import { eraOf, isLater, ordinalOf, type StoreVersion } from '../../core/store_version/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { StoreFollower, type ObjectSource, type StoredObject } from '../../store/index.ts'
import { log } from '../log/index.ts'
import { guarded, reportTaskError } from '../tasks/index.ts'
import type { MembershipTask } from '../peers/membership_task.ts'
import type { RolloutPort } from './rollout_port.ts'

/** Options of {@linkcode RolloutFollower}. */
export interface RolloutFollowerOptions {
  store: ObjectSource
  port: Pick<RolloutPort, 'prefix' | 'decode'>
  membership: Pick<MembershipTask, 'publishFact' | 'onFact'>
  random: Random
  /** Long-poll timeout of a store watch, in milliseconds. */
  waitMs: number
}

/** Called with the pool whose order, progress or hold has changed. */
export type RolloutListener = (pool: PoolName) => void

/** Time in which an operator writes an order again that a return of the store has lost, in milliseconds; it is kept until then. */
const ORDER_KEEP_MS = 10_000
const RECORD_FACT_PREFIX = 'rollout/'
const HOLD_FACT_PREFIX = 'rollout-hold/'

/**
 * Follows rollout orders.
 *
 * Progress that the lease holder writes is also gossiped as a fact: it arrives sooner than by the store watch, and reaches daemons that cannot use the store.
 *
 * When the store has returned to a copy, what this daemon knows is merged with what the copy has, and marked for the lease holder to write again.
 */
export class RolloutFollower {
  readonly #options: RolloutFollowerOptions
  readonly #follower: StoreFollower
  readonly #records = new Map<PoolName, RolloutRecord>()
  readonly #listeners: RolloutListener[] = []
  /** When each pool's current order was first seen, in milliseconds on the steady clock. */
  readonly #orderSeenAtMs = new Map<PoolName, number>()
  /** Ids of orders whose new version compared worse during a store outage. */
  readonly #heldOrders = new Set<string>()
  /** Version of each stored object that failed to decode, by key; it is not decoded or logged again. */
  readonly #undecodable = new Map<string, StoreVersion>()
  /** Orders that a return of the store has lost: the timers after which they are given up, and the orders that the copy has in their place. */
  readonly #lostOrders = new Map<PoolName, { timer: NodeJS.Timeout, replacement: RolloutRecord | undefined }>()

  constructor (options: RolloutFollowerOptions) {
    this.#options = options
    options.membership.onFact((fact) => this.#onFact(fact))
    this.#follower = new StoreFollower({
      store: options.store,
      prefix: options.port.prefix,
      random: options.random,
      waitMs: options.waitMs,
      onChange: (objects, { version }) => {
        for (const object of objects.values()) this.#decode(object)
        this.#removeDeleted(objects, version)
      },
      onError: (err) => reportTaskError('follow-rollouts', err),
      onReachabilityChange: (reached, why) => {
        if (reached) log('store-back', { what: 'rollouts' })
        else log('store-lost', { what: 'rollouts', why, lastAnswerAgeMs: undefined })
      }
    })
  }

  /** Latest record of each pool. */
  get records (): ReadonlyMap<PoolName, RolloutRecord> { return this.#records }

  /** When a pool's current order was first seen, in milliseconds on the steady clock. */
  orderSeenAtMs (pool: PoolName): number {
    return this.#orderSeenAtMs.get(pool) ?? steadyNow()
  }

  /** Adds a listener for changes. */
  onChange (listener: RolloutListener): void {
    this.#listeners.push(listener)
  }

  /** Starts following the store. */
  start (): void {
    this.#follower.start()
  }

  /** Stops following the store. */
  stop (): void {
    this.#follower.stop()
    for (const { timer } of this.#lostOrders.values()) clearTimeout(timer)
  }

  /** Applies a record that this daemon read or wrote itself, and gossips it to the others. */
  publish (record: RolloutRecord): void {
    this.#apply(record)
    this.#options.membership.publishFact({ key: RECORD_FACT_PREFIX + record.order.pool, version: ordinalOf(record.version), value: record })
  }

  /** Whether a pool's new version compared worse while the verdict could not be stored. */
  isHeld (pool: PoolName): boolean {
    const progress = this.#progress(pool)
    return progress !== undefined && this.#heldOrders.has(orderId(progress))
  }

  /**
   * Stops every daemon from sending work to an order's new version.
   *
   * During a store outage the rolled-back stage cannot be written. Without a hold, requests would go to the failing version until the store is back.
   */
  hold (progress: RolloutProgress): void {
    const id = orderId(progress)
    if (this.#heldOrders.has(id)) return
    this.#applyHold(progress.order.pool, id)
    this.#options.membership.publishFact({ key: HOLD_FACT_PREFIX + progress.order.pool, version: progress.orderedAtMs, value: id })
  }

  #applyHold (pool: PoolName, id: string): void {
    this.#heldOrders.add(id)
    log('rollout-held', { pool, order: id })
    this.#notify(pool)
  }

  #progress (pool: PoolName): RolloutProgress | undefined {
    const record = this.#records.get(pool)
    return record && currentProgress(record)
  }

  /** Ends the rollout of each order that was deleted from the store, at whatever stage: its new version is no longer wanted. */
  #removeDeleted (objects: ReadonlyMap<string, StoredObject>, version: StoreVersion): void {
    for (const [pool, record] of this.#records) {
      if (isLater(record.version, version) || objects.has(this.#options.port.prefix + pool)) continue
      if (eraOf(record.version) < eraOf(version)) this.#keepLostOrder(record)
      else this.#remove(pool, record)
    }
  }

  /** Keeps an order that the copy of a returned store lacks, or for which it has an earlier one: its operator writes it again. */
  #keepLostOrder (lost: RolloutRecord, replacement?: RolloutRecord): void {
    const { pool } = lost.order
    const kept = this.#lostOrders.get(pool)
    if (kept) {
      kept.replacement = replacement
      return
    }
    const timer = setTimeout(guarded('rollout-follower', () => {
      const { replacement } = this.#lostOrders.get(pool)!
      this.#lostOrders.delete(pool)
      if (this.#records.get(pool)?.version !== lost.version) return
      this.#remove(pool, lost)
      if (replacement) this.#apply(replacement)
    }), ORDER_KEEP_MS)
    this.#lostOrders.set(pool, { timer, replacement })
  }

  #remove (pool: PoolName, record: RolloutRecord): void {
    this.#records.delete(pool)
    log('rollout-stage', { pool, to: record.order.to, from: currentProgress(record)?.from, stage: 'taken-back', why: 'the order is gone', granted: currentProgress(record)?.granted ?? 0 })
    this.#notify(pool)
  }

  #onFact ({ key, value }: Fact): void {
    if (key.startsWith(RECORD_FACT_PREFIX)) this.#apply(value as RolloutRecord)
    else if (key.startsWith(HOLD_FACT_PREFIX)) this.#applyHold(as<PoolName>(key.slice(HOLD_FACT_PREFIX.length)), value as string)
  }

  #decode (object: StoredObject): void {
    if (this.#undecodable.get(object.key) === object.version) return
    try {
      this.#apply(this.#options.port.decode(object))
    } catch (err) {
      this.#undecodable.set(object.key, object.version)
      log('rollout-refused', { order: object.key, problems: problemsOf(err) })
    }
  }

  #apply (found: RolloutRecord): void {
    const { pool } = found.order
    const known = this.#records.get(pool)
    const mustMerge = known !== undefined && (known.unsaved === true || eraOf(found.version) !== eraOf(known.version))
    if (known && !mustMerge && !isLater(found.version, known.version)) return
    const record = mustMerge ? mergeRecords(known, found) : found
    if (record === known) {
      if (eraOf(found.version) > eraOf(known.version)) this.#keepLostOrder(known, found)
      return
    }
    this.#records.set(pool, record)
    if (!known || !isSameOrder(known.order, record.order)) this.#orderSeenAtMs.set(pool, steadyNow())
    const progress = currentProgress(record)
    const stage = progress?.stage ?? 'ordered'
    if (stage !== (known && (currentProgress(known)?.stage ?? 'ordered'))) {
      log('rollout-stage', { pool, to: record.order.to, from: progress?.from, stage, why: progress?.why ?? 'an operator ordered it', granted: progress?.granted ?? 0 })
    }
    this.#notify(pool)
  }

  #notify (pool: PoolName): void {
    for (const listener of this.#listeners) listener(pool)
  }
}
