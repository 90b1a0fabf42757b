/** Cache of a value derived from the member table. */

/**
 * Caches a value until the version of the member table changes.
 *
 * Daemons look up the holder of a shared job and the number of members several times per request and per second; the cost of computing these values
 * grows with the size of the fleet.
 * @example `ranked.get(membership.version, () => rankedFor('quotas', membership.members, hash))`
 */
export class VersionedCache<T> {
  #version: number | undefined
  #value: T | undefined

  /** Returns the cached value if `version` is unchanged, and otherwise computes it. */
  get (version: number, compute: () => T): T {
    if (version !== this.#version) {
      this.#value = compute()
      this.#version = version
    }
    return this.#value!
  }
}
