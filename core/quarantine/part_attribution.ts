/** Attributes crashes of endpoints to parts of prompts that the requests that were running there have in common. */
import type { EndpointId, Fingerprint, PartId, Suspect } from '../ids/index.ts'
import { MIN_CRASHES } from './crash_attribution.ts'
import type { RecordedCrash } from './crash_records.ts'
import type { CrashedRun, CrashPlace } from './crash_report.ts'
import { partId } from './part_id.ts'

/** Options of {@linkcode attributeToParts}. */
export interface PartAttributionOptions {
  /** Current time, in milliseconds on the daemon's clock. */
  now: number
  /** Parts that are quarantined already; they stay so unless they are cleared or another part explains their crashes. */
  held: ReadonlySet<Suspect>
  /** Returns whether requests with a part were ever answered. Such a part is quarantined later, and not before one that never was. */
  wasAnswered (part: PartId): boolean
}

/** Crashes after which they are attributed to one of several parts that may explain them, or to a part that requests were answered with before. */
const MIN_CRASHES_IF_CONTESTED = 5
/** Time that answers get to clear the sound ones among several parts that may explain the crashes, in milliseconds from the last crash that it takes. */
export const SETTLE_MS = 1000
/** Crashes per endpoint and millisecond that are expected without a request as their cause. */
const BACKGROUND_PER_MS = 1 / 60_000
/** Time around a part's crashes in which other crashes count as background, in milliseconds. */
const BACKGROUND_MARGIN_MS = 1000
/** Least evidence against a part: the natural logarithm of how unlikely it is that its requests were running in its crashes by chance. */
const MIN_EVIDENCE = Math.log(100_000)
/** A part that is this many times rarer than another one, and explains this share of its crashes, contests it. */
const RARER_FACTOR = 2
const MIN_CONTESTED_SHARE = 1 / 3

/** A crash, and its runs by the parts that may have caused it. */
interface IndexedCrash { endpoint: EndpointId, atMs: number, place: CrashPlace, runsByPart: ReadonlyMap<PartId, readonly CrashedRun[]> }

/** A part, and the crashes that it may have caused. */
interface Candidate {
  part: PartId
  crashes: IndexedCrash[]
  /** Number of requests with the part, over its crashes. */
  carriers: number
}

/** What the decision about one part depends on. */
interface AttributionState extends PartAttributionOptions {
  candidates: readonly Candidate[]
  unattributed: readonly IndexedCrash[]
  /** Returns all crashes in which requests with a part were running, also those that are attributed to another part. */
  allCrashesOf (part: PartId): readonly IndexedCrash[]
}

/**
 * Attributes crashes to parts of prompts.
 *
 * A part is quarantined if requests with it, sent one after the other, were running in several crashes in a row, none was answered since, and chance does not explain it:
 * the other crashes of the pool at that time show how often a request meets a crash that it did not cause. Parts that were running in the same crashes contest each other;
 * then more crashes are required, and time in which answers clear the sound ones. Of those that remain the one is selected that explains most crashes with fewest requests, since the
 * requests of a part that is quarantined in error are lost. A crash attributed to one part counts against no other.
 * @returns The parts to quarantine, with the endpoints whose crashes are attributed to each.
 */
export function attributeToParts (crashes: Iterable<RecordedCrash>, options: PartAttributionOptions): Map<PartId, EndpointId[]> {
  const attributed = new Map<PartId, readonly IndexedCrash[]>()
  let unattributed = [...crashes].flatMap(toIndexed).sort((a, b) => a.atMs - b.atMs)
  const all = new Map(candidatesOf(unattributed).map((candidate) => [candidate.part, candidate.crashes]))
  for (;;) {
    const candidates = candidatesOf(unattributed)
    const state = { ...options, candidates, unattributed, allCrashesOf: (part: PartId) => all.get(part)! }
    const [culprit] = candidates.filter((candidate) => isCulprit(candidate, state)).sort(bySelectivity)
    if (!culprit) break
    attributed.set(culprit.part, all.get(culprit.part)!)
    unattributed = unattributed.filter(({ runsByPart }) => !runsByPart.has(culprit.part))
  }
  dropRedundant(attributed)
  return new Map([...attributed].map(([part, explained]) => [part, explained.map(({ endpoint }) => endpoint)]))
}

function toIndexed ({ endpoint, atMs, place, runs, cleared }: RecordedCrash): IndexedCrash[] {
  if (!place) return []
  const runsByPart = new Map<PartId, CrashedRun[]>()
  for (const run of runs.values()) {
    for (const key of run.parts) {
      const part = partId(place.pool, key)
      const known = runsByPart.get(part)
      if (known) known.push(run)
      else if (cleared.get(part) === false) runsByPart.set(part, [run])
    }
  }
  return [{ endpoint, atMs, place, runsByPart }]
}

/** Returns the parts that several crashes have in common. */
function candidatesOf (crashes: readonly IndexedCrash[]): Candidate[] {
  const byPart = new Map<PartId, Candidate>()
  for (const crash of crashes) {
    for (const [part, { length }] of crash.runsByPart) {
      const known = byPart.get(part)
      if (known) {
        known.crashes.push(crash)
        known.carriers += length
      } else {
        byPart.set(part, { part, crashes: [crash], carriers: length })
      }
    }
  }
  return [...byPart.values()].filter((candidate) => candidate.crashes.length > 1)
}

/** Drops the parts all of whose crashes others explain. */
function dropRedundant (attributed: Map<PartId, readonly IndexedCrash[]>): void {
  for (const [part, crashes] of attributed) {
    const explained = new Set([...attributed].flatMap(([other, others]) => (other === part ? [] : others)))
    if (crashes.every((crash) => explained.has(crash))) attributed.delete(part)
  }
}

function isCulprit (candidate: Candidate, state: AttributionState): boolean {
  if (candidate.crashes.length < MIN_CRASHES) return false
  if (state.held.has(candidate.part)) return true
  const independent = independentRuns(candidate)
  if (independent.length < MIN_CRASHES || evidenceAgainst(candidate, independent, state.unattributed) < MIN_EVIDENCE) return false
  if (!state.wasAnswered(candidate.part) && !isContested(candidate, state)) return true
  const decisive = state.allCrashesOf(candidate.part)[MIN_CRASHES_IF_CONTESTED - 1]
  return decisive !== undefined && state.now - decisive.atMs >= SETTLE_MS
}

/**
 * Selects crashes that are evidence of their own, and returns for how long requests with the part were exposed to each, in milliseconds. Runs that were under way together may all end
 * in one incident, and a request that is repeated says as much about itself as about the parts of its prompt.
 */
function independentRuns ({ part, crashes }: Candidate): number[] {
  const exposedMs: number[] = []
  const seen = new Set<Fingerprint>()
  let lastAtMs = -Infinity
  for (const { atMs, runsByPart } of crashes) {
    const runs = runsByPart.get(part)!
    if (!runs.some(({ request, sentAtMs }) => sentAtMs > lastAtMs && !seen.has(request))) continue
    for (const { request } of runs) seen.add(request)
    lastAtMs = atMs
    exposedMs.push(runs.reduce((sum, { sentAtMs }) => sum + Math.max(1, atMs - sentAtMs), 0))
  }
  return exposedMs
}

/** Returns how unlikely it is that the part's requests met the crashes by chance, as a natural logarithm. */
function evidenceAgainst ({ part, crashes }: Candidate, exposedMs: readonly number[], unattributed: readonly IndexedCrash[]): number {
  const { pool, poolSize } = crashes[0]!.place
  const fromMs = crashes[0]!.atMs - BACKGROUND_MARGIN_MS
  const toMs = crashes.at(-1)!.atMs + BACKGROUND_MARGIN_MS
  const others = unattributed.filter(({ place, atMs, runsByPart }) => place.pool === pool && atMs >= fromMs && atMs <= toMs && !runsByPart.has(part))
  const perMs = BACKGROUND_PER_MS + others.length / (toMs - fromMs) / Math.max(1, poolSize)
  return exposedMs.reduce((sum, each) => sum - Math.log(Math.min(1, perMs * each)), 0)
}

/** Returns whether a part that at most as many requests have may explain the same crashes, or a far rarer one some of them. */
function isContested (candidate: Candidate, { candidates, wasAnswered }: AttributionState): boolean {
  const own = new Set(candidate.crashes)
  return candidates.some((other) => {
    if (other === candidate) return false
    const common = other.crashes.filter((crash) => own.has(crash))
    const carriers = common.reduce((sum, { runsByPart }) => sum + runsByPart.get(other.part)!.length, 0)
    if (common.length === own.size && carriers <= candidate.carriers) return !wasAnswered(other.part)
    return common.length >= Math.max(2, own.size * MIN_CONTESTED_SHARE) && carriers * RARER_FACTOR <= candidate.carriers
  })
}

/** Orders parts by the crashes that they explain, and by how few requests besides have them. */
function bySelectivity (a: Candidate, b: Candidate): number {
  return selectivity(b) - selectivity(a) || (a.part < b.part ? -1 : 1)
}

function selectivity ({ crashes, carriers }: Candidate): number {
  return crashes.length / (carriers / crashes.length) ** 2
}
