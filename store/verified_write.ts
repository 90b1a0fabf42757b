/** Conditional writes that are verified by reading back if their answer is lost. */
import { NO_VERSION, type StoreVersion } from '../core/store_version/index.ts'
import { decodeValue } from './decode_value.ts'
import { isStoreFailure, StoreError, type ObjectStore, type StoredObject } from './object_store.ts'

/** A value tagged with the id of the write that stored it. */
export interface TaggedValue<T> { writeId: string, data: T }

/** Returns true for a tagged value whose data `isData` accepts. */
export function isTagged<T> (value: unknown, isData: (data: unknown) => data is T): value is TaggedValue<T> {
  const { writeId, data } = (value ?? {}) as Partial<TaggedValue<unknown>>
  return typeof writeId === 'string' && isData(data)
}

/** Result of a conditional write. */
export type WriteResult<T> =
  | { applied: true, version: StoreVersion }
  | { applied: false, found: StoredObject | undefined, data: T | undefined }

/** Options of {@linkcode writeAndVerify}. */
export interface WriteAndVerifyOptions<T> {
  /** Unique id of this write. */
  writeId: string
  data: T
  /** Version that the write replaces; `NO_VERSION` to create the object. */
  version: StoreVersion
  /** Whether data that is read back has the form of what daemons write: another program may have replaced it. Default: all but none is accepted. */
  isData?: (data: unknown) => data is T
}

/**
 * Makes one conditional write and determines whether it was applied.
 *
 * Handles an answer that is lost after the write was applied: a retry then conflicts with the writer's own change, which would be reported as
 * another writer's. The write id in the value distinguishes the two.
 * @throws {StoreError} `unsure` if the value cannot be read back either, or is not one that a daemon writes; `not-applied` if the store refused the write.
 */
export async function writeAndVerify<T> (store: ObjectStore, key: string, options: WriteAndVerifyOptions<T>): Promise<WriteResult<T>> {
  const value = JSON.stringify({ writeId: options.writeId, data: options.data } satisfies TaggedValue<T>)
  try {
    const version = options.version === NO_VERSION ? await store.create(key, value) : await store.update(key, value, options.version)
    return { applied: true, version }
  } catch (err) {
    if (isStoreFailure(err, 'not-applied')) throw err
    if (!isStoreFailure(err, 'conflict') && !isStoreFailure(err, 'unsure')) throw err
    return await readBack(store, key, options)
  }
}

async function readBack<T> (store: ObjectStore, key: string, options: WriteAndVerifyOptions<T>): Promise<WriteResult<T>> {
  const found = await readForVerification(store, key)
  if (!found) return { applied: false, found: undefined, data: undefined }
  const isData = options.isData ?? ((data: unknown): data is T => data !== undefined && data !== null)
  const tagged = decodeValue(found, (value): value is TaggedValue<T> => isTagged(value, isData))
  if (tagged.writeId === options.writeId) return { applied: true, version: found.version }
  return { applied: false, found, data: tagged.data }
}

async function readForVerification (store: ObjectStore, key: string): Promise<StoredObject | undefined> {
  try {
    return await store.get(key)
  } catch (err) {
    throw new StoreError(`Cannot tell whether ${key} was written: it cannot be read back`, { failure: 'unsure', cause: err })
  }
}
