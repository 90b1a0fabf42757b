/** Selects the daemons that run requests for one that cannot reach the endpoints of a pool. */
import type { DaemonId, FailureDomain, PoolName } from '../ids/index.ts'
import type { Hash32 } from '../routing/index.ts'
import { RegionTopology, type Distance, type Topology } from '../topology/index.ts'

/** Properties of a daemon that determine whether and when it is asked. */
export interface DelegateCandidate { id: DaemonId, failureDomain: FailureDomain }

/** What a daemon offers for the requests of a pool. */
export interface DelegateOffer {
  /** Requests that it runs for this daemon at once; 0 if it declines. */
  room: number
  /** Time since an endpoint of the pool last sent it anything, in milliseconds. */
  activityAgeMs: number
}

/** A daemon that was selected, with the knowledge that it was selected by. */
export interface SelectedDelegate {
  id: DaemonId
  /** Requests that it runs for this daemon, without the new one. */
  inFlight: number
  /** Time since its offer arrived, in milliseconds. */
  offerAgeMs: number
  /** Time since an endpoint of the pool last sent it anything, in milliseconds. */
  activityAgeMs: number
}

/** Options of {@linkcode DelegateSelector}. */
export interface DelegateSelectorOptions {
  self: DaemonId
  failureDomain: FailureDomain
  hash: Hash32
  /** Distances to the failure domains. Default: all are in one region. */
  topology?: Pick<Topology, 'distanceTo'>
}

/** Time for which an offer is used, in milliseconds. */
export const OFFER_TTL_MS = 1500
/** Time for which a daemon that declined is not asked again, in milliseconds. */
const DECLINED_MS = 2000
/** Daemons with offers that a pool should have. */
const OFFERS_WANTED = 4
/** Daemons of the own failure domain, or of the own region, that decline before the others of it come last. */
const MAX_NEAR_DECLINED = 2
/** Distances, nearest first. */
const DISTANCES: readonly Distance[] = ['same-domain', 'same-region', 'other-region']
/** Least number of daemons asked at once while there is no offer. */
const MIN_ASKED = 2

interface RecordedOffer extends DelegateOffer { atMs: number, failureDomain: FailureDomain }
interface PoolOffers { offers: Map<DaemonId, RecordedOffer>, declinedAtMs: Map<DaemonId, number> }

/**
 * Keeps the offers of other daemons and selects among them.
 *
 * Each daemon asks others in an order of its own, so that those that are cut off together spread their requests over all others. Daemons of its failure domain come
 * first, since bytes between domains are priced, and alternate with others, since a whole domain may be cut off. Those of other regions come after the others of its region.
 */
export class DelegateSelector {
  readonly #options: DelegateSelectorOptions
  readonly #topology: Pick<Topology, 'distanceTo'>
  readonly #pools = new Map<PoolName, PoolOffers>()
  readonly #inFlight = new Map<DaemonId, number>()

  constructor (options: DelegateSelectorOptions) {
    this.#options = options
    this.#topology = options.topology ?? new RegionTopology({ ownDomain: options.failureDomain })
  }

  /** Number of requests that a daemon runs for this one. */
  inFlight (id: DaemonId): number {
    return this.#inFlight.get(id) ?? 0
  }

  /** Daemons with an offer for a pool that can still be used. */
  offering (pool: PoolName, now: number): DaemonId[] {
    return [...this.#offersOf(pool).offers].filter(([, { atMs }]) => now - atMs < OFFER_TTL_MS).map(([id]) => id)
  }

  /** Returns the daemons to ask now: those with an offer, to renew it, and others until there are enough. Times are in milliseconds on the daemon's clock. */
  toAsk<T extends DelegateCandidate> (pool: PoolName, candidates: readonly T[], now: number): T[] {
    const { declinedAtMs } = this.#offersOf(pool)
    const offering = new Set(this.offering(pool, now))
    const renewed = candidates.filter(({ id }) => offering.has(id))
    const isFull = renewed.length > 0 && this.pick(pool, { avoid: [] }, now) === undefined
    const missing = isFull ? OFFERS_WANTED : Math.max(renewed.length === 0 ? MIN_ASKED : 0, OFFERS_WANTED - renewed.length)
    const isDeclined = ({ id }: DelegateCandidate) => now - (declinedAtMs.get(id) ?? -Infinity) < DECLINED_MS
    const isCutOff = (distance: Distance) => {
      const isAt = (candidate: DelegateCandidate) => this.#distanceTo(candidate) === distance
      return candidates.filter((candidate) => isAt(candidate) && isDeclined(candidate)).length >= MAX_NEAR_DECLINED && !renewed.some(isAt)
    }
    const others = this.#ranked(candidates, isCutOff).filter((candidate) => !offering.has(candidate.id) && !isDeclined(candidate))
    return [...renewed, ...others.slice(0, missing)]
  }

  /** Records what a daemon offers. */
  recordOffer (pool: PoolName, from: DelegateCandidate, offer: DelegateOffer, now: number): void {
    const { offers, declinedAtMs } = this.#offersOf(pool)
    if (offer.room <= 0) return this.recordDecline(pool, from.id, now)
    declinedAtMs.delete(from.id)
    offers.set(from.id, { ...offer, atMs: now, failureDomain: from.failureDomain })
  }

  /** Records that a daemon declined, or could not be asked. */
  recordDecline (pool: PoolName, id: DaemonId, now: number): void {
    const { offers, declinedAtMs } = this.#offersOf(pool)
    offers.delete(id)
    declinedAtMs.set(id, now)
  }

  /** Selects the daemon with the smallest part of its offered room in use, the nearest first; undefined if none has room. */
  pick (pool: PoolName, { avoid }: { avoid: readonly DaemonId[] }, now: number): SelectedDelegate | undefined {
    let best: { id: DaemonId, offer: RecordedOffer, use: number, rank: number } | undefined
    for (const [id, offer] of this.#offersOf(pool).offers) {
      const use = this.inFlight(id) / offer.room
      if (now - offer.atMs >= OFFER_TTL_MS || use >= 1 || avoid.includes(id)) continue
      const rank = DISTANCES.indexOf(this.#distanceTo(offer))
      if (!best || (rank === best.rank ? use < best.use : rank < best.rank)) best = { id, offer, use, rank }
    }
    return best && { id: best.id, inFlight: this.inFlight(best.id), offerAgeMs: now - best.offer.atMs, activityAgeMs: now - best.offer.atMs + best.offer.activityAgeMs }
  }

  /** Counts a request that was sent to a daemon. */
  started (id: DaemonId): void {
    this.#inFlight.set(id, this.inFlight(id) + 1)
  }

  /** Counts the end of a request. */
  ended (id: DaemonId): void {
    const left = this.inFlight(id) - 1
    if (left > 0) this.#inFlight.set(id, left)
    else this.#inFlight.delete(id)
  }

  /** Removes what is known of a pool. */
  forget (pool: PoolName): void {
    this.#pools.delete(pool)
  }

  #distanceTo ({ failureDomain }: { failureDomain: FailureDomain }): Distance {
    return this.#topology.distanceTo(failureDomain)
  }

  /** Candidates in this daemon's order, its own failure domain and the others in turn; of the others those of its region first. Those that seem cut off come last. */
  #ranked<T extends DelegateCandidate> (candidates: readonly T[], isCutOff: (distance: Distance) => boolean): T[] {
    const { self, hash } = this.#options
    const ranked = candidates.filter(({ id }) => id !== self).map((candidate) => ({ candidate, rank: hash(`${self}/${candidate.id}`) })).sort((a, b) => b.rank - a.rank).map(({ candidate }) => candidate)
    const [near, region, others] = DISTANCES.map((distance) => ranked.filter((candidate) => this.#distanceTo(candidate) === distance)) as [T[], T[], T[]]
    const far = others.length > 0 && isCutOff('same-region') ? [...others, ...region] : [...region, ...others]
    if (isCutOff('same-domain')) return [...far, ...near]
    return Array.from({ length: Math.max(near.length, far.length) }, (_, i) => [near[i], far[i]]).flat().filter((candidate) => candidate !== undefined)
  }

  #offersOf (pool: PoolName): PoolOffers {
    let known = this.#pools.get(pool)
    if (!known) {
      known = { offers: new Map(), declinedAtMs: new Map() }
      this.#pools.set(pool, known)
    }
    return known
  }
}
