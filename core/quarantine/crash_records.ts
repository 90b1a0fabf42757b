/** Crashes reported by all daemons. Merging the same reports in any order, and more than once, gives the same suspects. */
import type { EndpointId, EndpointVersion, Fingerprint, PartId, Suspect } from '../ids/index.ts'
import type { CrashedRun, CrashPlace, CrashReport } from './crash_report.ts'
import { isPart, partId } from './part_id.ts'

/** Reports whether to keep the record that a suspect was running in a crash. */
export type RetentionPredicate = (suspect: Suspect, crashedAtMs: number) => boolean

/** One crash, as all reports of it describe it. */
export interface RecordedCrash {
  readonly endpoint: EndpointId
  readonly atMs: number
  readonly place: CrashPlace | undefined
  /** Maps each suspect that was running to whether it has been cleared, which is never revoked. */
  readonly cleared: ReadonlyMap<Suspect, boolean>
  /** Requests with prompt parts that were running. */
  readonly runs: ReadonlyMap<Fingerprint, CrashedRun>
}

interface Crash extends RecordedCrash {
  place: CrashPlace | undefined
  cleared: Map<Suspect, boolean>
  runs: Map<Fingerprint, CrashedRun>
}

/** Which of a suspect's crashes an answer clears it of. */
export interface AnswerScope {
  /** Only crashes of endpoints with this version. Default: of any version. */
  version?: EndpointVersion | undefined
  /** Only crashes until then, in milliseconds on the daemon's clock. Default: all so far. */
  untilMs?: number
}

/** Records which requests and prompt parts were running in which crash. */
export class CrashRecords {
  readonly #crashes = new Map<EndpointId, Crash>()
  /** Crashes of each suspect, except those it was cleared of. */
  readonly #crashesOf = new Map<Suspect, Set<EndpointId>>()
  #size = 0

  /** Total number of suspects over all crashes, and of runs and their suspected parts. */
  get size (): number { return this.#size }

  /** All known crashes. */
  get crashes (): Iterable<RecordedCrash> { return this.#crashes.values() }

  /** Merges reports and returns the parts that were not known. */
  merge (reports: readonly CrashReport[]): CrashReport[] {
    return reports.filter(isInformative).map((report) => this.#mergeReport(report)).filter(isInformative)
  }

  /** Clears a suspect of crashes and returns the changes. */
  markCleared (suspect: Suspect, { version, untilMs = Infinity }: AnswerScope = {}): CrashReport[] {
    return [...this.#crashesOf.get(suspect) ?? []]
      .map((endpoint) => this.#crashes.get(endpoint)!)
      .filter(({ atMs, place }) => atMs <= untilMs && (version === undefined || place?.version === version))
      .map(({ endpoint, atMs }) => this.#mergeReport({ endpoint, atMs, aboard: [], cleared: [suspect] }))
  }

  /** Clears all suspects of a suspect's crashes and returns the changes. */
  dismissCrashesOf (suspect: Suspect): CrashReport[] {
    return [...this.crashesOf(suspect)].map((endpoint) => {
      const { atMs, cleared } = this.#crashes.get(endpoint)!
      return this.#mergeReport({ endpoint, atMs, aboard: [], cleared: [...cleared].filter(([, isCleared]) => !isCleared).map(([each]) => each) })
    })
  }

  /** Returns the crashes that a suspect may have caused. */
  crashesOf (suspect: Suspect): ReadonlySet<EndpointId> {
    return this.#crashesOf.get(suspect) ?? new Set()
  }

  /** Reports whether any suspect may have caused at least `minCrashes` crashes. */
  hasSuspectWithCrashes (minCrashes: number): boolean {
    return [...this.#crashesOf.values()].some(({ size }) => size >= minCrashes)
  }

  /** Returns the suspects of each crash. */
  suspects (): Map<EndpointId, Set<Suspect>> {
    return new Map([...this.#crashes].map(([endpoint, { cleared }]) => [endpoint, new Set([...cleared].filter(([, isCleared]) => !isCleared).map(([suspect]) => suspect))]))
  }

  /** Returns an endpoint's crash, or undefined if it is not recorded. */
  get (endpoint: EndpointId): RecordedCrash | undefined {
    return this.#crashes.get(endpoint)
  }

  /** Returns all records, to initialise another daemon. */
  snapshot (): CrashReport[] {
    return [...this.#crashes.values()].map(({ endpoint, atMs, cleared, place, runs }) => ({
      endpoint,
      atMs,
      aboard: [...cleared].filter(([suspect, isCleared]) => !isCleared && !isPart(suspect)).map(([suspect]) => suspect as Fingerprint),
      cleared: [...cleared].filter(([, isCleared]) => isCleared).map(([suspect]) => suspect),
      ...(place && { place }),
      ...(runs.size > 0 && { runs: [...runs.values()].map((run) => ({ ...run })) })
    }))
  }

  /** Removes the records that need not be kept. */
  prune (shouldKeep: RetentionPredicate): void {
    for (const crash of this.#crashes.values()) this.#pruneCrash(crash, shouldKeep)
  }

  /** Removes records that need not be kept, oldest crashes first, until at most `maxSize` remain. */
  limit (maxSize: number, shouldKeep: RetentionPredicate): void {
    if (this.#size <= maxSize) return
    const oldestFirst = [...this.#crashes.values()].sort((a, b) => a.atMs - b.atMs)
    for (const crash of oldestFirst) if (this.#size > maxSize) this.#pruneCrash(crash, shouldKeep)
  }

  #pruneCrash (crash: Crash, shouldKeep: RetentionPredicate): void {
    const { endpoint, atMs, cleared, runs } = crash
    for (const suspect of cleared.keys()) if (!shouldKeep(suspect, atMs)) this.#remove(crash, suspect)
    for (const [request, { parts }] of runs) {
      if (parts.some((key) => cleared.get(partId(crash.place!.pool, key)) === false)) continue
      runs.delete(request)
      this.#size -= parts.length + 1
    }
    if (cleared.size === 0) this.#crashes.delete(endpoint)
  }

  #mergeReport ({ endpoint, atMs, aboard, cleared, place, runs = [] }: CrashReport): CrashReport {
    let crash = this.#crashes.get(endpoint)
    if (!crash) {
      crash = { endpoint, atMs, place, cleared: new Map(), runs: new Map() }
      this.#crashes.set(endpoint, crash)
    }
    crash.place ??= place
    const known = crash.cleared
    const newRuns = runs.map((run) => newPartsOf(run, crash)).filter(({ parts }) => parts.length > 0)
    const added: CrashReport = {
      endpoint,
      atMs: crash.atMs,
      aboard: aboard.filter((request) => !known.has(request)),
      cleared: cleared.filter((suspect) => known.get(suspect) !== true),
      ...(newRuns.length > 0 && { place: crash.place, runs: newRuns })
    }
    for (const request of added.aboard) this.#add(crash, request)
    for (const run of newRuns) this.#addRun(crash, run)
    for (const suspect of added.cleared) this.#clear(crash, suspect)
    return added
  }

  #addRun (crash: Crash, { request, sentAtMs, parts }: CrashedRun): void {
    const known = crash.runs.get(request)
    if (!known) this.#size++
    crash.runs.set(request, { request, sentAtMs: known?.sentAtMs ?? sentAtMs, parts: [...known?.parts ?? [], ...parts] })
    this.#size += parts.length
    for (const key of parts) {
      const part = partId(crash.place!.pool, key)
      if (!crash.cleared.has(part)) this.#add(crash, part)
    }
  }

  #add ({ endpoint, cleared }: Crash, suspect: Suspect): void {
    cleared.set(suspect, false)
    this.#size++
    const crashes = this.#crashesOf.get(suspect)
    if (crashes) crashes.add(endpoint)
    else this.#crashesOf.set(suspect, new Set([endpoint]))
  }

  #clear (crash: Crash, suspect: Suspect): void {
    if (!crash.cleared.has(suspect)) this.#size++
    crash.cleared.set(suspect, true)
    this.#unlink(crash.endpoint, suspect)
    if (isPart(suspect)) this.#dropFromRuns(crash, suspect)
  }

  /** Drops a part that is no suspect any more from the runs of a crash. */
  #dropFromRuns ({ runs, place }: Crash, part: PartId): void {
    for (const run of runs.values()) {
      const left = run.parts.filter((key) => partId(place!.pool, key) !== part)
      this.#size -= run.parts.length - left.length
      run.parts = left
    }
  }

  #unlink (endpoint: EndpointId, suspect: Suspect): void {
    const crashes = this.#crashesOf.get(suspect)
    crashes?.delete(endpoint)
    if (crashes?.size === 0) this.#crashesOf.delete(suspect)
  }

  #remove ({ endpoint, cleared }: Crash, suspect: Suspect): void {
    this.#unlink(endpoint, suspect)
    cleared.delete(suspect)
    this.#size--
  }
}

/** Returns a run with those of its parts that are not known, and not cleared, for a crash. */
function newPartsOf (run: CrashedRun, { place, runs, cleared }: RecordedCrash): CrashedRun {
  const known = runs.get(run.request)?.parts ?? []
  return { ...run, parts: place ? [...new Set(run.parts)].filter((key) => !known.includes(key) && cleared.get(partId(place.pool, key)) !== true) : [] }
}

function isInformative ({ aboard, cleared, runs }: CrashReport): boolean {
  return aboard.length + cleared.length + (runs?.length ?? 0) > 0
}
