/** Keeps what this process holds for callers and endpoints within its memory. */
import { MEMORY_KINDS, MemoryAccount, selectEvictions, type MemoryEntry } from '../../core/memory/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { log } from '../log/index.ts'
import type { Metrics } from '../metrics.ts'
import { accountLimitBytes } from './account_limit.ts'
import { guarded } from '../tasks/index.ts'

/** An answer of which the caller has not taken everything. */
export interface HeldAnswer {
  /** Bytes that the caller has not taken. */
  readonly heldBytes: number
  /** When the caller last took anything, in milliseconds on the steady clock. */
  readonly takenAtMs: number
  /** True while reading from the endpoint pauses. */
  readonly paused: boolean
  /** True if the request may be sent again, or its stream resumed. */
  readonly repeatable: boolean
  /** Looks at how much the caller has taken since the last call. */
  observe (now: number): void
  /** Breaks the answer off; it must not look complete. */
  evict (now: number): void
}

/** Options of {@linkcode MemoryGuard}. */
export interface MemoryGuardOptions {
  metrics: Metrics
  /** Memory that the process may use, in bytes. Default: not bounded. */
  limitBytes?: number | undefined
}

const CHECK_INTERVAL_MS = 250
/**
 * Time without visible progress from which on an answer may be ended above the high mark, in milliseconds. The system takes bytes of a caller that
 * reads slowly in large steps, so that its progress shows only every few seconds.
 */
const EVICTABLE_UNREAD_MS = { high: 5000, full: 1000 }
/** Memory of an idle connection in bytes: what the runtime and its streams keep for it. */
const CONNECTION_BYTES = 2 * 1024

/** Owns the account, and ends answers that nobody reads. */
export class MemoryGuard {
  readonly account: MemoryAccount
  readonly #metrics: Metrics
  readonly #answers = new Set<HeldAnswer>()
  readonly #connections: MemoryEntry
  #timer: NodeJS.Timeout | undefined

  constructor ({ metrics, limitBytes }: MemoryGuardOptions) {
    this.#metrics = metrics
    this.account = new MemoryAccount({
      limitBytes: limitBytes === undefined ? undefined : accountLimitBytes(limitBytes),
      onLevel: (level, before) => log('memory-level', { level, before, heldBytes: this.account.heldBytes, limitBytes: this.account.limitBytes })
    })
    this.#connections = this.account.open('connection')
  }

  /** Starts the periodic checks. */
  start (): void {
    this.#timer = setInterval(guarded('memory-guard', () => this.check()), CHECK_INTERVAL_MS)
  }

  /** Stops the periodic checks. */
  stop (): void {
    clearInterval(this.#timer)
  }

  /** Counts a connection that was opened. */
  connectionOpened (): void {
    this.#connections.set(this.#connections.bytes + CONNECTION_BYTES)
  }

  /** Counts a connection that was closed. */
  connectionClosed (): void {
    this.#connections.set(this.#connections.bytes - CONNECTION_BYTES)
  }

  /** Checks an answer until it is released. */
  watch (answer: HeldAnswer): void {
    this.#answers.add(answer)
  }

  /** Checks an answer no more. */
  release (answer: HeldAnswer): void {
    this.#answers.delete(answer)
  }

  /** Number of answers that pause. */
  get paused (): number {
    let count = 0
    for (const { paused } of this.#answers) if (paused) count++
    return count
  }

  /** Sets the gauges. */
  report (): void {
    for (const kind of MEMORY_KINDS) this.#metrics.heldBytes.set({ kind }, this.account.bytesOf(kind))
    this.#metrics.pausedAnswers.set(this.paused)
  }

  /** Checks all watched answers once. */
  check (): void {
    if (this.#answers.size === 0) return
    const now = steadyNow()
    for (const answer of this.#answers) answer.observe(now)
    const { level, yieldingBytes, highMarkBytes } = this.account
    if (level !== 'normal' && yieldingBytes >= highMarkBytes) this.#makeRoom(EVICTABLE_UNREAD_MS[level], now)
  }

  #makeRoom (unreadMs: number, now: number): void {
    const candidates = [...this.#answers].map((answer) => ({ bytes: answer.heldBytes, takenAtMs: answer.takenAtMs, repeatable: answer.repeatable, answer }))
    const { yieldingBytes, lowMarkBytes } = this.account
    for (const { answer } of selectEvictions(candidates, { excessBytes: yieldingBytes - lowMarkBytes, now, unreadMs })) {
      this.#metrics.evictions.inc({ kind: 'answer' })
      this.release(answer)
      answer.evict(now)
    }
  }
}
