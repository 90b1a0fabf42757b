/** Decides from heartbeats when a neighbour is suspected. A suspicion is a hint for routing, never a right to act. */

/** Watches one neighbour's heartbeats. */
export interface Detector {
  /** A heartbeat arrived. */
  heard (now: number): void
  /** True when the silence is too long. */
  suspects (now: number): boolean
}

/** Suspects after a fixed silence. */
export class TimeoutDetector implements Detector {
  readonly #timeoutMs: number
  #heardAtMs: number

  constructor (timeoutMs: number, now: number) {
    this.#timeoutMs = timeoutMs
    this.#heardAtMs = now
  }

  heard (now: number): void { this.#heardAtMs = now }
  suspects (now: number): boolean { return now - this.#heardAtMs > this.#timeoutMs }
}
