/** Types of a rollout, which moves a pool's traffic to endpoints of another version: the operator's order and the rollout's progress. */
import type { EndpointVersion, PoolName } from '../ids/index.ts'
import type { StoreVersion } from '../store_version/index.ts'

/** A rollout as ordered by an operator. */
export interface RolloutOrder {
  pool: PoolName
  /** Version to move the pool's traffic to. */
  to: EndpointVersion
  /** Time limit of the rollout, in milliseconds. */
  durationMs: number
}

/**
 * Stage of a rollout.
 *
 * - `preparing`: no endpoint of the new version can serve yet.
 * - `canary`: the new version receives granted requests only.
 * - `switching`: the new version receives all new requests.
 * - `emptying`: resumable streams are moved off the old version.
 * - `completed`, `rolled-back`: the final stages.
 */
export type RolloutStage = 'preparing' | 'canary' | 'switching' | 'emptying' | 'completed' | 'rolled-back'

/** State of a rollout as persisted in the store. Times are in milliseconds since the epoch, on the clock that the daemons agree on. */
export interface RolloutProgress {
  order: RolloutOrder
  /** Version that served the pool before the rollout. */
  from: EndpointVersion
  stage: RolloutStage
  orderedAtMs: number
  /** Start of the current stage. */
  stageAtMs: number
  /** Start of `switching`; undefined before it. */
  switchedAtMs?: number | undefined
  /** Requests that daemons were granted for the new version before the switch, summed over all deciders so far. */
  granted: number
  /** Reason for the current stage, shown to operators. */
  why: string
}

/** An order with the progress stored beside it, which may belong to a previous order. */
export interface RolloutRecord {
  /** Version of the stored object; a record with a higher version supersedes one with a lower version. */
  version: StoreVersion
  order: RolloutOrder
  progress: RolloutProgress | undefined
  /** True if the progress is further than what is stored, since the store has returned to a copy. Default false. */
  unsaved?: boolean
}

/** Reports whether the rollout has reached a final stage. */
export function isFinal ({ stage }: Pick<RolloutProgress, 'stage'>): boolean {
  return stage === 'completed' || stage === 'rolled-back'
}

/** Returns the progress of the current order, or undefined until a decider has started it. */
export function currentProgress ({ order, progress }: RolloutRecord): RolloutProgress | undefined {
  return progress && isSameOrder(progress.order, order) ? progress : undefined
}

/** Identifies an order within its pool. Repeating an order after it ended gives a new id. */
export function orderId ({ order, orderedAtMs }: Pick<RolloutProgress, 'order' | 'orderedAtMs'>): string {
  return `${order.to}@${orderedAtMs}`
}

/** Reports whether two orders of a pool request the same rollout. */
export function isSameOrder (a: RolloutOrder, b: RolloutOrder): boolean {
  return a.to === b.to && a.durationMs === b.durationMs
}
