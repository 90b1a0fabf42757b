/** Accepts requests, looks up the answers of earlier requests on any daemon, and hands both over when this daemon drains. */
import { randomUUID } from 'node:crypto'
import { as, daemonOf, requestId, type AccountId, type DaemonId, type PoolName, type RequestId } from '../../core/ids/index.ts'
import type { ClaimResult } from '../../core/once/index.ts'
import { delay } from '../../core/time/index.ts'
import { RetryBudget } from '../../core/retry/index.ts'
import type { EndpointView, Hash32 } from '../../core/routing/index.ts'
import { toWorkClass, type ClassConfig, type Config } from '../../core/config/index.ts'
import { estimateTokens, NO_TOKENS, splitPrompt, type Demand } from '../../core/work/index.ts'
import type { ModelEngine, PlainService } from '../../endpoints/index.ts'
import { fingerprintOf, type Hash64 } from '../../core/quarantine/index.ts'
import { claimOf, type Claims } from '../once/claims.ts'
import type { ConfigTask } from '../config/config_task.ts'
import { RemoteAnswer, type AnswerPart, type LiveAnswer } from './live_answer.ts'
import { log } from '../log/index.ts'
import type { MembershipTask } from '../peers/membership_task.ts'
import type { Metrics } from '../metrics.ts'
import type { Decision, RequestPorts } from './work.ts'
import type { Settings } from '../settings.ts'
import { Standby } from './standby.ts'
import { EngineRunner, ServiceRunner } from './token_runner.ts'
import { TokenTask, type HandOver } from './token_task.ts'

/** A request from an authenticated caller. */
export interface Submission {
  account: AccountId
  className: string
  input: string
  maxTokens: number | undefined
  idempotencyKey: string | undefined
}

/** Thrown when a request is refused before any attempt starts. */
export class RefusedError extends Error {
  override name = 'RefusedError'
  readonly status: number
  readonly retryAfterMs: number | undefined

  constructor (what: string, options: { status: number, retryAfterMs?: number }) {
    super(what)
    this.status = options.status
    this.retryAfterMs = options.retryAfterMs
  }
}

/** Options of {@linkcode Broker}. */
export interface BrokerOptions {
  self: DaemonId
  settings: Settings
  config: ConfigTask
  membership: MembershipTask
  claims: Claims
  metrics: Metrics
  hash: Hash32
  hash64: Hash64
  ports: Omit<RequestPorts, 'budget' | 'metrics'>
  engine (view: EndpointView): ModelEngine
  service (view: EndpointView): PlainService
}

/** A finished answer, as sent to the heir. */
interface FinishedAnswer { id: RequestId, account: AccountId, tokens: readonly string[], final: NonNullable<LiveAnswer['final']> }
/** Options of `Broker.#taskFor`. */
interface TaskOptions {
  id: RequestId
  account: AccountId
  cls: ClassConfig
  model: boolean
  input: string
  maxTokens: number
  claim: (() => Promise<ClaimResult>) | undefined
  deadlineInMs?: number
}

interface FollowArgs { id: RequestId, account: AccountId }
interface KeptAnswer { account: AccountId, answer: LiveAnswer }

const FOLLOW_TIMEOUT_MS = 600_000
const HAND_OVER_TIMEOUT_MS = 2000
/** Longest wait for gossip about a daemon that a request id names, in milliseconds. */
const MEMBER_WAIT_MS = 2000
const MEMBER_POLL_MS = 100
const ANSWERS_PER_CALL = 100
const RETRY_AFTER_REFUSAL_MS = 1000
const DEFAULT_MAX_TOKENS = 256

/** Owns the open requests and kept answers of one daemon. */
export class Broker {
  readonly #options: BrokerOptions
  readonly #open = new Map<RequestId, TokenTask>()
  readonly #kept = new Map<RequestId, KeptAnswer>()
  readonly #budgets = new Map<string, RetryBudget>()
  readonly #mirrors = new Set<RemoteAnswer>()
  readonly #standby: Standby
  #refusing = false
  /** Called after this daemon takes over a stream, since the stream's endpoint may be leaving. */
  onStreamTakenOver: () => void = () => {}

  constructor (options: BrokerOptions) {
    this.#options = options
    const { links } = options.membership
    links.handle('follow', (args: FollowArgs, { part, signal }) => this.#serveFollow(args, part, signal))
    links.handle('hand-over', async (handOvers: HandOver[]) => handOvers.filter((entry) => this.#takeOver(entry, true)).map((entry) => entry.id))
    this.#standby = new Standby({
      self: options.self,
      hash: options.hash,
      membership: options.membership,
      running: () => [...this.#open.values()].flatMap((task) => task.describe() ?? []),
      takeOver: (handOver) => { this.#takeOver(handOver, false) },
      goneAtMs: (endpoint) => options.ports.table.goneAtMs(endpoint)
    })
    links.handle('keep', async (finished: FinishedAnswer[]) => finished.forEach((entry) => this.#storeFinished(entry)))
    links.handle('explain', async (id: RequestId) => this.explainLocal(id))
    links.handle('cancel', async ({ id, account }: FollowArgs) => this.#cancelLocal(id, account))
  }

  /** Unfinished requests. */
  get open (): IterableIterator<TokenTask> { return this.#open.values() }
  /** Number of unfinished requests. */
  get openCount (): number { return this.#open.size }

  /**
   * Accepts a request and starts processing it.
   * @throws {RefusedError} If the request is refused. No attempt has started in that case.
   */
  submit (submission: Submission): TokenTask {
    const { limits } = this.#options.settings
    if (this.#refusing) throw new RefusedError('Cannot accept request: this daemon is leaving', { status: 503, retryAfterMs: RETRY_AFTER_REFUSAL_MS })
    if (this.#open.size >= limits.openRequests) throw new RefusedError('Cannot accept request: too many are open', { status: 503, retryAfterMs: RETRY_AFTER_REFUSAL_MS })
    const { cls, model } = this.#classOf(submission)
    const maxTokens = submission.maxTokens ?? DEFAULT_MAX_TOKENS
    if (maxTokens > limits.answerTokens) throw new RefusedError(`Cannot accept request: maxTokens is over ${limits.answerTokens}`, { status: 400 })
    const id = requestId(this.#options.self, randomUUID())
    const task = this.#taskFor({ id, account: submission.account, cls, model, input: submission.input, maxTokens: model ? maxTokens : 1, claim: this.#claimFor(id, submission, cls) })
    this.#budgetOf(cls.name).deposit()
    this.#register(task)
    task.post({ type: 'begin' })
    return task
  }

  /** The daemon that takes over this daemon's streams if this one fails. */
  get heir () { return this.#standby.heir() }

  /** Returns the answer to a request. An answer held by another daemon is followed through a mirror. */
  find (id: RequestId, account: AccountId): LiveAnswer | undefined {
    const kept = this.#kept.get(id)
    if (kept) return kept.account === account ? kept.answer : undefined
    return this.#followRemote(id, account)
  }

  /** Cancels a request on the daemon that holds it. Resolves to false if no open request of the account was reached. */
  async cancel (id: RequestId, account: AccountId): Promise<boolean> {
    if (this.#kept.has(id)) return this.#cancelLocal(id, account)
    const holder = this.#holderOf(id)
    if (!holder) return false
    return await this.#options.membership.links.call(holder, 'cancel', { id, account }).catch(() => false) as boolean
  }

  /** Returns the decision log of a request from the daemon that holds it. */
  async explain (id: RequestId): Promise<Decision[] | undefined> {
    const here = this.explainLocal(id)
    const holder = here ? undefined : this.#holderOf(id)
    if (!holder) return here
    return await this.#options.membership.links.call(holder, 'explain', id).catch(() => undefined) as Decision[] | undefined
  }

  /** Returns the decision log of a request held by this daemon. */
  explainLocal (id: RequestId): Decision[] | undefined {
    const answer = this.#kept.get(id)?.answer
    return answer instanceof TokenTask ? answer.decisions : undefined
  }

  /** Refuses new requests, since one accepted just before shutdown could be cut off by it. */
  refuseNew (): void {
    this.#refusing = true
  }

  /** Hands open streams over to another daemon. Returns the number of streams it took. */
  async handOver (heir: { id: DaemonId, address: string }): Promise<number> {
    const candidates = [...this.#open.values()].flatMap((task) => {
      const handOver = task.prepareHandOver()
      return handOver ? [{ task, handOver }] : []
    })
    const taken = await this.#sendHandOver(heir, candidates.map(({ handOver }) => handOver))
    for (const { task, handOver } of candidates) {
      if (taken.has(handOver.id)) this.#releaseTask(task)
      else task.keep()
    }
    this.#options.metrics.handedOver.inc(taken.size)
    return taken.size
  }

  /** Stops reading all streams and notifies nobody, like the end of the process. */
  abandon (): void {
    for (const task of this.#open.values()) task.abandon()
  }

  /** Makes callers that follow another daemon's answer through this daemon resume at a different one. */
  releaseFollowers (): void {
    for (const mirror of this.#mirrors) mirror.cut()
  }

  #releaseTask (task: TokenTask): void {
    task.markMovedAway()
    this.#open.delete(task.id)
    this.#kept.delete(task.id)
    this.#standby.ended(task.id)
  }

  /** Sends finished answers to the heir, so that their callers can still resume them and repeat the request. */
  async handOverFinished (heir: { id: DaemonId, address: string }): Promise<void> {
    const finished: FinishedAnswer[] = []
    for (const { account, answer } of this.#kept.values()) {
      if (answer.final) finished.push({ id: answer.id, account, tokens: answer.tokens, final: answer.final })
    }
    for (let i = 0; i < finished.length; i += ANSWERS_PER_CALL) {
      await this.#options.membership.links.call(heir, 'keep', finished.slice(i, i + ANSWERS_PER_CALL)).catch((err: Error) => log('answers-lost', { heir: heir.id, why: err.message }))
    }
  }

  #taskFor (options: TaskOptions): TokenTask {
    const { id, account, cls, model, input, maxTokens } = options
    const work = {
      id,
      account,
      cls: toWorkClass(cls, model),
      pool: as<PoolName>(cls.pool),
      demand: model ? this.#demandOf(input, maxTokens) : NO_TOKENS,
      claim: options.claim,
      fingerprint: () => fingerprintOf([account, cls.name, String(maxTokens), input], this.#options.hash64)
    }
    const runnerOptions = { id, input, maxTokens, urgent: work.cls.urgent }
    const runner = model ? new EngineRunner(runnerOptions, this.#options.engine) : new ServiceRunner(runnerOptions, this.#options.service)
    return new TokenTask({ work, runner, ports: this.#portsOf(cls), ...(options.deadlineInMs !== undefined && { deadlineInMs: options.deadlineInMs }) })
  }

  #demandOf (input: string, maxTokens: number): Demand {
    return { promptTokens: estimateTokens(input), maxTokens, expectedTokens: maxTokens, parts: splitPrompt(input, { hash: this.#options.hash }) }
  }

  #classOf (submission: Submission): { cls: ClassConfig, model: boolean } {
    const config = this.#config()
    const cls = config.classes.find(({ name }) => name === submission.className)
    if (!cls) throw new RefusedError(`Cannot accept request: no class ${submission.className}`, { status: 404 })
    const account = config.accounts.find(({ name }) => name === submission.account)
    if (!account?.classes.includes(cls.name)) throw new RefusedError(`Cannot accept request: the account may not use class ${cls.name}`, { status: 403 })
    const pool = config.pools.find(({ name }) => name === cls.pool)!
    return { cls, model: pool.kind === 'model' }
  }

  #config (): Config {
    const accepted = this.#options.config.inForce
    if (!accepted) throw new RefusedError('Cannot accept request: no configuration is in force yet', { status: 503, retryAfterMs: RETRY_AFTER_REFUSAL_MS })
    return accepted.config
  }

  #claimFor (id: RequestId, submission: Submission, cls: ClassConfig) {
    const { account, idempotencyKey: key, className, input, maxTokens } = submission
    if (cls.idempotent || key === undefined) return undefined
    const claim = claimOf(id, { account, key, body: JSON.stringify([className, input, maxTokens]) })
    return () => this.#options.claims.claim(claim, cls.latency.deadlineMs)
  }

  #portsOf (cls: ClassConfig): RequestPorts {
    return { ...this.#options.ports, metrics: this.#options.metrics, budget: this.#budgetOf(cls.name) }
  }

  #budgetOf (name: string): RetryBudget {
    let budget = this.#budgets.get(name)
    if (!budget) {
      budget = new RetryBudget()
      this.#budgets.set(name, budget)
    }
    return budget
  }

  #register (task: TokenTask): void {
    this.#open.set(task.id, task)
    this.#storeAnswer(task.id, { account: task.work.account, answer: task })
    this.#options.metrics.open.set(this.#open.size)
    task.onAttempt = () => {
      const handOver = task.describe()
      if (handOver) this.#standby.started(handOver)
    }
    task.onFinish = () => {
      this.#open.delete(task.id)
      if (task.work.cls.streaming) this.#standby.ended(task.id)
      this.#options.metrics.open.set(this.#open.size)
    }
  }

  #storeAnswer (id: RequestId, kept: KeptAnswer): void {
    const { limits } = this.#options.settings
    this.#kept.set(id, kept)
    setTimeout(() => this.#kept.delete(id), limits.answersKeptMs + maxRunTimeMs(kept)).unref()
    if (this.#kept.size > limits.answersKept) this.#evictOldest()
  }

  /** Evicts the oldest finished answer to bound memory. Callers that ask for it later get the outcome `unknown`. */
  #evictOldest (): void {
    for (const [id, { answer }] of this.#kept) {
      if (!answer.final) continue
      this.#kept.delete(id)
      return
    }
  }

  #cancelLocal (id: RequestId, account: AccountId): boolean {
    const task = this.#open.get(id)
    if (!task || task.work.account !== account) return false
    task.post({ type: 'cancelled' })
    return true
  }

  #holderOf (id: RequestId) {
    const daemon = daemonOf(id)
    const holder = daemon && this.#options.membership.resolveHeir(daemon)
    return holder && holder.id !== this.#options.self ? holder : undefined
  }

  #followRemote (id: RequestId, account: AccountId): LiveAnswer | undefined {
    const daemon = daemonOf(id)
    if (daemon === undefined || daemon === this.#options.self) return undefined
    const answer = new RemoteAnswer(id)
    this.#mirrors.add(answer)
    this.#fillMirror(answer, { id, account }, daemon).finally(() => this.#mirrors.delete(answer))
    return answer
  }

  /** Copies an answer from its holder. A request may name a daemon that started too recently for gossip to have reached this one, so it first waits for it. */
  async #fillMirror (answer: RemoteAnswer, args: FollowArgs, daemon: DaemonId): Promise<void> {
    const { membership } = this.#options
    for (let waitedMs = 0; membership.core.member(daemon) === undefined && waitedMs < MEMBER_WAIT_MS; waitedMs += MEMBER_POLL_MS) await delay(MEMBER_POLL_MS)
    const holder = this.#holderOf(args.id)
    if (!holder) return answer.markLost('nobody holds the answer')
    try {
      const found = await membership.links.call(holder, 'follow', args, { timeoutMs: FOLLOW_TIMEOUT_MS, part: (value) => answer.applyPart(value as AnswerPart) })
      if (!found) answer.markLost('the answer is no longer kept')
    } catch {
      answer.cut()
    }
  }

  #serveFollow ({ id, account }: FollowArgs, part: (value: unknown) => void, signal: AbortSignal): Promise<boolean> {
    const kept = this.#kept.get(id)
    if (!kept || kept.account !== account) return Promise.resolve(false)
    const { answer } = kept
    return new Promise((resolve) => {
      let sent = 0
      const send = () => {
        const tokens = answer.tokens.slice(sent)
        part({ offset: sent, tokens, started: answer.started, movedAway: answer.movedAway, final: answer.final } satisfies AnswerPart)
        sent += tokens.length
        if (answer.final || answer.movedAway) finish()
      }
      const finish = () => {
        stop()
        resolve(true)
      }
      const stop = answer.subscribe(send)
      signal.addEventListener('abort', finish, { once: true })
      send()
    })
  }

  async #sendHandOver (heir: { id: DaemonId, address: string }, handOvers: HandOver[]): Promise<Set<RequestId>> {
    if (handOvers.length === 0) return new Set()
    const taken = await this.#options.membership.links.call(heir, 'hand-over', handOvers, { timeoutMs: HAND_OVER_TIMEOUT_MS }).catch(() => [])
    return new Set(taken as RequestId[])
  }

  #takeOver (handOver: HandOver, ownerReleased: boolean): boolean {
    const cls = this.#options.config.inForce?.config.classes.find(({ name }) => name === handOver.className)
    const view = handOver.endpoint === undefined ? undefined : this.#options.ports.table.get(handOver.endpoint)
    if (!cls || (handOver.endpoint !== undefined && !view) || this.#open.has(handOver.id)) return false
    const { id, account, prompt, maxTokens } = handOver
    const task = this.#taskFor({ id, account, cls, model: true, input: prompt, maxTokens, claim: undefined, deadlineInMs: handOver.deadlineInMs })
    this.#register(task)
    task.takeOver(handOver, view, ownerReleased)
    this.onStreamTakenOver()
    return true
  }

  #storeFinished ({ id, account, tokens, final }: FinishedAnswer): void {
    const answer = new RemoteAnswer(as(id))
    answer.applyPart({ offset: 0, tokens, started: true, movedAway: false, final })
    this.#storeAnswer(id, { account, answer })
  }
}

/** Longest time that the request may still run, in milliseconds: retention counts from the end of the answer, which comes no later than the deadline. */
function maxRunTimeMs ({ answer }: KeptAnswer): number {
  return answer instanceof TokenTask ? answer.work.cls.latency.deadlineMs : 0
}
