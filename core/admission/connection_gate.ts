/** Decides whether a daemon takes new connections from callers, by how long they wait to be accepted. */

/** How a new connection was accepted. */
export interface Acceptance {
  /** Time that it waited, in milliseconds. */
  waitMs: number
  /** Connections that were accepted meanwhile. */
  ahead: number
}

/** Wait above which a daemon is handed more connections than it can read in time, in milliseconds. A core that is paused for a part of each tenth of a second stays below. */
const CLOSE_ABOVE_MS = 200
/** Wait beyond which a sample tells nothing more, in milliseconds: callers' time passes while it is taken. */
export const MAX_SAMPLED_WAIT_MS = CLOSE_ABOVE_MS + 1
/** Least number of connections ahead of those that wait in a row, without which the process is slow for another reason, which closing connections does not mend. */
const MIN_AHEAD = 10
/** Wait below which it takes new connections again, in milliseconds. */
const OPEN_BELOW_MS = 100
/** Samples in a row that close or open the gate: a burst that is read within half a second is served. */
const SAMPLES = 2

/**
 * A gate for new connections.
 *
 * A daemon that is handed more connections than it can serve answers all of them late. Connections that it does not read go to another daemon with their callers' next try.
 */
export class ConnectionGate {
  #isOpen = true
  #samplesAgainst = 0
  #aheadInRow = 0

  /** True if the last sample is to be followed by another one at once, since two in a row decide. */
  get isUndecided (): boolean { return this.#samplesAgainst > 0 }

  /** False while new connections are closed unread. */
  get isOpen (): boolean { return this.#isOpen }

  /**
   * Records how a connection was accepted.
   * @returns True if the gate opened or closed.
   */
  sample ({ waitMs, ahead }: Acceptance): boolean {
    const isAgainst = this.#isOpen ? waitMs > CLOSE_ABOVE_MS : waitMs < OPEN_BELOW_MS
    this.#samplesAgainst = isAgainst ? this.#samplesAgainst + 1 : 0
    this.#aheadInRow = isAgainst ? this.#aheadInRow + ahead : 0
    if (this.#samplesAgainst < SAMPLES || (this.#isOpen && this.#aheadInRow < MIN_AHEAD)) return false
    this.#samplesAgainst = 0
    this.#aheadInRow = 0
    this.#isOpen = !this.#isOpen
    return true
  }
}
