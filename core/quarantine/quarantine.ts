/** Decides which requests are quarantined because they, or parts of their prompts, crash the endpoints that run them. */
import type { EndpointId, EndpointVersion, Fingerprint, PartId, Suspect } from '../ids/index.ts'
import { attributeCrashes, MIN_CRASHES } from './crash_attribution.ts'
import { CrashRecords, type RecordedCrash } from './crash_records.ts'
import type { CrashedRun, CrashPlace, CrashReport } from './crash_report.ts'
import { attributeToParts, SETTLE_MS } from './part_attribution.ts'
import { isPart, partId, requestsAmong } from './part_id.ts'

/** A quarantined request, or the quarantined part of the prompts of requests. */
export interface HeldSuspect {
  suspect: Suspect
  /** Crashes that the suspect may have caused, with their times in milliseconds on the daemon's clock. */
  crashes: Array<{ endpoint: EndpointId, atMs: number }>
  /** End of the quarantine, in milliseconds on the daemon's clock. */
  untilMs: number
  /** What is known of these crashes and this suspect, to restore the quarantine elsewhere. */
  evidence: CrashReport[]
}

/** What the quarantine distinguishes requests by. */
export interface RequestSuspects {
  fingerprint (): Fingerprint
  /** Parts of its prompt that other requests may share. */
  parts: readonly PartId[]
}

/** An endpoint's crash, as this daemon detected it. */
export interface DetectedCrash {
  endpoint: EndpointId
  aboard: readonly Fingerprint[]
  place?: CrashPlace | undefined
  runs?: CrashedRun[] | undefined
}

/** Options of {@linkcode Quarantine.answered}. */
export interface AnsweredOptions {
  /** Parts of the request's prompt that other requests may share. Default: none. */
  parts?: readonly PartId[]
  /** Version of the endpoint that answered. Default: not known. */
  version?: EndpointVersion | undefined
}

/** Time from the last crash of a suspect until its quarantine ends, in milliseconds. */
const QUARANTINE_MS = 3_600_000
/** Time after a crash for which those that were running remain suspects, in milliseconds. */
const SUSPECT_TTL_MS = 600_000
/** A request answered within this time before a crash did not cause it, in milliseconds. */
const RECENT_ANSWER_MS = 10_000
/** Maximum number of recorded suspects, in addition to quarantined ones. */
const MAX_SUSPECTS = 2000
/** Maximum number of recorded answered requests, and of answered parts. */
const MAX_ANSWERED = 4096
/** Crashes that requests with one part had in common, after which none of them is repeated. */
const MIN_CRASHES_AGAINST_REPEATS = 2

/** Known crashes, and the requests and prompt parts that are quarantined because of them, on one daemon. */
export class Quarantine {
  readonly #records = new CrashRecords()
  /** Time of the last answer to each request, in milliseconds, least recent first. */
  readonly #answeredAt = new Map<Fingerprint, number>()
  /** Time of the last answer to a request with each part, by the version that gave it, in milliseconds; least recent first. */
  readonly #partsAnsweredAt = new Map<PartId, Map<EndpointVersion | undefined, number>>()
  #held = new Map<Suspect, HeldSuspect>()
  #latestCrashMs = -Infinity

  /** Requests and prompt parts currently in quarantine. */
  get held (): ReadonlyMap<Suspect, HeldSuspect> { return this.#held }

  /** Time until which decisions may change without another report, in milliseconds on the daemon's clock. */
  get settlesAtMs (): number {
    return this.#latestCrashMs + SETTLE_MS
  }

  /** Returns all known crashes, to initialise another daemon. */
  snapshot (): CrashReport[] {
    return this.#records.snapshot()
  }

  /** Records a crash detected by this daemon and returns the changes to share with others. */
  crashed ({ endpoint, aboard, place, runs = [] }: DetectedCrash, now: number): CrashReport[] {
    const suspects = aboard.filter((request) => now - (this.#answeredAt.get(request) ?? -Infinity) > RECENT_ANSWER_MS)
    return this.merge([{ endpoint, atMs: now, aboard: suspects, cleared: [], place, runs }], now)
  }

  /** Records that an endpoint answered a request and returns the changes to share with others. */
  answered (request: Fingerprint, now: number, { parts = [], version }: AnsweredOptions = {}): CrashReport[] {
    touch(this.#answeredAt, request, now)
    const cleared = this.#records.markCleared(request)
    for (const part of parts) {
      const answeredAt = this.#partsAnsweredAt.get(part) ?? new Map<EndpointVersion | undefined, number>()
      answeredAt.set(version, now)
      touch(this.#partsAnsweredAt, part, answeredAt)
      cleared.push(...this.#records.markCleared(part, { version }))
    }
    if (cleared.length > 0) this.update(now)
    return cleared
  }

  /** Dismisses the crashes of a suspect, so that they count against no other one either, and returns the changes to share with others. */
  release (suspect: Suspect, now: number): CrashReport[] {
    const added = this.#records.dismissCrashesOf(suspect)
    if (added.length > 0) this.update(now)
    return added
  }

  /** Merges reports of another daemon and returns the parts that were not known. */
  merge (reports: readonly CrashReport[], now: number): CrashReport[] {
    const added = this.#records.merge(reports)
    const late = this.#clearAnswered(added)
    for (const { atMs, runs } of added) if (runs) this.#latestCrashMs = Math.max(this.#latestCrashMs, atMs)
    if (added.some((report) => this.#mayAffectHeld(report))) this.update(now)
    this.#records.limit(MAX_SUSPECTS, (suspect) => this.#held.has(suspect))
    return [...added, ...late]
  }

  /** Removes expired suspects and quarantined ones. */
  prune (now: number): void {
    this.#records.prune((suspect, crashedAtMs) => now < (this.#held.get(suspect)?.untilMs ?? crashedAtMs + SUSPECT_TTL_MS))
    this.update(now)
  }

  /** Decides anew what is quarantined. Must be called from time to time, since some decisions wait for answers that may come. */
  update (now: number): void {
    if (!this.#records.hasSuspectWithCrashes(MIN_CRASHES)) {
      this.#held = new Map()
      return
    }
    const parts = attributeToParts(this.#records.crashes, { now, held: new Set(this.#held.keys()), wasAnswered: (part) => this.#partsAnsweredAt.has(part) })
    const explained = new Set([...parts.values()].flat())
    const unexplained = new Map([...this.#records.suspects()].filter(([endpoint]) => !explained.has(endpoint)).map(([endpoint, suspects]) => [endpoint, requestsAmong(suspects)]))
    this.#held = new Map([...parts.keys(), ...attributeCrashes(unexplained)].map((suspect) => [suspect, this.#toHeld(suspect)]))
  }

  /**
   * Returns what quarantines a request at all endpoints of the given versions; undefined if it may be sent to one of them.
   *
   * A part that crashed one version is held at another one as well, unless requests with it were answered there since.
   */
  heldSuspect ({ fingerprint, parts }: RequestSuspects, versions: readonly (EndpointVersion | undefined)[]): HeldSuspect | undefined {
    if (this.#held.size === 0) return undefined
    const request = this.#held.get(fingerprint())
    if (request) return request
    const held = parts.map((part) => this.#held.get(part)).filter((each) => each !== undefined)
    const isServed = versions.some((version) => held.every((each) => this.#isKnownGood(each, version)))
    return isServed ? undefined : held[0]
  }

  /** Returns whether requests with a part of the request's prompt were running in several crashes, so that it must not be repeated. */
  isSuspected ({ parts }: Pick<RequestSuspects, 'parts'>): boolean {
    return parts.some((part) => this.#records.crashesOf(part).size >= MIN_CRASHES_AGAINST_REPEATS)
  }

  #mayAffectHeld ({ aboard, cleared, place, runs = [] }: CrashReport): boolean {
    const suspects: Suspect[] = [...aboard, ...runs.flatMap(({ parts }) => parts.map((key) => partId(place!.pool, key)))]
    return (cleared.length > 0 && this.#held.size > 0) || suspects.some((suspect) => this.#records.crashesOf(suspect).size >= MIN_CRASHES)
  }

  #isKnownGood ({ suspect, crashes }: HeldSuspect, version: EndpointVersion | undefined): boolean {
    const answeredAtMs = isPart(suspect) ? this.#partsAnsweredAt.get(suspect)?.get(version) : undefined
    return answeredAtMs !== undefined && crashes.every(({ endpoint, atMs }) => atMs < answeredAtMs && this.#records.get(endpoint)?.place?.version !== version)
  }

  /** Clears parts of crashes whose reports came after an answer that was given since. */
  #clearAnswered (added: readonly CrashReport[]): CrashReport[] {
    return added.flatMap(({ place, runs = [] }) => {
      const parts = new Set(runs.flatMap((run) => run.parts.map((key) => partId(place!.pool, key))))
      return [...parts].flatMap((part) => {
        const answeredAtMs = this.#partsAnsweredAt.get(part)?.get(place!.version)
        return answeredAtMs === undefined ? [] : this.#records.markCleared(part, { version: place!.version, untilMs: answeredAtMs })
      })
    })
  }

  #toHeld (suspect: Suspect): HeldSuspect {
    const crashes = [...this.#records.crashesOf(suspect)].map((endpoint) => this.#records.get(endpoint)!)
    return {
      suspect,
      crashes: crashes.map(({ endpoint, atMs }) => ({ endpoint, atMs })),
      untilMs: Math.max(...crashes.map(({ atMs }) => atMs)) + QUARANTINE_MS,
      evidence: crashes.map((crash) => evidenceOf(suspect, crash))
    }
  }
}

function evidenceOf (suspect: Suspect, { endpoint, atMs, place, runs }: RecordedCrash): CrashReport {
  if (!isPart(suspect)) return { endpoint, atMs, aboard: [suspect], cleared: [] }
  const own = [...runs.values()].flatMap((run) => {
    const key = run.parts.find((each) => partId(place!.pool, each) === suspect)
    return key === undefined ? [] : [{ ...run, parts: [key] }]
  })
  return { endpoint, atMs, aboard: [], cleared: [], place, runs: own }
}

/** Sets a value as the most recent one, and drops the least recent one when there are too many. */
function touch<K, V> (map: Map<K, V>, key: K, value: V): void {
  map.delete(key)
  map.set(key, value)
  if (map.size > MAX_ANSWERED) map.delete(map.keys().next().value!)
}
