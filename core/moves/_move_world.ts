/** One stream, its source and two targets for tests of moves: a virtual clock, and calls that are lost, late or answered with nonsense. */
import type { EndpointId } from '../ids/index.ts'
import { as } from '../ids/index.ts'
import type { Random } from '../routing/index.ts'
import { mayBeStopped, newMove, stepMove, type KvHandle, type MoveEffect, type MoveMessage, type MoveState, type OrderResult } from './stream_move.ts'

export const SOURCE = as<EndpointId>('source')
export const TARGETS = [as<EndpointId>('t1'), as<EndpointId>('t2')] as const
const EVENT_MS = 20
const CALL_MS = 5
/** Time after which the answer to an order counts as lost, in milliseconds. It knows nothing of the time that a copy takes. */
const ORDER_LIMIT_MS = 300

/** Age of a report, in milliseconds. */
const REPORT_AGE_MS = 300

/** What befalls a schedule. */
export interface WorldOptions {
  random: Random
  /** Time until the source dies, in milliseconds. */
  noticeMs: number
  /** Time from which the source must get no request, in milliseconds. Default: it may always. */
  barredAfterMs?: number
  /** Probability that the retry budget does not allow an arrival. Default: 0. */
  deniedShare?: number
  /** True if nothing marks the end of the source's answer. Default: false. */
  unmarked?: boolean
  /** Number of events of the whole stream. */
  total: number
  copyMs: number
  /** Probability that an answer is lost, and separately that an order is. */
  lossShare: number
  /** Probability that an answer makes no sense. */
  nonsenseShare: number
  /** Probability that an order, an answer or an event is late. */
  lateShare: number
  /** Probability that a target dies at a random time. */
  targetDeathShare: number
  /** Probability that a target has no room for a copy, since another daemon chose it. */
  fullShare: number
  /** Probability that the connection to the source is cut at a random time while the source runs on. */
  cutShare: number
}

/** What came of a schedule. */
export interface WorldResult {
  /** Numbers of the events that the caller got. */
  events: number[]
  whole: boolean
  /** True if two runs of the stream were at work at once. */
  doubled: boolean
  /** True if an endpoint died while the stream ran there after its move. */
  lostAfterMove: boolean
  /** Handles that answers named whose copies were neither used nor freed. */
  left: KvHandle[]
  state: MoveState
}

interface Run { at: EndpointId, next: number, connection: number }

/** Plays one schedule to its end. */
export function playMove (options: WorldOptions): WorldResult {
  return new MoveWorld(options).play()
}

class MoveWorld {
  readonly #options: WorldOptions
  readonly #queue: Array<{ atMs: number, seq: number, run: () => void }> = []
  readonly #dead = new Set<EndpointId>()
  /** Runs at work, by endpoint. */
  readonly #runs = new Map<EndpointId, Run>()
  /** Copies at targets, and the cache that a stopped run left, by handle. */
  readonly #copies = new Map<KvHandle, { at: ReadonlySet<EndpointId>, final: boolean }>()
  #memory: { events: number } | undefined
  #busy = false
  /** Targets that have a copy, so that only what is new is sent to them. */
  readonly #sentTo = new Set<EndpointId>()
  #now = 0
  #seq = 0
  #handleCount = 0
  /** The connection that the daemon reads; others are closed. */
  #connection = 1
  #connections = 1
  #failureHeld = false
  /** True once the stream ended whole with an end that nothing marked. */
  #sawEnd = false
  readonly #result = { events: [] as number[], whole: false, doubled: false, lostAfterMove: false }
  #ended = false
  #state: MoveState

  constructor (options: WorldOptions) {
    this.#options = options
    this.#state = newMove({ source: SOURCE, targets: TARGETS, position: 0 })
    const { random } = options
    // The first number of a seeded generator is the same for every seed.
    random()
    if (random() < options.cutShare) this.#at(random() * options.noticeMs, () => this.#cut())
    for (const target of TARGETS) {
      if (random() < options.targetDeathShare) this.#at(random() * options.noticeMs, () => this.#die(target))
    }
  }

  play (): WorldResult {
    this.#begin({ at: SOURCE, next: 1, connection: 1 })
    this.#at(this.#options.noticeMs, () => this.#die(SOURCE))
    this.#at(10, () => this.#post({ type: 'begin' }))
    for (let next = this.#queue.sort(byTime).shift(); next; next = this.#queue.sort(byTime).shift()) {
      this.#now = next.atMs
      next.run()
      if (this.#runs.size > 1) this.#result.doubled = true
    }
    return { ...this.#result, left: this.#state.handles.map(({ handle }) => handle).filter((handle) => this.#copies.has(handle)), state: this.#state }
  }

  #at (inMs: number, run: () => void): void {
    this.#queue.push({ atMs: this.#now + inMs, seq: this.#seq++, run })
  }

  get #latencyMs (): number {
    const { random, lateShare } = this.#options
    return CALL_MS + (lateShare > 0 && random() < lateShare ? random() * 600 : 0)
  }

  #die (id: EndpointId): void {
    this.#dead.add(id)
    const run = this.#runs.get(id)
    this.#runs.delete(id)
    if (run && id !== SOURCE) this.#result.lostAfterMove = true
    if (run) this.#at(this.#latencyMs, () => this.#onBroken(run.connection))
  }

  #cut (): void {
    if (this.#connection !== 1) return
    this.#onBroken(1)
    if (this.#connection === 1) this.#connection = 0
  }

  #begin (run: Run): void {
    if (this.#runs.has(run.at) || this.#sawEnd) this.#result.doubled = true
    this.#runs.set(run.at, run)
    let lastMs = 0
    const make = () => {
      if (this.#runs.get(run.at) !== run) return
      const event = run.next++
      // A connection delivers in order.
      lastMs = Math.max(lastMs, this.#now + this.#latencyMs)
      this.#at(lastMs - this.#now, () => this.#onEvent(run.connection, event))
      if (event === this.#options.total) {
        this.#runs.delete(run.at)
        this.#at(lastMs - this.#now, () => this.#onWhole(run.connection))
      } else this.#at(EVENT_MS, make)
    }
    this.#at(EVENT_MS, make)
  }

  #onEvent (connection: number, event: number): void {
    if (connection !== this.#connection || this.#ended) return
    const { events } = this.#result
    if (event <= (events.at(-1) ?? 0)) return
    events.push(event)
    if (connection > 1) this.#post({ type: 'continued' })
    else this.#post({ type: 'passed-on', position: event })
  }

  #onWhole (connection: number): void {
    if (connection !== this.#connection || this.#ended) return
    if (connection === 1 && this.#options.unmarked && mayBeStopped(this.#state)) {
      this.#sawEnd = true
      return this.#onBroken(connection)
    }
    this.#ended = true
    this.#result.whole = true
    if (connection > 1) this.#post({ type: 'continued' })
    this.#post({ type: 'ended', whole: true })
  }

  #onBroken (connection: number): void {
    if (connection !== this.#connection || this.#ended) return
    this.#failureHeld = true
    if (connection > 1) this.#post({ type: 'lost-continuation' })
    else this.#post({ type: 'closed', mayBeWhole: this.#options.unmarked ?? false })
    if (this.#state.phase === 'ended') this.#ended = true
  }

  #post (msg: MoveMessage): void {
    const { state, effects } = stepMove(this.#state, msg)
    this.#state = state
    for (const effect of effects) this.#execute(effect)
  }

  #execute (effect: MoveEffect): void {
    switch (effect.type) {
      case 'prepare': return this.#order(effect.target, false)
      case 'commit': return this.#isDenied() ? this.#post({ type: 'over-budget' }) : this.#order(effect.target, true)
      case 'wait': return this.#at(effect.ms, () => this.#post({ type: 'timer' }))
      case 'check': return this.#at(REPORT_AGE_MS, () => this.#check())
      case 'continue': return this.#continue(effect)
      case 'release': this.#copies.delete(effect.handle); return
      case 'finish': if (effect.outcome === 'given-up' && this.#failureHeld) this.#ended = true
    }
  }

  /** Answers with what was so some time ago, or not at all. */
  #check (): void {
    const { random, lossShare } = this.#options
    const stopped = this.#dead.has(SOURCE) || !this.#runs.has(SOURCE)
    this.#at(REPORT_AGE_MS + this.#latencyMs, () => this.#post({ type: 'checked', stopped: stopped && random() >= lossShare }))
  }

  #isDenied (): boolean {
    const { deniedShare = 0, random } = this.#options
    return this.#state.orders === 1 && !this.#state.closed && deniedShare > 0 && random() < deniedShare
  }

  /** Sends an order, which may be lost or carried out after its answer was given up. */
  #order (target: EndpointId, isLast: boolean): void {
    const { random, lossShare, nonsenseShare } = this.#options
    let answered = false
    const answer = (result: OrderResult) => {
      if (answered) return
      answered = true
      this.#post({ type: 'answer', result })
    }
    this.#at(ORDER_LIMIT_MS, () => answer({ type: 'lost' }))
    if (random() < lossShare) return
    this.#at(this.#latencyMs, () => this.#carryOut(target, isLast, (result) => {
      if (random() < lossShare) return
      this.#at(this.#latencyMs, () => answer(random() < nonsenseShare ? { type: 'lost' } : result))
    }))
  }

  #carryOut (target: EndpointId, isLast: boolean, answer: (result: OrderResult) => void): void {
    if (this.#dead.has(SOURCE)) return answer({ type: 'gone' })
    if (this.#busy) return answer({ type: 'busy' })
    const run = this.#runs.get(SOURCE)
    if (!run && !this.#memory) return answer({ type: 'no-run' })
    if (isLast && run) {
      this.#runs.delete(SOURCE)
      this.#memory = { events: run.next - 1 }
      this.#at(this.#latencyMs + EVENT_MS, () => this.#onBroken(run.connection))
    }
    this.#busy = true
    this.#at(this.#sentTo.has(target) ? CALL_MS : this.#options.copyMs, () => {
      this.#busy = false
      if (this.#dead.has(SOURCE)) return
      const events = this.#memory?.events ?? (this.#runs.get(SOURCE)?.next ?? 1) - 1
      const handle = `h${++this.#handleCount}`
      const reached = !this.#dead.has(target) && this.#options.random() >= this.#options.fullShare
      if (reached) this.#sentTo.add(target)
      if (reached || isLast) this.#copies.set(handle, { at: new Set([...(reached ? [target] : []), ...(isLast ? [SOURCE] : [])]), final: isLast })
      answer(reached ? { type: 'done', handle, events } : { type: 'refused', ...(isLast && { handle, events }) })
    })
  }

  #continue ({ at, handle, from, isRepeat }: Extract<MoveEffect, { type: 'continue' }>): void {
    const { barredAfterMs = Infinity, deniedShare = 0, random } = this.#options
    if (at === SOURCE && this.#now > barredAfterMs) return this.#post({ type: 'barred' })
    if (isRepeat && deniedShare > 0 && random() < deniedShare) return this.#post({ type: 'over-budget' })
    const connection = this.#connection = ++this.#connections
    this.#failureHeld = false
    this.#at(this.#latencyMs, () => {
      const copy = this.#copies.get(handle)
      if (this.#dead.has(at) || !copy?.at.has(at)) {
        return this.#at(this.#latencyMs, () => {
          if (connection !== this.#connection) return
          this.#failureHeld = true
          this.#post({ type: 'not-continued', reached: !this.#dead.has(at) })
        })
      }
      this.#copies.delete(handle)
      if (at === SOURCE) this.#memory = undefined
      this.#begin({ at, next: from + 1, connection })
    })
  }
}

function byTime (a: { atMs: number, seq: number }, b: { atMs: number, seq: number }): number {
  return a.atMs - b.atMs || a.seq - b.seq
}
