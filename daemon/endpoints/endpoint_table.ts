/** One daemon's view of the endpoints, combined from every source that reports on them. */
import type { DaemonId, EndpointId, EndpointVersion, HostId, PoolName } from '../../core/ids/index.ts'
import { Departures, NewestStarts, type Departure } from '../../core/registry/index.ts'
import {
  updateLatencyFactor, firstTokenModelOf,
  type EndpointLoad, type EndpointView, type EndpointWork, type FirstTokenSample, type Hash32, type FirstTokenModel
} from '../../core/routing/index.ts'
import type { BackOffChange } from '../../core/retry/index.ts'
import type { StoreVersion } from '../../core/store_version/index.ts'
import type { StreamVersion } from '../../core/streams/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { ListedHost } from '../../endpoints/index.ts'
import { log } from '../log/index.ts'
import { EndpointSelections, type EndpointSelection, type EndpointTopology } from './_endpoint_selections.ts'
import { PoolEstimates } from './_pool_estimates.ts'
import { newView } from './_new_view.ts'
import { WorkCounts, type EndListener, type SentWork, type StartListener } from './_work_counts.ts'
import { remainingBackOffMs, WorkPauses, type AttemptFailure } from './_work_pauses.ts'
import type { LeavingListener, LeavingSignal } from './leaving_signal.ts'

/** Called with each endpoint whose process was replaced by a later start; `announced` is true when it was known to be leaving. */
export type ReplacedListener = (id: EndpointId, end: { announced: boolean }) => void

export type { SentWork } from './_work_counts.ts'

/** Options of {@linkcode EndpointTable}. */
export interface EndpointTableOptions {
  self: DaemonId
  hash: Hash32
  /** Number of endpoints of one pool that this daemon connects to. Default {@linkcode SUBSET_SIZE}. */
  subsetSize?: number
  /** Region of each endpoint. Default: all are in this daemon's. */
  topology?: EndpointTopology
  /** Whether the memory that requests hold is counted. Default: it is not. */
  countsMemory?: boolean
}

/** Default number of endpoints of one pool that a daemon connects to. */
export const SUBSET_SIZE = 24
/** Time left that is assumed when a leaving signal does not state it, in milliseconds: the shortest notice observed. */
export const ASSUMED_NOTICE_MS = 2000
/** A host still listed as live this long after its departure time is used again, in milliseconds; longer than the list lags. */
const RESTORE_AFTER_MS = 30_000

/** Holds a view of each endpoint. Owned by the broker; other components only report events to it. */
export class EndpointTable {
  readonly #selections: EndpointSelections
  readonly #views = new Map<EndpointId, EndpointView>()
  readonly #byHost = new Map<HostId, EndpointId>()
  readonly #estimates = new PoolEstimates()
  readonly #pauses = new WorkPauses()
  readonly #counts: WorkCounts
  readonly #goneAt = new Map<EndpointId, number>()
  readonly #departures = new Departures()
  readonly #starts = new NewestStarts()
  #leavingListeners: LeavingListener[] = []
  #onReplaced: ReplacedListener = () => {}
  /** Endpoints in the last host list. */
  #listedIds: ReadonlySet<EndpointId> = new Set()
  #listedAtMs: number | undefined
  #othersReportedAtMs: number | undefined
  readonly #activityListeners: Array<(id: EndpointId) => void> = []

  constructor ({ self, hash, subsetSize = SUBSET_SIZE, topology, countsMemory = false }: EndpointTableOptions) {
    this.#counts = new WorkCounts({ countsMemory })
    this.#selections = new EndpointSelections({ self, hash, subsetSize, topology, serving: (pool) => this.#serving(pool) })
  }

  /** All known endpoints. */
  get all (): EndpointView[] { return [...this.#views.values()] }

  /** Milliseconds since the last host list; undefined before the first. */
  get listAgeMs (): number | undefined { return ageOf(this.#listedAtMs) }
  /** Milliseconds since the last report of work that other daemons sent; undefined before the first. */
  get othersAgeMs (): number | undefined { return ageOf(this.#othersReportedAtMs) }

  /** Looks up an endpoint. */
  get (id: EndpointId): EndpointView | undefined { return this.#views.get(id) }

  /** The subset of a pool's usable endpoints that this daemon connects to. */
  candidates (pool: PoolName): readonly EndpointView[] { return this.select(pool, undefined).connected }

  /** All endpoints of a pool that may get new work. */
  usable (pool: PoolName): readonly EndpointView[] { return this.select(pool, undefined).usable }

  /**
   * Returns the endpoints of a pool that a request may be sent to.
   * @param boundTo Version that the stream is bound to which the request continues; undefined if its caller has no event of it.
   */
  select (pool: PoolName, boundTo: StreamVersion | undefined): EndpointSelection { return this.#selections.select(pool, boundTo) }

  /** Endpoints of a pool that serve and run a version, regardless of {@linkcode EndpointTable.restrictTo}. */
  ofVersion (pool: PoolName, version: EndpointVersion): readonly EndpointView[] {
    return this.#serving(pool).filter((view) => view.version === version)
  }

  /**
   * Limits new work to the endpoints for which the predicate holds; call again whenever its result changes.
   * @param mayContinue Returns true if streams that began at the version of an endpoint may continue there. Default: all may.
   */
  restrictTo (mayGetWork: (view: EndpointView) => boolean, mayContinue: (view: EndpointView) => boolean = () => true): void {
    this.#selections.restrictTo(mayGetWork, mayContinue)
  }

  /** Limits work that may begin anywhere to the endpoints for which the predicate holds, in addition to {@linkcode EndpointTable.restrictTo}; call again whenever its result changes. */
  restrictBegin (mayBegin: (view: EndpointView) => boolean): void {
    this.#selections.restrictBegin(mayBegin)
  }

  /** Returns true if work that may begin anywhere may begin at an endpoint, regardless of {@linkcode EndpointTable.restrictTo}. */
  mayBegin (view: EndpointView): boolean { return this.#selections.mayBegin(view) }

  #serving (pool: PoolName): EndpointView[] {
    return this.all.filter((view) => view.pool === pool && view.leavingAtMs === undefined && this.#listedIds.has(view.id))
  }

  /** Adds a listener for leaving endpoints. */
  onLeaving (listener: LeavingListener): void {
    this.#leavingListeners.push(listener)
  }

  /** When a leaving endpoint will be gone, in milliseconds on the steady clock; undefined for one that is not leaving. */
  goneAtMs (id: EndpointId): number | undefined { return this.#goneAt.get(id) }

  /**
   * Applies the platform's host list.
   *
   * The list lags behind the other signals: an endpoint that any of them reported as leaving stays so while the list still shows it as live, or it would get new work again.
   */
  applyHostList (hosts: readonly ListedHost[]): void {
    // An empty list means that the platform has not filled it yet: no fleet loses all hosts between two lists, and applying it would remove every endpoint.
    if (hosts.length === 0) return
    this.#listedAtMs = steadyNow()
    const current = hosts.filter((host) => this.#isNewestStart(host))
    const listedIds = new Set(current.map((host) => host.endpoint.id))
    this.#listedIds = listedIds
    for (const { state, hostId, version } of current) if (state === 'live' && version !== undefined) this.#departures.recordLive(hostId, { version, now: steadyNow() })
    for (const host of current) if (!this.#views.has(host.endpoint.id)) this.#add(host)
    for (const view of this.all) if (!listedIds.has(view.id) && view.own.running === 0) this.#remove(view)
    this.#selections.clear()
    this.#pruneRecords()
    for (const host of current) if (host.state === 'live') this.#restoreIfReturned(host)
    // Hosts with a registry version are reported through `departed`, which carries the version and the time left.
    const leaving = current.filter((host) => host.state === 'leaving' && host.version === undefined && !this.#goneAt.has(host.endpoint.id))
    this.leaving(leaving.map((host) => host.hostId), steadyNow() + ASSUMED_NOTICE_MS, 'list')
  }

  /** All known starts of the endpoint that the platform calls by this name. */
  instancesOf (name: string): EndpointView[] {
    return this.all.filter((view) => nameOf(view) === name)
  }

  /** Sets the listener for endpoints whose process was replaced. */
  onReplaced (listener: ReplacedListener): void {
    this.#onReplaced = listener
  }

  /**
   * Records a start of an endpoint and returns whether it is the latest one known.
   *
   * A stale list may show an earlier process again; without this check that process, which no longer exists, would get work.
   */
  #isNewestStart ({ endpoint }: ListedHost): boolean {
    const name = nameOf(endpoint)
    const start = this.#starts.record(name, endpoint.startedAtMs ?? 0, steadyNow())
    if (start === 'later') this.#endEarlierInstances(name, endpoint.id)
    return start !== 'earlier'
  }

  /** Ends the earlier processes of a restarted endpoint, so that requests sent to them fail now and not at their deadlines. */
  #endEarlierInstances (name: string, started: EndpointId): void {
    for (const view of this.instancesOf(name)) {
      if (view.id === started) continue
      log('endpoint-restarted', { endpoint: view.id, by: started })
      const announced = view.leavingAtMs !== undefined
      this.#markLeaving(view.id, { goneAtMs: steadyNow() })
      this.#onReplaced(view.id, { announced })
    }
  }

  /** Marks hosts as leaving, by any signal other than the registry. */
  leaving (hosts: readonly HostId[], goneAtMs: number, signal: LeavingSignal): void {
    this.#applyLeaving(hosts, { goneAtMs, signal })
  }

  /** Marks hosts as leaving or gone as of a registry version, reported by the registry or a peer. */
  departed (hosts: readonly HostId[], departure: Departure & { version: StoreVersion, signal: LeavingSignal }): void {
    this.#applyLeaving(hosts, departure)
  }

  /** Marks an endpoint as leaving because it says so in its answers, until its process is replaced. */
  announcedLeaving (id: EndpointId): void {
    const view = this.#views.get(id)
    if (!view || this.#departures.of(view.hostId)?.final === true) return
    const knownGoneAtMs = this.#goneAt.get(id)
    const departure = { goneAtMs: knownGoneAtMs ?? steadyNow() + ASSUMED_NOTICE_MS, final: true }
    if (knownGoneAtMs !== undefined) this.#departures.record(view.hostId, departure)
    else this.#notifyLeaving([{ view: this.#markLeaving(id, departure), goneAtMs: departure.goneAtMs, signal: 'answer' }])
  }

  #applyLeaving (hosts: readonly HostId[], { goneAtMs, version, signal }: Departure & { signal: LeavingSignal }): void {
    const leaving: Parameters<LeavingListener>[0] = []
    for (const host of hosts) {
      if (signal === 'peer' && this.#departures.isOutdated(host, { version, now: steadyNow() })) continue
      const id = this.#byHost.get(host)
      if (id === undefined) this.#departures.record(host, { goneAtMs, version })
      else if (this.#addsInformation(id, goneAtMs, signal)) leaving.push({ view: this.#markLeaving(id, { goneAtMs, version }), goneAtMs, version, signal })
      else this.#departures.record(host, { goneAtMs, version })
    }
    if (leaving.length > 0) this.#notifyLeaving(leaving)
  }

  #notifyLeaving (leaving: Parameters<LeavingListener>[0]): void {
    this.#selections.clear()
    for (const listener of this.#leavingListeners) listener(leaving)
  }

  /** Whether a signal adds information. Notices, and peers that relay them, know the departure time; an assumed time never replaces it. */
  #addsInformation (id: EndpointId, goneAtMs: number, signal: LeavingSignal): boolean {
    const known = this.#goneAt.get(id)
    if (known === undefined) return true
    return (signal === 'notice' || signal === 'peer') && goneAtMs !== known
  }

  #markLeaving (id: EndpointId, departure: Departure): EndpointView {
    const view = this.#views.get(id)!
    view.leavingAtMs ??= steadyNow()
    this.#goneAt.set(id, departure.goneAtMs)
    this.#departures.record(view.hostId, departure)
    return view
  }

  /** Applies a load report that came with a response; it includes this daemon's own work. */
  applyLoadReport (id: EndpointId, load: EndpointLoad): void {
    const view = this.#views.get(id)
    if (!view) return
    this.#othersReportedAtMs = steadyNow()
    this.#counts.applyLoadReport(view, load)
  }

  /** Applies the load that the other daemons put on each endpoint; endpoints that are not mentioned have none. */
  applyOthersWork (loads: readonly EndpointWork[]): void {
    this.#othersReportedAtMs = steadyNow()
    this.#counts.applyOthers(this.#views.values(), loads)
  }

  /** This daemon's load on each endpoint where it has any. */
  get ownWork (): EndpointWork[] {
    return this.all.filter((view) => view.own.running > 0).map((view) => [view.id, view.own])
  }

  /** Counts a request that this daemon sent, before any load report includes it. */
  started (id: EndpointId, work: SentWork): void {
    const view = this.#views.get(id)
    if (view) this.#counts.started(view, work)
  }

  /** Records that an endpoint has processed the prompt of a request from this daemon. */
  promptRead (id: EndpointId, work: SentWork): void {
    const view = this.#views.get(id)
    if (view) this.#counts.promptRead(view, work)
  }

  /** Records that a request from this daemon has ended. */
  ended (id: EndpointId, { heldTokens = 0 }: Pick<SentWork, 'heldTokens'> = {}): void {
    const view = this.#views.get(id)
    if (view) this.#counts.ended(view, heldTokens)
  }

  /** Adds a listener that is called after each request that this daemon sent. */
  onStarted (listener: StartListener): void { this.#counts.onStarted(listener) }

  /** Adds a listener that is called after each request from this daemon that has ended, with its endpoint. */
  onEnded (listener: EndListener): void { this.#counts.onEnded(listener) }

  /** Updates the speed estimates of an endpoint and its pool from the time of a first token. */
  recordFirstToken (id: EndpointId, sample: FirstTokenSample): void {
    const view = this.#views.get(id)
    if (!view) return
    view.latencyFactor = updateLatencyFactor(view.latencyFactor, sample)
    if (sample.unreadTokens !== undefined) this.#estimates.firstToken(view.pool)?.learn({ unreadTokens: sample.unreadTokens, firstMs: sample.actualMs })
  }

  /** Updates the estimates of the gap between stream pieces, of an endpoint and its pool. */
  recordChunkInterval (id: EndpointId, pauseMs: number): void {
    const view = this.#views.get(id)
    const now = steadyNow()
    view?.chunkInterval?.learn(pauseMs, now)
    view?.poolChunkInterval?.learn(pauseMs, now)
  }

  /** Estimate of the time to a first token at a pool's endpoints; undefined while the pool has no endpoint. */
  pace (pool: PoolName): FirstTokenModel | undefined {
    const learntPace = this.#estimates.firstToken(pool)
    if (learntPace) return learntPace
    const view = this.all.find((each) => each.pool === pool)
    return view && firstTokenModelOf(view)
  }

  /** Records that an endpoint sent data of any kind. */
  recordActivity (id: EndpointId): void {
    const view = this.#views.get(id)
    if (!view) return
    view.lastActivityAtMs = steadyNow()
    for (const listener of this.#activityListeners) listener(id)
  }

  /** Adds a listener that is called with each endpoint that sends data of any kind. */
  onActivity (listener: (id: EndpointId) => void): void {
    this.#activityListeners.push(listener)
  }

  /** When an endpoint last sent data, in milliseconds on the steady clock; `-Infinity` for an unknown endpoint. */
  lastActivityAtMs (id: EndpointId): number {
    return this.#views.get(id)?.lastActivityAtMs ?? -Infinity
  }

  /** Typical gap between stream pieces in an endpoint's pool, in milliseconds; undefined when none came recently. */
  typicalIntervalMs (id: EndpointId): number | undefined {
    return this.#views.get(id)?.poolChunkInterval?.intervalMs(steadyNow())
  }

  /** Stops sending work for a while to an endpoint that has requests but sends no data. */
  markSilent (id: EndpointId): void {
    const view = this.#views.get(id)
    if (view) this.#pauses.silent(view)
  }

  /** Counts an attempt that failed because of the endpoint; repeated failures eject it for a while. */
  failed (id: EndpointId, failure: AttemptFailure): void {
    const view = this.#views.get(id)
    if (view) this.#pauses.failed(view, failure)
  }

  /** Resets an endpoint's failure count after a successful attempt. */
  succeeded (id: EndpointId): void {
    this.#pauses.succeeded(id)
  }

  /** Ends an endpoint's ejection and resets its failure count, because the failures were not its own. */
  endEjection (id: EndpointId): void {
    const view = this.#views.get(id)
    if (view) this.#pauses.endEjection(view)
  }

  /**
   * Sends no new work to an endpoint until a time that it asked for, in milliseconds on the steady clock.
   * @returns The change; undefined if the endpoint had asked for as much before.
   */
  backOff (id: EndpointId, untilMs: number): BackOffChange | undefined {
    const view = this.#views.get(id)
    return view && this.#pauses.backOff(view, untilMs)
  }

  /** Time until a pool's endpoints may get work, in milliseconds, if none may now since they asked for time; 0 otherwise. */
  backOffMs (pool: PoolName): number {
    return remainingBackOffMs(this.usable(pool))
  }

  /** Whether an endpoint is leaving or unknown. Its failures say nothing about the other endpoints, so retries elsewhere don't risk a retry storm. */
  isLeavingOrGone (id: EndpointId): boolean {
    const view = this.#views.get(id)
    return !view || view.leavingAtMs !== undefined
  }

  /**
   * Uses a leaving endpoint again when its registry entry was written after its departure, or when it is still listed as live long after its departure time: the reclaim was
   * cancelled, or the refusal had another cause. An endpoint that announced its departure in an answer is not used again.
   */
  #restoreIfReturned ({ hostId, endpoint: { id } }: ListedHost): void {
    const goneAtMs = this.#goneAt.get(id)
    if (goneAtMs === undefined) return
    const departure = this.#departures.of(hostId)
    if (departure?.final === true) return
    const writtenSince = departure === undefined
    if (!writtenSince && steadyNow() < goneAtMs + RESTORE_AFTER_MS) return
    this.#goneAt.delete(id)
    this.#departures.recordReturn(hostId, steadyNow())
    this.#views.get(id)!.leavingAtMs = undefined
    log('endpoint-taken-back', { endpoint: id })
  }

  #pruneRecords (): void {
    const now = steadyNow()
    this.#departures.prune(now, (host) => this.#byHost.has(host))
    this.#starts.prune(now)
    this.#pauses.prune()
  }

  #add (host: ListedHost): void {
    const { endpoint } = host
    const view = newView(host, this.#estimates)
    this.#pauses.listed(view)
    this.#views.set(endpoint.id, view)
    this.#byHost.set(host.hostId, endpoint.id)
    log('endpoint-listed', { endpoint: endpoint.id, pool: endpoint.pool, version: endpoint.version, failureDomain: host.failureDomain, reclaimable: host.reclaimable, slots: endpoint.speed.batchSlots })
    const departure = this.#departures.of(host.hostId)
    if (departure) this.#markLeaving(endpoint.id, departure)
  }

  #remove (view: EndpointView): void {
    this.#views.delete(view.id)
    log('endpoint-gone', { endpoint: view.id })
    this.#byHost.delete(view.hostId)
    this.#pauses.succeeded(view.id)
    this.#goneAt.delete(view.id)
  }
}

function ageOf (atMs: number | undefined): number | undefined {
  return atMs === undefined ? undefined : steadyNow() - atMs
}

function nameOf ({ id, name }: { id: EndpointId, name?: string }): string {
  return name ?? id
}
