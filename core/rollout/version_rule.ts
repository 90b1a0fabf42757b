/** Decides which versions of a pool's endpoints receive requests. */
import type { EndpointVersion } from '../ids/index.ts'
import { isFinal, currentProgress, type RolloutRecord } from './rollout.ts'

/** Versions of one pool, by the traffic they receive. */
export interface VersionRule {
  /** Receives all new requests except those sent to a canary. */
  carries: EndpointVersion
  /** Receives granted requests only. */
  canary?: EndpointVersion
  /** Resumable streams of which no event was passed on are moved off this version; others continue at the version that began them, whichever carries the work. */
  leaves?: EndpointVersion
}

/**
 * Derives the rule from a rollout's record.
 *
 * A new version receives nothing unless an order names it and a decider has started that order: endpoints of a new version are listed before every
 * daemon knows of the order, and exposure counts from the first request.
 * @param record Undefined if no rollout was ever ordered.
 * @param options.before Version that served the pool before any order.
 * @param options.held The new version was found to be worse, but the store is unavailable and the rollback is not persisted yet.
 */
export function versionRule (record: RolloutRecord | undefined, { before, held }: { before: EndpointVersion, held: boolean }): VersionRule {
  if (!record) return { carries: before }
  const progress = currentProgress(record)
  if (!progress) return { carries: versionAfterPreviousOrder(record) ?? before }
  const { from, order: { to } } = progress
  if (held && !isFinal(progress)) return { carries: from }
  switch (progress.stage) {
    case 'preparing':
    case 'rolled-back': return { carries: from }
    case 'canary': return { carries: from, canary: to }
    case 'switching':
    case 'completed': return { carries: to }
    case 'emptying': return { carries: to, leaves: from }
  }
}

/**
 * Returns the version that was found to be worse: streams that began there do not continue. At any other version they may, whichever carries the work.
 * @param options.held The same as for {@linkcode versionRule}.
 */
export function barredVersion (record: RolloutRecord | undefined, { held }: { held: boolean }): EndpointVersion | undefined {
  const progress = record && currentProgress(record)
  return progress && (progress.stage === 'rolled-back' || (held && !isFinal(progress))) ? progress.order.to : undefined
}

/** Returns the version that the previous order left in service: an order that was replaced before it ended leaves the version it started from. */
function versionAfterPreviousOrder ({ progress }: RolloutRecord): EndpointVersion | undefined {
  return progress && (progress.stage === 'completed' ? progress.order.to : progress.from)
}
