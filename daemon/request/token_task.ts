/** A request whose answer is a token stream or a single text. Callers can resume the answer, and a draining daemon hands it over. */
import type { EndpointId, RequestId, AccountId } from '../../core/ids/index.ts'
import type { EndpointView } from '../../core/routing/index.ts'
import type { StreamVersion } from '../../core/streams/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { AttemptSink } from '../../endpoints/index.ts'
import type { LiveAnswer } from './live_answer.ts'
import { RequestTask, type RequestTaskOptions } from './request_task.ts'
import type { TokenRunner } from './token_runner.ts'

/** State of a request, as sent to the daemon that takes it over. */
export interface HandOver {
  id: RequestId
  account: AccountId
  className: string
  prompt: string
  maxTokens: number
  tokens: readonly string[]
  attempt: number
  /** Undefined while the request is queued. */
  endpoint: EndpointId | undefined
  /** Milliseconds until the deadline. */
  deadlineInMs: number
  /** Where the stream began; undefined while its caller has no token of it. */
  boundTo: StreamVersion | undefined
}

/** Options of {@linkcode TokenTask}. */
export interface TokenTaskOptions extends Omit<RequestTaskOptions<string>, 'runner'> {
  runner: TokenRunner
}

/** A request that produces tokens. */
export class TokenTask extends RequestTask<string> implements LiveAnswer {
  readonly #runner: TokenRunner
  /** True after a takeover from a failed daemon, until the engine sends a piece. Meanwhile the answer must not be computed again. */
  #onlyResume = false

  constructor (options: TokenTaskOptions) {
    super(options)
    this.#runner = options.runner
  }

  get tokens (): readonly string[] { return this.answer.pieces }
  /** The caller's input. */
  get prompt (): string { return this.#runner.input }

  /** Returns the state that another daemon needs to take over the stream; undefined if it cannot be taken over. */
  describe (): HandOver | undefined {
    const { work } = this
    const { phase, endpoint, attempt, traits } = this.lifecycle
    const running = phase === 'running' && endpoint !== undefined && !this.exporting
    const waiting = phase === 'placing' && attempt > 0
    if (!work.cls.streaming || (!running && !waiting)) return undefined
    return {
      id: work.id,
      account: work.account,
      className: work.cls.name,
      prompt: this.prompt,
      maxTokens: work.demand.maxTokens,
      tokens: [...this.tokens],
      attempt,
      endpoint,
      deadlineInMs: traits.deadlineAtMs - steadyNow(),
      boundTo: this.binding.version
    }
  }

  /**
   * Stops reading the stream and returns its state for a hand-over.
   *
   * No more pieces may reach callers from here. If the other daemon had to recompute the answer from a point that callers have already
   * passed, they would receive an inconsistent answer.
   */
  prepareHandOver (): HandOver | undefined {
    const handOver = this.describe()
    if (handOver) this.attachment?.detach()
    return handOver
  }

  /** Resumes reading the stream after the other daemon declined the hand-over. */
  keep (): void {
    const { endpoint, attempt } = this.lifecycle
    const view = endpoint === undefined ? undefined : this.ports.table.get(endpoint)
    if (this.lifecycle.phase !== 'running' || !view) return
    this.#resume(view, attempt, this.answer.length)
  }

  /** Releases the stream without stopping it, after another daemon has taken it over. */
  markMovedAway (): void {
    this.movedAway = true
    this.deactivate()
    this.listeners.notify()
  }

  /**
   * Takes over another daemon's stream.
   * @param ownerReleased True if the other daemon handed the stream over and released it. False if it failed; its callers may then have read
   * further than the record of the stream shows.
   */
  takeOver (handOver: HandOver, view: EndpointView | undefined, ownerReleased: boolean): void {
    this.#onlyResume = !ownerReleased
    this.lifecycle = { ...this.lifecycle, phase: view ? 'running' : 'placing', attempt: handOver.attempt, endpoint: handOver.endpoint, mayHaveRun: true }
    this.answer.replaceAttempt(handOver.attempt)
    this.answer.add({ attempt: handOver.attempt, offset: 0, pieces: handOver.tokens })
    if (handOver.boundTo) this.bindTo(handOver.boundTo.version)
    if (!view) {
      this.recordDecision('stream-taken-over', { endpoint: undefined, fromPiece: handOver.tokens.length })
      return this.place([])
    }
    this.trackTakenOver(view)
    this.recordDecision('stream-taken-over', { endpoint: view.id, fromPiece: handOver.tokens.length })
    this.#resume(view, handOver.attempt, handOver.tokens.length)
  }

  protected override get mayRetryElsewhere (): boolean { return !this.#onlyResume }

  protected override onPiece (): void {
    this.#onlyResume = false
  }

  #resume (view: EndpointView, attempt: number, from: number): void {
    const sink: AttemptSink<string> = this.sink(view.id, attempt)
    this.attachment = this.#runner.resume(view, { attempt, from }, sink)
  }
}
