/** Choice of an endpoint for one request. */
import type { EndpointId } from '../ids/index.ts'
import { keepsPace, paceOf, predictBetweenTokensMs, predictFirstTokenMs, runningNow, unreadNow, type EndpointView, type Sight } from './endpoint_view.ts'
import type { Lane } from './work_load.ts'

/** What a router needs to know of a request. */
export interface RouteQuery {
  promptTokens: number
  expectedTokens: number
  firstTokenMs: number
  betweenTokensMs: number | undefined
  avoid: readonly EndpointId[]
  /** Order in which endpoints read prompts. Default: behind everything else. */
  lane?: Lane
  /** Prompt tokens that an endpoint's prefix cache is believed to hold. */
  cachedTokens (endpoint: EndpointId): number
}

/** A choice and the prediction that led to it. */
export interface Route {
  view: EndpointView
  firstTokenMs: number
  meetsTarget: boolean
  /** Where the request stands among others at the endpoint. */
  lane: Lane
  /** Prompt tokens that the endpoint has to read. */
  uncachedTokens: number
  /** These and all that it reads before them; undefined where the request waits for a batch slot besides. */
  unreadTokens: number | undefined
}

/** Chooses an endpoint, or none when every candidate is leaving, full or ejected. */
export interface Router {
  pick (query: RouteQuery, candidates: readonly EndpointView[], now: number): Route | undefined
}

/** Source of random numbers in [0, 1). */
export type Random = () => number

/** Options of {@linkcode TargetRouter}. */
export interface TargetRouterOptions {
  /** Seeded random source. */
  random: Random
  /** Candidates looked at for one request. Default 4. */
  choices?: number
  /** Daemons that use one endpoint. Default: only this one. */
  sharers? (): number
  /** Time that a request to an endpoint takes on the way, both ways, in milliseconds. Default: none. */
  wayMs? (view: EndpointView): number
}

const DEFAULT_CHOICES = 4
const MS_PER_HOUR = 3_600_000

/**
 * Meets the latency target first, then takes the cheapest endpoint that does.
 *
 * Looks at a few random candidates and the one with the longest cached prefix, not at the best of all: load reports lag, and when
 * every daemon sends to the same best endpoint it is overrun before the next report.
 */
export class TargetRouter implements Router {
  readonly #random: Random
  readonly #choices: number
  readonly #options: TargetRouterOptions

  constructor (options: TargetRouterOptions) {
    this.#options = options
    this.#random = options.random
    this.#choices = options.choices ?? DEFAULT_CHOICES
  }

  pick (query: RouteQuery, candidates: readonly EndpointView[], now: number): Route | undefined {
    const sharers = this.#options.sharers?.() ?? 1
    let best: Route | undefined
    let bestScore = Infinity
    for (const view of this.#sample(query, candidates, now)) {
      const route = predict(query, view, { now, sharers })
      const score = this.#score(query, route)
      if (best && (best.meetsTarget && !route.meetsTarget)) continue
      if (!best || (route.meetsTarget && !best.meetsTarget) || score < bestScore) {
        best = route
        bestScore = score
      }
    }
    return best
  }

  #sample (query: RouteQuery, candidates: readonly EndpointView[], now: number): EndpointView[] {
    const open = candidates.filter((view) => isOpen(view, query, now))
    if (open.length <= this.#choices) return open
    const sample: EndpointView[] = []
    let longest: EndpointView | undefined
    let longestTokens = 0
    for (const view of open) {
      const cached = query.cachedTokens(view.id)
      if (cached > longestTokens) {
        longest = view
        longestTokens = cached
      }
    }
    if (longest) sample.push(longest)
    while (sample.length < this.#choices) sample.push(open[Math.floor(this.#random() * open.length)]!)
    return sample
  }

  /** Money for the request on this endpoint, or the predicted wait when the target is missed anyway. */
  #score (query: RouteQuery, route: Route): number {
    const { view } = route
    const othersMs = OTHERS_PART * route.uncachedTokens * paceOf(view).msPerToken
    const waitMs = route.firstTokenMs + othersMs + (this.#options.wayMs?.(view) ?? 0) + FULLNESS_MS * runningNow(view) / view.speed.batchSlots
    if (!route.meetsTarget) return waitMs
    const runMs = route.firstTokenMs + query.expectedTokens * predictBetweenTokensMs(view)
    const holding = view.pricePerHour * (runMs / MS_PER_HOUR) / view.speed.batchSlots
    return holding + waitMs * TIE_BREAK
  }
}

/**
 * What a request's reading delays others by, as a part of the time that it takes: whoever comes next waits for it, too.
 *
 * It keeps shared parts of prompts where they are read already, as long as the first token is in time there: 9% fewer tokens of them were read again
 * on the same played days (608,000 to 555,000), together with the retries that are counted by window.
 */
const OTHERS_PART = 1

/** What a full batch counts for beside the predicted wait, in milliseconds: endpoints that are equal otherwise share the work. */
const FULLNESS_MS = 5

/** Money per millisecond of predicted wait: orders endpoints of one price by load. */
const TIE_BREAK = 1e-9

/** Baseline: the endpoint with the fewest running requests, by the last report and own work. */
export class LeastLoadedRouter implements Router {
  pick (query: RouteQuery, candidates: readonly EndpointView[], now: number): Route | undefined {
    let best: EndpointView | undefined
    for (const view of candidates) {
      if (!isOpen(view, query, now)) continue
      if (!best || runningNow(view) < runningNow(best)) best = view
    }
    return best && predict(query, best, { now, sharers: 1 })
  }
}

function isOpen (view: EndpointView, query: RouteQuery, now: number): boolean {
  return view.leavingAtMs === undefined && view.ejectedUntilMs <= now && !query.avoid.includes(view.id)
}

/** A request that cannot meet its target any more goes behind those that still can. */
function predict (query: RouteQuery, view: EndpointView, sight: Sight): Route {
  const lane = query.lane ?? 'late'
  const uncachedTokens = Math.max(0, query.promptTokens - query.cachedTokens(view.id))
  const firstTokenMs = predictFirstTokenMs(view, uncachedTokens, lane, sight)
  const betweenOk = query.betweenTokensMs === undefined || (predictBetweenTokensMs(view) <= query.betweenTokensMs && keepsPace(view, query.betweenTokensMs, sight.now))
  const roomLeft = runningNow(view) < view.speed.batchSlots
  const meetsTarget = roomLeft && betweenOk && firstTokenMs <= query.firstTokenMs
  const unreadIn = (of: Lane) => (roomLeft ? unreadNow(view, of) + uncachedTokens : undefined)
  if (meetsTarget || lane === 'late' || firstTokenMs <= query.firstTokenMs) return { view, firstTokenMs, meetsTarget, lane, uncachedTokens, unreadTokens: unreadIn(lane) }
  return { view, firstTokenMs: predictFirstTokenMs(view, uncachedTokens, 'late', sight), meetsTarget, lane: 'late', uncachedTokens, unreadTokens: unreadIn('late') }
}
