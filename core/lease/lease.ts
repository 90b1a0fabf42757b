/**
 * Leases with fencing numbers as a pure state machine. A lease only determines who should work; protection comes from the fencing number.
 *
 * The store may return to a copy of itself that lacks the latest records of the lease. A record therefore names the era in which it was written, and one of an
 * older era gives nobody a right: its holder may have renewed it since, or another may have acquired the lease.
 */
import type { DaemonId } from '../ids/index.ts'
import { NO_VERSION, type StoreVersion } from '../store_version/index.ts'

/** Record of a lease in the store. */
export interface LeaseRecord {
  holder: DaemonId
  /** Fencing number, increased with each acquisition and sent with each order. */
  fencing: number
  /** Time to live after a renewal, in milliseconds. */
  ttlMs: number
  /** Unique to each renewal, so that other daemons see the holder is alive without comparing clocks. */
  renewal: string
  /** Era of the store in which the record was written. Default: the era in which it is read, for records of a store without eras. */
  era?: number
}

/** Returns true for a value that has the form of a record; another program may have replaced the stored one. */
export function isLeaseRecord (value: unknown): value is LeaseRecord {
  const { holder, fencing, ttlMs, renewal, era } = (value ?? {}) as Partial<LeaseRecord>
  return typeof holder === 'string' && isCount(fencing) && isCount(ttlMs) && typeof renewal === 'string' && (era === undefined || isCount(era))
}

function isCount (value: unknown): value is number {
  return Number.isFinite(value) && (value as number) >= 0
}

/** Time for which a daemon may act as the holder. It does not end when the store loses its record. */
export interface LeaseHold {
  holder: DaemonId
  fencing: number
  /** Era of the store in which the record was written. */
  era: number
  /** On this daemon's clock, in milliseconds. */
  untilMs: number
}

/** A daemon's view of the lease. */
export interface LeaseState {
  /** Store version of the record last read, or `NO_VERSION` if there is none. */
  version: StoreVersion
  record: LeaseRecord | undefined
  /** Time on this daemon's clock at which it first read the current record; for its own record, the time at which it sent it. */
  seenAtMs: number
  /** Last record that this daemon sent, and the time of sending. */
  lastSent: { renewal: string, atMs: number } | undefined
  /** Era of the store, and when this daemon learned of it. */
  era: number
  eraSeenAtMs: number
  /** This daemon's own hold; undefined if it never had one, or another daemon has the lease. */
  hold: LeaseHold | undefined
}

/** Next action on the lease. */
export type LeaseAction =
  | { type: 'write', record: LeaseRecord, version: StoreVersion }
  | { type: 'wait', ms: number }

/** Options of {@linkcode nextLeaseAction}. */
export interface LeaseOptions {
  self: DaemonId
  /** Milliseconds on this daemon's clock. */
  now: number
  ttlMs: number
  /** Unique identifier of the write, stored as its `renewal`. */
  writeId: string
  /** Increase the fencing number of a lease already held, so that the holder's own earlier orders that are still in flight are rejected. Default false. */
  increaseFencing?: boolean
}

/** Age at which the holder renews the lease, as a fraction of its time to live. */
const RENEW_AFTER_TTLS = 1 / 3
/** Age at which another daemon takes over the lease, as a multiple of its time to live; above 1 because clocks may run at different speeds. */
const TAKE_OVER_AFTER_TTLS = 1.5

/**
 * Number of fencing numbers in an era, the first of which is its era times this. The numbers of a later era are higher than all that were given before, although
 * no daemon may remember those.
 */
const FENCING_NUMBERS_PER_ERA = 2 ** 24

/** Initial state, before the store was read. */
export const NO_LEASE: LeaseState = { version: NO_VERSION, record: undefined, seenAtMs: 0, lastSent: undefined, era: 0, eraSeenAtMs: -Infinity, hold: undefined }

/** Records the era of the store. The record read before it is of no use any more. */
export function recordEra (state: LeaseState, era: number, now: number): LeaseState {
  return era > state.era ? { ...state, era, eraSeenAtMs: now } : state
}

/** Returns the record that was last read if it is of the current era, and otherwise undefined. */
export function currentRecord ({ record, era }: LeaseState): LeaseRecord | undefined {
  return record && (record.era ?? era) === era ? record : undefined
}

/** Records that a write was sent to the store. */
export function recordSent (state: LeaseState, record: LeaseRecord, now: number): LeaseState {
  return { ...state, lastSent: { renewal: record.renewal, atMs: now } }
}

/**
 * Records that a release was sent to the store. It may be in force at once, so that the hold ends here and not with the answer. Renewals that were sent before it
 * give no right any more: they are not the last record that was sent.
 */
export function recordReleaseSent (state: LeaseState, record: LeaseRecord, now: number): LeaseState {
  return endHold(recordSent(state, record, now))
}

/** Ends this daemon's hold; another daemon may have acquired the lease, or may do so now. */
export function endHold (state: LeaseState): LeaseState {
  return { ...state, hold: undefined }
}

/** Returns how long after its last renewal a lease can be acquired by another daemon, in milliseconds. */
export function expiryMs (ttlMs: number): number {
  return ttlMs * TAKE_OVER_AFTER_TTLS
}

/**
 * Records what was read from the store. A changed version means that the lease was renewed.
 *
 * The validity of this daemon's own record starts when it was sent, even if the daemon learns late that the write succeeded, since other daemons may
 * have read it long before and count from then. An own record that the daemon does not remember sending gives it no right to act. A record of an older era, or
 * none in a new one, neither gives this daemon a right nor takes one from it.
 */
export function recordRead (state: LeaseState, found: { record: LeaseRecord, version: StoreVersion } | undefined, at: { self: DaemonId, now: number }): LeaseState {
  if (!found) return { ...state, version: NO_VERSION, record: undefined, seenAtMs: at.now, hold: state.hold?.era === state.era ? undefined : state.hold }
  if (found.version === state.version) return state
  const { record, version } = found
  const sentAtMs = record.renewal === state.lastSent?.renewal ? state.lastSent.atMs : -Infinity
  const isOwn = record.holder === at.self
  const next: LeaseState = { ...state, version, record, seenAtMs: isOwn ? sentAtMs : at.now }
  if (!currentRecord(next)) return next
  return { ...next, hold: isOwn && record.ttlMs > 0 ? { holder: at.self, fencing: record.fencing, era: state.era, untilMs: sentAtMs + record.ttlMs } : undefined }
}

/**
 * Decides whether to acquire or renew the lease, or to wait.
 *
 * Writes are conditional on the version that they replace. A holder that resumes after a pause and believes that it still holds the lease fails to renew
 * it, and so learns of the loss before its next order. Orders that it sent in the meantime carry an old fencing number.
 */
export function nextLeaseAction (state: LeaseState, options: LeaseOptions): LeaseAction {
  const { self, now, ttlMs, writeId } = options
  const { version, seenAtMs } = state
  const record = currentRecord(state)
  if (!record) return nextActionWithoutRecord(state, options)
  const isHolder = record.holder === self
  const raise = isHolder && options.increaseFencing === true
  const dueAtMs = seenAtMs + record.ttlMs * (isHolder ? RENEW_AFTER_TTLS : TAKE_OVER_AFTER_TTLS)
  if (now < dueAtMs && !raise) return { type: 'wait', ms: dueAtMs - now }
  const fencing = isHolder && !raise ? record.fencing : nextFencing(state)
  return { type: 'write', record: { holder: self, fencing, ttlMs, renewal: writeId, ...eraField(state) }, version }
}

/**
 * Decides on a lease without a record of the current era. The holder from before the return of the store claims it at once; others wait until the hold of any
 * holder from before has ended, counted from when they learned of the era.
 */
function nextActionWithoutRecord (state: LeaseState, { self, now, ttlMs, writeId }: LeaseOptions): LeaseAction {
  const { version, record, eraSeenAtMs } = state
  const dueAtMs = currentFencing(state, self, now) === undefined ? eraSeenAtMs + Math.max(ttlMs, record?.ttlMs ?? 0) * TAKE_OVER_AFTER_TTLS : now
  if (now < dueAtMs) return { type: 'wait', ms: dueAtMs - now }
  return { type: 'write', record: { holder: self, fencing: nextFencing(state), ttlMs, renewal: writeId, ...eraField(state) }, version }
}

function nextFencing ({ record, hold, era }: LeaseState): number {
  return Math.max(record?.fencing ?? 0, hold?.fencing ?? 0, era * FENCING_NUMBERS_PER_ERA) + 1
}

function eraField ({ era }: LeaseState): Pick<LeaseRecord, 'era'> {
  return era === 0 ? {} : { era }
}

/** Returns true while no other daemon can have acquired the lease since this daemon's last hold: others wait longer than a hold lasts. */
export function isUnsucceeded ({ hold }: LeaseState, { ttlMs, now }: Pick<LeaseOptions, 'ttlMs' | 'now'>): boolean {
  return hold !== undefined && now < hold.untilMs + (TAKE_OVER_AFTER_TTLS - 1) * ttlMs
}

/** Returns the record by which a holder releases the lease; other daemons can then acquire it without waiting. */
export function released (record: LeaseRecord, writeId: string): LeaseRecord {
  return { ...record, ttlMs: 0, renewal: writeId }
}

/**
 * Returns the fencing number for an order sent now, or undefined if this daemon should send none.
 *
 * This is only a hint. Engines that check fencing numbers have the final decision.
 */
export function currentFencing (state: LeaseState, self: DaemonId, now: number): number | undefined {
  const { hold } = state
  return hold?.holder === self && now < hold.untilMs ? hold.fencing : undefined
}
