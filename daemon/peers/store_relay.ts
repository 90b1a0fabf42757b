/** Follows the store through other daemons: requests changes from a few of them and serves changes to others, which saves watches on the store. */
import { sourcePlan, type ChangeSource, type SourcePlan } from '../../core/relay/index.ts'
import type { DaemonId } from '../../core/ids/index.ts'
import type { Member } from '../../core/membership/index.ts'
import type { Hash32 } from '../../core/routing/index.ts'
import { eraOf, formatVersion, type StoreVersion } from '../../core/store_version/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { Topology } from '../../core/topology/index.ts'
import type { Changes, ObjectSource, StoredObject } from '../../store/index.ts'
import { log } from '../log/index.ts'
import type { Metrics } from '../metrics.ts'
import { FollowedPrefix, type ChangesResponse, type RelayedChanges } from './_followed_prefix.ts'
import { PeerError, type Links } from './links.ts'

/** Options of {@linkcode StoreRelay}. */
export interface StoreRelayOptions {
  store: ObjectSource
  links: Links
  /** This daemon's own record. */
  self (): Member
  /** Daemons that accept new work, including this one; the same list until it changes. */
  acceptingWork (): readonly Member[]
  hash: Hash32
  /** Regions as seen by this daemon. Default: all daemons are in one region. */
  topology?: Pick<Topology, 'isLocal' | 'regionOf' | 'hasRegions'>
  metrics: Metrics
  /** Time limit for a change to reach every daemon, in milliseconds: an endpoint that left may get new work for this long. */
  propagationMs: number
}

/**
 * Long-poll request for the changes of a prefix after a version. `era` is the era that the caller knows of, undefined for a daemon of an earlier release; with
 * `direct`, only a daemon that watches the store itself answers.
 */
interface ChangesRequest { prefix: string, after: StoreVersion, era?: number, waitMs: number, direct?: boolean }

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
/** Maximum age of what a daemon serves that was asked since it watches the store itself, as a fraction of the propagation limit: the wait of a watch and a margin. */
const MAX_DIRECT_AGE_FRACTION = 5 / 8
/**
 * Fraction of the propagation limit for which standbys are tried together, beyond the time for the others. The loss of both watchers may become
 * known only when little of the limit is left, and the store is asked after them.
 */
const STANDBY_FRACTION = 1 / 16
/**
 * Fraction of the propagation limit for which the watchers of another region are tried together, twice the round trip of 40 ms at the least. They are asked only
 * after the store failed, so that it delays no change that this daemon could have read itself.
 */
const FAR_FRACTION = 1 / 8
const CHANGES_METHOD = 'store-changes'

/** Exchanges store changes with other daemons; one instance serves all prefixes that a daemon follows. */
export class StoreRelay {
  readonly #options: StoreRelayOptions
  readonly #followed = new Map<string, FollowedPrefix>()
  readonly #failedAtMs = new Map<DaemonId, number>()
  /** The daemon that last answered for a prefix since it watches the store. */
  readonly #directSources = new Map<string, DaemonId>()
  /** Sources whose last call failed, by prefix, so that each failure is logged once. */
  readonly #failing = new Set<string>()
  #planned: { working: readonly Member[], plan: SourcePlan } | undefined

  constructor (options: StoreRelayOptions) {
    this.#options = options
    options.links.handle(CHANGES_METHOD, async ({ prefix, after, era, waitMs, direct }: ChangesRequest, { from }) => {
      // An earlier release takes the versions of an era for revisions, and would then ignore what it reads from the store itself.
      if (era === undefined && options.store.era.current > 0) throw new Error(`Cannot serve changes of ${prefix}: the caller does not know eras of the store`)
      if (era !== undefined) options.store.era.learn(era, from)
      const followed = this.#followed.get(prefix)
      if (!followed) throw new Error(`Cannot serve changes of ${prefix}: this daemon does not follow it`)
      return await (direct === true ? followed.answerDirect(after, waitMs) : followed.answer(after, waitMs))
    })
  }

  /** How long a watch on the store itself may wait, in milliseconds. */
  get watchWaitMs (): number { return this.#options.propagationMs * WATCH_WAIT_FRACTION }

  /** Returns a source for the objects of a prefix and starts serving the prefix to other daemons. */
  source (prefix: string): ObjectSource {
    const { store, propagationMs } = this.#options
    const followed = new FollowedPrefix(prefix, {
      store,
      maxAgeMs: propagationMs * MAX_AGE_FACTOR,
      maxDirectAgeMs: propagationMs * MAX_DIRECT_AGE_FRACTION,
      takeoverMs: propagationMs * STANDBY_FRACTION / 2,
      storeRetryMs: propagationMs * WATCH_WAIT_FRACTION,
      farTakeoverMs: this.#options.topology?.hasRegions === true ? propagationMs * (STANDBY_FRACTION + FAR_FRACTION) : 0,
      plan: () => this.#plan(),
      fetchChanges: (after, sources) => this.#fetchChanges({ prefix, after }, sources)
    })
    this.#followed.set(prefix, followed)
    return followed
  }

  /**
   * Tries the source daemons in order; undefined when the store itself must be asked.
   *
   * Sources that report a failure cost no time, but one that is silent uses up the time that all of them have together: if each could take as
   * long, the number of sources would determine when a change arrives. A standby is asked briefly first: only after it has answered
   * is it worth a long wait.
   */
  async #fetchChanges ({ prefix, after }: { prefix: string, after: StoreVersion }, sources: readonly ChangeSource[]): Promise<RelayedChanges | undefined> {
    const { propagationMs, store } = this.#options
    const deadlineMs = steadyNow() + propagationMs * REQUEST_TIMEOUT_FRACTION
    const triedMs = { near: propagationMs * STANDBY_FRACTION, far: propagationMs * FAR_FRACTION }
    const current = this.#directSources.get(prefix)
    // One that watches the store and is followed already goes before others that would first have to take over.
    const ordered = [...sources.filter(({ direct }) => !direct), ...sources.filter(({ direct, member }) => direct && member.id === current), ...sources.filter(({ direct, member }) => direct && member.id !== current)]
    for (const { member, direct, passedOn, far } of ordered) {
      if (this.#isSkipped(member)) continue
      const startMs = steadyNow()
      const isTried = direct && (current !== member.id || startMs >= deadlineMs)
      const distance = far ? 'far' : 'near'
      const remainingMs = isTried ? triedMs[distance] : deadlineMs - startMs
      if (remainingMs <= 0) continue
      const response = await this.#fetchChangesFrom(member, { prefix, after, era: store.era.current, waitMs: remainingMs / 2, ...(direct && { direct }) }, remainingMs)
      if (isTried) triedMs[distance] -= steadyNow() - startMs
      if (!response) continue
      if (direct) this.#directSources.set(prefix, member.id)
      else this.#directSources.delete(prefix)
      return { response, passedOn }
    }
    return undefined
  }

  /** Refuses changes that do not continue the caller's version, and state of an older era. */
  #checkEra ({ version, whole }: Changes, { req: { prefix, after }, from }: { req: ChangesRequest, from: DaemonId }): void {
    const { era } = this.#options.store
    era.learn(eraOf(version), from)
    if (eraOf(version) < era.current || (whole !== true && eraOf(version) !== eraOf(after))) throw new Error(`Cannot use changes of ${prefix}: version ${formatVersion(version)} does not continue ${formatVersion(after)}`)
  }

  /** Computed once for each change of the members: ranking hundreds of them for each call would be the dearest part of it. */
  #plan (): SourcePlan {
    const { self, acceptingWork, hash, topology } = this.#options
    const working = acceptingWork()
    if (this.#planned?.working !== working) this.#planned = { working, plan: sourcePlan(self(), working, { hash, ...(topology && { topology }) }) }
    return this.#planned.plan
  }

  #isSkipped ({ id }: Member): boolean {
    return steadyNow() - (this.#failedAtMs.get(id) ?? -Infinity) <= FAILED_SOURCE_BACKOFF_MS
  }

  async #fetchChangesFrom (daemon: Member, req: ChangesRequest, timeoutMs: number): Promise<ChangesResponse | undefined> {
    const { links, metrics } = this.#options
    try {
      // The timeout of a call begins once the daemon is connected.
      const response = await within(links.call(daemon, CHANGES_METHOD, req, { timeoutMs }), timeoutMs)
      if (!isChangesResponse(response)) throw new Error('Cannot use changes: the reply has another form')
      this.#checkEra(response, { req, from: daemon.id })
      this.#failing.delete(`${daemon.id} ${req.prefix}`)
      metrics.storeChangeAge.observe({ prefix: req.prefix }, response.ageMs)
      return response
    } catch (err) {
      // One that replies has nothing to serve now, as while it has lost the store; asking it again costs no time.
      if (!(err instanceof PeerError && err.replied)) this.#failedAtMs.set(daemon.id, steadyNow())
      this.#logFailure(daemon.id, { prefix: req.prefix, why: (err as Error).message })
      return undefined
    }
  }

  #logFailure (peer: DaemonId, { prefix, why }: { prefix: string, why: string }): void {
    const failing = `${peer} ${prefix}`
    if (!this.#failing.has(failing)) log('relay-failed', { peer, prefix, why })
    this.#failing.add(failing)
  }
}

/** Checks a reply before it is applied: an error while it is applied would count as one of the store. */
function isChangesResponse (value: unknown): value is ChangesResponse {
  const { objects, removed, version, ageMs } = (value ?? {}) as Partial<ChangesResponse>
  return Array.isArray(objects) && objects.every(isObject) && Array.isArray(removed) && removed.every((key) => typeof key === 'string') && isOrdinal(version) && Number.isFinite(ageMs)
}

function isObject (object: Partial<StoredObject> | null): object is StoredObject {
  return typeof object?.key === 'string' && typeof object.value === 'string' && isOrdinal(object.version) && (object.status === undefined || typeof object.status === 'string')
}

function isOrdinal (version: unknown): boolean {
  return Number.isSafeInteger(version) && (version as number) >= 0
}

/** Rejects if a call has not ended in time. */
function within<T> (call: Promise<T>, timeoutMs: number): Promise<T> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => reject(new Error(`Cannot call daemon: no reply within ${Math.round(timeoutMs)} ms`)), timeoutMs)
    call.then(resolve, reject).finally(() => clearTimeout(timer))
  })
}
