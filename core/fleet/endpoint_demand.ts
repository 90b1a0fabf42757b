/** Demand of a pool, measured in model engines. */

/** Options of {@linkcode EndpointDemand}. */
export interface EndpointDemandOptions {
  /** Initial demand in engines, assumed until work was measured. A daemon that starts measuring knows the endpoints that were ordered, but not the work. */
  initialEngines: number
  /** True if it is certain that there is no work yet. Default false. */
  knownIdle?: boolean
  /** Start time in milliseconds on the steady clock. */
  now: number
}

/** Running total of the tokens requested from a pool. */
export interface RequestedTotal {
  tokens: number
  /** Number of daemons whose totals are included. */
  reporters: number
  /** Current estimate of the time that an engine needs to prefill one token, in milliseconds. */
  msPerToken: number
}

interface Sample { atMs: number, tokens: number }

/** Window over which the request rate is averaged, in milliseconds. */
const RATE_WINDOW_MS = 6000
/** Short window, in milliseconds, that detects a surge before its callers have waited for the time of two boots. */
const SURGE_WINDOW_MS = 2000
/** Factor applied to the rate of the short window, in which a few long prompts look like a surge. */
const SURGE_WEIGHT = 0.65
/** Longest time for which the initial demand is assumed while no work arrives, in milliseconds. */
const INITIAL_HOLD_MS = 60_000
/** Time for which demand must stay lower before endpoints are released, in milliseconds, since booting an endpoint costs more than keeping it. */
const SCALE_DOWN_HOLD_MS = 15_000

const MS_PER_S = 1000

/** Converts a running total of requested tokens into the number of engines that prefilling them would keep fully busy. */
export class EndpointDemand {
  readonly #options: EndpointDemandOptions
  #samples: Sample[] = []
  #reporters = 0
  #levels: Array<{ atMs: number, demand: number }> = []
  #initialEngines: number
  /** End of the time for which the initial demand is assumed. */
  #initialUntilMs: number
  #hasSeenWork = false

  constructor (options: EndpointDemandOptions) {
    this.#options = options
    this.#initialEngines = options.initialEngines
    this.#initialUntilMs = options.now + (options.knownIdle ? INITIAL_HOLD_MS : SCALE_DOWN_HOLD_MS)
  }

  /** Sets the demand that is assumed until work was measured. */
  setInitialEngines (demand: number): void {
    this.#initialEngines = demand
  }

  /** Returns true at the first start of the system, until work was measured for a while or none has arrived for a long time. */
  isBootstrapping (now: number): boolean {
    return this.#options.knownIdle === true && now <= this.#initialUntilMs
  }

  /** Returns true for a short time after a start at which there was certainly no work. */
  isKnownIdle (now: number): boolean {
    return this.#options.knownIdle === true && now - this.#options.now < SCALE_DOWN_HOLD_MS
  }

  /** Returns false until demand was measured for long enough to be reliable. */
  isSettled (now: number): boolean {
    return this.#options.knownIdle === true || now - this.#options.now > RATE_WINDOW_MS
  }

  /**
   * Records the total and returns the highest demand within the last {@linkcode SCALE_DOWN_HOLD_MS}.
   *
   * The rate is measured anew when the number of daemons changes, since a new daemon adds all that it has counted since its start.
   * @param total Tokens requested since the start, over all daemons.
   * @returns Engines, possibly fractional.
   */
  observe ({ tokens, reporters, msPerToken }: RequestedTotal, now: number): number {
    if (reporters !== this.#reporters) this.#samples = []
    this.#reporters = reporters
    this.#samples = this.#samples.filter((sample) => sample.atMs > now - RATE_WINDOW_MS)
    this.#samples.push({ atMs: now, tokens })
    const tokensPerS = Math.max(this.#tokensPerS(RATE_WINDOW_MS), this.#tokensPerS(SURGE_WINDOW_MS) * SURGE_WEIGHT)
    this.#levels = this.#levels.filter((level) => level.atMs > now - SCALE_DOWN_HOLD_MS)
    this.#levels.push({ atMs: now, demand: tokensPerS * msPerToken / MS_PER_S })
    const peak = Math.max(...this.#levels.map((level) => level.demand))
    this.#noteFirstWork(tokens, now)
    return now <= this.#initialUntilMs ? Math.max(peak, this.#initialEngines) : peak
  }

  /** After the first work, the initial demand is held only as long as any other sample. */
  #noteFirstWork (tokens: number, now: number): void {
    if (this.#hasSeenWork || tokens === 0) return
    this.#hasSeenWork = true
    this.#initialUntilMs = Math.min(this.#initialUntilMs, now + SCALE_DOWN_HOLD_MS)
  }

  /** Returns the rate over a window, in tokens per second. */
  #tokensPerS (windowMs: number): number {
    const last = this.#samples.at(-1)!
    const first = this.#samples.find((sample) => sample.atMs > last.atMs - windowMs)!
    return (last.tokens - first.tokens) / Math.max(1, (last.atMs - first.atMs) / 1000)
  }
}
