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
  /** Candidates looked at together. Default 2. */
  choices?: number
  /** Times that candidates are looked at, as long as none meets the target. Default 2. */
  rounds?: number
  /** Daemons that use one endpoint. Default: only this one. */
  sharers? (): number
  /** Time that a request to an endpoint takes on the way, both ways, in milliseconds. Default: none. */
  wayMs? (view: EndpointView): number
}

const DEFAULT_CHOICES = 2
const DEFAULT_ROUNDS = 2
const MS_PER_HOUR = 3_600_000

/**
 * Meets the latency target first, then takes the cheapest endpoint that does.
 *
 * Looks at two candidates, the one with the longest cached prefix and random ones, at two more where neither meets the target, and never at the best of all. Load
 * pattern: many daemons share a few endpoints that are nearly full, and know of each other's work what is tenths of a second old. If each looks at all, all find the
 * same best one; it is sent several times as many requests as it has batch slots before the first report tells of them, and none for the second after.
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
    const open = candidates.filter((view) => isOpen(view, query, now))
    const sight = { now, sharers: this.#options.sharers?.() ?? 1 }
    let best: Route | undefined
    for (let looked = 0; looked < open.length; looked++) {
      const roundOver = looked > 0 && looked % this.#choices === 0
      if (roundOver && (best!.meetsTarget || looked >= this.#choices * this.#rounds)) break
      const other = looked === 0 ? longestCached(open, query) : undefined
      swap(open, looked, other ?? looked + Math.floor(this.#random() * (open.length - looked)))
      best = this.#better(query, best, predict(query, open[looked]!, sight))
    }
    return best
  }

  #better (query: RouteQuery, best: Route | undefined, route: Route): Route {
    if (!best) return route
    if (best.meetsTarget !== route.meetsTarget) return best.meetsTarget ? best : route
    return this.#score(query, route) < this.#score(query, best) ? route : best
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
 * It keeps shared parts of prompts where they are read already, as long as the first token is in time there.
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

/** Place of the endpoint that keeps most of the prompt; undefined where none keeps any. */
function longestCached (open: readonly EndpointView[], query: RouteQuery): number | undefined {
  let longest: number | undefined
  let longestTokens = 0
  open.forEach((view, place) => {
    const cached = query.cachedTokens(view.id)
    if (cached <= longestTokens) return
    longest = place
    longestTokens = cached
  })
  return longest
}

function swap (views: EndpointView[], a: number, b: number): void {
  const view = views[a]!
  views[a] = views[b]!
  views[b] = view
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
