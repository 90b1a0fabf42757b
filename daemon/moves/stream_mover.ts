/** Moves one running stream to another endpoint: executes the effects of the core's state machine. */
import type { EndpointId } from '../../core/ids/index.ts'
import { mayBeStopped, newMove, stepMove, type MoveEffect, type MoveMessage, type MoveOutcome, type MoveState } from '../../core/moves/index.ts'
import { isConnectionAborted, outcomeAt, reachedEndpoint, type AttemptError } from '../../core/outcome/index.ts'
import type { RetryLimiter } from '../../core/retry/index.ts'
import type { EndpointView } from '../../core/routing/index.ts'
import { delay, steadyNow } from '../../core/time/index.ts'
import type { KvMover, KvOrderResult } from '../../endpoints/index.ts'
import type { EndpointTable } from '../endpoints/endpoint_table.ts'
import type { Metrics } from '../metrics.ts'
import type { MoveObserver } from '../request/move_observer.ts'
import type { RequestTask } from '../request/request_task.ts'
import { guarded } from '../tasks/index.ts'

/** A copy that an endpoint has completed. */
export interface MoverCopy { target: EndpointView, tookMs: number }

/** Options of {@linkcode StreamMover}. */
export interface StreamMoverOptions {
  task: RequestTask<Buffer>
  source: EndpointView
  /** Targets in order of preference; at least one. */
  targets: readonly EndpointView[]
  /** Estimated size of the KV cache. */
  kvTokens: number
  bytesPerToken: number
  /** Returns the time limit of an order that is sent now, in milliseconds. `hasCopy`: the target has a copy already, so that only the rest is copied. */
  limitMs (options: { hasCopy: boolean }): number
  port: KvMover
  table: Pick<EndpointTable, 'get' | 'isLeavingOrGone'>
  budget: Pick<RetryLimiter, 'tryWithdraw'>
  /** True if an endpoint may still be sent requests: it does not leave, or not for long. */
  mayReceive (endpoint: EndpointId): boolean
  metrics: Pick<Metrics, 'streamMoves' | 'kvBytesMoved' | 'kvOrders'>
  /** Called with each copy of the whole cache that was completed. */
  onCopied (copy: MoverCopy): void
  /** Called once, at the end of the move. */
  onEnded (outcome: MoveOutcome): void
}

/** Age at which a report shows what an endpoint did after it closed a stream, in milliseconds: it reports the state of some hundred ms ago. */
const REPORT_AGE_MS = 600
const REPORT_LIMIT_MS = 500

/** Follows one request while its stream moves. */
export class StreamMover implements MoveObserver {
  readonly #options: StreamMoverOptions
  readonly #startedAtMs = steadyNow()
  readonly #inbox: MoveMessage[] = []
  readonly #timers = new Set<NodeJS.Timeout>()
  #handling = false
  #state: MoveState
  #fail: (() => void) | undefined
  #why: string | undefined
  /** True once the retry budget has allowed the first request with the handle. */
  #isPaidFor = false

  constructor (options: StreamMoverOptions) {
    this.#options = options
    this.#state = newMove({ source: options.source.id, targets: options.targets.map(({ id }) => id), position: options.task.answer.length })
  }

  /** Begins the move. */
  start (): void {
    const { task, source, targets } = this.#options
    task.mover = this
    task.recordDecision('stream-moved', { endpoint: source.id, action: 'import', target: targets[0]!.id })
    this.#post({ type: 'begin' })
  }

  passedOn (position: number): void {
    this.#post(this.#state.phase === 'continuing' ? { type: 'continued' } : { type: 'passed-on', position })
  }

  holds (err: AttemptError, { fail, record }: Parameters<MoveObserver['holds']>[1]): boolean {
    if (this.#state.phase === 'continuing') return this.#holdsContinuation(err, { fail, record })
    if (!mayBeStopped(this.#state) || !isConnectionAborted(err.point)) {
      this.ended()
      return false
    }
    this.#fail = fail
    this.#post({ type: 'closed' })
    return true
  }

  #holdsContinuation (err: AttemptError, { fail, record }: Parameters<MoveObserver['holds']>[1]): boolean {
    this.#why = err.message
    if (outcomeAt(err.point) !== 'not-run') {
      this.#post({ type: 'lost-continuation' })
      return false
    }
    record()
    this.#fail = fail
    this.#post({ type: 'not-continued', reached: reachedEndpoint(err.point) })
    return true
  }

  holdsClose (fail: () => void): boolean {
    if (this.#state.phase === 'continuing' || !mayBeStopped(this.#state)) return false
    this.#fail = fail
    this.#post({ type: 'closed', mayBeWhole: true })
    return true
  }

  ended (whole = false): void {
    if (whole && this.#state.phase === 'continuing') this.#post({ type: 'continued' })
    this.#fail = undefined
    this.#post({ type: 'ended', whole })
  }

  /** Handles messages one after another: carrying out an effect may bring the next message at once. */
  #post (msg: MoveMessage): void {
    this.#inbox.push(msg)
    if (this.#handling) return
    this.#handling = true
    for (let next = this.#inbox.shift(); next; next = this.#inbox.shift()) {
      const { state, effects } = stepMove(this.#state, next)
      this.#state = state
      for (const effect of effects) this.#execute(effect)
    }
    this.#handling = false
  }

  #execute (effect: MoveEffect): void {
    switch (effect.type) {
      case 'commit':
        if (!this.#mayStop()) return this.#post({ type: 'barred' })
        if (!this.#isPaidFor && !this.#withdraw()) return this.#post({ type: 'over-budget' })
        this.#isPaidFor = true
        this.#order(effect.type, effect.target)
        return
      case 'prepare': {
        this.#order(effect.type, effect.target)
        return
      }
      case 'check': {
        this.#check()
        return
      }
      case 'wait': return this.#wait(effect.ms)
      case 'continue': return this.#continue(effect)
      case 'release': {
        const { port, source, table } = this.#options
        port.release({ source, handle: effect.handle, target: table.get(effect.target) })
        return
      }
      case 'finish': return this.#finish(effect.outcome)
    }
  }

  #withdraw (): boolean {
    const { budget, source, table } = this.#options
    const granted = budget.tryWithdraw(table.isLeavingOrGone(source.id))
    if (!granted) this.#why = 'over the retry budget'
    return granted
  }

  /** A run that only one target can take is stopped only while its source could take it back. */
  #mayStop (): boolean {
    const { source, mayReceive } = this.#options
    const { orders, stopped, alternatives } = this.#state
    return stopped !== undefined || orders > 1 || alternatives.length > 0 || mayReceive(source.id)
  }

  async #order (order: 'prepare' | 'commit', targetId: EndpointId): Promise<void> {
    const { task, source, port, metrics, limitMs, table, kvTokens, bytesPerToken } = this.#options
    const target = table.get(targetId)
    const sentAtMs = steadyNow()
    const result: KvOrderResult = target && target.leavingAtMs === undefined ? await port[order]({ source, id: task.id, target, limitMs: limitMs({ hasCopy: this.#state.prepared?.target === targetId }) }) : { type: 'refused', why: 'the target leaves or is no longer listed' }
    metrics.kvOrders.inc({ order, answer: result.type })
    if (result.why !== undefined) this.#why = result.why
    if (order === 'prepare' && result.type === 'done') {
      metrics.kvBytesMoved.inc(kvTokens * bytesPerToken)
      this.#options.onCopied({ target: target!, tookMs: steadyNow() - sentAtMs })
    }
    this.#post({ type: 'answer', result })
  }

  /** Asks the source for a report that is from after the end of its stream. */
  async #check (): Promise<void> {
    const { port, source, task } = this.#options
    // Also a refused connection shows only with time that the process has ended.
    await delay(REPORT_AGE_MS)
    const runs = await port.runs(source, REPORT_LIMIT_MS)
    this.#post({ type: 'checked', stopped: runs === 'gone' || (runs !== 'unknown' && !runs.has(task.id)) })
  }

  #wait (ms: number): void {
    const timer = setTimeout(guarded('stream-mover', () => {
      this.#timers.delete(timer)
      this.#post({ type: 'timer' })
    }), ms)
    this.#timers.add(timer)
  }

  #continue ({ at, handle, isRepeat }: Extract<MoveEffect, { type: 'continue' }>): void {
    const { task } = this.#options
    if (!this.#options.mayReceive(at)) {
      this.#why = 'the endpoint leaves'
      return this.#post({ type: 'barred' })
    }
    if (isRepeat && !this.#withdraw()) return this.#post({ type: 'over-budget' })
    this.#fail = undefined
    task.kvHandle = handle
    task.post({ type: 'move', endpoint: at, mode: 'import' })
    if (task.runningAt !== at) this.ended()
  }

  #finish (outcome: MoveOutcome): void {
    const { task, source, metrics, kvTokens } = this.#options
    for (const timer of this.#timers) clearTimeout(timer)
    if (task.mover === this) task.mover = undefined
    metrics.streamMoves.inc({ outcome })
    task.recordDecision('stream-move-ended', { endpoint: source.id, target: this.#state.at ?? this.#state.target, outcome, tookMs: steadyNow() - this.#startedAtMs, kvTokens, orders: this.#state.orders, why: this.#why })
    const fail = this.#fail
    this.#fail = undefined
    fail?.()
    this.#options.onEnded(outcome)
  }
}
