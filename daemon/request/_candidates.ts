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
  /** All usable endpoints of other regions. */
  allOthers: readonly EndpointView[]
}

/** Endpoints to choose from, and the number of prompt tokens that each is expected to have cached. */
export interface CandidateSet {
  candidates: readonly EndpointView[]
  cached: Map<EndpointId, number>
  /** Further endpoints if there are several regions; `candidates` are of the own one then. */
  regional?: RegionalCandidates
}

interface SplitSelection { own: EndpointSelection, others: EndpointSelection }

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
  readonly #splits = new WeakMap<EndpointSelection, SplitSelection>()

  constructor (options: CandidatesOptions) {
    this.#options = options
  }

  /** Returns the candidates for a request among the endpoints that its pool's selection contains. */
  find ({ demand, pool }: Placement, selection: EndpointSelection, now: number): CandidateSet {
    const { prefixes, regions } = this.#options
    const cached = prefixes.lookup(demand.parts, now)
    if (!regions) return this.#withHome(demand.parts, { candidates: this.#withRest(pool, selection, now), usable: selection.usable }, cached)
    const split = this.#split(selection, regions)
    const near = this.#withRest(pool, split.own, now)
    const others = this.#withRest(pool, split.others, now)
    const regional = { own: split.own.usable, others, allOthers: split.others.usable }
    const canServe = regional.own.some((view) => availableAtMs(view) <= now)
    if (canServe) return { ...this.#withHome(demand.parts, { candidates: near, usable: regional.own }, cached), regional }
    return { candidates: near, cached, regional: { ...regional, others: this.#withHome(demand.parts, { candidates: others, usable: split.others.usable }, cached).candidates } }
  }

  /** Returns the usable endpoints of other regions. */
  otherRegions (selection: EndpointSelection): readonly EndpointView[] {
    const { regions } = this.#options
    return regions ? this.#split(selection, regions).others.usable : []
  }

  /** Splits a selection by region, once for each: selections last until the endpoints change. */
  #split (selection: EndpointSelection, regions: RegionRouting): SplitSelection {
    let split = this.#splits.get(selection)
    if (!split) {
      const keep = (isKept: (view: EndpointView) => boolean) => ({ usable: selection.usable.filter(isKept), connected: selection.connected.filter(isKept) })
      split = { own: keep((view) => regions.isLocal(view)), others: keep((view) => !regions.isLocal(view)) }
      this.#splits.set(selection, split)
    }
    return split
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
