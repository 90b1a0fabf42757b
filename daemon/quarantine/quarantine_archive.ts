/** Stores quarantined requests, so that the quarantine outlives all daemons. */
import { as, type EndpointId, type Fingerprint } from '../../core/ids/index.ts'
import type { CrashReport, HeldRequest } from '../../core/quarantine/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { isStoreFailure, StoreError, type ObjectStore, type StoredObject } from '../../store/index.ts'
import { log } from '../log/index.ts'
import type { QuarantineTask } from './quarantine_task.ts'

/** Options of {@linkcode QuarantineArchive}. */
export interface QuarantineArchiveOptions {
  store: Pick<ObjectStore, 'list' | 'create' | 'remove'>
  quarantine: Pick<QuarantineTask, 'held' | 'mergeReports' | 'onHeld'>
  /** Whether this daemon is the one that maintains the archive. */
  maintainsArchive (): boolean
}

/** Stored value of one quarantined request. Times are wall-clock, as a daemon's steady clock means nothing after it has stopped. */
interface ArchivedRequest { crashes: Array<{ endpoint: EndpointId, atWallMs: number }> }

const KEY_PREFIX = 'quarantine/'
/** Interval between synchronizations, in milliseconds. */
const SYNC_INTERVAL_MS = 1000
/** Number of rounds skipped after a failed store call. */
const ROUNDS_SKIPPED_AFTER_FAILURE = 2

/** Loads the stored quarantine when this daemon becomes responsible for the archive, then writes its changes. */
export class QuarantineArchive {
  readonly #options: QuarantineArchiveOptions
  /** Versions of the stored objects; undefined until they have been read. */
  #stored: Map<Fingerprint, number> | undefined
  #timer: NodeJS.Timeout | undefined
  #isSynchronizing = false
  #roundsToSkip = 0

  constructor (options: QuarantineArchiveOptions) {
    this.#options = options
  }

  /** Starts synchronizing, periodically and whenever the quarantine changes. */
  start (): void {
    this.#timer = setInterval(() => this.synchronize(), SYNC_INTERVAL_MS)
    this.#options.quarantine.onHeld(() => this.synchronize())
  }

  /** Stops synchronizing. */
  stop (): void {
    clearInterval(this.#timer)
  }

  /** Updates the store, if this daemon maintains the archive and no update is in progress. */
  async synchronize (): Promise<void> {
    if (this.#isSynchronizing || this.#roundsToSkip-- > 0) return
    this.#roundsToSkip = 0
    this.#isSynchronizing = true
    try {
      await this.#update()
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      log('quarantine-not-stored', { why: err.message })
      // A conflict means that another daemon has written to the archive, too, so it must be read again.
      if (isStoreFailure(err, 'conflict')) this.#stored = undefined
      this.#roundsToSkip = ROUNDS_SKIPPED_AFTER_FAILURE
    } finally {
      this.#isSynchronizing = false
    }
  }

  async #update (): Promise<void> {
    const { maintainsArchive, quarantine, store } = this.#options
    if (!maintainsArchive()) {
      this.#stored = undefined
      return
    }
    this.#stored ??= await this.#read()
    const held = new Map(quarantine.held.map((each) => [each.request, each]))
    for (const [request, each] of held) {
      if (!this.#stored.has(request)) this.#stored.set(request, await store.create(KEY_PREFIX + request, JSON.stringify(toArchived(each))))
    }
    for (const [request, version] of this.#stored) {
      if (held.has(request)) continue
      await store.remove(KEY_PREFIX + request, version)
      this.#stored.delete(request)
    }
  }

  async #read (): Promise<Map<Fingerprint, number>> {
    const stored = new Map<Fingerprint, number>()
    const reports: CrashReport[] = []
    for (const object of await this.#options.store.list(KEY_PREFIX)) {
      const request = as<Fingerprint>(object.key.slice(KEY_PREFIX.length))
      const found = decodeReports(object, request)
      if (found.length > 0) stored.set(request, object.version)
      reports.push(...found)
    }
    this.#options.quarantine.mergeReports(reports)
    return stored
  }
}

function toArchived ({ crashes }: HeldRequest): ArchivedRequest {
  const now = steadyNow()
  return { crashes: crashes.map(({ endpoint, atMs }) => ({ endpoint, atWallMs: Date.now() - (now - atMs) })) }
}

function parseJson (value: string): unknown {
  try {
    return JSON.parse(value)
  } catch {
    return null
  }
}

/** Decodes a stored object. Objects written by other programs yield no reports, and are left unchanged. */
function decodeReports ({ value }: StoredObject, request: Fingerprint): CrashReport[] {
  const crashes = (parseJson(value) as Partial<ArchivedRequest> | null)?.crashes
  if (!Array.isArray(crashes)) return []
  return crashes.filter((crash) => typeof crash?.endpoint === 'string' && Number.isFinite(crash.atWallMs)).map(({ endpoint, atWallMs }) => ({
    endpoint,
    // The stored time may lie in the future if a wall clock has jumped.
    atMs: steadyNow() - Math.max(0, Date.now() - atWallMs),
    aboard: [request],
    cleared: []
  }))
}
