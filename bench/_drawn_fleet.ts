/** Draws a fleet with a load, and plays the crashes of its endpoints through the quarantine of one daemon. */
import { as, type EndpointId, type Fingerprint, type PartId, type PoolName } from '../core/ids/index.ts'
import type { Random } from '../core/routing/index.ts'
import { isPart, partId, Quarantine, type CrashedRun, type CrashReport } from '../core/quarantine/index.ts'

/** Options of {@linkcode playDrawnFleet}. */
export interface DrawnFleetOptions {
  daemons: number
  /** Number of prompt parts that crash endpoints. */
  badParts: number
  /** Bad requests per second. Default: drawn, 1 to 12. */
  badPerS?: number
  random: Random
}

/** What one play showed. */
export interface DrawnFleetResult {
  /** For each bad part the crashes until it was held, or undefined if it never was. */
  crashesUntilHeld: Array<number | undefined>
  /** For each bad part the time from its fifth crash until it was held, in milliseconds; negative if it was held before. */
  heldAfterFifthMs: Array<number | undefined>
  /** Requests with a bad part that reached endpoints later than 3 s after its fifth crash, the most of any part. */
  lateBad: number
  /** Sound parts that were ever held, and those that still were at the end. */
  soundEverHeld: number
  soundHeldAtEnd: number
  /** Crashes of the whole play. */
  crashes: number
  /** Share of the sound requests that were answered at the first attempt in the last quarter of the play. */
  soundAnswered: number
}

const POOL = as<PoolName>('pool')
const PLAY_MS = 20_000
/** Time from which bad requests come, in milliseconds: sound ones were served before. */
const BAD_FROM_MS = 4000
const STEP_MS = 10
const BOUND_CRASHES = 5
const BOUND_MS = 3000
/** Interval at which the quarantine judges undecided suspects again, in milliseconds. */
const UPDATE_MS = 250

interface Run extends CrashedRun { engine: number, endsAtMs: number, bad: number | undefined, isRepeat: boolean }

/** Plays one drawn fleet. */
export function playDrawnFleet ({ daemons, badParts, badPerS: givenBadPerS, random }: DrawnFleetOptions): DrawnFleetResult {
  const between = (from: number, to: number) => from + random() * (to - from)
  const engines = Math.round(between(6, daemons > 100 ? 60 : 20))
  const restartMs = between(900, 4000)
  const soundPerS = between(8, 6 * engines)
  const badPerS = badParts === 0 ? 0 : givenBadPerS ?? between(1, 12)
  const soundMs = Math.exp(between(Math.log(60), Math.log(6000)))
  const crashAfterMs = between(30, 400)
  const documents = Math.round(between(3, 60))
  const sharedFirst = between(0.3, 1)
  const affinity = random() < 0.5 ? 0 : between(0.3, 1)
  const repeats = random() < 0.5 ? 0 : 1
  const background = badParts === 0 ? between(2, 14) : random() < 0.5 ? 0 : between(0, 4)
  const isBurst = random() < 0.5
  const hops = Math.ceil(Math.log2(daemons))
  const reportDelayMs = () => between(60, 400) + hops * between(10, 110) + (random() < 0.05 ? between(500, 2500) : 0)

  const upAtMs = Array.from({ length: engines }, () => 0)
  const starts = Array.from({ length: engines }, () => 0)
  let runs: Run[] = []
  const quarantine = new Quarantine()
  const inFlight: Array<{ atMs: number, reports: CrashReport[] }> = []
  const known: Array<{ endpoint: EndpointId, atMs: number, parts: ReadonlySet<PartId> }> = []
  const crashesOf = Array.from({ length: badParts }, () => [] as number[])
  const heldAt = Array.from({ length: badParts }, () => undefined as number | undefined)
  const crashCountAtHold = Array.from({ length: badParts }, () => undefined as number | undefined)
  const late = Array.from({ length: badParts }, () => 0)
  const everHeld = new Set<string>()
  let count = 0
  let crashes = 0
  let lastQuarter = 0
  let lastQuarterAnswered = 0
  const backgroundAtMs = isBurst
    ? Array.from({ length: Math.round(background) }, () => 7000 + between(0, 1500))
    : Array.from({ length: Math.round(background) }, () => between(4000, 14_000))

  const isLastQuarter = (atMs: number) => atMs > PLAY_MS * 0.75
  const bad = (nth: number) => partId(POOL, `bad${nth}`)
  const suspects = (run: CrashedRun) => ({ fingerprint: () => run.request, parts: run.parts.map((key) => partId(POOL, key)) })

  function send (now: number, request: Fingerprint, parts: string[], options: { bad: number | undefined, isRepeat: boolean }): void {
    if (quarantine.heldSuspect(suspects({ request, sentAtMs: now, parts }), [undefined])) return
    const up = upAtMs.flatMap((atMs, engine) => (atMs <= now ? [engine] : []))
    if (up.length === 0) return
    const home = hashOf(parts.at(-1)!) % engines
    const engine = random() < affinity && upAtMs[home]! <= now ? home : up[Math.floor(random() * up.length)]!
    if (options.bad !== undefined && now > (crashesOf[options.bad]![BOUND_CRASHES - 1] ?? Infinity) + BOUND_MS) late[options.bad]!++
    const durationMs = options.bad === undefined ? soundMs * between(0.5, 1.5) : crashAfterMs * between(0.7, 1.3)
    runs.push({ request, sentAtMs: now, parts, engine, endsAtMs: now + durationMs, ...options })
  }

  function crash (engine: number, now: number): void {
    if (upAtMs[engine]! > now) return
    crashes++
    const aboard = runs.filter((run) => run.engine === engine)
    runs = runs.filter((run) => run.engine !== engine)
    const endpoint = as<EndpointId>(`e${engine}-${starts[engine]!++}`)
    upAtMs[engine] = now + restartMs
    for (const nth of new Set(aboard.map((run) => run.bad))) if (nth !== undefined) crashesOf[nth]!.push(now)
    known.push({ endpoint, atMs: now, parts: new Set(aboard.flatMap(({ parts }) => parts.map((key) => partId(POOL, key)))) })
    // Several daemons report the crash, each with its own requests, some of them twice.
    const reporters = Math.min(daemons, 4)
    for (let i = 0; i < reporters; i++) {
      const own = aboard.filter((_, nth) => nth % reporters === i)
      if (own.length === 0) continue
      const report = { endpoint, atMs: now, aboard: own.map(({ request }) => request), cleared: [], place: { pool: POOL, poolSize: engines }, runs: own.map(({ request, sentAtMs, parts }) => ({ request, sentAtMs, parts })) }
      for (let copies = random() < 0.1 ? 2 : 1; copies > 0; copies--) inFlight.push({ atMs: now + reportDelayMs(), reports: [report] })
    }
    for (const run of aboard) if (repeats > 0 && !run.isRepeat) send(now + 1, run.request, run.parts, { bad: run.bad, isRepeat: true })
  }

  function end (run: Run, now: number): void {
    if (isLastQuarter(run.sentAtMs) && !run.isRepeat) lastQuarterAnswered++
    const parts = run.parts.map((key) => partId(POOL, key))
    // The observing daemon is one of many: of the answers of the others it learns what they clear.
    if (random() < 1 / daemons) inFlight.push({ atMs: now, reports: quarantine.answered(run.request, now, { parts }) })
    const reports = known.filter(({ atMs }) => atMs <= now).flatMap(({ endpoint, atMs, parts: aboard }): CrashReport[] => {
      const cleared = parts.filter((part) => aboard.has(part))
      return cleared.length > 0 ? [{ endpoint, atMs, aboard: [], cleared }] : []
    })
    if (reports.length > 0) inFlight.push({ atMs: now + reportDelayMs(), reports })
  }

  for (let now = 0; now < PLAY_MS; now += STEP_MS) {
    if (random() < soundPerS * STEP_MS / 1000) {
      if (isLastQuarter(now)) lastQuarter++
      const doc = Math.floor(random() ** 2 * documents)
      send(now, as(`r${++count}`), [random() < sharedFirst ? 'first' : `first${Math.floor(random() * 3)}`, `doc${doc}`], { bad: undefined, isRepeat: false })
    }
    if (now >= BAD_FROM_MS && random() < badPerS * STEP_MS / 1000) {
      const nth = Math.floor(random() * badParts)
      const doc = `doc${Math.floor(random() ** 2 * documents)}`
      send(now, as(`r${++count}`), random() < 0.5 ? ['first', `bad${nth}`] : ['first', `bad${nth}`, doc], { bad: nth, isRepeat: false })
    }
    for (const atMs of backgroundAtMs) if (atMs >= now && atMs < now + STEP_MS) crash(Math.floor(random() * engines), now)
    const ended = runs.filter(({ endsAtMs }) => endsAtMs <= now)
    for (const run of ended) {
      if (!runs.includes(run)) continue
      if (run.bad !== undefined) crash(run.engine, now)
      else {
        runs.splice(runs.indexOf(run), 1)
        end(run, now)
      }
    }
    for (let i = inFlight.length - 1; i >= 0; i--) if (inFlight[i]!.atMs <= now) quarantine.merge(inFlight.splice(i, 1)[0]!.reports, now)
    if (now % UPDATE_MS === 0) quarantine.update(now)
    for (const suspect of quarantine.held.keys()) {
      if (!isPart(suspect)) continue
      const nth = crashesOf.findIndex((_, i) => bad(i) === suspect)
      if (nth < 0) everHeld.add(suspect)
      else if (heldAt[nth] === undefined) {
        heldAt[nth] = now
        crashCountAtHold[nth] = crashesOf[nth]!.length
      }
    }
  }
  const soundHeldAtEnd = [...quarantine.held.keys()].filter((suspect) => isPart(suspect) && !crashesOf.some((_, i) => bad(i) === suspect)).length
  return {
    crashesUntilHeld: crashCountAtHold,
    heldAfterFifthMs: heldAt.map((atMs, nth) => (atMs === undefined ? undefined : atMs - (crashesOf[nth]![BOUND_CRASHES - 1] ?? Infinity))),
    lateBad: Math.max(0, ...late),
    soundEverHeld: everHeld.size,
    soundHeldAtEnd,
    crashes,
    soundAnswered: lastQuarterAnswered / Math.max(1, lastQuarter)
  }
}

function hashOf (text: string): number {
  return [...text].reduce((hash, char) => (hash * 31 + char.charCodeAt(0)) % 65_521, 7)
}
