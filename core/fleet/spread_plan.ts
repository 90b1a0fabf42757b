/** Distribution of a pool's endpoints over failure domains and kinds: reclaimable ones as long as they are available, otherwise on-demand ones. */
import type { Scaling } from '../catalog/index.ts'
import type { FailureDomain } from '../ids/index.ts'

/** Current endpoints of a pool in one failure domain. */
export interface DomainFleet {
  failureDomain: FailureDomain
  /** On-demand endpoints that serve and are not leaving. */
  onDemand: number
  /** Reclaimable endpoints that serve and are not leaving. */
  reclaimable: number
  /** False from a refused order for reclaimable endpoints until one is accepted. */
  reclaimableAvailable: boolean
}

/** Numbers of endpoints that the work needs. */
export interface EndpointTargets {
  /** With fewer endpoints, a backlog builds up. */
  minimum: number
  /** With fewer endpoints, answers are late even in steady state; worth the on-demand price. */
  required: number
  /** Enough endpoints to absorb bursts and the loss of a failure domain; worth the price of a reclaimable endpoint. */
  withHeadroom: number
}

/** Planned endpoints in one failure domain. */
export interface DomainMix {
  failureDomain: FailureDomain
  onDemand: number
  reclaimable: number
}

/**
 * Plans the endpoints of a pool in each failure domain.
 *
 * Reclaimable endpoints are spread evenly, since a reclaim takes all of a domain at once. A shortfall is filled with on-demand endpoints up to
 * `required`. Endpoints that are leaving do not count, since a replacement takes longer to boot than a reclaim notice lasts.
 *
 * During a reclaim wave, the domain with the most reclaimable endpoints is assumed to be lost next. The remaining endpoints must then keep up with the
 * work until on-demand endpoints have booted.
 *
 * Serving on-demand endpoints are kept until enough others serve, and their reclaimable replacements are limited to the capacity that they leave: a
 * domain's maximum includes both kinds, so that ordering all reclaimable endpoints at once would stop those that still carry the work.
 * @example `spreadPlan({ minimum: 2, required: 3, withHeadroom: 6 }, scaling, fleet)` plans two reclaimable endpoints in each of three domains.
 */
export function spreadPlan (wanted: EndpointTargets, scaling: Scaling, fleet: readonly DomainFleet[]): DomainMix[] {
  const domains = [...fleet].sort((a, b) => priceOf(scaling, a) - priceOf(scaling, b))
  const serving = sum(domains.map(({ reclaimable }) => reclaimable))
  const neededAfterReclaim = isReclaimWave(domains) ? wanted.minimum - (serving - Math.max(...domains.map(({ reclaimable }) => reclaimable))) : 0
  const kept = retainOnDemand(Math.max(wanted.required - serving, neededAfterReclaim), scaling, domains)
  const capacity = domains.map((_, i) => scaling.max - kept[i]!)
  const spread = scaling.reclaimableShare === undefined ? domains.map(() => 0) : spreadReclaimable(wanted.withHeadroom, capacity, domains)
  const reclaimable = retainServing(spread, { required: wanted.required - sum(kept), room: capacity, domains })
  const missing = Math.max(wanted.required - (isReclaimWave(domains) ? serving : sum(reclaimable)), neededAfterReclaim) - sum(kept)
  const ordered = fillInOrder(missing, domains.map((_, i) => capacity[i]! - reclaimable[i]!))
  return domains.map(({ failureDomain }, i) => ({
    failureDomain,
    reclaimable: reclaimable[i]!,
    onDemand: Math.max(kept[i]! + ordered[i]!, minOnDemand(scaling, domains[i]!, reclaimable[i]!))
  }))
}

/** Returns the serving on-demand endpoints to keep: first the minimum of each domain, then those of the cheapest domains. */
function retainOnDemand (wanted: number, { min, max }: Scaling, domains: readonly DomainFleet[]): number[] {
  const minimums = fillInOrder(wanted, domains.map(({ onDemand, reclaimable }) => Math.min(onDemand, Math.max(0, min - reclaimable))))
  const extra = fillInOrder(wanted - sum(minimums), domains.map(({ onDemand }, i) => Math.min(onDemand, max) - minimums[i]!))
  return minimums.map((count, i) => count + extra[i]!)
}

/** Returns the on-demand endpoints that a domain needs for its minimum until reclaimable ones serve. */
function minOnDemand ({ min, max }: Scaling, domain: DomainFleet, reclaimable: number): number {
  return Math.min(max - reclaimable, min - Math.min(reclaimable, domain.reclaimable))
}

/** Returns true if a domain has no reclaimable endpoints available; the price increase behind it leads to reclaims in other domains within seconds. */
function isReclaimWave (domains: readonly DomainFleet[]): boolean {
  return domains.some(({ reclaimableAvailable }) => !reclaimableAvailable)
}

/** Spreads reclaimable endpoints evenly over the domains where they are available; the other domains keep those that they have. */
function spreadReclaimable (target: number, capacity: readonly number[], domains: readonly DomainFleet[]): number[] {
  const counts = domains.map((domain, i) => (domain.reclaimableAvailable ? 0 : Math.min(domain.reclaimable, capacity[i]!)))
  const evenShare = Math.ceil(target / domains.length)
  for (let remaining = target - sum(counts); remaining > 0; remaining--) {
    let smallest = -1
    domains.forEach((domain, i) => {
      const hasCapacity = domain.reclaimableAvailable && counts[i]! < Math.min(capacity[i]!, evenShare + MAX_SKEW)
      if (hasCapacity && (smallest < 0 || counts[i]! < counts[smallest]!)) smallest = i
    })
    if (smallest < 0) break
    counts[smallest]!++
  }
  return counts
}

/** Keeps serving endpoints beyond a domain's planned number until enough others serve. */
function retainServing (spread: readonly number[], { required, room: capacity, domains }: { required: number, room: readonly number[], domains: readonly DomainFleet[] }): readonly number[] {
  const serving = domains.map(({ reclaimable }, i) => Math.min(reclaimable, capacity[i]!))
  const staying = sum(serving.map((count, i) => Math.min(count, spread[i]!)))
  return staying >= required ? spread : spread.map((count, i) => Math.max(count, serving[i]!))
}

/** Maximum number of endpoints beyond its even share that a domain takes over from unavailable ones, since its own reclaim would take them all. */
const MAX_SKEW = 1

/** Distributes a number over places in order, each up to its capacity. */
function fillInOrder (wanted: number, capacities: readonly number[]): number[] {
  let remaining = Math.max(0, wanted)
  return capacities.map((capacity) => {
    const taken = Math.max(0, Math.min(remaining, capacity))
    remaining -= taken
    return taken
  })
}

function priceOf (scaling: Scaling, domain: DomainFleet): number {
  return scaling.pricePerS.get(domain.failureDomain) ?? 1
}

function sum (counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0)
}
