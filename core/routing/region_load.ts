/** Load of whole regions, from which follows what part of its requests a region cannot serve. */
import { runningNow, type EndpointView } from './endpoint_view.ts'

/** Load from which a region has no room as a whole, so that part of its requests is sent to others. */
const FULL_LOAD = 1
/** Load at which all requests are sent to others. */
const SPILL_ALL_LOAD = 1.2
/** Difference to the load of other regions that is not worth a crossing. */
const MIN_DIFFERENCE = 0.2
/** Difference to the load of other regions from which on nothing is held back. */
const MAX_DIFFERENCE = 0.5

/** Returns the load of endpoints: the mean fraction of batch slots in use, above 1 if requests wait for slots. `Infinity` if none of them counts. */
export function meanLoad (views: readonly EndpointView[], counts: (view: EndpointView) => boolean): number {
  let running = 0
  let slots = 0
  for (const view of views) {
    if (!counts(view)) continue
    running += runningNow(view)
    slots += view.speed.batchSlots
  }
  return slots === 0 ? Infinity : running / slots
}

/** Returns true if a region has no room as a whole. */
export function isFull (load: number): boolean {
  return load >= FULL_LOAD
}

/**
 * Returns the part of its requests that a region should send to others.
 *
 * Many daemons place requests on reports that are tenths of a second old. An endpoint that seems free in a full region is chosen by all of them, and no longer is when their requests
 * arrive; the mean over a region changes little in that time.
 */
export function spillShare (own: number, others: number): number {
  return fraction(own, FULL_LOAD, SPILL_ALL_LOAD) * fraction(own - others, MIN_DIFFERENCE, MAX_DIFFERENCE)
}

/** Position of a value between two others, from 0 to 1. */
function fraction (value: number, from: number, to: number): number {
  return Math.min(1, Math.max(0, (value - from) / (to - from)))
}
