/** Storage of rollout orders, as a platform implements it. */
import type { RolloutProgress, RolloutRecord } from '../../core/rollout/index.ts'
import type { StoredObject } from '../../store/index.ts'

/** Reads rollout orders and writes their progress alongside. */
export interface RolloutPort {
  /** Key prefix of the orders. */
  prefix: string
  /**
   * Decodes an order and its stored progress.
   * @throws {InvalidError} When the object is not a valid order.
   */
  decode (object: StoredObject): RolloutRecord
  /**
   * Reads one order again from the store.
   * @throws {StoreError}
   */
  read (record: RolloutRecord): Promise<RolloutRecord | undefined>
  /**
   * Writes the progress of an order, provided that neither has changed since the record was read.
   * @returns The record as stored.
   * @throws {StoreError} `conflict` when the order or its progress has changed since.
   */
  write (record: RolloutRecord, progress: RolloutProgress): Promise<RolloutRecord>
}
