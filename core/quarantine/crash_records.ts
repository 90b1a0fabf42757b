/** Crashes reported by all daemons. Merging the same reports in any order, and more than once, gives the same suspects. */
import type { EndpointId, Fingerprint } from '../ids/index.ts'
import type { CrashReport } from './crash_report.ts'

/** Reports whether to keep the record that a request was running in a crash. */
export type RetentionPredicate = (request: Fingerprint, crashedAtMs: number) => boolean

/** One crash. Maps each request that was running to whether it has been cleared, which is never revoked. */
interface Crash { atMs: number, cleared: Map<Fingerprint, boolean> }

/** Records which requests were running in which crash. */
export class CrashRecords {
  readonly #crashes = new Map<EndpointId, Crash>()
  /** Crashes of each request, except those it was cleared of. */
  readonly #crashesOf = new Map<Fingerprint, Set<EndpointId>>()
  #size = 0

  /** Total number of requests over all crashes. */
  get size (): number { return this.#size }

  /** Merges reports and returns the parts that were not known. */
  merge (reports: readonly CrashReport[]): CrashReport[] {
    return reports.filter(hasRequests).map((report) => this.#mergeReport(report)).filter(hasRequests)
  }

  /** Clears a request of all crashes so far and returns the changes. */
  markCleared (request: Fingerprint): CrashReport[] {
    return [...this.#crashesOf.get(request) ?? []].map((endpoint) => this.#mergeReport({ endpoint, atMs: this.#crashes.get(endpoint)!.atMs, aboard: [], cleared: [request] }))
  }

  /** Returns the crashes that a request may have caused. */
  crashesOf (request: Fingerprint): ReadonlySet<EndpointId> {
    return this.#crashesOf.get(request) ?? new Set()
  }

  /** Reports whether any request may have caused at least `minCrashes` crashes. */
  hasRequestWithCrashes (minCrashes: number): boolean {
    return [...this.#crashesOf.values()].some(({ size }) => size >= minCrashes)
  }

  /** Returns the requests that may have caused each crash. */
  suspects (): Map<EndpointId, Set<Fingerprint>> {
    return new Map([...this.#crashes].map(([endpoint, { cleared }]) => [endpoint, new Set([...cleared].filter(([, isCleared]) => !isCleared).map(([request]) => request))]))
  }

  /** Returns the time of an endpoint's crash, or undefined if it is not recorded. */
  atMs (endpoint: EndpointId): number | undefined {
    return this.#crashes.get(endpoint)?.atMs
  }

  /** Returns all records, to initialise another daemon. */
  snapshot (): CrashReport[] {
    return [...this.#crashes].map(([endpoint, { atMs, cleared }]) => ({
      endpoint,
      atMs,
      aboard: [...cleared].filter(([, isCleared]) => !isCleared).map(([request]) => request),
      cleared: [...cleared].filter(([, isCleared]) => isCleared).map(([request]) => request)
    }))
  }

  /** Removes the records that need not be kept. */
  prune (shouldKeep: RetentionPredicate): void {
    for (const endpoint of this.#crashes.keys()) this.#pruneCrash(endpoint, shouldKeep)
  }

  /** Removes records that need not be kept, oldest crashes first, until at most `maxSize` requests remain. */
  limit (maxSize: number, shouldKeep: RetentionPredicate): void {
    if (this.#size <= maxSize) return
    const oldestFirst = [...this.#crashes].sort(([, a], [, b]) => a.atMs - b.atMs)
    for (const [endpoint] of oldestFirst) if (this.#size > maxSize) this.#pruneCrash(endpoint, shouldKeep)
  }

  #pruneCrash (endpoint: EndpointId, shouldKeep: RetentionPredicate): void {
    const { atMs, cleared } = this.#crashes.get(endpoint)!
    for (const request of cleared.keys()) if (!shouldKeep(request, atMs)) this.#remove(endpoint, request)
    if (cleared.size === 0) this.#crashes.delete(endpoint)
  }

  #mergeReport ({ endpoint, atMs, aboard, cleared }: CrashReport): CrashReport {
    let crash = this.#crashes.get(endpoint)
    if (!crash) {
      crash = { atMs, cleared: new Map() }
      this.#crashes.set(endpoint, crash)
    }
    const known = crash.cleared
    const added: CrashReport = { endpoint, atMs: crash.atMs, aboard: aboard.filter((request) => !known.has(request)), cleared: cleared.filter((request) => known.get(request) !== true) }
    for (const request of added.aboard) this.#add(endpoint, request)
    for (const request of added.cleared) this.#clear(endpoint, request)
    return added
  }

  #add (endpoint: EndpointId, request: Fingerprint): void {
    this.#crashes.get(endpoint)!.cleared.set(request, false)
    this.#size++
    const crashes = this.#crashesOf.get(request)
    if (crashes) crashes.add(endpoint)
    else this.#crashesOf.set(request, new Set([endpoint]))
  }

  #clear (endpoint: EndpointId, request: Fingerprint): void {
    const { cleared } = this.#crashes.get(endpoint)!
    if (!cleared.has(request)) this.#size++
    cleared.set(request, true)
    this.#unlink(endpoint, request)
  }

  #unlink (endpoint: EndpointId, request: Fingerprint): void {
    const crashes = this.#crashesOf.get(request)
    crashes?.delete(endpoint)
    if (crashes?.size === 0) this.#crashesOf.delete(request)
  }

  #remove (endpoint: EndpointId, request: Fingerprint): void {
    this.#unlink(endpoint, request)
    this.#crashes.get(endpoint)!.cleared.delete(request)
    this.#size--
  }
}

function hasRequests ({ aboard, cleared }: CrashReport): boolean {
  return aboard.length + cleared.length > 0
}
