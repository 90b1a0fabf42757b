/** Deterministic choice of the few endpoints that one daemon connects to. */
import type { DaemonId } from '../ids/index.ts'

/** Hashes a text to an unsigned 32-bit number. */
export type Hash32 = (text: string) => number

/** Options of {@linkcode subset}. */
export interface SubsetOptions {
  hash: Hash32
  /** Endpoints to keep. Default 24. */
  size?: number
}

const DEFAULT_SIZE = 24

/**
 * Keeps the endpoints that rank highest for a daemon by rendezvous hashing.
 *
 * A daemon that joins or an endpoint that leaves changes one place in the subsets it touches and no other.
 * @example `subset(daemon, endpoints, { hash, size: 24 })`
 */
export function subset<T extends { id: string }> (daemon: DaemonId, endpoints: readonly T[], options: SubsetOptions): T[] {
  const size = options.size ?? DEFAULT_SIZE
  if (endpoints.length <= size) return [...endpoints]
  const ranked = endpoints.map((endpoint) => ({ endpoint, rank: options.hash(`${daemon}/${endpoint.id}`) }))
  ranked.sort((a, b) => b.rank - a.rank)
  return ranked.slice(0, size).map(({ endpoint }) => endpoint)
}
