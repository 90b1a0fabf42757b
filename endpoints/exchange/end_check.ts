/** Distinguishes the end of an answer without a length from the end of the endpoint that wrote it. */
import { setImmediate } from 'node:timers/promises'
import type { EndpointView } from '../../core/routing/index.ts'
import { delay } from '../../core/time/index.ts'
import type { DialResult } from '../dial.ts'

/** What is known of an endpoint after it ended a connection. */
export type EndCheckResult = 'alive' | 'ended' | 'unknown'

/** Checks whether an endpoint that ended a connection is still running. */
export type EndCheck = (view: EndpointView) => Promise<EndCheckResult>

/** Options of {@linkcode createEndCheck}. */
export interface EndCheckOptions {
  /** Returns whether any connection to an endpoint is open. */
  isConnected (view: EndpointView): boolean
  dial (view: EndpointView): Promise<DialResult>
}

/** Time in which all connections and the port of a process that ended are closed, in milliseconds. */
const CLOSE_TIME_MS = 20

const RESULTS: Record<DialResult, EndCheckResult> = { accepted: 'alive', refused: 'ended', unanswered: 'unknown' }

/**
 * Creates a check for answers that have neither a length nor chunks: a crash ends their connection as cleanly as their end does.
 *
 * An endpoint to which another connection stays open is alive; only without one is it dialled.
 */
export function createEndCheck ({ isConnected, dial }: EndCheckOptions): EndCheck {
  return async (view) => {
    await delay(CLOSE_TIME_MS)
    // After a pause of this process its timers run before it reads which connections have ended meanwhile.
    await setImmediate()
    return isConnected(view) ? 'alive' : RESULTS[await dial(view)]
  }
}
