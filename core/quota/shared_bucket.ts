/** A token bucket that all daemons draw from, each by what it was told of the others. */

/** Options of {@linkcode SharedBucket}. */
export interface SharedBucketOptions {
  /** Tokens that flow in each second, for all daemons together. */
  perS: number
  /** Most tokens that the bucket holds. */
  capacity: number
  /** Tokens at first: what was used before this daemon started is not known to it. */
  initial: number
  /** Milliseconds on the steady clock. */
  now: number
}

const MS_PER_S = 1000

/**
 * Never lets more through, over all daemons, than one bucket would, but for what is used while word of it is under way.
 *
 * Each daemon counts the use of all. One that does not hear some of the others may be parted from them, and both sides would use the same
 * tokens: it then draws only on its own side's part, of what is in the bucket and of what flows in, and sets the rest aside. What was set
 * aside comes back when the others are heard, together with word of what they used. Parts are numbers of daemons, so those of two sides
 * never sum to more than one.
 */
export class SharedBucket {
  #perS: number
  #capacity: number
  #level: number
  /** Set aside for daemons that are not heard. */
  #aside = 0
  #part = 1
  #atMs: number

  constructor (options: SharedBucketOptions) {
    this.#perS = options.perS
    this.#capacity = options.capacity
    this.#level = Math.min(options.initial, options.capacity)
    this.#atMs = options.now
  }

  /** Tokens as this daemon counts them, below 0 after more was used than there was. */
  get level (): number { return this.#level + this.#aside }

  /** Puts other limits in force; a lower one takes effect at once. */
  resize (limits: { perS: number, capacity: number }): void {
    this.#perS = limits.perS
    this.#capacity = limits.capacity
    this.#level = Math.min(this.#level, this.#capacity * this.#part)
    this.#aside = Math.min(this.#aside, this.#capacity * (1 - this.#part))
  }

  /**
   * Tells how many tokens this daemon may use now.
   * @param part Part of the daemons that this one hears, itself included, in (0, 1].
   */
  room (now: number, part: number): number {
    this.#hear(part)
    const inflow = this.#perS * Math.max(0, now - this.#atMs) / MS_PER_S
    this.#atMs = Math.max(this.#atMs, now)
    this.#level = Math.min(this.#capacity * part, this.#level + inflow * part)
    this.#aside = Math.min(this.#capacity * (1 - part), this.#aside + inflow * (1 - part))
    return this.#level
  }

  /** Milliseconds until so many tokens are there, if nobody else uses any. */
  waitMs (tokens: number): number {
    return Math.max(0, tokens - this.#level) * MS_PER_S / (this.#perS * this.#part)
  }

  /** Counts tokens as used, by this daemon or another; a negative number gives them back. */
  take (tokens: number): void {
    this.#level -= tokens
  }

  /** Takes over what a daemon that has counted for longer knows. */
  adopt (level: number): void {
    this.#level = Math.min(level, this.#capacity) * this.#part
    this.#aside = Math.max(0, Math.min(level, this.#capacity)) * (1 - this.#part)
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
