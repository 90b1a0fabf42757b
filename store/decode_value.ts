/** Decoding of objects that this system writes itself. */
import { StoreError, type StoredObject } from './object_store.ts'

/**
 * Decodes the value of an object that this system writes. Another program may have replaced it.
 * @throws {StoreError} `unsure` if the value is not JSON or not accepted by `isValid`.
 */
export function decodeValue<T> (object: StoredObject, isValid: (value: unknown) => value is T): T {
  let value: unknown
  try {
    value = JSON.parse(object.value)
  } catch (err) {
    throw new StoreError(`Cannot use ${object.key}: its value is not JSON`, { failure: 'unsure', cause: err })
  }
  if (!isValid(value)) throw new StoreError(`Cannot use ${object.key}: its value is not one that a daemon writes`, { failure: 'unsure' })
  return value
}
