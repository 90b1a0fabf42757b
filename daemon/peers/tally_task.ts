/** Replicates this daemon's running totals to a few other daemons, so that its counts survive a crash. */
import type { DaemonId } from '../../core/ids/index.ts'
import type { Member } from '../../core/membership/index.ts'
import { Tally, type TallyEntry, type TallySheet } from '../../core/tally/index.ts'
import { SharedClock, steadyNow } from '../../core/time/index.ts'
import type { MembershipTask } from './membership_task.ts'
import { guarded } from '../tasks/index.ts'

/** Options of {@linkcode TallyTask}. */
export interface TallyTaskOptions {
  self: DaemonId
  membership: MembershipTask
}

/** Totals of one daemon, sent to a replica. */
interface TallyReport { entries: TallyEntry[], wallMs: number }
/** Totals of all daemons, sent by a replica over each new link; some of the daemons may be dead by then. */
interface TallySync { sheets: TallySheet[] }
/** Acknowledges a report. */
interface ReportAck { wallMs: number }

/** Daemons that hold the totals of all daemons. Nothing is lost while at least one of them survives a report interval. */
const REPLICA_COUNT = 3
/** Interval between reports in a small fleet, in milliseconds. */
const REPORT_INTERVAL_MS = 800
/** The interval grows with the fleet, so that a replica receives at most 200 reports per second. */
const REPORT_INTERVAL_MS_PER_DAEMON = 5
/** Like {@linkcode REPORT_INTERVAL_MS}, for a report requested by {@linkcode TallyTask.reportSoon}. */
const PROMPT_REPORT_INTERVAL_MS = 150
const PROMPT_REPORT_INTERVAL_MS_PER_DAEMON = 2.5
/** Unacknowledged reports after which the link is reset: an open connection may be dead. */
const MAX_UNACKED_REPORTS = 6
const REPORT_TOPIC = 'tally-told'
const SYNC_TOPIC = 'tally-shared'
const ACK_TOPIC = 'tally-heard'
const REPLICA_JOB = 'duties'

/** Owns the totals and replicates them. */
export class TallyTask {
  readonly tally: Tally
  /** Wall clock shared by the daemons. */
  readonly clock = new SharedClock({ wallMs: Date.now(), steadyMs: steadyNow() })
  readonly #options: TallyTaskOptions
  /** Reports since the last acknowledgment of each replica; a replica without an entry gets all totals first. */
  readonly #unackedReports = new Map<DaemonId, number>()
  #timer: NodeJS.Timeout | undefined
  #lastReportAtMs = -Infinity
  #promptReportScheduled = false

  constructor (options: TallyTaskOptions) {
    this.#options = options
    this.tally = new Tally(options.self)
    const { links } = options.membership
    links.onPost(REPORT_TOPIC, ({ entries, wallMs }: TallyReport, from) => {
      this.tally.receive({ daemon: from, entries })
      this.clock.told(from, wallMs, steadyNow())
      links.post(from, ACK_TOPIC, { wallMs: this.#wallMs() } satisfies ReportAck)
    })
    links.onPost(SYNC_TOPIC, ({ sheets }: TallySync) => sheets.forEach((sheet) => this.tally.receive(sheet)))
    links.onPost(ACK_TOPIC, ({ wallMs }: ReportAck, from) => {
      this.clock.told(from, wallMs, steadyNow())
      if (this.#unackedReports.has(from)) this.#unackedReports.set(from, 0)
    })
    options.membership.onLink((to) => this.#onLink(to))
  }

  /** True when this daemon holds the totals of all daemons and may take the leases that need them. */
  get isReplica (): boolean {
    return this.replicas.some(({ id }) => id === this.#options.self)
  }

  /** Starts reporting. */
  start (): void {
    this.#scheduleReport()
  }

  /** Stops, after a last report of the pending changes. */
  stop (): void {
    clearTimeout(this.#timer)
    this.#timer = undefined
    this.#report()
  }

  /** Brings the next report forward. */
  reportSoon (): void {
    if (this.#promptReportScheduled || this.#timer === undefined) return
    this.#promptReportScheduled = true
    const everyMs = Math.max(PROMPT_REPORT_INTERVAL_MS, this.#options.membership.reachable.length * PROMPT_REPORT_INTERVAL_MS_PER_DAEMON)
    this.#reportAfter(Math.max(0, this.#lastReportAtMs + everyMs - steadyNow()))
  }

  #scheduleReport (): void {
    this.#reportAfter(Math.max(REPORT_INTERVAL_MS, this.#options.membership.reachable.length * REPORT_INTERVAL_MS_PER_DAEMON))
  }

  #reportAfter (ms: number): void {
    clearTimeout(this.#timer)
    this.#timer = setTimeout(guarded('tally-task', () => {
      this.#promptReportScheduled = false
      this.#lastReportAtMs = steadyNow()
      try {
        this.#report()
      } finally {
        this.#scheduleReport()
      }
    }), ms)
  }

  #report (): void {
    const entries = this.tally.takeChanges()
    const replicas = this.replicas.filter(({ id }) => id !== this.#options.self)
    for (const id of this.#unackedReports.keys()) if (!replicas.some((member) => member.id === id)) this.#unackedReports.delete(id)
    for (const replica of replicas) this.#reportTo(replica, entries)
  }

  #reportTo (to: Member, changes: TallyEntry[]): void {
    const { links } = this.#options.membership
    const unacked = this.#unackedReports.get(to.id)
    const entries = unacked === undefined ? this.tally.sheetOf(this.#options.self) : changes
    if (!links.post(to.id, REPORT_TOPIC, { entries, wallMs: this.#wallMs() } satisfies TallyReport)) {
      this.#unackedReports.delete(to.id)
      links.connect(to)
      return
    }
    this.#unackedReports.set(to.id, (unacked ?? 0) + 1)
    if ((unacked ?? 0) < MAX_UNACKED_REPORTS) return
    this.#unackedReports.delete(to.id)
    this.clock.forget(to.id)
    links.reset(to.id)
  }

  /** Resends all totals over a new link: messages on the previous one may be lost. */
  #onLink (to: DaemonId): void {
    this.#unackedReports.delete(to)
    if (this.isReplica) this.#options.membership.links.post(to, SYNC_TOPIC, { sheets: this.tally.sheets() } satisfies TallySync)
  }

  /** The daemons that hold the totals of all daemons, in order of preference for work that needs them. */
  get replicas (): Member[] {
    return this.#options.membership.rankedFor(REPLICA_JOB).slice(0, REPLICA_COUNT)
  }

  #wallMs (): number {
    return this.clock.now(steadyNow())
  }
}
