/** Shares crash reports with the other daemons, and quarantines requests that repeatedly crash endpoints. */
import type { DaemonId, EndpointId, Fingerprint } from '../../core/ids/index.ts'
import { Quarantine, type CrashReport, type HeldRequest } from '../../core/quarantine/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { log } from '../log/index.ts'
import type { Metrics } from '../metrics.ts'
import type { MembershipTask } from '../peers/membership_task.ts'
import type { CrashWatch } from './crash_watch.ts'

/** Options of {@linkcode QuarantineTask}. */
export interface QuarantineTaskOptions {
  crashes: CrashWatch
  membership: MembershipTask
  metrics: Metrics
}

/** A request that can be identified by a fingerprint of its content. */
export interface Fingerprinted { fingerprint (): Fingerprint }

/** Wire form of a crash report. It carries the crash's age, since the daemons' clocks differ. */
interface CrashMessage { endpoint: EndpointId, ageMs: number, aboard: Fingerprint[], cleared: Fingerprint[] }

const REPORTS_TOPIC = 'crashes-reported'
const EXPIRE_EVERY_MS = 60_000
/** Delay before reports are sent, in milliseconds, to batch them: when many endpoints crash at once, many daemons have reports of each. */
const BATCH_DELAY_MS = 100

/** Owns this daemon's crash records and quarantine. */
export class QuarantineTask {
  readonly #options: QuarantineTaskOptions
  readonly #quarantine = new Quarantine()
  #lastHeld: ReadonlyMap<Fingerprint, HeldRequest> = new Map()
  #timer: NodeJS.Timeout | undefined
  #sendTimer: NodeJS.Timeout | undefined
  readonly #heldListeners: Array<() => void> = []
  /** Reports to forward, with the daemon that each came from; undefined for this daemon's own. */
  #pending: Array<{ report: CrashReport, from: DaemonId | undefined }> = []

  constructor (options: QuarantineTaskOptions) {
    this.#options = options
    const { crashes, membership } = options
    crashes.onCrash((crash) => this.#queue(this.#quarantine.crashed(crash, steadyNow())))
    membership.links.onPost(REPORTS_TOPIC, (messages: CrashMessage[], from) => {
      const now = steadyNow()
      this.#mergeFrom(messages.map(({ ageMs, ...crash }) => ({ ...crash, atMs: now - ageMs })), from)
    })
    // Reports sent on the previous link may be lost, and a daemon that has just started has none: send everything on each new link.
    membership.onLink((to) => this.#post(to, this.#quarantine.snapshot()))
  }

  /** Adds a listener that is called when requests enter or leave quarantine. */
  onHeld (listener: () => void): void {
    this.#heldListeners.push(listener)
  }

  /** Requests that are quarantined now. */
  get held (): HeldRequest[] { return [...this.#quarantine.held.values()] }

  /** Starts the periodic removal of expired records. */
  start (): void {
    this.#timer = setInterval(() => {
      this.#quarantine.prune(steadyNow())
      this.#publishHeld()
    }, EXPIRE_EVERY_MS)
  }

  /** Stops, after sending the reports that are still pending. */
  stop (): void {
    this.#options.crashes.stop()
    clearInterval(this.#timer)
    clearTimeout(this.#sendTimer)
    this.#sendPending()
  }

  /** Remaining quarantine of a request, in milliseconds; undefined when it may be sent. */
  heldForMs (request: Fingerprinted): number | undefined {
    if (this.#quarantine.held.size === 0) return undefined
    const held = this.#quarantine.held.get(request.fingerprint())
    const leftMs = held ? held.untilMs - steadyNow() : 0
    return leftMs > 0 ? leftMs : undefined
  }

  /** Records that an endpoint answered a request, which clears it of past crashes. */
  answered (request: Fingerprinted): void {
    this.#queue(this.#quarantine.answered(request.fingerprint(), steadyNow()))
  }

  /**
   * Releases a request from quarantine on all daemons, for an operator who has fixed the fault that it triggers.
   * @returns False when the request is not quarantined.
   */
  release (request: Fingerprint, who: string): boolean {
    if (!this.#quarantine.held.has(request)) return false
    log('request-released', { fingerprint: request, who })
    this.#queue(this.#quarantine.clear(request))
    return true
  }

  /** Merges crash reports from elsewhere, such as the archive. */
  mergeReports (reports: readonly CrashReport[]): void {
    this.#mergeFrom(reports)
  }

  #mergeFrom (reports: readonly CrashReport[], from?: DaemonId): void {
    for (const { endpoint, aboard } of reports) if (aboard.length > 0) this.#options.crashes.gone(endpoint)
    this.#queue(this.#quarantine.merge(reports), from)
  }

  /** Queues new reports for this daemon's neighbours. Each daemon forwards what is new to it, so that reports reach all daemons within a few hops. */
  #queue (news: readonly CrashReport[], from?: DaemonId): void {
    if (news.length === 0) return
    this.#publishHeld()
    this.#pending.push(...news.map((report) => ({ report, from })))
    this.#sendTimer ??= setTimeout(() => this.#sendPending(), BATCH_DELAY_MS)
  }

  #sendPending (): void {
    this.#sendTimer = undefined
    const pending = this.#pending
    this.#pending = []
    for (const neighbour of this.#options.membership.core.neighbours) {
      this.#post(neighbour, mergeByEndpoint(pending.filter(({ from }) => from !== neighbour).map(({ report }) => report)))
    }
  }

  #post (to: DaemonId, reports: readonly CrashReport[]): void {
    if (reports.length === 0) return
    const now = steadyNow()
    const messages = reports.map(({ atMs, ...crash }): CrashMessage => ({ ...crash, ageMs: now - atMs }))
    this.#options.membership.links.post(to, REPORTS_TOPIC, messages)
  }

  #publishHeld (): void {
    const { held } = this.#quarantine
    const news = [...held.keys()].filter((request) => !this.#lastHeld.has(request))
    const noLongerHeld = [...this.#lastHeld.keys()].filter((request) => !held.has(request))
    this.#lastHeld = held
    if (news.length + noLongerHeld.length === 0) return
    for (const { request, crashes, untilMs } of news.map((request) => held.get(request)!)) {
      log('request-quarantined', { fingerprint: request, crashes: crashes.map(({ endpoint }) => endpoint), forMs: Math.round(untilMs - steadyNow()) })
    }
    for (const request of noLongerHeld) log('request-let-go', { fingerprint: request })
    this.#options.metrics.quarantined.set(held.size)
    for (const listener of this.#heldListeners) listener()
  }
}

/** Merges reports into one for each endpoint. */
function mergeByEndpoint (reports: readonly CrashReport[]): CrashReport[] {
  const byEndpoint = new Map<EndpointId, CrashReport>()
  for (const { endpoint, atMs, aboard, cleared } of reports) {
    const known = byEndpoint.get(endpoint)
    byEndpoint.set(endpoint, { endpoint, atMs, aboard: [...known?.aboard ?? [], ...aboard], cleared: [...known?.cleared ?? [], ...cleared] })
  }
  return [...byEndpoint.values()]
}
