/** What a recomputed token and a late request are worth, derived from the deployment's wish and its prices. */
import type { Config } from '../config/index.ts'
import type { ReclaimWeights, Target } from './problem.ts'

/** Each recomputed token also delays work that waits behind it; see docs/design/reclaim.md. */
const DELAY_FACTOR = { cost: 1, 'recomputed-work': 4 } as const
/** A late request costs as much as recomputing this many tokens: more than the longest stream, so no saving is worth lateness. */
const LATE_IN_TOKENS = 200_000
const SECONDS_PER_HOUR = 3600
const FALLBACK_PRICE_PER_TOKEN = 1e-7

/**
 * Derives the weights of the reclaim planner.
 * @param wantsLeast The outcome the deployment wants least of.
 * @param targets Endpoints that stay; their price and prefill speed give the price of a token.
 */
export function reclaimWeights (wantsLeast: Config['wantsLeast'], targets: Iterable<Target>): ReclaimWeights {
  const prices = [...targets].map((target) => target.pricePerHour / SECONDS_PER_HOUR / target.prefillTokensPerS)
  const mean = prices.length > 0 ? prices.reduce((sum, price) => sum + price, 0) / prices.length : FALLBACK_PRICE_PER_TOKEN
  const recomputedToken = mean * DELAY_FACTOR[wantsLeast]
  return { recomputedToken, late: recomputedToken * LATE_IN_TOKENS }
}
