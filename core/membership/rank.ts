/** Which daemons do a shared job first, agreed on without asking anybody. */
import type { DaemonId } from '../ids/index.ts'
import type { Hash32 } from '../routing/subset.ts'

/**
 * Orders daemons for a job by rendezvous hashing.
 *
 * Daemons that know the same members name the same first one; when it goes, only its own jobs move.
 * @example `rankedFor('quotas', members, hash)[0]` is the daemon that counts quotas.
 */
export function rankedFor<T extends { id: DaemonId }> (job: string, members: readonly T[], hash: Hash32): T[] {
  return members.map((member) => ({ member, rank: hash(`${job}/${member.id}`) }))
    .sort((a, b) => b.rank - a.rank)
    .map(({ member }) => member)
}
