/** Which statuses an answer to a caller may have, given what is known about the run of its request. */
import type { Outcome } from './outcome.ts'

/** Statuses that guarantee to the caller that its request has not run and never will. */
const NOT_RUN_STATUSES = [408, 421, 429, 503] as const

/** A status that guarantees to the caller that its request has not run and never will. */
export type NotRunStatus = typeof NOT_RUN_STATUSES[number]
/** A status of this daemon's own answers that says nothing about the run. */
export type UnknownStatus = 502 | 504

/** Why a request has ended without an endpoint's answer that can be passed on. */
export type EndCause = 'failed' | 'out-of-time' | 'leaving'

/** Statuses of this daemon's own answers. Their types keep a guarantee from being given for a request that may have run. */
const OWN_STATUS: { 'not-run': Record<EndCause, NotRunStatus>, unknown: Record<EndCause, UnknownStatus> } = {
  'not-run': { failed: 503, 'out-of-time': 503, leaving: 503 },
  unknown: { failed: 502, 'out-of-time': 504, leaving: 504 }
}

const notRunStatuses: ReadonlySet<number> = new Set(NOT_RUN_STATUSES)

/** What is known about a request when its caller is answered. */
export interface RunKnowledge {
  /** `answered` also where the endpoint answered with a failure of its own: it has run the request then. */
  outcome: Outcome
  /** True if the request may run more than once, so that nothing depends on a guarantee. */
  mayRunAgain: boolean
}

/** Returns true if a status guarantees that the request has not run and never will. */
export function isNotRunStatus (status: number): boolean {
  return notRunStatuses.has(status)
}

/**
 * Returns true if an endpoint's answer may be passed on with its status. An endpoint states only by a refusal that it did not run a request; the status of any other
 * answer says nothing about that, but callers take it for a guarantee.
 */
export function mayPassOn (status: number, { outcome, mayRunAgain }: RunKnowledge): boolean {
  return mayRunAgain || outcome === 'not-run' || !isNotRunStatus(status)
}

/** Returns the status of this daemon's own answer to a request without an endpoint's answer. */
export function ownStatus (outcome: Exclude<Outcome, 'answered'>, cause: EndCause): NotRunStatus | UnknownStatus {
  return OWN_STATUS[outcome][cause]
}
