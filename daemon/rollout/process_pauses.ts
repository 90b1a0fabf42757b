/** Measures how long this process was paused, or too busy to read answers. */
import { steadyNow } from '../../core/time/index.ts'

/** A pause, in milliseconds on the steady clock. */
interface Pause { fromMs: number, toMs: number }

const TICK_INTERVAL_MS = 10
/** Lateness of a timer that is not counted as a pause, in milliseconds: the resolution of timers. */
const TIMER_RESOLUTION_MS = 2
/** Time for which pauses are remembered, in milliseconds. */
const RETENTION_MS = 30_000

/** Detects pauses by a periodic timer that fires late; measures only while started. */
export class ProcessPauses {
  #pauses: Pause[] = []
  #timer: NodeJS.Timeout | undefined
  #nextTickAtMs = Infinity

  /** Starts measuring; does nothing if already started. */
  start (): void {
    if (this.#timer) return
    this.#nextTickAtMs = steadyNow() + TICK_INTERVAL_MS
    this.#timer = setInterval(() => this.#tick(), TICK_INTERVAL_MS)
  }

  /** Stops measuring and forgets all pauses. */
  stop (): void {
    clearInterval(this.#timer)
    this.#timer = undefined
    this.#nextTickAtMs = Infinity
    this.#pauses = []
  }

  /**
   * Returns for how long this process has been paused since a moment, in milliseconds, including a pause that has just ended.
   * @param fromMs A moment within the last 30 seconds, in milliseconds on the steady clock.
   */
  since (fromMs: number): number {
    const now = steadyNow()
    const current = isLate(this.#nextTickAtMs, now) ? [{ fromMs: this.#nextTickAtMs, toMs: now }] : []
    return [...this.#pauses, ...current].reduce((sum, pause) => sum + Math.max(0, pause.toMs - Math.max(fromMs, pause.fromMs)), 0)
  }

  #tick (): void {
    const now = steadyNow()
    if (isLate(this.#nextTickAtMs, now)) this.#pauses.push({ fromMs: this.#nextTickAtMs, toMs: now })
    this.#nextTickAtMs = now + TICK_INTERVAL_MS
    while (this.#pauses[0] && this.#pauses[0].toMs < now - RETENTION_MS) this.#pauses.shift()
  }
}

function isLate (dueAtMs: number, now: number): boolean {
  return now - dueAtMs > TIMER_RESOLUTION_MS
}
