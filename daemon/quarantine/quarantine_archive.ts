/** Stores what is quarantined, so that the quarantine outlives all daemons. */
import { as, type EndpointId, type Fingerprint, type Suspect } from '../../core/ids/index.ts'
import { isPart, type CrashedRun, type CrashPlace, type CrashReport, type HeldSuspect } from '../../core/quarantine/index.ts'
import type { StoreVersion } from '../../core/store_version/index.ts'
import { delay, steadyNow } from '../../core/time/index.ts'
import { isStoreFailure, StoreError, type ObjectStore, type StoredObject } from '../../store/index.ts'
import { log } from '../log/index.ts'
import type { QuarantineTask } from './quarantine_task.ts'
import { guarded, reportTaskError } from '../tasks/index.ts'

/** Options of {@linkcode QuarantineArchive}. */
export interface QuarantineArchiveOptions {
  store: Pick<ObjectStore, 'era' | 'list' | 'create' | 'remove'>
  quarantine: Pick<QuarantineTask, 'held' | 'mergeReports' | 'onHeld'>
  /** Whether this daemon is the one that maintains the archive. */
  maintainsArchive (): boolean
}

/** Stored form of a run with a quarantined part. */
interface ArchivedRun extends Omit<CrashedRun, 'sentAtMs'> { sentBeforeMs: number }

/** Stored form of one crash. Times are wall-clock, as a daemon's steady clock means nothing after it has stopped. */
interface ArchivedCrash { endpoint: EndpointId, atWallMs: number, place?: CrashPlace | undefined, runs?: ArchivedRun[] | undefined }

/** Stored value of one quarantined request or prompt part. */
interface ArchivedSuspect { crashes: ArchivedCrash[] }

const KEY_PREFIX = 'quarantine/'
/** Interval between synchronizations, in milliseconds. */
const SYNC_INTERVAL_MS = 1000
/** Crashes that are stored for each suspect: enough to quarantine it again. */
const MAX_ARCHIVED_CRASHES = 8
/** Longest time for which a daemon that starts waits for the stored quarantine, in milliseconds. */
const RESTORE_TIMEOUT_MS = 1000
/** Number of rounds skipped after a failed store call. */
const ROUNDS_SKIPPED_AFTER_FAILURE = 2

/** Loads the stored quarantine when this daemon becomes responsible for the archive, then writes its changes. After a return of the store to a copy, it writes what that lacks. */
export class QuarantineArchive {
  readonly #options: QuarantineArchiveOptions
  /** Versions of the stored objects; undefined until they have been read. */
  #stored: Map<Suspect, StoreVersion> | undefined
  /** True if this daemon maintained the archive when the store returned to a copy: what it knows is newer than the copy. */
  #outranksCopy = false
  #timer: NodeJS.Timeout | undefined
  #isSynchronizing = false
  #roundsToSkip = 0
  #restored: Promise<unknown> = Promise.resolve()

  constructor (options: QuarantineArchiveOptions) {
    this.#options = options
    options.store.era.onRise(() => {
      this.#outranksCopy ||= this.#stored !== undefined
      this.#stored = undefined
    })
  }

  /** Resolves once this daemon has read the stored quarantine, or could not. */
  get restored (): Promise<unknown> { return this.#restored }

  /** Reads the stored quarantine, so that this daemon knows it before it takes requests. */
  restore (): void {
    const read = this.#read().catch((err: Error) => {
      if (err instanceof StoreError) log('quarantine-not-stored', { why: err.message })
      else reportTaskError('quarantine-archive', err)
    })
    this.#restored = Promise.race([read, delay(RESTORE_TIMEOUT_MS)])
  }

  /** Starts synchronizing, periodically and whenever the quarantine changes. */
  start (): void {
    this.#timer = setInterval(guarded('quarantine-archive', () => this.synchronize()), SYNC_INTERVAL_MS)
    this.#options.quarantine.onHeld(guarded('quarantine-archive', () => this.synchronize()))
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
      this.#outranksCopy = false
      return
    }
    this.#stored ??= await this.#read()
    this.#outranksCopy = false
    const held = new Map(quarantine.held.map((each) => [each.suspect, each]))
    for (const [suspect, each] of held) {
      if (!this.#stored.has(suspect)) this.#stored.set(suspect, await store.create(KEY_PREFIX + suspect, JSON.stringify(toArchived(each))))
    }
    for (const [suspect, version] of this.#stored) {
      if (held.has(suspect)) continue
      await store.remove(KEY_PREFIX + suspect, version)
      this.#stored.delete(suspect)
    }
  }

  async #read (): Promise<Map<Suspect, StoreVersion>> {
    const stored = new Map<Suspect, StoreVersion>()
    const reports: CrashReport[] = []
    for (const object of await this.#options.store.list(KEY_PREFIX)) {
      const suspect = as<Fingerprint>(object.key.slice(KEY_PREFIX.length))
      const found = decodeReports(object, suspect)
      if (found.length > 0) stored.set(suspect, object.version)
      reports.push(...found)
    }
    // What the copy has and this daemon does not was released since it was taken.
    if (!this.#outranksCopy) this.#options.quarantine.mergeReports(reports)
    return stored
  }
}

function toArchived ({ evidence }: HeldSuspect): ArchivedSuspect {
  const now = steadyNow()
  const crashes = [...evidence].sort((a, b) => b.atMs - a.atMs).slice(0, MAX_ARCHIVED_CRASHES)
  return {
    crashes: crashes.map(({ endpoint, atMs, place, runs }) => ({
      endpoint,
      atWallMs: Date.now() - (now - atMs),
      ...(runs && { place, runs: runs.map(({ sentAtMs, ...run }) => ({ ...run, sentBeforeMs: atMs - sentAtMs })) })
    }))
  }
}

function parseJson (value: string): unknown {
  try {
    return JSON.parse(value)
  } catch {
    return null
  }
}

/** Decodes a stored object. Objects written by other programs yield no reports, and are left unchanged. */
function decodeReports ({ value }: StoredObject, suspect: Suspect): CrashReport[] {
  const crashes = (parseJson(value) as Partial<ArchivedSuspect> | null)?.crashes
  if (!Array.isArray(crashes)) return []
  return crashes.filter((crash) => typeof crash?.endpoint === 'string' && Number.isFinite(crash.atWallMs)).flatMap((crash) => {
    // The stored time may lie in the future if a wall clock has jumped.
    const atMs = steadyNow() - Math.max(0, Date.now() - crash.atWallMs)
    const report = { endpoint: crash.endpoint, atMs, cleared: [] }
    if (!isPart(suspect)) return { ...report, aboard: [suspect] }
    return isArchivedPartCrash(crash) ? { ...report, aboard: [], place: crash.place, runs: crash.runs.map(({ sentBeforeMs, ...run }) => ({ ...run, sentAtMs: atMs - sentBeforeMs })) } : []
  })
}

function isArchivedPartCrash (crash: ArchivedCrash): crash is Required<ArchivedCrash> & { place: CrashPlace, runs: ArchivedRun[] } {
  const { place, runs } = crash
  return typeof place?.pool === 'string' && Number.isFinite(place.poolSize) && Array.isArray(runs) &&
    runs.every((run) => typeof run?.request === 'string' && Number.isFinite(run.sentBeforeMs) && Array.isArray(run.parts) && run.parts.every((key) => typeof key === 'string'))
}
