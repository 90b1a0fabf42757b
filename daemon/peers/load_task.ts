/** Reports this daemon's load at each endpoint to the keeper, and receives the aggregated load of the other daemons from it. */
import type { DaemonId } from '../../core/ids/index.ts'
import { VOTE_INTERVAL_MS } from '../../core/quota/index.ts'
import { LoadAggregator, reportIntervalMs, type EndpointWork } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { EndpointTable } from '../endpoints/endpoint_table.ts'
import type { AccountLimits } from '../limits/account_limits.ts'
import type { MembershipTask } from './membership_task.ts'

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
  onReport (from: DaemonId): void
}

/** Interval between reports of an idle daemon, in milliseconds. */
const IDLE_REPORT_INTERVAL_MS = 600
/** Load of other daemons older than this is discarded, in milliseconds. */
const OTHERS_WORK_TTL_MS = 1500
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

  constructor (options: LoadTaskOptions) {
    this.#options = options
    const { links } = options.membership
    links.onPost(REPORT_TOPIC, (loads: EndpointWork[], from) => {
      this.#board.report(from, loads, steadyNow())
      links.post(from, OTHERS_TOPIC, this.#board.loadsOfOthers(from, steadyNow()))
      options.onReport(from)
    })
    links.onPost(OTHERS_TOPIC, (loads: EndpointWork[]) => this.#applyOthersWork(loads))
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
    const everyMs = reportIntervalMs(this.#options.membership.reachable.length)
    this.#report()
    this.#reportTimers = []
    for (let ms = everyMs; ms < VOTE_INTERVAL_MS; ms += everyMs) this.#reportTimers.push(setTimeout(() => this.#report(), ms))
  }

  #report (): void {
    const { self, membership, table, limits, pools } = this.#options
    const now = steadyNow()
    const work = [...table.ownWork, ...pools?.reports ?? []]
    const keeper = limits.keeper
    if (keeper === undefined) {
      this.#board.report(self, work, now)
      return this.#applyOthersWork(this.#board.loadsOfOthers(self, now))
    }
    if (now - this.#othersReceivedAtMs > OTHERS_WORK_TTL_MS) this.#setOthersWork([])
    if (work.length === 0 && !this.#lastReportHadWork && now - this.#lastReportAtMs < IDLE_REPORT_INTERVAL_MS) return
    this.#lastReportAtMs = now
    this.#lastReportHadWork = work.length > 0
    membership.links.post(keeper, REPORT_TOPIC, work)
  }

  #applyOthersWork (loads: readonly EndpointWork[]): void {
    this.#othersReceivedAtMs = steadyNow()
    this.#setOthersWork(loads)
  }

  #setOthersWork (loads: readonly EndpointWork[]): void {
    this.#options.table.applyOthersWork(loads)
    this.#options.pools?.applyOthersWork(loads)
  }
}
