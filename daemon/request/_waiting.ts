/** How long requests may wait for an endpoint, and how fast those of a pool start. */
import type { QueuedRequest, RequestQueue } from '../../core/admission/index.ts'
import type { PoolName } from '../../core/ids/index.ts'
import type { Placement } from './placement.ts'

/** Requests of a pool that wait for an endpoint, and the mean time between their starts. */
export interface PoolState { name: PoolName, queue: RequestQueue<Placement>, msPerStart: number, lastStartMs: number }

/** Weight of the latest sample in the moving average of the time between starts. */
const RATE_SMOOTHING = 0.2
/** Longest time that a new request may be queued, as a multiple of its first-token target. See docs/design/limits.md. */
const MAX_WAIT_IN_TARGETS = 1

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

/** Returns what remains of the first-token target, in milliseconds. A resumed stream gets the full target again. */
export function remainingFirstTokenMs ({ cls, acceptedAtMs, resumed }: Placement, now: number): number {
  return cls.latency.firstTokenMs - (resumed ? 0 : now - acceptedAtMs)
}

/** Returns the tokens of a request, read and written. */
export function totalTokens (placement: Placement): number {
  return placement.demand.promptTokens + placement.doneTokens + remainingTokens(placement)
}

/** Returns the tokens that a request is expected to write yet. */
export function remainingTokens ({ demand, doneTokens }: Placement): number {
  return Math.max(0, demand.expectedTokens - doneTokens)
}

/** Updates the time between starts when a request of a pool starts. */
export function updateStartRate (pool: PoolState, now: number): void {
  if (pool.queue.length > 0) pool.msPerStart += RATE_SMOOTHING * (now - pool.lastStartMs - pool.msPerStart)
  pool.lastStartMs = now
}

/** Returns the queue entry of a request, if it is queued. */
export function findEntry (queue: RequestQueue<Placement>, placement: Placement): QueuedRequest<Placement> | undefined {
  return queue.find((entry) => entry.item === placement)
}
