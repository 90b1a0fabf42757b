/** Counts the requests of each client account as they begin, and reports them window by window. */
import { randomUUID } from 'node:crypto'
import type { AccountId } from '../../core/ids/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { UsageLedger, type WindowCounts } from '../../core/usage/index.ts'
import { DutyError, type Duties } from '../../endpoints/index.ts'
import { StoreError, writeSurely, type Marked, type ObjectStore } from '../../store/index.ts'
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
  /** A report is due this long after the end of its window, in milliseconds. */
  dueMs: number
}

const KEY = 'usage/reports'
const ROUND_MS = 500
/** Time after the end of a window for the last counts to arrive, as a part of the time until its report is due. */
const SETTLE_PART = 0.25
/** Windows whose reports are kept for a successor to send again. */
const KEPT_WINDOWS = 6

/**
 * Reports on whichever daemon holds the lease.
 *
 * What is reported for a window is written to the store before it is sent, once and for all: a successor that cannot know whether the report
 * was sent sends the very same again, which the platform ignores. A daemon that cannot write sends nothing.
 */
export class UsageTask {
  readonly #options: UsageTaskOptions
  readonly #ledger: UsageLedger
  #timer: NodeJS.Timeout | undefined
  #running = false
  /** The last window that this daemon knows was sent. */
  #sentTo = -Infinity

  constructor (options: UsageTaskOptions) {
    this.#options = options
    this.#ledger = new UsageLedger(options.tallies.tally, { windowMs: options.windowMs })
  }

  /** A request of the account began to run `agoMs` ago. */
  began (account: AccountId, agoMs = 0): void {
    this.#ledger.began(account, this.#wallMs() - agoMs)
  }

  /** Begins to report whenever this daemon holds the lease. */
  start (): void {
    this.#timer = setInterval(() => this.round(), ROUND_MS)
  }

  /** Stops. */
  stop (): void {
    clearInterval(this.#timer)
  }

  /** Reports what is due, if this daemon holds the lease and no round is under way. */
  async round (): Promise<void> {
    this.#ledger.forgetBefore(Math.floor(this.#wallMs() / this.#options.windowMs) - KEPT_WINDOWS - this.#options.dueMs / this.#options.windowMs)
    if (this.#running || this.#options.lease.fencing === undefined) return
    this.#running = true
    try {
      await this.#report()
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

  async #report (): Promise<void> {
    const { windowMs, dueMs } = this.#options
    const last = Math.floor((this.#wallMs() - dueMs * SETTLE_PART) / windowMs) - 1
    if (this.#sentTo >= last) return
    const reports = await this.#written(last)
    for (const report of reports) {
      if (report.window <= this.#sentTo) continue
      await this.#send(report)
      this.#sentTo = report.window
    }
  }

  async #send (report: WindowCounts): Promise<void> {
    // Asked anew before each call: the lease may have run out while the store was written.
    const { fencing } = this.#options.lease
    if (fencing === undefined) throw new DutyError('Cannot report: the lease ran out', { failure: 'not-done' })
    await this.#options.duties.report(report, { name: this.#options.name, fencing })
    log('usage-reported', { window: report.window, fencing, requests: Object.values(report.counts).reduce((sum, count) => sum + count, 0) })
  }

  /** The reports up to a window, as they are written; what is missing is added. */
  async #written (last: number): Promise<WindowCounts[]> {
    const { store } = this.#options
    const found = await store.get(KEY)
    const written = found ? (JSON.parse(found.value) as Marked<WindowCounts[]>).data : []
    const from = written.length > 0 ? written.at(-1)!.window + 1 : last
    if (from > last) return written
    const missing = this.#ledger.counts(Math.max(from, last - KEPT_WINDOWS + 1), last)
    const data = [...written, ...missing].slice(-KEPT_WINDOWS)
    const result = await writeSurely(store, KEY, { writeId: randomUUID(), data, version: found?.version ?? 0 })
    return result.applied ? data : result.data ?? []
  }
}
