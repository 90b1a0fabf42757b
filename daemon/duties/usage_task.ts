/** Counts the requests of each client account as they start and reports them per time window. */
import { randomUUID } from 'node:crypto'
import type { AccountId } from '../../core/ids/index.ts'
import { NO_VERSION } from '../../core/store_version/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { UsageLedger, type WindowCounts } from '../../core/usage/index.ts'
import { DutyError, type Duties } from '../../endpoints/index.ts'
import { StoreError, writeAndVerify, type TaggedValue, type ObjectStore } from '../../store/index.ts'
import type { LeaseTask } from '../fleet/lease_task.ts'
import { log } from '../log/index.ts'
import type { TallyTask } from '../peers/tally_task.ts'

/** Options of {@linkcode UsageTask}. */
export interface UsageTaskOptions {
  /** Name of this daemon as the platform knows it. */
  name: string
  store: ObjectStore
  duties: Duties
  lease: Pick<LeaseTask, 'fencing'>
  tallies: Pick<TallyTask, 'tally' | 'clock'>
  /** Length of a window in milliseconds. */
  windowMs: number
  /** Deadline of a report after the end of its window, in milliseconds. */
  dueMs: number
}

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
 */
export class UsageTask {
  readonly #options: UsageTaskOptions
  readonly #ledger: UsageLedger
  #timer: NodeJS.Timeout | undefined
  #running = false
  /** Last window known to be sent. */
  #lastSentWindow = -Infinity

  constructor (options: UsageTaskOptions) {
    this.#options = options
    this.#ledger = new UsageLedger(options.tallies.tally, { windowMs: options.windowMs })
  }

  /** Counts a request of the account that started `agoMs` milliseconds ago. */
  began (account: AccountId, agoMs = 0): void {
    this.#ledger.recordStart(account, this.#wallMs() - agoMs)
  }

  /** Starts periodic rounds; reports are sent only while this daemon holds the lease. */
  start (): void {
    this.#timer = setInterval(() => this.round(), ROUND_INTERVAL_MS)
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
      if (!(err instanceof StoreError) && !(err instanceof DutyError)) throw err
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
    if (this.#lastSentWindow >= last) return
    const reports = await this.#persistReports(last)
    for (const report of reports) {
      if (report.window <= this.#lastSentWindow) continue
      await this.#send(report)
      this.#lastSentWindow = report.window
    }
  }

  async #send (report: WindowCounts): Promise<void> {
    // Checked before each call: the lease may have expired while the store was written.
    const { fencing } = this.#options.lease
    if (fencing === undefined) throw new DutyError('Cannot report usage: the lease expired', { failure: 'not-done' })
    await this.#options.duties.report(report, { name: this.#options.name, fencing })
    log('usage-reported', { window: report.window, fencing, requests: Object.values(report.counts).reduce((sum, count) => sum + count, 0) })
  }

  /** Returns the stored reports up to a window after adding missing ones to the store. */
  async #persistReports (last: number): Promise<WindowCounts[]> {
    const { store } = this.#options
    const found = await store.get(REPORTS_KEY)
    const written = found ? (JSON.parse(found.value) as TaggedValue<WindowCounts[]>).data : []
    const from = written.length > 0 ? written.at(-1)!.window + 1 : last
    if (from > last) return written
    const missing = this.#ledger.counts(Math.max(from, last - RETAINED_WINDOWS + 1), last)
    const data = [...written, ...missing].slice(-RETAINED_WINDOWS)
    const result = await writeAndVerify(store, REPORTS_KEY, { writeId: randomUUID(), data, version: found?.version ?? NO_VERSION })
    return result.applied ? data : result.data ?? []
  }
}
