/** Phi accrual failure detector, used as a baseline for comparison. */
import type { FailureDetector } from '../core/membership/index.ts'

/** Options of {@linkcode AccrualDetector}; the defaults are those of the paper cited there. */
export interface AccrualOptions {
  /** Phi value above which a peer is suspected. Default 8. */
  threshold?: number
  /** Weight of a new interval in the moving mean and variance. Default 0.125. */
  alpha?: number
  /** Lower bound of the standard deviation, in milliseconds. Default 50. */
  minDeviationMs?: number
  /** Expected interval before the first heartbeat, in milliseconds. Default 1,000. */
  initialGapMs?: number
}

/**
 * Suspects a peer when the time since its last heartbeat is improbable under a normal distribution of the intervals observed so far.
 *
 * Uses the dual moving average of "phi_accrual: a source-agnostic φ-accrual failure detector for Elixir/OTP". It serves as a
 * baseline for the fixed timeout that the daemons use; see docs/design/membership.md.
 */
export class AccrualDetector implements FailureDetector {
  readonly #options: Required<AccrualOptions>
  #meanMs: number
  #variance: number
  #lastHeartbeatMs: number

  constructor (now: number, options: AccrualOptions = {}) {
    this.#options = { threshold: 8, alpha: 0.125, minDeviationMs: 50, initialGapMs: 1000, ...options }
    this.#meanMs = this.#options.initialGapMs
    this.#variance = (this.#options.initialGapMs / 2) ** 2
    this.#lastHeartbeatMs = now
  }

  recordHeartbeat (now: number): void {
    const gap = now - this.#lastHeartbeatMs
    const { alpha } = this.#options
    this.#lastHeartbeatMs = now
    this.#variance = (1 - alpha) * this.#variance + alpha * (gap - this.#meanMs) ** 2
    this.#meanMs = (1 - alpha) * this.#meanMs + alpha * gap
  }

  isSuspect (now: number): boolean {
    return this.suspicion(now) > this.#options.threshold
  }

  /** Returns phi: the negative decimal logarithm of the probability that the next heartbeat is still to come. */
  suspicion (now: number): number {
    const deviation = Math.max(this.#options.minDeviationMs, Math.sqrt(this.#variance))
    const y = (now - this.#lastHeartbeatMs - this.#meanMs) / deviation
    return -Math.log10(Math.max(Number.MIN_VALUE, upperTail(y)))
  }
}

/** Logistic approximation of the upper tail probability of the standard normal distribution. */
function upperTail (y: number): number {
  return 1 / (1 + Math.exp(y * (1.5976 + 0.070566 * y * y)))
}
