/** Keeps records of where streams began in the store, so that they outlive all daemons. */
import type { DaemonId, StreamKey } from '../../core/ids/index.ts'
import type { StoreVersion } from '../../core/store_version/index.ts'
import { decodeArchive, mergeArchives, type VersionRecord } from '../../core/streams/index.ts'
import { delay, steadyNow } from '../../core/time/index.ts'
import { StoreError, type ObjectStore } from '../../store/index.ts'
import { log } from '../log/index.ts'
import type { Metrics } from '../metrics.ts'
import type { MembershipTask } from '../peers/membership_task.ts'
import { reportTaskError } from '../tasks/index.ts'
import type { KeyedRecord } from './_record_sender.ts'
import { ARCHIVE_PREFIX, archiveIntervalMs, RecordWriter } from './_record_writer.ts'

/** Options of {@linkcode RecordArchive}. */
export interface RecordArchiveOptions {
  self: DaemonId
  store: Pick<ObjectStore, 'era' | 'list' | 'create' | 'update' | 'remove'>
  membership: Pick<MembershipTask, 'joined' | 'isFirstFor'>
  /** Returns the number of hosts in the fleet, including those that cannot be reached now. */
  hostCount (): number
  /** Returns whether other daemons ask this one for records of any stream. */
  mayHold (): boolean
  /** Returns a random number in [0, 1). */
  random (): number
  metrics: Pick<Metrics, 'storeCalls' | 'streamRecords'>
}

/** What the store has on a stream. */
export interface ArchiveFinding {
  /** Undefined if the store has none. */
  record: VersionRecord | undefined
  /** False if the store could not be read in time. */
  isRead: boolean
}

/** An object of the archive, since when it has had its version, and how long its records live from then on. */
interface WatchedObject { version: StoreVersion, sinceMs: number, lifeMs: number }

/** Longest time for which callers wait for the records that a daemon reads when it starts, in milliseconds. */
const RESTORE_TIMEOUT_MS = 1000
/** Time that a daemon that has just started has to find others, in milliseconds: they tell whether it may hold records. */
const JOIN_WAIT_MS = 500
const JOIN_POLL_MS = 20
const FIRST_BACK_OFF_MS = 100
const MAX_BACK_OFF_MS = 2000
/** Shortest interval between two listings of a daemon, in milliseconds. */
const MIN_LIST_INTERVAL_MS = 200
/** Longest wait of a caller for a listing, in milliseconds. */
const FIND_TIMEOUT_MS = 300
/** Interval at which objects whose records have expired are removed, in milliseconds. */
const REMOVAL_INTERVAL_MS = 60_000
const REMOVAL_JOB = 'stream-records'

/** Stores the records of this daemon, and finds those of daemons that have ended. */
export class RecordArchive {
  readonly #options: RecordArchiveOptions
  readonly #writer: RecordWriter
  readonly #watched = new Map<string, WatchedObject>()
  #isStopped = false
  #restored: Promise<unknown> = Promise.resolve()
  #listing: Promise<ReadonlyMap<StreamKey, VersionRecord>> | undefined
  #listedAtMs = -Infinity
  #timer: NodeJS.Timeout | undefined
  /** Called with the records that were read. */
  onRead: (records: ReadonlyMap<StreamKey, VersionRecord>) => void = () => {}

  constructor (options: RecordArchiveOptions) {
    this.#options = options
    this.#writer = new RecordWriter(options)
  }

  /** Resolves once the records that were stored before the start have been read, or after a second. */
  get restored (): Promise<unknown> { return this.#restored }

  /** Reads the stored records if other daemons may ask this one for them, again and again until the store answers. */
  restore (): void {
    this.#restored = Promise.race([this.#restore(), delay(RESTORE_TIMEOUT_MS)])
  }

  /** Starts removing objects whose records have expired, if this daemon is the one that does. */
  start (): void {
    this.#timer = setInterval(() => this.#removeExpired(), REMOVAL_INTERVAL_MS)
  }

  /** Stops at once; what has not been written is lost. */
  stop (): void {
    this.#isStopped = true
    clearInterval(this.#timer)
    this.#writer.stop()
  }

  /** Stores records of streams that this daemon passes on. */
  add (records: readonly KeyedRecord[]): void {
    this.#writer.add(records)
  }

  /**
   * Writes what has not been written yet, since this daemon leaves.
   * @param untilMs Until when a write that fails is tried again, in milliseconds on the steady clock. Default: it is not.
   */
  async handOver (untilMs = steadyNow()): Promise<void> {
    await this.#writer.finish(untilMs)
  }

  /** Reads the store for the record of a stream. Callers share a listing; for one that comes too soon after the last, the store counts as not read. */
  async find (key: StreamKey): Promise<ArchiveFinding> {
    const dueInMs = this.#listedAtMs + Math.max(MIN_LIST_INTERVAL_MS, archiveIntervalMs(this.#options.hostCount())) - steadyNow()
    if (!this.#listing && dueInMs > 0) {
      if (dueInMs > FIND_TIMEOUT_MS) return { record: undefined, isRead: false }
      await delay(dueInMs)
    }
    const records = await Promise.race([this.#list().catch(toUndefined), delay(FIND_TIMEOUT_MS)])
    return { record: records?.get(key), isRead: records !== undefined }
  }

  async #restore (): Promise<void> {
    const startedAtMs = steadyNow()
    while (!this.#options.membership.joined && steadyNow() - startedAtMs < JOIN_WAIT_MS) await delay(JOIN_POLL_MS)
    for (let backOffMs = FIRST_BACK_OFF_MS; !this.#isStopped && this.#options.mayHold(); backOffMs = Math.min(MAX_BACK_OFF_MS, backOffMs * 2)) {
      const records = await this.#list().catch(toUndefined)
      if (records) return log('stream-records-restored', { records: records.size, tookMs: steadyNow() - startedAtMs })
      await delay(backOffMs * (0.5 + this.#options.random() / 2))
    }
  }

  /** Lists the stored records, or joins the listing in progress. */
  #list (): Promise<ReadonlyMap<StreamKey, VersionRecord>> {
    this.#listing ??= this.#listOnce().finally(() => { this.#listing = undefined })
    return this.#listing
  }

  async #listOnce (): Promise<ReadonlyMap<StreamKey, VersionRecord>> {
    this.#listedAtMs = steadyNow()
    const objects = await this.#call('read', (store) => store.list(ARCHIVE_PREFIX))
    const now = steadyNow()
    const records = mergeArchives(objects.map(({ value }) => decodeArchive(value, now)))
    this.#options.metrics.streamRecords.inc({ result: 'read' }, records.size)
    this.onRead(records)
    return records
  }

  /** Removes objects that have been the same for as long as their records lived, by this daemon's clock. */
  async #removeExpired (): Promise<void> {
    if (!this.#options.membership.isFirstFor(REMOVAL_JOB)) return this.#watched.clear()
    try {
      const objects = await this.#call('read', (store) => store.list(ARCHIVE_PREFIX))
      const now = steadyNow()
      const keys = new Set(objects.map(({ key }) => key))
      for (const key of this.#watched.keys()) if (!keys.has(key)) this.#watched.delete(key)
      for (const { key, version, value } of objects) {
        const watched = this.#watched.get(key)
        if (watched?.version !== version) {
          const lives = [...decodeArchive(value, 0).values()].map(({ expiresAtMs }) => expiresAtMs)
          if (lives.length > 0) this.#watched.set(key, { version, sinceMs: now, lifeMs: Math.max(...new Set(lives)) })
        } else if (now - watched.sinceMs > watched.lifeMs) {
          await this.#call('write', (store) => store.remove(key, version))
          this.#watched.delete(key)
        }
      }
    } catch (err) {
      if (!(err instanceof StoreError)) reportTaskError('stream-records', err)
    }
  }

  async #call<T> (kind: 'read' | 'write', run: (store: RecordArchiveOptions['store']) => Promise<T>): Promise<T> {
    const { store, metrics } = this.#options
    try {
      const result = await run(store)
      metrics.storeCalls.inc({ use: 'streams', kind, failed: 'false' })
      return result
    } catch (err) {
      metrics.storeCalls.inc({ use: 'streams', kind, failed: 'true' })
      throw err
    }
  }
}

function toUndefined (err: Error): undefined {
  if (!(err instanceof StoreError)) reportTaskError('stream-records', err)
}
