/** Bounds the number of requests that a canary receives, and distributes them among daemons. */
import type { ClassName, DaemonId, EndpointId } from '../ids/index.ts'
import type { Random } from '../routing/index.ts'

/** Operator-defined limit on the requests that a bad version may receive. */
export interface ExposureLimit {
  /** Fraction of the pool's requests between the order and its deadline. */
  share: number
  /** Additional requests, independent of traffic. */
  slack: number
}

/** Fraction of the limit available before the switch. The rest covers the seconds until a version that degrades under full traffic is detected. */
const PRE_SWITCH_FRACTION = 0.75

/**
 * Returns the number of requests that may have been sent to the new version by now.
 *
 * Only requests received so far count, which is a safe lower bound: the number until the deadline is unknown.
 * @param requests Requests of the pool since the order, as far as daemons have reported them.
 */
export function exposureAllowed (requests: number, { share, slack }: ExposureLimit): number {
  return Math.floor(PRE_SWITCH_FRACTION * (slack + share * requests))
}

/** Requests of one class that a daemon may send to the new version. */
export type ClassGrant = readonly [cls: ClassName, requests: number]

/** Request rate of a class at a daemon, per second. */
export interface DaemonDemand {
  daemon: DaemonId
  cls: ClassName
  perS: number
}

/** Options of {@linkcode distributeGrants}. */
export interface DistributeGrantsOptions {
  /** Total number of requests to grant. */
  requests: number
  /** Lifetime of a grant, in milliseconds. */
  forMs: number
  random: Random
}

/** Maximum fraction of a class's requests sent to the new version; the rest provides the old version's baseline over the same period. */
const MAX_CLASS_FRACTION = 0.6
const MS_PER_S = 1000

/**
 * Distributes requests evenly among classes, and within a class among daemons.
 *
 * Distributed in proportion to traffic, most batches would leave out a low-traffic route, and its callers would be the first to notice a version
 * that is bad only there. In a low-traffic class, few of the daemons that hold a grant receive a request before it expires, so more
 * requests are granted than should be sent.
 * @returns Grants by daemon, in total at most `requests`.
 */
export function distributeGrants (demand: readonly DaemonDemand[], { requests, forMs, random }: DistributeGrantsOptions): Map<DaemonId, ClassGrant[]> {
  const classes = [...new Set(demand.map(({ cls }) => cls))].map((cls) => {
    const daemons = demand.filter((each) => each.cls === cls && each.perS > 0)
    return { cls, daemons, expected: daemons.reduce((sum, { perS }) => sum + perS, 0) * forMs / MS_PER_S }
  })
  const grants = new Map<DaemonId, ClassGrant[]>()
  let remaining = requests
  // Low-traffic classes come first: most of their grants expire unused and are then available to the other classes.
  classes.sort((a, b) => a.expected - b.expected).forEach(({ cls, daemons, expected }, i) => {
    const counts = distributeClass(daemons, { forMs, random, maxRequests: Math.ceil(remaining / (i === classes.length - 1 ? 1 : 2)), targetSent: expected * MAX_CLASS_FRACTION })
    for (const [daemon, count] of counts) {
      grants.set(daemon, [...grants.get(daemon) ?? [], [cls, count]])
      remaining -= count
    }
  })
  return grants
}

interface DistributeClassOptions {
  forMs: number
  random: Random
  /** Maximum number of requests to grant. */
  maxRequests: number
  /** Expected number of requests to be sent. */
  targetSent: number
}

/** Grants one request per daemon and round until the expected number of sent requests reaches the target. */
function distributeClass (daemons: readonly DaemonDemand[], { forMs, random, maxRequests, targetSent }: DistributeClassOptions): Map<DaemonId, number> {
  const counts = new Map<DaemonId, number>()
  const shuffled = daemons.map((each) => ({ each, place: random() })).sort((a, b) => a.place - b.place).map(({ each }) => each)
  let granted = 0
  let expectedSent = 0
  for (let round = 1; granted < maxRequests && expectedSent < targetSent && shuffled.length > 0; round++) {
    for (const { daemon, perS } of shuffled) {
      if (granted >= maxRequests || expectedSent >= targetSent) break
      const probability = poissonTail(round, perS * forMs / MS_PER_S)
      if (round > 1 && probability < MIN_PROBABILITY) continue
      counts.set(daemon, round)
      granted++
      expectedSent += probability
    }
    if (round > MAX_PER_DAEMON) break
  }
  return counts
}

/** A daemon is granted a further request only if it receives that many with at least this probability. */
const MIN_PROBABILITY = 0.3
const MAX_PER_DAEMON = 100

/** Returns the probability of at least `count` events in a Poisson distribution with the given mean. */
function poissonTail (count: number, mean: number): number {
  let term = Math.exp(-mean)
  let below = 0
  for (let i = 0; i < count; i++) {
    below += term
    term *= mean / (i + 1)
  }
  return Math.max(0, 1 - below)
}

/**
 * Accounts for granted requests.
 *
 * The unused part of a grant is only released when its daemon reports it: a daemon that crashes or receives the grant late may have used all
 * of it.
 */
export class GrantLedger {
  #used: number
  readonly #outstanding = new Map<DaemonId, Map<number, number>>()
  #lastNumber = 0

  /** @param granted Requests that previous deciders may have granted, all counted as used. */
  constructor (granted: number) {
    this.#used = granted
  }

  /** Requests that may have been sent or may still be sent. */
  get granted (): number {
    let sum = this.#used
    for (const grants of this.#outstanding.values()) for (const requests of grants.values()) sum += requests
    return sum
  }

  /** Records a grant and returns its number. */
  issue (daemon: DaemonId, requests: number): number {
    const number = ++this.#lastNumber
    const grants = this.#outstanding.get(daemon) ?? new Map<number, number>()
    this.#outstanding.set(daemon, grants)
    grants.set(number, requests)
    return number
  }

  /** Records how many requests of an ended grant a daemon used; unknown and already settled grants are ignored. */
  settle (daemon: DaemonId, number: number, used: number): void {
    const grants = this.#outstanding.get(daemon)
    const requests = grants?.get(number)
    if (requests === undefined) return
    grants!.delete(number)
    this.#used += Math.min(requests, Math.max(0, used))
  }
}

/** Requests that a daemon may send to a canary. */
export interface Grant {
  /** Id of the order. */
  order: string
  number: number
  requests: readonly ClassGrant[]
  /** Target endpoints of the new version: as many as the grants load like the old version's endpoints, since some faults only show under load. */
  endpoints: readonly EndpointId[]
  /** Lifetime from receipt, in milliseconds. */
  forMs: number
}

/** Tracks a daemon's use of its current grant; a new grant ends the previous one. */
export class GrantAllowance {
  #grant: (Grant & { untilMs: number }) | undefined
  readonly #remaining = new Map<ClassName, number>()
  #used = 0

  /**
   * Starts a grant.
   * @returns The use of the previous grant, if there was one.
   */
  start (grant: Grant, now: number): { number: number, used: number } | undefined {
    const previous = this.end()
    this.#grant = { ...grant, untilMs: now + grant.forMs }
    for (const [cls, requests] of grant.requests) this.#remaining.set(cls, requests)
    return previous
  }

  /** Ends the current grant and returns its use. */
  end (): { number: number, used: number } | undefined {
    const previous = this.#grant && { number: this.#grant.number, used: this.#used }
    this.#grant = undefined
    this.#remaining.clear()
    this.#used = 0
    return previous
  }

  /** Returns the endpoints that a request of the class may be sent to; none once the grant is used up or expired. */
  endpointsFor (order: string, cls: ClassName, now: number): readonly EndpointId[] {
    const usable = this.#grant?.order === order && now < this.#grant.untilMs && (this.#remaining.get(cls) ?? 0) > 0
    return usable ? this.#grant!.endpoints : []
  }

  /** Counts a sent request. */
  spend (cls: ClassName): void {
    this.#remaining.set(cls, (this.#remaining.get(cls) ?? 0) - 1)
    this.#used++
  }
}
