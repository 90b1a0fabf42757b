/** Limits retries to a fraction of first attempts in a sliding window, counted exactly. */
import { steadyNow } from '../time/index.ts'
import type { RetryLimiter } from './retry_budget.ts'

/** Options of {@linkcode WindowBudget}. Functions are evaluated on every use. */
export interface WindowBudgetOptions {
  /** Length of the window, in milliseconds. */
  windowMs: number
  /** Retries allowed per first attempt in the window. */
  fraction (): number
  /** Additional retries allowed per window, independent of traffic. */
  extraRetries (): number
  /** Fraction of the additional retries allowed in the first window, since a restarted process may have used the rest before. Default: 1. */
  initialExtraFraction?: number
}

/** Number of slots that a window is divided into. */
const SLOT_COUNT = 20

interface Slot { index: number, firstAttempts: number, repeats: number }

/**
 * Grants retries while the number in the window stays within what its first attempts allow.
 *
 * Suited to bursts of retries: when an endpoint with forty streams crashes, all of them can be resumed elsewhere at once. A token bucket that
 * holds less than a window's worth would deny most of them, although hardly any retries were sent in the seconds before.
 */
export class WindowBudget implements RetryLimiter {
  readonly #options: WindowBudgetOptions
  readonly #startedAtMs = steadyNow()
  #slots: Slot[] = []

  constructor (options: WindowBudgetOptions) {
    this.#options = options
  }

  deposit (): void {
    this.#currentSlot().firstAttempts++
  }

  tryWithdraw (): boolean {
    const slot = this.#currentSlot()
    const firstAttempts = this.#slots.reduce((sum, each) => sum + each.firstAttempts, 0)
    const repeats = this.#slots.reduce((sum, each) => sum + each.repeats, 0)
    if (repeats + 1 > firstAttempts * this.#options.fraction() + this.#extraRetries()) return false
    slot.repeats++
    return true
  }

  #extraRetries (): number {
    const { windowMs, extraRetries, initialExtraFraction = 1 } = this.#options
    return extraRetries() * (steadyNow() - this.#startedAtMs < windowMs ? initialExtraFraction : 1)
  }

  /** Returns the current slot, after removing the slots that have left the window. */
  #currentSlot (): Slot {
    const index = Math.floor(steadyNow() / (this.#options.windowMs / SLOT_COUNT))
    if (this.#slots[0] !== undefined && this.#slots[0].index <= index - SLOT_COUNT) this.#slots = this.#slots.filter((slot) => slot.index > index - SLOT_COUNT)
    let slot = this.#slots.at(-1)
    if (slot?.index !== index) {
      slot = { index, firstAttempts: 0, repeats: 0 }
      this.#slots.push(slot)
    }
    return slot
  }
}
