/** Detects registry entries that expired because the registry was unavailable rather than because their endpoints left. */

import { eraOf, isLater, NO_VERSION, type StoreVersion } from '../store_version/index.ts'

/** State of one entry in a registry snapshot. */
export interface EntryState {
  /** Registry version at which the entry was last written. */
  version: StoreVersion
  /** True if the entry says that its endpoint is leaving, or names no endpoint. Such an entry is not expected to return. */
  leaving: boolean
}

/** All entries of the registry at one version. */
export interface RegistrySnapshot {
  entries: ReadonlyMap<string, EntryState>
  /** Registry version of the snapshot. */
  version: StoreVersion
  /** True for the first snapshot after a failed call. */
  afterFailure: boolean
  /** Time of the snapshot in milliseconds on the steady clock. */
  now: number
}

/** Classification of missing and returned entries, by name. */
export interface VanishedEntries {
  /** Entries newly held because they may have expired in an outage. */
  held: string[]
  /** Why an outage is suspected. */
  why: string
  /** Held entries that were written again. */
  restored: string[]
  /** Entries whose endpoints have left. */
  gone: string[]
}

/** Options of {@linkcode LapsedEntries}. */
export interface LapsedEntriesOptions {
  /** Interval at which an endpoint renews its entry, in milliseconds. Default 1,200. */
  renewEveryMs?: number
  /** Time in which an endpoint that left may still get new work, in milliseconds. Default 2,000. */
  leavingMs?: number
}

const DEFAULT_RENEW_EVERY_MS = 1200
const DEFAULT_LEAVING_MS = 2000

/** Maximum time that entries are held after the registry returns, in milliseconds. Endpoints renew lapsed entries within about two seconds. */
const MAX_HOLD_MS = 2500
/** Fraction of `leavingMs` for which entries are held. The rest covers updates and requests in transit. */
const HOLD_FRACTION = 0.9
/** Renewals missed before an entry can lapse. It lapses after three in a row, and the first may have been due just when the registry became unavailable. */
const MIN_MISSED_RENEWALS = 2
/** Fraction of entries whose simultaneous loss indicates an outage. A failure domain out of two or three leaves with notices, and a crash takes fewer endpoints. */
const MASS_LOSS_FRACTION = 0.5
/** Minimum number of entries lost at once that indicates an outage. */
const MIN_MASS_LOSS = 3

/**
 * Holds missing entries for a limited time if the registry may have lost them while their endpoints are live.
 *
 * When the registry is unavailable for longer than entries last, all of them are missing when it returns. Without the hold, every caller would be turned away
 * until the endpoints have written their entries again. A watch that hung during the outage reports no failure, but the loss of most entries at once.
 * Endpoints that do die during the hold are detected because they do not respond.
 *
 * Only entries that the outage itself can have removed are held: most entries lapsed in it, and the entry was not written since. When the registry has returned
 * to a copy of itself, that is each entry which the copy lacks, until its endpoint writes it again. The hold starts when the
 * registry returns and ends at a fixed time, whichever entries return or leave in between. It never exceeds the time in which a leaving endpoint may get new work.
 */
export class LapsedEntries {
  readonly #options: LapsedEntriesOptions
  /** Entries of the last snapshot. */
  #present: ReadonlyMap<string, EntryState> = new Map()
  /** Held entries and the time until which each is held. */
  readonly #held = new Map<string, number>()
  #lastSnapshot = { version: NO_VERSION, atMs: -Infinity }
  /** Last suspected outage. Entries written after `sinceVersion` were not affected by it. */
  #outage = { why: 'none', sinceVersion: NO_VERSION, untilMs: -Infinity }

  constructor (options: LapsedEntriesOptions = {}) {
    this.#options = options
  }

  /** Processes a snapshot and classifies the entries that are missing from it or have returned. */
  update (snapshot: RegistrySnapshot): VanishedEntries {
    const { entries, now } = snapshot
    const missing = [...this.#present].filter(([name]) => !entries.has(name))
    const unexpectedlyMissing = missing.filter(([, { leaving }]) => !leaving)
    this.#detectOutage(snapshot, unexpectedlyMissing.length)
    const back = this.held.filter((name) => entries.has(name))
    for (const name of back) this.#held.delete(name)
    const expired = this.removeOverdue(now)
    const held = unexpectedlyMissing.filter(([, entry]) => this.#mayHaveLapsed(entry, now)).map(([name]) => name)
    for (const name of held) this.#held.set(name, this.#outage.untilMs)
    this.#present = entries
    this.#lastSnapshot = { version: snapshot.version, atMs: now }
    const departed = missing.map(([name]) => name).filter((name) => !this.#held.has(name))
    return { held, why: this.#outage.why, restored: back, gone: [...expired, ...departed] }
  }

  /** Names of the held entries. */
  get held (): string[] { return [...this.#held.keys()] }

  /** When the first held entry expires, in milliseconds on the steady clock; undefined if none is held. */
  get untilMs (): number | undefined {
    return this.#held.size > 0 ? Math.min(...this.#held.values()) : undefined
  }

  /** Stops holding the entries that did not return in time and returns their names. */
  removeOverdue (now: number): string[] {
    const expired = this.held.filter((name) => this.#held.get(name)! <= now)
    for (const name of expired) this.#held.delete(name)
    return expired
  }

  #detectOutage (snapshot: RegistrySnapshot, missingCount: number): void {
    const { version, atMs } = this.#lastSnapshot
    const sinceLastSnapshotMs = snapshot.now - atMs
    const wasUnavailable = snapshot.afterFailure && sinceLastSnapshotMs >= MIN_MISSED_RENEWALS * (this.#options.renewEveryMs ?? DEFAULT_RENEW_EVERY_MS) && this.#mostLapsed(snapshot.entries)
    const isMassLoss = this.#isMassLoss(missingCount)
    const hasReturned = atMs !== -Infinity && eraOf(snapshot.version) > eraOf(version)
    if (!wasUnavailable && !isMassLoss && !hasReturned) return
    const untilMs = snapshot.now + Math.min(MAX_HOLD_MS, HOLD_FRACTION * (this.#options.leavingMs ?? DEFAULT_LEAVING_MS))
    this.#outage = { why: hasReturned ? 'the store returned to a copy' : isMassLoss ? 'most entries vanished' : 'calls had failed', sinceVersion: version, untilMs }
    // Nothing could be written during the outage, or what was written is lost, so entries held since before it get the same time as the others.
    if (wasUnavailable || hasReturned) for (const name of this.#held.keys()) this.#held.set(name, untilMs)
  }

  #isMassLoss (missingCount: number): boolean {
    return missingCount >= MIN_MASS_LOSS && missingCount >= this.#activeEntries.length * MASS_LOSS_FRACTION
  }

  /** An outage removes most entries or none. If most are unchanged, only the connection was lost. */
  #mostLapsed (entries: RegistrySnapshot['entries']): boolean {
    const lapsed = this.#activeEntries.filter(([name, { version }]) => entries.get(name)?.version !== version)
    return lapsed.length > this.#activeEntries.length * MASS_LOSS_FRACTION || this.#activeEntries.length === 0
  }

  get #activeEntries (): Array<[string, EntryState]> {
    return [...this.#present].filter(([, { leaving }]) => !leaving)
  }

  /** An entry written after the outage shows that its endpoint reached the registry. If it is missing later, the endpoint has left. */
  #mayHaveLapsed (entry: EntryState, now: number): boolean {
    return now < this.#outage.untilMs && !isLater(entry.version, this.#outage.sinceVersion)
  }
}
