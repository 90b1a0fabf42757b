/** Stabilization of the fleet size against oscillation. */

/** Sliding maximum of the desired number of hosts: the fleet grows at once and shrinks only after fewer hosts have been enough for a while. */
export class ScaleDownWindow {
  readonly #holdMs: number
  #samples: Array<{ atMs: number, hosts: number }> = []

  /** @param holdMs Length of the window in milliseconds. Default 600,000. */
  constructor (holdMs = 600_000) {
    this.#holdMs = holdMs
  }

  /** Records the number of hosts wanted now and returns the number to plan for. */
  smooth (hosts: number, now: number): number {
    this.#samples = this.#samples.filter((sample) => sample.atMs > now - this.#holdMs)
    this.#samples.push({ atMs: now, hosts })
    return Math.max(...this.#samples.map((sample) => sample.hosts))
  }
}
