import { expect, test } from 'vitest'
import { as, type DaemonId, type FailureDomain } from '../ids/index.ts'
import { VersionedCache, Membership, type Member } from './index.ts'

const member = (name: string, change: Partial<Member> = {}): Member => ({ id: as<DaemonId>(name), address: `${name}:1`, failureDomain: as<FailureDomain>('a'), incarnation: 1, state: 'up', revision: 0, heir: undefined, ...change })

test('a cached value is recomputed after each change of a member record, and only then', () => {
  // Guards against quota requests to a daemon that has left: the cached quota keeper was not invalidated by the change of membership.
  const membership = new Membership({ self: member('self'), hash: (text) => text.length, now: 0 })
  const names = new VersionedCache<string[]>()
  let computations = 0
  const upMembers = () => names.get(membership.version, () => {
    computations++
    return membership.members.filter(({ state }) => state === 'up').map(({ id }) => id)
  })
  const receive = (...members: Member[]) => membership.receive(as<DaemonId>('other'), { members, facts: [] }, 10)
  expect([upMembers(), upMembers(), computations]).toEqual([['self'], ['self'], 1])
  receive(member('other'))
  expect([upMembers(), computations]).toEqual([['self', 'other'], 2])
  receive(member('other'))
  expect([upMembers(), computations]).toEqual([['self', 'other'], 2])
  receive(member('other', { state: 'left', incarnation: 2 }))
  expect([upMembers(), computations]).toEqual([['self'], 3])
  membership.setSelf({ state: 'draining' }, 20)
  expect([upMembers(), computations]).toEqual([[], 4])
})
