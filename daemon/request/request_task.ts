/** Drives one request: executes the effects of the core's state machine and feeds events back to it. */
import { AnswerBuffer, isEventStream, type AnswerBufferOptions, type AnswerHead, type Chunk, type WholeAnswer } from '../../core/answer/index.ts'
import type { DaemonId, EndpointId, EndpointVersion, PoolName, RequestId } from '../../core/ids/index.ts'
import { AttemptError, outcomeAt, type FailurePoint, type Outcome } from '../../core/outcome/index.ts'
import { canMove, canRetry, isFreeRetry, newRequest, step, type AttemptProgress, type RequestEffect, type RequestMessage, type RequestState, type StartMode } from '../../core/request/index.ts'
import { type EndpointView, type Route } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { maxHeldTokens, sharedParts } from '../../core/work/index.ts'
import { mayContinueAt, type StreamVersion } from '../../core/streams/index.ts'
import type { SelectedDelegate } from '../../core/delegation/index.ts'
import type { Attachment, AttemptRunner, AttemptSink } from '../../endpoints/index.ts'
import type { SentWork } from '../endpoints/endpoint_table.ts'
import type { RequestEvents } from '../log/index.ts'
import { ClaimError } from '../once/shard_log.ts'
import type { Placement } from './placement.ts'
import { AttemptTracker } from './attempt_tracker.ts'
import { Backups, type BackupSpec } from './_backups.ts'
import { DelegatedAttempts } from './_delegated_attempts.ts'
import type { DelegatedSink, DelegatedSpec } from './delegated_run.ts'
import { AnswerRecord } from './_answer_record.ts'
import { AnswerFlow } from './_answer_flow.ts'
import { Listeners, type FinalResult } from './live_answer.ts'
import type { MoveObserver } from './move_observer.ts'
import { RequestDecisions } from './request_decisions.ts'
import { recordDeparture, recordFailedAttempt, recordHeld } from './_attempt_failure.ts'
import { repeatedKeyResult } from './_claim_outcome.ts'
import { attemptFailedEvent, attemptStartedEvent, requestEndedEvent, spilledEvent } from './_request_events.ts'
import { QuarantineCheck } from './_quarantine_check.ts'
import { RequestMeter } from './_request_meter.ts'
import { StreamBinding } from './_stream_binding.ts'
import { QUARANTINED_REASON, requestTraits, type Decision, type RequestPorts, type RequestWork } from './work.ts'

/** Options of {@linkcode RequestTask}. */
export interface RequestTaskOptions<P> extends AnswerBufferOptions<P> {
  work: RequestWork
  runner: AttemptRunner<P>
  ports: RequestPorts
  /** Milliseconds until the deadline. Default: the deadline of the request's class. */
  deadlineInMs?: number
  /** Where the stream began that the request continues. Default: its caller has no event of it. */
  boundTo?: StreamVersion | undefined
  /** Sends the request to another daemon, which runs it. Default: none may run it. */
  delegate?: (to: DaemonId, spec: DelegatedSpec, sink: DelegatedSink<P>) => Attachment
  /** True if the request is counted in the metrics of requests. Default: true. */
  counted?: boolean
}

/** Reason of the end of a request after an error of this daemon. */
const BROKEN_REASON = 'the daemon failed'
/** Lowest status code that does not indicate success. */
const FIRST_REDIRECT_STATUS = 300

/** One request. Owns its answer, its deadline timer and its connection to an endpoint. */
export class RequestTask<P = string> {
  readonly work: RequestWork
  readonly answer: AnswerBuffer<P>
  readonly acceptedAtMs = steadyNow()
  readonly #decisions: RequestDecisions
  /** Status and headers from the attempt that delivered the first piece, if the protocol has them. */
  head: AnswerHead | undefined
  /** Attempt that delivered the last piece. */
  #lastPieceAttempt = 0
  /** The last error response sent by an endpoint. */
  failureAnswer: WholeAnswer | undefined
  final: FinalResult | undefined
  /** Pauses the answer while its caller does not take it. */
  readonly flow = new AnswerFlow(() => this.attachment)
  movedAway = false
  /** Set before a migration whose KV cache is already at the target. */
  kvHandle: string | undefined
  /** Called once, when the final result is known. */
  onFinish: () => void = () => {}
  /** Called after each attempt was sent. */
  onAttempt: () => void = () => {}
  /** Called once, on the first sign that an endpoint has begun to work on the request. */
  onBegun: () => void = () => {}
  /** Follows the request while its stream moves; undefined while it does not. */
  mover: MoveObserver | undefined
  /** True while the KV cache is being exported. Migration plans skip the request meanwhile. */
  exporting = false
  protected readonly ports: RequestPorts
  protected lifecycle: RequestState
  protected attachment: Attachment | undefined
  protected readonly listeners = new Listeners()
  readonly #runner: AttemptRunner<P>
  /** Undefined if no other daemon may run the request. */
  readonly #delegated: DelegatedAttempts<P> | undefined
  readonly #inbox: RequestMessage[] = []
  #handling = false
  readonly #deadlineTimer: NodeJS.Timeout
  #placement: Placement | undefined
  #tracker: AttemptTracker
  readonly #backups: Backups<P>
  #route: Route | undefined
  readonly #meter: RequestMeter
  readonly #record = new AnswerRecord()
  #hasBegun = false
  /** Binds the stream to the version of its first event. */
  readonly binding: StreamBinding
  readonly #quarantine: QuarantineCheck
  /** Version of the endpoint that runs the current attempt. */
  #runningVersion: EndpointVersion | undefined

  constructor (options: RequestTaskOptions<P>) {
    const { work, runner, ports } = options
    this.work = work
    this.#quarantine = new QuarantineCheck(work, ports)
    this.ports = ports
    this.#decisions = new RequestDecisions(work.id)
    this.#tracker = this.#newTracker()
    this.#backups = this.#createBackups()
    this.#runner = runner
    this.#meter = new RequestMeter(ports.metrics, { cls: work.cls, acceptedAtMs: this.acceptedAtMs, counted: options.counted ?? true })
    this.answer = new AnswerBuffer<P>(options)
    this.binding = new StreamBinding(options.boundTo)
    this.#delegated = options.delegate && this.#delegatedAttempts(options.delegate)
    const deadlineInMs = options.deadlineInMs ?? work.cls.latency.deadlineMs
    this.lifecycle = newRequest(requestTraits(work, this.acceptedAtMs + deadlineInMs))
    this.#deadlineTimer = setTimeout(() => this.post({ type: 'deadline' }), deadlineInMs)
  }

  get id (): RequestId { return this.work.id }
  get state (): RequestState { return this.lifecycle }
  get started (): boolean { return this.lifecycle.attempt > 0 }
  /** Estimated number of tokens in the stream's KV cache, from the pieces received so far. */
  get kvTokens (): number { return this.work.demand.promptTokens + this.answer.length }
  /** The endpoint that runs the current attempt. */
  get runningAt (): EndpointId | undefined { return this.lifecycle.phase === 'running' ? this.lifecycle.endpoint : undefined }

  /** Time since the running attempt was sent, in milliseconds; undefined while none runs. */
  get sentForMs (): number | undefined { return this.#tracker.sentAtMs === undefined ? undefined : Math.round(steadyNow() - this.#tracker.sentAtMs) }

  /** Progress of the running attempt; undefined while none runs. */
  get progress (): AttemptProgress | undefined { return this.lifecycle.phase === 'running' ? this.#tracker.progress : undefined }

  /**
   * Handles a running attempt that has gone silent: starts a backup at another endpoint, if a retry is allowed. A non-idempotent request gets none, since silence does not prove that it
   * isn't running.
   */
  handleStall (): void { this.#backups.request({ mayRetry: this.mayRetryElsewhere }) }

  /**
   * Handles an attempt whose endpoint cannot be reached any more: retries it another way if that is allowed. Otherwise its answer is waited for until `isFinal` is set, since the path
   * may recover.
   */
  pathLost ({ isFinal }: { isFinal: boolean }): void {
    const { attempt, endpoint } = this.lifecycle
    const { table, budget, crashes } = this.ports
    if (endpoint === undefined || this.lifecycle.phase !== 'running') return
    const point: FailurePoint = this.attachment?.sent === false ? 'connect-timeout' : 'timeout-after-send'
    const repeatable = this.mayRetryElsewhere && canRetry(this.lifecycle, point)
    // The path may recover: an attempt is given up early only for one that starts at once, and not for a backup that has not answered.
    if (!isFinal && (this.lifecycle.backup !== undefined || !(repeatable && this.ports.dispatcher.canStartNow(this.#placementOf([...this.lifecycle.avoid, endpoint]))))) return
    const granted = repeatable && (this.lifecycle.backup !== undefined || isFreeRetry(this.lifecycle, point) || budget.tryWithdraw(table.isLeavingOrGone(endpoint)))
    if (!isFinal && !granted) return
    this.attachment?.detach()
    crashes.failed({ id: endpoint, view: table.get(endpoint) }, point, this.#quarantine.watchedRun(this.#tracker.sentAtMs))
    this.#recordFailure(endpoint, new AttemptError('Cannot wait: the endpoint cannot be reached', { point }), { attempt, repeat: granted ? 'allowed' : repeatable ? 'over-budget' : 'not-allowed' })
  }

  /** Returns false if the quarantine keeps the request from an endpoint. */
  accepts (view: EndpointView): boolean { return this.#quarantine.heldAt([view]) === undefined }

  /** Sends a resumable stream of which the caller has no event yet to another endpoint as well, if its current one runs a version that must receive no more work. The first of both to answer goes on. */
  moveOffVersion (pool: PoolName, version: EndpointVersion): void {
    const view = this.runningAt && this.ports.table.get(this.runningAt)
    const isAffected = view?.pool === pool && view.version === version && !this.binding.version
    if (isAffected && canMove(this.lifecycle)) this.#backups.request({ mayRetry: this.mayRetryElsewhere })
  }

  /** Calls the listener after each change. The caller counts as gone once the last listener is removed. */
  subscribe (listener: () => void): () => void {
    const stop = this.listeners.add(listener)
    return () => {
      stop()
      if (this.listeners.size === 0 && !this.final && !this.movedAway) this.post({ type: 'caller-left' })
    }
  }

  /** Processes a message. Messages posted while another one is processed are queued. An error while one is processed ends the request, and nothing else. */
  post (msg: RequestMessage): void {
    this.#inbox.push(msg)
    if (this.#handling) return
    this.#handling = true
    try {
      for (let next = this.#inbox.shift(); next; next = this.#inbox.shift()) this.#handle(next)
    } catch (err) {
      this.#inbox.length = 0
      this.#breakOff(err as Error)
    } finally {
      this.#handling = false
    }
  }

  /** The decision log of the request. */
  get decisions (): Decision[] { return this.#decisions.all }

  /** Logs a decision about the request and appends it to the decision log. */
  recordDecision<E extends keyof RequestEvents> (event: E, fields: RequestEvents[E]): void {
    this.#decisions.add(event, fields)
  }

  /** Stops at once and notifies nobody. */
  abandon (): void {
    this.attachment?.detach()
    this.deactivate()
  }

  /** Accounts for an attempt that another daemon started. */
  protected trackTakenOver (view: EndpointView): void {
    this.#runningVersion = view.version
    this.#trackSent(view, { lane: 'normal', tokens: 0, heldTokens: maxHeldTokens(this.work.demand) })
  }

  /** Stops all activity for the request, because this daemon no longer owns it. */
  protected deactivate (): void {
    this.#tracker.end()
    this.#backups.end()
    clearTimeout(this.#deadlineTimer)
    if (this.#placement) this.ports.dispatcher.remove(this.#placement)
    this.lifecycle = { ...this.lifecycle, phase: 'done' }
  }

  /** False while a failed attempt must not be retried elsewhere, regardless of the retry budget. */
  protected get mayRetryElsewhere (): boolean { return true }

  /** Called when a piece arrives. */
  protected onPiece (): void {}

  #handle (msg: RequestMessage): void {
    const { state, effects } = step(this.lifecycle, msg, steadyNow())
    this.lifecycle = state
    for (const effect of effects) this.#execute(effect)
  }

  #execute (effect: RequestEffect): void {
    switch (effect.type) {
      case 'claim': return this.#claim()
      case 'place': return this.place(effect.avoid)
      case 'start': return this.#start(effect.endpoint, effect.attempt, effect.mode)
      case 'delegate': return this.#startDelegated(effect.attempt)
      case 'start-backup': return this.#startBackup(effect.endpoint, effect.attempt)
      case 'adopt-backup': return this.#adoptBackup(effect.attempt)
      case 'stop-backup': return this.#stopBackup(effect.attempt)
      case 'stop': return effect.endpoint === undefined ? this.#stopDelegated(effect.attempt) : this.#stop(effect.endpoint, effect.attempt)
      case 'finish': return this.#finish({ outcome: effect.outcome, reason: effect.reason, retryAfterMs: effect.retryAfterMs ?? this.#backOffMs(effect.outcome) })
    }
  }

  #claim (): void {
    this.work.claim!().then((result) => {
      this.ports.metrics.claims.inc({ result: result.type })
      if (result.type === 'claimed') return this.post({ type: 'claimed' })
      this.#finish(repeatedKeyResult(result))
    }, (err: Error) => {
      this.ports.metrics.claims.inc({ result: 'failed' })
      const reason = err instanceof ClaimError ? err.message : 'Cannot claim key: its owner did not answer'
      this.post({ type: 'claim-failed', outcome: 'not-run', reason, retryAfterMs: 1000 })
    })
  }

  /** Asks the dispatcher for an endpoint, unless the request is quarantined. */
  protected place (avoid: readonly EndpointId[]): void {
    this.#backups.withdraw()
    if (this.#refuseIfQuarantined()) return
    this.#placement = this.#placementOf(avoid)
    this.ports.dispatcher.place(this.#placement)
  }

  #placementOf (avoid: readonly EndpointId[]): Placement {
    const { work, answer } = this
    return {
      account: work.account,
      cls: work.cls,
      pool: work.pool,
      demand: work.demand,
      bytes: work.bytes ?? 0,
      doneTokens: answer.length,
      acceptedAtMs: this.acceptedAtMs,
      deadlineAtMs: this.lifecycle.traits.deadlineAtMs,
      resumed: this.lifecycle.mayHaveRun,
      boundTo: this.binding.version,
      avoid,
      accepts: (view) => this.accepts(view),
      placed: (view, route) => this.#onPlaced(view, route),
      ...(this.#delegated && { delegated: (to: SelectedDelegate) => this.#onDelegated(to) }),
      avoidDelegates: this.lifecycle.avoidDelegates,
      refused: (reason, retryAfterMs) => this.#onRefused(reason, retryAfterMs),
      noRoom: (wait) => this.recordDecision('request-no-room', { pool: work.pool, ...wait }),
      waits: (queue) => this.recordDecision('request-waits', { pool: work.pool, ...queue }),
      diverted: (view, perS) => this.recordDecision('request-diverted', { endpoint: view.id, perS }),
      spilled: (view, crossing) => this.recordDecision('request-spilled', spilledEvent(view, { work, crossing, metrics: this.ports.metrics }))
    }
  }

  /** Must be called when the set of quarantined requests changes. Ends this request if it is now quarantined and no endpoint has begun to answer it. */
  quarantineChanged (): void {
    const { phase } = this.lifecycle
    const view = this.runningAt && this.ports.table.get(this.runningAt)
    if (phase === 'placing' || (phase === 'running' && this.progress?.lastPieceAtMs === undefined)) this.#refuseIfQuarantined(view && [view])
  }

  #refuseIfQuarantined (views?: readonly EndpointView[]): boolean {
    const held = this.#quarantine.heldAt(views)
    if (!held) return false
    this.recordDecision('request-held', this.#quarantine.refused(held))
    this.post({ type: 'quarantined', reason: QUARANTINED_REASON, retryAfterMs: held.forMs })
    return true
  }

  /** Checks the quarantine again, since the request may have been queued since the last check. */
  #onPlaced (view: EndpointView, route: Route): void {
    if (this.#refuseIfQuarantined([view])) return
    this.#route = route
    this.post({ type: 'placed', endpoint: view.id })
  }

  #onRefused (reason: string, retryAfterMs: number): void {
    const { metrics } = this.ports
    metrics.turnedAway.inc({ class: metrics.labelOf(this.work.cls.name), reason })
    this.post({ type: 'refused', reason, retryAfterMs })
  }

  #onDelegated (to: SelectedDelegate): void {
    if (this.#refuseIfQuarantined()) return
    this.#delegated!.selected = to
    this.post({ type: 'delegated', to: to.id })
  }

  #startDelegated (attempt: number): void {
    this.attachment = this.#delegated!.start(attempt)
    this.onAttempt()
    this.flow.started()
    this.listeners.notify()
  }

  #delegatedAttempts (delegate: NonNullable<RequestTaskOptions<P>['delegate']>): DelegatedAttempts<P> {
    return new DelegatedAttempts<P>({
      work: this.work,
      ports: this.ports,
      answer: this.answer,
      delegate,
      state: () => this.lifecycle,
      boundTo: () => this.binding.version,
      recordDecision: (event, fields) => this.recordDecision(event, fields),
      canStartWithout: (delegate) => this.ports.dispatcher.canStartNow({ ...this.#placementOf(this.lifecycle.avoid), avoidDelegates: [...this.lifecycle.avoidDelegates, delegate] }),
      mayComplete: (attempt, head) => this.#mayComplete(attempt, head),
      onChunk: (chunk, { head, version }) => this.#addChunk(chunk, { head, version }),
      onWhole: (head) => {
        this.#markBegun()
        this.#record.ended(head)
        this.head ??= head
        this.post({ type: 'ended', attempt: this.lifecycle.attempt })
      },
      onRefused: (reason, retryAfterMs) => this.post({ type: 'refused', reason, retryAfterMs }),
      onFailed: (err, { reached, retryGranted }) => {
        this.failureAnswer = err.answer
        if (outcomeAt(err.point) === 'unknown') this.#markBegun()
        this.attachment = undefined
        this.post({ type: 'failed', attempt: this.lifecycle.attempt, point: err.point, retryGranted, reached })
      }
    })
  }

  #stopDelegated (attempt: number): void {
    this.attachment?.detach()
    this.attachment = undefined
    this.post({ type: 'stopped', attempt, confirmed: false })
  }

  #start (endpoint: EndpointId, attempt: number, mode: StartMode): void {
    const view = this.ports.table.get(endpoint)
    if (mode !== 'import') this.mover?.ended()
    this.answer.replaceAttempt(attempt)
    if (!view) return this.#onAttemptError(attempt, endpoint, new AttemptError('Cannot start: endpoint is not listed', { point: 'before-send' }))
    if (!mayContinueAt(this.binding.version, view)) return this.#onAttemptError(attempt, endpoint, new AttemptError(`Cannot start: the endpoint runs ${view.version}, the stream began at ${this.binding.version!.version}`, { point: 'before-send' }))
    this.#runningVersion = view.version
    this.attachment = this.#send(view, { attempt, mode, route: this.#takeRoute(), tracker: this.#tracker, sink: this.sink(view.id, attempt) })
    this.flow.started()
    this.listeners.notify()
  }

  /** Sends an attempt to an endpoint. */
  #send (view: EndpointView, { attempt, mode, route, tracker, sink }: BackupSpec<P> & { mode: StartMode }): Attachment {
    this.ports.metrics.attempts.inc({ mode })
    const lane = route?.lane ?? (this.work.cls.urgent ? 'urgent' : 'normal')
    this.recordDecision('attempt-started', attemptStartedEvent(view, { attempt, mode, lane, fromPiece: this.answer.length, route, table: this.ports.table }))
    this.#trackSent(view, { lane, tokens: mode === 'import' ? 0 : route?.uncachedTokens ?? this.kvTokens, heldTokens: maxHeldTokens(this.work.demand) }, { route, tracker })
    const kvHandle = mode === 'import' ? this.kvHandle : undefined
    this.kvHandle = undefined
    const attachment = this.#runner.start(view, {
      attempt,
      mode,
      lane,
      done: this.answer.pieces,
      from: this.answer.length,
      deadlineInMs: this.lifecycle.traits.deadlineAtMs - steadyNow(),
      kvHandle
    }, sink)
    this.ports.limits?.started(view)
    this.onAttempt()
    return attachment
  }

  #startBackup (endpoint: EndpointId, attempt: number): void {
    this.#backups.start(endpoint, attempt)
    this.listeners.notify()
  }

  #adoptBackup (attempt: number): void {
    const { view, tracker, attachment } = this.#backups.adopt(attempt)
    this.#tracker.end()
    this.#tracker = tracker
    this.attachment = attachment
    this.#runningVersion = view.version
    this.answer.replaceAttempt(attempt)
    this.flow.started()
    this.listeners.notify()
  }

  #stopBackup (attempt: number): void {
    const view = this.#backups.stop(attempt)
    if (view && this.lifecycle.traits.movable) this.#runner.stop(view, attempt, this.answer.length).catch(() => { /* the endpoint ends a run that nobody reads */ })
  }

  #createBackups (): Backups<P> {
    return new Backups<P>({
      work: this.work,
      ports: this.ports,
      quarantine: this.#quarantine,
      state: () => this.lifecycle,
      placement: (avoid) => this.#placementOf(avoid),
      newTracker: () => this.#newTracker(),
      sink: (endpoint, attempt) => this.sink(endpoint, attempt),
      send: (view, spec) => this.#send(view, { ...spec, mode: 'prefill' }),
      mayComplete: (attempt, head) => this.#mayComplete(attempt, head),
      post: (msg) => this.post(msg),
      recordDecision: (event, fields) => this.recordDecision(event, fields),
      logFailure: (endpoint, err, failure) => this.#logFailure(endpoint, err, failure),
      pieces: () => this.answer.length
    })
  }

  #newTracker (): AttemptTracker {
    const tracker = new AttemptTracker(this.ports.table)
    tracker.onFirstAnswer = (endpoint, times) => this.#reportFirstAnswer(endpoint, times)
    return tracker
  }

  #trackSent (view: EndpointView, work: SentWork, { route, tracker }: Pick<BackupSpec<P>, 'route' | 'tracker'> = { route: this.#takeRoute(), tracker: this.#tracker }): void {
    tracker.recordSent(view.id, work, route)
  }

  #takeRoute (): Route | undefined {
    const route = this.#route
    this.#route = undefined
    return route
  }

  /** Creates the sink that receives the output of an attempt. */
  protected sink (endpoint: EndpointId, attempt: number): AttemptSink<P> {
    let head: AnswerHead | undefined
    const sentAtMs = steadyNow()
    return {
      onSignals: (signals) => this.ports.signals?.record(endpoint, signals, sentAtMs),
      onHead: (arrived) => { head = arrived },
      onWithoutId: () => {
        this.#record.withoutId()
        if (attempt === this.lifecycle.attempt) {
          this.#tracker.recordOtherBytes()
          this.#backups.currentGoesOn()
        } else this.ports.table.recordActivity(endpoint)
      },
      onChunk: (offset, pieces) => {
        if (!this.#mayComplete(attempt, head)) return this.#rejectAnswer(attempt, endpoint)
        if (attempt === this.lifecycle.attempt) {
          this.#tracker.recordPiece(this.flow.readingSinceMs)
          this.#backups.currentGoesOn()
        }
        this.#addChunk({ attempt, offset, pieces }, { head, version: this.#runningVersion })
      },
      onEnd: (total, { explicit = true, rest } = {}) => this.#onAttemptEnd(endpoint, attempt, { total, head, explicit, rest }),
      onError: (err) => this.#onAttemptError(attempt, endpoint, err),
      onLoad: (load) => this.ports.table.applyLoadReport(endpoint, load)
    }
  }

  /** Returns false for an answer without events if the caller has pieces of an earlier attempt, and the answer would be appended to them. */
  #mayComplete (attempt: number, head: AnswerHead | undefined): boolean {
    const isAppended = this.answer.length > this.answer.from && attempt !== this.#lastPieceAttempt
    return !isAppended || head === undefined || isEventStream(head)
  }

  #rejectAnswer (attempt: number, endpoint: EndpointId): void {
    this.attachment?.detach()
    this.#onAttemptError(attempt, endpoint, new AttemptError('Cannot use answer: it does not continue the events that were passed on', { point: 'foreign-answer' }))
  }

  #addChunk (chunk: Chunk<P>, { head, version }: { head: AnswerHead | undefined, version: EndpointVersion | undefined }): void {
    const verdict = this.answer.add(chunk)
    this.ports.metrics.chunks.inc({ verdict })
    this.#record.added(verdict)
    if (verdict === 'taken') {
      this.head ??= head
      this.#lastPieceAttempt = chunk.attempt
      if (head && !isEventStream(head) && !this.lifecycle.isBound) this.post({ type: 'bound' })
      this.bindTo(version)
      this.mover?.passedOn(this.answer.length)
    }
    this.onPiece()
    this.#markBegun()
    this.#meter.pieceArrived()
    this.listeners.notify()
  }

  /** Adds what follows the last event of an answer that is whole without it. */
  #addRest (attempt: number, rest: P, head: AnswerHead | undefined): void {
    const offset = this.answer.length
    this.#addChunk({ attempt, offset, pieces: [rest] }, { head, version: this.#runningVersion })
    this.answer.end(attempt, offset + 1)
  }

  /**
   * Reports the first answer. The prediction excludes the endpoint's learnt slowness, which would hide a version that is slow at all of its
   * endpoints.
   */
  #reportFirstAnswer (endpoint: EndpointId, { tookMs, predictedMs }: { tookMs: number, predictedMs: number }): void {
    const view = this.ports.table.get(endpoint)
    if (view) this.ports.answers?.answered(view, this.work.cls.name, { tookMs, predictedMs: predictedMs / view.latencyFactor })
  }

  /** Must be called with the version of the endpoint that an event came from, before the event is passed on. */
  protected bindTo (version: EndpointVersion | undefined): void {
    if (this.work.cls.streaming) this.binding.eventArrived({ pool: this.work.pool, version })
  }

  #markBegun (): void {
    if (this.#hasBegun) return
    this.#hasBegun = true
    this.onBegun()
  }

  #onAttemptEnd (endpoint: EndpointId, attempt: number, end: { total: number, head: AnswerHead | undefined, explicit: boolean, rest: P | undefined }): void {
    if (attempt !== this.lifecycle.attempt) return
    const fail = () => this.#onAttemptError(attempt, endpoint, new AttemptError('Cannot use answer: it is incomplete', { point: 'torn-answer' }))
    if (!this.#mayComplete(attempt, end.head)) return this.#rejectAnswer(attempt, endpoint)
    if (!end.explicit && this.mover?.holdsClose(fail)) return
    this.answer.end(attempt, end.total)
    if (!this.answer.whole) return fail()
    if (end.rest !== undefined) this.#addRest(attempt, end.rest, end.head)
    this.#markBegun()
    this.#record.ended(end.head)
    this.head ??= end.head
    this.ports.table.succeeded(endpoint)
    if (!this.head || this.head.status < FIRST_REDIRECT_STATUS) this.#quarantine.answered(this.#runningVersion)
    this.post({ type: 'ended', attempt })
  }

  #onAttemptError (attempt: number, endpoint: EndpointId, err: AttemptError): void {
    if (attempt !== this.lifecycle.attempt || this.lifecycle.phase !== 'running') return
    const { table } = this.ports
    const failed = { endpoint, view: table.get(endpoint), point: err.point, err, cls: this.work.cls.name, sentAtMs: this.#tracker.sentAtMs, run: this.#quarantine.watchedRun(this.#tracker.sentAtMs), wasPaused: this.flow.pausedLately }
    if (this.mover?.holds(err, { fail: () => this.#onAttemptError(attempt, endpoint, err), record: () => recordHeld(this.ports, failed) })) return
    recordDeparture(table, failed)
    // Spends from the budget only if the request could use the retry.
    const suspected = this.#quarantine.forbidsRepeat(err.point)
    const repeatable = this.mayRetryElsewhere && !suspected && canRetry(this.lifecycle, err.point)
    const retryGranted = repeatable && (this.lifecycle.backup !== undefined || isFreeRetry(this.lifecycle, err.point) || this.ports.budget.tryWithdraw(table.isLeavingOrGone(endpoint)))
    recordFailedAttempt(this.ports, failed)
    this.#recordFailure(endpoint, err, { attempt, repeat: retryGranted ? 'allowed' : repeatable ? 'over-budget' : suspected ? 'suspected' : 'not-allowed' })
  }

  /** Time after which an endpoint may take the request if it certainly did not run, since all endpoints asked for time; undefined if any may now. */
  #backOffMs (outcome: Outcome): number | undefined {
    const backOffMs = outcome === 'not-run' ? this.ports.table.backOffMs(this.work.pool) : 0
    return backOffMs > 0 ? backOffMs : undefined
  }

  #recordFailure (endpoint: EndpointId, err: AttemptError, { attempt, repeat }: Pick<RequestEvents['attempt-failed'], 'attempt' | 'repeat'>): void {
    const { metrics } = this.ports
    const retryGranted = repeat === 'allowed'
    this.failureAnswer = err.answer
    this.#logFailure(endpoint, err, { attempt, repeat, sentAtMs: this.#tracker.sentAtMs })
    if (!retryGranted) metrics.retriesDenied.inc({ class: metrics.labelOf(this.work.cls.name) })
    this.#tracker.end()
    this.post({ type: 'failed', attempt, point: err.point, retryGranted })
  }

  #logFailure (endpoint: EndpointId, err: AttemptError, { attempt, repeat, sentAtMs }: Pick<RequestEvents['attempt-failed'], 'attempt' | 'repeat'> & { sentAtMs: number | undefined }): void {
    if (outcomeAt(err.point) === 'unknown') this.#markBegun()
    this.recordDecision('attempt-failed', attemptFailedEvent(err, {
      attempt,
      endpoint,
      repeat,
      afterMs: steadyNow() - (sentAtMs ?? this.acceptedAtMs),
      pieces: this.answer.length,
      endpointLeaving: this.ports.table.isLeavingOrGone(endpoint),
      fingerprint: this.work.fingerprint,
      parts: sharedParts(this.work.demand)
    }))
    this.ports.metrics.failedAttempts.inc({ point: err.point })
  }

  #stop (endpoint: EndpointId, attempt: number): void {
    this.attachment?.detach()
    this.attachment = undefined
    const run = this.#quarantine.watchedRun(this.#tracker.sentAtMs)
    this.#tracker.end()
    const view = this.ports.table.get(endpoint)
    // A run that moves has stopped, so that it can cause no crash.
    if (view && !this.mover) this.ports.crashes.abandoned(view, this.work.fingerprint(), run)
    if (!view || !this.lifecycle.traits.movable) return this.post({ type: 'stopped', attempt, confirmed: false })
    const from = this.answer.length
    this.#runner.stop(view, attempt, from).then((report) => {
      if (report.stopped && this.answer.add({ attempt, offset: from, pieces: report.pieces }) === 'taken') this.bindTo(view.version)
      this.post({ type: 'stopped', attempt, confirmed: report.stopped })
    }, () => this.post({ type: 'stopped', attempt, confirmed: false }))
  }

  /** Ends the request after an error of this daemon. It certainly has not run only if no attempt was begun. */
  #breakOff (err: Error): void {
    const { attempt, lastBackup, mayHaveRun } = this.lifecycle
    this.#decisions.add('request-broke', { why: err.message, stack: err.stack })
    if (this.final) return this.listeners.notify()
    this.attachment?.detach()
    this.#finish({ outcome: mayHaveRun || attempt > 0 || lastBackup > 0 ? 'unknown' : 'not-run', reason: BROKEN_REASON, retryAfterMs: undefined })
  }

  #finish (final: FinalResult): void {
    clearTimeout(this.#deadlineTimer)
    if (this.final) return
    this.final = final
    this.attachment = undefined
    if (this.#placement) this.ports.dispatcher.remove(this.#placement)
    this.#backups.end()
    if (final.outcome === 'answered') this.#tracker.read()
    this.#tracker.end()
    this.lifecycle = { ...this.lifecycle, phase: 'done', outcome: final.outcome }
    this.recordDecision('request-ended', requestEndedEvent(this, { final, pieces: this.#meter.pieces, parts: this.#record.parts }))
    this.#meter.finished(final)
    this.mover?.ended(final.outcome === 'answered')
    this.onFinish()
    this.ports.dispatcher.startQueued()
    this.listeners.notify()
  }
}
