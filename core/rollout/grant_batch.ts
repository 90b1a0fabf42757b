/** Decides how many of a pool's requests a canary receives next. */
import { newAnswerCount, type Answers } from './answers.ts'
import { exposureAllowed, type ExposureLimit } from './exposure.ts'

/** State of a rollout before the switch. */
export interface CanaryState {
  /** Requests of the pool since the order, as far as daemons have reported them. */
  requests: number
  /** Time since the order, in milliseconds. */
  ageMs: number
  /** Requests that daemons may have sent to the new version or may still send. */
  granted: number
  /** Endpoints of the new version that can serve. */
  endpoints: number
  answers: Answers
}

/** Requests to grant, and how many of them put the pool's full load on one endpoint. */
export interface GrantBatch { requests: number, perEndpoint: number }

/** Lifetime of a grant, in milliseconds. */
export const GRANT_TTL_MS = 1000
/** Interval between grants, in milliseconds: long enough for daemons to report the unused part of the previous one. */
export const GRANT_INTERVAL_MS = 1200
/** Answers of the new version to each class after which batches put the pool's full load on its endpoints. */
const MIN_FIRST_ANSWERS = 10
/** Minimum number of endpoints that share a batch: with one, a faulty endpoint could not be told from a faulty version. */
const MIN_ENDPOINTS = 2

/**
 * Returns the next batch, or undefined if none is due.
 *
 * The first answers are collected as soon as the exposure limit allows. After that a batch waits until it can load at least one endpoint as the
 * old version's endpoints are loaded: spread thinly over all endpoints, a version that fails only under load would take over all traffic
 * before the fault showed.
 */
export function nextGrantBatch ({ requests, ageMs, granted, endpoints, answers }: CanaryState, limit: ExposureLimit): GrantBatch | undefined {
  if (endpoints === 0) return undefined
  const remaining = exposureAllowed(requests, limit) - granted
  const perEndpoint = Math.max(1, Math.round(requests / Math.max(GRANT_TTL_MS, ageMs) * GRANT_TTL_MS / endpoints))
  return remaining >= (hasFirstAnswers(answers) ? perEndpoint : 1) ? { requests: remaining, perEndpoint } : undefined
}

/** Returns the number of endpoints for the requests of a batch that could be granted to daemons. */
export function endpointCountFor (granted: number, { perEndpoint }: GrantBatch): number {
  return Math.max(MIN_ENDPOINTS, Math.round(granted / perEndpoint))
}

function hasFirstAnswers (answers: Answers): boolean {
  return [...answers.values()].every((counts) => newAnswerCount(counts) >= MIN_FIRST_ANSWERS)
}
