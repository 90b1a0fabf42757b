/** Carries one request through its life: runs the effects of the core's state machine and feeds it what happens. */
import { AnswerBuffer } from '../../core/answer/index.ts'
import type { WorkClass } from '../../core/config/index.ts'
import type { AccountId, EndpointId, RequestId } from '../../core/ids/index.ts'
import { ClaimError } from '../once/shard_log.ts'
import type { ClaimResult } from '../../core/once/index.ts'
import { AttemptError } from '../../core/outcome/index.ts'
import { newRequest, step, type RequestEffect, type RequestMessage, type RequestState, type StartMode } from '../../core/request/index.ts'
import type { RetryBudget } from '../../core/retry/index.ts'
import { estimateTokens, type EndpointView } from '../../core/routing/index.ts'
import type { Attachment, ModelEngine, PlainService, StreamSink } from '../../endpoints/index.ts'
import { isUrgent, type Dispatcher, type Placement } from './dispatcher.ts'
import { ASSUMED_NOTICE_MS, type EndpointTable } from '../endpoints/endpoint_table.ts'
import { Listeners, type FinalWord, type LiveAnswer } from './live_answer.ts'
import type { Metrics } from '../metrics.ts'

/** What a caller asked for. */
export interface Work {
  id: RequestId
  account: AccountId
  cls: WorkClass
  prompt: string
  maxTokens: number
  /** True for a pool of model engines. */
  model: boolean
  /** Present when the request carries an idempotency key that must be claimed. */
  claim: (() => Promise<ClaimResult>) | undefined
}

/** What a request needs of the daemon. */
export interface RequestPorts {
  table: EndpointTable
  dispatcher: Dispatcher
  budget: RetryBudget
  metrics: Metrics
  engine (view: EndpointView): ModelEngine
  service (view: EndpointView): PlainService
}

/** A request on its way to another daemon. */
export interface HandOver {
  id: RequestId
  account: AccountId
  className: string
  prompt: string
  maxTokens: number
  tokens: readonly string[]
  attempt: number
  /** Undefined while it waits for room. */
  endpoint: EndpointId | undefined
  /** Milliseconds until the deadline. */
  deadlineInMs: number
}

/** One decision, for `status --explain`. */
export interface Decision { atMs: number, text: string }

const CALL_CUT_MS = 250
/** Longer than it takes to be sure that a daemon is gone, in milliseconds. */
const STREAM_KEPT_MS = 30_000
const PRIORITY_URGENT = 10
const PRIORITY_OTHER = 1

/** One request. Owns its answer, its timer and its attachment to an endpoint. */
export class RequestTask implements LiveAnswer {
  readonly work: Work
  readonly answer = new AnswerBuffer()
  readonly acceptedAtMs = Date.now()
  readonly decisions: Decision[] = []
  final: FinalWord | undefined
  movedAway = false
  /** Set before a move whose KV cache is already at the target. */
  kvHandle: string | undefined
  /** Called once, when the final word is known. */
  onFinish: () => void = () => {}
  /** Called after each attempt of a stream began. */
  onAttempt: () => void = () => {}
  /** True while its KV cache is on its way; a new plan leaves it alone. */
  exporting = false
  readonly #ports: RequestPorts
  readonly #listeners = new Listeners()
  readonly #inbox: RequestMessage[] = []
  #state: RequestState
  #handling = false
  #deadlineTimer: NodeJS.Timeout
  #attachment: Attachment | undefined
  #placement: Placement | undefined
  #loadReported = false
  #firstTokenAtMs: number | undefined
  /** True until the engine gave a word of a stream whose daemon is gone: then it may not be computed again. */
  #onlyResume = false

  constructor (work: Work, ports: RequestPorts, options: { deadlineInMs?: number } = {}) {
    this.work = work
    this.#ports = ports
    const deadlineInMs = options.deadlineInMs ?? work.cls.latency.deadlineMs
    this.#state = newRequest({
      id: work.id,
      idempotent: work.cls.idempotent,
      movable: work.model,
      cancelOnLeave: work.cls.cancelOnLeave,
      claims: work.claim !== undefined,
      deadlineAtMs: this.acceptedAtMs + deadlineInMs
    })
    this.#deadlineTimer = setTimeout(() => this.post({ type: 'deadline' }), deadlineInMs)
  }

  get id (): RequestId { return this.work.id }
  get state (): RequestState { return this.#state }
  get tokens (): readonly string[] { return this.answer.tokens }
  get started (): boolean { return this.#state.attempt > 0 }
  /** Tokens in the KV cache of the stream. */
  get kvTokens (): number { return estimateTokens(this.work.prompt) + this.answer.length }
  /** The endpoint that runs it now. */
  get runningAt (): EndpointId | undefined { return this.#state.phase === 'running' ? this.#state.endpoint : undefined }

  subscribe (listener: () => void): () => void {
    const stop = this.#listeners.add(listener)
    return () => {
      stop()
      if (this.#listeners.size === 0 && !this.final && !this.movedAway) this.post({ type: 'caller-left' })
    }
  }

  /** Takes one message; messages that arrive while one is handled wait their turn. */
  post (msg: RequestMessage): void {
    this.#inbox.push(msg)
    if (this.#handling) return
    this.#handling = true
    for (let next = this.#inbox.shift(); next; next = this.#inbox.shift()) this.#handle(next)
    this.#handling = false
  }

  /** Notes a decision about this request. */
  note (text: string): void {
    this.decisions.push({ atMs: Date.now(), text })
  }

  /** Describes the running stream for another daemon; undefined when there is none that could be carried on. */
  describe (): HandOver | undefined {
    const { work } = this
    const { phase, endpoint, attempt, traits } = this.#state
    const running = phase === 'running' && endpoint !== undefined && !this.exporting
    const waiting = phase === 'placing' && attempt > 0
    if (!work.model || (!running && !waiting)) return undefined
    return {
      id: work.id,
      account: work.account,
      className: work.cls.name,
      prompt: work.prompt,
      maxTokens: work.maxTokens,
      tokens: [...this.answer.tokens],
      attempt,
      endpoint,
      deadlineInMs: traits.deadlineAtMs - Date.now()
    }
  }

  /**
   * Stops reading the stream and describes it, for another daemon to carry on.
   *
   * Nothing more may reach the callers from here: if the other daemon had to compute the answer again from a point that callers are
   * already past, they would be given a torn one.
   */
  offer (): HandOver | undefined {
    const handed = this.describe()
    if (handed) this.#attachment?.detach()
    return handed
  }

  /** The other daemon did not take the stream: reads it again here. */
  keep (): void {
    const { endpoint, attempt } = this.#state
    const view = endpoint === undefined ? undefined : this.#ports.table.get(endpoint)
    if (this.#state.phase !== 'running' || !view) return
    this.#attachment = this.#ports.engine(view).resume(this.#streamId(attempt), this.answer.length, this.#sink(view.id, attempt))
  }

  /** Stops at once without a word to anybody. */
  abandon (): void {
    this.#attachment?.detach()
    clearTimeout(this.#deadlineTimer)
    this.#state = { ...this.#state, phase: 'done' }
  }

  /** Another daemon took the stream over: let go of it here, without stopping it. */
  letGo (): void {
    clearTimeout(this.#deadlineTimer)
    if (this.#placement) this.#ports.dispatcher.forget(this.#placement)
    if (this.#state.endpoint !== undefined) this.#ports.table.ended(this.#state.endpoint, false)
    this.movedAway = true
    this.#state = { ...this.#state, phase: 'done' }
    this.#listeners.notify()
  }

  /**
   * Carries on another daemon's stream. `sure` when it handed the stream over and let go; false when it is gone, and its callers may have
   * read further than its last word here.
   */
  takeOver (handed: HandOver, view: EndpointView | undefined, sure: boolean): void {
    this.#onlyResume = !sure
    this.#state = { ...this.#state, phase: view ? 'running' : 'placing', attempt: handed.attempt, endpoint: handed.endpoint, mayHaveRun: true }
    this.answer.replaceAttempt(handed.attempt)
    this.answer.add({ attempt: handed.attempt, offset: 0, tokens: handed.tokens })
    if (!view) {
      this.note(`taken over at token ${handed.tokens.length}, waiting for room`)
      return this.#place([])
    }
    this.#ports.table.started(view.id, 0)
    this.note(`taken over at token ${handed.tokens.length} on ${view.id}`)
    this.#attachment = this.#ports.engine(view).resume(this.#streamId(handed.attempt), handed.tokens.length, this.#sink(view.id, handed.attempt))
  }

  #handle (msg: RequestMessage): void {
    const { state, effects } = step(this.#state, msg, Date.now())
    this.#state = state
    for (const effect of effects) this.#run(effect)
  }

  #run (effect: RequestEffect): void {
    switch (effect.type) {
      case 'claim': return this.#claim()
      case 'place': return this.#place(effect.avoid)
      case 'start': return this.#start(effect.endpoint, effect.attempt, effect.mode)
      case 'stop': return this.#stop(effect.endpoint, effect.attempt)
      case 'finish': return this.#finish({ outcome: effect.outcome, reason: effect.reason, retryAfterMs: effect.retryAfterMs })
    }
  }

  #claim (): void {
    this.work.claim!().then((result) => {
      this.#ports.metrics.claims.inc({ result: result.type })
      if (result.type === 'claimed') return this.post({ type: 'claimed' })
      this.#finish(result.type === 'repeated'
        ? { outcome: 'not-run', reason: 'idempotency key was used before', retryAfterMs: undefined, repeats: result.request }
        : { outcome: 'not-run', reason: 'idempotency key was used before with another body', retryAfterMs: undefined, otherBody: true })
    }, (err: Error) => {
      this.#ports.metrics.claims.inc({ result: 'failed' })
      const reason = err instanceof ClaimError ? err.message : 'Cannot claim key: its owner did not answer'
      this.post({ type: 'claim-failed', outcome: 'not-run', reason, retryAfterMs: 1000 })
    })
  }

  #place (avoid: readonly EndpointId[]): void {
    this.#placement = {
      account: this.work.account,
      cls: this.work.cls,
      prompt: this.work.prompt,
      doneTokens: this.answer.length,
      expectedTokens: this.work.maxTokens - this.answer.length,
      acceptedAtMs: this.acceptedAtMs,
      deadlineAtMs: this.#state.traits.deadlineAtMs,
      resumed: this.#state.mayHaveRun,
      avoid,
      placed: (view, route) => {
        this.note(`placed on ${view.id}: first token in ${Math.round(route.firstTokenMs)} ms, ${route.meetsTarget ? 'within' : 'over'} target`)
        this.post({ type: 'placed', endpoint: view.id })
      },
      refused: (reason, retryAfterMs) => this.post({ type: 'refused', reason, retryAfterMs })
    }
    this.#ports.dispatcher.place(this.#placement)
  }

  #start (endpoint: EndpointId, attempt: number, mode: StartMode): void {
    const view = this.#ports.table.get(endpoint)
    this.answer.replaceAttempt(attempt)
    if (!view) return this.#failed(attempt, endpoint, new AttemptError('Cannot start: endpoint is not listed', { point: 'before-send' }))
    this.#ports.metrics.attempts.inc({ mode })
    this.#loadReported = false
    this.#ports.table.started(endpoint, mode === 'import' ? 0 : this.kvTokens)
    this.note(`attempt ${attempt} on ${endpoint}: ${mode} from token ${this.answer.length}`)
    if (this.work.model) this.#startStream(view, attempt, mode)
    else this.#startCall(view, attempt)
    this.onAttempt()
    this.#listeners.notify()
  }

  #startStream (view: EndpointView, attempt: number, mode: StartMode): void {
    const kvHandle = mode === 'import' ? this.kvHandle : undefined
    this.kvHandle = undefined
    this.#attachment = this.#ports.engine(view).start({
      streamId: this.#streamId(attempt),
      prompt: this.work.prompt,
      done: [...this.answer.tokens],
      maxTokens: this.work.maxTokens,
      keepMs: STREAM_KEPT_MS,
      priority: isUrgent(this.work.cls) ? PRIORITY_URGENT : PRIORITY_OTHER,
      ...(kvHandle !== undefined && { kvHandle })
    }, this.#sink(view.id, attempt))
  }

  #startCall (view: EndpointView, attempt: number): void {
    const timeoutMs = Math.max(CALL_CUT_MS, this.#state.traits.deadlineAtMs - Date.now())
    this.#ports.service(view).call({ requestId: this.id, input: this.work.prompt, timeoutMs }).then((text) => {
      const sink = this.#sink(view.id, attempt)
      sink.onChunk(0, [text])
      sink.onEnd(1)
    }, (err: AttemptError) => this.#failed(attempt, view.id, err))
  }

  #sink (endpoint: EndpointId, attempt: number): StreamSink {
    return {
      onChunk: (offset, tokens) => {
        this.#onlyResume = false
        this.#ports.metrics.chunks.inc({ verdict: this.answer.add({ attempt, offset, tokens }) })
        this.#firstToken()
        this.#listeners.notify()
      },
      onEnd: (total) => this.#ended(endpoint, attempt, total),
      onError: (err) => this.#failed(attempt, endpoint, err),
      onLoad: (load) => {
        this.#ports.table.loaded(endpoint, load)
        this.#loadReported = true
      }
    }
  }

  #firstToken (): void {
    if (this.#firstTokenAtMs !== undefined) return
    this.#firstTokenAtMs = Date.now()
    this.#ports.metrics.firstToken.observe({ class: this.work.cls.name }, this.#firstTokenAtMs - this.acceptedAtMs)
  }

  #ended (endpoint: EndpointId, attempt: number, total: number): void {
    if (attempt !== this.#state.attempt) return
    this.answer.end(attempt, total)
    if (!this.answer.whole) return this.#failed(attempt, endpoint, new AttemptError('Cannot use answer: it is not whole', { point: 'torn-answer' }))
    this.#ports.table.succeeded(endpoint)
    this.post({ type: 'ended', attempt })
  }

  #failed (attempt: number, endpoint: EndpointId, err: AttemptError): void {
    if (attempt !== this.#state.attempt || this.#state.phase !== 'running') return
    const { table, budget, metrics } = this.#ports
    const view = table.get(endpoint)
    if (err.point === 'endpoint-leaving' && view) table.leaving([view.hostId], Date.now() + ASSUMED_NOTICE_MS, 'refusal')
    // Leaving an endpoint that is gone is no storm; everything else is paid for out of the class's retry budget.
    const retryGranted = !this.#onlyResume && (table.isGone(endpoint) || budget.spend())
    if (!retryGranted) metrics.retriesDenied.inc({ class: this.work.cls.name })
    table.failed(endpoint)
    table.ended(endpoint, false)
    this.note(`attempt ${attempt} failed: ${err.point}`)
    this.post({ type: 'failed', attempt, point: err.point, retryGranted })
  }

  #stop (endpoint: EndpointId, attempt: number): void {
    this.#attachment?.detach()
    this.#attachment = undefined
    this.#ports.table.ended(endpoint, this.#loadReported)
    const view = this.#ports.table.get(endpoint)
    if (!view || !this.work.model) return this.post({ type: 'stopped', attempt, confirmed: false })
    const from = this.answer.length
    this.#ports.engine(view).cancel(this.#streamId(attempt), from).then((report) => {
      if (report.stopped) this.answer.add({ attempt, offset: from, tokens: report.tokens })
      this.post({ type: 'stopped', attempt, confirmed: report.stopped })
    }, () => this.post({ type: 'stopped', attempt, confirmed: false }))
  }

  #finish (final: FinalWord): void {
    clearTimeout(this.#deadlineTimer)
    if (this.final) return
    this.final = final
    this.#attachment = undefined
    if (this.#placement) this.#ports.dispatcher.forget(this.#placement)
    if (final.outcome === 'answered') this.#ports.table.ended(this.#state.endpoint!, this.#loadReported)
    this.#state = { ...this.#state, phase: 'done', outcome: final.outcome }
    this.note(`${final.outcome}: ${final.reason}`)
    // A repeated key is answered by the request that it repeats: counted as not run, it would look like a missed target.
    const repeated = final.repeats !== undefined || final.otherBody === true
    this.#ports.metrics.requests.inc({ class: this.work.cls.name, outcome: repeated ? 'repeated' : final.outcome })
    this.#ports.metrics.wholeAnswer.observe({ class: this.work.cls.name }, Date.now() - this.acceptedAtMs)
    this.onFinish()
    this.#ports.dispatcher.pump()
    this.#listeners.notify()
  }

  #streamId (attempt: number): string {
    return `${this.id}.${attempt}`
  }
}
