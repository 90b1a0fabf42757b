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
  /** With fewer, work piles up. */
  justEnough: number
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
 * as the work needs it; an endpoint that is told to leave no longer counts, since another boots for longer than a notice lasts.
 *
 * While there are none to be had of them, the domain with the most is taken for lost next: what is left must carry the work without its piling up for
 * as long as on-demand endpoints boot.
 *
 * On-demand endpoints that serve stay until enough others do, and the reclaimable ones that follow them get what room they leave: a domain's most
 * counts both kinds, so that ordering all reclaimable ones at once would stop the endpoints that still carry the work.
 * @example `spreadPlan({ justEnough: 2, atLeast: 3, comfortably: 6 }, scaling, fleet)` wants two reclaimable endpoints in each of three domains.
 */
export function spreadPlan (wanted: EndpointsWanted, scaling: Scaling, fleet: readonly DomainFleet[]): DomainMix[] {
  const domains = [...fleet].sort((a, b) => priceOf(scaling, a) - priceOf(scaling, b))
  const serving = sum(domains.map(({ reclaimable }) => reclaimable))
  const afterNext = isWave(domains) ? wanted.justEnough - (serving - Math.max(...domains.map(({ reclaimable }) => reclaimable))) : 0
  const kept = keepOnDemand(Math.max(wanted.atLeast - serving, afterNext), scaling, domains)
  const room = domains.map((_, i) => scaling.max - kept[i]!)
  const spread = scaling.reclaimableShare === undefined ? domains.map(() => 0) : spreadReclaimable(wanted.comfortably, room, domains)
  const reclaimable = keepServing(spread, { atLeast: wanted.atLeast - sum(kept), room, domains })
  const missing = Math.max(wanted.atLeast - (isWave(domains) ? serving : sum(reclaimable)), afterNext) - sum(kept)
  const ordered = takeInOrder(missing, domains.map((_, i) => room[i]! - reclaimable[i]!))
  return domains.map(({ failureDomain }, i) => ({
    failureDomain,
    reclaimable: reclaimable[i]!,
    onDemand: Math.max(kept[i]! + ordered[i]!, leastOnDemand(scaling, domains[i]!, reclaimable[i]!))
  }))
}

/** Those that serve stay as far as they are wanted: first what each domain must have, then the cheapest. */
function keepOnDemand (wanted: number, { min, max }: Scaling, domains: readonly DomainFleet[]): number[] {
  const least = takeInOrder(wanted, domains.map(({ onDemand, reclaimable }) => Math.min(onDemand, Math.max(0, min - reclaimable))))
  const more = takeInOrder(wanted - sum(least), domains.map(({ onDemand }, i) => Math.min(onDemand, max) - least[i]!))
  return least.map((count, i) => count + more[i]!)
}

/** What a domain must have, until reclaimable endpoints serve there. */
function leastOnDemand ({ min, max }: Scaling, domain: DomainFleet, reclaimable: number): number {
  return Math.min(max - reclaimable, min - Math.min(reclaimable, domain.reclaimable))
}

/** Once a domain has none to give, others are reclaimed within seconds: the price that took the first takes the next. */
function isWave (domains: readonly DomainFleet[]): boolean {
  return domains.some(({ reclaimableToBeHad }) => !reclaimableToBeHad)
}

/** Evenly over the domains that have some to give; where there are none to be had, what is there stays. */
function spreadReclaimable (target: number, room: readonly number[], domains: readonly DomainFleet[]): number[] {
  const counts = domains.map((domain, i) => (domain.reclaimableToBeHad ? 0 : Math.min(domain.reclaimable, room[i]!)))
  const evenly = Math.ceil(target / domains.length)
  for (let left = target - sum(counts); left > 0; left--) {
    let least = -1
    domains.forEach((domain, i) => {
      const open = domain.reclaimableToBeHad && counts[i]! < Math.min(room[i]!, evenly + SKEW)
      if (open && (least < 0 || counts[i]! < counts[least]!)) least = i
    })
    if (least < 0) break
    counts[least]!++
  }
  return counts
}

/** Gives up endpoints of a domain that has more than its part only once enough others serve. */
function keepServing (spread: readonly number[], { atLeast, room, domains }: { atLeast: number, room: readonly number[], domains: readonly DomainFleet[] }): readonly number[] {
  const serving = domains.map(({ reclaimable }, i) => Math.min(reclaimable, room[i]!))
  const staying = sum(serving.map((count, i) => Math.min(count, spread[i]!)))
  return staying >= atLeast ? spread : spread.map((count, i) => Math.max(count, serving[i]!))
}

/** Endpoints beyond its even part that a domain takes for others that have none to give: its own reclaim would take them all. */
const SKEW = 1

/** Takes as many as are wanted, from the first places that have some. */
function takeInOrder (wanted: number, from: readonly number[]): number[] {
  let left = Math.max(0, wanted)
  return from.map((there) => {
    const taken = Math.max(0, Math.min(left, there))
    left -= taken
    return taken
  })
}

function priceOf (scaling: Scaling, domain: DomainFleet): number {
  return scaling.pricePerS.get(domain.failureDomain) ?? 1
}

function sum (counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0)
}
