/** Leases with fencing numbers as a pure state machine. A lease says who should work; only the fencing number protects anything. */
import type { DaemonId } from '../ids/index.ts'

/** What the store holds for a lease. */
export interface LeaseRecord {
  holder: DaemonId
  /** Grows with each new holding; orders carry it. */
  fencing: number
  /** Milliseconds that the holder may work after a renewal. */
  ttlMs: number
  /** Changes with each renewal, so that others see that the holder lives, whatever their clocks say. */
  renewal: string
}

/** What this daemon knows of the lease. */
export interface LeaseState {
  /** Version of the record that was last seen, 0 when there is none. */
  version: number
  record: LeaseRecord | undefined
  /** When this daemon first saw the record as it is, on its own clock; for its own record, when it sent it. */
  seenAtMs: number
  /** The last record that this daemon sent, and when. */
  sent: { renewal: string, atMs: number } | undefined
}

/** What to do about the lease now. */
export type LeaseAction =
  | { type: 'write', record: LeaseRecord, version: number }
  | { type: 'wait', ms: number }

/** Options of {@linkcode nextLeaseAction}. */
export interface LeaseOptions {
  self: DaemonId
  /** Milliseconds on this daemon's clock. */
  now: number
  ttlMs: number
  /** Unique text for a write. */
  writeId: string
  /** The holder gives itself a higher fencing number, so that its own earlier orders that are still under way are refused. Default false. */
  raise?: boolean
}

const RENEW_AFTER = 1 / 3
/** A lease is taken over when its record stood still for this many of its times to live: clocks may run at different speeds. */
const TAKE_OVER_AFTER = 1.5

/** The state before anything was read. */
export const NO_LEASE: LeaseState = { version: 0, record: undefined, seenAtMs: 0, sent: undefined }

/** Notes that a record is on its way to the store. */
export function sending (state: LeaseState, record: LeaseRecord, now: number): LeaseState {
  return { ...state, sent: { renewal: record.renewal, atMs: now } }
}

/**
 * Notes what was read from the store; a record that changed was renewed.
 *
 * This daemon's own record counts from when it was sent, however late it learns that it is there: the others may have seen it long before, and
 * count its time from then. One that it does not remember sending gives it no right to act.
 */
export function seen (state: LeaseState, found: { record: LeaseRecord, version: number } | undefined, at: { self: DaemonId, now: number }): LeaseState {
  if (!found) return { ...state, version: 0, record: undefined, seenAtMs: at.now }
  if (found.version === state.version) return state
  const { record, version } = found
  const own = record.renewal === state.sent?.renewal ? state.sent.atMs : -Infinity
  return { ...state, version, record, seenAtMs: record.holder === at.self ? own : at.now }
}

/**
 * Decides whether to take, renew or wait.
 *
 * A write names the version it replaces: a holder that was paused and wakes believing it still holds renews a version that is gone, and
 * finds out before its next order. Orders it gave meanwhile carry an old fencing number.
 */
export function nextLeaseAction (state: LeaseState, options: LeaseOptions): LeaseAction {
  const { self, now, ttlMs, writeId } = options
  const { record, version, seenAtMs } = state
  if (!record) return { type: 'write', record: { holder: self, fencing: 1, ttlMs, renewal: writeId }, version }
  const mine = record.holder === self
  const raise = mine && options.raise === true
  const dueAtMs = seenAtMs + record.ttlMs * (mine ? RENEW_AFTER : TAKE_OVER_AFTER)
  if (now < dueAtMs && !raise) return { type: 'wait', ms: dueAtMs - now }
  const fencing = mine && !raise ? record.fencing : record.fencing + 1
  return { type: 'write', record: { holder: self, fencing, ttlMs, renewal: writeId }, version }
}

/** The record by which a holder gives the lease up: the next to see it need not wait. */
export function released (record: LeaseRecord, writeId: string): LeaseRecord {
  return { ...record, ttlMs: 0, renewal: writeId }
}

/** The fencing number to put on an order now, or undefined when this daemon should give none. A hint: engines that check it decide. */
export function fencingNow (state: LeaseState, self: DaemonId, now: number): number | undefined {
  const { record, seenAtMs } = state
  return record?.holder === self && now < seenAtMs + record.ttlMs ? record.fencing : undefined
}
