/** Distribution of what a region cannot get over the others. */
import type { EndpointTargets } from './spread_plan.ts'

/** What a region needs, and how many endpoints it can have. */
export interface RegionTargets { wanted: EndpointTargets, obtainable: number }

/** Returns the targets of each region, with an even part of what others lack added to those of regions that lack nothing. */
export function withShortages (regions: readonly RegionTargets[]): EndpointTargets[] {
  const missing = regions.reduce((sum, { wanted, obtainable }) => sum + Math.max(0, wanted.required - obtainable), 0)
  const isServed = ({ wanted, obtainable }: RegionTargets) => obtainable >= wanted.required
  const part = Math.ceil(missing / Math.max(1, regions.filter(isServed).length))
  return regions.map((region) => {
    const { minimum, required, withHeadroom } = region.wanted
    const added = isServed(region) ? part : 0
    return { minimum: minimum + added, required: required + added, withHeadroom: withHeadroom + added }
  })
}
