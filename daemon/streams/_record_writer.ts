/** Writes a daemon's records of where streams began to the store, behind their arrival. */
import type { DaemonId } from '../../core/ids/index.ts'
import type { StoreVersion } from '../../core/store_version/index.ts'
import { encodeArchive, VersionRecords } from '../../core/streams/index.ts'
import { delay, steadyNow } from '../../core/time/index.ts'
import { isStoreFailure, StoreError, type ObjectStore } from '../../store/index.ts'
import { log } from '../log/index.ts'
import type { Metrics } from '../metrics.ts'
import { reportTaskError } from '../tasks/index.ts'
import type { KeyedRecord } from './_record_sender.ts'

/** Kind of the objects, one or a few for each process. */
export const ARCHIVE_PREFIX = 'stream-records/'

/** Options of {@linkcode RecordWriter}. */
export interface RecordWriterOptions {
  self: DaemonId
  store: Pick<ObjectStore, 'era' | 'create' | 'update'>
  /** Returns the number of hosts in the fleet, including those that cannot be reached now. */
  hostCount (): number
  /** Returns a random number in [0, 1). */
  random (): number
  metrics: Pick<Metrics, 'storeCalls' | 'streamRecords'>
}

/** Shortest interval between two writes of a daemon, and the interval for each host, in milliseconds: all daemons together stay below half of the store's write rate. */
const MIN_INTERVAL_MS = 50
const INTERVAL_PER_HOST_MS = 5
const FIRST_BACK_OFF_MS = 250
/** Least pause before a last write is tried again, in milliseconds. */
const RETRY_MS = 50
const MAX_BACK_OFF_MS = 5000

/** Returns the least interval between two writes of one daemon, in milliseconds. */
export function archiveIntervalMs (hostCount: number): number {
  return Math.max(MIN_INTERVAL_MS, INTERVAL_PER_HOST_MS * hostCount)
}

/**
 * Writes all records that have not expired whenever there are new ones.
 *
 * Each process has objects of its own, so that neither a successor nor a late write of this process makes a write fail. After a write of which it is not known whether it
 * was applied, the next one creates another object: the late one does not stand in its way.
 */
export class RecordWriter {
  readonly #options: RecordWriterOptions
  readonly #records = new VersionRecords()
  #hasNew = false
  #isStopped = false
  #timer: NodeJS.Timeout | undefined
  #writing: Promise<void> | undefined
  #startedAtMs = -Infinity
  #notBeforeMs = -Infinity
  #failures = 0
  #objectNumber = 0
  /** Version of the present object; undefined until it is created. */
  #version: StoreVersion | undefined

  constructor (options: RecordWriterOptions) {
    this.#options = options
    // What was written since the copy was taken is gone.
    options.store.era.onRise(() => {
      this.#hasNew ||= [...this.#records.entries(steadyNow())].length > 0
      this.#schedule()
    })
  }

  /** Adds records and writes them at once, or later if the last write was a short time ago. */
  add (records: readonly KeyedRecord[]): void {
    const now = steadyNow()
    for (const [key, record] of records) this.#records.set(key, record, now)
    this.#hasNew ||= records.length > 0
    this.#schedule()
  }

  /** Stops writing; a write in progress may still be applied. */
  stop (): void {
    this.#isStopped = true
    clearTimeout(this.#timer)
  }

  /** Writes what has not been written yet, and stops. A write that fails is tried again until `untilMs` on the steady clock. */
  async finish (untilMs: number): Promise<void> {
    this.stop()
    await this.#writing
    while (this.#hasNew) {
      await this.#write()
      const backOffMs = Math.max(RETRY_MS, this.#notBeforeMs - steadyNow())
      if (!this.#hasNew || steadyNow() + backOffMs > untilMs) return
      await delay(backOffMs)
    }
  }

  #schedule (): void {
    if (this.#isStopped || !this.#hasNew || this.#timer !== undefined || this.#writing) return
    const now = steadyNow()
    const intervalMs = archiveIntervalMs(this.#options.hostCount())
    const isIdle = now - this.#startedAtMs >= intervalMs
    // Daemons that have new records at the same moment, since a version was listed, spread their first writes.
    const spreadMs = isIdle ? this.#options.random() * (intervalMs - MIN_INTERVAL_MS) : this.#startedAtMs + intervalMs - now
    this.#timer = setTimeout(() => {
      this.#timer = undefined
      if (!this.#isStopped) this.#write()
    }, Math.max(0, spreadMs, this.#notBeforeMs - now))
  }

  #write (): Promise<void> {
    this.#writing = this.#writeOnce().finally(() => {
      this.#writing = undefined
      this.#schedule()
    })
    return this.#writing
  }

  async #writeOnce (): Promise<void> {
    const { self, store, metrics, random } = this.#options
    this.#startedAtMs = steadyNow()
    this.#hasNew = false
    const { value, count } = encodeArchive(this.#records.entries(this.#startedAtMs), this.#startedAtMs)
    const key = `${ARCHIVE_PREFIX}${self}.${this.#objectNumber}`
    try {
      this.#version = this.#version === undefined ? await store.create(key, value) : await store.update(key, value, this.#version)
      this.#failures = 0
      metrics.storeCalls.inc({ use: 'streams', kind: 'write', failed: 'false' })
      metrics.streamRecords.inc({ result: 'stored' }, count)
    } catch (err) {
      metrics.storeCalls.inc({ use: 'streams', kind: 'write', failed: 'true' })
      if (!(err instanceof StoreError)) reportTaskError('stream-records', err)
      log('stream-records-not-stored', { why: (err as Error).message })
      this.#hasNew = true
      if (!isStoreFailure(err, 'not-applied')) {
        this.#objectNumber++
        this.#version = undefined
      }
      // An object that was removed or replaced by another program says nothing about the store.
      if (isStoreFailure(err, 'conflict')) return
      const backOffMs = Math.min(MAX_BACK_OFF_MS, FIRST_BACK_OFF_MS * 2 ** this.#failures++)
      this.#notBeforeMs = steadyNow() + backOffMs * (0.5 + random() / 2)
    }
  }
}
