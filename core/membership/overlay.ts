/** Gossip overlay: each daemon is connected to its neighbours on several hash rings, each with its own order. */
import type { DaemonId, Region } from '../ids/index.ts'
import type { Hash32 } from '../routing/subset.ts'

/** Options of {@linkcode neighbours}. */
export interface OverlayOptions {
  hash: Hash32
  /** Number of rings; a daemon has up to two neighbours on each. Default 3. */
  rings?: number
  /** Region of a daemon; undefined if the settings do not name it. Default: all daemons are in one region. */
  regionOf?: (id: DaemonId) => Region | undefined
}

/** Neighbours of one daemon. It connects to its successors; its predecessors connect to it. */
export interface Neighbours { successors: DaemonId[], predecessors: DaemonId[] }

const DEFAULT_RINGS = 3
/** Number of rings that run over all regions; the others are laid within each. */
const RINGS_OVER_ALL = 1
/** Number of links between regions over which updates are forwarded. */
const UPDATE_LINKS = 4
/** Number of these between each two regions that have so many, which come first. */
const UPDATE_LINKS_PER_PAIR = 2

/**
 * Returns the neighbours of a daemon on all rings.
 *
 * The rings together form a random regular graph: it stays connected when a failure domain is lost, and gossip reaches all daemons in few hops,
 * while the number of connections per daemon does not grow with the fleet.
 *
 * With several regions only one ring runs over all of them. It is in random order, so that most daemons have a neighbour in another region: if the link
 * between two regions is cut, each side soon notices for most daemons of the other.
 */
export function neighbours (self: DaemonId, members: readonly DaemonId[], options: OverlayOptions): Neighbours {
  const successors = new Set<DaemonId>()
  const predecessors = new Set<DaemonId>()
  const { hash, rings = DEFAULT_RINGS, regionOf } = options
  const inRegion = regionOf ? members.filter((id) => regionOf(id) === regionOf(self)) : members
  for (let ring = 0; ring < rings; ring++) {
    const { next, previous } = adjacentOnRing(self, ring < rings - RINGS_OVER_ALL ? inRegion : members, (id) => hash(`${ring}/${id}`))
    if (next !== undefined) successors.add(next)
    if (previous !== undefined) predecessors.add(previous)
  }
  return { successors: [...successors], predecessors: [...predecessors].filter((id) => !successors.has(id)) }
}

/**
 * Returns the neighbours in other regions to which a daemon forwards updates. All daemons that know the same members agree on these few links, so that an update
 * crosses a bounded number of times; what is lost on them is repaired by the digests on the others.
 */
export function updateLinks (self: DaemonId, members: readonly DaemonId[], { hash, rings = DEFAULT_RINGS, regionOf }: OverlayOptions): Set<DaemonId> {
  if (!regionOf) return new Set()
  const ring = members.map((id) => ({ id, position: hash(`${rings - 1}/${id}`) })).sort((a, b) => a.position - b.position).map(({ id }) => id)
  const crossing = ring.map((id, i): [DaemonId, DaemonId] => [id, ring[(i + 1) % ring.length]!]).filter(([from, to]) => regionOf(from) !== regionOf(to))
  const ranked = crossing.map((ends) => ({ ends, regions: ends.map((id) => String(regionOf(id))).sort().join('/'), rank: hash(ends.join('/')) })).sort((a, b) => b.rank - a.rank)
  const linksOfPair = new Map<string, number>()
  const firstOfPairs = ranked.filter(({ regions }) => {
    const links = (linksOfPair.get(regions) ?? 0) + 1
    linksOfPair.set(regions, links)
    return links <= UPDATE_LINKS_PER_PAIR
  })
  const chosen = [...new Set([...firstOfPairs, ...ranked.slice(0, UPDATE_LINKS)])].slice(0, Math.max(UPDATE_LINKS, firstOfPairs.length)).map(({ ends }) => ends)
  return new Set(chosen.filter((ends) => ends.includes(self)).flat().filter((id) => id !== self))
}

/** Finds the next and the previous daemon on a ring, in a single pass instead of a sort. */
function adjacentOnRing (self: DaemonId, members: readonly DaemonId[], positionOf: (id: DaemonId) => number): { next?: DaemonId, previous?: DaemonId } {
  const ownPosition = positionOf(self)
  let next: DaemonId | undefined
  let previous: DaemonId | undefined
  let nextDistance = Infinity
  let previousDistance = Infinity
  for (const id of members) {
    if (id === self) continue
    const position = positionOf(id)
    const distanceAhead = (position - ownPosition + RING_SIZE) % RING_SIZE || RING_SIZE
    const distanceBehind = (ownPosition - position + RING_SIZE) % RING_SIZE || RING_SIZE
    if (distanceAhead < nextDistance) [next, nextDistance] = [id, distanceAhead]
    if (distanceBehind < previousDistance) [previous, previousDistance] = [id, distanceBehind]
  }
  return { ...(next !== undefined && { next }), ...(previous !== undefined && { previous }) }
}

/** Positions are unsigned 32-bit hashes. */
const RING_SIZE = 2 ** 32
