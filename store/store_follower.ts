/** Maintains a copy of all objects with one key prefix, from a listing and the changes after it. */
import { eraOf, formatVersion, isLater, later, type StoreVersion } from '../core/store_version/index.ts'
import { delay, steadyNow } from '../core/time/index.ts'
import { isStoreFailure, StoreError, type Changes, type ObjectSource, type Snapshot, type StoredObject } from './object_store.ts'

/** Options of {@linkcode StoreFollower}. */
export interface StoreFollowerOptions {
  store: ObjectSource
  prefix: string
  /** Called with the complete copy after each change and each listing. */
  onChange (objects: ReadonlyMap<string, StoredObject>, news: FollowerUpdate): void
  /** Called when the store becomes unreachable and when it answers again. */
  onReachabilityChange? (reached: boolean, why: string): void
  /**
   * Called with an error that is not one of the store, such as one that `onChange` threw. The answer does not count as applied, and the objects are listed again
   * after a pause. What this callback throws ends the follower.
   */
  onError (err: unknown): void
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
  version: StoreVersion
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
 *
 * An answer that cannot be applied, since a consumer of the copy failed, counts as a failed call: an error that ended the follower would leave its copy unchanged for
 * as long as the process runs.
 *
 * When the store has returned to a copy, what was read before is of an older era. A pending watch is abandoned, and the source is asked for the
 * whole state.
 */
export class StoreFollower {
  readonly #options: StoreFollowerOptions
  readonly #objects = new Map<string, StoredObject>()
  #version: StoreVersion | undefined
  #stopped = false
  /** Number of calls so far; the answer to an abandoned call is recognized by it. */
  #calls = 0
  /** Number of listings in a row that followed a call whose history was gone. */
  #restarts = 0
  /** Ends the current wait when the era rises. */
  #onEraRise: () => void = () => {}
  #reachable = true
  #failures = 0
  #listedAtMs = -Infinity
  /** Since when every change has been seen, on the monotonic clock; undefined while some may be missed. */
  #completeSinceMs: number | undefined
  /** Time of the store's last answer, on the monotonic clock. */
  lastAnswerAtMs = -Infinity

  constructor (options: StoreFollowerOptions) {
    this.#options = options
    options.store.era.onRise(() => {
      this.#completeSinceMs = undefined
      this.#onEraRise()
    })
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
        if (this.#version === undefined || pauseMs > 0) await this.#list()
        else await this.#untilEraRises(this.#watch(this.#version))
        if (pauseMs > 0) await this.#untilEraRises(delay(pauseMs))
      } catch (err) {
        this.#completeSinceMs = undefined
        if (!(err instanceof StoreError)) this.#options.onError(err)
        if (isStoreFailure(err, 'history-gone')) await this.#restart()
        else await this.#handleFailure(err as Error)
      }
    }
  }

  /** Waits for the end of a wait or a call, or for a new era, in which the answer to the call does not count any more. */
  #untilEraRises (wait: Promise<void>): Promise<void> {
    return Promise.race([wait, new Promise<void>((resolve) => { this.#onEraRise = resolve })])
  }

  async #list (): Promise<void> {
    this.#calls++
    const { store, prefix } = this.#options
    const snapshot = await store.snapshot(prefix)
    if (this.#stopped) return
    if (eraOf(snapshot.version) !== store.era.current) throw new StoreError(`Cannot use the listing of ${prefix}: version ${formatVersion(snapshot.version)} is not of era ${store.era.current}`, { failure: 'history-gone' })
    this.#applyListing(snapshot)
  }

  #applyListing ({ objects, version }: Snapshot): void {
    const listed = new Set(objects.map((object) => object.key))
    const removed = [...this.#objects.keys()].filter((key) => !listed.has(key))
    for (const key of removed) this.#objects.delete(key)
    for (const object of objects) this.#applyObject(object)
    this.#version = version
    this.#listedAtMs = steadyNow()
    this.#completeSinceMs ??= this.#listedAtMs
    this.#options.onChange(this.#objects, { listed: true, removed, version })
    this.#recordSuccess()
  }

  async #watch (after: StoreVersion): Promise<void> {
    const call = ++this.#calls
    const { waitMs: wait = DEFAULT_WAIT_MS, store, prefix } = this.#options
    const waitMs = typeof wait === 'function' ? wait() : wait
    const sentAtMs = steadyNow()
    const changes = await store.changes(prefix, { after, waitMs })
    if (this.#stopped || call !== this.#calls || eraOf(changes.version) !== store.era.current) return
    if (changes.whole === true) this.#applyListing(changes)
    else this.#applyChanges(changes, { after, tookMs: steadyNow() - sentAtMs, waitMs })
  }

  #applyChanges ({ objects, removed, version, checked }: Changes, { after, tookMs, waitMs }: { after: StoreVersion, tookMs: number, waitMs: number }): void {
    // Events replayed by the store are older than the copy and must not undo later changes.
    this.#version = later(after, version)
    for (const key of removed) this.#objects.delete(key)
    for (const object of objects) this.#applyObject(object)
    if (objects.length + removed.length > 0) this.#options.onChange(this.#objects, { listed: false, removed, version: this.#version })
    else if (checked !== true && this.#mayHaveMissedChanges(tookMs, waitMs)) this.#version = undefined
    this.#recordSuccess()
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
    if (!known || isLater(object.version, known.version)) this.#objects.set(object.key, object)
    else if (isLater(known.version, object.version)) this.#options.onOutdated?.(object, known)
  }

  #recordSuccess (): void {
    this.lastAnswerAtMs = steadyNow()
    this.#failures = 0
    this.#restarts = 0
    if (this.#reachable) return
    this.#reachable = true
    this.#options.onReachabilityChange?.(true, 'answers again')
  }

  /** Lists again, at once for the first time: the store may answer every listing with a history that is gone. */
  async #restart (): Promise<void> {
    this.#version = undefined
    if (this.#restarts++ > 0) await this.#pauseBeforeRetry(this.#restarts - 2)
  }

  async #handleFailure (err: Error): Promise<void> {
    if (this.#reachable) this.#options.onReachabilityChange?.(false, err.message)
    this.#reachable = false
    this.#version = undefined
    await this.#pauseBeforeRetry(this.#failures++)
  }

  async #pauseBeforeRetry (retries: number): Promise<void> {
    const maxDelayMs = Math.min(MAX_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2 ** retries)
    await this.#untilEraRises(delay(maxDelayMs * (0.5 + this.#options.random() / 2)))
  }
}
