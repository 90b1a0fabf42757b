/** Demand of a pool for batch slots, measured in engines. */
import { ScaleDownWindow } from './hysteresis.ts'

/** Requests running in a pool, and the batch slots of one of its endpoints. */
export interface SlotUsage { running: number, slots: number }

/** Weight of a new sample in the moving average. Bursts shorter than a second need no additional endpoint. */
const SMOOTHING = 0.2
/** Time for which demand must stay lower before endpoints are released, in milliseconds, since booting an endpoint costs more than keeping it. */
const SCALE_DOWN_HOLD_MS = 15_000

/**
 * Converts the number of concurrent requests into the number of engines whose batch slots they fill.
 *
 * Engines with a dozen batch slots run out of slots before they run out of prefill time. By prefill time alone, work that filled the slots of 24 engines
 * was given only as many endpoints as it would need if the number of slots were unlimited.
 */
export class SlotDemand {
  readonly #peak = new ScaleDownWindow(SCALE_DOWN_HOLD_MS)
  #smoothed = 0

  /**
   * Records the current usage and returns the highest demand within the last {@linkcode SCALE_DOWN_HOLD_MS}.
   * @returns Engines, possibly fractional.
   */
  observe ({ running, slots }: SlotUsage, now: number): number {
    this.#smoothed += SMOOTHING * (running / Math.max(1, slots) - this.#smoothed)
    return this.#peak.smooth(this.#smoothed, now)
  }
}
