/** The related paper's failure detector, for comparison. */
import type { Detector } from '../core/membership/index.ts'

/** Options of {@linkcode AccrualDetector}, with the defaults of the related paper. */
export interface AccrualOptions {
  /** Suspicion at which the neighbour is suspected. Default 8. */
  threshold?: number
  /** Weight of a new gap in the mean and in the variance. Default 0.125. */
  alpha?: number
  /** Floor of the standard deviation in milliseconds. Default 50. */
  minDeviationMs?: number
  /** Gap expected before any was seen. Default 1,000. */
  firstGapMs?: number
}

/**
 * Suspects when the silence is improbable under a normal distribution of the gaps seen so far.
 *
 * Follows the dual moving average of "phi_accrual: a source-agnostic φ-accrual failure detector for Elixir/OTP"; kept here to be
 * measured against the timeout that the daemons use; see docs/design/membership.md.
 */
export class AccrualDetector implements Detector {
  readonly #options: Required<AccrualOptions>
  #meanMs: number
  #variance: number
  #heardAtMs: number

  constructor (now: number, options: AccrualOptions = {}) {
    this.#options = { threshold: 8, alpha: 0.125, minDeviationMs: 50, firstGapMs: 1000, ...options }
    this.#meanMs = this.#options.firstGapMs
    this.#variance = (this.#options.firstGapMs / 2) ** 2
    this.#heardAtMs = now
  }

  heard (now: number): void {
    const gap = now - this.#heardAtMs
    const { alpha } = this.#options
    this.#heardAtMs = now
    this.#variance = (1 - alpha) * this.#variance + alpha * (gap - this.#meanMs) ** 2
    this.#meanMs = (1 - alpha) * this.#meanMs + alpha * gap
  }

  suspects (now: number): boolean {
    return this.suspicion(now) > this.#options.threshold
  }

  /** Negative decimal logarithm of the probability that the heartbeat is still to come. */
  suspicion (now: number): number {
    const deviation = Math.max(this.#options.minDeviationMs, Math.sqrt(this.#variance))
    const y = (now - this.#heardAtMs - this.#meanMs) / deviation
    return -Math.log10(Math.max(Number.MIN_VALUE, upperTail(y)))
  }
}

/** Logistic approximation of the normal distribution's upper tail. */
function upperTail (y: number): number {
  return 1 / (1 + Math.exp(y * (1.5976 + 0.070566 * y * y)))
}
