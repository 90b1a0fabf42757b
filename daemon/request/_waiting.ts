/** Whether requests have to wait for an endpoint, and how long they may. */
import type { QueuedRequest, RequestQueue } from '../../core/admission/index.ts'
import type { PoolName } from '../../core/ids/index.ts'
import { runningNow, type EndpointView } from '../../core/routing/index.ts'
import { remainingTokens } from './_route_query.ts'
import type { StartRate } from './_start_rate.ts'
import type { Placement } from './placement.ts'

/** Requests of a pool that wait for an endpoint, and the rate of starts. `ownRate`: of those in the own region. */
export interface PoolState { name: PoolName, queue: RequestQueue<Placement>, rate: StartRate, ownRate: StartRate }

/**
 * Urgent requests that may queue at an endpoint in excess of its batch slots.
 *
 * The endpoint gives them the next free slot ahead of all other requests. If they were queued here instead, every daemon would send its own at the moment the update
 * of the free slot arrives. Endpoints can queue a few requests more than they have slots.
 */
const MAX_URGENT_WAITING = 12
/** Longest time that a new request may be queued, as a multiple of its first-token target. See docs/design/limits.md. */
const MAX_WAIT_IN_TARGETS = 1

/** Returns whether an endpoint has room for another request. */
export function hasRoom (view: EndpointView, urgent: boolean): boolean {
  return runningNow(view) < view.speed.batchSlots + (urgent ? MAX_URGENT_WAITING : 0)
}

/**
 * Returns the time until which a request may be queued, in milliseconds on the steady clock.
 *
 * A new request waits only while it can still meet its first-token target. Queueing up to the deadline would not answer more requests and would
 * make all of them late.
 */
export function latestStartMs (placement: Placement): number {
  const { latency } = placement.cls
  const runMs = latency.betweenTokensMs === undefined ? 0 : remainingTokens(placement) * latency.betweenTokensMs / 2
  const byDeadline = placement.deadlineAtMs - Math.min(runMs, latency.deadlineMs / 2)
  if (placement.resumed) return byDeadline
  return Math.min(byDeadline, placement.acceptedAtMs + latency.firstTokenMs * MAX_WAIT_IN_TARGETS)
}

/** Returns the tokens of a request, read and written. */
export function totalTokens (placement: Placement): number {
  return placement.demand.promptTokens + placement.doneTokens + remainingTokens(placement)
}

/** Returns the queue entry of a request, if it is queued. */
export function findEntry (queue: RequestQueue<Placement>, placement: Placement): QueuedRequest<Placement> | undefined {
  return queue.find((entry) => entry.item === placement)
}
