/** Writes one shard of the claim log. Claims are collected briefly and written in one conditional update. */
import { randomUUID } from 'node:crypto'
import {
  EMPTY_HEAD, MERGE_THRESHOLD, SEAL_THRESHOLD, append, dropOld, resolveClaim, merge, mergeable, newestMs, seal,
  type Claim, type ClaimResult, type KeyHash, type Segment, type ShardHead
} from '../../core/once/index.ts'
import { NO_VERSION, type StoreVersion } from '../../core/store_version/index.ts'
import { decodeValue, isStoreFailure, isTagged, StoreError, writeAndVerify, type TaggedValue, type ObjectStore } from '../../store/index.ts'
import { delay, steadyNow } from '../../core/time/index.ts'
import { guarded } from '../tasks/index.ts'

/** Options of {@linkcode ShardLog}. */
export interface ShardLogOptions {
  store: ObjectStore
  shard: number
  /** Shortest time between two writes, in milliseconds. Default: {@linkcode COMMIT_INTERVAL_MS}. */
  intervalMs?: number
  /** How long a claim is kept, in milliseconds. Default: {@linkcode CLAIM_KEPT_MS}. */
  keptMs?: number
  /** Called after each successful write with the number of claims written, for metrics. */
  onWrite?: (claims: number) => void
}

interface Pending { claim: Claim, expiresAtMs: number, resolve (result: ClaimResult): void, reject (err: Error): void }

/** Default shortest time between two writes of a shard, in milliseconds: keeps 8 shards together under 100 writes per second. */
export const COMMIT_INTERVAL_MS = 85
/** Default time that a claim holds its key, in milliseconds: one hour. */
export const CLAIM_KEPT_MS = 3_600_000
const RETRY_DELAY_MS = 100

/** Thrown when a claim could not be written before its request's deadline. The request has not been run in that case. */
export class ClaimError extends Error {
  override name = 'ClaimError'
}

/**
 * Claims keys in one shard.
 *
 * Writers are fenced by the version of the head. A daemon that was paused and still considers itself the shard's owner gets a conflict
 * when it updates an outdated version. It then reads the head again and sees every claim made meanwhile. Claims do not depend on clocks or leases.
 */
export class ShardLog {
  readonly #store: ObjectStore
  readonly #key: string
  readonly #options: ShardLogOptions
  readonly #claims = new Map<KeyHash, Claim>()
  readonly #loadedSegments = new Set<string>()
  #garbage: string[] = []
  #head: ShardHead = EMPTY_HEAD
  #version: StoreVersion | undefined
  #pending: Pending[] = []
  #writing = false
  #nextCallAtMs = 0

  constructor (options: ShardLogOptions) {
    this.#store = options.store
    this.#options = options
    this.#key = `once/${options.shard}`
  }

  /** Number of claims held in memory. */
  get size (): number { return this.#claims.size }

  /**
   * Claims a key.
   * @param expiresAtMs Deadline in milliseconds on the steady clock.
   * @throws {ClaimError} If the claim could not be written by `expiresAtMs`.
   */
  claim (claim: Claim, expiresAtMs: number): Promise<ClaimResult> {
    return new Promise((resolve, reject) => {
      this.#pending.push({ claim, expiresAtMs, resolve, reject })
      if (!this.#writing) this.#writeLoop()
    })
  }

  async #writeLoop (): Promise<void> {
    this.#writing = true
    while (this.#resolveKnown()) {
      const waitMs = this.#nextCallAtMs - steadyNow()
      if (waitMs > 0) {
        await delay(Math.min(waitMs, this.#firstExpiryMs()))
        continue
      }
      await this.#readOrWrite()
    }
    this.#writing = false
  }

  /** Resolves claims whose key is already claimed and rejects expired ones. Returns true if any are left. */
  #resolveKnown (): boolean {
    const now = steadyNow()
    this.#pending = this.#pending.filter((pending) => {
      const holder = this.#version === undefined ? undefined : this.#claims.get(pending.claim.key)
      if (holder) pending.resolve(resolveClaim(pending.claim, holder))
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

  async #readOrWrite (): Promise<void> {
    try {
      if (this.#version === undefined) await this.#readHead()
      else await this.#writeBatch()
    } catch (err) {
      if (!(err instanceof StoreError)) this.#rejectPending(err as Error)
      this.#nextCallAtMs = steadyNow() + RETRY_DELAY_MS
    }
  }

  #rejectPending (err: Error): void {
    for (const pending of this.#pending) pending.reject(err)
    this.#pending = []
  }

  async #readHead (): Promise<void> {
    const found = await this.#store.get(this.#key)
    await this.#loadHead(found ? decodeValue(found, isStoredHead).data : EMPTY_HEAD, found?.version ?? NO_VERSION)
  }

  async #loadHead (head: ShardHead, version: StoreVersion): Promise<void> {
    for (const segment of head.segments) await this.#loadSegment(segment)
    for (const claim of head.recent) this.#claims.set(claim.key, claim)
    this.#head = head
    this.#version = version
  }

  async #loadSegment (segment: Segment): Promise<void> {
    if (this.#loadedSegments.has(segment.object)) return
    for (const claim of await this.#readSegment(segment)) this.#claims.set(claim.key, claim)
    this.#loadedSegments.add(segment.object)
  }

  async #readSegment (segment: Segment): Promise<Claim[]> {
    const found = await this.#store.get(segment.object)
    return found ? decodeValue(found, isClaims) : []
  }

  async #writeBatch (): Promise<void> {
    this.#nextCallAtMs = steadyNow() + (this.#options.intervalMs ?? COMMIT_INTERVAL_MS)
    await this.#compact()
    // Claims that arrived meanwhile may repeat a key that is already claimed. Writing them would claim the key a second time.
    if (!this.#resolveKnown()) return
    const batch = firstOfEachKey(this.#pending.map((pending) => pending.claim))
    const data = append(this.#head, batch)
    const applied = await this.#replaceHead(data)
    if (!applied) return
    for (const claim of batch) this.#claims.set(claim.key, claim)
    this.#options.onWrite?.(batch.length)
    guarded('shard-log', () => this.#collectGarbage())()
  }

  /**
   * Deletes unreferenced segments. Must run only after the head that no longer names them is written. A segment whose deletion fails stays as
   * an unused object.
   */
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

  /** Replaces the head. Returns false if another writer was first, after loading the head that it wrote. */
  async #replaceHead (data: ShardHead): Promise<boolean> {
    const result = await this.#writeHead(data)
    if (result.applied) {
      this.#head = data
      this.#version = result.version
      return true
    }
    this.#garbage = []
    await this.#loadHead(result.data ?? EMPTY_HEAD, result.found?.version ?? NO_VERSION)
    return false
  }

  /**
   * Writes the head. If the outcome of the write is unknown, the version is discarded, so that the head is read again before any further claim is
   * decided. Deciding by the previous head would miss claims that the write may have made.
   */
  async #writeHead (data: ShardHead) {
    const version = this.#version!
    try {
      return await writeAndVerify(this.#store, this.#key, { writeId: randomUUID(), data, version, isData: isHead })
    } catch (err) {
      if (isStoreFailure(err, 'unsure')) this.#version = undefined
      throw err
    }
  }

  async #compact (): Promise<void> {
    if (this.#head.recent.length >= SEAL_THRESHOLD) await this.#seal()
    const small = mergeable(this.#head)
    if (small.length >= MERGE_THRESHOLD) await this.#merge(small)
    await this.#dropOld()
  }

  async #seal (): Promise<void> {
    const object = await this.#writeSegment(this.#head.recent)
    this.#head = seal(this.#head, object)
  }

  async #merge (small: Segment[]): Promise<void> {
    const claims = (await Promise.all(small.map((segment) => this.#readSegment(segment)))).flat()
    const object = await this.#writeSegment(claims)
    this.#garbage.push(...small.map((segment) => segment.object))
    this.#head = merge(this.#head, small, { object, count: claims.length, untilMs: newestMs(claims) })
  }

  /** Writes a segment under a new name on each attempt, so that a segment whose write has an unknown outcome is never used. */
  async #writeSegment (claims: readonly Claim[]): Promise<string> {
    const object = `${this.#key}/${randomUUID()}`
    await this.#store.create(object, JSON.stringify(claims))
    this.#loadedSegments.add(object)
    return object
  }

  async #dropOld (): Promise<void> {
    const keptFromMs = Date.now() - (this.#options.keptMs ?? CLAIM_KEPT_MS)
    const { head, dropped } = dropOld(this.#head, keptFromMs)
    this.#head = head
    if (dropped.length === 0) return
    this.#garbage.push(...dropped.map((segment) => segment.object))
    for (const [key, claim] of this.#claims) {
      if (claim.atMs < keptFromMs) this.#claims.delete(key)
    }
  }
}

/** Returns the first claim of each key. Later claims of a key in the same batch are compared with the first one after it is written. */
function firstOfEachKey (claims: readonly Claim[]): Claim[] {
  const first = new Map<KeyHash, Claim>()
  for (const claim of claims) {
    if (!first.has(claim.key)) first.set(claim.key, claim)
  }
  return [...first.values()]
}

/** A head of another form must not pass for an empty one: its claims would be made a second time. */
function isStoredHead (value: unknown): value is TaggedValue<ShardHead> {
  return isTagged(value, isHead)
}

function isHead (value: unknown): value is ShardHead {
  const { recent, segments } = (value ?? {}) as Partial<ShardHead>
  return isClaims(recent) && Array.isArray(segments) && segments.every((segment: Partial<Segment> | null) => typeof segment?.object === 'string' && Number.isFinite(segment.count) && Number.isFinite(segment.untilMs))
}

function isClaims (value: unknown): value is Claim[] {
  return Array.isArray(value) && value.every((claim: Partial<Claim> | null) => typeof claim?.key === 'string' && Number.isFinite(claim.atMs))
}
