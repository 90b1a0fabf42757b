/** Where failure domains lie relative to this daemon, and how long a message to them takes. */
import type { FailureDomain, Region } from '../ids/index.ts'

/** How far away a failure domain is. */
export type Distance = 'same-domain' | 'same-region' | 'other-region'

/** Answers questions about distances; every decision that depends on one asks it. */
export interface Topology {
  /** Failure domain of this daemon. */
  readonly ownDomain: FailureDomain
  /** True if the deployment has several regions. */
  readonly hasRegions: boolean
  /** Regions that the settings name, in the same order on all daemons. */
  readonly regions: readonly Region[]
  /** Region of a failure domain; undefined if the settings do not name it. */
  regionOf (domain: FailureDomain): Region | undefined
  /** Returns how far away a failure domain is. */
  distanceTo (domain: FailureDomain): Distance
  /** Returns true if a failure domain is in the region of this daemon, or if regions are not known. */
  isLocal (domain: FailureDomain): boolean
  /** Returns the round-trip time to a failure domain, in milliseconds. */
  roundTripMs (domain: FailureDomain): number
}

/** Options of {@linkcode RegionTopology}. */
export interface RegionTopologyOptions {
  ownDomain: FailureDomain
  /** Region of each failure domain. Default: all are in one region. */
  regions?: ReadonlyMap<FailureDomain, Region>
}

/** Round-trip time to another failure domain of the region, in milliseconds. */
const SAME_REGION_RTT_MS = 3
/** Round-trip time to a region to which none was observed yet, in milliseconds. */
const DEFAULT_REGION_RTT_MS = 40

/**
 * Topology from the settings, with observed round-trip times between regions.
 *
 * The least time observed counts, since queueing only ever adds to it. Within a region the times are too short for a measurement to be worth its noise.
 */
export class RegionTopology implements Topology {
  readonly ownDomain: FailureDomain
  readonly regions: readonly Region[]
  readonly #regions: ReadonlyMap<FailureDomain, Region>
  readonly #ownRegion: Region | undefined
  readonly #leastMs = new Map<Region, number>()
  readonly #regionOrder: readonly Region[]

  constructor ({ ownDomain, regions = new Map() }: RegionTopologyOptions) {
    this.ownDomain = ownDomain
    this.#regions = regions
    this.regions = [...new Set(regions.values())].sort()
    this.#ownRegion = regions.get(ownDomain)
    const domainsIn = (region: Region) => [...regions.values()].filter((other) => other === region).length
    this.#regionOrder = [...new Set(regions.values())].sort((a, b) => domainsIn(b) - domainsIn(a) || (a < b ? -1 : 1))
  }

  get hasRegions (): boolean { return this.regions.length > 1 }

  regionOf (domain: FailureDomain): Region | undefined { return this.#regions.get(domain) }

  /** A domain that the settings do not name counts as near: a wrong guess costs one slow request, and treating it as far would leave its endpoints unused. */
  distanceTo (domain: FailureDomain): Distance {
    if (domain === this.ownDomain) return 'same-domain'
    const region = this.#regions.get(domain)
    return region === undefined || this.#ownRegion === undefined || region === this.#ownRegion ? 'same-region' : 'other-region'
  }

  isLocal (domain: FailureDomain): boolean { return this.distanceTo(domain) !== 'other-region' }

  roundTripMs (domain: FailureDomain): number {
    switch (this.distanceTo(domain)) {
      case 'same-domain': return 0
      case 'same-region': return SAME_REGION_RTT_MS
      case 'other-region': return this.#leastMs.get(this.#regions.get(domain)!) ?? DEFAULT_REGION_RTT_MS
    }
  }

  /**
   * Returns the position of a failure domain's region in an order that depends on the settings alone: the region with most failure domains first, then by name.
   * 0 for all if there is one region.
   */
  regionRank (domain: FailureDomain): number {
    const region = this.#regions.get(domain)
    return region === undefined ? 0 : this.#regionOrder.indexOf(region)
  }

  /**
   * Records an observed round trip to a failure domain, in milliseconds. Times within the region are ignored, and those too short for another region: something nearer answered, such as a
   * proxy that accepts connections on the way.
   */
  recordRoundTrip (domain: FailureDomain, ms: number): void {
    if (!(ms > SAME_REGION_RTT_MS) || this.isLocal(domain)) return
    const region = this.#regions.get(domain)!
    this.#leastMs.set(region, Math.min(ms, this.#leastMs.get(region) ?? Infinity))
  }
}
