/** Decides whether a request is sent to an endpoint of another region. */
import type { Route } from './router.ts'

/** Why a request is sent to another region. `canary`: to try a version that only runs there. */
export type CrossingReason = 'no-endpoint' | 'no-room' | 'late' | 'overload' | 'canary'

/** Picks a route among some endpoints; undefined if none of them has room. */
export interface RegionRoutes {
  /** Among the endpoints of the own region that the daemon connects to. */
  connected (): Route | undefined
  /** Among all endpoints of the own region, comparing until one meets the target. */
  ownRegion (): Route | undefined
  /** Among those of other regions, with the round trip in the prediction; undefined also if the request may not cross. */
  otherRegions (): Route | undefined
}

/** Options of {@linkcode preferOwnRegion}. */
export interface RegionPreferenceOptions {
  /** First-token target, in milliseconds from now. */
  firstTokenMs: number
  /** Expected time until the own region has room for the request, in milliseconds; `Infinity` if that is unknown. */
  waitMs: number
  /** Returns the round-trip time to the endpoint of a route, in milliseconds. */
  roundTripMs (route: Route): number
  /** True if the own region as a whole has more work than it can serve, so that its endpoints are likely to be later than predicted. Default false. */
  overloaded?: boolean
}

/** A selected route, and why it leads to another region; undefined if it does not. */
export interface RegionalRoute { route: Route, crossing: CrossingReason | undefined }

/**
 * Selects the route of a request. Endpoints of the own region are used while one of them has room and meets the target; another region only if the request gains more there than the round trip
 * takes.
 * @returns Undefined if the request has to wait.
 */
export function preferOwnRegion ({ connected, ownRegion, otherRegions }: RegionRoutes, options: RegionPreferenceOptions): RegionalRoute | undefined {
  const spilled = options.overloaded === true ? otherRegions() : undefined
  if (spilled?.meetsTarget) return { route: spilled, crossing: 'overload' }
  const first = connected()
  if (first?.meetsTarget) return stay(first)
  const own = ownRegion()
  if (own?.meetsTarget) return stay(own)
  const near = first ?? own
  const far = otherRegions()
  if (!far) return near && stay(near)
  if (!near) return options.waitMs > options.roundTripMs(far) ? { route: far, crossing: 'no-room' } : undefined
  return gains(far, near, options.firstTokenMs) ? { route: far, crossing: 'late' } : stay(near)
}

function stay (route: Route): RegionalRoute {
  return { route, crossing: undefined }
}

/** A near endpoint whose first token would be in time misses the target by its token intervals or for want of a slot, which the predicted times do not compare. */
function gains (far: Route, near: Route, firstTokenMs: number): boolean {
  return far.meetsTarget && (far.firstTokenMs < near.firstTokenMs || near.firstTokenMs <= firstTokenMs)
}
