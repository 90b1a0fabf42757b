/** Rate limiting, backoff and call counting for each use of the store. */
import type { StoreVersion } from '../core/store_version/index.ts'
import { delay, steadyNow } from '../core/time/index.ts'
import type { EraTracker } from './era_tracker.ts'
import { StoreError, type Changes, type ObjectStore, type Snapshot, type StoredObject } from './object_store.ts'

/** Purpose of a call to the store. */
export type StoreUse = 'config' | 'once' | 'audit' | 'members' | 'lease' | 'fleet' | 'quarantine'

/** Rate limit of one daemon for one use. */
export interface StoreBudget {
  /** Sustained calls per second. */
  perS: number
  /** Maximum number of calls in a burst. */
  burst: number
}

/** Options of {@linkcode BudgetedStore}. */
export interface BudgetedStoreOptions {
  use: StoreUse
  budget: StoreBudget
  /** Seeded random source in [0, 1) for jitter. */
  random: () => number
  /** Called after every call to the store. */
  onCall?: (use: StoreUse, kind: 'read' | 'write' | 'watch', failed: boolean) => void
}

const INITIAL_BACKOFF_MS = 100
const MAX_BACKOFF_MS = 10_000

/**
 * Wraps a store for one use.
 *
 * Prevents a thundering herd when the store recovers from an outage: after a failure, the next call waits a random time whose range doubles
 * up to 10 s, so that daemons that failed together do not retry together. Concurrent reads of the same key share one call.
 */
export class BudgetedStore implements ObjectStore {
  readonly #inner: ObjectStore
  readonly #options: BudgetedStoreOptions
  readonly #reads = new Map<string, Promise<StoredObject | undefined>>()
  #tokens: number
  #refilledAtMs = steadyNow()
  #consecutiveFailures = 0
  #notBeforeMs = 0

  constructor (inner: ObjectStore, options: BudgetedStoreOptions) {
    this.#inner = inner
    this.#options = options
    this.#tokens = options.budget.burst
  }

  get era (): EraTracker { return this.#inner.era }

  get (key: string): Promise<StoredObject | undefined> {
    const inFlight = this.#reads.get(key)
    if (inFlight) return inFlight
    const read = this.#call('read', () => this.#inner.get(key)).finally(() => this.#reads.delete(key))
    this.#reads.set(key, read)
    return read
  }

  list (prefix: string, options?: { after?: string, limit?: number }): Promise<StoredObject[]> {
    return this.#call('read', () => this.#inner.list(prefix, options))
  }

  snapshot (prefix: string): Promise<Snapshot> {
    return this.#call('read', () => this.#inner.snapshot(prefix))
  }

  create (key: string, value: string): Promise<StoreVersion> {
    return this.#call('write', () => this.#inner.create(key, value))
  }

  update (key: string, value: string, version: StoreVersion): Promise<StoreVersion> {
    return this.#call('write', () => this.#inner.update(key, value, version))
  }

  remove (key: string, version: StoreVersion): Promise<void> {
    return this.#call('write', () => this.#inner.remove(key, version))
  }

  changes (prefix: string, options: { after: StoreVersion, waitMs: number }): Promise<Changes> {
    return this.#call('watch', () => this.#inner.changes(prefix, options))
  }

  async #call<T> (kind: 'read' | 'write' | 'watch', run: () => Promise<T>): Promise<T> {
    await this.#waitForBudget()
    try {
      const result = await run()
      this.#consecutiveFailures = 0
      this.#options.onCall?.(this.#options.use, kind, false)
      return result
    } catch (err) {
      if (!(err instanceof StoreError && err.failure === 'conflict')) this.#backOff()
      this.#options.onCall?.(this.#options.use, kind, true)
      throw err
    }
  }

  #backOff (): void {
    const maxDelayMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** this.#consecutiveFailures)
    this.#consecutiveFailures++
    this.#notBeforeMs = steadyNow() + maxDelayMs * (0.5 + this.#options.random() / 2)
  }

  async #waitForBudget (): Promise<void> {
    const { perS, burst } = this.#options.budget
    const now = steadyNow()
    this.#tokens = Math.min(burst, this.#tokens + (now - this.#refilledAtMs) * perS / 1000) - 1
    this.#refilledAtMs = now
    const budgetWaitMs = this.#tokens < 0 ? -this.#tokens * 1000 / perS : 0
    const waitMs = Math.max(budgetWaitMs, this.#notBeforeMs - now)
    if (waitMs > 0) await delay(waitMs)
  }
}
