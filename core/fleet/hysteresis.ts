/** Keeps a fleet from oscillating: it grows at once and shrinks only when less was enough for a while. */

/** Highest wish of the last while. */
export class ScaleDown {
  readonly #holdMs: number
  #wishes: Array<{ atMs: number, hosts: number }> = []

  /** @param holdMs Milliseconds for which fewer hosts must have been enough. Default 600,000. */
  constructor (holdMs = 600_000) {
    this.#holdMs = holdMs
  }

  /** Notes how many hosts are wanted now and returns how many to plan for. */
  smooth (hosts: number, now: number): number {
    this.#wishes = this.#wishes.filter((wish) => wish.atMs > now - this.#holdMs)
    this.#wishes.push({ atMs: now, hosts })
    return Math.max(...this.#wishes.map((wish) => wish.hosts))
  }
}
