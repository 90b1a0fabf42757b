/** Selects an endpoint for one request. */
import type { EndpointId } from '../ids/index.ts'
import { availableAtMs, meetsIntervalTarget, firstTokenModelOf, predictBetweenTokensMs, predictFirstTokenMs, runningNow, unreadNow, type EndpointView, type PredictionContext } from './endpoint_view.ts'
import type { Lane } from './work_load.ts'

/** Properties of a request that a router needs. */
export interface RouteQuery {
  promptTokens: number
  expectedTokens: number
  firstTokenMs: number
  betweenTokensMs: number | undefined
  avoid: readonly EndpointId[]
  /** Prefill priority at the endpoint. Default: `late`, after everything else. */
  lane?: Lane
  /** Returns the number of prompt tokens assumed to be in an endpoint's prefix cache. */
  cachedTokens (endpoint: EndpointId): number
}

/** A selected endpoint and the prediction for it. */
export interface Route {
  view: EndpointView
  firstTokenMs: number
  meetsTarget: boolean
  /** Prefill priority of the request at the endpoint. */
  lane: Lane
  /** Prompt tokens that the endpoint has to prefill. */
  uncachedTokens: number
  /** Uncached tokens plus all tokens prefilled before them; undefined if the request also waits for a batch slot. */
  unreadTokens: number | undefined
  /** Part of the predicted time that is the round trip to another region, in milliseconds. Default: 0. */
  crossingMs?: number
}

/** Selects an endpoint, or none if every candidate is leaving, ejected, backing off or to be avoided. */
export interface Router {
  pick (query: RouteQuery, candidates: readonly EndpointView[], now: number): Route | undefined
}

/** Source of random numbers in [0, 1). */
export type Random = () => number

/** Options of {@linkcode TargetRouter}. */
export interface TargetRouterOptions {
  /** Seeded random source. */
  random: Random
  /** Number of candidates compared in one round. Default 2. */
  choices?: number
  /** Maximum number of rounds, as long as no candidate meets the target. Default 2. */
  rounds?: number
  /** Returns the number of daemons that use one endpoint. Default: only this one. */
  sharers? (): number
  /** Returns the network round-trip time to an endpoint, in milliseconds. Ranks endpoints; it is too short to count against a target. Default: 0. */
  roundTripMs? (view: EndpointView): number
  /** Returns the time added to the predicted first token of an endpoint in another region, in milliseconds. Default: 0. */
  crossingMs? (view: EndpointView): number
}

const DEFAULT_CHOICES = 2
const DEFAULT_ROUNDS = 2
const MS_PER_HOUR = 3_600_000

/**
 * Prefers endpoints that meet the latency target, and among those the cheapest.
 *
 * Compares only a few candidates, two by default: the endpoint with the longest cached prefix and random ones, then two more if neither meets the target.
 * Many daemons may share a few nearly full endpoints while their knowledge of each other's load is tenths of a second old. If each compared all endpoints,
 * all would select the same one: it would be sent several times as many requests as it has batch slots before the first report shows them, and none for
 * the second after that.
 */
export class TargetRouter implements Router {
  readonly #random: Random
  readonly #choices: number
  readonly #rounds: number
  readonly #options: TargetRouterOptions

  constructor (options: TargetRouterOptions) {
    this.#options = options
    this.#random = options.random
    this.#choices = options.choices ?? DEFAULT_CHOICES
    this.#rounds = options.rounds ?? DEFAULT_ROUNDS
  }

  pick (query: RouteQuery, candidates: readonly EndpointView[], now: number): Route | undefined {
    const eligible = candidates.filter((view) => isEligible(view, query, now))
    const context = { now, sharers: this.#options.sharers?.() ?? 1, crossingMs: this.#options.crossingMs }
    let best: Route | undefined
    for (let examined = 0; examined < eligible.length; examined++) {
      const roundOver = examined > 0 && examined % this.#choices === 0
      if (roundOver && (best!.meetsTarget || examined >= this.#choices * this.#rounds)) break
      const preferred = examined === 0 ? indexOfLongestCachedPrefix(eligible, query) : undefined
      swap(eligible, examined, preferred ?? examined + Math.floor(this.#random() * (eligible.length - examined)))
      best = this.#better(query, best, predict(query, eligible[examined]!, context))
    }
    return best
  }

  #better (query: RouteQuery, best: Route | undefined, route: Route): Route {
    if (!best) return route
    if (best.meetsTarget !== route.meetsTarget) return best.meetsTarget ? best : route
    return this.#score(query, route) < this.#score(query, best) ? route : best
  }

  /** Returns the price of the request on this endpoint, or the predicted wait if the target is missed. Lower is better. */
  #score (query: RouteQuery, route: Route): number {
    const { view } = route
    const delayToOthersMs = DELAY_TO_OTHERS_WEIGHT * route.uncachedTokens * firstTokenModelOf(view).msPerToken
    const waitMs = route.firstTokenMs + delayToOthersMs + (this.#options.roundTripMs?.(view) ?? 0) + FULL_BATCH_PENALTY_MS * runningNow(view) / view.speed.batchSlots
    if (!route.meetsTarget) return waitMs
    const runMs = route.firstTokenMs + query.expectedTokens * predictBetweenTokensMs(view)
    const runPrice = view.pricePerHour * (runMs / MS_PER_HOUR) / view.speed.batchSlots
    return runPrice + waitMs * TIE_BREAK_PRICE_PER_MS
  }
}

/**
 * Weight of a request's prefill time as a delay for the requests queued behind it.
 *
 * It favors endpoints that already cache shared parts of the prompt, as long as the first token is in time there.
 */
const DELAY_TO_OTHERS_WEIGHT = 1

/** Penalty of a full batch added to the predicted wait, in milliseconds. Distributes work among otherwise equal endpoints. */
const FULL_BATCH_PENALTY_MS = 5

/** Price per millisecond of predicted wait. Ranks endpoints with equal prices by load. */
const TIE_BREAK_PRICE_PER_MS = 1e-9

/** Baseline router: selects the endpoint with the fewest running requests according to the last report and the daemon's own work. */
export class LeastLoadedRouter implements Router {
  pick (query: RouteQuery, candidates: readonly EndpointView[], now: number): Route | undefined {
    let best: EndpointView | undefined
    for (const view of candidates) {
      if (!isEligible(view, query, now)) continue
      if (!best || runningNow(view) < runningNow(best)) best = view
    }
    return best && predict(query, best, { now, sharers: 1, crossingMs: undefined })
  }
}

/** Returns the index of the endpoint that caches most of the prompt; undefined if none caches any of it. */
function indexOfLongestCachedPrefix (eligible: readonly EndpointView[], query: RouteQuery): number | undefined {
  let longestIndex: number | undefined
  let longestTokens = 0
  eligible.forEach((view, index) => {
    const cached = query.cachedTokens(view.id)
    if (cached <= longestTokens) return
    longestIndex = index
    longestTokens = cached
  })
  return longestIndex
}

function swap (views: EndpointView[], a: number, b: number): void {
  const view = views[a]!
  views[a] = views[b]!
  views[b] = view
}

function isEligible (view: EndpointView, query: RouteQuery, now: number): boolean {
  return view.leavingAtMs === undefined && availableAtMs(view) <= now && !query.avoid.includes(view.id)
}

/** Predicts the route to an endpoint. A request that can no longer meet its target is moved to the `late` lane, behind those that still can. */
function predict (query: RouteQuery, view: EndpointView, context: PredictionContext & Pick<TargetRouterOptions, 'crossingMs'>): Route {
  const lane = query.lane ?? 'late'
  const uncachedTokens = Math.max(0, query.promptTokens - query.cachedTokens(view.id))
  const crossingMs = context.crossingMs?.(view) ?? 0
  const predictIn = (targetLane: Lane) => predictFirstTokenMs(view, uncachedTokens, targetLane, context) + crossingMs
  const firstTokenMs = predictIn(lane)
  const meetsTokenInterval = query.betweenTokensMs === undefined || (predictBetweenTokensMs(view) <= query.betweenTokensMs && meetsIntervalTarget(view, query.betweenTokensMs, context.now))
  const hasFreeSlot = runningNow(view) < view.speed.batchSlots
  const meetsTarget = hasFreeSlot && meetsTokenInterval && firstTokenMs <= query.firstTokenMs
  const unreadTokensIn = (targetLane: Lane) => (hasFreeSlot ? unreadNow(view, targetLane) + uncachedTokens : undefined)
  const route = { view, firstTokenMs, meetsTarget, lane, uncachedTokens, unreadTokens: unreadTokensIn(lane), ...(crossingMs > 0 && { crossingMs }) }
  if (meetsTarget || lane === 'late' || firstTokenMs <= query.firstTokenMs) return route
  return { ...route, firstTokenMs: predictIn('late'), lane: 'late', unreadTokens: unreadTokensIn('late') }
}
