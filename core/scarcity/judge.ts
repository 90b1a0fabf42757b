/** Decides which requests begin and which are refused while the endpoints of a pool have too little room. */

/** A request that needs room. Times in milliseconds. */
export interface RoomRequest {
  /** True for the most urgent class of the pool, whose prompts are prefilled before all others. */
  urgent: boolean
  /** Target for the time to the first token. */
  targetMs: number
  /** Time until the deadline. */
  remainingMs: number
  /** Time that the caller had spent before it sent this request, e.g. on an earlier one that was refused. */
  spentMs: number
  /** Time to the first token on an idle endpoint. */
  ownMs: number
  /** Prompt length as a multiple of the mean of its class. */
  sizeRatio: number
  /** Work accepted for its account, as a multiple of the mean of all accounts. */
  accountRatio: number
}

/** Work that waits in a pool. */
export interface Backlog {
  /** Mean time to prefill what is ahead of the request at an endpoint, in milliseconds. */
  waitMs: number
  /** Fraction of the endpoints' prefill time that goes to urgent requests. */
  urgentShare: number
}

/** Verdict on a request. `retryAfterMs` is `Infinity` if no wait can serve it. */
export type RoomVerdict = { type: 'run' } | { type: 'refuse', waitMs: number, allowedMs: number, retryAfterMs: number }

/** Least wait that each request is allowed, as a fraction of its target: requests that would be late on an idle endpoint get a part of the room as well. */
const MIN_ALLOWED_IN_TARGETS = 0.3
/** Part of the allowed wait that the largest requests lose to the smaller ones of their class. */
const SIZE_WEIGHT = 0.5
/** Factor of the allowed wait of a request whose caller had spent time before: its target is missed already, or nearly so. */
const SPENT_FACTOR = 0.3
/** Work of an account, as a multiple of the mean, above which its allowed wait shrinks. */
const FAIR_ACCOUNT_RATIO = 2
/** Urgent share above which others are predicted to wait no longer: the prediction would be beyond any target. */
const MAX_URGENT_SHARE = 0.95
const MIN_RETRY_AFTER_MS = 500
/** Part of the time until the deadline over which callers return, for urgent and other requests. */
const RETURN_SPREAD = { urgent: 0.25, normal: 0.5 }

/**
 * Decides whether a request begins now or is refused at once. Nothing waits: prefill time is what is scarce, and it passes as fast for a request's target as
 * for the work ahead of it, so that a request that cannot be in time now never will be.
 *
 * Each answers a load pattern:
 * - The allowed wait (target less own prefill). More work than room for seconds: each request that is accepted too late makes the next one late as well,
 *   until all are late and none is refused.
 * - Less of it for large requests. Worth grows less than the work does: where the room suffices for a part of a class, smaller requests fill it with more worth.
 * - The urgent share. Urgent prompts that arrive later are prefilled first, so the wait of others is longer than the work ahead of them: by 1 / (1 - share).
 * - Less for accounts above the mean. One account sends several times its usual.
 * - Less for callers that come back. All refused callers return at once, with little left of their target, and displace new requests that could be in time.
 * @param random Number in [0, 1) that spreads the times at which callers return.
 */
export function judgeRoom (req: RoomRequest, { waitMs, urgentShare }: Backlog, random: number): RoomVerdict {
  const slowdown = req.urgent ? 1 : 1 / (1 - Math.min(MAX_URGENT_SHARE, urgentShare))
  const byTargetMs = req.targetMs / slowdown - req.ownMs
  const fraction = sizeFactor(req.sizeRatio) * accountFactor(req.accountRatio) * (req.spentMs > 0 ? SPENT_FACTOR : 1)
  const allowedMs = Math.max(req.targetMs * MIN_ALLOWED_IN_TARGETS / slowdown, byTargetMs) * fraction
  if (waitMs <= allowedMs) return { type: 'run' }
  return { type: 'refuse', waitMs: waitMs * slowdown, allowedMs: allowedMs * slowdown, retryAfterMs: retryAfterMs(req, (waitMs - allowedMs) * slowdown, random) }
}

function sizeFactor (sizeRatio: number): number {
  return 1 - SIZE_WEIGHT * sizeRatio / (1 + sizeRatio)
}

function accountFactor (accountRatio: number): number {
  return Math.min(1, FAIR_ACCOUNT_RATIO / Math.max(accountRatio, FAIR_ACCOUNT_RATIO))
}

/** Returns when the excess work will have been prefilled, spread over a part of the time until the deadline. Urgent callers return first. */
function retryAfterMs ({ urgent, remainingMs, ownMs }: RoomRequest, excessMs: number, random: number): number {
  const spreadMs = remainingMs * RETURN_SPREAD[urgent ? 'urgent' : 'normal']
  const afterMs = Math.max(MIN_RETRY_AFTER_MS, excessMs) + random * spreadMs
  return afterMs + ownMs < remainingMs ? afterMs : Infinity
}
