/** Which daemons do a shared job first, agreed on without asking anybody. */
import type { DaemonId } from '../ids/index.ts'
import type { Hash32 } from '../routing/subset.ts'

/** What a ranking needs to know of a daemon. */
export interface Ranked {
  id: DaemonId
  /** Processor cores that its host gives it. Default 1. */
  cores?: number
}

/**
 * Orders daemons for a job: those on strong hosts first, and by rendezvous hashing among hosts alike.
 *
 * A job for the whole fleet grows with it: in a large one it takes a quarter of a core and more, and a weak host serves callers beside. Hosts count as alike up to a
 * factor of two, so that jobs are spread over them. Daemons that know the same members name the same first one; when it goes, only its own jobs move.
 * @example `rankedFor('quotas', members, hash)[0]` is the daemon that counts quotas.
 */
export function rankedFor<T extends Ranked> (job: string, members: readonly T[], hash: Hash32): T[] {
  return members.map((member) => ({ member, strength: strengthOf(member), rank: hash(`${job}/${member.id}`) }))
    .sort((a, b) => b.strength - a.strength || b.rank - a.rank)
    .map(({ member }) => member)
}

function strengthOf ({ cores = 1 }: Ranked): number {
  return Math.floor(Math.log2(cores))
}
