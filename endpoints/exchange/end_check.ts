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
  dial (view: EndpointView): Promise<DialResult>
}

/** Time in which the port of a process that ended is closed, in milliseconds. */
const CLOSE_TIME_MS = 20

const RESULTS: Record<DialResult, EndCheckResult> = { accepted: 'alive', refused: 'ended', unanswered: 'unknown' }

/**
 * Creates a check for answers that have neither a length nor chunks: a crash ends their connection as cleanly as their end does.
 *
 * Only a connection that the endpoint accepts afterwards shows that it is alive. One that was opened before may look open although it has ended: its end is
 * read late, or not at all while its answer is paused.
 */
export function createEndCheck ({ dial }: EndCheckOptions): EndCheck {
  return async (view) => {
    await delay(CLOSE_TIME_MS)
    await setImmediate()
    return RESULTS[await dial(view)]
  }
}
