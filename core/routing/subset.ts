/** Selects deterministically the subset of endpoints that a daemon connects to. */
import type { DaemonId } from '../ids/index.ts'

/** Hashes a string to an unsigned 32-bit integer. */
export type Hash32 = (text: string) => number

/** Options of {@linkcode subset}. */
export interface SubsetOptions {
  hash: Hash32
  /** Number of endpoints in the subset. Default 24. */
  size?: number
}

const DEFAULT_SIZE = 24

/**
 * Selects the endpoints with the highest rank for a daemon by rendezvous hashing.
 *
 * When an endpoint leaves, each subset that contains it changes by one entry and all other subsets stay the same. Daemons that join or leave do not affect
 * the subsets of others.
 * @example `subset(daemon, endpoints, { hash, size: 24 })`
 */
export function subset<T extends { id: string }> (daemon: DaemonId, endpoints: readonly T[], options: SubsetOptions): T[] {
  const size = options.size ?? DEFAULT_SIZE
  if (endpoints.length <= size) return [...endpoints]
  const ranked = endpoints.map((endpoint) => ({ endpoint, rank: options.hash(`${daemon}/${endpoint.id}`) }))
  ranked.sort((a, b) => b.rank - a.rank)
  return ranked.slice(0, size).map(({ endpoint }) => endpoint)
}
