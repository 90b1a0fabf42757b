/** Work at an endpoint, by prefill priority. */

/**
 * Priority lanes in the order in which an engine prefills prompts. A prompt starts only when all earlier lanes are empty.
 *
 * `urgent` is for short classes, `normal` for long ones, and `late` for requests that can no longer meet their target: they use the remaining time and delay
 * no others.
 */
export const LANES = ['urgent', 'normal', 'late'] as const
/** A priority lane. */
export type Lane = typeof LANES[number]

/** Unfinished work at an endpoint. */
export interface WorkLoad {
  running: number
  /** Prompt tokens that are not prefilled yet, by lane. */
  unread: Record<Lane, number>
  /** Tokens of memory that the requests may take, prompts and longest answers, those promised and not sent included. Default: 0, or not counted. */
  heldTokens?: number
}

/** Returns an empty load. */
export function noWork (): WorkLoad {
  return { running: 0, unread: { urgent: 0, normal: 0, late: 0 } }
}

/** Adds `more` to `sum` in place, or subtracts it with a `sign` of -1, and returns `sum`. Values never become negative. */
export function addWork (sum: WorkLoad, more: WorkLoad, sign: 1 | -1 = 1): WorkLoad {
  sum.running = Math.max(0, sum.running + sign * more.running)
  for (const lane of LANES) sum.unread[lane] = Math.max(0, sum.unread[lane] + sign * more.unread[lane])
  if (more.heldTokens !== undefined) addHeldTokens(sum, sign * more.heldTokens)
  return sum
}

/** Adds tokens to those that a load holds, in place; a negative number removes them. Loads that hold none do not carry the field. */
export function addHeldTokens (load: WorkLoad, tokens: number): void {
  const held = Math.max(0, (load.heldTokens ?? 0) + tokens)
  if (held > 0) load.heldTokens = held
  else delete load.heldTokens
}

/** Returns the number of tokens that are prefilled before those of a new request in a lane. */
export function unreadBefore (load: WorkLoad, lane: Lane): number {
  let tokens = 0
  for (const each of LANES) {
    tokens += load.unread[each]
    if (each === lane) break
  }
  return tokens
}
