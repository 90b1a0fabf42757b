/** Reports endpoints' limits and the need for permits to the keeper, which grants the permits of all daemons. */
import { PermitAllocator, type LimitObservation, type PermitGrant, type PermitRequest, type PermitWait } from '../../core/endpoint_limits/index.ts'
import type { DaemonId, PoolName } from '../../core/ids/index.ts'
import { reportIntervalMs } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { MembershipTask } from '../peers/membership_task.ts'
import type { AccountLimits } from './account_limits.ts'
import type { EndpointLimits, RequestCounts } from './endpoint_limits.ts'

/** Options of {@linkcode EndpointLimitTask}. */
export interface EndpointLimitTaskOptions {
  self: DaemonId
  membership: Pick<MembershipTask, 'links' | 'reachable'>
  limits: EndpointLimits
  /** Selects the keeper: the daemon that counts quotas also grants permits, for the part of all daemons that chose it. */
  accounts: Pick<AccountLimits, 'keeper' | 'keeperShare'>
  /** Numbers of requests that wait for any endpoint of a pool. */
  queued (pool: PoolName): RequestCounts
}

/** An observation as sent to another daemon. It carries an age, since the daemons' clocks differ. */
type ObservationMessage = Omit<LimitObservation, 'atMs'> & { ageMs: number }
/** `unused`: permits that expired at the daemon. */
interface LimitReport { observations: ObservationMessage[], requests: PermitRequest[], unused: PermitGrant[] }
interface LimitReply { grants: PermitGrant[], waits: PermitWait[], answersAsks: boolean }

/** Least interval between reports, as a fraction of the interval between load reports. */
const PROMPT_REPORT_FRACTION = 1 / 4
/** Interval at which all limits are sent again, by the keeper and to it, in milliseconds: messages may be lost, and the keeper may be replaced. */
const RESEND_INTERVAL_MS = 2000
const PRUNE_INTERVAL_MS = 1000
const REPORT_TOPIC = 'limit-report'
const REPLY_TOPIC = 'limit-reply'
const LIMITS_TOPIC = 'limits'

/** Exchanges limits and permits with the keeper. Sends nothing while no endpoint has a limit. */
export class EndpointLimitTask {
  readonly #options: EndpointLimitTaskOptions
  readonly #allocator = new PermitAllocator()
  /** What each daemon was last sent, while this one is the keeper. */
  readonly #sent = new Map<DaemonId, { version: number, atMs: number }>()
  #reportTimer: NodeJS.Timeout | undefined
  #askTimer: NodeJS.Immediate | undefined
  #pruneTimer: NodeJS.Timeout | undefined
  #lastReportAtMs = -Infinity
  #lastFullReport = { to: undefined as DaemonId | undefined, atMs: -Infinity }
  #lastHadRequests = false

  constructor (options: EndpointLimitTaskOptions) {
    this.#options = options
    const { membership: { links }, limits } = options
    links.onPost(REPORT_TOPIC, (report: LimitReport, from) => links.post(from, REPLY_TOPIC, this.#serve(from, report)))
    links.onPost(REPLY_TOPIC, (reply: LimitReply) => limits.receive(reply))
    links.onPost(LIMITS_TOPIC, (observations: ObservationMessage[]) => this.#merge(observations))
    limits.onReportDue = () => this.#scheduleReport(this.#intervalMs * PROMPT_REPORT_FRACTION)
    limits.onAsk = () => this.#scheduleAsk()
  }

  /** Starts exchanging limits. */
  start (): void {
    this.#pruneTimer = setInterval(() => this.#prune(), PRUNE_INTERVAL_MS)
  }

  /** Stops exchanging limits. */
  stop (): void {
    clearInterval(this.#pruneTimer)
    clearTimeout(this.#reportTimer)
    clearImmediate(this.#askTimer)
    this.#options.limits.onReportDue = () => {}
    this.#options.limits.onAsk = () => {}
  }

  /** Sends a daemon the limits that it may not know. To be called at the keeper with each load report that arrives. */
  sendLimits (to: DaemonId): void {
    const { limits: { observed }, membership: { links } } = this.#options
    const now = steadyNow()
    const sent = this.#sent.get(to) ?? { version: 0, atMs: now }
    if (sent.version === observed.version && (observed.entries.length === 0 || now - sent.atMs < RESEND_INTERVAL_MS)) return
    this.#sent.set(to, { version: observed.version, atMs: now })
    links.post(to, LIMITS_TOPIC, this.#toMessages(observed.entries))
  }

  get #intervalMs (): number { return reportIntervalMs(this.#options.membership.reachable.length) }

  #scheduleReport (spacingMs: number): void {
    this.#reportTimer ??= setTimeout(() => this.#report(), Math.max(0, this.#lastReportAtMs + spacingMs - steadyNow()))
  }

  /** Sends the asks of one turn of the event loop together. */
  #scheduleAsk (): void {
    this.#askTimer ??= setImmediate(() => {
      this.#askTimer = undefined
      this.#send(this.#options.accounts.keeper, { observations: [], requests: this.#options.limits.takeAsks(), unused: [] })
    })
  }

  /** Reports regularly while limits are in force. A request that is no longer needed is replaced by an empty one. */
  #report (): void {
    const { limits, accounts: { keeper }, queued } = this.#options
    this.#reportTimer = undefined
    this.#lastReportAtMs = steadyNow()
    const requests = limits.permitsWaitedFor(queued)
    const report: LimitReport = { observations: this.#toMessages(this.#observationsFor(keeper)), requests, unused: limits.takeUnused() }
    const hasRequests = requests.some(({ urgent, normal }) => urgent + normal > 0)
    if (hasRequests || this.#lastHadRequests || report.observations.length > 0 || report.unused.length > 0) this.#send(keeper, report)
    this.#lastHadRequests = hasRequests
    if (limits.observed.any) this.#scheduleReport(this.#intervalMs)
  }

  #observationsFor (keeper: DaemonId | undefined): LimitObservation[] {
    const { limits } = this.#options
    const unreported = limits.takeUnreported()
    if (keeper === this.#lastFullReport.to && steadyNow() - this.#lastFullReport.atMs < RESEND_INTERVAL_MS) return unreported
    this.#lastFullReport = { to: keeper, atMs: steadyNow() }
    return limits.observed.entries
  }

  #send (keeper: DaemonId | undefined, report: LimitReport): void {
    const { self, limits, membership: { links } } = this.#options
    if (keeper !== undefined) {
      links.post(keeper, REPORT_TOPIC, report)
      return
    }
    limits.receive(this.#serve(self, report))
  }

  #prune (): void {
    const { limits, membership } = this.#options
    limits.prune()
    for (const id of this.#sent.keys()) if (!membership.reachable.some((member) => member.id === id)) this.#sent.delete(id)
  }

  #serve (from: DaemonId, { observations, requests, unused }: LimitReport): LimitReply {
    const { limits, accounts } = this.#options
    this.#merge(observations)
    const granted = this.#allocator.allocate(from, requests, { limits: limits.observed.entries, share: accounts.keeperShare, now: steadyNow(), unused })
    return { ...granted, answersAsks: requests.some(({ waits }) => !waits) }
  }

  #merge (messages: readonly ObservationMessage[]): void {
    const { limits } = this.#options
    const now = steadyNow()
    let changed = false
    for (const { ageMs, ...observation } of messages) changed = limits.observe({ ...observation, atMs: now - ageMs }) || changed
    if (changed) this.#scheduleReport(this.#intervalMs)
  }

  #toMessages (observations: readonly LimitObservation[]): ObservationMessage[] {
    const now = steadyNow()
    return observations.map(({ atMs, ...observation }) => ({ ...observation, ageMs: now - atMs }))
  }
}
