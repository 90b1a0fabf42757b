/** Reads the histories of all pools from the store, for several that ask at once. */
import type { PoolName } from '../../core/ids/index.ts'
import { decodeHistory, type PoolHistoryRecord } from '../../core/streams/index.ts'
import { eraOf, type StoreVersion } from '../../core/store_version/index.ts'
import { delay, steadyNow } from '../../core/time/index.ts'
import type { ObjectStore } from '../../store/index.ts'

/** Key prefix of the histories. */
export const HISTORY_PREFIX = 'pool-versions/'

/** History of one pool, and the version of its object. */
export interface StoredPoolHistory { record: PoolHistoryRecord, version: StoreVersion }

/** Histories of all pools as one read showed them. */
export interface HistorySnapshot {
  era: number
  pools: ReadonlyMap<PoolName, StoredPoolHistory>
}

/** Options of {@linkcode HistoryReader}. */
export interface HistoryReaderOptions {
  store: Pick<ObjectStore, 'snapshot'>
  /** Returns the least time between the starts of two reads, in milliseconds. */
  intervalMs (): number
  /** Called with what each read showed. */
  onRead (snapshot: HistorySnapshot): void
}

/** Time for which a read that is not answered delays the next one, in milliseconds. */
const SILENT_READ_MS = 300

/** Shares reads: all that ask before one is sent get its answer. */
export class HistoryReader {
  readonly #options: HistoryReaderOptions
  #waiting: Promise<HistorySnapshot> | undefined
  #inFlight: Promise<unknown> = Promise.resolve()
  #sentAtMs = -Infinity

  constructor (options: HistoryReaderOptions) {
    this.#options = options
  }

  /**
   * Reads the histories with a call that begins after this one.
   * @throws {StoreError} If the store does not answer.
   */
  read (): Promise<HistorySnapshot> {
    this.#waiting ??= this.#readInTurn()
    return this.#waiting
  }

  async #readInTurn (): Promise<HistorySnapshot> {
    await Promise.race([this.#inFlight, delay(SILENT_READ_MS)])
    const waitMs = this.#sentAtMs + this.#options.intervalMs() - steadyNow()
    if (waitMs > 0) await delay(waitMs)
    this.#waiting = undefined
    this.#sentAtMs = steadyNow()
    const read = this.#options.store.snapshot(HISTORY_PREFIX)
    this.#inFlight = read.catch(() => {})
    const { objects, version } = await read
    const snapshot = {
      era: eraOf(version),
      pools: new Map(objects.map((object) => [object.key.slice(HISTORY_PREFIX.length) as PoolName, { record: decodeHistory(object.value), version: object.version }]))
    }
    this.#options.onRead(snapshot)
    return snapshot
  }
}
