/** One followed prefix of the store: gets its changes from other daemons or the store, and serves them to others. */
import type { ChangeSource, SourcePlan } from '../../core/relay/index.ts'
import { eraOf, formatVersion, NO_VERSION, type StoreVersion } from '../../core/store_version/index.ts'
import { delay, steadyNow, Waiters } from '../../core/time/index.ts'
import { ChangeLog, type EraTracker, isStoreFailure, StoreError, type Changes, type ObjectSource, type Snapshot } from '../../store/index.ts'

/** `ageMs`: time since the store itself last answered, directly or through other daemons, in milliseconds. */
export interface ChangesResponse extends Changes { ageMs: number }

/** Changes from another daemon; `passedOn` if this one may serve them to others. */
export interface RelayedChanges { response: ChangesResponse, passedOn: boolean }

/** Wait of the first watch of a standby, in milliseconds: its answer shows at once that the store is there. Not 0, which a store may take for no limit. */
const TAKEOVER_WAIT_MS = 1

/** Options of {@linkcode FollowedPrefix}. */
export interface FollowedPrefixOptions {
  store: ObjectSource
  /** State older than this is not served to other daemons, in milliseconds. */
  maxAgeMs: number
  /** State older than this is not served as that of a daemon which watches the store, in milliseconds. */
  maxDirectAgeMs: number
  /** How long a standby that is asked may take to reach the store, in milliseconds. */
  takeoverMs: number
  /** How long a watcher or standby that the store did not serve relies on others before it asks the store again, in milliseconds. */
  storeRetryMs: number
  /** How long the watchers of this region may take to reach those of another one, in milliseconds; 0 if there is only one region. */
  farTakeoverMs: number
  plan (): SourcePlan
  /** Asks other daemons; undefined if none has changes to serve. */
  fetchChanges (after: StoreVersion, sources: readonly ChangeSource[]): Promise<RelayedChanges | undefined>
}

/** State of one followed prefix. */
export class FollowedPrefix implements ObjectSource {
  readonly #prefix: string
  readonly #options: FollowedPrefixOptions
  readonly #log = new ChangeLog()
  readonly #waiters = new Waiters()
  /** When the store itself last answered, directly or through other daemons; undefined while the store is unreachable. */
  #freshAtMs: number | undefined
  /** When the store last answered this daemon itself; undefined while it follows others. */
  #directAtMs: number | undefined
  #storeFailedAtMs = -Infinity

  constructor (prefix: string, options: FollowedPrefixOptions) {
    this.#prefix = prefix
    this.#options = options
  }

  get era (): EraTracker { return this.#options.store.era }

  /**
   * Reads the store: listings follow a start or a failure, when the copies of other daemons are least reliable. A daemon that has a copy gets what is newer from
   * the others while the store does not serve it.
   */
  async snapshot (): Promise<Snapshot> {
    try {
      const snapshot = await this.#options.store.snapshot(this.#prefix)
      this.#log.applyListing(snapshot)
      this.#markDirect()
      return snapshot
    } catch (err) {
      const { version } = this.#log
      const relayed = version !== undefined && (isOutage(err) || eraOf(version) < this.era.current) ? await this.#fetchAfterFailure(version, { err, sources: this.#options.plan().afterListing }) : undefined
      if (!relayed) throw err
      this.#applyRelayed(relayed)
      return this.#log.all()!
    }
  }

  async changes (_prefix: string, { after, waitMs }: { after: StoreVersion, waitMs: number }): Promise<Changes> {
    const { plan, fetchChanges, store } = this.#options
    const { role, beforeStore, afterStore } = plan()
    const relayed = await fetchChanges(after, beforeStore) ?? (role !== 'follower' && this.#isStoreFailing ? await fetchChanges(after, afterStore) : undefined)
    if (relayed) return this.#applyRelayed(relayed)
    const takesOver = role === 'standby' && this.#directAtMs === undefined
    try {
      const changes = await store.changes(this.#prefix, { after, waitMs: takesOver ? TAKEOVER_WAIT_MS : waitMs })
      this.#log.changed(changes)
      this.#markDirect()
      return takesOver ? { ...changes, checked: true } : changes
    } catch (err) {
      const fallback = isStoreFailure(err, 'history-gone') ? undefined : await this.#fetchAfterFailure(after, { err, sources: plan().afterStore })
      if (!fallback) throw err
      return this.#applyRelayed(fallback)
    }
  }

  get #isStoreFailing (): boolean { return steadyNow() - this.#storeFailedAtMs < this.#options.storeRetryMs }

  /**
   * Asks the daemons that were not reached in time before: the store may refuse this daemon and serve them. A watcher or standby that just lost it first tells
   * the daemons that ask it, since one of those takes over.
   */
  async #fetchAfterFailure (after: StoreVersion, { err, sources }: { err: unknown, sources: readonly ChangeSource[] }): Promise<RelayedChanges | undefined> {
    const { role } = this.#options.plan()
    if (isOutage(err)) this.#storeFailedAtMs = steadyNow()
    if (role !== 'follower' && this.#directAtMs !== undefined) this.#recordFailure(err)
    const relayed = await this.#options.fetchChanges(after, sources) ?? await this.#fetchAfterFarTakeover(after, { role, sources })
    if (!relayed) this.#recordFailure(err)
    return relayed
  }

  /** The watchers of this region turn to those of another one only when none here has the store. */
  async #fetchAfterFarTakeover (after: StoreVersion, { role, sources }: { role: SourcePlan['role'], sources: readonly ChangeSource[] }): Promise<RelayedChanges | undefined> {
    const { farTakeoverMs, fetchChanges } = this.#options
    if (farTakeoverMs === 0 || role === 'watcher') return undefined
    await delay(farTakeoverMs)
    return await fetchChanges(after, sources)
  }

  #applyRelayed ({ response, passedOn }: RelayedChanges): Changes {
    if (response.whole === true) this.#log.applyListing(response)
    else this.#log.changed(response)
    this.#directAtMs = undefined
    this.#freshAtMs = passedOn ? steadyNow() - response.ageMs : undefined
    this.#waiters.wakeAll()
    return { ...response, checked: true }
  }

  /**
   * Serves changes as a daemon that watches the store itself. One that does not yet may have been asked just before it learns that no watcher has the store, and
   * gets a short time to reach the store.
   * @throws {Error} When this daemon does not watch the store, or as {@linkcode FollowedPrefix.answer}.
   */
  async answerDirect (after: StoreVersion, waitMs: number): Promise<ChangesResponse> {
    const deadlineMs = steadyNow() + waitMs
    const takeoverUntilMs = steadyNow() + Math.min(waitMs, this.#options.takeoverMs)
    while (!this.#isDirect && this.#freshAtMs !== undefined && !this.#isStoreFailing && steadyNow() < takeoverUntilMs) await this.#waiters.wait(takeoverUntilMs - steadyNow())
    return await this.#answer(after, deadlineMs, () => this.#checkDirect())
  }

  get #isDirect (): boolean { return this.#directAtMs !== undefined && steadyNow() - this.#directAtMs <= this.#options.maxDirectAgeMs }

  #checkDirect (): void {
    if (!this.#isDirect) throw new Error(`Cannot serve changes of ${this.#prefix}: this daemon does not watch the store`)
  }

  /**
   * Serves changes after a version to another daemon, waiting up to `waitMs` for some. If the version is of an older era than the copy, all objects are served;
   * if the copy is of an older era than the known one, it waits for the new one.
   * @throws {Error} When this daemon lost the store, its state is too old, or its change log does not reach back to the version.
   */
  async answer (after: StoreVersion, waitMs: number): Promise<ChangesResponse> {
    return await this.#answer(after, steadyNow() + waitMs, () => {})
  }

  async #answer (after: StoreVersion, deadlineMs: number, check: () => void): Promise<ChangesResponse> {
    for (;;) {
      check()
      const ageMs = this.#freshAtMs === undefined ? Infinity : steadyNow() - this.#freshAtMs
      if (ageMs > this.#options.maxAgeMs) throw new Error(`Cannot serve changes of ${this.#prefix}: the last answer of the store is too old`)
      const remainingMs = deadlineMs - steadyNow()
      const version = this.#log.version ?? NO_VERSION
      if (eraOf(version) < this.era.current) {
        if (remainingMs <= 0) throw new Error(`Cannot serve changes of ${this.#prefix}: the copy is of era ${eraOf(version)}, and the store is in era ${this.era.current}`)
        await this.#waiters.wait(remainingMs)
        continue
      }
      if (eraOf(after) < eraOf(version)) return { ...this.#log.all()!, removed: [], whole: true, ageMs }
      const changes = this.#log.since(after)
      if (!changes) throw new Error(`Cannot serve changes of ${this.#prefix}: the change log does not reach back to version ${formatVersion(after)}`)
      if (changes.objects.length + changes.removed.length > 0 || remainingMs <= 0) return { ...changes, ageMs }
      await this.#waiters.wait(remainingMs)
    }
  }

  /** Daemons that ask this one must ask the next ones or the store and see an outage: entries that lapse in an outage are treated differently from endpoints that left. */
  #recordFailure (err: unknown): void {
    if (!isOutage(err)) return
    this.#freshAtMs = undefined
    this.#directAtMs = undefined
    this.#waiters.wakeAll()
  }

  #markDirect (): void {
    this.#freshAtMs = steadyNow()
    this.#directAtMs = this.#freshAtMs
    this.#storeFailedAtMs = -Infinity
    this.#waiters.wakeAll()
  }
}

function isOutage (err: unknown): boolean {
  return err instanceof StoreError && err.failure !== 'history-gone'
}
