/** What a daemon believes of an endpoint, from the host list, its own work in flight and what others tell of theirs. */
import type { EndpointId, FailureDomain, HostId, PoolName } from '../ids/index.ts'
import type { Pace } from './reading_pace.ts'
import { unreadBefore, type Lane, type WorkLoad } from './work_load.ts'

/** Speeds and room of an endpoint, as its engine publishes them or as they were learnt. */
export interface EndpointSpeed {
  /** Requests worked on together. */
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

/** Load as an endpoint reports it, the reader's own work included. */
export interface EndpointLoad { running: number, queuedTokens: number, atMs: number }

/** One endpoint as the daemon sees it. */
export interface EndpointView {
  /** Of one start of the endpoint. */
  id: EndpointId
  /** What the platform calls the endpoint, at each start. Default: its id. */
  name?: string
  hostId: HostId
  pool: PoolName
  failureDomain: FailureDomain
  address: string
  /** Price of the host in the platform's currency per hour. */
  pricePerHour: number
  reclaimable: boolean
  speed: EndpointSpeed
  /** Milliseconds to the first token or the whole plain answer beside all waiting and reading, as a first estimate. */
  firstMs: number
  /** What first tokens of the pool's engines told. Default: its published speed. */
  pace?: Pace
  /** How many times longer than predicted first tokens come, as learnt. */
  slowness: number
  /** Work of the other daemons, as last told. */
  others: WorkLoad
  /** This daemon's own work, counted at once. */
  own: WorkLoad
  /** Set from the first signal that the endpoint is going: notice, list, or its own refusal. */
  leavingAtMs: number | undefined
  /** Not picked before this time, after failures. */
  ejectedUntilMs: number
}

/** Requests the endpoint runs now, as far as is known. */
export function runningNow (view: EndpointView): number {
  return view.others.running + view.own.running
}

/** Prompt tokens that the endpoint reads before those of a new request in a lane, as far as is known. */
export function unreadNow (view: EndpointView, lane: Lane): number {
  return unreadBefore(view.others, lane) + unreadBefore(view.own, lane)
}

/**
 * Predicts the time to the first token, or to the answer of a plain call, in milliseconds.
 * @param uncachedTokens Prompt tokens that the endpoint's prefix cache does not hold.
 */
export function predictFirstTokenMs (view: EndpointView, uncachedTokens: number, lane: Lane = 'late'): number {
  const unread = unreadNow(view, lane) + uncachedTokens
  const { firstMs, msPerToken } = paceOf(view)
  const over = runningNow(view) + 1 - view.speed.batchSlots
  const slotMs = over > 0 ? Math.max(SLOT_WAIT_MS, firstMs) * over / view.speed.batchSlots : 0
  return (firstMs + unread * msPerToken + slotMs) * view.slowness
}

/** How long first tokens take at an endpoint: as learnt of its pool, else as it publishes. */
export function paceOf (view: EndpointView): Pace {
  return view.pace ?? { firstMs: view.firstMs, msPerToken: MS_PER_S / view.speed.prefillTokensPerS }
}

/** Predicts the time between tokens in milliseconds with one more stream in the batch. */
export function predictBetweenTokensMs (view: EndpointView): number {
  const batch = Math.min(runningNow(view) + 1, view.speed.batchSlots)
  return view.speed.betweenTokensMs + view.speed.betweenTokensPerStreamMs * batch
}

const MS_PER_S = 1000
/** Shortest wait for one batch slot to come free, used to order full endpoints, in milliseconds. */
const SLOT_WAIT_MS = 20
