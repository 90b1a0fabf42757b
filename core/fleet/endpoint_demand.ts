/** How much work a pool has, in model engines. */

/** Options of {@linkcode EndpointDemand}. */
export interface EndpointDemandOptions {
  /** Engines assumed busy at first: whoever begins to count knows nothing of the work, but sees what was ordered for it. */
  first: number
  /** True when there is no work yet for certain. Default false. */
  idle?: boolean
  /** Milliseconds on the steady clock. */
  now: number
}

/** A running total of what was asked for, and of how many daemons it is the sum. */
export interface AskedTotal {
  tokens: number
  tellers: number
  /** How long an engine reads one, as is believed now. */
  msPerToken: number
}

interface Sample { atMs: number, tokens: number }

/** Work is averaged over this long, in milliseconds. */
const WINDOW_MS = 6000
/** And over this long, in milliseconds, so that a jump is known before its callers have waited for a boot twice. */
const JUMP_WINDOW_MS = 2000
/** Part of that which counts: in so short a time a few long prompts look like a jump. */
const JUMP_PART = 0.65
/** What was assumed at first is held no longer than this while no work comes, in milliseconds. */
const FIRST_HELD_MS = 60_000
/** Less work must have come for this long before endpoints are given up, in milliseconds: booting costs more than keeping. */
const HOLD_MS = 15_000

const MS_PER_S = 1000

/** Turns a running total of tokens asked for into engines that would be busy with nothing else. */
export class EndpointDemand {
  readonly #options: EndpointDemandOptions
  #samples: Sample[] = []
  #tellers = 0
  #levels: Array<{ atMs: number, engines: number }> = []
  #first: number
  /** Until when it is assumed. */
  #firstUntilMs: number
  #worked = false

  constructor (options: EndpointDemandOptions) {
    this.#options = options
    this.#first = options.first
    this.#firstUntilMs = options.now + (options.idle ? FIRST_HELD_MS : HOLD_MS)
  }

  /** Assumes so many engines busy until the first work is counted. */
  assume (engines: number): void {
    this.#first = engines
  }

  /** True at the very start of the system, until the first work was counted for a while or none came for long. */
  uncounted (now: number): boolean {
    return this.#options.idle === true && now <= this.#firstUntilMs
  }

  /** True for a while after it began without any work for certain. */
  idle (now: number): boolean {
    return this.#options.idle === true && now - this.#options.now < HOLD_MS
  }

  /** False until work was counted for long enough to tell how much there is. */
  settled (now: number): boolean {
    return this.#options.idle === true || now - this.#options.now > WINDOW_MS
  }

  /**
   * Notes the total and tells the highest demand of the last while, in engines, a fraction included.
   *
   * A daemon that is heard of for the first time brings all that it counted since its start, which is no work of this moment.
   * @param asked Tokens asked for since the start, over all daemons.
   */
  engines ({ tokens, tellers, msPerToken }: AskedTotal, now: number): number {
    if (tellers !== this.#tellers) this.#samples = []
    this.#tellers = tellers
    this.#samples = this.#samples.filter((sample) => sample.atMs > now - WINDOW_MS)
    this.#samples.push({ atMs: now, tokens })
    const tokensPerS = Math.max(this.#rate(WINDOW_MS), this.#rate(JUMP_WINDOW_MS) * JUMP_PART)
    this.#levels = this.#levels.filter((level) => level.atMs > now - HOLD_MS)
    this.#levels.push({ atMs: now, engines: tokensPerS * msPerToken / MS_PER_S })
    const engines = Math.max(...this.#levels.map((level) => level.engines))
    this.#workBegan(tokens, now)
    return now <= this.#firstUntilMs ? Math.max(engines, this.#first) : engines
  }

  /** Once there is work it is measured: what was assumed is held for as long as any other level. */
  #workBegan (tokens: number, now: number): void {
    if (this.#worked || tokens === 0) return
    this.#worked = true
    this.#firstUntilMs = Math.min(this.#firstUntilMs, now + HOLD_MS)
  }

  /** Tokens a second over the last while. */
  #rate (windowMs: number): number {
    const last = this.#samples.at(-1)!
    const first = this.#samples.find((sample) => sample.atMs > last.atMs - windowMs)!
    return (last.tokens - first.tokens) / Math.max(1, (last.atMs - first.atMs) / 1000)
  }
}
