/** Maintains a copy of all objects with one key prefix, from a listing and the changes after it. */
import { delay, steadyNow } from '../core/time/index.ts'
import { isStoreFailure, StoreError, type ObjectSource, type StoredObject } from './object_store.ts'

/** Options of {@linkcode StoreFollower}. */
export interface StoreFollowerOptions {
  store: ObjectSource
  prefix: string
  /** Called with the complete copy after each change and each listing. */
  onChange (objects: ReadonlyMap<string, StoredObject>, news: FollowerUpdate): void
  /** Called when the store becomes unreachable and when it answers again. */
  onReachabilityChange? (reached: boolean, why: string): void
  /** Called with each object of an answer that is not used, since the copy has a later version of it. */
  onOutdated? (object: StoredObject, known: StoredObject): void
  /** Maximum wait of a watch in milliseconds; a function is called before each watch. Default 10,000. */
  waitMs?: number | (() => number)
  /**
   * Returns the milliseconds to pause before listing again instead of watching; 0 to watch. Each waiting watch counts as a call, so only a
   * few of many daemons should watch. Default: always 0.
   */
  pauseMs? (): number
  /** Seeded random source in [0, 1) for jitter. */
  random: () => number
}

/** Describes the update that led to the current copy. */
export interface FollowerUpdate {
  /** True after a listing, which may lack objects that were in the copy before. */
  listed: boolean
  removed: readonly string[]
  /** Store version of the copy; later writes have a higher version. */
  version: number
}

const DEFAULT_WAIT_MS = 10_000
/** A copy without changes is verified by a listing after this many milliseconds or this many watches, whichever is less. */
const CHECK_INTERVAL_MS = 10_000
const MAX_UNCHECKED_WATCHES = 5
/** Milliseconds by which a watch may end early without counting as cut short, because clocks differ. */
const EARLY_END_TOLERANCE_MS = 50
const INITIAL_RETRY_DELAY_MS = 100
const MAX_RETRY_DELAY_MS = 1000

/**
 * Follows the store until it is stopped.
 *
 * After a failed call, the follower lists the objects again, because changes may have been missed. Until then the copy stays unchanged: an
 * outage of the store removes nothing. Resuming the watch instead would report the store as unreachable until the next change, however long
 * it had been answering again, and would treat that change as one made during the outage.
 */
export class StoreFollower {
  readonly #options: StoreFollowerOptions
  readonly #objects = new Map<string, StoredObject>()
  #version: number | undefined
  #stopped = false
  #reachable = true
  #failures = 0
  #listedAtMs = -Infinity
  /** Since when every change has been seen, on the monotonic clock; undefined while some may be missed. */
  #completeSinceMs: number | undefined
  /** Time of the store's last answer, on the monotonic clock. */
  lastAnswerAtMs = -Infinity

  constructor (options: StoreFollowerOptions) {
    this.#options = options
  }

  /** True once the store has answered for the first time. */
  get listed (): boolean { return this.lastAnswerAtMs > -Infinity }

  /** False from the first failed call until the next answer was applied. */
  get reachable (): boolean { return this.#reachable }

  /** Since when no change can have been missed, in milliseconds on the monotonic clock; undefined before the first listing and while the store does not answer. */
  get completeSinceMs (): number | undefined { return this.#completeSinceMs }

  /** Starts following. */
  start (): void {
    this.#follow()
  }

  /** Stops following. A pending watch is not cancelled; its result is ignored. */
  stop (): void {
    this.#stopped = true
  }

  async #follow (): Promise<void> {
    while (!this.#stopped) {
      try {
        const pauseMs = this.#options.pauseMs?.() ?? 0
        await (this.#version === undefined || pauseMs > 0 ? this.#list() : this.#watch(this.#version))
        this.#recordSuccess()
        if (pauseMs > 0) await delay(pauseMs)
      } catch (err) {
        if (!(err instanceof StoreError)) throw err
        this.#completeSinceMs = undefined
        if (isStoreFailure(err, 'history-gone')) this.#version = undefined
        else await this.#handleFailure(err)
      }
    }
  }

  async #list (): Promise<void> {
    const { objects, version } = await this.#options.store.snapshot(this.#options.prefix)
    if (this.#stopped) return
    const listed = new Set(objects.map((object) => object.key))
    const removed = [...this.#objects.keys()].filter((key) => !listed.has(key))
    for (const key of removed) this.#objects.delete(key)
    for (const object of objects) this.#applyObject(object)
    this.#version = version
    this.#listedAtMs = steadyNow()
    this.#completeSinceMs ??= this.#listedAtMs
    this.#options.onChange(this.#objects, { listed: true, removed, version })
  }

  async #watch (after: number): Promise<void> {
    const { waitMs: wait = DEFAULT_WAIT_MS } = this.#options
    const waitMs = typeof wait === 'function' ? wait() : wait
    const sentAtMs = steadyNow()
    const { objects, removed, version, checked } = await this.#options.store.changes(this.#options.prefix, { after, waitMs })
    if (this.#stopped) return
    // Events replayed by the store are older than the copy and must not undo later changes.
    this.#version = Math.max(after, version)
    for (const key of removed) this.#objects.delete(key)
    for (const object of objects) this.#applyObject(object)
    if (objects.length + removed.length > 0) this.#options.onChange(this.#objects, { listed: false, removed, version: this.#version })
    else if (checked !== true && this.#mayHaveMissedChanges(steadyNow() - sentAtMs, waitMs)) this.#version = undefined
  }

  /**
   * Returns true if a listing should verify an empty answer, because a change that the watch lost would otherwise be missed for ever: always
   * for an answer that came early, periodically for others.
   */
  #mayHaveMissedChanges (tookMs: number, waitMs: number): boolean {
    return tookMs < waitMs - EARLY_END_TOLERANCE_MS || steadyNow() - this.#listedAtMs >= Math.min(CHECK_INTERVAL_MS, waitMs * MAX_UNCHECKED_WATCHES)
  }

  #applyObject (object: StoredObject): void {
    const known = this.#objects.get(object.key)
    if (!known || object.version > known.version) this.#objects.set(object.key, object)
    else if (object.version < known.version) this.#options.onOutdated?.(object, known)
  }

  #recordSuccess (): void {
    this.lastAnswerAtMs = steadyNow()
    this.#failures = 0
    if (this.#reachable) return
    this.#reachable = true
    this.#options.onReachabilityChange?.(true, 'answers again')
  }

  async #handleFailure (err: StoreError): Promise<void> {
    if (this.#reachable) this.#options.onReachabilityChange?.(false, err.message)
    this.#reachable = false
    this.#version = undefined
    const maxDelayMs = Math.min(MAX_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2 ** this.#failures++)
    await delay(maxDelayMs * (0.5 + this.#options.random() / 2))
  }
}
