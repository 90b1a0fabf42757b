/** Work at an endpoint that its order of urgency keeps apart. */

/**
 * Order in which an engine reads prompts: all of a lower lane before any of a higher one.
 *
 * `urgent` for short classes, `normal` for long ones, `late` for requests that can no longer meet their target: they are served with what
 * time is left, and make no other late.
 */
export const LANES = ['urgent', 'normal', 'late'] as const
/** One lane. */
export type Lane = typeof LANES[number]

/** Work that was sent to an endpoint and is not finished. */
export interface WorkLoad {
  running: number
  /** Prompt tokens that are not read yet, by lane. */
  unread: Record<Lane, number>
}

/** No work. */
export function noWork (): WorkLoad {
  return { running: 0, unread: { urgent: 0, normal: 0, late: 0 } }
}

/** Adds work to other work, or takes it away with a `sign` of -1. */
export function addWork (sum: WorkLoad, more: WorkLoad, sign: 1 | -1 = 1): WorkLoad {
  sum.running = Math.max(0, sum.running + sign * more.running)
  for (const lane of LANES) sum.unread[lane] = Math.max(0, sum.unread[lane] + sign * more.unread[lane])
  return sum
}

/** Tokens that are read before those of a new request in a lane. */
export function unreadBefore (load: WorkLoad, lane: Lane): number {
  let tokens = 0
  for (const each of LANES) {
    tokens += load.unread[each]
    if (each === lane) break
  }
  return tokens
}
