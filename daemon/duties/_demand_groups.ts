/** Groups of failure domains whose demand is counted and served together: all of a pool, or those of each region. */
import type { Scaling } from '../../core/catalog/index.ts'
import type { Tally } from '../../core/tally/index.ts'
import type { FailureDomain, PoolName, Region } from '../../core/ids/index.ts'
import type { Topology } from '../../core/topology/index.ts'

/** What the counting of demand asks about regions. */
export type DemandTopology = Pick<Topology, 'hasRegions' | 'ownDomain' | 'regionOf' | 'regions'>

/** Failure domains of a pool, and the tallies of the demand that they serve. */
export interface DemandGroup {
  /** Identifies the group among those of all pools. */
  key: string
  pool: PoolName
  /** Tallies of the demand that is served here. */
  tallyKeys: readonly string[]
  /** Tallies of all regions. */
  regionKeys: readonly string[]
  domains: readonly FailureDomain[]
  /** Regions whose demand is served here; none if the pool has one group. */
  regions: readonly (Region | undefined)[]
  /** True if the pool has one group. */
  isWhole: boolean
  /** Part of the pool's failure domains. */
  share: number
}

const DEMAND_KEY_PREFIX = 'demand/'
const REGION_DEMAND_KEY_PREFIX = 'region-demand/'

/** Returns the tallies that a request of a pool at this daemon is counted in. */
export function demandKeys (pool: PoolName, topology: DemandTopology | undefined): string[] {
  if (topology?.hasRegions !== true) return [DEMAND_KEY_PREFIX + pool]
  return [DEMAND_KEY_PREFIX + pool, regionKey(pool, topology.regionOf(topology.ownDomain))]
}

/** Returns the groups of a pool: one for each region with failure domains of it. Demand of other regions, and of daemons in none, is served by the first. */
export function demandGroups (pool: PoolName, scaling: Scaling, topology: DemandTopology | undefined): DemandGroup[] {
  const domains = [...scaling.pricePerS.keys()]
  const regions = topology?.hasRegions === true ? topology.regions : []
  const served = regions.filter((region) => domains.some((domain) => topology?.regionOf(domain) === region))
  if (served.length < 2) return [{ key: pool, pool, tallyKeys: [DEMAND_KEY_PREFIX + pool], regionKeys: [], domains, regions: [], isWhole: true, share: 1 }]
  const [first] = served
  const unserved = [undefined, ...regions.filter((region) => !served.includes(region))]
  const regionKeys = [undefined, ...regions].map((region) => regionKey(pool, region))
  return served.map((region) => {
    const own = domains.filter((domain) => (topology!.regionOf(domain) ?? first) === region)
    const counted = region === first ? [region, ...unserved] : [region]
    return { key: `${region}/${pool}`, pool, tallyKeys: counted.map((each) => regionKey(pool, each)), regionKeys, domains: own, regions: counted, isWhole: false, share: own.length / domains.length }
  })
}

/**
 * Returns the demand of a group, and the number of daemons that counted it. Demand of daemons whose settings name no regions is counted without one; each group serves its share of that.
 */
export function countDemand ({ pool, tallyKeys, regionKeys, isWhole, share }: DemandGroup, tally: Pick<Tally, 'sum' | 'reporterCount'>): { tokens: number, reporters: number } {
  const total = (keys: readonly string[], of: (key: string) => number) => keys.reduce((sum, key) => sum + of(key), 0)
  const count = (of: (key: string) => number) => total(tallyKeys, of) + (isWhole ? 0 : share * Math.max(0, of(DEMAND_KEY_PREFIX + pool) - total(regionKeys, of)))
  return { tokens: count((key) => tally.sum(key)), reporters: count((key) => tally.reporterCount(key)) }
}

function regionKey (pool: PoolName, region: Region | undefined): string {
  return `${REGION_DEMAND_KEY_PREFIX}${region ?? ''}/${pool}`
}
