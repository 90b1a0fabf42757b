/** Selects the daemons from which a daemon gets changes of the store. */
import type { DaemonId } from '../ids/index.ts'
import { rankedFor, type Member } from '../membership/index.ts'
import type { Hash32 } from '../routing/index.ts'

/** Options of {@linkcode changeSources}. */
export interface ChangeSourcesOptions {
  hash: Hash32
}

/** Key for ranking the daemons that watch the store. */
const WATCH_JOB = 'store-watch'
/** Number of daemons that watch the store directly. One continues while the other is cut off; more would cost more calls, which the store counts. */
const WATCHER_COUNT = 2
/** Minimum number of relays in a failure domain: daemons that ask the watchers on behalf of the others there. */
const MIN_RELAYS = 2
/** Target for the maximum number of daemons that ask the same one. Some hosts have only a third of a core and also serve callers. */
const MAX_FOLLOWERS = 16

/**
 * Returns the daemons that this one may ask for changes of the store, in order of preference.
 *
 * If every daemon watched the store, its load would grow with the fleet: 420 daemons would make 420 calls for each change of one endpoint's entry. Only two
 * daemons watch it. In small fleets the others ask these two; in large fleets a few relays of each failure domain ask them and the rest ask the relays, so that
 * no daemon is asked by more than two or three dozen others.
 *
 * Every daemon computes this from the members that it knows. If two daemons know different members, one more daemon watches or asks, and no change is lost.
 * @param self This daemon.
 * @param working Daemons that accept new work, including this one.
 * @returns Daemons to ask, in order of preference; empty if this daemon watches the store itself.
 * @example `changeSources(self, working, { hash })[0] ?? 'the store'`
 */
export function changeSources (self: Member, working: readonly Member[], options: ChangeSourcesOptions): Member[] {
  const ranked = rankedFor(WATCH_JOB, working, options.hash)
  const watchers = selectWatchers(ranked)
  if (includesId(watchers, self.id)) return []
  const followers = ranked.filter((member) => member.failureDomain === self.failureDomain && !includesId(watchers, member.id))
  const relays = followers.slice(0, Math.max(MIN_RELAYS, Math.ceil(followers.length / MAX_FOLLOWERS)))
  const asksWatchersDirectly = working.length <= WATCHER_COUNT * (MAX_FOLLOWERS + 1) || relays.length === 0 || includesId(relays, self.id)
  return rotate(asksWatchersDirectly ? watchers : relays, options.hash(self.id))
}

/**
 * Selects watchers in two different failure domains if there are two. If both watchers were in a domain that is cut off from the store, no daemon would get
 * changes until each asked the store itself.
 */
function selectWatchers (ranked: readonly Member[]): Member[] {
  const [first, ...others] = ranked
  if (!first) return []
  const inOtherDomains = others.filter(({ failureDomain }) => failureDomain !== first.failureDomain)
  return [first, ...(inOtherDomains.length > 0 ? inOtherDomains : others).slice(0, WATCHER_COUNT - 1)]
}

function includesId (members: readonly Member[], id: DaemonId): boolean {
  return members.some((member) => member.id === id)
}

/** Rotates the list by an offset that differs between daemons, to distribute their requests over the list. */
function rotate (members: readonly Member[], offset: number): Member[] {
  const start = members.length === 0 ? 0 : offset % members.length
  return [...members.slice(start), ...members.slice(0, start)]
}
