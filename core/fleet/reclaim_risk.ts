/** Reclaim risk of failure domains, learnt from notices. */
import type { FailureDomain } from '../ids/index.ts'

/** Options of {@linkcode ReclaimRisk}. */
export interface ReclaimRiskOptions {
  /** Rate believed before anything was seen, in waves a day. Default 0.5: a domain every other day. */
  priorPerDay?: number
  /** Days of experience that the prior counts for. Default 1. */
  priorDays?: number
}

const MS_PER_DAY = 86_400_000

/** Counts waves for each domain. A rate is the waves seen and believed over the days watched and believed. */
export class ReclaimRisk {
  readonly #waves = new Map<FailureDomain, number>()
  readonly #prior: Required<ReclaimRiskOptions>
  readonly #sinceMs: number

  constructor (now: number, options: ReclaimRiskOptions = {}) {
    this.#prior = { priorPerDay: 0.5, priorDays: 1, ...options }
    this.#sinceMs = now
  }

  /** Counts a notice for hosts of a domain. */
  reclaimed (domain: FailureDomain): void {
    this.#waves.set(domain, (this.#waves.get(domain) ?? 0) + 1)
  }

  /** Waves a day that are to be expected in a domain. */
  perDay (domain: FailureDomain, now: number): number {
    const { priorPerDay, priorDays } = this.#prior
    const days = (now - this.#sinceMs) / MS_PER_DAY
    return ((this.#waves.get(domain) ?? 0) + priorPerDay * priorDays) / (days + priorDays)
  }
}
