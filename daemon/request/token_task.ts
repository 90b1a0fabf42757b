/** A request whose answer is a stream of tokens or one text, kept here for callers to resume and handed over when this daemon leaves. */
import type { EndpointId, RequestId, AccountId } from '../../core/ids/index.ts'
import type { EndpointView } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { AttemptSink } from '../../endpoints/index.ts'
import type { LiveAnswer } from './live_answer.ts'
import { RequestTask, type RequestTaskOptions } from './request_task.ts'
import type { TokenRunner } from './token_runner.ts'

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

/** Options of {@linkcode TokenTask}. */
export interface TokenTaskOptions extends Omit<RequestTaskOptions<string>, 'runner'> {
  runner: TokenRunner
}

/** One request that produces tokens. */
export class TokenTask extends RequestTask<string> implements LiveAnswer {
  readonly #runner: TokenRunner
  /** True until the engine gave a word of a stream whose daemon is gone: then it may not be computed again. */
  #onlyResume = false

  constructor (options: TokenTaskOptions) {
    super(options)
    this.#runner = options.runner
  }

  get tokens (): readonly string[] { return this.answer.pieces }
  /** What the caller sent. */
  get prompt (): string { return this.#runner.input }

  /** Describes the running stream for another daemon; undefined when there is none that could be carried on. */
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
      deadlineInMs: traits.deadlineAtMs - steadyNow()
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
    if (handed) this.attachment?.detach()
    return handed
  }

  /** The other daemon did not take the stream: reads it again here. */
  keep (): void {
    const { endpoint, attempt } = this.lifecycle
    const view = endpoint === undefined ? undefined : this.ports.table.get(endpoint)
    if (this.lifecycle.phase !== 'running' || !view) return
    this.#resume(view, attempt, this.answer.length)
  }

  /** Another daemon took the stream over: let go of it here, without stopping it. */
  letGo (): void {
    this.movedAway = true
    this.retire()
    this.listeners.notify()
  }

  /**
   * Carries on another daemon's stream. `sure` when it handed the stream over and let go; false when it is gone, and its callers may have
   * read further than its last word here.
   */
  takeOver (handed: HandOver, view: EndpointView | undefined, sure: boolean): void {
    this.#onlyResume = !sure
    this.lifecycle = { ...this.lifecycle, phase: view ? 'running' : 'placing', attempt: handed.attempt, endpoint: handed.endpoint, mayHaveRun: true }
    this.answer.replaceAttempt(handed.attempt)
    this.answer.add({ attempt: handed.attempt, offset: 0, pieces: handed.tokens })
    if (!view) {
      this.decide('stream-taken-over', { endpoint: undefined, fromPiece: handed.tokens.length })
      return this.place([])
    }
    this.adopt(view)
    this.decide('stream-taken-over', { endpoint: view.id, fromPiece: handed.tokens.length })
    this.#resume(view, handed.attempt, handed.tokens.length)
  }

  protected override get mayMoveOn (): boolean { return !this.#onlyResume }

  protected override onPiece (): void {
    this.#onlyResume = false
  }

  #resume (view: EndpointView, attempt: number, from: number): void {
    const sink: AttemptSink<string> = this.sink(view.id, attempt)
    this.attachment = this.#runner.resume(view, { attempt, from }, sink)
  }
}
