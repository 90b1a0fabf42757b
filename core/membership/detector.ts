/** Failure detection from heartbeats. A suspicion is a hint for routing; it never authorizes a daemon to take over work. */

/** Failure detector of one neighbour. Times are in milliseconds on the daemon's clock. */
export interface FailureDetector {
  /** Records a heartbeat. */
  recordHeartbeat (now: number): void
  /** Returns true if the neighbour has been silent for too long. */
  isSuspect (now: number): boolean
}

/** Suspects a neighbour after a fixed period of silence. */
export class TimeoutDetector implements FailureDetector {
  readonly #timeoutMs: number
  #lastHeartbeatMs: number

  constructor (timeoutMs: number, now: number) {
    this.#timeoutMs = timeoutMs
    this.#lastHeartbeatMs = now
  }

  recordHeartbeat (now: number): void { this.#lastHeartbeatMs = now }
  isSuspect (now: number): boolean { return now - this.#lastHeartbeatMs > this.#timeoutMs }
}
