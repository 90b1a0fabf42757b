/** State machine of a rollout's stages: a pure function from the progress and an observation to the next progress. */
import type { Comparison } from './comparison.ts'
import { isFinal, type RolloutProgress, type RolloutStage } from './rollout.ts'

/** State of the fleet, as the decider observes it. */
export interface RolloutObservation {
  /** Milliseconds since the epoch, on the clock that the daemons agree on. */
  nowMs: number
  comparison: Comparison
  /** Batch slots of the new version's endpoints that can serve. */
  newSlots: number
  /** Requests running on the pool's endpoints, by the latest reports. */
  running: number
  /** Requests of all daemons running on the old version's endpoints; undefined while unknown. */
  runningAtOld: number | undefined
  /** Time within which a change reaches every daemon, in milliseconds. */
  propagationMs: number
}

/**
 * Earliest switch, as a fraction of the order's time limit.
 *
 * Until the switch, a bad version receives no more requests than were granted, even if it degrades late. A `completed` rollout cannot be
 * rolled back, so the time left before the deadline is used to observe the canary.
 */
const MIN_SWITCH_FRACTION = 0.5
/** Fraction of the time limit after which resumable streams are moved off the old version. */
const MIN_EMPTYING_FRACTION = 0.72
/** Earliest completion, as a fraction of the time limit: faults that need the full load only show after the switch. */
const MIN_COMPLETION_FRACTION = 0.75
/** Time before the deadline reserved for requests on the old version to finish and for another decider to take over from a failed one, in milliseconds. */
const DEADLINE_RESERVE_MS = 2500
/** The same for a version whose answers were too few at that moment, in milliseconds: the time for the verdict alone. */
const LAST_RESERVE_MS = 1000
/** Minimum time under full load before completion, in milliseconds. */
const MIN_FULL_LOAD_MS = 1000
/** Minimum ratio of the new version's batch slots to running requests; a switch below it would leave callers without capacity. */
const MIN_SLOTS_PER_RUNNING_REQUEST = 1.1

/**
 * Returns the next progress, or undefined if the stage does not change.
 *
 * Each stage is persisted before it takes effect, by a conditional write over its predecessor, so two deciders cannot reach different
 * final stages.
 */
export function nextProgress (progress: RolloutProgress, observed: RolloutObservation): RolloutProgress | undefined {
  if (isFinal(progress)) return undefined
  const elapsed = (observed.nowMs - progress.orderedAtMs) / progress.order.durationMs
  const switchWindow = switchWindowOf(progress, observed)
  const enter = (stage: RolloutStage, why: string): RolloutProgress => ({ ...progress, stage, stageAtMs: observed.nowMs, why })
  if (progress.order.to === progress.from) return enter('completed', 'the version carries the work already')
  if (observed.comparison.verdict === 'worse') return enter('rolled-back', describeWorse(observed.comparison))
  switch (progress.stage) {
    case 'preparing':
      if (observed.newSlots > 0) return enter('canary', 'endpoints of the new version serve')
      return elapsed >= 1 ? enter('rolled-back', 'no endpoint of the new version came') : undefined
    case 'canary':
      if (elapsed >= switchWindow.latest && hasEvidenceAgainst(observed.comparison)) return enter('rolled-back', describeWorse(observed.comparison))
      if (elapsed >= switchWindow.last && observed.comparison.verdict === 'unknown') return enter('rolled-back', describeUnknown(observed.comparison))
      return canSwitch(elapsed, observed, switchWindow) ? { ...enter('switching', describeNotWorse(observed.comparison)), switchedAtMs: observed.nowMs } : undefined
    case 'switching':
      if (canComplete(progress, observed, elapsed)) return conclude(progress, observed)
      return elapsed >= Math.max(MIN_EMPTYING_FRACTION, emptyingFrom(progress, observed)) ? enter('emptying', 'streams still run at the old version') : undefined
    case 'emptying': return canComplete(progress, observed, elapsed) ? conclude(progress, observed) : undefined
  }
}

/** Returns the verdict on a version that has carried all work. With evidence against it, the old endpoints must not be stopped. */
function conclude (progress: RolloutProgress, { nowMs, comparison }: RolloutObservation): RolloutProgress {
  return hasEvidenceAgainst(comparison)
    ? { ...progress, stage: 'rolled-back', stageAtMs: nowMs, why: describeWorse(comparison) }
    : { ...progress, stage: 'completed', stageAtMs: nowMs, why: describeNotWorse(comparison) }
}

function canSwitch (elapsed: number, { comparison, newSlots, running }: RolloutObservation, { from, latest }: SwitchWindow): boolean {
  if (newSlots < running * MIN_SLOTS_PER_RUNNING_REQUEST || newSlots === 0) return false
  return comparison.verdict === 'alike' ? elapsed >= from : comparison.verdict === 'tentative' && elapsed >= latest
}

/** Returns true if a version that is not found worse must not get all work at the last moment: the switch sends it more than it may get if it is bad. */
function hasEvidenceAgainst ({ verdict }: Comparison): boolean {
  return verdict === 'doubtful' || verdict === 'suspect'
}

/**
 * Bounds of the switch, as fractions of the order's time limit. At `latest` an undecided comparison is resolved: any evidence against the version
 * rolls it back, and one without any is switched to with fewer answers. At `last` a version that cannot be compared is rolled back: what it would get
 * after the switch, until it could be found worse, is not bounded.
 */
interface SwitchWindow { from: number, latest: number, last: number }

/** Places the switch late, but early enough for it to reach every daemon before the deadline. */
function switchWindowOf ({ order: { durationMs } }: RolloutProgress, { propagationMs }: RolloutObservation): SwitchWindow {
  const fractionBefore = (ms: number) => Math.max(0, durationMs - propagationMs - ms) / durationMs
  const latest = fractionBefore(DEADLINE_RESERVE_MS)
  return { from: Math.min(latest, Math.max(MIN_SWITCH_FRACTION, fractionBefore(2 * DEADLINE_RESERVE_MS))), latest, last: fractionBefore(LAST_RESERVE_MS) }
}

function emptyingFrom ({ order: { durationMs } }: RolloutProgress, { propagationMs }: RolloutObservation): number {
  return Math.max(0, durationMs - propagationMs) / durationMs
}

/** On `completed` the old endpoints are stopped without draining, so they must be idle and every daemon must know of the switch. */
function canComplete ({ switchedAtMs = Infinity }: RolloutProgress, { nowMs, propagationMs, runningAtOld }: RolloutObservation, elapsed: number): boolean {
  return elapsed >= MIN_COMPLETION_FRACTION && nowMs - switchedAtMs >= Math.max(propagationMs, MIN_FULL_LOAD_MS) && runningAtOld === 0
}

function describeWorse ({ strongest }: Comparison): string {
  if (!strongest) return 'worse'
  const { cls, measure, bad, count, allowed } = strongest
  const outcome = measure === 'failures' ? 'failed' : 'came late'
  return `${bad} of ${count} answers to ${cls} ${outcome}, where ${Math.round(allowed * 100)} in 100 may`
}

function describeUnknown ({ unjudged }: Comparison): string {
  return unjudged === undefined ? 'too few answers to compare the versions' : `too few answers to ${unjudged} to compare the versions`
}

function describeNotWorse ({ strongest }: Comparison): string {
  if (!strongest) return 'nothing was seen against the new version'
  const { cls, measure, bad, count, allowed } = strongest
  return `no worse: at most ${bad} of ${count} (${cls}, ${measure}), where ${Math.round(allowed * 100)} in 100 may`
}
