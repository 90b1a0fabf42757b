/** Reports endpoints' limits and the need for permits to the keeper, which grants the permits of all daemons. */
import { PermitAllocator, type LimitObservation, type PermitGrant, type PermitRequest, type PermitWait, type SlotReport } from '../../core/endpoint_limits/index.ts'
import type { DaemonId, PoolName } from '../../core/ids/index.ts'
import { reportIntervalMs } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { MembershipTask } from '../peers/membership_task.ts'
import type { AccountLimits } from './account_limits.ts'
import type { EndpointLimits, RequestCounts } from './endpoint_limits.ts'
import { guarded } from '../tasks/index.ts'

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
/** `rejections`: rates of rejections that endpoints survive; `slots`: what the daemon has at such endpoints. Versions that do not know them send neither. */
interface LimitReport { observations: ObservationMessage[], rejections?: ObservationMessage[], requests: PermitRequest[], unused: PermitGrant[], slots?: SlotReport }
/** `number` identifies the grants, so that the keeper learns which of them have arrived. */
interface LimitReply { grants: PermitGrant[], waits: PermitWait[], answersAsks: boolean, number: number }

/** Least interval between reports, as a fraction of the interval between load reports. */
const PROMPT_REPORT_FRACTION = 1 / 4
/** Interval at which all limits are sent again, by the keeper and to it, in milliseconds: messages may be lost, and the keeper may be replaced. */
const RESEND_INTERVAL_MS = 2000
const PRUNE_INTERVAL_MS = 1000
const REPORT_TOPIC = 'limit-report'
const REPLY_TOPIC = 'limit-reply'
const LIMITS_TOPIC = 'limits'
const REJECTIONS_TOPIC = 'rejection-limits'
/** Least interval between reports of freed slots and rejections, in milliseconds: several of them are reported together. */
const SLOT_REPORT_INTERVAL_MS = 10

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
  /** Last grants that arrived, and the keeper that made them. */
  #received = { from: undefined as DaemonId | undefined, number: 0 }

  constructor (options: EndpointLimitTaskOptions) {
    this.#options = options
    const { membership: { links }, limits } = options
    links.onPost(REPORT_TOPIC, (report: LimitReport, from) => links.post(from, REPLY_TOPIC, this.#serve(from, report)))
    links.onPost(REPLY_TOPIC, (reply: LimitReply, from) => this.#receive(reply, from))
    links.onPost(REJECTIONS_TOPIC, (observations: ObservationMessage[]) => this.#mergeRejections(observations))
    links.onPost(LIMITS_TOPIC, (observations: ObservationMessage[]) => this.#merge(observations))
    limits.onReportDue = () => this.#scheduleReport(this.#intervalMs * PROMPT_REPORT_FRACTION)
    limits.onAsk = () => this.#scheduleAsk()
    limits.onSlotsChanged = () => this.#scheduleReport(SLOT_REPORT_INTERVAL_MS)
  }

  /** Starts exchanging limits. */
  start (): void {
    this.#pruneTimer = setInterval(guarded('endpoint-limit-task', () => this.#prune()), PRUNE_INTERVAL_MS)
  }

  /** Stops exchanging limits. */
  stop (): void {
    clearInterval(this.#pruneTimer)
    clearTimeout(this.#reportTimer)
    clearImmediate(this.#askTimer)
    this.#options.limits.onReportDue = () => {}
    this.#options.limits.onAsk = () => {}
    this.#options.limits.onSlotsChanged = () => {}
  }

  /** Sends a daemon the limits that it may not know. To be called at the keeper with each load report that arrives. */
  sendLimits (to: DaemonId): void {
    const { limits: { observed, rejectionLimits }, membership: { links } } = this.#options
    const now = steadyNow()
    const version = observed.version + rejectionLimits.version
    const sent = this.#sent.get(to) ?? { version: 0, atMs: now }
    if (sent.version === version && (observed.entries.length + rejectionLimits.entries.length === 0 || now - sent.atMs < RESEND_INTERVAL_MS)) return
    this.#sent.set(to, { version, atMs: now })
    links.post(to, LIMITS_TOPIC, this.#toMessages(observed.entries))
    if (rejectionLimits.entries.length > 0) links.post(to, REJECTIONS_TOPIC, this.#toMessages(rejectionLimits.entries))
  }

  get #intervalMs (): number { return reportIntervalMs(this.#options.membership.reachable.length) }

  #scheduleReport (spacingMs: number): void {
    this.#reportTimer ??= setTimeout(guarded('endpoint-limit-task', () => this.#report()), Math.max(0, this.#lastReportAtMs + spacingMs - steadyNow()))
  }

  /** Sends the asks of one turn of the event loop together. */
  #scheduleAsk (): void {
    this.#askTimer ??= setImmediate(guarded('endpoint-limit-task', () => {
      this.#askTimer = undefined
      this.#send(this.#options.accounts.keeper, { observations: [], requests: this.#options.limits.takeAsks(), unused: [], ...this.#slots() })
    }))
  }

  /** Reports regularly while limits are in force. A request that is no longer needed is replaced by an empty one. */
  #report (): void {
    const { limits, accounts: { keeper }, queued } = this.#options
    this.#reportTimer = undefined
    this.#lastReportAtMs = steadyNow()
    limits.discardUnneeded(queued)
    const requests = limits.permitsWaitedFor(queued)
    const report: LimitReport = { observations: this.#toMessages(this.#observationsFor(keeper)), requests, unused: limits.takeUnused(), ...this.#slots(), rejections: this.#toMessages(limits.rejectionLimits.entries) }
    const hasRequests = requests.some(({ urgent, normal }) => urgent + normal > 0)
    const isFragile = limits.fragile.length > 0
    if (hasRequests || this.#lastHadRequests || report.observations.length > 0 || report.unused.length > 0 || isFragile) this.#send(keeper, report)
    this.#lastHadRequests = hasRequests
    if (limits.observed.any || isFragile) this.#scheduleReport(isFragile && hasRequests ? this.#intervalMs * PROMPT_REPORT_FRACTION : this.#intervalMs)
  }

  /** What this daemon has at fragile endpoints, if there are any. */
  #slots (): Pick<LimitReport, 'slots'> {
    const { limits, accounts: { keeper } } = this.#options
    if (limits.fragile.length === 0) return {}
    return { slots: { ...limits.takeSlots(), receivedGrants: this.#received.from === keeper ? this.#received.number : 0 } }
  }

  #receive (reply: LimitReply, from: DaemonId): void {
    this.#received = { from, number: reply.number }
    this.#options.limits.receive(reply)
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
    const reply = this.#serve(self, report)
    this.#received = { from: undefined, number: reply.number }
    limits.receive(reply)
  }

  #prune (): void {
    const { limits, membership } = this.#options
    limits.prune()
    for (const id of this.#sent.keys()) if (!membership.reachable.some((member) => member.id === id)) this.#sent.delete(id)
  }

  #serve (from: DaemonId, { observations, rejections = [], requests, unused, slots }: LimitReport): LimitReply {
    const { limits, accounts } = this.#options
    this.#merge(observations)
    this.#mergeRejections(rejections)
    const granted = this.#allocator.allocate(from, requests, { limits: limits.observed.entries, share: accounts.keeperShare, now: steadyNow(), unused, fragile: limits.fragile, ...(slots && { slots }) })
    return { ...granted, answersAsks: requests.some(({ waits }) => !waits) }
  }

  #merge (messages: readonly ObservationMessage[]): void {
    const { limits } = this.#options
    const now = steadyNow()
    let changed = false
    for (const { ageMs, ...observation } of messages) changed = limits.observe({ ...observation, atMs: now - ageMs }) || changed
    if (changed) this.#scheduleReport(this.#intervalMs)
  }

  #mergeRejections (messages: readonly ObservationMessage[]): void {
    const { limits } = this.#options
    const now = steadyNow()
    let changed = false
    for (const { ageMs, ...observation } of messages) changed = limits.observeRejections({ ...observation, atMs: now - ageMs }) || changed
    if (changed) this.#scheduleReport(this.#intervalMs)
  }

  #toMessages (observations: readonly LimitObservation[]): ObservationMessage[] {
    const now = steadyNow()
    return observations.map(({ atMs, ...observation }) => ({ ...observation, ageMs: now - atMs }))
  }
}
