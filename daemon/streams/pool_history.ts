/** Keeps in the store which versions of a pool's endpoints may have begun streams that still live. */
import type { Route } from '../../core/catalog/index.ts'
import { as, type DaemonId, type EndpointVersion, type PoolName } from '../../core/ids/index.ts'
import type { EndpointView } from '../../core/routing/index.ts'
import { changedHistory, confirmationOf, encodeHistory, isListed, isOnlyPool, isRouteKey, matchesRoute, routeKeyOf, type HistoryVersion, type PoolConfirmation, type RequestOrigin } from '../../core/streams/index.ts'
import { delay, steadyNow } from '../../core/time/index.ts'
import { isStoreFailure, StoreError, type ObjectStore } from '../../store/index.ts'
import { log } from '../log/index.ts'
import { guarded, reportTaskError } from '../tasks/index.ts'
import type { Metrics } from '../metrics.ts'
import type { MembershipTask } from '../peers/membership_task.ts'
import { HISTORY_PREFIX, HistoryReader, type HistorySnapshot } from './_history_reader.ts'
import { VersionRetirement } from './_version_retirement.ts'

/** Options of {@linkcode PoolHistory}. */
export interface PoolHistoryOptions {
  self: DaemonId
  store: Pick<ObjectStore, 'era' | 'snapshot' | 'create' | 'update'>
  membership: Pick<MembershipTask, 'links' | 'rankedFor' | 'joined'>
  /** Seeded random source in [0, 1). */
  random: () => number
  metrics: Pick<Metrics, 'poolHistory'>
  /** Returns since when this daemon has seen every change of the registry, in milliseconds on the steady clock; undefined while it may miss some. */
  completeSinceMs (): number | undefined
  /** Returns the time since the registry last answered, in milliseconds; undefined if it never did. */
  registryAgeMs (): number | undefined
}

/** A version at which work of a pool may begin, or a pool in which streams of a route may. */
type ListedVersion = Pick<EndpointView, 'pool' | 'version'> & Partial<Pick<EndpointView, 'leavingAtMs'>>

/** Query of {@linkcode RECORDED_METHOD}. */
interface RecordedQuery { pool: PoolName, version: EndpointVersion | null }

/** Asks a daemon whether the store holds a version of a pool as listed; the reply is a boolean. */
const RECORDED_METHOD = 'pool-version-recorded'
/** Job by which daemons rank as writers. */
const JOB = 'pool-versions'
/** Time by which each daemon waits longer to write than the one before it in rank, in milliseconds. */
const TURN_MS = 60
/** Rank from which on all daemons have the same turn. */
const LAST_TURN = 8
/** Wait for a reply of a daemon, in milliseconds, and number of daemons that are asked. */
const PEER_TIMEOUT_MS = 300
const PEERS_ASKED = 3
/** Time in which the store is expected to hold a new version, before other daemons are asked, in milliseconds. */
const ASK_PEERS_AFTER_MS = 300
/** Longest time for which endpoints of a new version get no new work while it may begin at none of the pool, in milliseconds. */
const MAX_WITHHELD_MS = 1000
/** Pause after a failed call to the store, in milliseconds: the first, and the longest. */
const RETRY_MS = 100
const MAX_RETRY_MS = 5000
/** Bounds of the wait for the answer to a read that a take-up needs, in milliseconds. */
const CONFIRM_TIMEOUT_MS = 300
/** Least time between two reads, in milliseconds, and by how much it grows with each daemon. */
const MIN_READ_INTERVAL_MS = 5
const READ_INTERVAL_PER_DAEMON_MS = 1
/** Age of the registry's last answer beyond which a daemon is not sure that it knows all versions, in milliseconds. */
const MAX_REGISTRY_AGE_MS = 4000
const TICK_MS = 500
/** Age of the copy after which a pool of several versions is read again, in milliseconds. */
const REFRESH_MS = 30_000
/** Age of the copy up to which it shows that the store holds a version, in milliseconds. */
const FRESH_COPY_MS = 1000

/**
 * Writes versions ahead: an endpoint gets no new work before the store holds its version as one of its pool, so that a read of the store tells of each stream that began before the read whether
 * the pool has had one version only.
 *
 * If the store does not take a version in time and no other endpoint of the pool may get new work, its endpoints are used all the same. Until the store has it, a stream that began there is found by
 * its records alone.
 *
 * The pools of each route whose streams may be resumed are kept in the same way, since the versions of a pool say nothing about streams that began before their route was moved to it.
 */
export class PoolHistory {
  readonly #options: PoolHistoryOptions
  readonly #reader: HistoryReader
  readonly #retirement: VersionRetirement
  /** What the store last showed; undefined before its first answer and after a return to a copy. */
  #copy: HistorySnapshot | undefined
  #copiedAtMs = -Infinity
  #views: readonly ListedVersion[] = []
  /** Pools of the routes whose streams may be resumed. */
  #routePools: readonly ListedVersion[] = []
  /** Listed versions by pool, as the registry shows them, and listed pools by route. */
  #listed: ReadonlyMap<PoolName, ReadonlySet<HistoryVersion>> = new Map()
  #listedKeys: ReadonlySet<string> = new Set()
  /** Listed versions with an endpoint that does not leave. */
  #stayingKeys: ReadonlySet<string> = new Set()
  /** Versions at which work may begin. The value is false for one that the store may not hold. */
  readonly #allowed = new Map<string, boolean>()
  /** Versions that are being written. */
  readonly #pending = new Set<string>()
  #timer: NodeJS.Timeout | undefined
  #stopped = false
  #wasCertain = new Set<PoolName>()
  #settled = false
  #refresh: Promise<unknown> | undefined
  /** Called when endpoints may get work that could not before. */
  onAllowed: () => void = () => {}
  /** Called when a pool is not certain any more. */
  onUncertain: () => void = () => {}

  constructor (options: PoolHistoryOptions) {
    this.#options = options
    const { store, membership, metrics, completeSinceMs } = options
    this.#reader = new HistoryReader({
      store: { snapshot: (prefix) => counted(store.snapshot(prefix), { metrics, kind: 'read' }) },
      intervalMs: () => Math.max(MIN_READ_INTERVAL_MS, READ_INTERVAL_PER_DAEMON_MS * membership.rankedFor(JOB).length),
      onRead: (snapshot) => this.#setCopy(snapshot)
    })
    this.#retirement = new VersionRetirement({ completeSinceMs, isInTouch: () => this.#isInTouch })
    membership.links.handle(RECORDED_METHOD, async ({ pool, version }: RecordedQuery) => await this.#isRecorded(pool, version ?? undefined))
    store.era.onRise(() => {
      this.#copy = undefined
      this.#recordListed()
    })
  }

  /** Reads the store and begins to follow what the pools' versions do. */
  start (): void {
    this.#refreshCopy()
    this.#timer = setInterval(guarded('pool-history', () => this.#tick()), TICK_MS)
  }

  /** Stops reading and writing. */
  stop (): void {
    this.#stopped = true
    clearInterval(this.#timer)
  }

  /** Must be called with all endpoints after each change to them. */
  endpointsChanged (views: readonly ListedVersion[]): void {
    this.#views = views
    this.#relist()
  }

  /** Must be called with all routes after each change to them. */
  routesChanged (routes: ReadonlyArray<Pick<Route, 'host' | 'pathPrefix' | 'pools'> & { cls: Pick<Route['cls'], 'resumable'> }>): void {
    this.#routePools = routes.filter(({ cls }) => cls.resumable).flatMap((route) =>
      route.pools.filter(({ weight }) => weight > 0).map(({ pool }) => ({ pool: routeKeyOf(route), version: as<EndpointVersion>(pool) })))
    this.#relist()
    this.#checkCertain()
  }

  #relist (): void {
    const views = [...this.#views, ...this.#routePools]
    const listed = new Map<PoolName, Set<HistoryVersion>>()
    for (const { pool, version } of views) listed.set(pool, (listed.get(pool) ?? new Set()).add(version))
    this.#listed = listed
    this.#listedKeys = new Set([...listed].flatMap(([pool, versions]) => [...versions].map((version) => keyOf(pool, version))))
    this.#stayingKeys = new Set(views.filter(({ leavingAtMs }) => leavingAtMs === undefined).map(({ pool, version }) => keyOf(pool, version)))
    // One that is listed again must be written again: it may be retiring by then.
    for (const key of this.#allowed.keys()) if (!this.#listedKeys.has(key)) this.#allowed.delete(key)
    this.#recordListed()
  }

  /** True once new work could begin in all pools that were listed. */
  get settled (): boolean { return this.#settled }

  /** Returns true if new work may begin at an endpoint. */
  mayBegin ({ pool, version }: Pick<EndpointView, 'pool' | 'version'>): boolean {
    return this.#allowed.has(keyOf(pool, version))
  }

  /**
   * Returns true if all streams of a pool that live began at one version, by what this daemon last saw of the store and the registry.
   * @param origin Also asks whether all streams of this origin began in the pool. Default: it does not matter.
   */
  isCertain (pool: PoolName, origin?: RequestOrigin): boolean {
    if (origin && [...this.#listed].some(([key, pools]) => matchesRoute(key, origin) && !(pools.size === 1 && pools.has(as<EndpointVersion>(pool)) && this.isCertain(key)))) return false
    const listed = this.#listed.get(pool) ?? new Set()
    const confirmation = this.#confirmationIn(this.#copy, pool, origin)
    return confirmation.isOnly && this.#isInTouch && [...listed].every((version) => version === confirmation.version && this.#allowed.get(keyOf(pool, version)) === true)
  }

  /**
   * Reads the store to tell whether all streams of a pool that live now began at one version.
   * @param options.origin Also asks whether all streams of this origin began in the pool. Default: it does not matter.
   * @returns Undefined if the store does not answer in time.
   */
  async confirm (pool: PoolName, { timeoutMs = CONFIRM_TIMEOUT_MS, origin }: { timeoutMs?: number, origin?: RequestOrigin | undefined } = {}): Promise<PoolConfirmation | undefined> {
    // Versions stay for minutes after they have left, so that a copy with several need not be read again.
    if (this.#copy && steadyNow() - this.#copiedAtMs < REFRESH_MS && !this.#confirmationIn(this.#copy, pool, origin).isOnly) return { isOnly: false }
    const read = this.#reader.read().then((snapshot) => this.#confirmationIn(snapshot, pool, origin), reportUnexpected)
    return await Promise.race([read, delay(timeoutMs).then(() => undefined)])
  }

  get #isInTouch (): boolean {
    return this.#options.completeSinceMs() !== undefined && (this.#options.registryAgeMs() ?? Infinity) <= MAX_REGISTRY_AGE_MS
  }

  #confirmationIn (snapshot: HistorySnapshot | undefined, pool: PoolName, origin?: RequestOrigin): PoolConfirmation {
    if (!snapshot || (origin && !isOnlyPool(snapshot.pools, { pool, origin, era: snapshot.era }))) return { isOnly: false }
    return confirmationOf(snapshot.pools.get(pool)?.record, snapshot.era)
  }

  #setCopy (snapshot: HistorySnapshot): void {
    if (snapshot.era < this.#options.store.era.current) return
    this.#copy = snapshot
    this.#copiedAtMs = steadyNow()
  }

  /** Returns true if new work may begin at a version of a pool, and not all of its endpoints leave. */
  #mayBeginIn (pool: PoolName): boolean {
    return [...this.#listed.get(pool) ?? []].some((version) => this.#allowed.has(keyOf(pool, version)) && this.#stayingKeys.has(keyOf(pool, version)))
  }

  #recordListed (): void {
    for (const [pool, versions] of this.#listed) {
      for (const version of versions) {
        const key = keyOf(pool, version)
        if (this.#pending.has(key)) continue
        if (this.#allowed.get(key) !== true && this.#isFresh && this.#isInCopy(pool, version)) this.#allow(key, true)
        else if (this.#allowed.get(key) !== true || !this.#isInCopy(pool, version)) this.#record(pool, version)
      }
    }
  }

  /** A version that is listed again may have been removed since an older copy. */
  get #isFresh (): boolean { return steadyNow() - this.#copiedAtMs < FRESH_COPY_MS }

  #isInCopy (pool: PoolName, version: HistoryVersion): boolean {
    return this.#copy !== undefined && isListed(this.#copy.pools.get(pool)?.record, { version, era: this.#copy.era })
  }

  #allow (key: string, isRecorded: boolean): void {
    const isNew = !this.#allowed.has(key)
    this.#allowed.set(key, isRecorded)
    const pools = [...this.#listed].filter(([pool]) => !isRouteKey(pool))
    this.#settled ||= pools.length > 0 && pools.every(([pool, versions]) => [...versions].some((version) => this.#allowed.has(keyOf(pool, version))))
    if (isNew) this.onAllowed()
  }

  /** Has the store hold a version as listed, and lets work begin there once it does, or when the time for that is over. */
  async #record (pool: PoolName, version: HistoryVersion): Promise<void> {
    const key = keyOf(pool, version)
    this.#pending.add(key)
    const limit = setInterval(() => {
      if (this.#allowed.has(key) || !this.#listedKeys.has(key) || this.#mayBeginIn(pool)) return
      log('pool-version-unrecorded', { pool, version })
      this.#options.metrics.poolHistory.inc({ result: 'unrecorded' })
      this.#allow(key, false)
    }, MAX_WITHHELD_MS)
    const ask = guarded('pool-history', async () => { if (await this.#isRecordedByPeers(pool, version) && this.#listedKeys.has(key)) this.#allow(key, true) })
    const asking = setTimeout(ask, ASK_PEERS_AFTER_MS)
    const isDone = await this.#write(pool, version)
    clearInterval(limit)
    clearTimeout(asking)
    this.#pending.delete(key)
    if (isDone && this.#listedKeys.has(key)) this.#allow(key, true)
  }

  /** Reads and writes until the store holds the version, or it is listed no more. The first daemon in rank writes at once, the others read later and write if it has not. */
  async #write (pool: PoolName, version: HistoryVersion): Promise<boolean> {
    const startedAtMs = steadyNow()
    const { turnMs, spreadMs } = this.#turn()
    let failures = 0
    if (turnMs > 0) await delay(TURN_MS / 2 + spreadMs)
    while (!this.#stopped && this.#listed.get(pool)?.has(version) === true) {
      try {
        await this.#reader.read()
        if (this.#isInCopy(pool, version)) return true
        if (steadyNow() - startedAtMs < turnMs) await delay(TURN_MS)
        else if (await this.#update(pool)) return true
        failures = 0
      } catch (err) {
        reportUnexpected(err)
        await delay(Math.min(MAX_RETRY_MS, RETRY_MS * 2 ** failures++) * (0.5 + this.#options.random() / 2))
      }
    }
    return false
  }

  #turn (): { turnMs: number, spreadMs: number } {
    const { self, membership, random } = this.#options
    const ranked = membership.rankedFor(JOB)
    const rank = ranked.findIndex(({ id }) => id === self)
    // Daemons that start together do not know each other yet.
    const turn = !membership.joined ? Math.floor(random() * LAST_TURN) : Math.min(rank < 0 ? LAST_TURN : rank, LAST_TURN)
    const spreadMs = random() * ranked.length * READ_INTERVAL_PER_DAEMON_MS / 2
    return { turnMs: turn * TURN_MS + (turn === LAST_TURN ? 2 * spreadMs : 0), spreadMs }
  }

  /** Writes what this daemon sees of a pool into its history. Returns false if another daemon has changed it. */
  async #update (pool: PoolName, removal: { retired?: HistoryVersion[], removed?: HistoryVersion[], removesUnknown?: boolean } = {}): Promise<boolean> {
    const { store, metrics } = this.#options
    const copy = this.#copy
    const known = copy?.pools.get(pool)
    if (!copy) return false
    const record = changedHistory(known?.record, { era: copy.era, listed: this.#listed.get(pool) ?? [], ...removal })
    if (!record) return true
    const key = HISTORY_PREFIX + pool
    const value = encodeHistory(record)
    try {
      const version = await counted(known ? store.update(key, value, known.version) : store.create(key, value), { metrics, kind: 'write' })
      if (this.#copy?.era === record.era) this.#copy = { era: record.era, pools: new Map(this.#copy.pools).set(pool, { record, version }) }
      return true
    } catch (err) {
      if (isStoreFailure(err, 'conflict')) return false
      throw err
    }
  }

  async #isRecorded (pool: PoolName, version: HistoryVersion): Promise<boolean> {
    if (this.#isFresh && this.#isInCopy(pool, version)) return true
    await Promise.race([this.#reader.read().catch(reportUnexpected), delay(PEER_TIMEOUT_MS / 2)])
    return this.#isFresh && this.#isInCopy(pool, version)
  }

  async #isRecordedByPeers (pool: PoolName, version: HistoryVersion): Promise<boolean> {
    const { self, membership } = this.#options
    const asked = membership.rankedFor(JOB).filter(({ id }) => id !== self).slice(0, PEERS_ASKED)
    const replies = asked.map(async (member) => {
      if (await membership.links.call(member, RECORDED_METHOD, { pool, version: version ?? null } satisfies RecordedQuery, { timeoutMs: PEER_TIMEOUT_MS }) !== true) throw new Error('not recorded')
      return true
    })
    return await Promise.any(replies).catch(() => false)
  }

  #checkCertain (): Set<PoolName> {
    const certain = new Set([...this.#listed.keys()].filter((pool) => this.isCertain(pool)))
    const hasLostOne = [...this.#wasCertain].some((pool) => !certain.has(pool))
    this.#wasCertain = certain
    if (hasLostOne) this.onUncertain()
    return certain
  }

  #tick (): void {
    const certain = this.#checkCertain()
    if (certain.size < this.#listed.size && steadyNow() - this.#copiedAtMs > REFRESH_MS * (0.5 + this.#options.random())) this.#refreshCopy()
    this.#retire()
  }

  #refreshCopy (): void {
    this.#refresh ??= this.#reader.read().then(() => this.#recordListed()).catch(reportUnexpected).finally(() => { this.#refresh = undefined })
  }

  /** The first daemon in rank marks versions without an endpoint, and removes them when no stream of them can live any more. */
  async #retire (): Promise<void> {
    const { self, membership } = this.#options
    const copy = this.#copy
    if (!copy || !membership.joined || membership.rankedFor(JOB)[0]?.id !== self) return this.#retirement.reset()
    for (const [pool, { record, version }] of copy.pools) {
      const change = record.era === copy.era ? this.#retirement.next(pool, { record, version, listed: this.#listed.get(pool) ?? new Set(), now: steadyNow() }) : undefined
      if (!change) continue
      try {
        if (!await this.#update(pool, change)) this.#refreshCopy()
      } catch (err) {
        reportUnexpected(err)
        this.#refreshCopy()
      }
    }
  }
}

function keyOf (pool: PoolName, version: HistoryVersion): string {
  return version === undefined ? pool : `${pool}\0${version}`
}

/** Errors of the store are part of its calls' results; others are reported, and the call counts as one without an answer. */
function reportUnexpected (err: unknown): undefined {
  if (!(err instanceof StoreError)) reportTaskError('pool-history', err)
}

/** Counts a call to the store by its result. */
async function counted<T> (call: Promise<T>, { metrics, kind }: { metrics: Pick<Metrics, 'poolHistory'>, kind: 'read' | 'write' }): Promise<T> {
  try {
    const result = await call
    metrics.poolHistory.inc({ result: kind })
    return result
  } catch (err) {
    metrics.poolHistory.inc({ result: `${kind}-failed` })
    throw err
  }
}
