/** Tracks hosts that are leaving and detects outdated reports about them. */
import type { HostId } from '../ids/index.ts'
import { eraOf, isLater, later, type StoreVersion } from '../store_version/index.ts'

/** A host that is leaving. */
export interface Departure {
  /** When the host will be gone, in milliseconds on the steady clock. */
  goneAtMs: number
  /** Registry version that shows the departure; undefined if it was reported by another source. */
  version?: StoreVersion | undefined
  /** True if the endpoint itself announced it: it then holds until its process is replaced, however often its entry is written. Default: false. */
  final?: boolean
}

/** Number of eras of the store for which the latest entry of a live host is kept. */
const KEPT_ERAS = 2
/** Upper bound of the time that gossip takes to reach all daemons, in milliseconds. */
const GOSSIP_MS = 5000
/** How long the departure of a host is kept after the host is gone, in milliseconds. */
const RETENTION_MS = 600_000

/**
 * Keeps departures of hosts, including hosts that are not listed: a stale list may show a host again after it was missing, and it would get work as if it were
 * new.
 *
 * Gossip about a departure may arrive long after the host has returned. A report from the registry carries the registry's version and is outdated if the
 * host's entry was written later. Ignoring all reports for a fixed time instead would hide the next departure.
 *
 * Both hold within one era of the store. After a return to a copy, the list may show a host as live that has left since the copy was taken: a departure of an
 * older era ends with the host's process.
 */
export class Departures {
  readonly #departures = new Map<HostId, Departure>()
  /** Versions at which the entries of live hosts were last written, one for each of the latest eras. */
  readonly #liveEntryVersions = new Map<HostId, readonly StoreVersion[]>()
  readonly #returnedAtMs = new Map<HostId, number>()

  /** Records that a list shows a host as live, with the version at which its entry was written. If that is later than its departure, in the same era, the host has returned. */
  recordLive (host: HostId, { version, now }: { version: StoreVersion, now: number }): void {
    this.#recordEntry(host, version)
    const departure = this.#departures.get(host)
    if (departure?.version !== undefined && departure.final !== true && isLaterInEra(version, departure.version)) this.recordReturn(host, now)
  }

  /** Returns whether a peer's report of a departure dates from before the host returned. */
  isOutdated (host: HostId, { version, now }: { version: StoreVersion | undefined, now: number }): boolean {
    if (version === undefined) return now - (this.#returnedAtMs.get(host) ?? -Infinity) < GOSSIP_MS
    return (this.#liveEntryVersions.get(host) ?? []).some((live) => isLaterInEra(live, version))
  }

  /** Records a departure and keeps the latest registry version reported for it. A final departure stays final. */
  record (host: HostId, { goneAtMs, version, final }: Departure): void {
    const known = this.#departures.get(host)
    const latestVersion = known?.version === undefined ? version : later(known.version, version ?? known.version)
    this.#departures.set(host, { goneAtMs, version: latestVersion, ...((final === true || known?.final === true) && { final: true }) })
  }

  /** Returns the departure of a host; undefined if none is known or the host has returned. */
  of (host: HostId): Departure | undefined { return this.#departures.get(host) }

  /** Records that a host reported as gone is live. */
  recordReturn (host: HostId, now: number): void {
    this.#returnedAtMs.set(host, now)
    this.#departures.delete(host)
  }

  #recordEntry (host: HostId, version: StoreVersion): void {
    const known = this.#liveEntryVersions.get(host) ?? []
    const latest = known.filter((each) => eraOf(each) === eraOf(version)).reduce(later, version)
    const others = known.filter((each) => eraOf(each) !== eraOf(version))
    this.#liveEntryVersions.set(host, [...others, latest].slice(-KEPT_ERAS))
  }

  /** Removes expired records of hosts that are not listed. */
  prune (now: number, isListed: (host: HostId) => boolean): void {
    for (const [host, { goneAtMs }] of this.#departures) if (now > goneAtMs + RETENTION_MS && !isListed(host)) this.#departures.delete(host)
    for (const [host, atMs] of this.#returnedAtMs) if (now > atMs + GOSSIP_MS) this.#returnedAtMs.delete(host)
    for (const host of this.#liveEntryVersions.keys()) if (!isListed(host) && !this.#departures.has(host)) this.#liveEntryVersions.delete(host)
  }
}

function isLaterInEra (a: StoreVersion, b: StoreVersion): boolean {
  return eraOf(a) === eraOf(b) && isLater(a, b)
}
