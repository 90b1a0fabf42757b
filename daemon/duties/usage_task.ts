/** Counts the requests of each client account as they start and reports them per time window. */
import { randomUUID } from 'node:crypto'
import type { AccountId } from '../../core/ids/index.ts'
import { NO_VERSION } from '../../core/store_version/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { isWindowCountsList, UsageLedger, type WindowCounts } from '../../core/usage/index.ts'
import { DutyError, type Duties } from '../../endpoints/index.ts'
import { decodeValue, isTagged, StoreError, writeAndVerify, type TaggedValue, type ObjectStore } from '../../store/index.ts'
import { LeaseError, type LeaseTask } from '../fleet/lease_task.ts'
import { log } from '../log/index.ts'
import type { TallyTask } from '../peers/tally_task.ts'
import { guarded } from '../tasks/index.ts'

/** Options of {@linkcode UsageTask}. */
export interface UsageTaskOptions {
  /** Name of this daemon as the platform knows it. */
  name: string
  store: ObjectStore
  duties: Duties
  lease: Pick<LeaseTask, 'act' | 'fencing' | 'isUnsucceeded'>
  tallies: Pick<TallyTask, 'tally' | 'clock'>
  /** Length of a window in milliseconds. */
  windowMs: number
  /** Deadline of a report after the end of its window, in milliseconds. */
  dueMs: number
}

/** A report as it is stored, with the era of the store in which it was written; without one for a store that never returns to a copy. */
interface StoredReport extends WindowCounts { era?: number }

const REPORTS_KEY = 'usage/reports'
const ROUND_INTERVAL_MS = 500
/** Time after the end of a window for the last counts to arrive, as a fraction of the time until the deadline of its report. */
const SETTLE_FRACTION = 0.25
/** Number of windows whose reports are stored so that a successor can resend them. */
const RETAINED_WINDOWS = 6

/**
 * Reports usage on the daemon that holds the lease.
 *
 * The report of a window is written to the store once, before it is sent. A successor cannot know whether it was sent and resends the identical
 * report, which the platform ignores. A daemon that cannot write to the store sends nothing.
 *
 * When the store has returned to a copy, the holder writes the reports again that it remembers. One that may not know all of them sends no window whose report may
 * be among the lost ones.
 */
export class UsageTask {
  readonly #options: UsageTaskOptions
  readonly #ledger: UsageLedger
  #timer: NodeJS.Timeout | undefined
  #running = false
  /** Last window known to be sent. */
  #lastSentWindow = -Infinity
  /** The last reports that this daemon has read or written as the holder, and its fencing number then. */
  #known: { reports: readonly StoredReport[], fencing: number | undefined } = { reports: [], fencing: undefined }
  /** Whether `#known` has all reports from before the current era of the store. */
  #knowsAll = false
  /** Whether known reports may be missing in the store. */
  #rewrites = false

  constructor (options: UsageTaskOptions) {
    this.#options = options
    this.#ledger = new UsageLedger(options.tallies.tally, { windowMs: options.windowMs })
    options.store.era.onRise(() => {
      const { fencing, isUnsucceeded } = options.lease
      this.#knowsAll = isUnsucceeded && this.#known.fencing !== undefined && (fencing === undefined || fencing === this.#known.fencing)
      this.#rewrites = this.#known.reports.length > 0
    })
  }

  /** Counts a request of the account that started `agoMs` milliseconds ago. */
  began (account: AccountId, agoMs = 0): void {
    this.#ledger.recordStart(account, this.#wallMs() - agoMs)
  }

  /** Starts periodic rounds; reports are sent only while this daemon holds the lease. */
  start (): void {
    this.#timer = setInterval(guarded('usage-task', () => this.round()), ROUND_INTERVAL_MS)
  }

  /** Stops the rounds. */
  stop (): void {
    clearInterval(this.#timer)
  }

  /** Sends due reports, if this daemon holds the lease and no other round is running. */
  async round (): Promise<void> {
    this.#ledger.forgetBefore(Math.floor(this.#wallMs() / this.#options.windowMs) - RETAINED_WINDOWS - this.#options.dueMs / this.#options.windowMs)
    if (this.#running || this.#options.lease.fencing === undefined) return
    this.#running = true
    try {
      await this.#reportDue()
    } catch (err) {
      if (!(err instanceof StoreError) && !(err instanceof DutyError) && !(err instanceof LeaseError)) throw err
      log('usage-not-reported', { window: undefined, why: err.message })
    } finally {
      this.#running = false
    }
  }

  #wallMs (): number {
    const { clock } = this.#options.tallies
    return clock.now(steadyNow())
  }

  async #reportDue (): Promise<void> {
    const { windowMs, dueMs } = this.#options
    const last = Math.floor((this.#wallMs() - dueMs * SETTLE_FRACTION) / windowMs) - 1
    if (this.#lastSentWindow >= last && !this.#rewrites) return
    const reports = await this.#persistReports(last)
    for (const report of reports) {
      if (report.window <= this.#lastSentWindow) continue
      await this.#send(report)
      this.#lastSentWindow = report.window
    }
  }

  async #send (report: WindowCounts): Promise<void> {
    const { duties, lease, name } = this.#options
    const fencing = await lease.act(async (right) => {
      await duties.report(report, { name, ...right })
      return right.fencing
    })
    log('usage-reported', { window: report.window, fencing, requests: Object.values(report.counts).reduce((sum, count) => sum + count, 0) })
  }

  /** Returns the stored reports up to a window after adding missing ones to the store. */
  async #persistReports (last: number): Promise<readonly StoredReport[]> {
    const { store, lease } = this.#options
    const { fencing } = lease
    const found = await store.get(REPORTS_KEY)
    const era = store.era.current
    const stored = found ? decodeValue(found, isStoredReports).data : []
    const written = mergeReports(this.#known.reports, stored)
    const isComplete = era === 0 || this.#knowsAll || stored.at(-1)?.era === era
    const first = this.#firstToReport(written, { last, isComplete })
    const missing = this.#ledger.counts(first, last)
    if (missing.length === 0 && written.at(-1)?.window === stored.at(-1)?.window) return this.#remember(stored, fencing)
    const data = [...written, ...missing].slice(-RETAINED_WINDOWS).map((report) => (era === 0 ? report : { ...report, era }))
    if (fencing === undefined || lease.fencing !== fencing) throw new LeaseError('Cannot write usage reports: the lease ended while they were read')
    const result = await writeAndVerify(store, REPORTS_KEY, { writeId: randomUUID(), data, version: found?.version ?? NO_VERSION, isData: isWindowCountsList })
    return this.#remember(result.applied ? data : result.data ?? [], fencing)
  }

  #remember (reports: readonly StoredReport[], fencing: number | undefined): readonly StoredReport[] {
    this.#known = { reports, fencing }
    this.#rewrites = false
    return reports
  }

  /**
   * Returns the first window to report. If reports may be lost, it is the first whose counts had not settled when this daemon learned of the era: the report of
   * an earlier one may have been sent, with other counts.
   */
  #firstToReport (written: readonly StoredReport[], { last, isComplete }: { last: number, isComplete: boolean }): number {
    const { store, windowMs, dueMs } = this.#options
    const next = Math.max(written.length > 0 ? written.at(-1)!.window + 1 : last, last - RETAINED_WINDOWS + 1)
    if (isComplete) return next
    const eraAtWallMs = this.#wallMs() - (steadyNow() - store.era.sinceMs)
    const first = Math.max(next, Math.ceil((eraAtWallMs - dueMs * SETTLE_FRACTION) / windowMs) - 1)
    if (first > next && next <= last) log('usage-left-out', { from: next, to: Math.min(first - 1, last), era: store.era.current })
    return first
  }
}

function isStoredReports (value: unknown): value is TaggedValue<StoredReport[]> {
  return isTagged(value, isWindowCountsList)
}

/** Adds remembered reports to the stored ones, which count where both have a window. */
function mergeReports (known: readonly StoredReport[], stored: readonly StoredReport[]): StoredReport[] {
  const merged = new Map([...known, ...stored].map((report) => [report.window, report]))
  return [...merged.values()].sort((a, b) => a.window - b.window).slice(-RETAINED_WINDOWS)
}
