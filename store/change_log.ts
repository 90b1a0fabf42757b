/** A copy of one prefix's objects that tells what changed after any version that it saw. */
import type { Changes, Snapshot, StoredObject } from './object_store.ts'

/** Options of {@linkcode ChangeLog}. */
export interface ChangeLogOptions {
  /** Removed keys that are remembered. Default 2,000: what a large fleet's endpoints make in several minutes of rolling restarts. */
  mostRemoved?: number
}

const DEFAULT_MOST_REMOVED = 2000

/** Listings that left such gaps and are remembered; each takes ten seconds at least to follow on the last. */
const MOST_GAPS = 32

/** Versions between these two were never seen. */
interface Gap { after: number, before: number }

/** What the log holds of one key: the object, or nothing where it was removed, as of a version. */
interface Entry { version: number, object: StoredObject | undefined }

/**
 * Remembers the last state of each key and the version at which it came to be.
 *
 * Whoever follows the store through this daemon may be at an older version than this copy, or at a newer one when it asked the store meanwhile. An answer holds
 * just what is newer than the asker's version, so that nothing is lost and nothing older replaces what the asker has.
 */
export class ChangeLog {
  readonly #mostRemoved: number
  readonly #entries = new Map<string, Entry>()
  readonly #removed = new Set<string>()
  #version: number | undefined
  /** Changes up to here cannot be told apart from what was there before. */
  #floor = 0
  /** Between two versions that were listed and not watched, keys may have come and gone again without a trace here. */
  #gaps: Gap[] = []

  constructor (options: ChangeLogOptions = {}) {
    this.#mostRemoved = options.mostRemoved ?? DEFAULT_MOST_REMOVED
  }

  /** Version up to which the copy is whole; undefined before the first listing. */
  get version (): number | undefined { return this.#version }

  /** Takes in a listing. */
  listed ({ objects, version }: Snapshot): void {
    if (this.#version === undefined) this.#floor = version
    else this.#skipped(this.#version, version)
    const present = new Set(objects.map(({ key }) => key))
    const removed = [...this.#entries].filter(([key, entry]) => entry.object && !present.has(key) && entry.version <= version).map(([key]) => key)
    this.#version = Math.max(this.#version ?? 0, version)
    for (const object of objects) this.#put(object)
    for (const key of removed) this.#remove(key, version)
  }

  /** Takes in changes, which follow on the version that the copy has. */
  changed ({ objects, removed, version }: Changes): void {
    this.#version = Math.max(this.#version ?? 0, version)
    for (const object of objects) this.#put(object)
    for (const key of removed) this.#remove(key, version)
  }

  /** What changed after a version; undefined where the log does not go back so far. */
  since (after: number): Changes | undefined {
    if (this.#version === undefined || after < this.#floor || this.#gaps.some((gap) => gap.after < after && after < gap.before)) return undefined
    const newer = [...this.#entries].filter(([, entry]) => entry.version > after)
    return {
      objects: newer.flatMap(([, { object }]) => object ?? []),
      removed: newer.filter(([, { object }]) => object === undefined).map(([key]) => key),
      version: Math.max(after, this.#version)
    }
  }

  /** An asker from within the gap may have a key that this copy never had, and would not hear of its removal. */
  #skipped (after: number, before: number): void {
    if (before <= after + 1) return
    this.#gaps.push({ after, before })
    if (this.#gaps.length > MOST_GAPS) this.#floor = Math.max(this.#floor, this.#gaps.shift()!.before)
  }

  #put (object: StoredObject): void {
    const known = this.#entries.get(object.key)
    if (known && known.version >= object.version) return
    this.#removed.delete(object.key)
    this.#entries.set(object.key, { version: object.version, object })
  }

  /** An object that was made again after its removal has a higher version than the answer that told of the removal. */
  #remove (key: string, version: number): void {
    const known = this.#entries.get(key)
    if (known && known.version > version) return
    this.#entries.set(key, { version, object: undefined })
    this.#removed.delete(key)
    this.#removed.add(key)
    this.#forgetOldest()
  }

  #forgetOldest (): void {
    for (const key of this.#removed) {
      if (this.#removed.size <= this.#mostRemoved) return
      this.#floor = Math.max(this.#floor, this.#entries.get(key)!.version)
      this.#entries.delete(key)
      this.#removed.delete(key)
    }
  }
}
