/** Detects endpoint crashes, and which of this daemon's requests were in flight there. */
import type { EndpointId, Fingerprint, PoolName } from '../../core/ids/index.ts'
import { isConnectionAborted, type FailurePoint } from '../../core/outcome/index.ts'
import type { CrashedRun, CrashPlace } from '../../core/quarantine/index.ts'
import type { EndpointView } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { DialResult } from '../../endpoints/index.ts'
import { log } from '../log/index.ts'
import type { Metrics } from '../metrics.ts'
import { guarded } from '../tasks/index.ts'

/** Requests that were in flight at an endpoint when it crashed. */
export interface Crash {
  endpoint: EndpointId
  aboard: Fingerprint[]
  place?: CrashPlace
  /** Those of the requests whose prompts have parts. Default: none. */
  runs?: CrashedRun[]
}

/** A request at an endpoint. */
export interface WatchedRun {
  /** Keys of the parts of its prompt that other requests may share. Default: none. */
  parts?: readonly string[]
  /** When it was sent, in milliseconds on the steady clock. Default: now. */
  sentAtMs?: number | undefined
}

/** Options of {@linkcode CrashWatch}. */
export interface CrashWatchOptions {
  metrics: Metrics
  /** Opens a connection to an endpoint, to check whether its process is running. */
  dial (view: EndpointView): Promise<DialResult>
  /** Returns whether an endpoint that refused a connection has ended, and not only the path to it. Default: always true. */
  confirm?: (view: EndpointView) => Promise<boolean>
  /** Returns whether this daemon has an open connection to an endpoint; it would have been closed by a crash. Default: always false. */
  isConnected?: (view: EndpointView) => boolean
  /** Returns the number of endpoints of a pool. Default: always 1. */
  poolSize?: (pool: PoolName) => number
}

/** Time within which an endpoint that broke off requests must be found to have crashed for them to count as in flight, in milliseconds. */
const CRASH_DETECTION_MS = 10_000
/** A request that was abandoned less than this long before its endpoint crashed may have caused the crash, in milliseconds. */
const RECENTLY_ABANDONED_MS = 2000
/** Time from an abandoned request to the check of its endpoint, in milliseconds; a request that crashes endpoints does so soon after it is sent. */
const ABANDONED_CHECK_DELAY_MS = 500
/** Interval between checks, each of one endpoint at most, in milliseconds: when a whole pool is late, many requests are abandoned at once. */
const CHECK_INTERVAL_MS = 250

/** This daemon's attempts that an endpoint did not finish. */
interface UnfinishedAttempts {
  view: EndpointView
  /** Requests that the endpoint broke off. */
  aboard: Set<Fingerprint>
  /** Requests that this daemon abandoned, with the time, in milliseconds on the steady clock. */
  abandoned: Map<Fingerprint, number>
  /** The requests among both whose prompts have parts. */
  runs: Map<Fingerprint, CrashedRun>
  atMs: number
  dialled: boolean
  /** Requests abandoned up to this time have been checked, in milliseconds on the steady clock. */
  checkedToMs: number
  crashed: boolean
}

/**
 * Distinguishes crashes from lost connections and announced departures.
 *
 * A broken connection alone does not show a crash: networks reset connections, and endpoints drop some. An endpoint that refuses a new connection right afterwards, and
 * those of other daemons as well, has no running process.
 */
export class CrashWatch {
  readonly #options: CrashWatchOptions
  readonly #unfinished = new Map<EndpointId, UnfinishedAttempts>()
  #listener: (crash: Crash) => void = () => {}
  #checkTimer: NodeJS.Timeout | undefined

  constructor (options: CrashWatchOptions) {
    this.#options = options
  }

  /** Sets the listener for crashes. It is called again for requests that are found later to have been in flight. */
  onCrash (listener: (crash: Crash) => void): void {
    this.#listener = listener
  }

  /** Stops checking endpoints. */
  stop (): void {
    clearTimeout(this.#checkTimer)
  }

  /**
   * Records a failed attempt.
   * @param endpoint Its `view` is undefined when the endpoint is no longer listed.
   */
  failed (endpoint: { id: EndpointId, view: EndpointView | undefined }, point: FailurePoint, { fingerprint, ...run }: WatchedRun & { fingerprint (): Fingerprint }): void {
    const { id, view } = endpoint
    if (point === 'endpoint-gone') this.gone(id)
    else if (point === 'connect-refused') this.#refused(id)
    else if (view && isConnectionAborted(point)) this.lost(view, fingerprint(), run)
    else if (view && point === 'timeout-after-send') this.abandoned(view, fingerprint(), run)
  }

  /** Records an attempt that the endpoint broke off without an error response, and dials the endpoint to see whether it crashed. */
  lost (view: EndpointView, request: Fingerprint, run: WatchedRun = {}): void {
    const unfinished = this.#unfinishedAt(view)
    if (!unfinished) return
    addRun(unfinished, request, run)
    if (unfinished.crashed) return this.#report(unfinished, [request])
    unfinished.aboard.add(request)
    unfinished.atMs = steadyNow()
    if (unfinished.dialled) return
    unfinished.dialled = true
    this.#dial(view)
  }

  /**
   * Records an attempt that this daemon abandoned before an answer. Its connection is closed, so it cannot show a crash of the endpoint later; the
   * endpoint is dialled once unless another connection to it is open.
   */
  abandoned (view: EndpointView, request: Fingerprint, run: WatchedRun = {}): void {
    const unfinished = this.#unfinishedAt(view)
    if (!unfinished) return
    addRun(unfinished, request, run)
    unfinished.abandoned.set(request, steadyNow())
    unfinished.atMs = steadyNow()
    this.#checkLater()
  }

  #checkLater (): void {
    this.#checkTimer ??= setTimeout(guarded('crash-watch', () => this.#checkAbandoned()), CHECK_INTERVAL_MS)
  }

  #checkAbandoned (): void {
    this.#checkTimer = undefined
    const toMs = steadyNow() - ABANDONED_CHECK_DELAY_MS
    for (const unfinished of this.#unchecked()) {
      if (uncheckedSinceMs(unfinished)! > toMs) break
      unfinished.checkedToMs = toMs
      if (this.#options.isConnected?.(unfinished.view)) continue
      this.#dial(unfinished.view)
      break
    }
    if (this.#unchecked().length > 0) this.#checkLater()
  }

  /** Endpoints with abandoned requests for which they have not been checked, earliest first. */
  #unchecked (): UnfinishedAttempts[] {
    return [...this.#unfinished.values()]
      .filter((each) => !each.crashed && each.view.leavingAtMs === undefined && uncheckedSinceMs(each) !== undefined)
      .sort((a, b) => uncheckedSinceMs(a)! - uncheckedSinceMs(b)!)
  }

  #dial (view: EndpointView): void {
    guarded('crash-watch', async () => { if (await this.#options.dial(view) === 'refused') this.#refused(view.id) })()
  }

  /** Records that an endpoint refused a connection, as it does when its process has ended or when this daemon's links are cut. */
  #refused (id: EndpointId): void {
    const unfinished = this.#unfinished.get(id)
    if (!unfinished || unfinished.crashed) return
    if (!this.#options.confirm) return this.gone(id)
    guarded('crash-watch', async () => { if (await this.#options.confirm!(unfinished.view)) this.gone(id) })()
  }

  /** Records that an endpoint's process is gone, as its address shows or another daemon reported. */
  gone (id: EndpointId): void {
    const unfinished = this.#unfinished.get(id)
    if (!unfinished || unfinished.crashed) return
    const aboard = [...steadyNow() - unfinished.atMs < CRASH_DETECTION_MS ? unfinished.aboard : [], ...recentlyAbandoned(unfinished)]
    if (aboard.length === 0) return
    unfinished.crashed = true
    this.#options.metrics.endpointCrashes.inc({ pool: unfinished.view.pool })
    this.#report(unfinished, aboard)
  }

  /** Records the crash of an endpoint that was replaced by a later start without having announced that it leaves. */
  restarted (view: EndpointView): void {
    this.gone(view.id)
    this.#unfinished.set(view.id, { view, aboard: new Set(), abandoned: new Map(), runs: new Map(), atMs: steadyNow(), dialled: true, checkedToMs: -Infinity, crashed: true })
  }

  #report ({ view, runs }: UnfinishedAttempts, aboard: Fingerprint[]): void {
    log('endpoint-crashed', { endpoint: view.id, pool: view.pool, aboard })
    const ended = aboard.flatMap((request) => runs.get(request) ?? [])
    const place = { pool: view.pool, version: view.version, poolSize: this.#options.poolSize?.(view.pool) ?? 1 }
    this.#listener({ endpoint: view.id, aboard, ...(ended.length > 0 && { place, runs: ended }) })
  }

  /** Unfinished attempts of an endpoint; undefined for one that announced that it leaves, as it may break off unfinished requests without a crash. */
  #unfinishedAt (view: EndpointView): UnfinishedAttempts | undefined {
    const now = steadyNow()
    for (const [id, { atMs }] of this.#unfinished) if (now - atMs > CRASH_DETECTION_MS) this.#unfinished.delete(id)
    const known = this.#unfinished.get(view.id)
    if (known?.crashed || view.leavingAtMs === undefined) {
      const unfinished = known ?? { view, aboard: new Set(), abandoned: new Map(), runs: new Map(), atMs: now, dialled: false, checkedToMs: -Infinity, crashed: false }
      this.#unfinished.set(view.id, unfinished)
      return unfinished
    }
    return undefined
  }
}

function addRun ({ runs }: UnfinishedAttempts, request: Fingerprint, { parts = [], sentAtMs = steadyNow() }: WatchedRun): void {
  if (parts.length > 0) runs.set(request, { request, sentAtMs, parts: [...parts] })
}

function recentlyAbandoned ({ abandoned }: UnfinishedAttempts): Fingerprint[] {
  const now = steadyNow()
  return [...abandoned].filter(([, atMs]) => now - atMs < RECENTLY_ABANDONED_MS).map(([request]) => request)
}

/** When the first request was abandoned for which the endpoint has not been checked; undefined if there is none. */
function uncheckedSinceMs ({ abandoned, checkedToMs }: UnfinishedAttempts): number | undefined {
  const fromMs = Math.max(checkedToMs, steadyNow() - RECENTLY_ABANDONED_MS)
  let firstMs: number | undefined
  for (const atMs of abandoned.values()) if (atMs > fromMs && atMs < (firstMs ?? Infinity)) firstMs = atMs
  return firstMs
}
