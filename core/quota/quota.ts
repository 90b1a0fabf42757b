/** How a client account's quota becomes a bucket, and what a request costs of it. */
import type { Quota } from '../catalog/index.ts'
import type { Demand } from '../work/index.ts'

/** By how much an account may go over its quota, over all daemons. */
export interface QuotaTolerance {
  /** Length of the windows that are looked at, in milliseconds. */
  windowMs: number
  /** Part of what the quota allows in a window. */
  overshoot: number
  /** And so many requests or tokens beside. */
  slack: number
}

/**
 * Part of the tolerance that is given to callers.
 *
 * What daemons know of each other's use is a tenth of a second old, so they may let too little or too much through. Half of the tolerance
 * keeps a caller within its quota from being refused; the other half takes up what is let through too much.
 */
const GIVEN_PART = 0.5
/** Part of what is given that a daemon starts with: what was used just before it started is unknown to it. */
const START_PART = 0.5
const MS_PER_S = 1000

/** Limits of a bucket. */
export interface BucketLimits { perS: number, capacity: number, initial: number }

/** Limits of the bucket for a quota. */
export function bucketOf (quota: Quota, tolerance: QuotaTolerance): BucketLimits {
  const allowed = quota.perS * tolerance.windowMs / MS_PER_S + quota.burst
  const given = GIVEN_PART * (allowed * tolerance.overshoot + tolerance.slack)
  return { perS: quota.perS, capacity: quota.burst + given, initial: given * START_PART }
}

/** What one request counts for. */
export function costOf (quota: Quota, demand: Demand | undefined): number {
  if (quota.unit === 'requests') return 1
  return demand ? demand.promptTokens + demand.maxTokens : quota.plainTokens
}
