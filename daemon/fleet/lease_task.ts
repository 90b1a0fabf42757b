/** Acquires and renews a lease stored in the object store. */
import { randomUUID } from 'node:crypto'
import type { DaemonId } from '../../core/ids/index.ts'
import { currentFencing, currentRecord, endHold, expiryMs, isLeaseRecord, isUnsucceeded, nextLeaseAction, NO_LEASE, released, recordEra, recordRead, recordReleaseSent, recordSent, type LeaseRecord, type LeaseState } from '../../core/lease/index.ts'
import { eraOf, isLater, type StoreVersion } from '../../core/store_version/index.ts'
import { delay, steadyNow } from '../../core/time/index.ts'
import { decodeValue, isTagged, StoreError, writeAndVerify, type TaggedValue, type ObjectStore } from '../../store/index.ts'
import { log } from '../log/index.ts'
import { reportTaskError } from '../tasks/index.ts'
import { LeaseActions } from './_lease_actions.ts'

/** Sent by the holder to the other contenders after each write of the lease. */
export interface LeaseAnnouncement { name: string, record: LeaseRecord, version: StoreVersion }

/** Channel between the daemons that contend for a lease. */
export interface LeasePeers {
  /** Sends an announcement to the other contenders. */
  announce (announcement: LeaseAnnouncement): void
  /** Registers a listener for the announcements of other contenders. */
  onAnnouncement (listener: (announcement: LeaseAnnouncement) => void): void
}

/** The right to perform one action in the name of the lease. */
export interface LeaseRight {
  fencing: number
  /** Aborts when the right ends before the action does. */
  signal: AbortSignal
}

/** Error of an action that was not begun, because this daemon may not act as the holder of the lease. */
export class LeaseError extends Error {
  override name = 'LeaseError'
}

/** Options of {@linkcode LeaseTask}. */
export interface LeaseTaskOptions {
  self: DaemonId
  store: ObjectStore
  /** Name of the lease. */
  name: string
  /** How long the holder may act after a renewal, in milliseconds. Default 15,000. */
  ttlMs?: number
  /** Maximum interval between reads of a lease held by another daemon, in milliseconds. Default 5,000. */
  pollIntervalMs?: number
  /** Whether this daemon contends for the lease; every contender reads it periodically. Default: always true. */
  contends? (): boolean
  /** Channel for announcements, which save waiting contenders most reads of the lease. Default: none. */
  peers?: LeasePeers
  /** Delay after a failed store call, in milliseconds. Default 1,000. */
  retryMs?: number
  /** Whether the receiver of orders rejects fencing numbers lower than the highest it has seen. Default false. */
  fenced?: boolean
  /** How long after its last action a daemon that regains the lease from another holder must wait before it acts again, in milliseconds. Default 0. */
  reacquireDelayMs?: number
}

const DEFAULT_TTL_MS = 15_000
const DEFAULT_POLL_INTERVAL_MS = 5000
const DEFAULT_RETRY_MS = 1000
/** Largest plausible divergence of the wall clock and the steady clock within a few seconds, in milliseconds; more means that the host was suspended. */
const MAX_CLOCK_DIVERGENCE_MS = 300
/**
 * Fraction of the time to live for which an announcement replaces a read; a renewal, and with it an announcement, is due after a third.
 *
 * Without announcements two waiting contenders read the lease four times a second, a fifth of all store calls of 19 daemons (80 of 433 within 20 s). When
 * announcements stop, contenders read the lease again, so that failover is not delayed.
 */
const ANNOUNCEMENT_FRACTION = 1 / 2
/** How long a holder that should no longer contend keeps the lease, in milliseconds: the membership view may change briefly. */
const STEP_DOWN_DELAY_MS = 2000

/**
 * How long the last holder may continue after its lease expired because the store is unavailable, in milliseconds.
 *
 * No daemon can acquire the lease during a store outage. Without this grace period nothing is ordered until it ends, and a series of reclaims would
 * leave no endpoint. If the store rejects only this daemon, the higher fencing number of its successor causes its orders to be rejected.
 */
const OUTAGE_GRACE_MS = 20_000

/** Contends for one lease. */
export class LeaseTask {
  readonly #options: LeaseTaskOptions
  readonly #key: string
  #state: LeaseState = NO_LEASE
  /** The last record that was known to be in force. */
  #lastRecord: LeaseRecord | undefined
  #clockOffsetMs = 0
  /** When this daemon last held a valid fencing number. At the start, the process before this one on the same host may just have held one. */
  #lastActiveAtMs = steadyNow()
  /** Earliest time to act after the lease was regained from another holder. */
  #notBeforeMs = -Infinity
  #raiseRequested = false
  /** False until the lease was read since this daemon last started to contend. */
  #hasCurrentRecord = false
  #lastContendedAtMs = -Infinity
  /** When the holder last announced a renewal. */
  #lastAnnouncementAtMs = -Infinity
  #wake: () => void = () => {}
  #stopped = false
  /** True while the lease is about to be released: actions under way end, and none begins. */
  #isYielding = false
  readonly #actions = new LeaseActions()
  /** End of the last hold, also of one that was given up, on the steady clock in milliseconds. */
  #heldUntilMs = -Infinity
  /** Resolves when the loop has ended, and with it its last store call. */
  #ended: Promise<void> = Promise.resolve()
  /** When store calls started to fail; undefined while they succeed. */
  #storeFailingSinceMs: number | undefined
  /** Called with the fencing number when this daemon becomes the holder or its number changes, and with undefined when it loses the lease. */
  onChange: (fencing: number | undefined) => void = () => {}

  constructor (options: LeaseTaskOptions) {
    this.#options = options
    this.#key = `lease/${options.name}`
    options.peers?.onAnnouncement((announcement) => this.#onAnnouncement(announcement))
    options.store.era.onRise(() => {
      this.#hasCurrentRecord = false
      this.#wake()
    })
  }

  /**
   * The fencing number for an order issued now; undefined unless this daemon may act as the holder.
   *
   * The steady clock stops while a host is suspended, so after a resume an expired lease looks valid although a successor may be acting. The wall
   * clock keeps running; the lease is not trusted once the two clocks have diverged.
   *
   * If a lease moves back and forth, two daemons would act alternately, each on a view from before the other's actions. A daemon that regains the
   * lease therefore waits first.
   *
   * The answer may change whenever the event loop runs: what takes time and cannot be undone is done with {@linkcode LeaseTask.act}.
   */
  get fencing (): number | undefined {
    const now = steadyNow()
    if (this.#stopped || this.#isYielding) return undefined
    if (Math.abs(clockOffsetMs() - this.#clockOffsetMs) > MAX_CLOCK_DIVERGENCE_MS || now < this.#notBeforeMs) return undefined
    const fencing = currentFencing(this.#state, this.#options.self, now)
    if (fencing !== undefined) this.#lastActiveAtMs = now
    return fencing
  }

  /**
   * The fencing number for urgent orders during a store outage; undefined when the lease was lost for any other reason.
   *
   * Only for idempotent orders whose receiver rejects them once a successor has issued others.
   */
  get fencingInOutage (): number | undefined {
    const { hold } = this.#state
    if (this.#options.fenced !== true || this.#storeFailingSinceMs === undefined || this.#stopped || this.#isYielding || !hold) return undefined
    if (Math.abs(clockOffsetMs() - this.#clockOffsetMs) > MAX_CLOCK_DIVERGENCE_MS) return undefined
    return this.#storeFailingSinceMs <= hold.untilMs && steadyNow() < hold.untilMs + OUTAGE_GRACE_MS ? hold.fencing : undefined
  }

  /** True while no other daemon can have acquired the lease since this one held it, also after its hold has ended and the store has returned to a copy. */
  get isUnsucceeded (): boolean {
    return Math.abs(clockOffsetMs() - this.#clockOffsetMs) <= MAX_CLOCK_DIVERGENCE_MS && isUnsucceeded(this.#state, { ttlMs: this.#options.ttlMs ?? DEFAULT_TTL_MS, now: steadyNow() })
  }

  /**
   * Performs an action in the name of the lease. The right to act is checked immediately before; the action is aborted when the right ends; and a release is sent
   * only after the action has ended, so that what it sends does not arrive after the orders of a successor.
   * @param options.inOutage Whether the fencing number for urgent orders during a store outage suffices. Default false.
   * @throws {LeaseError} If this daemon may not act now; and what the action throws.
   */
  async act<T> (action: (right: LeaseRight) => Promise<T>, { inOutage = false }: { inOutage?: boolean } = {}): Promise<T> {
    const fencing = this.fencing ?? (inOutage ? this.fencingInOutage : undefined)
    if (fencing === undefined) throw new LeaseError(`Cannot act as the holder of the lease ${this.#options.name}: this daemon does not hold it`)
    const endsAtMs = () => this.#heldUntilMs + (inOutage && this.fencingInOutage !== undefined ? OUTAGE_GRACE_MS : 0)
    return await this.#actions.run((signal) => action({ fencing, signal }), { endsAtMs })
  }

  /** Ends the grace period after a sign of a successor: the outage affects only this daemon. */
  endOutageGrace (): void {
    this.#storeFailingSinceMs = undefined
  }

  /** Starts acquiring and renewing the lease. */
  start (): void {
    this.#ended = this.#run()
  }

  /** Stops; this daemon may not act any more, and a held lease expires. */
  stop (): void {
    this.#stopped = true
    this.#wake()
  }

  /**
   * Stops and releases the lease, so that a successor does not have to wait for its expiry. This daemon may not act from the call on.
   *
   * Actions under way end first. After one whose outcome is unknown the lease is left to expire, since what was sent may still arrive. A renewal or an acquisition
   * that was in flight may be applied before the release and make it fail; the lease is then released again.
   */
  async release (): Promise<void> {
    this.stop()
    if (this.#actions.size > 0) await this.#actions.settled()
    await this.#releaseIfHeld()
    await this.#ended
    await this.#releaseIfHeld()
  }

  /**
   * Requests a higher fencing number, so that orders in flight with the current one are rejected.
   *
   * Does nothing if the receiver does not compare the numbers: it would execute the order all the same, and the lower number after the higher one would look like
   * an order of a former holder.
   */
  raiseFencing (): void {
    if (this.#options.fenced !== true) return
    this.#raiseRequested = true
    this.#wake()
  }

  async #run (): Promise<void> {
    while (!this.#stopped) {
      try {
        await this.#step()
      } catch (err) {
        reportTaskError('lease', err)
        this.#isYielding = false
        this.#hasCurrentRecord = false
        await delay(this.#options.retryMs ?? DEFAULT_RETRY_MS)
      }
    }
  }

  async #step (): Promise<void> {
    const { self } = this.#options
    if (!this.#contends()) return await this.#stepDown()
    // The lease was never read, or last read before this daemon stopped contending or the store returned to a copy: too old to act on.
    if (!this.#hasCurrentRecord) await this.#rereadOnFailure(() => this.#read())
    this.#hasCurrentRecord = true
    this.#recordEra()
    const ttlMs = this.#options.ttlMs ?? DEFAULT_TTL_MS
    const action = nextLeaseAction(this.#state, { self, now: steadyNow(), ttlMs, writeId: randomUUID(), increaseFencing: this.#raiseRequested })
    if (action.type === 'write') await this.#rereadOnFailure(() => this.#renew(action.record, action.version))
    else await this.#waitAndRead(action.ms)
  }

  #contends (): boolean {
    const contends = this.#options.contends?.() ?? true
    if (contends) this.#lastContendedAtMs = steadyNow()
    return contends || (this.#isHolder && steadyNow() - this.#lastContendedAtMs < STEP_DOWN_DELAY_MS)
  }

  get #isHolder (): boolean {
    return currentRecord(this.#state)?.holder === this.#options.self
  }

  #recordEra (): void {
    this.#state = recordEra(this.#state, this.#options.store.era.current, steadyNow())
  }

  /** Releases a lease that this daemon should no longer hold, because other daemons now know more of the work. */
  async #stepDown (): Promise<void> {
    this.#isYielding = true
    if (this.#actions.size > 0) await this.#actions.settled()
    await this.#rereadOnFailure(() => this.#writeRelease())
    this.#isYielding = false
    this.#hasCurrentRecord = false
    await delay(this.#options.pollIntervalMs ?? DEFAULT_POLL_INTERVAL_MS)
  }

  async #releaseIfHeld (): Promise<void> {
    try {
      await this.#writeRelease()
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      log('lease-call-failed', { name: this.#options.name, why: err.message })
    }
  }

  /** Writes the release of a lease that this daemon holds by the last record that it knows. The hold ends with the sending, since a successor may act from then on. */
  async #writeRelease (): Promise<void> {
    const { version } = this.#state
    const record = currentRecord(this.#state)
    if (!record || record.holder !== this.#options.self || record.ttlMs === 0) return
    const sinceUnsureMs = steadyNow() - this.#actions.lastUnsureAtMs
    if (sinceUnsureMs < expiryMs(record.ttlMs)) {
      if (!this.#state.hold) return
      this.#state = endHold(this.#state)
      log('lease-left-to-expire', { name: this.#options.name, fencing: record.fencing, sinceUnsureMs })
      return
    }
    const release = released(record, randomUUID())
    this.#state = recordReleaseSent(this.#state, release, steadyNow())
    log('lease-release-sent', { name: this.#options.name, fencing: release.fencing })
    await this.#write(release, version)
  }

  /** Waits; contenders then read the record to see whether it was renewed. The holder already knows it. */
  async #waitAndRead (ms: number): Promise<void> {
    const woken = new Promise<void>((resolve) => { this.#wake = resolve })
    await Promise.race([delay(Math.min(ms, this.#options.pollIntervalMs ?? DEFAULT_POLL_INTERVAL_MS)), woken])
    if (!this.#isHolder && !this.#stopped && !this.#announcedRecently) await this.#rereadOnFailure(() => this.#read())
  }

  get #announcedRecently (): boolean {
    return steadyNow() - this.#lastAnnouncementAtMs < (this.#options.ttlMs ?? DEFAULT_TTL_MS) * ANNOUNCEMENT_FRACTION
  }

  /** Announcements may arrive late; only versions newer than the one known count. */
  #onAnnouncement ({ name, record, version }: LeaseAnnouncement): void {
    if (name !== this.#options.name) return
    this.#options.store.era.learn(eraOf(version), record.holder)
    if (!isLater(version, this.#state.version) || this.#stopped || !this.#hasCurrentRecord) return
    this.#lastAnnouncementAtMs = steadyNow()
    this.#observe({ record, version })
    // The lease was released and can be acquired immediately.
    if (record.ttlMs === 0) this.#wake()
  }

  async #read (): Promise<void> {
    const found = await this.#options.store.get(this.#key)
    this.#observe(found && { record: decodeValue(found, isStoredLease).data, version: found.version })
  }

  async #renew (record: LeaseRecord, version: StoreVersion): Promise<void> {
    this.#state = recordSent(this.#state, record, steadyNow())
    await this.#write(record, version)
  }

  async #write (record: LeaseRecord, version: StoreVersion): Promise<void> {
    const offsetMs = clockOffsetMs()
    const result = await writeAndVerify(this.#options.store, this.#key, { writeId: record.renewal, data: record, version, isData: isLeaseRecord })
    if (!result.applied) return this.#observe(result.found && result.data ? { record: result.data, version: result.found.version } : undefined)
    if (record.fencing !== this.#state.record?.fencing) this.#raiseRequested = false
    this.#clockOffsetMs = offsetMs
    this.#observe({ record, version: result.version })
    this.#options.peers?.announce({ name: this.#options.name, record, version: result.version })
  }

  #observe (found: { record: LeaseRecord, version: StoreVersion } | undefined): void {
    const { self } = this.#options
    this.#recordEra()
    this.#state = recordRead(this.#state, found, { self, now: steadyNow() })
    if (this.#state.hold) this.#heldUntilMs = Math.max(this.#heldUntilMs, this.#state.hold.untilMs)
    const record = currentRecord(this.#state)
    const before = this.#lastRecord
    if (!record || record.fencing === before?.fencing) return
    this.#lastRecord = record
    if (record.holder === self && before && before.holder !== self) this.#notBeforeMs = this.#lastActiveAtMs + (this.#options.reacquireDelayMs ?? 0)
    log('lease-changed', { name: this.#options.name, holder: record.holder, fencing: record.fencing })
    if (record.holder === self) this.onChange(record.fencing)
    else if (before?.holder === self) {
      this.#actions.abort()
      this.onChange(undefined)
    }
  }

  /** After a failed store call, the outcome of which may be unknown, the record is read again before it is used. */
  async #rereadOnFailure (operation: () => Promise<void>): Promise<void> {
    try {
      await operation()
      this.#storeFailingSinceMs = undefined
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      this.#storeFailingSinceMs ??= steadyNow()
      log('lease-call-failed', { name: this.#options.name, why: err.message })
      if (this.#stopped) return
      await delay(this.#options.retryMs ?? DEFAULT_RETRY_MS)
      await this.#read().catch((retryErr) => { if (!(retryErr instanceof StoreError)) throw retryErr })
    }
  }
}

function isStoredLease (value: unknown): value is TaggedValue<LeaseRecord> {
  return isTagged(value, isLeaseRecord)
}

/** Offset of the wall clock from the steady clock, in milliseconds. */
function clockOffsetMs (): number {
  return Date.now() - steadyNow()
}
