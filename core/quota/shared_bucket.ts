/** A token bucket that several may count, each for a part of the daemons. */

/** Options of {@linkcode SharedBucket}. */
export interface SharedBucketOptions {
  /** Tokens that flow in each second, for all daemons together. */
  perS: number
  /** Most tokens that the bucket holds. */
  capacity: number
  /** Tokens at first: what was used before is not known. */
  initial: number
  /** Milliseconds on the steady clock. */
  now: number
}

const MS_PER_S = 1000
/** Part by which waits are reckoned at least: one that counts for nobody yet will soon. */
const LEAST_PART = 0.1
/** An account that asks for many times its quota would be told to come back ever later, in milliseconds. */
const LONGEST_WAIT_MS = 8000
/** The largest request of an account is forgotten by a factor of e in this time, in milliseconds. */
const LARGEST_KEPT_MS = 30_000
/** Most of the bucket that must be left for a request: a single huge one would otherwise have all others turned away for seconds. */
const MOST_LEFT = 0.25
/**
 * Part of what flows in that cheap requests may take when there is not enough for a large one; a second's worth is kept for them. What costs least comes
 * first as far as that goes, since it serves most callers, and large requests still get what is left.
 */
const CHEAP_PART = 0.25
/** Weight of one request in the mean cost, by which cheap ones are told. */
const COST_SMOOTHING = 0.02

/**
 * Never lets more through, over all who count, than one bucket would.
 *
 * Who counts for a part of the daemons only draws on that part, of what is in the bucket and of what flows in, and sets the rest aside for
 * whoever counts for the others. What was set aside comes back with their votes. Parts are numbers of daemons, so those of two sides never
 * sum to more than one.
 */
export class SharedBucket {
  #perS: number
  #capacity: number
  #level: number
  /** Set aside for daemons that are not counted for. */
  #aside = 0
  #part = 1
  /** Tokens of those that were turned away, and will come back before this one. */
  #comeBack = 0
  /** Tokens of the largest request of late. */
  #largest = 0
  /** Tokens of a request in the mean of late. */
  #meanCost = 0
  /** Tokens that cheap requests may take when there is not enough for a large one. */
  #forCheap = 0
  #atMs: number

  constructor (options: SharedBucketOptions) {
    this.#perS = options.perS
    this.#capacity = options.capacity
    this.#level = Math.min(options.initial, options.capacity)
    this.#atMs = options.now
  }

  /** Tokens over all parts, below 0 after more was used than there was. */
  get level (): number { return this.#level + this.#aside }

  /** Puts other limits in force; a lower one takes effect at once. */
  resize (limits: { perS: number, capacity: number }): void {
    this.#perS = limits.perS
    this.#capacity = limits.capacity
    this.#level = Math.min(this.#level, this.#capacity * this.#part)
    this.#aside = Math.min(this.#aside, this.#capacity * (1 - this.#part))
  }

  /**
   * Tells how many tokens may be used now.
   * @param part Part of the daemons that are counted for, in [0, 1].
   */
  room (now: number, part: number): number {
    this.#hear(part)
    const elapsedMs = Math.max(0, now - this.#atMs)
    const inflow = this.#perS * elapsedMs / MS_PER_S
    this.#atMs = Math.max(this.#atMs, now)
    this.#level = Math.min(this.#capacity * part, this.#level + inflow * part)
    this.#comeBack = Math.max(0, this.#comeBack - inflow * part)
    this.#largest *= Math.exp(-elapsedMs / LARGEST_KEPT_MS)
    this.#forCheap = Math.min(CHEAP_PART * this.#perS * part, this.#forCheap + CHEAP_PART * inflow * part)
    this.#aside = Math.min(this.#capacity * (1 - part), this.#aside + inflow * (1 - part))
    return this.#level
  }

  /**
   * Tells how many tokens must be there for a request: as many for a small one as for the largest of late, but for some of the cheapest.
   *
   * Small requests would otherwise take what flows in before there is ever enough for a large one, and an account over its quota would get none of those.
   * @param tokens What the request costs.
   */
  needed (tokens: number): number {
    this.#largest = Math.max(this.#largest, tokens)
    this.#meanCost += COST_SMOOTHING * (tokens - this.#meanCost)
    if (tokens <= Math.min(this.#meanCost, this.#forCheap)) {
      this.#forCheap -= tokens
      return tokens
    }
    return Math.max(tokens, Math.min(this.#largest, this.#capacity * this.#part * MOST_LEFT))
  }

  /**
   * Turns a request away and tells in how many milliseconds there will be room for it.
   * @param tokens What it costs.
   * @param needed What must be there for it. Default: as much.
   *
   * Behind those that were turned away before: told only of what is missing now, all of them would come back within milliseconds of each other, and be
   * turned away again.
   */
  turnAway (tokens: number, needed = tokens): number {
    const flowPerS = this.#perS * Math.max(this.#part, LEAST_PART)
    const waitMs = (Math.max(0, needed - this.#level) + this.#comeBack) * MS_PER_S / flowPerS
    this.#comeBack += tokens
    return Math.min(waitMs, LONGEST_WAIT_MS)
  }

  /** Counts tokens as used; a negative number gives them back. */
  take (tokens: number): void {
    this.#level -= tokens
  }

  /** Takes in the level that somebody else was told; what is lower knows of more use. */
  lower (level: number): void {
    const over = this.level - level
    if (over <= 0) return
    this.#level -= over * this.#part
    this.#aside -= over * (1 - this.#part)
  }

  #hear (part: number): void {
    if (part < this.#part) {
      const lost = Math.max(0, this.#level) * (1 - part / this.#part)
      this.#level -= lost
      this.#aside += lost
    } else if (part > this.#part) {
      const back = this.#aside * (part - this.#part) / (1 - this.#part)
      this.#aside -= back
      this.#level += back
    }
    this.#part = part
  }
}
