/** How much of an endpoint's free memory daemons may use without a grant. */

/** Part of an endpoint's memory that is usable: the rest covers what engines hold besides the requests. */
export const USABLE_SHARE = 0.98
/** An endpoint is open, so that requests need no grant, while at most this part of its memory is held. */
export const OPEN_SHARE = 0.5
/** Part of the free memory of an open endpoint that is used without grants; the rest can be granted. */
export const UNGRANTED_SHARE = 0.75
/** Distance between the mean and the limit of a sum of independent sends of scattered sizes, in square roots of their number. */
const TAIL_WIDTH = 6
/** A daemon's rounding may change once within the time until its sends are known, in one of so many such times. */
export const PERIOD_IN_VISIBLE_TIMES = 20

/** State of an endpoint's memory as a daemon knows it. */
export interface FreeMemory {
  /** Tokens that no daemon is known to hold. */
  freeTokens: number
  /** Mean number of tokens that a request holds. */
  meanTokens: number
  /** Number of daemons that may send to the endpoint. */
  daemons: number
}

/**
 * Returns the mean number of requests that one daemon may send to an open endpoint without a grant until its report of them is known to all. A number below 1 is the probability that it
 * may send one.
 *
 * If all daemons send at once as many as they may, of the sizes of those that run, they stay within the free memory with a very high probability: whole numbers leave room for the
 * scatter of the sizes, probabilities for that of the number of senders.
 */
export function openAllowance ({ freeTokens, meanTokens, daemons }: FreeMemory): number {
  const fitting = Math.max(0, freeTokens * UNGRANTED_SHARE / Math.max(1, meanTokens))
  const senders = Math.max(1, daemons)
  const halfWidth = TAIL_WIDTH / 2
  // The largest number n of requests for which n + TAIL_WIDTH * sqrt(n) fit.
  const whole = Math.floor((Math.sqrt(fitting + halfWidth ** 2) - halfWidth) ** 2 / senders)
  return whole >= 1 ? whole : Math.max(0, fitting - TAIL_WIDTH * Math.sqrt(fitting)) / (senders * (1 + 1 / PERIOD_IN_VISIBLE_TIMES))
}
