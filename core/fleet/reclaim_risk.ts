/** Reclaim rates of failure domains, estimated from reclaim notices. */
import type { FailureDomain } from '../ids/index.ts'

/** Options of {@linkcode ReclaimRisk}. */
export interface ReclaimRiskOptions {
  /** Prior rate in reclaims per day. Default 0.5, one reclaim of the domain every two days. */
  priorPerDay?: number
  /** Weight of the prior in days of observation. Default 1. */
  priorDays?: number
}

const MS_PER_DAY = 86_400_000

/** Estimates the reclaim rate of each domain: observed reclaims plus those of the prior, divided by observed days plus those of the prior. */
export class ReclaimRisk {
  readonly #waves = new Map<FailureDomain, number>()
  readonly #prior: Required<ReclaimRiskOptions>
  readonly #sinceMs: number

  constructor (now: number, options: ReclaimRiskOptions = {}) {
    this.#prior = { priorPerDay: 0.5, priorDays: 1, ...options }
    this.#sinceMs = now
  }

  /** Records a reclaim notice for hosts of a domain. */
  recordReclaim (domain: FailureDomain): void {
    this.#waves.set(domain, (this.#waves.get(domain) ?? 0) + 1)
  }

  /** Returns the expected number of reclaims of a domain per day. */
  perDay (domain: FailureDomain, now: number): number {
    const { priorPerDay, priorDays } = this.#prior
    const days = (now - this.#sinceMs) / MS_PER_DAY
    return ((this.#waves.get(domain) ?? 0) + priorPerDay * priorDays) / (days + priorDays)
  }
}
