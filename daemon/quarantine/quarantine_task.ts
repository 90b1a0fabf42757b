/** Shares crash reports with the other daemons, and quarantines requests and prompt parts that repeatedly crash endpoints. */
import type { DaemonId, EndpointId, EndpointVersion, Fingerprint, Suspect } from '../../core/ids/index.ts'
import { isPart, Quarantine, type CrashPlace, type CrashReport, type HeldSuspect, type RequestSuspects } from '../../core/quarantine/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { log } from '../log/index.ts'
import type { Metrics } from '../metrics.ts'
import type { MembershipTask } from '../peers/membership_task.ts'
import type { CrashWatch } from './crash_watch.ts'
import { guarded } from '../tasks/index.ts'

/** Options of {@linkcode QuarantineTask}. */
export interface QuarantineTaskOptions {
  crashes: CrashWatch
  membership: MembershipTask
  metrics: Metrics
}

/** What quarantines a request, and for how long, in milliseconds. */
export interface QuarantineStay { suspect: Suspect, forMs: number }

/** Wire form of a crash report. It carries the crash's age, since the daemons' clocks differ. */
interface CrashMessage {
  endpoint: EndpointId
  ageMs: number
  aboard: Fingerprint[]
  cleared: Suspect[]
  place?: CrashPlace | undefined
  /** For each run its request, the time from when it was sent to the crash, and its parts. */
  runs?: Array<[request: Fingerprint, sentBeforeMs: number, ...parts: string[]]> | undefined
}

const REPORTS_TOPIC = 'crashes-reported'
const EXPIRE_EVERY_MS = 60_000
/** Interval at which suspects are judged again after a crash, in milliseconds. */
const UPDATE_EVERY_MS = 250
/** Delay before reports are sent, in milliseconds, to batch them: when many endpoints crash at once, many daemons have reports of each. */
const BATCH_DELAY_MS = 100

/** Owns this daemon's crash records and quarantine. */
export class QuarantineTask {
  readonly #options: QuarantineTaskOptions
  readonly #quarantine = new Quarantine()
  #lastHeld: ReadonlyMap<Suspect, HeldSuspect> = new Map()
  #timer: NodeJS.Timeout | undefined
  #updateTimer: NodeJS.Timeout | undefined
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
      this.#mergeFrom(messages.map((message) => fromMessage(message, now)), from)
    })
    // Reports sent on the previous link may be lost, and a daemon that has just started has none: send everything on each new link.
    membership.onLink((to) => this.#post(to, this.#quarantine.snapshot()))
  }

  /** Adds a listener that is called when suspects enter or leave quarantine. */
  onHeld (listener: () => void): void {
    this.#heldListeners.push(listener)
  }

  /** Requests and prompt parts that are quarantined now. */
  get held (): HeldSuspect[] { return [...this.#quarantine.held.values()] }

  /** Starts the periodic removal of expired records. */
  start (): void {
    this.#timer = setInterval(guarded('quarantine-task', () => {
      this.#quarantine.prune(steadyNow())
      this.#publishHeld()
    }), EXPIRE_EVERY_MS)
  }

  /** Stops, after sending the reports that are still pending. */
  stop (): void {
    this.#options.crashes.stop()
    clearInterval(this.#timer)
    clearTimeout(this.#updateTimer)
    clearTimeout(this.#sendTimer)
    this.#sendPending()
  }

  /** Returns what quarantines a request at all of the given endpoints; undefined if it may be sent to one of them. */
  heldAt (request: RequestSuspects, endpoints: ReadonlyArray<{ version?: EndpointVersion | undefined }>): QuarantineStay | undefined {
    const held = this.#quarantine.heldSuspect(request, endpoints.map(({ version }) => version))
    const forMs = held ? held.untilMs - steadyNow() : 0
    return forMs > 0 ? { suspect: held!.suspect, forMs } : undefined
  }

  /** Returns whether a request must not be repeated after its endpoint broke it off. */
  isSuspected (request: RequestSuspects): boolean {
    return this.#quarantine.isSuspected(request)
  }

  /** Records that an endpoint of a version answered a request, which clears it and the parts of its prompt of past crashes. */
  answered (request: RequestSuspects, version?: EndpointVersion): void {
    this.#queue(this.#quarantine.answered(request.fingerprint(), steadyNow(), { parts: request.parts, version }))
  }

  /**
   * Releases a request or a prompt part from quarantine on all daemons, for an operator who has fixed the fault that it triggers.
   * @returns False when it is not quarantined.
   */
  release (suspect: Suspect, who: string): boolean {
    if (!this.#quarantine.held.has(suspect)) return false
    log('quarantine-released', { suspect, who })
    this.#queue(this.#quarantine.release(suspect, steadyNow()))
    return true
  }

  /** Merges crash reports from elsewhere, such as the archive. */
  mergeReports (reports: readonly CrashReport[]): void {
    this.#mergeFrom(reports)
  }

  #mergeFrom (reports: readonly CrashReport[], from?: DaemonId): void {
    for (const { endpoint, aboard } of reports) if (aboard.length > 0) this.#options.crashes.gone(endpoint)
    this.#queue(this.#quarantine.merge(reports, steadyNow()), from)
  }

  /** Queues new reports for this daemon's neighbours. Each daemon forwards what is new to it, so that reports reach all daemons within a few hops. */
  #queue (reports: readonly CrashReport[], from?: DaemonId): void {
    if (reports.length === 0) return
    this.#publishHeld()
    this.#updateLater()
    this.#pending.push(...reports.map((report) => ({ report, from })))
    this.#sendTimer ??= setTimeout(guarded('quarantine-task', () => this.#sendPending()), BATCH_DELAY_MS)
  }

  /** Judges again until no decision waits any more for answers that may come. */
  #updateLater (): void {
    if (steadyNow() - UPDATE_EVERY_MS > this.#quarantine.settlesAtMs) return
    this.#updateTimer ??= setTimeout(guarded('quarantine-task', () => {
      this.#updateTimer = undefined
      this.#quarantine.update(steadyNow())
      this.#publishHeld()
      this.#updateLater()
    }), UPDATE_EVERY_MS)
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
    this.#options.membership.links.post(to, REPORTS_TOPIC, reports.map((report) => toMessage(report, now)))
  }

  #publishHeld (): void {
    const { held } = this.#quarantine
    const added = [...held.keys()].filter((suspect) => !this.#lastHeld.has(suspect))
    const ended = [...this.#lastHeld.keys()].filter((suspect) => !held.has(suspect))
    this.#lastHeld = held
    if (added.length + ended.length === 0) return
    for (const { suspect, crashes, untilMs } of added.map((suspect) => held.get(suspect)!)) {
      const fields = { crashes: crashes.map(({ endpoint }) => endpoint), forMs: Math.round(untilMs - steadyNow()) }
      if (isPart(suspect)) log('part-quarantined', { part: suspect, ...fields })
      else log('request-quarantined', { fingerprint: suspect, ...fields })
    }
    for (const suspect of ended) log('quarantine-ended', { suspect })
    this.#options.metrics.quarantined.set(held.size)
    for (const listener of this.#heldListeners) listener()
  }
}

function toMessage ({ atMs, runs, ...crash }: CrashReport, now: number): CrashMessage {
  const wireRuns = runs?.map(({ request, sentAtMs, parts }): [Fingerprint, number, ...string[]] => [request, Math.round(atMs - sentAtMs), ...parts])
  return { ...crash, ageMs: now - atMs, ...(wireRuns && { runs: wireRuns }) }
}

function fromMessage ({ ageMs, runs, ...crash }: CrashMessage, now: number): CrashReport {
  const atMs = now - ageMs
  return { ...crash, atMs, ...(runs && { runs: runs.map(([request, sentBeforeMs, ...parts]) => ({ request, sentAtMs: atMs - sentBeforeMs, parts })) }) }
}

/** Merges reports into one for each endpoint. */
function mergeByEndpoint (reports: readonly CrashReport[]): CrashReport[] {
  const byEndpoint = new Map<EndpointId, CrashReport>()
  for (const { endpoint, atMs, aboard, cleared, place, runs = [] } of reports) {
    const known = byEndpoint.get(endpoint)
    const allRuns = [...known?.runs ?? [], ...runs]
    byEndpoint.set(endpoint, {
      endpoint,
      atMs,
      aboard: [...known?.aboard ?? [], ...aboard],
      cleared: [...known?.cleared ?? [], ...cleared],
      ...(allRuns.length > 0 && { place: known?.place ?? place, runs: allRuns })
    })
  }
  return [...byEndpoint.values()]
}
