/** Gossip overlay: each daemon is connected to its neighbours on several hash rings, each with its own order. */
import type { DaemonId } from '../ids/index.ts'
import type { Hash32 } from '../routing/subset.ts'

/** Options of {@linkcode neighbours}. */
export interface OverlayOptions {
  hash: Hash32
  /** Number of rings; a daemon has up to two neighbours on each. Default 3. */
  rings?: number
}

/** Neighbours of one daemon. It connects to its successors; its predecessors connect to it. */
export interface Neighbours { successors: DaemonId[], predecessors: DaemonId[] }

const DEFAULT_RINGS = 3

/**
 * Returns the neighbours of a daemon on all rings.
 *
 * The rings together form a random regular graph: it stays connected when a failure domain is lost, and gossip reaches all daemons in few hops,
 * while the number of connections per daemon does not grow with the fleet.
 */
export function neighbours (self: DaemonId, members: readonly DaemonId[], options: OverlayOptions): Neighbours {
  const successors = new Set<DaemonId>()
  const predecessors = new Set<DaemonId>()
  for (let ring = 0; ring < (options.rings ?? DEFAULT_RINGS); ring++) {
    const { next, previous } = adjacentOnRing(self, members, (id) => options.hash(`${ring}/${id}`))
    if (next !== undefined) successors.add(next)
    if (previous !== undefined) predecessors.add(previous)
  }
  return { successors: [...successors], predecessors: [...predecessors].filter((id) => !successors.has(id)) }
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
