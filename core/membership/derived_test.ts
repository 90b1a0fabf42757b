import { expect, test } from 'vitest'
import { as, type DaemonId, type FailureDomain } from '../ids/index.ts'
import { Derived, Membership, type Member } from './index.ts'

const member = (name: string, change: Partial<Member> = {}): Member => ({ id: as<DaemonId>(name), address: `${name}:1`, failureDomain: as<FailureDomain>('a'), incarnation: 1, state: 'up', revision: 0, heir: undefined, ...change })

test('what was worked out from the members is worked out anew after each change of a record, and not before', () => {
  // Questions about quotas go to a daemon that left: who counts them was remembered, and a change of the members did not undo it.
  const membership = new Membership({ self: member('self'), hash: (text) => text.length, now: 0 })
  const names = new Derived<string[]>()
  let derived = 0
  const up = () => names.get(membership.version, () => {
    derived++
    return membership.members.filter(({ state }) => state === 'up').map(({ id }) => id)
  })
  const hear = (...members: Member[]) => membership.receive(as<DaemonId>('other'), { members, facts: [] }, 10)
  expect([up(), up(), derived]).toEqual([['self'], ['self'], 1])
  hear(member('other'))
  expect([up(), derived]).toEqual([['self', 'other'], 2])
  hear(member('other'))
  expect([up(), derived]).toEqual([['self', 'other'], 2])
  hear(member('other', { state: 'left', incarnation: 2 }))
  expect([up(), derived]).toEqual([['self'], 3])
  membership.setSelf({ state: 'draining' }, 20)
  expect([up(), derived]).toEqual([[], 4])
})
