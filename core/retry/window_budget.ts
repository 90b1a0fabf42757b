/** Limits retries to a fraction of the fresh work of the last while, counted exactly. */
import { steadyNow } from '../time/index.ts'
import type { RepeatBudget } from './retry_budget.ts'

/** Options of {@linkcode WindowBudget}. Those that are functions are asked each time. */
export interface WindowBudgetOptions {
  /** Length of the window in milliseconds. */
  windowMs: number
  /** Retries allowed for each fresh request of the window. */
  fraction (): number
  /** Retries allowed beside. */
  beside (): number
  /** Part of these that is allowed in the first window: whoever starts again may have used the rest before. Default 1. */
  besideAtStart?: number
}

/** Parts that a window is counted in. */
const PARTS = 20

interface Part { index: number, fresh: number, repeats: number }

/**
 * Grants retries as long as those of the last window stay below what its fresh work allows.
 *
 * Load pattern: an endpoint with forty streams crashes, and all of them could go on elsewhere at once. A bucket that holds less than a window's worth
 * refuses most of them, though hardly any retry was sent in the seconds before.
 */
export class WindowBudget implements RepeatBudget {
  readonly #options: WindowBudgetOptions
  readonly #startedAtMs = steadyNow()
  #parts: Part[] = []

  constructor (options: WindowBudgetOptions) {
    this.#options = options
  }

  earn (): void {
    this.#now().fresh++
  }

  spend (): boolean {
    const part = this.#now()
    const fresh = this.#parts.reduce((sum, each) => sum + each.fresh, 0)
    const repeats = this.#parts.reduce((sum, each) => sum + each.repeats, 0)
    if (repeats + 1 > fresh * this.#options.fraction() + this.#beside()) return false
    part.repeats++
    return true
  }

  #beside (): number {
    const { windowMs, beside, besideAtStart = 1 } = this.#options
    return beside() * (steadyNow() - this.#startedAtMs < windowMs ? besideAtStart : 1)
  }

  /** The part that counts now; those that fell out of the window are dropped. */
  #now (): Part {
    const index = Math.floor(steadyNow() / (this.#options.windowMs / PARTS))
    if (this.#parts[0] !== undefined && this.#parts[0].index <= index - PARTS) this.#parts = this.#parts.filter((part) => part.index > index - PARTS)
    let part = this.#parts.at(-1)
    if (part?.index !== index) {
      part = { index, fresh: 0, repeats: 0 }
      this.#parts.push(part)
    }
    return part
  }
}
