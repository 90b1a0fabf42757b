/** Writes one shard of the claim log: collects claims for a moment, then makes one conditional update for all of them. */
import { randomUUID } from 'node:crypto'
import {
  EMPTY_HEAD, MERGE_AT, SEAL_AT, append, dropOld, judge, merge, mergeable, newestMs, seal,
  type Claim, type ClaimResult, type KeyHash, type Segment, type ShardHead
} from '../../core/once/index.ts'
import { isStoreFailure, StoreError, writeSurely, type Marked, type ObjectStore } from '../../store/index.ts'
import { delay, steadyNow } from '../../core/time/index.ts'

/** Options of {@linkcode ShardLog}. */
export interface ShardLogOptions {
  store: ObjectStore
  shard: number
  /** Shortest time between two writes in milliseconds. Default 85. */
  intervalMs?: number
  /** How long a claim is kept, in milliseconds. Default one hour. */
  keptMs?: number
  /** Called after each attempt to write, for counters. */
  onWrite?: (claims: number) => void
}

interface Pending { claim: Claim, expiresAtMs: number, resolve (result: ClaimResult): void, reject (err: Error): void }

/** Default shortest time between two writes of one shard: 8 shards then write at most 100 times a second. */
export const COMMIT_INTERVAL_MS = 85
/** How long a claim holds its key. */
export const CLAIM_KEPT_MS = 3_600_000
const RETRY_MS = 100

/** A claim could not be written before its request's deadline. Nothing ran. */
export class ClaimError extends Error {
  override name = 'ClaimError'
}

/**
 * Claims keys in one shard.
 *
 * The head's version is the fence: a daemon that was paused and still believes itself the shard's owner updates a version that is
 * gone, gets a conflict, reads the head again and sees every claim made meanwhile. No clock and no lease protects a claim.
 */
export class ShardLog {
  readonly #store: ObjectStore
  readonly #key: string
  readonly #options: ShardLogOptions
  readonly #table = new Map<KeyHash, Claim>()
  readonly #loaded = new Set<string>()
  #garbage: string[] = []
  #head: ShardHead = EMPTY_HEAD
  #version: number | undefined
  #pending: Pending[] = []
  #writing = false
  #notBeforeMs = 0

  constructor (options: ShardLogOptions) {
    this.#store = options.store
    this.#options = options
    this.#key = `once/${options.shard}`
  }

  /** Claims held in memory. */
  get size (): number { return this.#table.size }

  /**
   * Claims a key.
   * @throws {ClaimError} When the store could not be written until `expiresAtMs`, on the clock of `Date.now`.
   */
  claim (claim: Claim, expiresAtMs: number): Promise<ClaimResult> {
    return new Promise((resolve, reject) => {
      this.#pending.push({ claim, expiresAtMs, resolve, reject })
      if (!this.#writing) this.#writeLoop()
    })
  }

  async #writeLoop (): Promise<void> {
    this.#writing = true
    while (this.#settleKnown()) {
      const waitMs = this.#notBeforeMs - steadyNow()
      if (waitMs > 0) {
        await delay(Math.min(waitMs, this.#firstExpiryMs()))
        continue
      }
      await this.#attempt()
    }
    this.#writing = false
  }

  /** Answers what the table answers and fails what is too late; true while claims remain. */
  #settleKnown (): boolean {
    const now = steadyNow()
    this.#pending = this.#pending.filter((pending) => {
      const holder = this.#version === undefined ? undefined : this.#table.get(pending.claim.key)
      if (holder) pending.resolve(judge(pending.claim, holder))
      else if (pending.expiresAtMs <= now) pending.reject(new ClaimError('Cannot claim key: the store did not answer in time'))
      else return true
      return false
    })
    return this.#pending.length > 0
  }

  #firstExpiryMs (): number {
    const first = Math.min(...this.#pending.map((pending) => pending.expiresAtMs))
    return Math.max(1, first - steadyNow())
  }

  async #attempt (): Promise<void> {
    try {
      if (this.#version === undefined) await this.#readHead()
      else await this.#writeBatch()
    } catch (err) {
      if (!(err instanceof StoreError)) this.#fail(err as Error)
      this.#notBeforeMs = steadyNow() + RETRY_MS
    }
  }

  #fail (err: Error): void {
    for (const pending of this.#pending) pending.reject(err)
    this.#pending = []
  }

  async #readHead (): Promise<void> {
    const found = await this.#store.get(this.#key)
    const marked = found && JSON.parse(found.value) as Marked<ShardHead>
    await this.#adopt(marked?.data ?? EMPTY_HEAD, found?.version ?? 0)
  }

  async #adopt (head: ShardHead, version: number): Promise<void> {
    for (const segment of head.segments) await this.#load(segment)
    for (const claim of head.recent) this.#table.set(claim.key, claim)
    this.#head = head
    this.#version = version
  }

  async #load (segment: Segment): Promise<void> {
    if (this.#loaded.has(segment.object)) return
    for (const claim of await this.#claimsOf(segment)) this.#table.set(claim.key, claim)
    this.#loaded.add(segment.object)
  }

  async #claimsOf (segment: Segment): Promise<Claim[]> {
    const found = await this.#store.get(segment.object)
    return found ? JSON.parse(found.value) as Claim[] : []
  }

  async #writeBatch (): Promise<void> {
    this.#notBeforeMs = steadyNow() + (this.#options.intervalMs ?? COMMIT_INTERVAL_MS)
    await this.#makeRoom()
    // Claims that came while this one waited may repeat a key of the table: writing them would claim the key a second time.
    if (!this.#settleKnown()) return
    const batch = firstOfEachKey(this.#pending.map((pending) => pending.claim))
    const data = append(this.#head, batch)
    const applied = await this.#replaceHead(data)
    if (!applied) return
    for (const claim of batch) this.#table.set(claim.key, claim)
    this.#options.onWrite?.(batch.length)
    this.#collectGarbage()
  }

  /** Only after the head that no longer names them is written; one that fails here stays as an unused object. */
  async #collectGarbage (): Promise<void> {
    const objects = this.#garbage.splice(0)
    for (const object of objects) {
      try {
        const found = await this.#store.get(object)
        if (found) await this.#store.remove(object, found.version)
      } catch (err) {
        if (!(err instanceof StoreError)) throw err
      }
    }
  }

  /** Replaces the head; false when somebody else did so first, and then their head is adopted. */
  async #replaceHead (data: ShardHead): Promise<boolean> {
    const result = await this.#write(data)
    if (result.applied) {
      this.#head = data
      this.#version = result.version
      return true
    }
    this.#garbage = []
    await this.#adopt(result.data ?? EMPTY_HEAD, result.found?.version ?? 0)
    return false
  }

  /**
   * An unsure write leaves the head unknown: it is read again before anything else is decided. Deciding on the head as it was before
   * would miss claims that the unsure write had made.
   */
  async #write (data: ShardHead) {
    const version = this.#version!
    try {
      return await writeSurely(this.#store, this.#key, { writeId: randomUUID(), data, version })
    } catch (err) {
      if (isStoreFailure(err, 'unsure')) this.#version = undefined
      throw err
    }
  }

  async #makeRoom (): Promise<void> {
    if (this.#head.recent.length >= SEAL_AT) await this.#seal()
    const small = mergeable(this.#head)
    if (small.length >= MERGE_AT) await this.#merge(small)
    await this.#dropOld()
  }

  async #seal (): Promise<void> {
    const object = await this.#writeSegment(this.#head.recent)
    this.#head = seal(this.#head, object)
  }

  async #merge (small: Segment[]): Promise<void> {
    const claims = (await Promise.all(small.map((segment) => this.#claimsOf(segment)))).flat()
    const object = await this.#writeSegment(claims)
    this.#garbage.push(...small.map((segment) => segment.object))
    this.#head = merge(this.#head, small, { object, count: claims.length, untilMs: newestMs(claims) })
  }

  /** Each attempt writes a new name, so a segment whose write was unsure is left unused and never half trusted. */
  async #writeSegment (claims: readonly Claim[]): Promise<string> {
    const object = `${this.#key}/${randomUUID()}`
    await this.#store.create(object, JSON.stringify(claims))
    this.#loaded.add(object)
    return object
  }

  async #dropOld (): Promise<void> {
    const keptFromMs = Date.now() - (this.#options.keptMs ?? CLAIM_KEPT_MS)
    const { head, dropped } = dropOld(this.#head, keptFromMs)
    this.#head = head
    if (dropped.length === 0) return
    this.#garbage.push(...dropped.map((segment) => segment.object))
    for (const [key, claim] of this.#table) {
      if (claim.atMs < keptFromMs) this.#table.delete(key)
    }
  }
}

/** Two requests with one key in one batch: the first claims it, the other is judged against it afterwards. */
function firstOfEachKey (claims: readonly Claim[]): Claim[] {
  const first = new Map<KeyHash, Claim>()
  for (const claim of claims) {
    if (!first.has(claim.key)) first.set(claim.key, claim)
  }
  return [...first.values()]
}
