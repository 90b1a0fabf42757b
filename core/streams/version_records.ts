/** Bounded records of where streams began. */
import type { DaemonId, StreamKey } from '../ids/index.ts'
import type { StreamVersion } from './stream_version.ts'

/** Where a stream began, and which daemon last passed it to its caller. */
export interface VersionRecord {
  streamVersion: StreamVersion
  daemon: DaemonId
  /** Time from which on no caller can resume the stream, in milliseconds on the steady clock. */
  expiresAtMs: number
}

/** Maximum number of records of one daemon, some 4 MB. */
export const MAX_VERSION_RECORDS = 20_000
/** Records examined for expiry whenever one is added, so that removal keeps up with arrival at a constant cost. */
const EXAMINED_PER_ADDITION = 2

/** Records by stream. When it is full, the oldest record is removed. */
export class VersionRecords<R extends VersionRecord = VersionRecord> {
  readonly #records = new Map<StreamKey, R>()
  readonly #maxRecords: number

  /** @param options.maxRecords Default {@linkcode MAX_VERSION_RECORDS}. */
  constructor ({ maxRecords = MAX_VERSION_RECORDS }: { maxRecords?: number } = {}) {
    this.#maxRecords = maxRecords
  }

  get size (): number { return this.#records.size }

  /** Adds or replaces the record of a stream. */
  set (key: StreamKey, record: R, now: number): void {
    this.#records.delete(key)
    this.#records.set(key, record)
    let examined = 0
    for (const [oldest, { expiresAtMs }] of this.#records) {
      if (examined++ >= EXAMINED_PER_ADDITION) break
      if (expiresAtMs <= now || this.#records.size > this.#maxRecords) this.#records.delete(oldest)
    }
  }

  /** Returns the record of a stream that may still be resumed. */
  get (key: StreamKey, now: number): R | undefined {
    const record = this.#records.get(key)
    return record && record.expiresAtMs > now ? record : undefined
  }

  /** All records that have not expired. */
  * entries (now: number): Iterable<[StreamKey, R]> {
    for (const [key, record] of this.#records) if (record.expiresAtMs > now) yield [key, record]
  }
}
