/** Finds daemons that run requests of this one while it cannot reach the endpoints of their pool. */
import type { DaemonId, FailureDomain, PoolName } from '../../core/ids/index.ts'
import { DelegateSelector, type DelegateOffer } from '../../core/delegation/index.ts'
import type { Member } from '../../core/membership/index.ts'
import type { Hash32 } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { Topology } from '../../core/topology/index.ts'
import { log } from '../log/index.ts'
import type { PathWatch } from '../paths/index.ts'
import type { MembershipTask } from '../peers/membership_task.ts'
import type { RequestWay } from '../request/placement.ts'
import { OFFER_METHOD, type OfferQuery } from './_messages.ts'
import { guarded } from '../tasks/index.ts'

/** Options of {@linkcode DelegateFinder}. */
export interface DelegateFinderOptions {
  self: DaemonId
  failureDomain: FailureDomain
  hash: Hash32
  /** Distances to the failure domains. Default: all are in one region. */
  topology?: Pick<Topology, 'distanceTo'>
  membership: MembershipTask
  paths: PathWatch
  /** Called when another daemon offers to run requests of a pool, which has been cut off here for this many milliseconds. */
  onOffer (pool: PoolName, cutOffMs: number): void
  /** Called when an inquiry has ended, with or without an offer. */
  onInquiryEnd (): void
}

/** A request that needs a way to an endpoint of its pool. */
export interface UnplacedRequest {
  pool: PoolName
  idempotent: boolean
  /** True if another daemon may run it. */
  mayDelegate: boolean
  /** Daemons that must not be selected. */
  avoidDelegates: readonly DaemonId[]
}

/** Interval between inquiries for a pool that is cut off, in milliseconds. */
const INQUIRY_INTERVAL_MS = 500
/** Interval between checks whether an inquiry is due, in milliseconds. */
const RENEW_INTERVAL_MS = 100
/** Time to wait for an offer, in milliseconds. A daemon that dials endpoints first needs most of it. */
const OFFER_TIMEOUT_MS = 450
/** Groups of daemons that are asked one after the other while none offers anything. */
const MAX_ROUNDS = 4
/** Time after the last request of a pool during which offers are kept up to date, in milliseconds. */
const DEMAND_MS = 2000

/**
 * Time from the moment at which nobody reaches a pool during which its requests still wait, in milliseconds: a crashed endpoint is listed anew within that time, and then they can be
 * served.
 */
const REPLACEMENT_MS = 1000

/** A pool that cannot be reached from this daemon. */
interface CutOffPool { sinceMs: number, wantedAtMs: number, inquiredAtMs: number, inquiring: boolean, lastInquiryFoundOne: boolean, delegated: number, isLogged: boolean }

/** Asks other daemons for offers while a pool is cut off. */
export class DelegateFinder {
  readonly #options: DelegateFinderOptions
  readonly #selector: DelegateSelector
  readonly #cutOff = new Map<PoolName, CutOffPool>()
  #timer: NodeJS.Timeout | undefined

  constructor (options: DelegateFinderOptions) {
    this.#options = options
    this.#selector = new DelegateSelector(options)
  }

  /** Starts the periodic renewal of offers. */
  start (): void {
    this.#timer = setInterval(guarded('delegate-finder', () => this.#renew()), RENEW_INTERVAL_MS)
  }

  /** Stops the periodic renewal of offers. */
  stop (): void {
    clearInterval(this.#timer)
  }

  /** Returns how a request can be sent now, and starts to ask other daemons if that is needed. */
  wayFor ({ pool, idempotent, mayDelegate, avoidDelegates }: UnplacedRequest): RequestWay {
    const reach = this.#options.paths.reach(pool, { idempotent })
    if (reach === 'reached') {
      if (idempotent) this.#endCutOff(pool)
      return { type: 'direct' }
    }
    if (reach === 'checking') return { type: 'wait' }
    if (!mayDelegate) return { type: 'none' }
    const state = this.#cutOffPool(pool)
    const now = steadyNow()
    state.wantedAtMs = now
    const to = this.#selector.pick(pool, { avoid: avoidDelegates }, now)
    if (to) return { type: 'delegate', to }
    this.#inquireIfDue(pool, state)
    const mayFindOne = state.inquiring && state.lastInquiryFoundOne
    const mayRecover = now - state.sinceMs < REPLACEMENT_MS || this.#options.paths.isRecovering(pool)
    return { type: mayFindOne || mayRecover ? 'wait' : 'none' }
  }

  /** Counts a request that is sent to a delegate. */
  started (pool: PoolName, to: DaemonId): void {
    this.#selector.started(to)
    const state = this.#cutOff.get(pool)
    if (state) state.delegated++
  }

  /** Counts the end of a request; a delegate that declined it or was lost is not selected until it makes a new offer. */
  ended (pool: PoolName, to: DaemonId, { failed }: { failed: boolean }): void {
    this.#selector.ended(to)
    if (failed) this.#selector.recordDecline(pool, to, steadyNow())
  }

  /** Must be called when paths of a pool have changed. */
  pathsChanged (pool: PoolName): void {
    const { paths } = this.#options
    const reach = paths.reach(pool, { idempotent: true })
    if (reach === 'reached') this.#endCutOff(pool)
    else if (reach === 'cut-off' && paths.hasLostRequests(pool)) this.#inquireIfDue(pool, this.#cutOffPool(pool))
  }

  #endCutOff (pool: PoolName): void {
    const state = this.#cutOff.get(pool)
    if (!state) return
    this.#cutOff.delete(pool)
    if (state.isLogged) log('pool-reached', { pool, forMs: Math.round(steadyNow() - state.sinceMs), delegated: state.delegated })
  }

  #cutOffPool (pool: PoolName): CutOffPool {
    let state = this.#cutOff.get(pool)
    if (!state) {
      const now = steadyNow()
      state = { sinceMs: now, wantedAtMs: now, inquiredAtMs: -Infinity, inquiring: false, lastInquiryFoundOne: true, delegated: 0, isLogged: false }
      this.#cutOff.set(pool, state)
    }
    return state
  }

  #renew (): void {
    const now = steadyNow()
    for (const [pool, state] of this.#cutOff) {
      if (now - state.wantedAtMs < DEMAND_MS || this.#options.paths.hasLostRequests(pool)) this.#inquireIfDue(pool, state)
    }
  }

  #inquireIfDue (pool: PoolName, state: CutOffPool): void {
    if (!state.inquiring && steadyNow() - state.inquiredAtMs >= INQUIRY_INTERVAL_MS) this.#inquire(pool, state)
  }

  /** Asks daemons for offers: those that have made one, and others group by group until one does. */
  async #inquire (pool: PoolName, state: CutOffPool): Promise<void> {
    state.inquiring = true
    for (let round = 0; round < MAX_ROUNDS; round++) {
      const asked = this.#selector.toAsk(pool, this.#options.membership.acceptingWork, steadyNow())
      await Promise.all(asked.map((member) => this.#ask(pool, member, state)))
      if (asked.length === 0 || this.#selector.offering(pool, steadyNow()).length > 0) break
    }
    state.inquiring = false
    state.inquiredAtMs = steadyNow()
    const delegates = this.#selector.offering(pool, steadyNow())
    state.lastInquiryFoundOne = delegates.length > 0
    if (!state.isLogged) log('pool-cut-off', { pool, delegates })
    state.isLogged = true
    this.#options.onInquiryEnd()
  }

  async #ask (pool: PoolName, member: Member, state: CutOffPool): Promise<void> {
    try {
      const offer = await this.#options.membership.links.call(member, OFFER_METHOD, { pool } satisfies OfferQuery, { timeoutMs: OFFER_TIMEOUT_MS }) as DelegateOffer
      this.#selector.recordOffer(pool, member, offer, steadyNow())
      if (offer.room > 0) this.#options.onOffer(pool, steadyNow() - state.sinceMs)
    } catch {
      // Also versions of daemons that do not know the method: they are sent no requests.
      this.#selector.recordDecline(pool, member.id, steadyNow())
    }
  }
}
