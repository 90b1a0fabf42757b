/** In-memory stand-in for the platform's object store, with fault injection. */
import { eraOf, revisionOf, storeVersion, type StoreVersion } from '../core/store_version/index.ts'
import { delay } from '../core/time/index.ts'
import { EraTracker, StoreError, type Changes, type ObjectStore, type Snapshot, type StoredObject } from '../store/index.ts'

/** Injectable faults, all disabled by default. */
export interface StoreFaults {
  /** Refuses every call. */
  down: boolean
  /** Latency added to every call, in milliseconds. */
  slowMs: number
  /** Number of upcoming writes that are applied but whose answer is lost. */
  loseAnswers: number
  /** Number of upcoming watches that return without the changes they waited for. */
  loseWatches: number
}

/** Number of calls since the start, by kind. */
export interface StoreCalls { reads: number, writes: number, watches: number, refused: number }

/** An object as it is kept: its version depends on the era in which it is read. */
interface KeptObject { key: string, revision: number, value: string }

const MAX_VALUE_BYTES = 1 << 20

/** In-memory object store, shared by all daemons of a test or demo. */
export class StandInStore implements ObjectStore {
  readonly era = new EraTracker()
  readonly faults: StoreFaults = { down: false, slowMs: 0, loseAnswers: 0, loseWatches: 0 }
  readonly calls: StoreCalls = { reads: 0, writes: 0, watches: 0, refused: 0 }
  #objects = new Map<string, KeptObject>()
  readonly #waiting = new Set<() => void>()
  /** Keys of removed objects, with the revision of their removal. */
  #removed = new Map<string, number>()
  #revision = 0
  /** The era of this store; {@linkcode StandInStore.era} is what its caller has learned. */
  #ownEra = 0
  #copy: { objects: Map<string, KeptObject>, removed: Map<string, number>, revision: number } | undefined
  #compactedRevision = 0
  /** Resolvers of the calls held back while the store does not answer; undefined while it answers. */
  #heldCalls: Array<() => void> | undefined
  #disconnects = 0

  async get (key: string): Promise<StoredObject | undefined> {
    await this.#beginCall('reads')
    return this.#read(this.#objects.get(key))
  }

  async list (prefix: string, options: { after?: string, limit?: number } = {}): Promise<StoredObject[]> {
    await this.#beginCall('reads')
    const matches = [...this.#objects.values()].filter(({ key }) => key.startsWith(prefix) && key > (options.after ?? ''))
    return matches.sort((a, b) => (a.key < b.key ? -1 : 1)).slice(0, options.limit ?? 1000).map((object) => this.#read(object)!)
  }

  async snapshot (prefix: string): Promise<Snapshot> {
    await this.#beginCall('reads')
    return { objects: this.#changedSince(prefix, 0), version: this.#version }
  }

  async create (key: string, value: string): Promise<StoreVersion> {
    await this.#beginCall('writes')
    if (this.#objects.has(key)) throw conflict(key)
    return this.#put(key, value)
  }

  async update (key: string, value: string, version: StoreVersion): Promise<StoreVersion> {
    await this.#beginCall('writes')
    if (this.#read(this.#objects.get(key))?.version !== version) throw conflict(key)
    return this.#put(key, value)
  }

  async remove (key: string, version: StoreVersion): Promise<void> {
    await this.#beginCall('writes')
    if (this.#read(this.#objects.get(key))?.version !== version) throw conflict(key)
    this.#objects.delete(key)
    this.#removed.set(key, ++this.#revision)
    for (const wake of [...this.#waiting]) wake()
  }

  /** Stops answering: calls and watches hang until {@linkcode StandInStore.resumeAnswering} is called. */
  stopAnswering (): void {
    this.#heldCalls ??= []
  }

  /** Resumes answering, starting with the calls that were held back. */
  resumeAnswering (): void {
    const unanswered = this.#heldCalls ?? []
    this.#heldCalls = undefined
    for (const answer of unanswered) answer()
  }

  /** Closes the connections of all pending watches. */
  disconnectWatches (): void {
    this.#disconnects++
    for (const wake of [...this.#waiting]) wake()
  }

  /** Removes entries whose owners did not renew them, regardless of injected faults. */
  expire (keys: readonly string[]): void {
    for (const key of keys) {
      if (!this.#objects.delete(key)) continue
      this.#removed.set(key, ++this.#revision)
    }
    for (const wake of [...this.#waiting]) wake()
  }

  /** Discards the change history: watches from an earlier version fail with `history-gone`. */
  compact (): void {
    this.#compactedRevision = this.#revision
    this.#removed.clear()
  }

  /** Keeps a copy of the current state for {@linkcode StandInStore.returnToCopy}. */
  takeCopy (): void {
    this.#copy = { objects: new Map(this.#objects), removed: new Map(this.#removed), revision: this.#revision }
  }

  /** Goes back to the last copy: what was written since is gone, its revisions are given out again, and the era rises. Closes the connections of pending watches, unless `cut` is false (default true). */
  returnToCopy ({ cut = true }: { cut?: boolean } = {}): void {
    if (!this.#copy) throw new Error('Cannot return to a copy: none was taken')
    this.#objects = this.#copy.objects
    this.#removed = this.#copy.removed
    this.#revision = this.#copy.revision
    this.#ownEra++
    this.takeCopy()
    if (cut) this.disconnectWatches()
  }

  async changes (prefix: string, options: { after: StoreVersion, waitMs: number }): Promise<Changes> {
    await this.#beginCall('watches')
    if (this.#isKnown(options.after) && !this.#hasChanged(prefix, options.after) && options.waitMs > 0) {
      const cuts = this.#disconnects
      await this.#waitForChange(prefix, { ...options, cuts })
      await this.#waitUntilAnswering()
      if (this.#disconnects > cuts) throw new StoreError('Cannot watch: connection cut', { failure: 'unsure' })
      if (this.faults.down) throw new StoreError('Cannot watch: store is down', { failure: 'not-applied' })
      if (this.faults.loseWatches > 0 && this.#hasChanged(prefix, options.after)) {
        this.faults.loseWatches--
        return { objects: [], removed: [], version: this.#version }
      }
    }
    this.era.learn(this.#ownEra, 'store')
    if (!this.#isKnown(options.after)) throw new StoreError('Cannot watch: change history was compacted', { failure: 'history-gone' })
    const removed = [...this.#removed].filter(([key, revision]) => revision > revisionOf(options.after) && key.startsWith(prefix)).map(([key]) => key)
    return { objects: this.#changedSince(prefix, revisionOf(options.after)), removed, version: this.#version }
  }

  /** Returns all keys, sorted, for assertions in tests. */
  keys (): string[] {
    return [...this.#objects.keys()].sort()
  }

  get #version (): StoreVersion { return storeVersion(this.#ownEra, this.#revision) }

  /** True for a version of this era whose changes since are still known. */
  #isKnown (version: StoreVersion): boolean {
    return eraOf(version) === this.#ownEra && revisionOf(version) >= this.#compactedRevision && revisionOf(version) <= this.#revision
  }

  #read (object: KeptObject | undefined): StoredObject | undefined {
    return object && { key: object.key, version: storeVersion(this.#ownEra, object.revision), value: object.value }
  }

  async #beginCall (kind: 'reads' | 'writes' | 'watches'): Promise<void> {
    this.calls[kind]++
    await this.#waitUntilAnswering()
    if (this.faults.slowMs > 0) await delay(this.faults.slowMs)
    if (!this.faults.down) return this.era.learn(this.#ownEra, 'store')
    this.calls.refused++
    throw new StoreError('Cannot reach store: store is down', { failure: 'not-applied' })
  }

  async #waitUntilAnswering (): Promise<void> {
    while (this.#heldCalls) await new Promise<void>((resolve) => this.#heldCalls!.push(resolve))
  }

  #put (key: string, value: string): StoreVersion {
    if (Buffer.byteLength(value) > MAX_VALUE_BYTES) throw new StoreError(`Cannot write ${key}: value is over 1 MB`, { failure: 'not-applied' })
    this.#objects.set(key, { key, revision: ++this.#revision, value })
    this.#removed.delete(key)
    for (const wake of [...this.#waiting]) wake()
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers--
      throw new StoreError(`Cannot tell whether ${key} was written: no answer`, { failure: 'unsure' })
    }
    return this.#version
  }

  #changedSince (prefix: string, after: number): StoredObject[] {
    const matches = [...this.#objects.values()].filter((object) => object.revision > after && object.key.startsWith(prefix))
    return matches.sort((a, b) => a.revision - b.revision).map((object) => this.#read(object)!)
  }

  #hasChanged (prefix: string, version: StoreVersion): boolean {
    const after = revisionOf(version)
    if (this.#changedSince(prefix, after).length > 0) return true
    return [...this.#removed].some(([key, revision]) => revision > after && key.startsWith(prefix))
  }

  #waitForChange (prefix: string, options: { after: StoreVersion, waitMs: number, cuts: number }): Promise<void> {
    return new Promise((resolve) => {
      const done = () => {
        clearTimeout(timer)
        this.#waiting.delete(wake)
        resolve()
      }
      const wake = () => { if (this.#disconnects > options.cuts || this.#hasChanged(prefix, options.after)) done() }
      const timer = setTimeout(done, options.waitMs)
      this.#waiting.add(wake)
    })
  }
}

function conflict (key: string): StoreError {
  return new StoreError(`Cannot write ${key}: version moved`, { failure: 'conflict' })
}
