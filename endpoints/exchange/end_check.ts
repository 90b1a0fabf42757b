/** Distinguishes the end of an answer without a length from the end of the endpoint that wrote it. */
import { setImmediate } from 'node:timers/promises'
import type { EndpointView } from '../../core/routing/index.ts'
import { delay, steadyNow } from '../../core/time/index.ts'
import type { DialOptions, DialResult } from '../dial.ts'

/** What is known of an endpoint after it ended a connection. */
export type EndCheckResult = 'alive' | 'ended' | 'unknown'

/** Checks whether an endpoint that ended a connection is still running. */
export type EndCheck = (view: EndpointView) => Promise<EndCheckResult>

/** Options of {@linkcode createEndCheck}. */
export interface EndCheckOptions {
  dial (view: EndpointView, options: DialOptions): Promise<DialResult>
  /** Returns when an endpoint last sent anything, in milliseconds on the steady clock. */
  lastActivityAtMs (view: EndpointView): number
}

/** Time in which the port of a process that ended is closed, in milliseconds. */
const CLOSE_TIME_MS = 20

/** Time until a connection attempt counts as unanswered, in milliseconds: longer than it takes until a first packet that was lost is sent again. */
const DIAL_TIMEOUT_MS = 1500

const RESULTS: Record<DialResult, EndCheckResult> = { accepted: 'alive', refused: 'ended', unanswered: 'unknown' }

/**
 * Creates a check for answers that have neither a length nor chunks: a crash ends their connection as cleanly as their end does.
 *
 * Only a connection that the endpoint accepts afterwards, or what it sends meanwhile, shows that it is alive. A connection that was opened before may look open
 * although it has ended: its end is read late, or not at all while its answer is paused.
 */
export function createEndCheck ({ dial, lastActivityAtMs }: EndCheckOptions): EndCheck {
  return async (view) => {
    await delay(CLOSE_TIME_MS)
    await setImmediate()
    const sinceMs = steadyNow()
    const result = RESULTS[await dial(view, { timeoutMs: DIAL_TIMEOUT_MS })]
    return result === 'unknown' && lastActivityAtMs(view) > sinceMs ? 'alive' : result
  }
}
