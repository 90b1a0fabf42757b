/** The part of the platform's object API that the daemons use: versions, conditional updates and long-polled changes. */

import type { StoreVersion } from '../core/store_version/index.ts'
import type { EraTracker } from './era_tracker.ts'

/** An object in the store. */
export interface StoredObject {
  key: string
  /** Increases with every change anywhere in the store, and across its returns to a copy. */
  version: StoreVersion
  value: string
  /** Status that the system wrote for an object of another writer. Default: none. */
  status?: string
}

/** Changes after a version, and the version up to which they are complete. */
export interface Changes {
  objects: StoredObject[]
  /** Keys of objects that were removed. */
  removed: string[]
  version: StoreVersion
  /** True if `objects` are all that there are, since the store has returned to a copy after the caller's version. Default false. */
  whole?: boolean
  /** True if the sender verifies its own copy by listings, so that the receiver need not. Default false. */
  checked?: boolean
}

/** Current objects, and a version from which changes can be watched without missing any. */
export interface Snapshot { objects: StoredObject[], version: StoreVersion }

/** Source of a copy of some objects and of their changes. Both methods can throw {@linkcode StoreError}. */
export interface ObjectSource {
  /** The era of the store, as far as known. */
  readonly era: EraTracker
  /** Lists all objects with a key prefix and returns the version from which to watch. */
  snapshot (prefix: string): Promise<Snapshot>
  /** Waits up to `waitMs` for changes after a version. Fails with `history-gone` if they are no longer known. */
  changes (prefix: string, options: { after: StoreVersion, waitMs: number }): Promise<Changes>
}

/** Storage that survives the loss of daemons. Every method can throw {@linkcode StoreError}. */
export interface ObjectStore extends ObjectSource {
  get (key: string): Promise<StoredObject | undefined>
  /** Lists up to `limit` objects (default 1,000) in key order, starting after the key `after`. */
  list (prefix: string, options?: { after?: string, limit?: number }): Promise<StoredObject[]>
  /** Creates an object only if it is absent; returns its version. */
  create (key: string, value: string): Promise<StoreVersion>
  /** Replaces an object only if it is still at `version`; returns the new version. */
  update (key: string, value: string, version: StoreVersion): Promise<StoreVersion>
  /** Deletes an object only if it is still at `version`. */
  remove (key: string, version: StoreVersion): Promise<void>
}

/** Kind of failure of a store call; see {@linkcode StoreError}. */
export type StoreFailure = 'conflict' | 'not-applied' | 'unsure' | 'history-gone'

/**
 * Error of a failed store call. `conflict`: the object has another version; `not-applied`: the store refused the call; `unsure`: the call may
 * have been applied; `history-gone`: the changes after the requested version are no longer available.
 */
export class StoreError extends Error {
  override name = 'StoreError'
  readonly failure: StoreFailure

  constructor (what: string, options: { failure: StoreFailure, cause?: unknown }) {
    super(what, { cause: options.cause })
    this.failure = options.failure
  }
}

/** Returns true for a {@linkcode StoreError} with the given failure. */
export function isStoreFailure (err: unknown, failure: StoreFailure): boolean {
  return err instanceof StoreError && err.failure === failure
}
