/** States the reclaim problem for streams that may run once. */
import type { EngineCapacity } from '../../core/catalog/index.ts'
import type { EndpointId } from '../../core/ids/index.ts'
import type { LinkEstimator } from '../../core/moves/index.ts'
import { shareImports, type AffectedStream, type ReclaimProblem } from '../../core/reclaim/index.ts'
import type { EndpointView, Random } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { ReportedRun } from '../../endpoints/index.ts'
import { sourceOf, targetOf } from '../endpoints/reclaim_problem.ts'
import type { RequestTask } from '../request/request_task.ts'

/** A stream on a leaving endpoint. */
export interface AffectedRun {
  task: RequestTask<Buffer>
  source: EndpointView
  /** As the source reported it; undefined if it did not. */
  reported: ReportedRun | undefined
  /** When the source is gone, in milliseconds on the steady clock. */
  goneAtMs: number
}

/** What the problem is stated from. */
export interface RunProblemOptions {
  /** Streams of one pool and version. */
  runs: readonly AffectedRun[]
  targets: readonly EndpointView[]
  engine: EngineCapacity
  link: LinkEstimator
  /** Average number of daemons that use one endpoint. */
  sharers: number
  random: Random
  /** Random number in [0, 1) that was drawn for a source, and the time that copies under way take there, in milliseconds. */
  departureOf (source: EndpointId): { roundingDraw: number, copyingMs: number }
  /** Typical time between two events of a stream of the pool, in milliseconds; undefined if it is not known. */
  eventIntervalMs (source: EndpointId): number | undefined
}

/** Value of a generated token in prompt tokens, for the choice of the streams to move. */
const GENERATED_TOKEN_VALUE = 10
/** Only losses are compared: all targets cost the same, and a stream that would be late is late wherever it runs. */
const WEIGHTS = { recomputedToken: 1, missedDeadline: 0 }

/** Returns the size of a run's KV cache, in tokens: as reported, otherwise with one token for each event. */
export function kvTokensOf ({ task, reported }: Pick<AffectedRun, 'task' | 'reported'>): number {
  return reported?.kvTokens ?? task.kvTokens
}

/** States the problem for the planner. */
export function runProblem ({ runs, targets, engine, link, sharers, random, departureOf, eventIntervalMs }: RunProblemOptions): ReclaimProblem {
  const now = steadyNow()
  const domains = new Set(runs.map(({ source }) => source.failureDomain))
  const isNear = ({ failureDomain }: EndpointView) => domains.has(failureDomain)
  const tokensPerS = (betweenDomains: boolean) => link.bytesPerS(betweenDomains) / engine.kvBytesPerToken
  const tokensPerEvent = meanTokensPerEvent(runs)
  const sources = new Map(runs.map(({ source, goneAtMs }) => {
    const intervalMs = eventIntervalMs(source.id)
    const { roundingDraw, copyingMs } = departureOf(source.id)
    return [source.id, sourceOf(source, {
      noticeMs: goneAtMs - now,
      busyMs: copyingMs,
      roundingDraw,
      exportTokensPerS: tokensPerS(targets.every(({ failureDomain }) => failureDomain !== source.failureDomain)),
      ...(intervalMs !== undefined && { betweenTokensMs: intervalMs / tokensPerEvent })
    })]
  }))
  // Among targets of one price the planner takes the first.
  const ordered = [...targets.filter(isNear), ...targets.filter((view) => !isNear(view))]
  const kvTokensPerSlot = engine.kvTokens / engine.batchSlots
  return {
    streams: runs.map((run) => affectedStream(run, { now, tokensPerEvent })),
    sources,
    targets: shareImports(ordered.map((view) => targetOf(view, { kvTokensPerSlot, importTokensPerS: tokensPerS(!isNear(view)) })), { sharers, random }),
    weights: WEIGHTS
  }
}

function affectedStream (run: AffectedRun, { now, tokensPerEvent }: { now: number, tokensPerEvent: number }): AffectedStream {
  const { task, source } = run
  const { promptTokens, maxTokens, expectedTokens } = task.work.demand
  const made = task.answer.length * tokensPerEvent
  return {
    id: task.id,
    source: source.id,
    kvTokens: kvTokensOf(run),
    // A stream that is longer than expected may go on to its limit.
    remainingTokens: made < expectedTokens ? expectedTokens - made : Math.max(0, maxTokens - made),
    deadlineInMs: task.state.traits.deadlineAtMs - now,
    movable: true,
    lossTokens: promptTokens + GENERATED_TOKEN_VALUE * maxTokens,
    cachedTokens: new Map()
  }
}

/** One event may carry several tokens. */
function meanTokensPerEvent (runs: readonly AffectedRun[]): number {
  let tokens = 0
  let events = 0
  for (const { task, reported } of runs) {
    if (!reported || reported.events === 0) continue
    tokens += Math.max(reported.events, reported.kvTokens - task.work.demand.promptTokens)
    events += reported.events
  }
  return events === 0 ? 1 : tokens / events
}
