/** The part of the platform's object API that the daemons use: versions, conditional updates and long-polled changes. */

/** An object in the store. */
export interface StoredObject {
  key: string
  /** Increases with every change anywhere in the store; 0 is the version before the first change. */
  version: number
  value: string
  /** Status that the system wrote for an object of another writer. Default: none. */
  status?: string
}

/** Changes after a version, and the version up to which they are complete. */
export interface Changes {
  objects: StoredObject[]
  /** Keys of objects that were removed. */
  removed: string[]
  version: number
  /** True if the sender verifies its own copy by listings, so that the receiver need not. Default false. */
  checked?: boolean
}

/** Current objects, and a version from which changes can be watched without missing any. */
export interface Snapshot { objects: StoredObject[], version: number }

/** Source of a copy of some objects and of their changes. Both methods can throw {@linkcode StoreError}. */
export interface ObjectSource {
  /** Lists all objects with a key prefix and returns the version from which to watch. */
  snapshot (prefix: string): Promise<Snapshot>
  /** Waits up to `waitMs` for changes after a version. Fails with `history-gone` if they are no longer known. */
  changes (prefix: string, options: { after: number, waitMs: number }): Promise<Changes>
}

/** Storage that survives the loss of daemons. Every method can throw {@linkcode StoreError}. */
export interface ObjectStore extends ObjectSource {
  get (key: string): Promise<StoredObject | undefined>
  /** Lists up to `limit` objects (default 1,000) in key order, starting after the key `after`. */
  list (prefix: string, options?: { after?: string, limit?: number }): Promise<StoredObject[]>
  /** Creates an object only if it is absent; returns its version. */
  create (key: string, value: string): Promise<number>
  /** Replaces an object only if it is still at `version`; returns the new version. */
  update (key: string, value: string, version: number): Promise<number>
  /** Deletes an object only if it is still at `version`. */
  remove (key: string, version: number): Promise<void>
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
