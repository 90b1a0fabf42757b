/** Follows rollout orders in the store and in facts gossiped by the other daemons. */
import { problemsOf } from '../../core/config/validate.ts'
import { as, type PoolName } from '../../core/ids/index.ts'
import type { Fact } from '../../core/membership/index.ts'
import { isSameOrder, orderId, currentProgress, type RolloutProgress, type RolloutRecord } from '../../core/rollout/index.ts'
import type { Random } from '../../core/routing/index.ts'
import { isLater, ordinalOf, type StoreVersion } from '../../core/store_version/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { StoreFollower, type ObjectSource, type StoredObject } from '../../store/index.ts'
import { log } from '../log/index.ts'
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

const RECORD_FACT_PREFIX = 'rollout/'
const HOLD_FACT_PREFIX = 'rollout-hold/'

/**
 * Follows rollout orders.
 *
 * Progress that the lease holder writes is also gossiped as a fact: it arrives sooner than by the store watch, and reaches daemons that cannot use the store.
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
      this.#records.delete(pool)
      log('rollout-stage', { pool, to: record.order.to, from: currentProgress(record)?.from, stage: 'taken-back', why: 'the order is gone', granted: currentProgress(record)?.granted ?? 0 })
      this.#notify(pool)
    }
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

  #apply (record: RolloutRecord): void {
    const { pool } = record.order
    const known = this.#records.get(pool)
    if (known && !isLater(record.version, known.version)) return
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
