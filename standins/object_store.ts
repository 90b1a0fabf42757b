/** In-memory stand-in for the platform's object store, with fault injection. */
import { delay } from '../core/time/index.ts'
import { StoreError, type Changes, type ObjectStore, type Snapshot, type StoredObject } from '../store/index.ts'

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

const MAX_VALUE_BYTES = 1 << 20

/** In-memory object store, shared by all daemons of a test or demo. */
export class StandInStore implements ObjectStore {
  readonly faults: StoreFaults = { down: false, slowMs: 0, loseAnswers: 0, loseWatches: 0 }
  readonly calls: StoreCalls = { reads: 0, writes: 0, watches: 0, refused: 0 }
  #objects = new Map<string, StoredObject>()
  readonly #waiting = new Set<() => void>()
  /** Keys of removed objects, with the store version of their removal. */
  #removed = new Map<string, number>()
  #version = 0
  #copy: { objects: Map<string, StoredObject>, removed: Map<string, number>, version: number } | undefined
  #compactedVersion = 0
  /** Resolvers of the calls held back while the store does not answer; undefined while it answers. */
  #heldCalls: Array<() => void> | undefined
  #disconnects = 0

  async get (key: string): Promise<StoredObject | undefined> {
    await this.#beginCall('reads')
    return this.#objects.get(key)
  }

  async list (prefix: string, options: { after?: string, limit?: number } = {}): Promise<StoredObject[]> {
    await this.#beginCall('reads')
    const matches = [...this.#objects.values()].filter(({ key }) => key.startsWith(prefix) && key > (options.after ?? ''))
    return matches.sort((a, b) => (a.key < b.key ? -1 : 1)).slice(0, options.limit ?? 1000)
  }

  async snapshot (prefix: string): Promise<Snapshot> {
    await this.#beginCall('reads')
    return { objects: this.#changedSince(prefix, 0), version: this.#version }
  }

  async create (key: string, value: string): Promise<number> {
    await this.#beginCall('writes')
    if (this.#objects.has(key)) throw conflict(key)
    return this.#put(key, value)
  }

  async update (key: string, value: string, version: number): Promise<number> {
    await this.#beginCall('writes')
    if (this.#objects.get(key)?.version !== version) throw conflict(key)
    return this.#put(key, value)
  }

  async remove (key: string, version: number): Promise<void> {
    await this.#beginCall('writes')
    if (this.#objects.get(key)?.version !== version) throw conflict(key)
    this.#objects.delete(key)
    this.#version++
    this.#removed.set(key, this.#version)
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
      this.#version++
      this.#removed.set(key, this.#version)
    }
    for (const wake of [...this.#waiting]) wake()
  }

  /** Discards the change history: watches from an earlier version fail with `history-gone`. */
  compact (): void {
    this.#compactedVersion = this.#version
    this.#removed.clear()
  }

  /** Keeps a copy of the current state for {@linkcode StandInStore.returnToCopy}. */
  takeCopy (): void {
    this.#copy = { objects: new Map(this.#objects), removed: new Map(this.#removed), version: this.#version }
  }

  /** Goes back to the last copy: what was written since is gone, and its versions are given out again. Closes the connections of pending watches. */
  returnToCopy (): void {
    if (!this.#copy) throw new Error('Cannot return to a copy: none was taken')
    this.#objects = this.#copy.objects
    this.#removed = this.#copy.removed
    this.#version = this.#copy.version
    this.takeCopy()
    this.disconnectWatches()
  }

  async changes (prefix: string, options: { after: number, waitMs: number }): Promise<Changes> {
    await this.#beginCall('watches')
    if (!this.#hasChanged(prefix, options.after) && options.waitMs > 0) {
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
    if (options.after < this.#compactedVersion || options.after > this.#version) throw new StoreError('Cannot watch: change history was compacted', { failure: 'history-gone' })
    const removed = [...this.#removed].filter(([key, version]) => version > options.after && key.startsWith(prefix)).map(([key]) => key)
    return { objects: this.#changedSince(prefix, options.after), removed, version: this.#version }
  }

  /** Returns all keys, sorted, for assertions in tests. */
  keys (): string[] {
    return [...this.#objects.keys()].sort()
  }

  async #beginCall (kind: 'reads' | 'writes' | 'watches'): Promise<void> {
    this.calls[kind]++
    await this.#waitUntilAnswering()
    if (this.faults.slowMs > 0) await delay(this.faults.slowMs)
    if (!this.faults.down) return
    this.calls.refused++
    throw new StoreError('Cannot reach store: store is down', { failure: 'not-applied' })
  }

  async #waitUntilAnswering (): Promise<void> {
    while (this.#heldCalls) await new Promise<void>((resolve) => this.#heldCalls!.push(resolve))
  }

  #put (key: string, value: string): number {
    if (Buffer.byteLength(value) > MAX_VALUE_BYTES) throw new StoreError(`Cannot write ${key}: value is over 1 MB`, { failure: 'not-applied' })
    this.#version++
    this.#objects.set(key, { key, version: this.#version, value })
    this.#removed.delete(key)
    for (const wake of [...this.#waiting]) wake()
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers--
      throw new StoreError(`Cannot tell whether ${key} was written: no answer`, { failure: 'unsure' })
    }
    return this.#version
  }

  #changedSince (prefix: string, after: number): StoredObject[] {
    const matches = [...this.#objects.values()].filter((object) => object.version > after && object.key.startsWith(prefix))
    return matches.sort((a, b) => a.version - b.version)
  }

  #hasChanged (prefix: string, after: number): boolean {
    if (this.#changedSince(prefix, after).length > 0) return true
    return [...this.#removed].some(([key, version]) => version > after && key.startsWith(prefix))
  }

  #waitForChange (prefix: string, options: { after: number, waitMs: number, cuts: number }): Promise<void> {
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
