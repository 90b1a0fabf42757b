/** Planning of a pool's hosts: the cheapest mix of on-demand and reclaimable hosts that meets the delivery target. */
import type { FailureDomain } from '../ids/index.ts'

/** Hosts of one kind that the cloud offers in one failure domain. */
export interface Offer {
  failureDomain: FailureDomain
  reclaimable: boolean
  pricePerHour: number
  /** Expected reclaims of the domain per day; 0 for on-demand hosts. */
  reclaimsPerDay: number
  /** False while the cloud refuses to start such hosts. */
  available: boolean
}

/** Requirements that the fleet has to meet. */
export interface FleetDemand {
  /** Hosts needed for the current work, possibly fractional. */
  hosts: number
  /** Target fraction of requests answered in time. */
  delivery: number
  /** Time from ordering a host to its first request, including loading the model weights, in milliseconds. */
  bootMs: number
  /** Cost of the work that is recomputed when one reclaimable host is lost, in the unit of the prices. */
  lossPrice: number
}

/** Number of hosts to hold of one offer. */
export interface Holding { offer: Offer, count: number }

/** Hosts to hold, their price and the expected fraction of missed requests. */
export interface FleetPlan { holdings: Holding[], pricePerHour: number, expectedMissed: number }

/** Chooses the hosts of a pool. */
export interface FleetPlanner {
  plan (demand: FleetDemand, offers: readonly Offer[]): FleetPlan
}

const HOURS_PER_DAY = 24
const MS_PER_DAY = 86_400_000
/** Fraction of the miss budget available to reclaims; the rest is reserved for other causes. */
const RECLAIM_MISS_SHARE = 0.5
/** Difference below which two prices count as equal. */
const PRICE_TOLERANCE = 1e-9

/**
 * Exhaustive search over the number of domains, of spare hosts and of on-demand hosts for the cheapest mix whose expected fraction of missed requests
 * meets the delivery target.
 *
 * A reclaim takes all reclaimable hosts of a domain; until replacements have booted, the work beyond the remaining capacity is missed. Spare hosts,
 * on-demand hosts and more domains, which are more expensive, reduce the misses.
 */
export class MixPlanner implements FleetPlanner {
  plan (demand: FleetDemand, offers: readonly Offer[]): FleetPlan {
    const needed = Math.max(1, Math.ceil(demand.hosts))
    const reclaimable = availableOffers(offers, true, demand)
    const onDemand = availableOffers(offers, false, demand)[0]
    let best: FleetPlan | undefined
    for (let domains = 0; domains <= reclaimable.length; domains++) {
      for (let onDemandCount = 0; onDemandCount <= (onDemand ? needed : 0); onDemandCount++) {
        for (let spare = 0; spare <= needed; spare++) {
          const reclaimableCount = needed + spare - onDemandCount
          if ((domains === 0) !== (reclaimableCount === 0)) continue
          const plan = evaluateMix(demand, needed, [...spreadEvenly(reclaimable.slice(0, domains), reclaimableCount), ...(onDemand && onDemandCount > 0 ? [{ offer: onDemand, count: onDemandCount }] : [])])
          if (!best || isBetter(plan, best, demand)) best = plan
        }
      }
    }
    return best ?? { holdings: [], pricePerHour: 0, expectedMissed: 1 }
  }
}

/** Baseline planner that uses on-demand hosts only. */
export class OnDemandPlanner implements FleetPlanner {
  plan (demand: FleetDemand, offers: readonly Offer[]): FleetPlan {
    const needed = Math.max(1, Math.ceil(demand.hosts))
    const offer = availableOffers(offers, false, demand)[0]
    return evaluateMix(demand, needed, offer ? [{ offer, count: needed }] : [])
  }
}

/** Baseline planner that takes all hosts from the cheapest available offer. */
export class CheapestPlanner implements FleetPlanner {
  plan (demand: FleetDemand, offers: readonly Offer[]): FleetPlan {
    const needed = Math.max(1, Math.ceil(demand.hosts))
    const offer = offers.filter((each) => each.available).sort((a, b) => a.pricePerHour - b.pricePerHour)[0]
    return evaluateMix(demand, needed, offer ? [{ offer, count: needed }] : [])
  }
}

/** Returns the available offers of one kind, sorted by price including the expected cost of reclaims. */
function availableOffers (offers: readonly Offer[], reclaimable: boolean, demand: FleetDemand): Offer[] {
  const effectivePrice = (offer: Offer) => offer.pricePerHour + offer.reclaimsPerDay / HOURS_PER_DAY * demand.lossPrice
  return offers.filter((offer) => offer.available && offer.reclaimable === reclaimable).sort((a, b) => effectivePrice(a) - effectivePrice(b))
}

/** Distributes hosts evenly over the offers; the first ones receive the remainder. */
function spreadEvenly (offers: readonly Offer[], count: number): Holding[] {
  return offers.map((offer, i) => ({ offer, count: Math.floor(count / offers.length) + (i < count % offers.length ? 1 : 0) })).filter(({ count }) => count > 0)
}

/** Computes the price and the expected fraction of missed requests of a mix. */
function evaluateMix (demand: FleetDemand, needed: number, holdings: Holding[]): FleetPlan {
  const total = holdings.reduce((sum, { count }) => sum + count, 0)
  let pricePerHour = 0
  let expectedMissed = Math.max(0, needed - total) / needed
  for (const { offer, count } of holdings) {
    pricePerHour += count * (offer.pricePerHour + offer.reclaimsPerDay / HOURS_PER_DAY * demand.lossPrice)
    const missingShare = Math.max(0, demand.hosts - (total - count)) / demand.hosts
    expectedMissed += missingShare * offer.reclaimsPerDay * demand.bootMs / MS_PER_DAY
  }
  return { holdings, pricePerHour, expectedMissed }
}

/** Prefers plans within the miss budget, then the lower price; outside the budget, fewer misses. */
function isBetter (plan: FleetPlan, best: FleetPlan, demand: FleetDemand): boolean {
  const allowed = (1 - demand.delivery) * RECLAIM_MISS_SHARE
  const [ok, bestOk] = [plan.expectedMissed <= allowed, best.expectedMissed <= allowed]
  if (ok !== bestOk) return ok
  if (!ok) return plan.expectedMissed < best.expectedMissed
  // At the same price fewer misses are better, which favours spreading over more domains.
  if (Math.abs(plan.pricePerHour - best.pricePerHour) <= PRICE_TOLERANCE) return plan.expectedMissed < best.expectedMissed
  return plan.pricePerHour < best.pricePerHour
}
