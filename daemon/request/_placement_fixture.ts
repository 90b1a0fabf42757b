/** Requests to the dispatcher, for tests. */
import { toWorkClass } from '../../core/config/index.ts'
import { as, type PoolName } from '../../core/ids/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { NO_TOKENS, type WorkClass } from '../../core/work/index.ts'
import { sessionConfig } from '../../bench/_session.ts'
import type { Placement } from './placement.ts'

/** Pool of the requests. */
export const DESK = as<PoolName>('desk')
/** Class of the requests. */
export const DESK_CLASS: WorkClass = toWorkClass(sessionConfig().classes[2]!, false)

/** Returns a request that has just been accepted and has a second until its deadline, with some fields changed. */
export function placement (change: Partial<Placement> = {}): Placement {
  return {
    account: as('account'),
    cls: DESK_CLASS,
    pool: DESK,
    demand: NO_TOKENS,
    doneTokens: 0,
    acceptedAtMs: steadyNow(),
    deadlineAtMs: steadyNow() + 1000,
    resumed: false,
    avoid: [],
    placed: () => {},
    refused: () => {},
    waits: () => {},
    ...change
  }
}
