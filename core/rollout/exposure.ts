/** Bounds the number of requests that a canary receives, and distributes them among daemons. */
import type { ClassName, DaemonId, EndpointId } from '../ids/index.ts'
import type { Random } from '../routing/index.ts'
import type { DaemonDemand } from './demand.ts'

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

/** What a daemon is granted. */
export interface DaemonGrant {
  requests: ClassGrant[]
  /** Number of requests that the grant counts as while its use is unknown. */
  charge: number
}

/** Options of {@linkcode distributeGrants}. */
export interface DistributeGrantsOptions {
  /** Maximum sum of the charges. */
  requests: number
  /** Lifetime of a grant, in milliseconds. */
  forMs: number
  random: Random
  /** Answers that each class still needs before the versions can be compared. Default: none. */
  missing?: ReadonlyMap<ClassName, number>
  /** Charges each granted request, for as long as the demand may be underestimated. Default false. */
  inFull?: boolean
}

/** Fraction of the requests for classes that need no answers, while others do. */
const ANSWERED_FRACTION = 0.25
/** Maximum fraction of a class's requests sent to the new version; the rest provides the old version's baseline over the same period. */
const MAX_CLASS_FRACTION = 0.6
const MS_PER_S = 1000

/** Grants of one class, as they are distributed. */
interface ClassShare {
  cls: ClassName
  next: Iterator<Candidate, undefined>
  /** Expected number of requests to be sent, so far and at most. */
  sent: number
  target: number
}

/** A daemon that may be granted its request number `count`, which it gets before the grant expires with the given probability. */
interface Candidate { daemon: DaemonId, count: number, probability: number }

/**
 * Distributes requests so that each class is expected to send as many, first those that still need answers, and within a class among daemons.
 *
 * Distributed in proportion to traffic, most batches would leave out a low-traffic route, and its callers would be the first to notice a version
 * that is bad only there. In a low-traffic class, few of the daemons that hold a grant receive a request before it expires, so more requests are
 * granted than should be sent, and together the grants are charged at what their traffic allows to be sent of them: charged in full, the grants
 * of a large fleet would leave such a class without answers.
 * @returns Grants by daemon, with charges that sum up to at most `requests`.
 */
export function distributeGrants (demand: readonly DaemonDemand[], { requests, forMs, random, missing = new Map(), inFull = false }: DistributeGrantsOptions): Map<DaemonId, DaemonGrant> {
  const shares = [...new Set(demand.map(({ cls }) => cls))].map((cls): ClassShare => {
    const daemons = demand.filter((each) => each.cls === cls && each.perS > 0)
    const expected = daemons.reduce((sum, { perS }) => sum + perS, 0) * forMs / MS_PER_S
    return { cls, next: candidatesOf(daemons, { forMs, random }), sent: 0, target: Math.min(missing.get(cls) ?? Infinity, expected * MAX_CLASS_FRACTION) }
  })
  const batch = new GrantBatchBuilder(inFull ? (granted) => granted : chargeFor)
  batch.fill(shares.filter(({ cls }) => missing.has(cls)), requests)
  batch.fill(shares.filter(({ cls }) => !missing.has(cls)), missing.size === 0 ? requests : Math.min(requests, batch.charge + requests * ANSWERED_FRACTION))
  return batch.grants()
}

/** Collects the grants of one batch. */
class GrantBatchBuilder {
  readonly #counts = new Map<DaemonId, { counts: Map<ClassName, number>, expectedSent: number }>()
  readonly #chargeFor: typeof chargeFor
  #granted = 0
  #expectedSent = 0

  constructor (charge: typeof chargeFor) {
    this.#chargeFor = charge
  }

  /** Number of requests that the grants count as. */
  get charge (): number { return this.#chargeFor(this.#granted, this.#expectedSent) }

  /** Adds grants to the class with the fewest expected requests, until each has its target or the charge would exceed the maximum. */
  fill (shares: readonly ClassShare[], maxCharge: number): void {
    const open = new Set(shares.filter(({ target }) => target > 0))
    while (open.size > 0) {
      const share = [...open].reduce((least, each) => (each.sent < least.sent ? each : least))
      const { value } = share.next.next()
      if (value && this.#chargeFor(this.#granted + 1, this.#expectedSent + value.probability) > maxCharge) return
      if (value) this.#add(share, value)
      if (!value || share.sent >= share.target) open.delete(share)
    }
  }

  /** Returns the grants, with the charge divided by the requests that each daemon is expected to send. */
  grants (): Map<DaemonId, DaemonGrant> {
    const { charge } = this
    return new Map([...this.#counts].map(([daemon, { counts, expectedSent }]) => [daemon, { requests: [...counts], charge: charge * expectedSent / this.#expectedSent }]))
  }

  #add (share: ClassShare, { daemon, count, probability }: Candidate): void {
    const known = this.#counts.get(daemon) ?? { counts: new Map<ClassName, number>(), expectedSent: 0 }
    this.#counts.set(daemon, known)
    known.counts.set(share.cls, count)
    known.expectedSent += probability
    share.sent += probability
    this.#granted++
    this.#expectedSent += probability
  }
}

/** Yields the daemons in random order, for one request each and round. */
function * candidatesOf (daemons: readonly DaemonDemand[], { forMs, random }: { forMs: number, random: Random }): Generator<Candidate, undefined> {
  const shuffled = daemons.map((each) => ({ each, place: random() })).sort((a, b) => a.place - b.place).map(({ each }) => each)
  for (let count = 1; count <= MAX_PER_DAEMON; count++) {
    for (const { daemon, perS } of shuffled) {
      const probability = poissonTail(count, perS * forMs / MS_PER_S)
      if (count === 1 || probability >= MIN_PROBABILITY) yield { daemon, count, probability }
    }
  }
  return undefined
}

/** Standard deviations and requests above the expected number that are charged; a batch of Poisson arrivals exceeds both once in some ten thousand times. */
const CHARGE_DEVIATIONS = 4
const CHARGE_MARGIN = 3

/** Returns how many requests of grants may be sent, given the expected number. */
function chargeFor (granted: number, expectedSent: number): number {
  return Math.min(granted, Math.ceil(expectedSent + CHARGE_DEVIATIONS * Math.sqrt(expectedSent) + CHARGE_MARGIN))
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
 * that it was charged.
 */
export class GrantLedger {
  #used: number
  readonly #outstanding = new Map<DaemonId, Map<number, { requests: number, charge: number }>>()
  #lastNumber = 0

  /** @param granted Requests that previous deciders may have granted, all counted as used. */
  constructor (granted: number) {
    this.#used = granted
  }

  /** Requests that may have been sent or may still be sent. */
  get granted (): number {
    let sum = this.#used
    for (const grants of this.#outstanding.values()) for (const { charge } of grants.values()) sum += charge
    return sum
  }

  /** Records a grant, which counts as its charge until it is settled, and returns its number. The default charge is all of its requests. */
  issue (daemon: DaemonId, { requests, charge = requests }: { requests: number, charge?: number }): number {
    const number = ++this.#lastNumber
    const grants = this.#outstanding.get(daemon) ?? new Map<number, { requests: number, charge: number }>()
    this.#outstanding.set(daemon, grants)
    grants.set(number, { requests, charge })
    return number
  }

  /** Records how many requests of an ended grant a daemon used; unknown and already settled grants are ignored. */
  settle (daemon: DaemonId, number: number, used: number): void {
    const grants = this.#outstanding.get(daemon)
    const grant = grants?.get(number)
    if (grant === undefined) return
    grants!.delete(number)
    this.#used += Math.min(grant.requests, Math.max(0, used))
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
