/** Order of the states of a store, which may return to an older copy of itself and then gives out its revisions again. */

declare const brand: unique symbol

/**
 * State of the store: its era, which rises with each return to a copy, and the revision within the era.
 *
 * A number at run time, ordered like the states themselves. The compiler treats it as a symbol, since it rejects `<`, `Math.max` and arithmetic for those: a revision compared without its era is an order that does not hold.
 */
export type StoreVersion = symbol & { readonly [brand]: 'StoreVersion' }

/** Upper bound of the revisions of an era: a store that makes 3,000 changes a second gets there after eleven years. */
const REVISIONS_PER_ERA = 2 ** 40
const MAX_ERA = 2 ** 13 - 1

/**
 * Returns the version for a revision of an era.
 * @throws {RangeError} When one of the two is negative, not an integer, or too large.
 */
export function storeVersion (era: number, revision: number): StoreVersion {
  if (!isEra(era) || !isWithin(revision, REVISIONS_PER_ERA - 1)) throw new RangeError(`Cannot order the store's state: era ${era}, revision ${revision} is out of range`)
  return fromOrdinal(era * REVISIONS_PER_ERA + revision)
}

/** Returns true for a number that can be an era. */
export function isEra (era: number): boolean {
  return isWithin(era, MAX_ERA)
}

/** The state before the first change; also stands for "no object" in conditional writes. */
export const NO_VERSION = storeVersion(0, 0)

/** Returns the era of a version. */
export function eraOf (version: StoreVersion): number {
  return Math.floor(ordinalOf(version) / REVISIONS_PER_ERA)
}

/** Returns the revision of a version within its era. */
export function revisionOf (version: StoreVersion): number {
  return ordinalOf(version) % REVISIONS_PER_ERA
}

/** Returns true if `a` is a later state than `b`. */
export function isLater (a: StoreVersion, b: StoreVersion): boolean {
  return ordinalOf(a) > ordinalOf(b)
}

/** Returns the later of two versions. */
export function later (a: StoreVersion, b: StoreVersion): StoreVersion {
  return isLater(a, b) ? a : b
}

/** Returns a number with the order of the versions, for facts that daemons gossip. */
export function ordinalOf (version: StoreVersion): number {
  return version as unknown as number
}

/** Returns the version for a number of {@linkcode ordinalOf}. */
export function fromOrdinal (ordinal: number): StoreVersion {
  return ordinal as unknown as StoreVersion
}

/** Formats a version for logs and errors, as `era.revision`. */
export function formatVersion (version: StoreVersion): string {
  return `${eraOf(version)}.${revisionOf(version)}`
}

function isWithin (value: number, max: number): boolean {
  return Number.isSafeInteger(value) && value >= 0 && value <= max
}
