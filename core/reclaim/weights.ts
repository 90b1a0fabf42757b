/** Derives the prices of a recomputed token and of a missed deadline from the deployment's preference and host prices. */
import type { Config } from '../config/index.ts'
import type { ReclaimWeights, Target } from './problem.ts'

/** A recomputed token also delays the requests queued behind it, which `recomputed-work` weighs in; see docs/design/reclaim.md. */
const RECOMPUTATION_FACTOR = { cost: 1, 'recomputed-work': 4 } as const
/** A missed deadline costs as much as recomputing this many tokens, more than the longest stream has, so no saving outweighs a missed deadline. */
const MISSED_DEADLINE_TOKENS = 200_000
const SECONDS_PER_HOUR = 3600
const FALLBACK_PRICE_PER_TOKEN = 1e-7

/**
 * Derives the weights for the reclaim planner.
 * @param wantsLeast The outcome that the deployment wants to minimize.
 * @param targets Endpoints that keep running. Their mean price per prefilled token is the base price of a recomputed token.
 */
export function reclaimWeights (wantsLeast: Config['wantsLeast'], targets: Iterable<Target>): ReclaimWeights {
  const tokenPrices = [...targets].map((target) => target.pricePerHour / SECONDS_PER_HOUR / target.prefillTokensPerS)
  const meanTokenPrice = tokenPrices.length > 0 ? tokenPrices.reduce((sum, price) => sum + price, 0) / tokenPrices.length : FALLBACK_PRICE_PER_TOKEN
  const recomputedToken = meanTokenPrice * RECOMPUTATION_FACTOR[wantsLeast]
  return { recomputedToken, missedDeadline: recomputedToken * MISSED_DEADLINE_TOKENS }
}
