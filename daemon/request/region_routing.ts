/** Routing of requests between regions, for the dispatcher. */
import type { EndpointId } from '../../core/ids/index.ts'
import { availableAtMs, isFull, meanLoad, preferOwnRegion, spillShare, type CrossingReason, type EndpointView, type Random, type RegionalRoute, type Route, type RouteQuery, type Router } from '../../core/routing/index.ts'
import type { Topology } from '../../core/topology/index.ts'
import type { RegionalCandidates } from './_candidates.ts'
import { crossingRequest, endpointsToAvoid } from './_route_query.ts'
import type { Placement, RegionCrossing } from './placement.ts'

/** Options of {@linkcode RegionRouting}. */
export interface RegionRoutingOptions {
  topology: Pick<Topology, 'isLocal' | 'regionOf' | 'roundTripMs'>
  /** Compares the endpoints of a region until one meets the target. */
  thorough: Router
  random: Random
  /** Decides which requests may be sent to another region. Default: all may. */
  crossing?: RegionCrossing | undefined
}

/** Options of {@linkcode RegionRouting.pick}. */
export interface RegionPickOptions {
  query: Omit<RouteQuery, 'avoid'>
  now: number
  /** Expected time until the own region has room, in milliseconds; `Infinity` if that is unknown. */
  expectedMs: number
  /** True if the request is sent to another region or nowhere, since others wait for room in its own. */
  onlyCrossing: boolean
  /** Returns whether an endpoint can take the request now. */
  canStart (view: EndpointView): boolean
  /** Returns whether an endpoint can be reached. */
  canReach (view: EndpointView): boolean
  /** Endpoints of which the request was granted permits. */
  permitted: readonly EndpointId[]
  /** Picks among those of the given endpoints that can. `mayAsk`: it may ask for a permit instead and return nothing. */
  pick (query: RouteQuery, views: readonly EndpointView[], options: { mayAsk: boolean, router?: Router }): Route | undefined
}

/** Selects between the endpoints of the own region and others, and reports requests that leave the region. */
export class RegionRouting {
  readonly #options: RegionRoutingOptions

  constructor (options: RegionRoutingOptions) {
    this.#options = options
  }

  /** True if an endpoint is in the region of this daemon. */
  isLocal ({ failureDomain }: EndpointView): boolean {
    return this.#options.topology.isLocal(failureDomain)
  }

  /** True if a request may be sent to another region now. */
  mayCross (placement: Placement): boolean {
    return this.#options.crossing?.mayCross(crossingRequest(placement)) ?? true
  }

  /** Selects the route of a request; see {@linkcode preferOwnRegion}. */
  pick (placement: Placement, { candidates, regional: { own, others: near, allOthers } }: { candidates: readonly EndpointView[], regional: RegionalCandidates }, options: RegionPickOptions): RegionalRoute | undefined {
    const { now, expectedMs, onlyCrossing, canStart, canReach, permitted, pick } = options
    const isReady = (view: EndpointView) => canStart(view) && availableAtMs(view) <= now
    // A new connection costs less than a refusal.
    const others = near.some(isReady) ? near : allOthers
    if (onlyCrossing && !others.some(canStart)) return undefined
    const mayCross = onlyCrossing || this.mayCross(placement)
    const counts = (view: EndpointView) => availableAtMs(view) <= now && canReach(view)
    const load = meanLoad(own, counts)
    const canServe = load < Infinity
    const share = canServe && mayCross ? spillShare(load, meanLoad(allOthers, counts)) : 0
    const preference = {
      firstTokenMs: options.query.firstTokenMs,
      overloaded: share > 0 && this.#options.random() < share,
      waitMs: canServe && !others.some(({ id }) => permitted.includes(id)) ? now - placement.acceptedAtMs + expectedMs : Infinity,
      roundTripMs: ({ view }: Route) => this.#roundTripMs(view)
    }
    let far: Route | undefined
    const pickAvoiding = (avoid: EndpointId[]) => {
      const query = { ...options.query, avoid }
      let isOwnTried = false
      let near: Route | undefined
      // A request that asks for a permit is started by the answer: nothing may have been found before.
      const pickOwn = (views: readonly EndpointView[], router?: Router) => {
        const route = pick(query, views, { mayAsk: !near, ...(router && { router }) })
        isOwnTried = true
        near ??= route
        return route
      }
      return preferOwnRegion({
        connected: () => pickOwn(candidates),
        // In a full region, an endpoint that seems free would be chosen by all daemons at once.
        ownRegion: () => (!isFull(load) ? pickOwn(own, this.#options.thorough) : mayCross ? undefined : pickOwn(own)),
        otherRegions: () => {
          far = mayCross ? pick(query, others, { mayAsk: isOwnTried && !near }) : undefined
          return far
        }
      }, preference)
    }
    const avoid = this.#toAvoid(placement, [...own, ...(mayCross ? others : [])].filter(canStart))
    let picked = pickAvoiding(avoid)
    // Endpoints that seemed a choice for a retry could not be used.
    if (!picked && !far && avoid.length > 0 && !onlyCrossing) picked = pickAvoiding(this.#toAvoid(placement, own.filter(isReady)))
    if (onlyCrossing && !picked?.crossing) return undefined
    return picked?.crossing === 'no-room' && own.length === 0 ? { ...picked, crossing: 'no-endpoint' } : picked
  }

  #toAvoid (placement: Placement, withRoom: readonly EndpointView[]): EndpointId[] {
    return placement.avoid.length === 0 ? [] : endpointsToAvoid(placement, withRoom)
  }

  /** Must be called when a request is sent to another region. */
  crossed (placement: Placement, view: EndpointView, why: CrossingReason): void {
    const { topology, crossing } = this.#options
    crossing?.crossed(placement.bytes ?? 0)
    placement.spilled?.(view, { region: topology.regionOf(view.failureDomain)!, roundTripMs: this.#roundTripMs(view), why })
  }

  #roundTripMs ({ failureDomain }: EndpointView): number {
    return this.#options.topology.roundTripMs(failureDomain)
  }
}
