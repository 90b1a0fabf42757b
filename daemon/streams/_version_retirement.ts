/** Decides when a version that has no endpoint any more leaves the history of its pool. */
import type { PoolName } from '../../core/ids/index.ts'
import type { HistoryVersion, PoolHistoryRecord } from '../../core/streams/index.ts'
import type { StoreVersion } from '../../core/store_version/index.ts'

/** Options of {@linkcode VersionRetirement}. */
export interface VersionRetirementOptions {
  /** Returns since when this daemon has seen every change of the registry, in milliseconds on the steady clock; undefined while it may miss some. */
  completeSinceMs (): number | undefined
  /** Returns true while the registry answers. */
  isInTouch (): boolean
}

/** A pool's history as it is in the store, and the versions of the pool that the registry shows. */
export interface PoolState {
  record: PoolHistoryRecord
  version: StoreVersion
  listed: ReadonlySet<HistoryVersion>
  now: number
}

/** Change that is due to the history of a pool. */
export interface Retirement { retired?: HistoryVersion[], removed?: HistoryVersion[], removesUnknown?: boolean }

/** Time for which a version has no endpoint before it is marked, in milliseconds. */
const UNLISTED_MS = 10_000
/** Time for which a marked version stays, in milliseconds: the longest life of a stream, and a minute for daemons that learn late that it is listed no more. */
export const RETIREMENT_MS = 660_000

/** Follows the histories of all pools at the daemon that maintains them. Each change to a history begins its time anew. */
export class VersionRetirement {
  readonly #options: VersionRetirementOptions
  readonly #watched = new Map<PoolName, { version: StoreVersion, listed: string, sinceMs: number }>()

  constructor (options: VersionRetirementOptions) {
    this.#options = options
  }

  /** Must be called while another daemon maintains the histories. */
  reset (): void {
    this.#watched.clear()
  }

  /** Returns the change that is due; undefined if none is. */
  next (pool: PoolName, { record, version, listed, now }: PoolState): Retirement | undefined {
    const completeSinceMs = this.#options.completeSinceMs()
    if (completeSinceMs === undefined || !this.#options.isInTouch()) {
      this.#watched.delete(pool)
      return undefined
    }
    const id = JSON.stringify([...listed].map((each) => each ?? null).sort())
    let watched = this.#watched.get(pool)
    if (watched?.version !== version || watched.listed !== id || completeSinceMs > watched.sinceMs) this.#watched.set(pool, watched = { version, listed: id, sinceMs: now })
    const unlisted = [...record.versions].filter(([each]) => !listed.has(each))
    const retired = unlisted.filter(([, state]) => state === 'listed').map(([each]) => each)
    // A pool without any endpoint may be one whose entries lapsed.
    if (retired.length > 0) return listed.size > 0 && now - watched.sinceMs >= UNLISTED_MS ? { retired } : undefined
    const removed = unlisted.map(([each]) => each)
    if ((removed.length === 0 && !record.hasUnknown) || listed.size === 0 || now - watched.sinceMs < RETIREMENT_MS) return undefined
    return { removed, removesUnknown: true }
  }
}
