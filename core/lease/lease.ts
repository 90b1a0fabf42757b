/** Leases with fencing numbers as a pure state machine. A lease only determines who should work; protection comes from the fencing number. */
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

/** Initial state, before the store was read. */
export const NO_LEASE: LeaseState = { version: NO_VERSION, record: undefined, seenAtMs: 0, lastSent: undefined }

/** Records that a write was sent to the store. */
export function recordSent (state: LeaseState, record: LeaseRecord, now: number): LeaseState {
  return { ...state, lastSent: { renewal: record.renewal, atMs: now } }
}

/**
 * Records what was read from the store. A changed version means that the lease was renewed.
 *
 * The validity of this daemon's own record starts when it was sent, even if the daemon learns late that the write succeeded, since other daemons may
 * have read it long before and count from then. An own record that the daemon does not remember sending gives it no right to act.
 */
export function recordRead (state: LeaseState, found: { record: LeaseRecord, version: StoreVersion } | undefined, at: { self: DaemonId, now: number }): LeaseState {
  if (!found) return { ...state, version: NO_VERSION, record: undefined, seenAtMs: at.now }
  if (found.version === state.version) return state
  const { record, version } = found
  const sentAtMs = record.renewal === state.lastSent?.renewal ? state.lastSent.atMs : -Infinity
  return { ...state, version, record, seenAtMs: record.holder === at.self ? sentAtMs : at.now }
}

/**
 * Decides whether to acquire or renew the lease, or to wait.
 *
 * Writes are conditional on the version that they replace. A holder that resumes after a pause and believes that it still holds the lease fails to renew
 * it, and so learns of the loss before its next order. Orders that it sent in the meantime carry an old fencing number.
 */
export function nextLeaseAction (state: LeaseState, options: LeaseOptions): LeaseAction {
  const { self, now, ttlMs, writeId } = options
  const { record, version, seenAtMs } = state
  if (!record) return { type: 'write', record: { holder: self, fencing: 1, ttlMs, renewal: writeId }, version }
  const isHolder = record.holder === self
  const raise = isHolder && options.increaseFencing === true
  const dueAtMs = seenAtMs + record.ttlMs * (isHolder ? RENEW_AFTER_TTLS : TAKE_OVER_AFTER_TTLS)
  if (now < dueAtMs && !raise) return { type: 'wait', ms: dueAtMs - now }
  const fencing = isHolder && !raise ? record.fencing : record.fencing + 1
  return { type: 'write', record: { holder: self, fencing, ttlMs, renewal: writeId }, version }
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
  const { record, seenAtMs } = state
  return record?.holder === self && now < seenAtMs + record.ttlMs ? record.fencing : undefined
}
