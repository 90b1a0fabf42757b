/** Confirms with other daemons that an endpoint that refuses connections has ended. */
import type { EndpointId, FailureDomain } from '../../core/ids/index.ts'
import type { Member } from '../../core/membership/index.ts'
import type { EndpointView, Hash32 } from '../../core/routing/index.ts'
import { delay } from '../../core/time/index.ts'
import type { EndpointTable } from '../endpoints/endpoint_table.ts'
import type { PathWatch } from '../paths/index.ts'
import type { MembershipTask } from '../peers/membership_task.ts'

/** Options of {@linkcode CrashConfirmer}. */
export interface CrashConfirmerOptions {
  membership: MembershipTask
  table: EndpointTable
  paths: PathWatch
  hash: Hash32
}

/** Result of a connection to an endpoint, from another daemon. */
interface ProbeResult {
  /** True if the endpoint refused the connection. */
  refused: boolean
  /** True if the daemon reaches other endpoints, so that a refusal is not a fault of its own links. */
  reachesOthers: boolean
}

/** Daemons that are asked about one endpoint. */
const PROBER_COUNT = 3
const PROBE_TIMEOUT_MS = 800
/** Rounds of questions while no daemon reaches any other endpoint, so that its refusal proves nothing. */
const MAX_ROUNDS = 4
const ROUND_INTERVAL_MS = 500
/** Other endpoints that are dialled to learn whether this daemon reaches any. */
const DIALLED_OTHERS = 2
const PROBE_METHOD = 'endpoint-probe'

/**
 * Distinguishes endpoints that ended from links of this daemon that are cut: both refuse connections.
 *
 * All daemons ask the same few about an endpoint, so that a crash costs a few connections in the whole fleet.
 */
export class CrashConfirmer {
  readonly #options: CrashConfirmerOptions
  readonly #pending = new Map<EndpointId, Promise<boolean>>()

  constructor (options: CrashConfirmerOptions) {
    this.#options = options
    options.membership.links.handle(PROBE_METHOD, ({ endpoint }: { endpoint: EndpointId }) => this.#probe(endpoint))
  }

  /** Returns whether an endpoint that refused a connection of this daemon has ended. */
  confirm (view: EndpointView): Promise<boolean> {
    let pending = this.#pending.get(view.id)
    if (!pending) {
      pending = this.#ask(view).finally(() => this.#pending.delete(view.id))
      this.#pending.set(view.id, pending)
    }
    return pending
  }

  async #ask (view: EndpointView): Promise<boolean> {
    for (let round = 0; round < MAX_ROUNDS; round++) {
      if (round > 0) await delay(ROUND_INTERVAL_MS)
      const hasEnded = await this.#askOnce(view)
      if (hasEnded !== undefined) return hasEnded
    }
    return false
  }

  /** Returns undefined if the answers of the other daemons prove nothing. */
  async #askOnce (view: EndpointView): Promise<boolean | undefined> {
    const probers = this.#probersFor(view.id)
    if (probers.length === 0) return await this.#reachesOthers(view.id) || undefined
    const results = await Promise.all(probers.map((prober) => this.#askProber(prober, view.id)))
    if (results.some((each) => each?.refused === false)) return false
    return results.some((each) => each?.refused && each.reachesOthers) || undefined
  }

  async #askProber (prober: Member, endpoint: EndpointId): Promise<ProbeResult | undefined> {
    try {
      return await this.#options.membership.links.call(prober, PROBE_METHOD, { endpoint }, { timeoutMs: PROBE_TIMEOUT_MS }) as ProbeResult
    } catch {
      return undefined
    }
  }

  /** Chooses daemons of different failure domains, as far as there are. */
  #probersFor (endpoint: EndpointId): Member[] {
    const { membership, hash } = this.#options
    const ranked = membership.acceptingWork
      .filter(({ id }) => id !== membership.core.self.id)
      .map((member) => ({ member, rank: hash(`${endpoint}/${member.id}`) }))
      .sort((a, b) => b.rank - a.rank)
      .map(({ member }) => member)
    const domains = new Set<FailureDomain>()
    const firstOfDomain = ranked.filter(({ failureDomain }) => !domains.has(failureDomain) && domains.add(failureDomain))
    return [...firstOfDomain, ...ranked.filter((member) => !firstOfDomain.includes(member))].slice(0, PROBER_COUNT)
  }

  async #probe (endpoint: EndpointId): Promise<ProbeResult> {
    const { table, paths } = this.#options
    const view = table.get(endpoint)
    // An endpoint that is not listed any more has left, and its address may be another one's.
    const result = view === undefined ? 'unanswered' : await paths.dial(view)
    return { refused: result !== 'accepted', reachesOthers: result === 'refused' && await this.#reachesOthers(endpoint) }
  }

  /** Returns whether any other endpoint accepts connections from here, or there is no other. */
  async #reachesOthers (endpoint: EndpointId): Promise<boolean> {
    const { table, paths } = this.#options
    const others = table.all.filter(({ id, leavingAtMs }) => id !== endpoint && leavingAtMs === undefined)
    if (others.length === 0) return true
    const upFirst = others.sort((a, b) => Number(paths.stateOf(a.id) !== 'open') - Number(paths.stateOf(b.id) !== 'open'))
    const results = await Promise.all(upFirst.slice(0, DIALLED_OTHERS).map((view) => paths.dial(view)))
    return results.includes('accepted')
  }
}
