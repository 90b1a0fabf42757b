/** How much of a pool's batch slots its work takes, in engines. */
import { ScaleDown } from './hysteresis.ts'

/** Requests that run in a pool, and the batch slots of one of its endpoints. */
export interface SlotsTaken { running: number, slots: number }

/** Weight of one look: requests come in bursts shorter than a second, and those need no further endpoint. */
const SMOOTHING = 0.2
/** Fewer slots must have been taken for this long before endpoints are given up, in milliseconds: booting costs more than keeping. */
const HOLD_MS = 15_000

/**
 * Turns what runs at the same time into engines that would be full of it.
 *
 * Load pattern: engines with a dozen batch slots are full while they still have time to read. Counted by reading alone, work of 24 engines' slots was
 * given no more endpoints than it would need if each engine had any number of slots.
 */
export class SlotDemand {
  readonly #peak = new ScaleDown(HOLD_MS)
  #engines = 0

  /** Notes what runs now and tells the highest demand of the last while, in engines, a fraction included. */
  engines ({ running, slots }: SlotsTaken, now: number): number {
    this.#engines += SMOOTHING * (running / Math.max(1, slots) - this.#engines)
    return this.#peak.smooth(this.#engines, now)
  }
}
