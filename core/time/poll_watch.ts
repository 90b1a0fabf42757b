/** Measures how long the event loop has not polled for I/O. */
import { steadyNow } from './steady_now.ts'

const CHECK_INTERVAL_MS = 100
/** Age from which on what is read counts as late, in milliseconds. */
const LATE_MS = 150

/**
 * Bounds the age of what was read last: while a process is stopped, or within a long turn of its event loop, bytes and ends of connections wait in the system's queues, and one poll reads them in any order.
 *
 * The bound is exact to the interval of its checks, 100 ms.
 */
export class PollWatch {
  #polledAtMs = steadyNow()
  #timer: NodeJS.Timeout | undefined

  /** Starts the periodic checks. */
  start (): void {
    this.#polledAtMs = steadyNow()
    this.#timer = setInterval(() => {
      const now = steadyNow()
      // Immediates run after the poll that follows the timers.
      setImmediate(() => { this.#polledAtMs = now })
    }, CHECK_INTERVAL_MS)
    this.#timer.unref()
  }

  /** Stops the periodic checks. */
  stop (): void {
    clearInterval(this.#timer)
  }

  /** True if what is read now may have waited for long; so may the ends of connections that are read after it. */
  get isLate (): boolean { return this.unreadMs > LATE_MS }

  /** Returns true if the end of a connection may have arrived, unread, behind something that took `ms` milliseconds to read. */
  isLateAfter (ms: number): boolean { return this.isLate || ms > LATE_MS }

  /** Calls back once the loop has polled again, so that all that has arrived by now was read. */
  afterPoll (callback: () => void): void {
    // The first one runs after the poll that is under way.
    setImmediate(setImmediate, callback)
  }

  /** Longest time for which something that is read now can have waited unread on an open connection, in milliseconds. */
  get unreadMs (): number { return steadyNow() - this.#polledAtMs }
}
