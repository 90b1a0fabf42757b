/** What is known of hosts that leave, and which word of it is out of date. */
import type { HostId } from '../ids/index.ts'

/** That a host leaves. */
export interface Departure {
  /** When it is gone, in milliseconds on the steady clock. */
  goneAtMs: number
  /** Version of the registry that shows it; undefined for what anybody else told. */
  version?: number | undefined
}

/** Longer than news takes from one daemon to all others, in milliseconds. */
const RUMOUR_MS = 5000
/** How long a host that is gone is remembered, in milliseconds. */
const FORGOTTEN_MS = 600_000

/**
 * Remembers departures, whether a list shows the host or not: a list that lags shows a host again after it was missing, and as a new one it would get work.
 *
 * Word of a departure goes round among daemons long after the host may have returned. What the registry said bears its version, and is out of date where
 * the host's entry was written later; a span of time in which no word is believed would hide the next departure.
 */
export class Departures {
  readonly #gone = new Map<HostId, Departure>()
  /** Versions at which entries of living hosts were written. */
  readonly #written = new Map<HostId, number>()
  readonly #returnedAtMs = new Map<HostId, number>()

  /** A list shows a host as living, with the version at which its entry was written: after its departure it has returned. */
  shown (host: HostId, { version, now }: { version: number, now: number }): void {
    this.#written.set(host, Math.max(version, this.#written.get(host) ?? 0))
    const left = this.#gone.get(host)
    if (left?.version !== undefined && version > left.version) this.returned(host, now)
  }

  /** True for a peer's word of the time before the host returned. */
  isOld (host: HostId, { version, now }: { version: number | undefined, now: number }): boolean {
    if (version === undefined) return now - (this.#returnedAtMs.get(host) ?? -Infinity) < RUMOUR_MS
    return (this.#written.get(host) ?? -Infinity) > version
  }

  /** Notes that a host leaves, as of the latest version that anybody saw it leave at. */
  note (host: HostId, { goneAtMs, version }: Departure): void {
    const known = this.#gone.get(host)?.version
    const latest = known === undefined ? version : Math.max(known, version ?? known)
    this.#gone.set(host, { goneAtMs, version: latest })
  }

  /** The departure of a host; undefined where it has returned since, or none is known. */
  of (host: HostId): Departure | undefined { return this.#gone.get(host) }

  /** A host that was said to be gone shows that it lives. */
  returned (host: HostId, now: number): void {
    this.#returnedAtMs.set(host, now)
    this.#gone.delete(host)
  }

  /** Forgets hosts of long ago that no list shows. */
  forget (now: number, isListed: (host: HostId) => boolean): void {
    for (const [host, { goneAtMs }] of this.#gone) if (now > goneAtMs + FORGOTTEN_MS && !isListed(host)) this.#gone.delete(host)
    for (const [host, atMs] of this.#returnedAtMs) if (now > atMs + RUMOUR_MS) this.#returnedAtMs.delete(host)
    for (const host of this.#written.keys()) if (!isListed(host) && !this.#gone.has(host)) this.#written.delete(host)
  }
}
