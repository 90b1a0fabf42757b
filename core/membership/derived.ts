/** What is worked out from all members, kept until one of their records changes. */

/**
 * One such value.
 *
 * Daemons ask who does a shared job, and how many there are, several times a request and a second; worked out anew each time it costs as much as the fleet is large.
 * @example `ranked.get(membership.version, () => rankedFor('quotas', membership.members, hash))`
 */
export class Derived<T> {
  #version: number | undefined
  #value: T | undefined

  /** Gives the value for a version of the members, and works it out when they have changed. */
  get (version: number, derive: () => T): T {
    if (version !== this.#version) {
      this.#value = derive()
      this.#version = version
    }
    return this.#value!
  }
}
