/** Derives a token bucket's limits from a client account's quota, and a request's cost. */
import type { Quota } from '../catalog/index.ts'
import type { Demand } from '../work/index.ts'

/** Amount by which an account may exceed its quota, over all daemons. */
export interface QuotaTolerance {
  /** Length of the windows over which quotas are checked, in milliseconds. */
  windowMs: number
  /** Excess as a fraction of what the quota allows in a window. */
  overshoot: number
  /** Additional excess, in requests or tokens. */
  slack: number
}

/**
 * Fraction of the tolerance that is available to callers.
 *
 * Daemons' knowledge of each other's use is a tenth of a second old, so they may admit too little or too much. Half of the tolerance keeps
 * callers within their quota from being rejected; the other half absorbs requests admitted in excess.
 */
const USABLE_TOLERANCE = 0.5
/** Fraction of this headroom in a new bucket: a daemon that starts does not know the use just before. */
const INITIAL_FRACTION = 0.5
/** Fraction of the tolerated excess over a window that quota drawn ahead may make up: half of what is not available to callers. */
const STOCK_FRACTION = 0.25
/** Longest time for which drawn quota may be used, in milliseconds. */
const MAX_STOCK_LIFETIME_MS = 300
const MS_PER_S = 1000

/** Limits of a token bucket. */
export interface BucketLimits { perS: number, capacity: number, initial: number }

/** Returns the limits of the bucket for a quota. */
export function bucketLimits (quota: Quota, tolerance: QuotaTolerance): BucketLimits {
  const windowAllowance = quota.perS * tolerance.windowMs / MS_PER_S + quota.burst
  const headroom = USABLE_TOLERANCE * (windowAllowance * tolerance.overshoot + tolerance.slack)
  return { perS: quota.perS, capacity: quota.burst + headroom, initial: headroom * INITIAL_FRACTION }
}

/** Returns the cost of a request, in the quota's unit. */
export function requestCost (quota: Quota, demand: Demand | undefined): number {
  if (quota.unit === 'requests') return 1
  return demand ? demand.promptTokens + demand.maxTokens : quota.plainTokens
}

/** Returns how long quota drawn ahead may be used, in milliseconds: in that time the quota's rate makes up the excess that is tolerated for it. */
export function stockLifetimeMs (tolerance: QuotaTolerance): number {
  return Math.min(MAX_STOCK_LIFETIME_MS, tolerance.windowMs * tolerance.overshoot * STOCK_FRACTION)
}
