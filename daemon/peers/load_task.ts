/** Reports this daemon's load at each endpoint to the keeper, and receives the aggregated load of the other daemons from it. */
import type { DaemonId } from '../../core/ids/index.ts'
import { VOTE_INTERVAL_MS } from '../../core/quota/index.ts'
import { LoadAggregator, reportIntervalMs, type EndpointWork } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { EndpointTable } from '../endpoints/endpoint_table.ts'
import type { AccountLimits } from '../limits/account_limits.ts'
import type { MembershipTask } from './membership_task.ts'
import { guarded } from '../tasks/index.ts'

/** Options of {@linkcode LoadTask}. */
export interface LoadTaskOptions {
  self: DaemonId
  membership: MembershipTask
  table: EndpointTable
  /** Selects the keeper: the daemon that counts quotas also aggregates load. */
  limits: Pick<AccountLimits, 'keeper' | 'onVote'>
  /** Adds what is reported of whole pools, as entries among those of the endpoints. Default: nothing. */
  pools?: { readonly reports: readonly EndpointWork[], applyOthersWork (loads: readonly EndpointWork[]): void }
  /** Called at the keeper with each report, after the reply. */
  onReport (from: DaemonId, loads: readonly EndpointWork[]): void
  /** Takes part in the reports for the memory of endpoints. Default: it is not bounded. */
  memory?: LoadMemory | undefined
}

/** What bounding the memory of endpoints adds to load reports. */
export interface LoadMemory {
  /** Called right before each report to the keeper. */
  beforeReport (): void
  /** Adds memory that was granted to this daemon to its load. */
  withGrants (loads: readonly EndpointWork[]): EndpointWork[]
  /** Called with the load of the other daemons, the keeper that sent it, and the time until all know of a request that a daemon sends, in milliseconds. */
  applyOthers (loads: readonly EndpointWork[], source: { from: DaemonId | undefined, visibleAfterMs: number }): void
}

/** Interval between reports of an idle daemon, in milliseconds. */
const IDLE_REPORT_INTERVAL_MS = 600
/** Load of other daemons older than this is discarded, in milliseconds. */
const OTHERS_WORK_TTL_MS = 1500
/** Number of reports whose answers are waited for; more than are sent until the load of the others is discarded. */
const MAX_UNANSWERED = 16
const REPORT_TOPIC = 'load-report'
const OTHERS_TOPIC = 'load-others'

/** Exchanges load reports between daemons. */
export class LoadTask {
  readonly #options: LoadTaskOptions
  readonly #board = new LoadAggregator()
  #reportTimers: NodeJS.Timeout[] = []
  #lastReportAtMs = -Infinity
  #lastReportHadWork = false
  #othersReceivedAtMs = -Infinity
  /** Reports that were not answered yet: times in milliseconds, and the keeper that they were sent to. */
  #unanswered = { keeper: undefined as DaemonId | undefined, sentAtMs: [] as number[] }

  constructor (options: LoadTaskOptions) {
    this.#options = options
    const { links } = options.membership
    links.onPost(REPORT_TOPIC, (loads: EndpointWork[], from) => {
      this.#board.report(from, loads, steadyNow())
      links.post(from, OTHERS_TOPIC, this.#board.loadsOfOthers(from, steadyNow()))
      options.onReport(from, loads)
    })
    links.onPost(OTHERS_TOPIC, (loads: EndpointWork[], from) => this.#applyOthersWork(loads, from))
  }

  /** Starts reporting. */
  start (): void {
    this.#options.limits.onVote(() => this.#onVote())
  }

  /** Stops reporting. */
  stop (): void {
    this.#options.limits.onVote(() => {})
    for (const timer of this.#reportTimers) clearTimeout(timer)
  }

  /** Reports together with each keeper vote; small fleets also report between votes. */
  #onVote (): void {
    const everyMs = this.#intervalMs
    this.#report()
    this.#reportTimers = []
    for (let ms = everyMs; ms < VOTE_INTERVAL_MS; ms += everyMs) this.#reportTimers.push(setTimeout(guarded('load-task', () => this.#report()), ms))
  }

  get #intervalMs (): number { return reportIntervalMs(this.#options.membership.reachable.length) }

  #report (): void {
    const { self, membership, table, limits, memory, pools, onReport } = this.#options
    const now = steadyNow()
    const work = [...memory?.withGrants(table.ownWork) ?? table.ownWork, ...pools?.reports ?? []]
    const keeper = limits.keeper
    if (keeper === undefined) {
      this.#board.report(self, work, now)
      this.#applyOthersWork(this.#board.loadsOfOthers(self, now), undefined)
      if (!memory) return
      memory.beforeReport()
      return onReport(self, work)
    }
    if (now - this.#othersReceivedAtMs > OTHERS_WORK_TTL_MS) this.#setOthersWork([])
    if (work.length === 0 && !this.#lastReportHadWork && now - this.#lastReportAtMs < IDLE_REPORT_INTERVAL_MS) return
    this.#lastReportAtMs = now
    this.#lastReportHadWork = work.length > 0
    memory?.beforeReport()
    if (membership.links.post(keeper, REPORT_TOPIC, work) && memory) this.#recordSent(keeper, now)
  }

  #recordSent (keeper: DaemonId, now: number): void {
    if (this.#unanswered.keeper !== keeper) this.#unanswered = { keeper, sentAtMs: [] }
    this.#unanswered.sentAtMs.push(now)
    if (this.#unanswered.sentAtMs.length > MAX_UNANSWERED) this.#unanswered.sentAtMs.shift()
  }

  #applyOthersWork (loads: readonly EndpointWork[], from: DaemonId | undefined): void {
    const now = steadyNow()
    this.#othersReceivedAtMs = now
    this.#setOthersWork(loads)
    const sentAtMs = from === this.#unanswered.keeper ? this.#unanswered.sentAtMs.shift() ?? now : now
    this.#options.memory?.applyOthers(loads, { from, visibleAfterMs: 2 * (this.#intervalMs + now - sentAtMs) })
  }

  #setOthersWork (loads: readonly EndpointWork[]): void {
    this.#options.table.applyOthersWork(loads)
    this.#options.pools?.applyOthersWork(loads)
  }
}
