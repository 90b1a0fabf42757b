/** What the router and the region link need to know of a placement. */
import { isStartOf, type EndpointId } from '../../core/ids/index.ts'
import type { EndpointView, RouteQuery } from '../../core/routing/index.ts'
import type { CrossingRequest, Placement } from './placement.ts'

/** Returns the query of a placement, without the endpoints to avoid. */
export function routeQuery (placement: Placement, { now, cached }: { now: number, cached: ReadonlyMap<EndpointId, number> }): Omit<RouteQuery, 'avoid'> {
  return {
    promptTokens: placement.demand.promptTokens + placement.doneTokens,
    expectedTokens: remainingTokens(placement),
    firstTokenMs: remainingFirstTokenMs(placement, now),
    lane: placement.cls.urgent ? 'urgent' : 'normal',
    betweenTokensMs: placement.cls.latency.betweenTokensMs,
    cachedTokens: (id) => cached.get(id) ?? 0
  }
}

/** Returns what decides whether a placement may be sent to another region. */
export function crossingRequest ({ bytes = 0, cls }: Placement): CrossingRequest {
  return { bytes, urgent: cls.urgent, repeatable: cls.idempotent }
}

/** Returns the number of tokens that the request is expected to produce yet. */
export function remainingTokens ({ demand, doneTokens }: Placement): number {
  return Math.max(0, demand.expectedTokens - doneTokens)
}

/** Returns the endpoints that failed the request before, including those that have restarted since: a restart does not make success more likely. */
export function failedEndpoints ({ avoid }: Placement, candidates: readonly EndpointView[]): EndpointId[] {
  return candidates.filter((view) => avoid.some((id) => id === view.id || (view.name !== undefined && isStartOf(view.name, id)))).map(({ id }) => id)
}

/** Returns the endpoints not to use again. When every endpoint with room has failed the request before, all of them are candidates again; the retry budget limits how often. */
export function endpointsToAvoid (placement: Placement, withRoom: readonly EndpointView[]): EndpointId[] {
  const failed = failedEndpoints(placement, withRoom)
  return failed.length < withRoom.length ? failed : []
}

/** Returns what remains of the first-token target, in milliseconds. A resumed stream gets the full target again. */
function remainingFirstTokenMs ({ cls, acceptedAtMs, resumed }: Placement, now: number): number {
  return cls.latency.firstTokenMs - (resumed ? 0 : now - acceptedAtMs)
}
