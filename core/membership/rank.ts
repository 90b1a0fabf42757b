/** Ranking of daemons for a shared job, computed by each daemon without coordination. */
import type { DaemonId } from '../ids/index.ts'
import type { Hash32 } from '../routing/subset.ts'

/** Properties of a daemon that determine its rank. */
export interface RankCandidate {
  id: DaemonId
  /** Processor cores available on its host. Default 1. */
  cores?: number
}

/**
 * Ranks daemons for a job: by the capacity tier of their host, and within a tier by rendezvous hashing.
 *
 * The cost of a fleet-wide job grows with the fleet. In a large fleet it takes a quarter of a core or more, which a small host needs to serve its
 * callers. A tier spans a factor of two in cores, so that jobs are spread over similar hosts. Daemons with the same view of the members agree on the
 * first one; when it leaves, only its own jobs move.
 * @example `rankedFor('quotas', members, hash)[0]` is the daemon that counts quotas.
 */
export function rankedFor<T extends RankCandidate> (job: string, members: readonly T[], hash: Hash32): T[] {
  return members.map((member) => ({ member, tier: capacityTier(member), rank: hash(`${job}/${member.id}`) }))
    .sort((a, b) => b.tier - a.tier || b.rank - a.rank)
    .map(({ member }) => member)
}

function capacityTier ({ cores = 1 }: RankCandidate): number {
  return Math.floor(Math.log2(cores))
}
