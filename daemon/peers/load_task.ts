/** Tells one daemon what this one runs at each endpoint, and hears from it what the others run. */
import type { DaemonId } from '../../core/ids/index.ts'
import { VOTE_MS } from '../../core/quota/index.ts'
import { LoadBoard, reportIntervalMs, type EndpointWork } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { EndpointTable } from '../endpoints/endpoint_table.ts'
import type { AccountLimits } from '../limits/account_limits.ts'
import type { MembershipTask } from './membership_task.ts'

/** Options of {@linkcode LoadTask}. */
export interface LoadTaskOptions {
  self: DaemonId
  membership: MembershipTask
  table: EndpointTable
  /** Whoever counts quotas sums up loads, too. */
  limits: Pick<AccountLimits, 'keeper' | 'onVote'>
}

/** Reports of a daemon that runs nothing, in milliseconds. */
const IDLE_REPORT_MS = 600
/** What was told of others is not believed any longer than this, in milliseconds. */
const BELIEVED_MS = 1500
const REPORT = 'load-report'
const OTHERS = 'load-others'

/** Owns the exchange of loads. */
export class LoadTask {
  readonly #options: LoadTaskOptions
  readonly #board = new LoadBoard()
  #between: NodeJS.Timeout[] = []
  #reportedAtMs = -Infinity
  #reportedWork = false
  #toldAtMs = -Infinity

  constructor (options: LoadTaskOptions) {
    this.#options = options
    const { links } = options.membership
    links.onPost(REPORT, (loads: EndpointWork[], from) => {
      this.#board.report(from, loads, steadyNow())
      links.post(from, OTHERS, this.#board.othersOf(from, steadyNow()))
    })
    links.onPost(OTHERS, (loads: EndpointWork[]) => this.#told(loads))
  }

  /** Begins to report. */
  start (): void {
    this.#options.limits.onVote(() => this.#voted())
  }

  /** Stops. */
  stop (): void {
    this.#options.limits.onVote(() => {})
    for (const timer of this.#between) clearTimeout(timer)
  }

  /** A report goes with each vote, and in small fleets some more between it and the next. */
  #voted (): void {
    const everyMs = reportIntervalMs(this.#options.membership.answering.length)
    this.#report()
    this.#between = []
    for (let ms = everyMs; ms < VOTE_MS; ms += everyMs) this.#between.push(setTimeout(() => this.#report(), ms))
  }

  #report (): void {
    const { self, membership, table, limits } = this.#options
    const now = steadyNow()
    const work = table.ownWork
    const chosen = limits.keeper
    if (chosen === undefined) {
      this.#board.report(self, work, now)
      return this.#told(this.#board.othersOf(self, now))
    }
    if (now - this.#toldAtMs > BELIEVED_MS) table.othersWork([])
    if (work.length === 0 && !this.#reportedWork && now - this.#reportedAtMs < IDLE_REPORT_MS) return
    this.#reportedAtMs = now
    this.#reportedWork = work.length > 0
    membership.links.post(chosen, REPORT, work)
  }

  #told (loads: readonly EndpointWork[]): void {
    this.#toldAtMs = steadyNow()
    this.#options.table.othersWork(loads)
  }
}
