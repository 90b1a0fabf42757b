/** Whom a daemon asks what has changed in the store. */
import type { DaemonId } from '../ids/index.ts'
import { rankedFor, type Member } from '../membership/index.ts'
import type { Hash32 } from '../routing/index.ts'

/** Options of {@linkcode newsSources}. */
export interface NewsSourcesOptions {
  hash: Hash32
}

const JOB = 'store-watch'
/** Daemons that watch the store themselves: one goes on while the other is cut off, and each watch is a call that the store counts. */
const WATCHERS = 2
/** Fewest daemons of one failure domain that ask the watchers for all others there. */
const LEAST_RELAYS = 2
/** Most daemons that ask one other: some hosts have a third of a core, and serve callers beside. */
const MOST_LISTENERS = 16

/**
 * Orders the daemons that may tell this one what changed in the store.
 *
 * If every daemon watched the store, what it is asked would grow with the fleet: 420 daemons would make 420 calls for each change of one endpoint's entry.
 * Two watch; small fleets ask these two, and in large ones a few daemons of each failure domain stand between, so that none is asked by more than two or three dozen.
 * All daemons work this out alike from the members that they know; where two know different members, one more daemon watches or asks, and nothing is lost.
 * @param self This daemon.
 * @param working Daemons that take new work, this one included.
 * @returns Daemons to ask, the first choice first; none when this daemon watches the store itself.
 * @example `newsSources(self, working, { hash })[0] ?? 'the store'`
 */
export function newsSources (self: Member, working: readonly Member[], options: NewsSourcesOptions): Member[] {
  const ranked = rankedFor(JOB, working, options.hash)
  const watchers = watchersOf(ranked)
  if (has(watchers, self.id)) return []
  const others = ranked.filter((member) => member.failureDomain === self.failureDomain && !has(watchers, member.id))
  const relays = others.slice(0, Math.max(LEAST_RELAYS, Math.ceil(others.length / MOST_LISTENERS)))
  const asksWatchers = working.length <= WATCHERS * (MOST_LISTENERS + 1) || relays.length === 0 || has(relays, self.id)
  return startingAt(asksWatchers ? watchers : relays, options.hash(self.id))
}

/** In two failure domains where there are two: a domain that is cut off from the store as a whole would leave all others without news until they ask themselves. */
function watchersOf (ranked: readonly Member[]): Member[] {
  const [first, ...others] = ranked
  if (!first) return []
  const elsewhere = others.filter(({ failureDomain }) => failureDomain !== first.failureDomain)
  return [first, ...(elsewhere.length > 0 ? elsewhere : others).slice(0, WATCHERS - 1)]
}

function has (members: readonly Member[], id: DaemonId): boolean {
  return members.some((member) => member.id === id)
}

/** Each begins with another one, so that they share the asking. */
function startingAt (members: readonly Member[], place: number): Member[] {
  const first = members.length === 0 ? 0 : place % members.length
  return [...members.slice(first), ...members.slice(0, first)]
}
