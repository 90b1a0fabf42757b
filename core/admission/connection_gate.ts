/** Decides whether a daemon takes new connections from callers, by how long they wait to be accepted while the process itself works. */

/** How a new connection was accepted. */
export interface Acceptance {
  /** Time that it waited, in milliseconds. */
  waitMs: number
  /** Processor time that the process used meanwhile, in milliseconds. */
  ranMs: number
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
/** Least processor time that the process uses while connections wait in a row, in milliseconds. What others on the host take delays connections as well, and closing them does not mend it. */
const MIN_RAN_MS = SAMPLES * CLOSE_ABOVE_MS

/**
 * A gate for new connections.
 *
 * A daemon that is handed more connections than it can serve answers all of them late. Connections that it does not read go to another daemon with their callers' next try.
 */
export class ConnectionGate {
  #isOpen = true
  #samplesAgainst = 0
  #aheadInRow = 0
  #ranInRowMs = 0
  /** True from when the gate closes until connections are accepted in time while it is open. */
  #isHerd = false

  /** True if the last sample is to be followed by another one at once, since two in a row decide. */
  get isUndecided (): boolean { return this.#samplesAgainst > 0 }

  /** False while new connections are closed unread. */
  get isOpen (): boolean { return this.#isOpen }

  /**
   * Records how a connection was accepted.
   * @returns True if the gate opened or closed.
   */
  sample ({ waitMs, ranMs, ahead }: Acceptance): boolean {
    const isAgainst = this.#isOpen ? waitMs > CLOSE_ABOVE_MS : waitMs < OPEN_BELOW_MS
    if (this.#isOpen && waitMs < OPEN_BELOW_MS) this.#isHerd = false
    if (!isAgainst) this.#startRow()
    else {
      this.#samplesAgainst++
      this.#aheadInRow += ahead
      // Other threads of the process use processor time as well.
      this.#ranInRowMs += Math.min(ranMs, waitMs)
    }
    if (this.#samplesAgainst < SAMPLES || (this.#isOpen && (this.#aheadInRow < MIN_AHEAD || (!this.#isHerd && this.#ranInRowMs < MIN_RAN_MS)))) return false
    this.#startRow()
    this.#isOpen = !this.#isOpen
    this.#isHerd = true
    return true
  }

  #startRow (): void {
    this.#samplesAgainst = 0
    this.#aheadInRow = 0
    this.#ranInRowMs = 0
  }
}
