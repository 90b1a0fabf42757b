/** Checks the network paths from this daemon to the endpoints. */
import type { EndpointId, PoolName } from '../../core/ids/index.ts'
import { assumeDown, checked, checkStarted, endTrial, recordActivity, isRecheckDue, newPath, RECHECK_INTERVAL_MS, startCheck, suspect, type Path, type PathCheck, type PathEvidence, type PathState } from '../../core/paths/index.ts'
import type { AttemptProgress } from '../../core/request/index.ts'
import type { EndpointView } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { EndpointTable } from '../endpoints/endpoint_table.ts'
import { log } from '../log/index.ts'
import type { Metrics } from '../metrics.ts'
import { guarded } from '../tasks/index.ts'

/** A request whose endpoint is watched. */
export interface RequestOnPath {
  /** The endpoint that runs the current attempt. */
  readonly runningAt: EndpointId | undefined
  /** Progress of the current attempt; undefined while none runs. */
  readonly progress: AttemptProgress | undefined
  /** Called when only other daemons reach the endpoint that runs the current attempt. `isFinal` is true once that has been so for so long that no answer is expected. */
  pathLost (options: { isFinal: boolean }): void
}

/** How a pool can be reached. `checking`: not now, and checks that may change that are under way. */
export type PoolReach = 'reached' | 'checking' | 'cut-off'

/** Options of {@linkcode PathWatch}. */
export interface PathWatchOptions {
  table: EndpointTable
  metrics: Metrics
  /** Opens a connection to an endpoint and closes it. */
  dial (address: string, options: { timeoutMs: number }): Promise<PathCheck>
  /** Returns whether a request can be sent to an endpoint over a connection that is open already. */
  hasIdleConnection (view: EndpointView): boolean
  /** Returns the open requests of this daemon. */
  open (): Iterable<RequestOnPath>
}

/** Interval between checks of the open requests, in milliseconds. */
const CHECK_INTERVAL_MS = 50
/** A gap between two checks that shows that this process was paused, in milliseconds; what arrived meanwhile is not read yet. */
const PROCESS_PAUSE_MS = 300
/** Time until a connection attempt counts as unanswered, in milliseconds. */
const DIAL_TIMEOUT_MS = 300
/** Silence of a whole pool after which its paths are checked, in milliseconds, on top of {@linkcode SILENCE_PREDICTIONS}. */
const MIN_SILENCE_MS = 250
/** The same in multiples of the predicted time to the first piece, or of the longest pause between pieces. */
const SILENCE_PREDICTIONS = 2
/** Endpoints of a pool that are dialled at once. When none of them answers, those that were not dialled are taken to be down as well. */
const MAX_DIALS = 6
/** Time that a request that must not be repeated stays at an endpoint of a pool that is cut off, in milliseconds: a path that recovers soon still delivers its answer. */
const LOST_AFTER_MS = 1000

/** Keeps the state of the path to each endpoint, from connections that fail, silence, and connection attempts of its own. */
export class PathWatch {
  readonly #options: PathWatchOptions
  readonly #paths = new Map<EndpointId, Path>()
  /** When paths of a pool that are down were last checked again, in milliseconds on the steady clock. */
  readonly #recheckedAtMs = new Map<PoolName, number>()
  readonly #dialling = new Map<EndpointId, Promise<PathCheck>>()
  #timer: NodeJS.Timeout | undefined
  #tickedAtMs = steadyNow()
  /** When this process last continued after a pause. */
  #resumedAtMs = -Infinity
  /** Called when a path of a pool becomes usable or is found to be down. */
  onChange: (pool: PoolName) => void = () => {}
  /** Called when a path is found to be down. */
  onDown: (view: EndpointView) => void = () => {}

  constructor (options: PathWatchOptions) {
    this.#options = options
    options.table.onActivity((id) => this.#onActivity(id))
  }

  /** Starts the periodic checks. */
  start (): void {
    this.#timer = setInterval(guarded('path-watch', () => this.check()), CHECK_INTERVAL_MS)
  }

  /** Stops the periodic checks. */
  stop (): void {
    clearInterval(this.#timer)
  }

  /** Returns the state of the path to an endpoint. */
  stateOf (id: EndpointId): PathState {
    return this.#paths.get(id)?.state ?? 'open'
  }

  /** Returns true if a request may be sent to an endpoint. During a trial one idempotent request at a time may. */
  canSend (view: EndpointView, { idempotent }: { idempotent: boolean }): boolean {
    switch (this.stateOf(view.id)) {
      case 'open': return true
      case 'established-only': return this.#options.hasIdleConnection(view)
      case 'trial': return idempotent && view.own.running === 0
      default: return false
    }
  }

  /** Returns how a request to a pool can be sent. A pool without endpoints counts as reached: there is none that another daemon could reach. */
  reach (pool: PoolName, work: { idempotent: boolean }): PoolReach {
    const views = this.#options.table.candidates(pool)
    if (views.length === 0 || views.some((view) => this.canSend(view, work))) return 'reached'
    return views.some(({ id }) => this.stateOf(id) === 'checking') ? 'checking' : 'cut-off'
  }

  /** Milliseconds since an endpoint of a pool to which requests can be sent last sent anything or accepted a connection; undefined if there is none, or it never did. */
  activityAgeMs (pool: PoolName): number | undefined {
    const { table } = this.#options
    const activeAtMs = table.candidates(pool).filter(({ id }) => this.stateOf(id) === 'open').map(({ id }) => Math.max(this.#paths.get(id)?.activeAtMs ?? -Infinity, table.lastActivityAtMs(id)))
    const latestMs = Math.max(...activeAtMs)
    return latestMs === -Infinity ? undefined : steadyNow() - latestMs
  }

  /** Returns true if an endpoint of a pool that is cut off accepts connections again. */
  isRecovering (pool: PoolName): boolean {
    return this.#options.table.candidates(pool).some(({ id }) => this.stateOf(id) === 'trial')
  }

  /** Returns true if requests of a pool run at endpoints that cannot be reached. */
  hasLostRequests (pool: PoolName): boolean {
    return this.#lostRequests(pool).length > 0
  }

  /**
   * Moves the requests of a pool that run at endpoints that cannot be reached from here, once it is known that others reach them. Until then they are left alone: a sound endpoint may be
   * silent for a while.
   * @param cutOffMs Time since the pool was found to be cut off, in milliseconds.
   */
  moveLostRequests (pool: PoolName, cutOffMs: number): void {
    for (const request of this.#lostRequests(pool)) request.pathLost({ isFinal: cutOffMs >= LOST_AFTER_MS })
  }

  #lostRequests (pool: PoolName): RequestOnPath[] {
    return [...this.#options.open()].filter(({ runningAt }) => runningAt !== undefined && this.stateOf(runningAt) === 'down' && this.#options.table.get(runningAt)?.pool === pool)
  }

  /** Dials a few endpoints of a pool to learn whether they can be reached. */
  async probe (pool: PoolName): Promise<void> {
    await Promise.all(this.#sample(this.#options.table.candidates(pool)).map((view) => this.dial(view)))
  }

  /** Dials an endpoint and applies the result. */
  dial (view: EndpointView): Promise<PathCheck> {
    let dialling = this.#dialling.get(view.id)
    if (!dialling) {
      this.#update(view, (path, now) => checkStarted(path, now))
      dialling = this.#options.dial(view.address, { timeoutMs: DIAL_TIMEOUT_MS }).then((result) => {
        this.#dialling.delete(view.id)
        this.#options.metrics.pathChecks.inc({ result })
        this.#update(view, (path, now) => checked(path, result, now))
        return result
      })
      this.#dialling.set(view.id, dialling)
    }
    return dialling
  }

  /** Records evidence against the path to an endpoint, and checks the path. */
  suspect (view: EndpointView, evidence: PathEvidence): void {
    const isChecking = this.stateOf(view.id) === 'checking'
    const { state } = this.#update(view, (path, now) => suspect(path, evidence, now))
    if (state === 'checking' && !isChecking) this.#checkPool(view)
  }

  /** Checks the open requests for silence, and paths that are down for whether they work again. */
  check (): void {
    const now = steadyNow()
    if (now - this.#tickedAtMs > PROCESS_PAUSE_MS) this.#resumedAtMs = now
    this.#tickedAtMs = now
    for (const request of [...this.#options.open()]) this.#checkRequest(request, now)
    this.#recheck(now)
  }

  #checkRequest (request: RequestOnPath, now: number): void {
    const { runningAt, progress } = request
    const view = runningAt && this.#options.table.get(runningAt)
    if (!view || !progress) return
    const maxMs = maxSilenceMs(progress)
    const isSilent = now - Math.max(progress.lastPieceAtMs ?? progress.sentAtMs, this.#resumedAtMs) >= maxMs
    if (isSilent && now - this.#poolActiveAtMs(view.pool) >= maxMs) this.suspect(view, 'connection-silent')
  }

  #poolActiveAtMs (pool: PoolName): number {
    return Math.max(...this.#options.table.candidates(pool).map(({ id }) => this.#options.table.lastActivityAtMs(id)))
  }

  /** Checks the path to an endpoint, and a few others of its pool if no endpoint of the pool has sent anything lately. */
  #checkPool (view: EndpointView): void {
    const candidates = this.#options.table.candidates(view.pool)
    const isAlone = !candidates.some(({ id }) => id !== view.id && this.stateOf(id) === 'down')
    const isSilent = steadyNow() - this.#poolActiveAtMs(view.pool) >= MIN_SILENCE_MS
    const others = isSilent || !isAlone ? this.#sample(candidates.filter(({ id }) => id !== view.id && this.stateOf(id) === 'open')).slice(0, MAX_DIALS - 1) : []
    for (const other of others) this.#update(other, startCheck)
    Promise.all([view, ...others].map((each) => this.dial(each))).then((results) => {
      if (results.length === MAX_DIALS && !results.includes('accepted')) for (const each of candidates) this.#update(each, assumeDown)
    })
  }

  #recheck (now: number): void {
    const due = new Map<PoolName, EndpointView[]>()
    for (const [id, path] of this.#paths) {
      const view = this.#options.table.get(id)
      if (!view) this.#paths.delete(id)
      else if (path.state === 'trial') this.#update(view, endTrial)
      else if (isRecheckDue(path, now)) due.set(view.pool, [...due.get(view.pool) ?? [], view])
    }
    for (const [pool, views] of due) {
      if (now - (this.#recheckedAtMs.get(pool) ?? -Infinity) < RECHECK_INTERVAL_MS) continue
      this.#recheckedAtMs.set(pool, now)
      for (const view of this.#sample(views)) guarded('path-watch', () => this.#redial(view))()
    }
  }

  async #redial (view: EndpointView): Promise<void> {
    // Once one endpoint can be reached, the others are tried without delay.
    if (await this.dial(view) === 'accepted') this.#recheckedAtMs.delete(view.pool)
  }

  /** Chooses up to {@linkcode MAX_DIALS} endpoints, those checked longest ago first. */
  #sample (views: readonly EndpointView[]): EndpointView[] {
    const checkedAtMs = ({ id }: EndpointView) => Math.max(0, this.#paths.get(id)?.checkedAtMs ?? 0)
    return [...views].sort((a, b) => checkedAtMs(a) - checkedAtMs(b)).slice(0, MAX_DIALS)
  }

  #onActivity (id: EndpointId): void {
    const state = this.stateOf(id)
    if (state === 'down' || state === 'trial') this.#update(this.#options.table.get(id)!, recordActivity)
  }

  #update (view: EndpointView, change: (path: Path, now: number) => Path): Path {
    const now = steadyNow()
    const known = this.#paths.get(view.id) ?? newPath(now)
    const before = { ...known, activeAtMs: Math.max(known.activeAtMs, this.#options.table.lastActivityAtMs(view.id)) }
    const after = change(before, now)
    this.#paths.set(view.id, after)
    if (after.state !== before.state) this.#onStateChange(view, before, after)
    return after
  }

  #onStateChange (view: EndpointView, before: Path, after: Path): void {
    const { table, metrics } = this.#options
    metrics.pathsDown.set([...this.#paths.values()].filter(({ state }) => state === 'down').length)
    if (after.state === 'down') {
      log('path-down', { endpoint: view.id, pool: view.pool, activityAgeMs: Math.round(after.sinceMs - after.activeAtMs) })
      this.onDown(view)
    } else if (before.state === 'down') {
      log('path-up', { endpoint: view.id, pool: view.pool, state: after.state, downMs: Math.round(after.sinceMs - before.sinceMs) })
      table.endEjection(view.id)
    }
    if (after.state !== 'checking') this.onChange(view.pool)
  }
}

function maxSilenceMs ({ predictedMs = 0, lastPieceAtMs, longestPauseMs = 0 }: AttemptProgress): number {
  return MIN_SILENCE_MS + SILENCE_PREDICTIONS * (lastPieceAtMs === undefined ? predictedMs : longestPauseMs)
}
