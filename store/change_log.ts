/** A copy of all objects with one key prefix that can list the changes after earlier versions. */
import { eraOf, isLater, later, NO_VERSION, revisionOf, type StoreVersion } from '../core/store_version/index.ts'
import type { Changes, Snapshot, StoredObject } from './object_store.ts'

/** Options of {@linkcode ChangeLog}. */
export interface ChangeLogOptions {
  /** Maximum number of removed keys to remember. Default 2,000: the removals of a large fleet's endpoints in several minutes of rolling restarts. */
  maxRemovedKeys?: number
}

const DEFAULT_MAX_REMOVED_KEYS = 2000

/** Maximum number of gaps to remember. Gaps are left by listings, which are at least ten seconds apart. */
const MAX_GAPS = 32

/** Range of versions, both ends excluded, that the log never saw. */
interface Gap { after: StoreVersion, before: StoreVersion }

/** State of one key as of a version: its object, or undefined if it was removed. */
interface Entry { version: StoreVersion, object: StoredObject | undefined }

/**
 * Records the last state of each key and the version of its last change.
 *
 * A daemon that follows the store through this one may be at an older version than this copy, or at a newer one if it has asked the store in
 * the meantime. An answer contains only changes after the caller's version, so that no change is lost and no older state replaces a newer one.
 *
 * The log covers one era of the store: a listing of a later era replaces it.
 */
export class ChangeLog {
  readonly #maxRemovedKeys: number
  readonly #entries = new Map<string, Entry>()
  readonly #removed = new Set<string>()
  #version: StoreVersion | undefined
  /** The oldest version for which changes can be listed; removals up to it are not known. */
  #oldestAnswerable = NO_VERSION
  /** Ranges between a copy and the listing that replaced it, in which keys may have been created and removed unseen. */
  #gaps: Gap[] = []

  constructor (options: ChangeLogOptions = {}) {
    this.#maxRemovedKeys = options.maxRemovedKeys ?? DEFAULT_MAX_REMOVED_KEYS
  }

  /** Version up to which the copy is complete; undefined before the first listing. */
  get version (): StoreVersion | undefined { return this.#version }

  /** Applies a listing. */
  applyListing ({ objects, version }: Snapshot): void {
    if (this.#version !== undefined && eraOf(version) < eraOf(this.#version)) return
    if (this.#version !== undefined && eraOf(version) > eraOf(this.#version)) this.#clear()
    if (this.#version === undefined) this.#oldestAnswerable = version
    else this.#addGap(this.#version, version)
    const present = new Set(objects.map(({ key }) => key))
    const removed = [...this.#entries].filter(([key, entry]) => entry.object && !present.has(key) && !isLater(entry.version, version)).map(([key]) => key)
    this.#version = later(this.#version ?? version, version)
    for (const object of objects) this.#put(object)
    for (const key of removed) this.#remove(key, version)
  }

  /** Applies changes that directly follow the version of the copy; those of another era are ignored. */
  changed ({ objects, removed, version }: Changes): void {
    if (this.#version !== undefined && eraOf(version) !== eraOf(this.#version)) return
    this.#version = later(this.#version ?? version, version)
    for (const object of objects) this.#put(object)
    for (const key of removed) this.#remove(key, version)
  }

  /** Returns the changes after a version; undefined if the log cannot list them completely. */
  since (after: StoreVersion): Changes | undefined {
    if (this.#version === undefined || eraOf(after) !== eraOf(this.#version) || isLater(this.#oldestAnswerable, after) || this.#gaps.some((gap) => isLater(after, gap.after) && isLater(gap.before, after))) return undefined
    const newer = [...this.#entries].filter(([, entry]) => isLater(entry.version, after))
    return {
      objects: newer.flatMap(([, { object }]) => object ?? []),
      removed: newer.filter(([, { object }]) => object === undefined).map(([key]) => key),
      version: later(after, this.#version)
    }
  }

  /** Returns all objects of the copy, for a caller whose version is of an older era; undefined before the first listing. */
  all (): Snapshot | undefined {
    if (this.#version === undefined) return undefined
    return { objects: [...this.#entries.values()].flatMap(({ object }) => object ?? []), version: this.#version }
  }

  #clear (): void {
    this.#entries.clear()
    this.#removed.clear()
    this.#gaps = []
    this.#version = undefined
  }

  /** Records a gap: a caller at a version within it may have a key that this copy never had, whose removal cannot be reported. */
  #addGap (after: StoreVersion, before: StoreVersion): void {
    if (revisionOf(before) <= revisionOf(after) + 1) return
    this.#gaps.push({ after, before })
    if (this.#gaps.length > MAX_GAPS) this.#oldestAnswerable = later(this.#oldestAnswerable, this.#gaps.shift()!.before)
  }

  #put (object: StoredObject): void {
    const known = this.#entries.get(object.key)
    if (known && !isLater(object.version, known.version)) return
    this.#removed.delete(object.key)
    this.#entries.set(object.key, { version: object.version, object })
  }

  /** Ignores the removal if the object was created again, in which case it has a higher version than the removal. */
  #remove (key: string, version: StoreVersion): void {
    const known = this.#entries.get(key)
    if (known && isLater(known.version, version)) return
    this.#entries.set(key, { version, object: undefined })
    this.#removed.delete(key)
    this.#removed.add(key)
    this.#evictOldestRemovals()
  }

  #evictOldestRemovals (): void {
    for (const key of this.#removed) {
      if (this.#removed.size <= this.#maxRemovedKeys) return
      this.#oldestAnswerable = later(this.#oldestAnswerable, this.#entries.get(key)!.version)
      this.#entries.delete(key)
      this.#removed.delete(key)
    }
  }
}
