/** Measures how long this process was paused, or busy with other work than reading answers. */
import { steadyNow } from '../../core/time/index.ts'
import { guarded } from '../tasks/index.ts'

/** A pause, in milliseconds on the steady clock. */
interface Pause { fromMs: number, toMs: number }
/** Total time for which the process had been busy at a moment, in milliseconds. */
interface BusySample { atMs: number, busyMs: number }

/** Options of {@linkcode ProcessAvailability}. */
export interface ProcessAvailabilityOptions {
  /** Returns for how long the process has been busy since its start, in milliseconds. Default: the active time of the event loop. */
  busyMs?: () => number
}

const TICK_INTERVAL_MS = 10
/** Lateness of a timer that is not counted as a pause, in milliseconds: the resolution of timers. */
const TIMER_RESOLUTION_MS = 2
/** Time for which measurements are kept, in milliseconds. */
const RETENTION_MS = 30_000

/**
 * Measures by a periodic timer, while started.
 *
 * A suspended process shows as a late timer, one that has more work than processor time as a busy event loop. Both delay the reading of answers.
 */
export class ProcessAvailability {
  readonly #busyMs: () => number
  #pauses: Pause[] = []
  #samples: BusySample[] = []
  #timer: NodeJS.Timeout | undefined
  #nextTickAtMs = Infinity

  constructor (options: ProcessAvailabilityOptions = {}) {
    this.#busyMs = options.busyMs ?? (() => performance.eventLoopUtilization().active)
  }

  /** Starts measuring; does nothing if already started. */
  start (): void {
    if (this.#timer) return
    this.#nextTickAtMs = steadyNow() + TICK_INTERVAL_MS
    this.#samples = [{ atMs: steadyNow(), busyMs: this.#busyMs() }]
    this.#timer = setInterval(guarded('process-availability', () => this.#tick()), TICK_INTERVAL_MS)
  }

  /** Stops measuring and forgets all measurements. */
  stop (): void {
    clearInterval(this.#timer)
    this.#timer = undefined
    this.#nextTickAtMs = Infinity
    this.#pauses = []
    this.#samples = []
  }

  /**
   * Returns for how long this process has been paused or busy since a moment, in milliseconds.
   * @param fromMs A moment within the last 30 seconds, in milliseconds on the steady clock.
   */
  unavailableSince (fromMs: number): number {
    return Math.max(this.#pausedSince(fromMs), this.#busySince(fromMs))
  }

  #pausedSince (fromMs: number): number {
    const now = steadyNow()
    const current = isLate(this.#nextTickAtMs, now) ? [{ fromMs: this.#nextTickAtMs, toMs: now }] : []
    return [...this.#pauses, ...current].reduce((sum, pause) => sum + Math.max(0, pause.toMs - Math.max(fromMs, pause.fromMs)), 0)
  }

  #busySince (fromMs: number): number {
    const before = this.#samples.findLast(({ atMs }) => atMs <= fromMs) ?? this.#samples[0]
    return before ? Math.min(steadyNow() - fromMs, this.#busyMs() - before.busyMs) : 0
  }

  #tick (): void {
    const now = steadyNow()
    if (isLate(this.#nextTickAtMs, now)) this.#pauses.push({ fromMs: this.#nextTickAtMs, toMs: now })
    this.#samples.push({ atMs: now, busyMs: this.#busyMs() })
    this.#nextTickAtMs = now + TICK_INTERVAL_MS
    while (this.#pauses[0] && this.#pauses[0].toMs < now - RETENTION_MS) this.#pauses.shift()
    while (this.#samples[0] && this.#samples[0].atMs < now - RETENTION_MS) this.#samples.shift()
  }
}

function isLate (dueAtMs: number, now: number): boolean {
  return now - dueAtMs > TIMER_RESOLUTION_MS
}
