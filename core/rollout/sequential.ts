/** A sequential test of a proportion that stays valid under continuous monitoring, and a confidence bound. */

/** Number of alternative proportions above the allowed one that the evidence is averaged over. */
const GRID_POINTS = 48

/**
 * Returns the evidence that events occur more often than allowed: the logarithm of the likelihood ratio between a uniform mixture of all higher
 * proportions and the allowed proportion.
 *
 * If the allowed proportion holds, the probability that the evidence ever exceeds `Math.log(1 / alpha)` is at most `alpha`, however often it is
 * checked (Ville's inequality for a mixture of likelihood ratios). A version can thus be monitored from its first answer, without a fixed
 * sample size.
 * @param events Number of events among `count` observations.
 * @param allowed Allowed proportion of events, in (0, 1).
 * @example `evidenceAbove(10, 20, 0.05)` is over 15; `evidenceAbove(1, 20, 0.05)` is below 0.
 */
export function evidenceAbove (events: number, count: number, allowed: number): number {
  const nonEvents = count - events
  const atAllowed = events * Math.log(allowed) + nonEvents * Math.log1p(-allowed)
  const logRatios: number[] = []
  for (let i = 0; i < GRID_POINTS; i++) {
    const p = allowed + (1 - allowed) * (i + 0.5) / GRID_POINTS
    logRatios.push(events * Math.log(p) + nonEvents * Math.log1p(-p) - atAllowed)
  }
  const largest = Math.max(...logRatios)
  return largest + Math.log(logRatios.reduce((sum, log) => sum + Math.exp(log - largest), 0) / GRID_POINTS)
}

/**
 * Returns the evidence for a given excess of events: the logarithm of the likelihood ratio between the allowed proportion plus the excess, and the allowed
 * one. It is far below 0 once there are enough observations to rule the excess out.
 * @param events Number of events among `count` observations.
 * @param allowed Allowed proportion of events, in (0, 1).
 * @example `evidenceOfExcess(0, 20, { allowed: 0.05, excess: 0.25 })` is below -6.
 */
export function evidenceOfExcess (events: number, count: number, { allowed, excess }: { allowed: number, excess: number }): number {
  const p = Math.min((1 + allowed) / 2, allowed + excess)
  return events * Math.log(p / allowed) + (count - events) * (Math.log1p(-p) - Math.log1p(-allowed))
}

/** Standard normal quantile of the one-sided 90% confidence bound: one sample in ten lies beyond it. */
const Z_90 = 1.28

/**
 * Returns the upper confidence bound of an observed proportion (Wilson score interval).
 * @returns 1 if there are no observations.
 */
export function wilsonUpperBound (events: number, count: number): number {
  if (count === 0) return 1
  const observed = events / count
  const spread = Z_90 * Math.sqrt(observed * (1 - observed) / count + Z_90 * Z_90 / (4 * count * count))
  return Math.min(1, (observed + Z_90 * Z_90 / (2 * count) + spread) / (1 + Z_90 * Z_90 / count))
}
