/** Attempts of one request that other daemons run. */
import type { AnswerBuffer, AnswerHead, Chunk } from '../../core/answer/index.ts'
import type { SelectedDelegate } from '../../core/delegation/index.ts'
import type { DaemonId, EndpointVersion } from '../../core/ids/index.ts'
import { AttemptError } from '../../core/outcome/index.ts'
import { canRetry, isFreeRetry, type RequestState } from '../../core/request/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { StreamVersion } from '../../core/streams/index.ts'
import type { Attachment } from '../../endpoints/index.ts'
import type { RequestEvents } from '../log/index.ts'
import type { DelegatedSink, DelegatedSpec } from './delegated_run.ts'
import type { RequestPorts, RequestWork } from './work.ts'

/** Options of {@linkcode DelegatedAttempts}. */
export interface DelegatedAttemptsOptions<P> {
  work: RequestWork
  ports: RequestPorts
  answer: AnswerBuffer<P>
  /** Sends the request to a daemon. */
  delegate (to: DaemonId, spec: DelegatedSpec, sink: DelegatedSink<P>): Attachment
  /** State of the request. */
  state (): RequestState
  /** Where the stream began; undefined while its caller has no event of it. */
  boundTo (): StreamVersion | undefined
  /** Returns true if the request can be sent another way than to a delegate now. */
  canStartWithout (delegate: DaemonId): boolean
  /** Returns false for an answer that cannot complete what the caller has of an earlier attempt. */
  mayComplete (attempt: number, head: AnswerHead | undefined): boolean
  recordDecision<E extends keyof RequestEvents> (event: E, fields: RequestEvents[E]): void
  /** Called with each part of the answer, its head if that has arrived, and the version of the endpoint that it came from. */
  onChunk (chunk: Chunk<P>, from: { head: AnswerHead | undefined, version: EndpointVersion | undefined }): void
  /** Called when the answer is whole. */
  onWhole (head: AnswerHead | undefined): void
  /** Called when the request did not run, and its caller is to come back later. */
  onRefused (reason: string, retryAfterMs: number): void
  /** Called when the attempt failed. */
  onFailed (err: AttemptError, failure: { reached: number, retryGranted: boolean }): void
}

/** Sends a request to the daemons that were selected for it, and judges how each attempt ends. */
export class DelegatedAttempts<P> {
  readonly #options: DelegatedAttemptsOptions<P>
  #sentAtMs = 0
  /** True once the retry budget has allowed the next attempt. */
  #isPaidFor = false
  /** The daemon that the next attempt goes to. */
  selected: SelectedDelegate | undefined

  constructor (options: DelegatedAttemptsOptions<P>) {
    this.#options = options
  }

  /** Starts an attempt at the selected daemon. */
  start (attempt: number): Attachment {
    const { work, ports, answer, delegate, state, boundTo, recordDecision } = this.#options
    const { traits, sent } = state()
    const { id: to, inFlight, offerAgeMs, activityAgeMs } = this.selected!
    answer.replaceAttempt(attempt)
    this.#sentAtMs = steadyNow()
    ports.metrics.attempts.inc({ mode: 'delegated' })
    recordDecision('attempt-delegated', { attempt, to, pool: work.pool, fromPiece: answer.length, inFlight, offerAgeMs, activityAgeMs })
    return delegate(to, {
      from: answer.length,
      deadlineInMs: traits.deadlineAtMs - steadyNow(),
      maxAttempts: traits.maxAttempts - sent,
      mayRepeatNow: () => this.#mayRepeatNow(to),
      boundTo: boundTo()
    }, this.#sink(attempt))
  }

  /** The retry is paid for here, so that a run is not given up for one that the budget does not allow. */
  #mayRepeatNow (delegate: DaemonId): boolean {
    const { state, canStartWithout, ports } = this.#options
    this.#isPaidFor ||= canRetry(state(), 'delegate-lost') && canStartWithout(delegate) && ports.budget.tryWithdraw(false)
    return this.#isPaidFor
  }

  #sink (attempt: number): DelegatedSink<P> {
    let head: AnswerHead | undefined
    let version: EndpointVersion | undefined
    const { ports: { metrics }, answer, state, mayComplete, onChunk, onWhole, onRefused } = this.#options
    const isCurrent = () => attempt === state().attempt && state().phase === 'running'
    return {
      onHead: (arrived, from) => {
        head = arrived
        version = from.version
      },
      onChunk: (offset, pieces) => { if (mayComplete(attempt, head)) onChunk({ attempt, offset, pieces }, { head, version }) },
      onEnd: (total) => {
        if (!isCurrent()) return
        metrics.delegated.inc({ result: 'answered' })
        answer.end(attempt, total)
        if (answer.whole && mayComplete(attempt, head)) onWhole(head)
        else this.#fail(attempt, new AttemptError('Cannot use answer: it is incomplete', { point: 'torn-answer' }), 1)
      },
      onRefused: (reason, retryAfterMs) => {
        if (!isCurrent()) return
        metrics.delegated.inc({ result: 'refused' })
        onRefused(reason, retryAfterMs)
      },
      onError: (err, reached) => {
        if (!isCurrent()) return
        metrics.delegated.inc({ result: err.point })
        this.#fail(attempt, err, reached)
      }
    }
  }

  #fail (attempt: number, err: AttemptError, reached: number): void {
    const { ports: { budget }, answer, state, recordDecision, onFailed } = this.#options
    // A delegate that reports a failure has retried the request itself as far as that is allowed.
    const repeatable = err.point !== 'endpoint-error' && canRetry(state(), err.point, reached)
    const retryGranted = repeatable && (this.#isPaidFor || isFreeRetry(state(), err.point) || budget.tryWithdraw(false))
    this.#isPaidFor = false
    recordDecision('delegate-failed', {
      attempt,
      to: state().delegate!,
      point: err.point,
      why: err.message,
      afterMs: steadyNow() - this.#sentAtMs,
      pieces: answer.length,
      repeat: retryGranted ? 'allowed' : repeatable ? 'over-budget' : 'not-allowed'
    })
    onFailed(err, { reached, retryGranted })
  }
}
