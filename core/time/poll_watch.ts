/** Measures how long the event loop has not polled for I/O. */
import { steadyNow } from './steady_now.ts'

const CHECK_INTERVAL_MS = 100

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

  /** Longest time for which something that is read now can have waited unread on an open connection, in milliseconds. */
  get unreadMs (): number { return steadyNow() - this.#polledAtMs }
}
