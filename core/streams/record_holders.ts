/** Selection of the daemons that hold the record of a stream. */
import type { DaemonId, FailureDomain, StreamKey } from '../ids/index.ts'
import type { Member } from '../membership/index.ts'
import type { Hash32 } from '../routing/index.ts'

/** Daemons that hold the record of a stream, besides the one that began it. It survives while one of them does. */
export const HOLDER_COUNT = 3
/** Daemons among which holders are selected: each daemon has links to at most this many for its records. */
export const MAX_HOLDERS = 32

/**
 * Ranks the daemons that may hold the record of a stream: the best of each failure domain first, then the second of each, and so on.
 *
 * The rank depends on the stream and the members alone, so that a daemon that has just started finds the record where others put it, and a member that
 * joins or leaves changes the rank of few streams.
 */
export function rankHolders (key: StreamKey | undefined, members: readonly Member[], { hash }: { hash: Hash32 }): Member[] {
  const byRank = eligible(members, hash).map((member) => ({ member, rank: hash(`${key ?? ''}/${member.id}`) })).sort((a, b) => b.rank - a.rank)
  const inDomain = new Map<FailureDomain, number>()
  return byRank.map(({ member }) => {
    const round = inDomain.get(member.failureDomain) ?? 0
    inDomain.set(member.failureDomain, round + 1)
    return { member, round }
  }).sort((a, b) => a.round - b.round).map(({ member }) => member)
}

/** Returns whether any daemon may ask a member for the record of a stream. `members` are all that can be reached, with the member itself. */
export function mayHoldRecords (self: DaemonId, members: readonly Member[], { hash }: { hash: Hash32 }): boolean {
  // The daemon that asks is none of the holders, which leaves room for one more.
  return ranked(members, hash).slice(0, MAX_HOLDERS + 1).some(({ id }) => id === self)
}

function eligible (members: readonly Member[], hash: Hash32): readonly Member[] {
  if (members.length <= MAX_HOLDERS) return members
  return ranked(members, hash).slice(0, MAX_HOLDERS)
}

function ranked (members: readonly Member[], hash: Hash32): Member[] {
  return members.map((member) => ({ member, rank: hash(`stream-records/${member.id}`) })).sort((a, b) => b.rank - a.rank).map(({ member }) => member)
}
