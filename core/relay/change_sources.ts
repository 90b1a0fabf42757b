/** Selects the daemons from which a daemon gets changes of the store. */
import type { DaemonId, Region } from '../ids/index.ts'
import { rankedFor, type Member } from '../membership/index.ts'
import type { Hash32 } from '../routing/index.ts'
import type { Topology } from '../topology/index.ts'

/** Options of {@linkcode changeSources}. */
export interface ChangeSourcesOptions {
  hash: Hash32
  /** Regions as seen by the daemon that asks. Default: all daemons are in one region. */
  topology?: Pick<Topology, 'isLocal' | 'regionOf'>
}

/** Key for ranking the daemons that watch the store. */
const WATCH_JOB = 'store-watch'
/** Number of daemons of a region that watch the store directly. One continues while the other is cut off; more would cost more calls, which the store counts. */
const WATCHER_COUNT = 2
/** Minimum number of relays in a failure domain: daemons that ask the watchers on behalf of the others there. */
const MIN_RELAYS = 2
/**
 * Number of daemons that replace watchers that lost the store. If the store refuses a third of the daemons at random, it refuses all four in one case of 81,
 * and then each daemon asks it itself.
 */
const STANDBY_COUNT = 4
/** Target for the maximum number of daemons that ask the same one. Some hosts have only a third of a core and also serve callers. */
const MAX_FOLLOWERS = 16

/** A daemon to ask for changes of the store. */
export interface ChangeSource {
  member: Member
  /** True if it may answer only while it watches the store itself. Standbys would otherwise ask in a circle. */
  direct: boolean
  /** True if its changes may be passed on to other daemons. */
  passedOn: boolean
  /** True if it is in another region. */
  far: boolean
}

/** How a daemon gets the changes of the store. */
export interface SourcePlan {
  /** Watchers watch the store. Standbys do while no watcher has it, one after the other. The rest ask these. */
  role: 'watcher' | 'standby' | 'follower'
  /** Daemons to ask before the store, in order. */
  beforeStore: ChangeSource[]
  /** Daemons to ask after the store did not serve this daemon, in order. */
  afterStore: ChangeSource[]
  /** Daemons to ask after the store did not list its objects for this daemon, in order. In an outage each daemon asks them at each attempt. */
  afterListing: ChangeSource[]
}

/**
 * Returns whom a daemon asks for changes of the store, and when.
 *
 * While no watcher has the store, the first standby that has it watches it: each asks the ones before it first. What a watcher or standby hears from the ones
 * after it, it does not pass on, since these ask it first.
 *
 * Each region has its own watchers and standbys, so that a change crosses to a region without the store once for each watcher. Only the watchers of a region
 * without access to the store ask those of another one.
 * @param self This daemon.
 * @param working Daemons that accept new work, including this one.
 */
export function sourcePlan (self: Member, working: readonly Member[], options: ChangeSourcesOptions): SourcePlan {
  const roles = selectRoles(working, options)
  const { watchers, standbys } = roles
  const asked = (members: readonly Member[], how: Pick<ChangeSource, 'direct' | 'passedOn'>) => members.filter(({ id }) => id !== self.id).map((member) => ({ member, ...how, far: false }))
  if (includesId(watchers, self.id)) {
    const farWatchers = rotate(watchersElsewhere(working, options), options.hash(self.id)).map((member) => ({ member, direct: true, passedOn: true, far: true }))
    const afterStore = [...asked([...watchers, ...standbys], { direct: true, passedOn: false }), ...farWatchers]
    return { role: 'watcher', beforeStore: [], afterStore, afterListing: afterStore }
  }
  const position = standbys.findIndex(({ id }) => id === self.id)
  const earlier = position < 0 ? standbys : standbys.slice(0, position)
  const primary = asked(primarySources(self, roles, options), { direct: false, passedOn: true })
  const beforeStore = [...primary, ...asked(earlier, { direct: true, passedOn: true })]
  if (position < 0) {
    const asksRelays = primary.some(({ member }) => !includesId(watchers, member.id))
    return { role: 'follower', beforeStore, afterStore: beforeStore, afterListing: asksRelays ? primary.slice(0, MIN_RELAYS) : beforeStore }
  }
  const afterStore = [...beforeStore, ...asked(standbys.slice(position + 1), { direct: true, passedOn: false })]
  return { role: 'standby', beforeStore, afterStore, afterListing: afterStore }
}

/**
 * Returns the daemons that this one asks first for changes of the store, in order of preference.
 *
 * If every daemon watched the store, its load would grow with the fleet: 420 daemons would make 420 calls for each change of one endpoint's entry. Only two
 * daemons of a region watch it. In small fleets the others ask these two; in large fleets a few relays of each failure domain ask them and the rest ask the relays, so that
 * no daemon is asked by more than two or three dozen others.
 *
 * Every daemon computes this from the members that it knows. If two daemons know different members, one more daemon watches or asks, and no change is lost.
 * @param self This daemon.
 * @param working Daemons that accept new work, including this one.
 * @returns Daemons to ask, in order of preference; empty if this daemon watches the store itself.
 * @example `changeSources(self, working, { hash })[0] ?? 'the store'`
 */
export function changeSources (self: Member, working: readonly Member[], options: ChangeSourcesOptions): Member[] {
  return primarySources(self, selectRoles(working, options), options)
}

interface Roles { ranked: Member[], watchers: Member[], standbys: Member[] }

function primarySources (self: Member, { ranked, watchers, standbys }: Roles, { hash }: ChangeSourcesOptions): Member[] {
  if (includesId(watchers, self.id)) return []
  const followers = ranked.filter((member) => member.failureDomain === self.failureDomain && !includesId(watchers, member.id))
  const relays = followers.slice(0, Math.max(MIN_RELAYS, Math.ceil(followers.length / MAX_FOLLOWERS)))
  const asksWatchersDirectly = ranked.length <= WATCHER_COUNT * (MAX_FOLLOWERS + 1) || relays.length === 0 || includesId(relays, self.id) || includesId(standbys, self.id)
  return rotate(asksWatchersDirectly ? watchers : relays, hash(self.id))
}

function selectRoles (working: readonly Member[], { hash, topology }: ChangeSourcesOptions): Roles {
  const ranked = rankedFor(WATCH_JOB, topology ? working.filter(({ failureDomain }) => topology.isLocal(failureDomain)) : working, hash)
  const watchers = selectWatchers(ranked)
  return { ranked, watchers, standbys: selectStandbys(ranked.filter(({ id }) => !includesId(watchers, id))) }
}

/** Watchers of the other regions. */
function watchersElsewhere (working: readonly Member[], { hash, topology }: ChangeSourcesOptions): Member[] {
  if (!topology) return []
  const byRegion = new Map<Region | undefined, Member[]>()
  for (const member of working) {
    if (topology.isLocal(member.failureDomain)) continue
    const region = topology.regionOf(member.failureDomain)
    byRegion.set(region, [...byRegion.get(region) ?? [], member])
  }
  return [...byRegion.values()].flatMap((members) => selectWatchers(rankedFor(WATCH_JOB, members, hash)))
}

/** Takes one daemon of each failure domain in turn: the store may refuse a whole domain. */
function selectStandbys (ranked: readonly Member[]): Member[] {
  const selected: Member[] = []
  const timesTaken = new Map<string, number>()
  while (selected.length < Math.min(STANDBY_COUNT, ranked.length)) {
    const left = ranked.filter(({ id }) => !includesId(selected, id))
    const times = ({ failureDomain }: Member) => timesTaken.get(failureDomain) ?? 0
    const next = left.reduce((best, member) => (times(member) < times(best) ? member : best))
    timesTaken.set(next.failureDomain, times(next) + 1)
    selected.push(next)
  }
  return selected
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
