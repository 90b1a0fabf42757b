/** Endpoints among which a request is placed. */
import type { EndpointId, PoolName } from '../../core/ids/index.ts'
import { availableAtMs, backsOff, type EndpointView, type PrefixIndex } from '../../core/routing/index.ts'
import type { PromptPart } from '../../core/work/index.ts'
import type { EndpointSelection } from '../endpoints/_endpoint_selections.ts'
import type { EndpointLimiter, Placement } from './placement.ts'
import type { RegionRouting } from './region_routing.ts'

/** Endpoints of each distance. */
export interface RegionalCandidates {
  /** All usable endpoints of the own region. */
  own: readonly EndpointView[]
  /** Those of other regions that this daemon connects to. */
  others: readonly EndpointView[]
}

/** Endpoints to choose from, and the number of prompt tokens that each is expected to have cached. */
export interface CandidateSet {
  candidates: readonly EndpointView[]
  cached: Map<EndpointId, number>
  /** Further endpoints if there are several regions; `candidates` are of the own one then. */
  regional?: RegionalCandidates
}

/** Options of {@linkcode Candidates}. */
export interface CandidatesOptions {
  prefixes: PrefixIndex
  home? (parts: readonly PromptPart[], candidates: readonly EndpointView[]): EndpointView | undefined
  limits?: EndpointLimiter
  regions?: RegionRouting
}

/**
 * Least number of shared prompt tokens for which the home is chosen from all endpoints of the pool, rather than from those that this daemon is connected to.
 *
 * When there are more endpoints than a daemon connects to, daemons that choose from their own connections choose different homes, and a prefix shared by hundreds
 * of requests is prefilled at dozens of endpoints. Prefilling this many tokens takes an engine ten times as long as opening a connection.
 */
const MIN_TOKENS_FOR_CONNECTION = 2000

/** Finds the endpoints that may take a request, with their expected cached tokens: prefixes sent by this daemon, and at the home those sent by any daemon. */
export class Candidates {
  readonly #options: CandidatesOptions

  constructor (options: CandidatesOptions) {
    this.#options = options
  }

  /** Returns the candidates for a request among the endpoints that its pool's selection contains. */
  find ({ demand, pool }: Placement, { usable, connected }: EndpointSelection, now: number): CandidateSet {
    const { prefixes, regions } = this.#options
    const cached = prefixes.lookup(demand.parts, now)
    const own = regions ? usable.filter((view) => regions.isLocal(view)) : usable
    const near = this.#withRest(pool, { usable: own, connected: regions ? connected.filter((view) => regions.isLocal(view)) : connected }, now)
    if (!regions) return this.#withHome(demand.parts, { candidates: near, usable }, cached)
    const others = this.#withRest(pool, { usable: usable.filter((view) => !regions.isLocal(view)), connected: connected.filter((view) => !regions.isLocal(view)) }, now)
    const canServe = own.some((view) => availableAtMs(view) <= now)
    if (!canServe) return { candidates: near, cached, regional: { own, others: this.#withHome(demand.parts, { candidates: others, usable }, cached).candidates } }
    return { ...this.#withHome(demand.parts, { candidates: near, usable: own }, cached), regional: { own, others } }
  }

  /** Returns the endpoints that this daemon connects to, or all while those back off, and those that it has permits for. */
  #withRest (pool: PoolName, { usable, connected }: EndpointSelection, now: number): readonly EndpointView[] {
    return this.#withPermitted(pool, { usable, views: connected.every((view) => backsOff(view, now)) ? usable : connected })
  }

  #withHome (parts: readonly PromptPart[], { candidates, usable }: { candidates: readonly EndpointView[], usable: readonly EndpointView[] }, cached: Map<EndpointId, number>): CandidateSet {
    const shared = parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0)
    const home = this.#options.home?.(parts, this.#withoutLimits(shared >= MIN_TOKENS_FOR_CONNECTION ? usable : candidates))
    if (!home) return { candidates, cached }
    cached.set(home.id, Math.max(shared, cached.get(home.id) ?? 0))
    return { candidates: candidates.includes(home) ? candidates : [...candidates, home], cached }
  }

  /** Adds the endpoints that this daemon has permits for: they may be others than those that it is connected to. */
  #withPermitted (pool: PoolName, { usable, views }: { usable: readonly EndpointView[], views: readonly EndpointView[] }): readonly EndpointView[] {
    const permitted = this.#options.limits?.permitted(pool) ?? []
    if (permitted.length === 0) return views
    return [...views, ...usable.filter((view) => permitted.includes(view.id) && !views.includes(view))]
  }

  /** Endpoints without a limit, or all if each has one: a prefix is cached where all of its requests can go. */
  #withoutLimits (views: readonly EndpointView[]): readonly EndpointView[] {
    const { limits } = this.#options
    if (!limits || !views.some((view) => limits.isLimited(view))) return views
    const unlimited = views.filter((view) => !limits.isLimited(view))
    return unlimited.length > 0 ? unlimited : views
  }
}
