/** Follows the store through other daemons: requests changes from a few of them and serves changes to others, which saves watches on the store. */
import { changeSources } from '../../core/relay/index.ts'
import type { DaemonId } from '../../core/ids/index.ts'
import type { Member } from '../../core/membership/index.ts'
import type { Hash32 } from '../../core/routing/index.ts'
import { eraOf, formatVersion, NO_VERSION, type StoreVersion } from '../../core/store_version/index.ts'
import { steadyNow, Waiters } from '../../core/time/index.ts'
import { ChangeLog, type EraTracker, isStoreFailure, StoreError, type Changes, type ObjectSource, type Snapshot } from '../../store/index.ts'
import { log } from '../log/index.ts'
import type { Metrics } from '../metrics.ts'
import { PeerError, type Links } from './links.ts'

/** Options of {@linkcode StoreRelay}. */
export interface StoreRelayOptions {
  store: ObjectSource
  links: Links
  /** This daemon's own record. */
  self (): Member
  /** Daemons that accept new work, including this one. */
  acceptingWork (): readonly Member[]
  hash: Hash32
  metrics: Metrics
  /** Time limit for a change to reach every daemon, in milliseconds: an endpoint that left may get new work for this long. */
  propagationMs: number
}

/** Long-poll request for the changes of a prefix after a version; `era` is the era that the caller knows of, undefined for a daemon of an earlier release. */
interface ChangesRequest { prefix: string, after: StoreVersion, era?: number, waitMs: number }
/** `ageMs`: time since the store itself last answered, directly or through other daemons, in milliseconds. */
interface ChangesResponse extends Changes { ageMs: number }

/**
 * Fraction of the propagation limit within which a request to other daemons must be answered, which leaves half of the limit for asking the store itself.
 * A daemon that is asked waits for changes for half of the time that is left.
 */
const REQUEST_TIMEOUT_FRACTION = 1 / 2
/** How long a daemon that did not reply is skipped, in milliseconds: silent links are replaced within four seconds. */
const FAILED_SOURCE_BACKOFF_MS = 4000
/**
 * Fraction of the propagation limit for which a watch on the store waits. A watcher whose watch gets no answer abandons it shortly after that and reports the
 * store as lost while its clients still have time to ask the store themselves.
 */
const WATCH_WAIT_FRACTION = 1 / 2
/**
 * Maximum age of state that is still served, as a multiple of the propagation limit: the wait of a watch, its grace period and two intermediate daemons. Older
 * state means that daemons ask each other in a cycle or have lost the store without noticing.
 */
const MAX_AGE_FACTOR = 3 / 2
const CHANGES_METHOD = 'store-changes'

/** Exchanges store changes with other daemons; one instance serves all prefixes that a daemon follows. */
export class StoreRelay {
  readonly #options: StoreRelayOptions
  readonly #followed = new Map<string, FollowedPrefix>()
  readonly #failedAtMs = new Map<DaemonId, number>()

  constructor (options: StoreRelayOptions) {
    this.#options = options
    options.links.handle(CHANGES_METHOD, async ({ prefix, after, era, waitMs }: ChangesRequest, { from }) => {
      // An earlier release takes the versions of an era for revisions, and would then ignore what it reads from the store itself.
      if (era === undefined && options.store.era.current > 0) throw new Error(`Cannot serve changes of ${prefix}: the caller does not know eras of the store`)
      if (era !== undefined) options.store.era.learn(era, from)
      const followed = this.#followed.get(prefix)
      if (!followed) throw new Error(`Cannot serve changes of ${prefix}: this daemon does not follow it`)
      return await followed.answer(after, waitMs)
    })
  }

  /** How long a watch on the store itself may wait, in milliseconds. */
  get watchWaitMs (): number { return this.#options.propagationMs * WATCH_WAIT_FRACTION }

  /** Returns a source for the objects of a prefix and starts serving the prefix to other daemons. */
  source (prefix: string): ObjectSource {
    const { store, propagationMs } = this.#options
    const followed = new FollowedPrefix(prefix, { store, maxAgeMs: propagationMs * MAX_AGE_FACTOR, fetchChanges: (after) => this.#fetchChanges(prefix, after) })
    this.#followed.set(prefix, followed)
    return followed
  }

  /**
   * Tries the source daemons in order; undefined when the store itself must be asked.
   *
   * Sources that report a failure cost no time, but one that is silent uses up the time that all of them have together: if each could take as
   * long, the number of sources would determine when a change arrives.
   */
  async #fetchChanges (prefix: string, after: StoreVersion): Promise<ChangesResponse | undefined> {
    const deadlineMs = steadyNow() + this.#options.propagationMs * REQUEST_TIMEOUT_FRACTION
    for (const daemon of this.#sources()) {
      const remainingMs = deadlineMs - steadyNow()
      if (remainingMs <= 0) return undefined
      const response = await this.#fetchChangesFrom(daemon, { prefix, after, era: this.#options.store.era.current, waitMs: remainingMs / 2 }, remainingMs)
      if (response) return response
    }
    return undefined
  }

  /** Refuses changes that do not continue the caller's version, and state of an older era. */
  #checkEra ({ version, whole }: Changes, { req: { prefix, after }, from }: { req: ChangesRequest, from: DaemonId }): void {
    const { era } = this.#options.store
    era.learn(eraOf(version), from)
    if (eraOf(version) < era.current || (whole !== true && eraOf(version) !== eraOf(after))) throw new Error(`Cannot use changes of ${prefix}: version ${formatVersion(version)} does not continue ${formatVersion(after)}`)
  }

  #sources (): Member[] {
    const now = steadyNow()
    const { self, acceptingWork, hash } = this.#options
    return changeSources(self(), acceptingWork(), { hash }).filter(({ id }) => now - (this.#failedAtMs.get(id) ?? -Infinity) > FAILED_SOURCE_BACKOFF_MS)
  }

  async #fetchChangesFrom (daemon: Member, req: ChangesRequest, timeoutMs: number): Promise<ChangesResponse | undefined> {
    const { links, metrics } = this.#options
    try {
      // The timeout of a call begins once the daemon is connected.
      const response = await within(links.call(daemon, CHANGES_METHOD, req, { timeoutMs }), timeoutMs) as ChangesResponse
      this.#checkEra(response, { req, from: daemon.id })
      metrics.storeChangeAge.observe({ prefix: req.prefix }, response.ageMs)
      return response
    } catch (err) {
      // One that replies has nothing to serve now, as while it has lost the store; asking it again costs no time.
      if (!(err instanceof PeerError && err.replied)) this.#failedAtMs.set(daemon.id, steadyNow())
      log('relay-failed', { peer: daemon.id, prefix: req.prefix, why: (err as Error).message })
      return undefined
    }
  }
}

interface FollowedPrefixOptions {
  store: ObjectSource
  /** State older than this is not served to other daemons, in milliseconds. */
  maxAgeMs: number
  fetchChanges (after: StoreVersion): Promise<ChangesResponse | undefined>
}

/** State of one followed prefix. */
class FollowedPrefix implements ObjectSource {
  readonly #prefix: string
  readonly #options: FollowedPrefixOptions
  readonly #log = new ChangeLog()
  readonly #waiters = new Waiters()
  /** When the store itself last answered, directly or through other daemons; undefined while the store is unreachable. */
  #freshAtMs: number | undefined

  constructor (prefix: string, options: FollowedPrefixOptions) {
    this.#prefix = prefix
    this.#options = options
  }

  get era (): EraTracker { return this.#options.store.era }

  /**
   * Reads the store: listings follow a start or a failure, when the copies of other daemons are least reliable. The exception is a daemon whose copy is of an
   * older era: while the store refuses it, it gets the whole state of the new era from the others.
   */
  async snapshot (): Promise<Snapshot> {
    try {
      const snapshot = await this.#options.store.snapshot(this.#prefix)
      this.#log.applyListing(snapshot)
      this.#markFresh(0)
      return snapshot
    } catch (err) {
      const { version } = this.#log
      const response = version !== undefined && eraOf(version) < this.era.current ? await this.#options.fetchChanges(version) : undefined
      if (response) return this.#applyRelayed(response)
      this.#recordFailure(err)
      throw err
    }
  }

  async changes (_prefix: string, { after, waitMs }: { after: StoreVersion, waitMs: number }): Promise<Changes> {
    const response = await this.#options.fetchChanges(after)
    if (response) return this.#applyRelayed(response)
    try {
      const changes = await this.#options.store.changes(this.#prefix, { after, waitMs })
      this.#log.changed(changes)
      this.#markFresh(0)
      return changes
    } catch (err) {
      return await this.#changesAfterFailure(err, after)
    }
  }

  /** Asks the daemons that were not reached in time before: the store may refuse this daemon and serve them. */
  async #changesAfterFailure (err: unknown, after: StoreVersion): Promise<Changes> {
    const response = isStoreFailure(err, 'history-gone') ? undefined : await this.#options.fetchChanges(after)
    if (response) return this.#applyRelayed(response)
    this.#recordFailure(err)
    throw err
  }

  #applyRelayed (response: ChangesResponse): Changes {
    if (response.whole === true) this.#log.applyListing(response)
    else this.#log.changed(response)
    this.#markFresh(response.ageMs)
    return { ...response, checked: true }
  }

  /**
   * Serves changes after a version to another daemon, waiting up to `waitMs` for some. If the version is of an older era than the copy, all objects are served;
   * if the copy is of an older era than the known one, it waits for the new one.
   * @throws {Error} When this daemon lost the store, its state is too old, or its change log does not reach back to the version.
   */
  async answer (after: StoreVersion, waitMs: number): Promise<ChangesResponse> {
    const deadlineMs = steadyNow() + waitMs
    for (;;) {
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

  /** Daemons that ask this one must ask the store themselves and see an outage: entries that lapse in an outage are treated differently from endpoints that left. */
  #recordFailure (err: unknown): void {
    if (err instanceof StoreError && err.failure !== 'history-gone') this.#markLost()
  }

  #markLost (): void {
    this.#freshAtMs = undefined
    this.#waiters.wakeAll()
  }

  #markFresh (ageMs: number): void {
    this.#freshAtMs = steadyNow() - ageMs
    this.#waiters.wakeAll()
  }
}

/** Rejects if a call has not ended in time. */
function within<T> (call: Promise<T>, timeoutMs: number): Promise<T> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => reject(new Error(`Cannot call daemon: no reply within ${Math.round(timeoutMs)} ms`)), timeoutMs)
    call.then(resolve, reject).finally(() => clearTimeout(timer))
  })
}
