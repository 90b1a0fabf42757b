/** Decides whether a daemon takes new connections from callers, by how long they wait to be accepted. */

/** Wait above which a daemon is handed more connections than it can read in time, in milliseconds. A core that is paused for a part of each tenth of a second stays below. */
const CLOSE_ABOVE_MS = 200
/** Wait below which it takes new connections again, in milliseconds. */
const OPEN_BELOW_MS = 100
/** Samples in a row that open the gate again. */
const SAMPLES_TO_OPEN = 2

/**
 * A gate for new connections.
 *
 * A daemon that is handed more connections than it can serve answers all of them late. Connections that it does not read go to another daemon with their callers' next try.
 */
export class ConnectionGate {
  #isOpen = true
  #samplesToOpen = 0

  /** False while new connections are closed unread. */
  get isOpen (): boolean { return this.#isOpen }

  /**
   * Records how long a connection waited until it was accepted, in milliseconds.
   * @returns True if the gate opened or closed.
   */
  sample (waitMs: number): boolean {
    if (this.#isOpen) {
      this.#samplesToOpen = SAMPLES_TO_OPEN
      this.#isOpen = waitMs <= CLOSE_ABOVE_MS
      return !this.#isOpen
    }
    this.#samplesToOpen = waitMs < OPEN_BELOW_MS ? this.#samplesToOpen - 1 : SAMPLES_TO_OPEN
    this.#isOpen = this.#samplesToOpen === 0
    return this.#isOpen
  }
}
