/** Where a pool's endpoints shall be, and of which kind: cheap ones that may be reclaimed as long as there are any to be had. */
import type { Scaling } from '../catalog/index.ts'
import type { FailureDomain } from '../ids/index.ts'

/** What a failure domain has now. */
export interface DomainFleet {
  failureDomain: FailureDomain
  /** Endpoints that serve and are not leaving. */
  onDemand: number
  reclaimable: number
  /** False since an order for reclaimable ones was refused, until one is taken. */
  reclaimableToBeHad: boolean
}

/** How many endpoints the work needs. */
export interface EndpointsWanted {
  /** With fewer, work comes late even while nothing happens: worth the full price. */
  atLeast: number
  /** With so many, bursts and the loss of a failure domain are borne: worth a reclaimable endpoint's price. */
  comfortably: number
}

/** Endpoints wanted in one failure domain. */
export interface DomainMix {
  failureDomain: FailureDomain
  onDemand: number
  reclaimable: number
}

/**
 * Plans a pool's endpoints.
 *
 * Reclaimable endpoints are spread evenly, since a reclaim takes all of a domain at once. What cannot be had of them is ordered on demand, as far
 * as the work needs it; an endpoint that is told to leave no longer counts, since another boots for longer than a notice lasts. On-demand
 * endpoints that serve stay until enough others do.
 * @example `spreadPlan({ atLeast: 3, comfortably: 6 }, scaling, fleet)` wants two reclaimable endpoints in each of three domains.
 */
export function spreadPlan (wanted: EndpointsWanted, scaling: Scaling, fleet: readonly DomainFleet[]): DomainMix[] {
  const byPrice = [...fleet].sort((a, b) => priceOf(scaling, a) - priceOf(scaling, b))
  const reclaimable = scaling.reclaimableShare === undefined ? byPrice.map(() => 0) : spreadReclaimable(wanted.comfortably, scaling.max, byPrice)
  const notToBeHad = wanted.atLeast - sum(reclaimable)
  const serving = sum(byPrice.map((domain, i) => Math.min(domain.reclaimable, reclaimable[i]!)))
  const inTheMeantime = Math.min(sum(byPrice.map((domain) => domain.onDemand)), wanted.atLeast - serving)
  const onDemand = fillOnDemand(Math.max(notToBeHad, inTheMeantime), byPrice, reclaimable.map((count) => scaling.max - count))
  return byPrice.map(({ failureDomain }, i) => ({
    failureDomain,
    reclaimable: reclaimable[i]!,
    onDemand: Math.max(onDemand[i]!, scaling.min - reclaimable[i]!)
  }))
}

/** Evenly over the domains that have some to give; where there are none to be had, what is there stays. */
function spreadReclaimable (target: number, most: number, domains: readonly DomainFleet[]): number[] {
  const counts = domains.map((domain) => (domain.reclaimableToBeHad ? 0 : domain.reclaimable))
  const evenly = Math.ceil(target / domains.length)
  for (let left = target - sum(counts); left > 0; left--) {
    let least = -1
    domains.forEach((domain, i) => {
      const open = domain.reclaimableToBeHad && counts[i]! < Math.min(most, evenly + SKEW)
      if (open && (least < 0 || counts[i]! < counts[least]!)) least = i
    })
    if (least < 0) break
    counts[least]!++
  }
  return counts
}

/** Endpoints beyond its even part that a domain takes for others that have none to give: its own reclaim would take them all. */
const SKEW = 1

/** Those that serve stay, the cheapest first; what is missing comes in the cheapest domains. */
function fillOnDemand (wanted: number, domains: readonly DomainFleet[], room: readonly number[]): number[] {
  let left = Math.max(0, wanted)
  const take = (count: number): number => {
    const taken = Math.max(0, Math.min(left, count))
    left -= taken
    return taken
  }
  const kept = domains.map((domain, i) => take(Math.min(domain.onDemand, room[i]!)))
  return kept.map((count, i) => count + take(room[i]! - count))
}

function priceOf (scaling: Scaling, domain: DomainFleet): number {
  return scaling.pricePerS.get(domain.failureDomain) ?? 1
}

function sum (counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0)
}
