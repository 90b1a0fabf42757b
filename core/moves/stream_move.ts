/** Move of one running stream to another endpoint as a pure state machine: (state, message) to (state, effects). */
import type { EndpointId } from '../ids/index.ts'

/** Names a copy of a KV cache, or the cache that a stopped run left at its source. Opaque; usable once. */
export type KvHandle = string

/**
 * Phase of a move.
 *
 * - `preparing`: the KV cache is being copied; the run goes on.
 * - `repeating`: no usable answer to the order to copy came; it is repeated after a while.
 * - `committing`: the run was ordered to stop; whether it has is not known until the answer.
 * - `unsure`: the answer was lost or says nothing; the order is repeated after a while.
 * - `busy`: another order for the run is under way; the order is repeated after a while.
 * - `watching`: repeating the order did not help; the stream is read on at the source.
 * - `checking`: the stream broke off, and the source is asked whether it still runs.
 * - `draining`: the run has stopped; its last events are still arriving.
 * - `continuing`: a request with the handle was sent.
 * - `retrying`: that request was refused, and is sent again after a while.
 * - `ended`: final.
 */
export type MovePhase = 'preparing' | 'repeating' | 'committing' | 'unsure' | 'busy' | 'watching' | 'checking' | 'draining' | 'continuing' | 'retrying' | 'ended'

/** How a move ended: the stream runs elsewhere, it runs or ended at its source, or it may have been lost. */
export type MoveOutcome = 'moved' | 'continued-at-source' | 'not-moved' | 'ended-at-source' | 'given-up' | 'cancelled'

/** A handle, and the target of the order whose answer named it. */
export interface NamedHandle { readonly handle: KvHandle, readonly target: EndpointId }

/** State of one move. */
export interface MoveState {
  readonly phase: MovePhase
  readonly source: EndpointId
  /** Endpoint that the last order named. */
  readonly target: EndpointId
  /** Targets that were not tried yet, in order of preference. */
  readonly alternatives: readonly EndpointId[]
  /** A copy that was made while the run went on; it may be used only once the run is known to have stopped. */
  readonly prepared: { readonly target: EndpointId, readonly handle: KvHandle } | undefined
  /** False once the stream may have ended whole, so that a run must not go on from the prepared copy. */
  readonly canUsePrepared: boolean
  /** Set once the source has confirmed that the run has stopped. */
  readonly stopped: { readonly handle: KvHandle, readonly events: number } | undefined
  /** All handles that answers named, with the target of their order. */
  readonly handles: readonly NamedHandle[]
  /** True if the last copy is complete at the target. */
  readonly copied: boolean
  /** Number of orders to copy while the run goes on. */
  readonly copies: number
  /** Number of orders to stop since the stream last gave a sign of life, without those that were answered with `busy`. */
  readonly orders: number
  /** Endpoints that must get no more requests. */
  readonly barred: readonly EndpointId[]
  /** Number of requests sent with the handle. */
  readonly continuations: number
  /** Number of those that reached an endpoint, which refused them. */
  readonly refusals: number
  /** True once the source's stream was closed without its end. */
  readonly closed: boolean
  /** Number of events of the stream that the caller has. */
  readonly position: number
  /** Where the stream continues, while the phase is `continuing`. */
  readonly at: EndpointId | undefined
  readonly outcome: MoveOutcome | undefined
}

/** Answer to an order, or what happened instead of one. */
export type OrderResult =
  /** The copy is complete; `events` is the number of events made so far. */
  | { type: 'done', handle: KvHandle, events: number }
  /** The target cannot be reached or has no room. With a handle, an order to stop was carried out. */
  | { type: 'refused', handle?: KvHandle | undefined, events?: number | undefined }
  | { type: 'no-run' }
  /** An order for the run is under way, so that this one was not carried out. */
  | { type: 'busy' }
  /** No process has the source's address, or another one has it. */
  | { type: 'gone' }
  /** No answer, or one that makes no sense: the order may be carried out. */
  | { type: 'lost' }

/** Input of {@linkcode stepMove}. */
export type MoveMessage =
  | { type: 'begin' }
  | { type: 'answer', result: OrderResult }
  /** Events of the source's stream were passed on; `position` is their number from the start of the stream. */
  | { type: 'passed-on', position: number }
  /** The source's stream was closed without its end. `mayBeWhole`: it has no length, so that this may have been its end. Default: false. */
  | { type: 'closed', mayBeWhole?: boolean }
  /** The stream ended whole, or its request ended otherwise. */
  | { type: 'ended', whole: boolean }
  /** `stopped` is true only if the source certainly does not run the stream any more. */
  | { type: 'checked', stopped: boolean }
  | { type: 'timer' }
  /** The endpoint began to answer the request with the handle. */
  | { type: 'continued' }
  /** The order to stop, or the request with the handle, was not sent, since the endpoint to go on at must get no more requests. */
  | { type: 'barred' }
  /** The order to stop, or the request with the handle, was not sent, since the retry budget does not allow another arrival. */
  | { type: 'over-budget' }
  /** The request with the handle certainly did not run. `reached`: it arrived at an endpoint, which refused it. */
  | { type: 'not-continued', reached: boolean }
  /** The request with the handle failed and may have run. */
  | { type: 'lost-continuation' }

/** Action that the daemon has to carry out. */
export type MoveEffect =
  | { type: 'prepare', target: EndpointId }
  | { type: 'commit', target: EndpointId }
  /** Ask the source whether it still runs the stream, and answer with `checked`. */
  | { type: 'check' }
  /** Send the request with the handle and the number of the caller's last event. `isRepeat`: one reached an endpoint before, so that the retry budget is asked. */
  | { type: 'continue', at: EndpointId, handle: KvHandle, from: number, isRepeat: boolean }
  | { type: 'wait', ms: number }
  /** Free a copy at the source, and at the target if the source cannot. */
  | { type: 'release', handle: KvHandle, target: EndpointId }
  /** The move is over; if the source's stream was closed, its failure now counts. */
  | { type: 'finish', outcome: MoveOutcome }

/** Result of {@linkcode stepMove}. */
export interface MoveStep { state: MoveState, effects: MoveEffect[] }

/** Time after which an order is repeated whose answer was lost, in milliseconds. */
const REPEAT_ORDER_MS = 100
/** Longest wait for the events that the source made before it stopped, in milliseconds. */
const DRAIN_MS = 500
/** Time after which the request with the handle is sent again when it was refused, in milliseconds. */
const REPEAT_CONTINUATION_MS = 50
const MAX_COPIES = 3
const MAX_ORDERS = 4
const MAX_CONTINUATIONS = 6
/** Requests with the handle that may be refused by endpoints: the first, and two repeats. */
const MAX_REFUSALS = 3

/** Options of {@linkcode newMove}. */
export interface NewMoveOptions {
  source: EndpointId
  /** Targets in order of preference; at least one. */
  targets: readonly EndpointId[]
  /** Number of events that the caller has. */
  position: number
}

/** Returns the state of a move that has not begun. */
export function newMove ({ source, targets, position }: NewMoveOptions): MoveState {
  const [target, ...alternatives] = targets
  return { phase: 'preparing', source, target: target!, alternatives, prepared: undefined, canUsePrepared: true, stopped: undefined, handles: [], copied: false, copies: 0, orders: 0, barred: [], continuations: 0, refusals: 0, closed: false, position, at: undefined, outcome: undefined }
}

/** Returns true if the end of the source's connection may be due to an order to stop, so that it must not count as the end of the stream. */
export function mayBeStopped ({ phase, orders, continuations }: MoveState): boolean {
  return phase !== 'ended' && orders > 0 && continuations === 0
}

/**
 * Advances a move by one message.
 *
 * A request with a handle is sent only after the source has said that the run has stopped, or is known not to run it any more: before that, the run
 * may go on.
 */
export function stepMove (state: MoveState, msg: MoveMessage): MoveStep {
  if (state.phase === 'ended') return lateAnswer(state, msg)
  switch (msg.type) {
    case 'begin': return prepare(state)
    case 'answer': return answered(withHandle(state, msg.result), msg.result)
    case 'passed-on': return passedOn(state, msg.position)
    case 'closed': return closed(state, msg.mayBeWhole)
    case 'ended': return finish(state, msg.whole ? 'ended-at-source' : 'cancelled')
    case 'checked': return checked(state, msg.stopped)
    case 'timer': return timer(state)
    case 'continued': return state.phase === 'continuing' ? finish(state, state.at === state.source ? 'continued-at-source' : 'moved', { keep: true }) : unchanged(state)
    case 'barred': return barred(state)
    case 'over-budget': return overBudget(state)
    case 'not-continued': return notContinued(state, msg.reached)
    case 'lost-continuation': return state.phase === 'continuing' ? finish(state, 'given-up', { keep: true }) : unchanged(state)
  }
}

/** What an order that was still open when the move ended has made is freed. */
function lateAnswer (state: MoveState, msg: MoveMessage): MoveStep {
  if (msg.type !== 'answer') return unchanged(state)
  const next = withHandle(state, msg.result)
  return { state: next, effects: next.handles.slice(state.handles.length).map((each): MoveEffect => ({ type: 'release', ...each })) }
}

function withHandle (state: MoveState, result: OrderResult): MoveState {
  const handle = 'handle' in result ? result.handle : undefined
  if (handle === undefined || state.handles.some((each) => each.handle === handle)) return state
  return { ...state, handles: [...state.handles, { handle, target: state.target }] }
}

function answered (state: MoveState, result: OrderResult): MoveStep {
  return state.phase === 'preparing' ? prepared(state, result) : ordered(state, result)
}

/** A lost copy is ordered again, since an order to copy does not change the run. */
function prepared (state: MoveState, result: OrderResult): MoveStep {
  if (result.type === 'done') return commit({ ...state, prepared: { target: state.target, handle: result.handle } })
  const [target, ...alternatives] = state.alternatives
  if (result.type === 'refused' && target !== undefined) return prepare({ ...state, target, alternatives })
  const copies = result.type === 'busy' ? state.copies - 1 : state.copies
  if ((result.type !== 'lost' && result.type !== 'busy') || copies >= MAX_COPIES) return finish(state, 'not-moved')
  return { state: { ...state, phase: 'repeating', copies }, effects: [{ type: 'wait', ms: REPEAT_ORDER_MS }] }
}

function prepare (state: MoveState): MoveStep {
  return { state: { ...state, phase: 'preparing', copies: state.copies + 1 }, effects: [{ type: 'prepare', target: state.target }] }
}

function commit (state: MoveState): MoveStep {
  return { state: { ...state, phase: 'committing', orders: state.orders + 1 }, effects: [{ type: 'commit', target: state.target }] }
}

function ordered (state: MoveState, result: OrderResult): MoveStep {
  if (state.phase !== 'committing') return unchanged(state)
  // The answer to the order that is under way is still to be had, so this one does not count.
  if (result.type === 'busy') return { state: { ...state, phase: 'busy' }, effects: [{ type: 'wait', ms: REPEAT_ORDER_MS }] }
  if (result.type === 'done') return drain({ ...state, stopped: { handle: result.handle, events: result.events }, copied: true })
  if (result.type === 'refused' && result.handle !== undefined) return stoppedWithoutCopy({ ...state, stopped: { handle: result.handle, events: result.events ?? state.stopped?.events ?? state.position }, copied: false })
  // A run that is known to have stopped stays so, whatever the answer to a later order was.
  if (state.stopped) return stoppedWithoutCopy({ ...state, copied: false })
  if (state.closed && (result.type === 'gone' || result.type === 'no-run')) return check(state)
  if (state.orders >= MAX_ORDERS || result.type === 'gone') return state.closed ? check(state) : { state: { ...state, phase: 'watching' }, effects: [] }
  return { state: { ...state, phase: 'unsure' }, effects: [{ type: 'wait', ms: REPEAT_ORDER_MS }] }
}

/** The run has stopped at its source but the target has no complete copy: another target, otherwise the source itself continues. */
function stoppedWithoutCopy (state: MoveState): MoveStep {
  const [target, ...alternatives] = state.alternatives
  if (target !== undefined && state.orders < MAX_ORDERS) return commit({ ...state, target, alternatives })
  return drain(state)
}

/** Waits for the last events that the source made, and then continues. */
function drain (state: MoveState): MoveStep {
  if (state.closed || state.position >= state.stopped!.events) return continueStream(state)
  return { state: { ...state, phase: 'draining' }, effects: [{ type: 'wait', ms: DRAIN_MS }] }
}

function continueStream (state: MoveState): MoveStep {
  const { stopped, prepared, position } = state
  const at = placeOf(state)
  const handle = stopped ? stopped.handle : prepared!.handle
  return { state: { ...state, phase: 'continuing', at, continuations: state.continuations + 1 }, effects: [{ type: 'continue', at, handle, from: position, isRepeat: state.refusals > 0 }] }
}

function passedOn (state: MoveState, position: number): MoveStep {
  const next = { ...state, position: Math.max(state.position, position) }
  return state.phase === 'draining' && next.position >= next.stopped!.events ? continueStream(next) : unchanged(next)
}

function closed (state: MoveState, mayBeWhole = false): MoveStep {
  const next = { ...state, closed: true, canUsePrepared: state.canUsePrepared && !mayBeWhole }
  switch (state.phase) {
    case 'preparing':
    case 'repeating': return finish(next, 'given-up')
    case 'draining': return continueStream(next)
    // The order to stop may have been carried out late; its answer brings the handle.
    case 'watching': return commit({ ...next, orders: MAX_ORDERS - 1 })
    default: return unchanged(next)
  }
}

function check (state: MoveState): MoveStep {
  return state.prepared && state.canUsePrepared ? { state: { ...state, phase: 'checking' }, effects: [{ type: 'check' }] } : finish(state, 'given-up')
}

function checked (state: MoveState, stopped: boolean): MoveStep {
  if (state.phase !== 'checking') return unchanged(state)
  return stopped ? continueStream(state) : finish(state, 'given-up')
}

function timer (state: MoveState): MoveStep {
  if (state.phase === 'repeating') return prepare(state)
  if (state.phase === 'unsure') return commit(state)
  if (state.phase === 'busy') return commit({ ...state, orders: state.orders - 1 })
  return state.phase === 'draining' || state.phase === 'retrying' ? continueStream(state) : unchanged(state)
}

/** The handle was not used, so it is the source's still: the stream continues at the source, or at the copy when that was tried last. */
function notContinued (state: MoveState, reached: boolean): MoveStep {
  if (state.phase !== 'continuing') return unchanged(state)
  const next = { ...state, refusals: state.refusals + (reached ? 1 : 0) }
  return next.continuations >= MAX_CONTINUATIONS || next.refusals >= MAX_REFUSALS ? finish(next, 'given-up') : elsewhere(next)
}

function barred (state: MoveState): MoveStep {
  // The order to stop was not sent, so the run goes on.
  if (state.phase === 'committing') return state.stopped ? stoppedWithoutCopy(state) : finish({ ...state, orders: 0 }, 'not-moved')
  if (state.phase !== 'continuing') return unchanged(state)
  return elsewhere({ ...state, barred: [...state.barred, state.at!], continuations: state.continuations - 1 })
}

function overBudget (state: MoveState): MoveStep {
  // The order to stop was not sent, so the run goes on.
  if (state.phase === 'committing' && !state.stopped) return finish({ ...state, orders: 0 }, 'not-moved')
  return state.phase === 'continuing' ? finish(state, 'given-up') : unchanged(state)
}

/** After a place did not take the stream: another target, then the source, then the last copy again. */
function elsewhere (state: MoveState): MoveStep {
  const [target, ...alternatives] = state.alternatives
  if (state.stopped && target !== undefined && state.orders < MAX_ORDERS) return commit({ ...state, target, alternatives, copied: false })
  const next = { ...state, copied: state.copied && state.barred.includes(state.source) }
  if (state.barred.includes(placeOf(next))) return finish(state, 'given-up')
  return { state: { ...next, phase: 'retrying' }, effects: [{ type: 'wait', ms: REPEAT_CONTINUATION_MS }] }
}

function placeOf ({ stopped, prepared, copied, target, source }: MoveState): EndpointId {
  if (!stopped) return prepared!.target
  return copied ? target : source
}

/** Ends the move and frees its copies, except the one in use if `keep` is set. */
function finish (state: MoveState, outcome: MoveOutcome, { keep = false } = {}): MoveStep {
  const used = keep ? (state.stopped ?? state.prepared)?.handle : undefined
  const unused = state.handles.filter(({ handle }) => handle !== used)
  return { state: { ...state, phase: 'ended', outcome }, effects: [...unused.map((each): MoveEffect => ({ type: 'release', ...each })), { type: 'finish', outcome }] }
}

function unchanged (state: MoveState): MoveStep {
  return { state, effects: [] }
}
