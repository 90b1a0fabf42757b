/** Keeps a copy of all objects of one prefix, from a listing and the changes behind it. */
import { delay, steadyNow } from '../core/time/index.ts'
import { isStoreFailure, StoreError, type ObjectSource, type StoredObject } from './object_store.ts'

/** Options of {@linkcode StoreFollower}. */
export interface StoreFollowerOptions {
  store: ObjectSource
  prefix: string
  /** Called with the whole copy after each change, and after each listing. */
  onChange (objects: ReadonlyMap<string, StoredObject>, news: FollowerNews): void
  /** Called when the store stops answering, and when it answers again. */
  onReach? (reached: boolean, why: string): void
  /** Longest wait in milliseconds, of every watch or of the next one. Default 10,000. */
  waitMs?: number | (() => number)
  /**
   * Milliseconds to pause before listing again in place of watching; 0 to watch. Each waiting watch counts as a call, so that of many
   * daemons few should watch. Default: always 0.
   */
  pauseMs? (): number
  /** Seeded random source in [0, 1) for jitter. */
  random: () => number
}

/** How the copy came to be as it is. */
export interface FollowerNews {
  /** True after a listing, which may lack objects that the copy had. */
  listed: boolean
  removed: readonly string[]
  /** Version of the store that the copy is of: whatever is written later has a higher one. */
  version: number
}

const DEFAULT_WAIT_MS = 10_000
/** A copy in which nothing changes is checked by a listing this often, in milliseconds, or after so many watches. */
const CHECK_EVERY_MS = 10_000
const EMPTY_UNCHECKED = 5
/** A watch may end so much before its time, in milliseconds: clocks differ. */
const EARLY_MS = 50
const FIRST_RETRY_MS = 100
const LONGEST_RETRY_MS = 1000

/**
 * Follows the store until it is stopped.
 *
 * A call that fails tells nothing of what changed meanwhile: the follower lists anew. Until then the copy stays as it was; a store that is down takes nothing
 * away. To watch on instead would leave the store for lost until something changes, however long it has answered again, and that change for one of its outage.
 */
export class StoreFollower {
  readonly #options: StoreFollowerOptions
  readonly #objects = new Map<string, StoredObject>()
  #version: number | undefined
  #stopped = false
  #reached = true
  #failures = 0
  #listedAtMs = -Infinity
  /** When the store last answered, on the steady clock. */
  confirmedAtMs = -Infinity

  constructor (options: StoreFollowerOptions) {
    this.#options = options
  }

  /** True once the objects were listed. */
  get listed (): boolean { return this.confirmedAtMs > -Infinity }

  /** False from the first call that failed until the answer behind it was taken. */
  get reached (): boolean { return this.#reached }

  /** Begins to follow. */
  start (): void {
    this.#follow()
  }

  /** Stops following; a watch that waits ends by itself. */
  stop (): void {
    this.#stopped = true
  }

  async #follow (): Promise<void> {
    while (!this.#stopped) {
      try {
        const pauseMs = this.#options.pauseMs?.() ?? 0
        await (this.#version === undefined || pauseMs > 0 ? this.#list() : this.#watch(this.#version))
        this.#answered()
        if (pauseMs > 0) await delay(pauseMs)
      } catch (err) {
        if (!(err instanceof StoreError)) throw err
        if (isStoreFailure(err, 'history-gone')) this.#version = undefined
        else await this.#failed(err)
      }
    }
  }

  async #list (): Promise<void> {
    const { objects, version } = await this.#options.store.snapshot(this.#options.prefix)
    if (this.#stopped) return
    const listed = new Set(objects.map((object) => object.key))
    const removed = [...this.#objects.keys()].filter((key) => !listed.has(key))
    for (const key of removed) this.#objects.delete(key)
    for (const object of objects) this.#take(object)
    this.#version = version
    this.#listedAtMs = steadyNow()
    this.#options.onChange(this.#objects, { listed: true, removed, version })
  }

  async #watch (after: number): Promise<void> {
    const { waitMs: wait = DEFAULT_WAIT_MS } = this.#options
    const waitMs = typeof wait === 'function' ? wait() : wait
    const sentAtMs = steadyNow()
    const { objects, removed, version, checked } = await this.#options.store.changes(this.#options.prefix, { after, waitMs })
    if (this.#stopped) return
    // An event that the store replays is older than the copy, and would undo what came after it.
    this.#version = Math.max(after, version)
    for (const key of removed) this.#objects.delete(key)
    for (const object of objects) this.#take(object)
    if (objects.length + removed.length > 0) this.#options.onChange(this.#objects, { listed: false, removed, version: this.#version })
    else if (checked !== true && this.#mayHaveLost(steadyNow() - sentAtMs, waitMs)) this.#version = undefined
  }

  /** A change that a watch lost would be missed for ever: an empty answer that comes early is checked by a listing, and others now and then. */
  #mayHaveLost (tookMs: number, waitMs: number): boolean {
    return tookMs < waitMs - EARLY_MS || steadyNow() - this.#listedAtMs >= Math.min(CHECK_EVERY_MS, waitMs * EMPTY_UNCHECKED)
  }

  #take (object: StoredObject): void {
    const known = this.#objects.get(object.key)
    if (!known || object.version > known.version) this.#objects.set(object.key, object)
  }

  #answered (): void {
    this.confirmedAtMs = steadyNow()
    this.#failures = 0
    if (this.#reached) return
    this.#reached = true
    this.#options.onReach?.(true, 'answers again')
  }

  async #failed (err: StoreError): Promise<void> {
    if (this.#reached) this.#options.onReach?.(false, err.message)
    this.#reached = false
    this.#version = undefined
    const longest = Math.min(LONGEST_RETRY_MS, FIRST_RETRY_MS * 2 ** this.#failures++)
    await delay(longest * (0.5 + this.#options.random() / 2))
  }
}
