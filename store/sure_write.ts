/** Writes whose answer may be lost, made certain by reading back. */
import { isStoreFailure, StoreError, type ObjectStore, type StoredObject } from './object_store.ts'

/** A value marked with the write that put it there. */
export interface Marked<T> { writeId: string, data: T }

/** What became of a conditional write. */
export type WriteResult<T> =
  | { applied: true, version: number }
  | { applied: false, found: StoredObject | undefined, data: T | undefined }

/** Options of {@linkcode writeSurely}. */
export interface WriteSurelyOptions<T> {
  /** Unique to this write. */
  writeId: string
  data: T
  /** Version the write replaces; 0 to create. */
  version: number
}

/**
 * Makes one conditional write and finds out whether it was applied.
 *
 * Guards against an answer lost after the change was applied: repeating the write then shows a conflict with the writer's own change,
 * which would be reported as somebody else's. The write id in the value tells the two apart.
 * @throws {StoreError} `unsure` when the store also cannot be read back; `not-applied` when it refused the write.
 */
export async function writeSurely<T> (store: ObjectStore, key: string, options: WriteSurelyOptions<T>): Promise<WriteResult<T>> {
  const value = JSON.stringify({ writeId: options.writeId, data: options.data } satisfies Marked<T>)
  try {
    const version = options.version === 0 ? await store.create(key, value) : await store.update(key, value, options.version)
    return { applied: true, version }
  } catch (err) {
    if (isStoreFailure(err, 'not-applied')) throw err
    if (!isStoreFailure(err, 'conflict') && !isStoreFailure(err, 'unsure')) throw err
    return await readBack(store, key, options)
  }
}

async function readBack<T> (store: ObjectStore, key: string, options: WriteSurelyOptions<T>): Promise<WriteResult<T>> {
  const found = await readOrUnsure(store, key)
  if (!found) return { applied: false, found: undefined, data: undefined }
  const marked = JSON.parse(found.value) as Marked<T>
  if (marked.writeId === options.writeId) return { applied: true, version: found.version }
  return { applied: false, found, data: marked.data }
}

async function readOrUnsure (store: ObjectStore, key: string): Promise<StoredObject | undefined> {
  try {
    return await store.get(key)
  } catch (err) {
    throw new StoreError(`Cannot tell whether ${key} was written: it cannot be read back`, { failure: 'unsure', cause: err })
  }
}
