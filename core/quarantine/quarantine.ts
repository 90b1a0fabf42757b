/** Decides which requests are quarantined because they crash the endpoints that run them. */
import type { EndpointId, Fingerprint } from '../ids/index.ts'
import { attributeCrashes, MIN_CRASHES } from './crash_attribution.ts'
import { CrashRecords } from './crash_records.ts'
import type { CrashReport } from './crash_report.ts'

/** A quarantined request. */
export interface HeldRequest {
  request: Fingerprint
  /** Crashes that the request may have caused, with their times in milliseconds on the daemon's clock. */
  crashes: Array<{ endpoint: EndpointId, atMs: number }>
  /** End of the quarantine, in milliseconds on the daemon's clock. */
  untilMs: number
}

/** Time from the last crash of a request until its quarantine ends, in milliseconds. */
const QUARANTINE_MS = 3_600_000
/** Time after a crash for which the requests that were running remain suspects, in milliseconds. */
const SUSPECT_TTL_MS = 600_000
/** A request answered within this time before a crash did not cause it, in milliseconds. */
const RECENT_ANSWER_MS = 10_000
/** Maximum number of recorded suspects, in addition to quarantined requests. */
const MAX_SUSPECTS = 2000
/** Maximum number of recorded answered requests. */
const MAX_ANSWERED = 4096

/** Known crashes, and the requests that are quarantined because of them, on one daemon. */
export class Quarantine {
  readonly #records = new CrashRecords()
  /** Time of the last answer to each request, in milliseconds, least recent first. */
  readonly #answeredAt = new Map<Fingerprint, number>()
  #held = new Map<Fingerprint, HeldRequest>()

  /** Requests currently in quarantine. */
  get held (): ReadonlyMap<Fingerprint, HeldRequest> { return this.#held }

  /** Returns all known crashes, to initialise another daemon. */
  snapshot (): CrashReport[] {
    return this.#records.snapshot()
  }

  /** Records a crash detected by this daemon and returns the changes to share with others. */
  crashed (crash: { endpoint: EndpointId, aboard: readonly Fingerprint[] }, now: number): CrashReport[] {
    const aboard = crash.aboard.filter((request) => now - (this.#answeredAt.get(request) ?? -Infinity) > RECENT_ANSWER_MS)
    return this.merge([{ endpoint: crash.endpoint, atMs: now, aboard, cleared: [] }])
  }

  /** Records that an endpoint answered a request and returns the changes to share with others. */
  answered (request: Fingerprint, now: number): CrashReport[] {
    this.#answeredAt.delete(request)
    this.#answeredAt.set(request, now)
    if (this.#answeredAt.size > MAX_ANSWERED) this.#answeredAt.delete(this.#answeredAt.keys().next().value!)
    return this.clear(request)
  }

  /** Clears a request of all crashes so far and returns the changes to share with others. */
  clear (request: Fingerprint): CrashReport[] {
    const added = this.#records.markCleared(request)
    if (added.length > 0) this.#updateHeld()
    return added
  }

  /** Merges reports of another daemon and returns the parts that were not known. */
  merge (reports: readonly CrashReport[]): CrashReport[] {
    const added = this.#records.merge(reports)
    const affectsHeld = added.some(({ aboard, cleared }) => cleared.length > 0 || aboard.some((request) => this.#records.crashesOf(request).size >= MIN_CRASHES))
    if (affectsHeld) this.#updateHeld()
    this.#records.limit(MAX_SUSPECTS, (request) => this.#held.has(request))
    return added
  }

  /** Removes expired suspects and quarantined requests. */
  prune (now: number): void {
    this.#records.prune((request, crashedAtMs) => now < (this.#held.get(request)?.untilMs ?? crashedAtMs + SUSPECT_TTL_MS))
    this.#updateHeld()
  }

  #updateHeld (): void {
    const culprits = this.#records.hasRequestWithCrashes(MIN_CRASHES) ? [...attributeCrashes(this.#records.suspects())] : []
    this.#held = new Map(culprits.map((request) => {
      const crashes = [...this.#records.crashesOf(request)].map((endpoint) => ({ endpoint, atMs: this.#records.atMs(endpoint)! }))
      return [request, { request, crashes, untilMs: Math.max(...crashes.map(({ atMs }) => atMs)) + QUARANTINE_MS }]
    }))
  }
}
