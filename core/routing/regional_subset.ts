/** Selects the subset of endpoints that a daemon connects to, most of them in its own region. */
import type { DaemonId, Region } from '../ids/index.ts'
import { subset, type SubsetOptions } from './subset.ts'

/** Options of {@linkcode regionalSubset}. */
export interface RegionalSubsetOptions<T> extends Required<SubsetOptions> {
  /** Region of an endpoint; undefined if it is the daemon's own. */
  otherRegionOf (endpoint: T): Region | undefined
}

/** Endpoints of each other region in a subset, so that a request can be sent there without a new connection. */
const OTHERS_PER_REGION = 4

/**
 * Selects the endpoints of a daemon as {@linkcode subset} does, those of its own region first and a few of each other region. Endpoints of other regions take the places that the own region
 * leaves free.
 */
export function regionalSubset<T extends { id: string }> (daemon: DaemonId, endpoints: readonly T[], { otherRegionOf, size, hash }: RegionalSubsetOptions<T>): T[] {
  const own: T[] = []
  const others = new Map<Region, T[]>()
  for (const endpoint of endpoints) {
    const region = otherRegionOf(endpoint)
    if (region === undefined) own.push(endpoint)
    else if (others.has(region)) others.get(region)!.push(endpoint)
    else others.set(region, [endpoint])
  }
  if (others.size === 0 || endpoints.length <= size) return subset(daemon, endpoints, { hash, size })
  const reserved = [...others.values()].flatMap((views) => subset(daemon, views, { hash, size: Math.min(OTHERS_PER_REGION, Math.ceil(size / (others.size + 1))) }))
  const near = subset(daemon, own, { hash, size: Math.max(0, size - reserved.length) })
  const free = size - reserved.length - near.length
  const rest = free > 0 ? subset(daemon, endpoints.filter((endpoint) => otherRegionOf(endpoint) !== undefined && !reserved.includes(endpoint)), { hash, size: free }) : []
  return [...near, ...reserved, ...rest]
}
