/** Which few daemons each daemon talks to: neighbours on several rings, each in another order. */
import type { DaemonId } from '../ids/index.ts'
import type { Hash32 } from '../routing/subset.ts'

/** Options of {@linkcode neighbours}. */
export interface OverlayOptions {
  hash: Hash32
  /** Rings; a daemon has up to two neighbours on each. Default 3. */
  rings?: number
}

/** Neighbours of one daemon. It dials its successors; its predecessors dial it. */
export interface Neighbours { successors: DaemonId[], predecessors: DaemonId[] }

const DEFAULT_RINGS = 3

/**
 * Finds the neighbours of a daemon by its place on each ring.
 *
 * The rings together form a random regular graph: it stays connected when a failure domain goes, and a rumour reaches all daemons in
 * few hops, while the number of links does not grow with the fleet.
 */
export function neighbours (self: DaemonId, members: readonly DaemonId[], options: OverlayOptions): Neighbours {
  const successors = new Set<DaemonId>()
  const predecessors = new Set<DaemonId>()
  for (let ring = 0; ring < (options.rings ?? DEFAULT_RINGS); ring++) {
    const { next, previous } = besides(self, members, (id) => options.hash(`${ring}/${id}`))
    if (next !== undefined) successors.add(next)
    if (previous !== undefined) predecessors.add(previous)
  }
  return { successors: [...successors], predecessors: [...predecessors].filter((id) => !successors.has(id)) }
}

/** One pass instead of a sort: the closest place after and before the daemon's own, wrapping round. */
function besides (self: DaemonId, members: readonly DaemonId[], placeOf: (id: DaemonId) => number): { next?: DaemonId, previous?: DaemonId } {
  const own = placeOf(self)
  let next: DaemonId | undefined
  let previous: DaemonId | undefined
  let nextGap = Infinity
  let previousGap = Infinity
  for (const id of members) {
    if (id === self) continue
    const place = placeOf(id)
    const ahead = (place - own + RING) % RING || RING
    const behind = (own - place + RING) % RING || RING
    if (ahead < nextGap) [next, nextGap] = [id, ahead]
    if (behind < previousGap) [previous, previousGap] = [id, behind]
  }
  return { ...(next !== undefined && { next }), ...(previous !== undefined && { previous }) }
}

const RING = 2 ** 32
