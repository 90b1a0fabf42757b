/** What a daemon believes of an endpoint, from the host list, in-band load and its own work in flight. */
import type { EndpointId, FailureDomain, HostId, PoolName } from '../ids/index.ts'

/** Speeds and room of an endpoint, as its engine publishes them. */
export interface EndpointSpeed {
  /** Requests decoded together. */
  batchSlots: number
  prefillTokensPerS: number
  /** Milliseconds between tokens with an empty batch. */
  betweenTokensMs: number
  /** Milliseconds that each further stream adds between tokens. */
  betweenTokensPerStreamMs: number
  /** KV cache tokens the endpoint can export in a second, over all streams. */
  exportTokensPerS: number
  /** KV cache tokens it can import in a second. */
  importTokensPerS: number
}

/** Load as an endpoint last reported it. */
export interface EndpointLoad { running: number, queuedTokens: number, atMs: number }

/** One endpoint as the daemon sees it. */
export interface EndpointView {
  id: EndpointId
  hostId: HostId
  pool: PoolName
  failureDomain: FailureDomain
  address: string
  /** Price of the host in the platform's currency per hour. */
  pricePerHour: number
  reclaimable: boolean
  speed: EndpointSpeed
  load: EndpointLoad
  /** Streams this daemon started since the load was reported, and their uncached prompt tokens. */
  ownSince: { running: number, tokens: number }
  /** Own streams in flight, reported or not. */
  ownRunning: number
  /** Set from the first signal that the endpoint is going: notice, list, or its own refusal. */
  leavingAtMs: number | undefined
  /** Not picked before this time, after failures. */
  ejectedUntilMs: number
}

/** Streams the endpoint runs now: the report plus what this daemon added since. */
export function runningNow (view: EndpointView): number {
  return view.load.running + view.ownSince.running
}

/**
 * Predicts the time to the first token in milliseconds.
 * @param uncachedTokens Prompt tokens that the endpoint's prefix cache does not hold.
 */
export function predictFirstTokenMs (view: EndpointView, uncachedTokens: number): number {
  const queued = view.load.queuedTokens + view.ownSince.tokens + uncachedTokens
  const prefillMs = queued * 1000 / view.speed.prefillTokensPerS
  const over = runningNow(view) + 1 - view.speed.batchSlots
  return prefillMs + (over > 0 ? over * SLOT_WAIT_MS : 0)
}

/** Predicts the time between tokens in milliseconds with one more stream in the batch. */
export function predictBetweenTokensMs (view: EndpointView): number {
  const batch = Math.min(runningNow(view) + 1, view.speed.batchSlots)
  return view.speed.betweenTokensMs + view.speed.betweenTokensPerStreamMs * batch
}

/** Wait for one batch slot to come free, used only to order full endpoints. */
const SLOT_WAIT_MS = 500
