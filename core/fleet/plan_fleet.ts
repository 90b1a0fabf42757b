/** Which hosts to hold for one pool: the cheapest mix whose expected losses keep the delivery target. */
import type { FailureDomain } from '../ids/index.ts'

/** Hosts that the cloud offers in one failure domain. */
export interface Offer {
  failureDomain: FailureDomain
  reclaimable: boolean
  pricePerHour: number
  /** Waves a day to be expected; 0 for on-demand hosts. */
  wavesPerDay: number
  /** False while starts there are refused. */
  available: boolean
}

/** What the fleet is for. */
export interface FleetDemand {
  /** Hosts that the work needs now, a fraction included. */
  hosts: number
  /** Fraction of requests to answer in time. */
  delivery: number
  /** Milliseconds from the order of a host to its first request, its weights loaded. */
  bootMs: number
  /** Money that the loss of one reclaimable host costs in recomputed work. */
  lossPrice: number
}

/** Hosts to hold of one offer. */
export interface Holding { offer: Offer, count: number }

/** A plan and what it promises. */
export interface FleetPlan { holdings: Holding[], pricePerHour: number, expectedMissed: number }

/** Chooses the hosts of a pool. */
export interface FleetPlanner {
  plan (demand: FleetDemand, offers: readonly Offer[]): FleetPlan
}

const HOURS_PER_DAY = 24
const MS_PER_DAY = 86_400_000
/** Part of what may be missed that reclaims may use up; the rest is for everything else. */
const MISS_BUDGET = 0.5
const SAME_PRICE = 1e-9

/**
 * Tries every number of domains to spread reclaimable hosts over and every number of spare and of on-demand hosts, and takes the cheapest mix
 * whose expected share of missed requests keeps the delivery target.
 *
 * A wave takes all reclaimable hosts of its domain; until others have booted, the work beyond what is left is missed. Spare hosts and
 * on-demand hosts lower what is missed; so do more domains, at dearer prices.
 */
export class MixPlanner implements FleetPlanner {
  plan (demand: FleetDemand, offers: readonly Offer[]): FleetPlan {
    const needed = Math.max(1, Math.ceil(demand.hosts))
    const reclaimable = usable(offers, true, demand)
    const onDemand = usable(offers, false, demand)[0]
    let best: FleetPlan | undefined
    for (let domains = 0; domains <= reclaimable.length; domains++) {
      for (let firm = 0; firm <= (onDemand ? needed : 0); firm++) {
        for (let spare = 0; spare <= needed; spare++) {
          const borrowed = needed + spare - firm
          if ((domains === 0) !== (borrowed === 0)) continue
          const plan = mix(demand, needed, [...spread(reclaimable.slice(0, domains), borrowed), ...(onDemand && firm > 0 ? [{ offer: onDemand, count: firm }] : [])])
          if (!best || isBetter(plan, best, demand)) best = plan
        }
      }
    }
    return best ?? { holdings: [], pricePerHour: 0, expectedMissed: 1 }
  }
}

/** Baseline: on-demand hosts only. */
export class OnDemandPlanner implements FleetPlanner {
  plan (demand: FleetDemand, offers: readonly Offer[]): FleetPlan {
    const needed = Math.max(1, Math.ceil(demand.hosts))
    const offer = usable(offers, false, demand)[0]
    return mix(demand, needed, offer ? [{ offer, count: needed }] : [])
  }
}

/** Baseline: the cheapest reclaimable hosts, wherever they are. */
export class CheapestPlanner implements FleetPlanner {
  plan (demand: FleetDemand, offers: readonly Offer[]): FleetPlan {
    const needed = Math.max(1, Math.ceil(demand.hosts))
    const offer = offers.filter((each) => each.available).sort((a, b) => a.pricePerHour - b.pricePerHour)[0]
    return mix(demand, needed, offer ? [{ offer, count: needed }] : [])
  }
}

/** Offers that can be had, by price with the cost of being reclaimed. */
function usable (offers: readonly Offer[], reclaimable: boolean, demand: FleetDemand): Offer[] {
  const fullPrice = (offer: Offer) => offer.pricePerHour + offer.wavesPerDay / HOURS_PER_DAY * demand.lossPrice
  return offers.filter((offer) => offer.available && offer.reclaimable === reclaimable).sort((a, b) => fullPrice(a) - fullPrice(b))
}

/** As evenly as whole hosts allow, the cheapest domains first. */
function spread (offers: readonly Offer[], count: number): Holding[] {
  return offers.map((offer, i) => ({ offer, count: Math.floor(count / offers.length) + (i < count % offers.length ? 1 : 0) })).filter(({ count }) => count > 0)
}

function mix (demand: FleetDemand, needed: number, holdings: Holding[]): FleetPlan {
  const total = holdings.reduce((sum, { count }) => sum + count, 0)
  let pricePerHour = 0
  let expectedMissed = Math.max(0, needed - total) / needed
  for (const { offer, count } of holdings) {
    pricePerHour += count * (offer.pricePerHour + offer.wavesPerDay / HOURS_PER_DAY * demand.lossPrice)
    const short = Math.max(0, demand.hosts - (total - count)) / demand.hosts
    expectedMissed += short * offer.wavesPerDay * demand.bootMs / MS_PER_DAY
  }
  return { holdings, pricePerHour, expectedMissed }
}

function isBetter (plan: FleetPlan, best: FleetPlan, demand: FleetDemand): boolean {
  const allowed = (1 - demand.delivery) * MISS_BUDGET
  const [ok, bestOk] = [plan.expectedMissed <= allowed, best.expectedMissed <= allowed]
  if (ok !== bestOk) return ok
  if (!ok) return plan.expectedMissed < best.expectedMissed
  // At the same price, more domains: nothing is won by holding all in one.
  if (Math.abs(plan.pricePerHour - best.pricePerHour) <= SAME_PRICE) return plan.expectedMissed < best.expectedMissed
  return plan.pricePerHour < best.pricePerHour
}
