/** Estimates how long messages wait in the queue of a shared link, from their round-trip times. */

/** Time for which the least round trip is remembered, in milliseconds: a route that has become longer is learned after it. */
const BASE_WINDOW_MS = 60_000
const BASE_SLOTS = 6
/** Number of latest samples of which the least counts: a single late sample is more often a busy process than a queue. */
const RECENT_SAMPLES = 2

/** Least round trip seen in a slot of time. */
interface Slot { index: number, leastMs: number }

/** The delay above the least round trip, as in delay-based congestion control. Times are in milliseconds on the daemon's clock. */
export class QueueingDelay {
  #slots: Slot[] = []
  #recent: number[] = []

  /** Least round trip within the window; undefined before the first sample. */
  get baseMs (): number | undefined {
    return this.#slots.length === 0 ? undefined : Math.min(...this.#slots.map(({ leastMs }) => leastMs))
  }

  /** Current delay above the least; undefined before the first sample. */
  get delayMs (): number | undefined {
    const { baseMs } = this
    return baseMs === undefined ? undefined : Math.max(0, Math.min(...this.#recent) - baseMs)
  }

  /** Records a round trip. Values that are no time are ignored. */
  record (roundTripMs: number, now: number): void {
    if (!(roundTripMs >= 0) || !Number.isFinite(roundTripMs)) return
    const index = Math.floor(now / (BASE_WINDOW_MS / BASE_SLOTS))
    this.#slots = this.#slots.filter((slot) => slot.index > index - BASE_SLOTS)
    const slot = this.#slots.at(-1)
    if (slot?.index === index) slot.leastMs = Math.min(slot.leastMs, roundTripMs)
    else this.#slots.push({ index, leastMs: roundTripMs })
    this.#recent = [...this.#recent, roundTripMs].slice(-RECENT_SAMPLES)
  }
}
