/** Enforces the quotas of client accounts across all daemons. */
import { isDeepStrictEqual } from 'node:util'
import type { Account, Quota } from '../../core/catalog/index.ts'
import type { AccountId, DaemonId } from '../../core/ids/index.ts'
import type { Member } from '../../core/membership/index.ts'
import { requestCost, KEEPER_TIMEOUT_MS, KeeperSelector, QuotaKeeper, QuotaStock, stockLifetimeMs, VOTE_TTL_MS, VOTE_INTERVAL_MS, type AccountLevel, type QuotaDecision, type QuotaTolerance, type Vote } from '../../core/quota/index.ts'
import { delay, steadyNow } from '../../core/time/index.ts'
import type { Topology } from '../../core/topology/index.ts'
import type { Demand } from '../../core/work/index.ts'
import { log } from '../log/index.ts'
import type { FleetSize } from '../peers/fleet_size.ts'
import type { MembershipTask } from '../peers/membership_task.ts'
import { guarded } from '../tasks/index.ts'

/** Options of {@linkcode AccountLimits}. */
export interface AccountLimitsOptions {
  self: DaemonId
  /** Name of this daemon's host. Stays the same across restarts. */
  host: string
  tolerance: QuotaTolerance
  membership: MembershipTask
  fleet: FleetSize
  /** Regions as seen by this daemon. Default: all daemons are in one region. */
  topology?: Pick<Topology, 'isLocal' | 'roundTripMs'>
}

/** A granted charge. Must be given back if the request was not sent to any endpoint. */
export interface Charge { giveBack (): void }

/** Denial of a request that exceeds its quota: the cost of the request and what was left of the quota, in the quota's unit. */
export interface OverQuota { retryAfterMs: number, cost: number, room: number }

/** Cost to charge to an account, and the amount that the daemon draws ahead beside it. */
type QuotaRequest = readonly [account: AccountId, cost: number, ahead?: number]
/** `ahead`: what was granted of the amount to draw ahead. */
type QuotaReply = QuotaDecision & { ahead?: number }
/** Answer of a keeper to a vote or a probe. */
interface KeeperReply { levels: AccountLevel[] }
/** Answer of a keeper to a daemon that has withdrawn its vote. */
interface WithdrawalReply { number: number, levels: AccountLevel[] }

/** Delay between a new link and the vote it triggers, in milliseconds. Links often come up several at a time, and share one vote. */
const VOTE_DELAY_MS = 30
/** Timeout of a call to the keeper, in milliseconds: several round-trip times. */
const ASK_TIMEOUT_MS = 120
/** Number of round trips to another region by which calls to a keeper there may take longer: its own, and one of waiting on a loaded link. */
const FAR_ROUND_TRIPS = 2
/**
 * Longest time that a request is held while no keeper may grant, in milliseconds: the silence after which the next keeper is chosen, the votes that
 * are due then, and the remaining time in which the last vote for the previous keeper counts.
 */
const MAX_HOLD_MS = KEEPER_TIMEOUT_MS + 2 * VOTE_INTERVAL_MS + ASK_TIMEOUT_MS
/** Delay between attempts to charge a request while no keeper may grant, in milliseconds. */
const ASK_RETRY_MS = 50
/** Number of votes per probe of the members that rank above the chosen keeper. A probe that is answered lets this daemon return to the highest-ranked one. */
const VOTES_PER_PROBE = 4
const RANKING_JOB = 'quotas'
const VOTE = 'quota-vote'
const PROBE = 'quota-probe'
const KEEPER_REPLY = 'quota-heard'
const WITHDRAWAL = 'quota-withdrawn'
const WITHDRAWAL_REPLY = 'quota-freed'
const REFUND = 'quota-given-back'
const ASK = 'quota-ask'
const NO_CHARGE: Charge = { giveBack: () => {} }

/**
 * Charges each request of an account with a quota at the keeper, one daemon that counts for all.
 *
 * All daemons rank the members in the same order and choose the first one that answers. A daemon that reaches no other counts by itself, and may
 * use only its own share of every quota.
 */
export class AccountLimits {
  readonly #options: AccountLimitsOptions
  /** Counts for the daemons that chose this one, or only for this daemon. */
  readonly #localKeeper: QuotaKeeper
  readonly #quotas = new Map<AccountId, Quota>()
  readonly #choice: KeeperSelector
  /** The chosen keeper; undefined for this daemon itself. */
  #chosenId: DaemonId | undefined
  /** Bucket levels last reported by the chosen keeper. */
  #levels: AccountLevel[] = []
  /** Bucket levels reported by the previous keeper, until the chosen keeper has received them. */
  #inheritedLevels: AccountLevel[] = []
  #voteRounds = 0
  #votedAtMs = -Infinity
  /**
   * Time until which a vote for an earlier keeper may count, in milliseconds on the steady clock. That clock starts with the process, and a vote by the
   * previous process on this host may count for up to `VOTE_KEPT_MS`.
   */
  #priorVoteEndsAtMs = VOTE_TTL_MS
  /** Value of `#priorVoteEndsAtMs` before the last change of keeper. */
  #priorVoteEndsBeforeChangeMs = VOTE_TTL_MS
  /** Number of the last vote or withdrawal. */
  #sequence = 0
  /** Number of the last withdrawal, until the keeper confirms it. */
  #pendingWithdrawal: number | undefined
  #pendingAsks: Array<{ ask: QuotaRequest, decide: (grant: QuotaReply, from: DaemonId | undefined) => void }> = []
  /** Quota drawn ahead from a keeper in another region. */
  #stock: QuotaStock
  #interval: NodeJS.Timeout | undefined
  #voteTimer: NodeJS.Timeout | undefined
  #onVote: () => void = () => {}

  constructor (options: AccountLimitsOptions) {
    this.#options = options
    this.#localKeeper = new QuotaKeeper({ tolerance: options.tolerance })
    this.#choice = new KeeperSelector(options.self)
    this.#stock = new QuotaStock({ lifetimeMs: stockLifetimeMs(options.tolerance) })
    const { links } = options.membership
    links.onPost(VOTE, (vote: Vote, from) => this.#onVoted(from, vote))
    links.onPost(PROBE, (_nothing: null, from) => links.post(from, KEEPER_REPLY, { levels: [] } satisfies KeeperReply))
    links.onPost(KEEPER_REPLY, ({ levels }: KeeperReply, from) => this.#onKeeperReply(from, levels))
    links.onPost(WITHDRAWAL, (number: number, from) => this.#onWithdrawn(from, number))
    links.onPost(WITHDRAWAL_REPLY, (freed: WithdrawalReply) => this.#onFreed(freed))
    links.onPost(REFUND, ([account, cost]: QuotaRequest) => this.#localKeeper.refund(account, cost))
    options.membership.onLink(() => { if (this.#interval) this.#scheduleVote() })
    links.handle(ASK, async (asks: QuotaRequest[], { from }) => {
      this.#localKeeper.renewVote(from, steadyNow())
      return asks.map((ask) => this.#answerAsk(ask))
    })
  }

  /** Schedules an early vote. While daemons discover each other, requests wait for the votes that follow. */
  #scheduleVote (): void {
    this.#voteTimer ??= setTimeout(guarded('account-limits', () => {
      this.#voteTimer = undefined
      this.#vote()
    }), VOTE_DELAY_MS)
  }

  /** The daemon chosen as keeper; undefined if this daemon counts itself. */
  get keeper (): DaemonId | undefined { return this.#chosenId }

  /** Round trip to the keeper if it is in another region, in milliseconds; 0 otherwise. */
  get farKeeperMs (): number {
    const keeper = this.#chosenId === undefined ? undefined : this.#options.membership.core.member(this.#chosenId)
    return keeper ? this.#farMs(keeper) : 0
  }

  /** Part of all daemons for which this one is the keeper, in [0, 1]. */
  get keeperShare (): number {
    const { now, all } = this.#keeperInput()
    return this.#localKeeper.part(now, all)
  }

  /** Calls the listener after each regular vote. What it posts to the keeper is sent together with the vote. */
  onVote (listener: () => void): void {
    this.#onVote = listener
  }

  /** Applies the quotas of a configuration. */
  apply (accounts: Iterable<Account>): void {
    const before = new Map(this.#quotas)
    this.#quotas.clear()
    for (const { id, quota } of accounts) if (quota) this.#quotas.set(id, quota)
    for (const [id, quota] of before) if (!isDeepStrictEqual(quota, this.#quotas.get(id))) this.#stock.remove(id)
    this.#localKeeper.apply(this.#quotas, steadyNow())
  }

  /** Changes the tolerance. A lower one applies at once. */
  tolerate (tolerance: QuotaTolerance): void {
    this.#stock.clear()
    this.#stock = new QuotaStock({ lifetimeMs: stockLifetimeMs(tolerance) })
    this.#localKeeper.setTolerance(tolerance, steadyNow())
  }

  /** Starts voting. */
  start (): void {
    this.#interval = setInterval(guarded('account-limits', () => {
      this.#vote()
      this.#onVote()
    }), VOTE_INTERVAL_MS)
    this.#vote()
  }

  /** Stops voting and withdraws this daemon's vote. */
  stop (): void {
    clearInterval(this.#interval)
    clearTimeout(this.#voteTimer)
    this.#interval = undefined
    this.#stock.clear()
    if (this.#chosenId !== undefined) this.#options.membership.links.post(this.#chosenId, WITHDRAWAL, ++this.#sequence)
  }

  /**
   * Charges a request to its account, or returns when to retry if it exceeds the quota.
   *
   * After a keeper fails, no daemon may grant until the next one is established. Requests are held for that time, since otherwise callers
   * well within their quotas would all be refused.
   */
  async charge (account: AccountId, demand: Demand | undefined): Promise<Charge | OverQuota> {
    const quota = this.#quotas.get(account)
    if (!quota) return NO_CHARGE
    const cost = requestCost(quota, demand)
    const untilMs = steadyNow() + MAX_HOLD_MS
    for (;;) {
      const { grant, from } = await this.#ask([account, cost])
      if (grant.granted) return { giveBack: () => this.#giveBack([account, cost], from) }
      if (!grant.unknown || steadyNow() >= untilMs) return { retryAfterMs: grant.retryAfterMs, cost, room: grant.room }
      await delay(ASK_RETRY_MS)
    }
  }

  /** Asks for a grant. Requests made in one turn of the event loop are sent in one call; one that the stock covers waits for none. */
  async #ask (ask: QuotaRequest): Promise<{ grant: QuotaDecision, from: DaemonId | undefined }> {
    const keeper = this.#chosenId
    if (keeper === undefined) return { grant: this.#askLocal(ask), from: undefined }
    if (this.farKeeperMs === 0) return await this.#queueAsk(ask)
    const [account, cost] = ask
    const now = steadyNow()
    const isCovered = this.#stock.take(account, cost, now)
    const ahead = this.#stock.startDraw(account, isCovered ? 0 : cost, now)
    if (isCovered) {
      if (ahead > 0) this.#draw([account, 0, ahead], keeper)
      return { grant: { granted: true }, from: keeper }
    }
    const result = ahead > 0 ? await this.#draw([account, cost, ahead], keeper) : await this.#queueAsk(ask)
    if (result.grant.granted && result.from === keeper) this.#stock.countGrant(account, cost, now)
    return result
  }

  #queueAsk (ask: QuotaRequest): Promise<{ grant: QuotaReply, from: DaemonId | undefined }> {
    if (this.#pendingAsks.length === 0) setImmediate(guarded('account-limits', () => this.#sendAsks()))
    return new Promise((resolve) => this.#pendingAsks.push({ ask, decide: (grant, from) => resolve({ grant, from }) }))
  }

  /** Asks for a grant and draws ahead. What another keeper than the present one granted is not used, and lost from the quota. */
  async #draw (ask: QuotaRequest, keeper: DaemonId): Promise<{ grant: QuotaReply, from: DaemonId | undefined }> {
    const [account] = ask
    const stock = this.#stock
    const askedAtMs = steadyNow()
    let usable = 0
    try {
      const result = await this.#queueAsk(ask)
      if (result.from === keeper && this.#chosenId === keeper && stock === this.#stock) usable = result.grant.ahead ?? 0
      return result
    } finally {
      stock.endDraw(account, usable, askedAtMs)
    }
  }

  #farMs ({ failureDomain }: Member): number {
    const { topology } = this.#options
    return topology === undefined || topology.isLocal(failureDomain) ? 0 : topology.roundTripMs(failureDomain)
  }

  /** Answers a daemon's request for quota. What is drawn ahead counts as granted from now on. */
  #answerAsk (ask: QuotaRequest): QuotaReply {
    const [account, cost, ahead = 0] = ask
    const decision = cost > 0 || ahead === 0 ? this.#askLocal(ask) : { granted: true as const }
    return decision.granted && ahead > 0 ? { ...decision, ahead: this.#localKeeper.drawAhead(account, ahead, this.#keeperInput()) } : decision
  }

  async #sendAsks (): Promise<void> {
    const asks = this.#pendingAsks
    this.#pendingAsks = []
    const keeper = this.#chosenId === undefined ? undefined : this.#options.membership.core.member(this.#chosenId)
    const grants = keeper && await this.#callKeeper(keeper, asks.map(({ ask }) => ask))
    asks.forEach(({ ask, decide }, i) => (grants ? decide(grants[i]!, keeper!.id) : decide(this.#askLocal(ask), undefined)))
  }

  /** Asks the keeper. If it doesn't answer in time, its grants are lost from the quota if it made any, and the caller decides by this daemon's own share. */
  async #callKeeper (keeper: Member, asks: QuotaRequest[]): Promise<QuotaReply[] | undefined> {
    try {
      return await this.#options.membership.links.call(keeper, ASK, asks, { timeoutMs: ASK_TIMEOUT_MS + FAR_ROUND_TRIPS * this.#farMs(keeper) }) as QuotaReply[]
    } catch (err) {
      log('keeper-silent', { keeper: keeper.id, requests: asks.length, why: (err as Error).message })
      this.#connect(keeper)
      return undefined
    }
  }

  #askLocal ([account, cost]: QuotaRequest): QuotaDecision {
    return this.#localKeeper.tryAcquire(account, cost, this.#keeperInput())
  }

  #giveBack (ask: QuotaRequest, from: DaemonId | undefined): void {
    if (from === undefined) this.#localKeeper.refund(ask[0], ask[1])
    else this.#options.membership.links.post(from, REFUND, ask)
  }

  #keeperInput (): { now: number, all: number } {
    return { now: steadyNow(), all: this.#options.fleet.hostCount }
  }

  #vote (): void {
    const { self } = this.#options
    this.#chooseKeeper()
    this.#stock.removeExpired(steadyNow())
    const ranked = this.#ranked()
    const chosen = this.#chosenId ?? self
    if (this.#voteRounds++ % VOTES_PER_PROBE === 0) {
      for (const better of ranked.slice(0, ranked.findIndex(({ id }) => id === chosen))) this.#post(better, PROBE, null)
    }
    this.#castVote()
  }

  #castVote (): void {
    const { host, membership, self } = this.#options
    const now = steadyNow()
    const vote: Vote = { host, number: ++this.#sequence, told: this.#inheritedLevels, freeInMs: Math.max(0, this.#priorVoteEndsAtMs - now) }
    const keeper = this.#chosenId === undefined ? undefined : membership.core.member(this.#chosenId)
    if (this.#chosenId === undefined) this.#localKeeper.vote(self, now, vote)
    // A vote that could not be sent counts nowhere, so it must not delay a later vote.
    else if (!keeper || !this.#post(keeper, VOTE, vote)) return
    this.#votedAtMs = now
  }

  #chooseKeeper (): void {
    const { self } = this.#options
    const first = this.#choice.choose(this.#ranked().map(({ id }) => id), steadyNow())
    const next = first === self ? undefined : first
    if (next === this.#chosenId) return
    log('keeper-chosen', { keeper: next ?? self, before: this.#chosenId ?? self })
    this.#stock.clear()
    this.#withdrawFrom(this.#chosenId)
    this.#chosenId = next
    this.#inheritedLevels = this.#levels
  }

  /**
   * Withdraws the vote from a keeper. The next vote counts once the keeper confirms, or at once if no process runs at its address. If the keeper
   * does not confirm, the vote has to expire first.
   */
  #withdrawFrom (keeper: DaemonId | undefined): void {
    const number = ++this.#sequence
    if (keeper === undefined) return this.#localKeeper.withdraw(this.#options.self, steadyNow(), number)
    if (this.#choice.isGone(keeper)) return
    this.#options.membership.links.post(keeper, WITHDRAWAL, number)
    this.#pendingWithdrawal = number
    this.#priorVoteEndsBeforeChangeMs = this.#priorVoteEndsAtMs
    this.#priorVoteEndsAtMs = Math.max(this.#priorVoteEndsAtMs, this.#votedAtMs + VOTE_TTL_MS)
  }

  #onWithdrawn (from: DaemonId, number: number): void {
    this.#localKeeper.withdraw(from, steadyNow(), number)
    this.#options.membership.links.post(from, WITHDRAWAL_REPLY, { number, levels: this.#localKeeper.levels(this.#keeperInput()) } satisfies WithdrawalReply)
  }

  #onFreed ({ number, levels }: WithdrawalReply): void {
    if (number !== this.#pendingWithdrawal) return
    this.#pendingWithdrawal = undefined
    this.#priorVoteEndsAtMs = this.#priorVoteEndsBeforeChangeMs
    this.#inheritedLevels = levels
    this.#castVote()
  }

  #ranked (): readonly Member[] {
    return this.#options.membership.rankedFor(RANKING_JOB)
  }

  #onVoted (from: DaemonId, vote: Vote): void {
    this.#localKeeper.vote(from, steadyNow(), vote)
    this.#options.membership.links.post(from, KEEPER_REPLY, { levels: this.#localKeeper.levels(this.#keeperInput()) } satisfies KeeperReply)
  }

  #onKeeperReply (from: DaemonId, levels: AccountLevel[]): void {
    this.#choice.recordHeartbeat(from, steadyNow())
    if (from !== this.#chosenId || levels.length === 0) return
    this.#levels = levels
    this.#inheritedLevels = []
  }

  /** Posts a message. Without a link the message is dropped and a link is opened for the next one. */
  #post (to: Member, topic: string, value: unknown): boolean {
    const { links } = this.#options.membership
    if (links.post(to.id, topic, value)) return true
    this.#connect(to)
    return false
  }

  /**
   * Opens a link. A daemon whose address refuses the connection has no process and is passed over at once. If many daemons fail together,
   * each of them would otherwise be waited for in turn.
   */
  async #connect (to: Member): Promise<void> {
    if (await this.#options.membership.links.connect(to) !== 'gone') return
    this.#choice.refused(to.id, steadyNow())
    if (this.#interval) this.#scheduleVote()
  }
}
