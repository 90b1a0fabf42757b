import { expect, test } from 'vitest'
import xxhash from 'xxhash-wasm'
import { as, type DaemonId, type FailureDomain } from '../ids/index.ts'
import type { Member } from '../membership/index.ts'
import { changeSources } from './change_sources.ts'

const { h32: hash } = await xxhash()

function fleet (daemons: number, domains: number): Member[] {
  return Array.from({ length: daemons }, (_, i) => ({
    id: as<DaemonId>(`edge-${i}`),
    incarnation: 1,
    state: 'up',
    address: `10.0.0.${i}:1`,
    failureDomain: as<FailureDomain>(`domain-${i % domains}`),
    revision: 0,
    heir: undefined
  }))
}

test('two daemons watch the store in fleets of any size, and none is asked by more than 36 others', () => {
  // Guards against every daemon watching the store: each change of one endpoint would cost one call per daemon, and the rate limit or price of the store would
  // be reached first.
  for (const [daemons, domains] of [[1, 1], [2, 1], [9, 3], [24, 5], [87, 4], [195, 5], [300, 5], [420, 8]] as const) {
    const members = fleet(daemons, domains)
    const sources = members.map((self) => changeSources(self, members, { hash }))
    const asked = new Map<DaemonId, number>()
    for (const [first] of sources) if (first) asked.set(first.id, (asked.get(first.id) ?? 0) + 1)
    expect(sources.filter((found) => found.length === 0)).toHaveLength(Math.min(2, daemons))
    expect(Math.max(0, ...asked.values())).toBeLessThanOrEqual(36)
  }
})

test('the watching daemons are in two different failure domains', () => {
  // Guards against both watchers being in a domain that loses its connection to the store: no daemon would learn of a leaving endpoint until each asked the
  // store itself.
  for (let size = 2; size < 60; size++) {
    const members = fleet(size, 3)
    const watchers = members.filter((self) => changeSources(self, members, { hash }).length === 0)
    expect(new Set(watchers.map(({ failureDomain }) => failureDomain)).size).toBe(2)
  }
})

test('in a large fleet daemons ask relays in their failure domain, and only relays ask the watchers', () => {
  const members = fleet(195, 5)
  const watchers = members.filter((self) => changeSources(self, members, { hash }).length === 0).map(({ id }) => id)
  const askers = members.filter((self) => watchers.includes(changeSources(self, members, { hash })[0]?.id as DaemonId))
  expect(askers.length).toBeLessThanOrEqual(15)
  for (const self of members) {
    const [first] = changeSources(self, members, { hash })
    if (first && !watchers.includes(first.id)) expect(first.failureDomain).toBe(self.failureDomain)
  }
})

test('when a source leaves, the others select the next one without communication', () => {
  const members = fleet(40, 2)
  const [first, second] = changeSources(members[7]!, members, { hash })
  expect(second).toBeDefined()
  const left = members.filter(({ id }) => id !== first!.id)
  const found = changeSources(members[7]!, left, { hash })
  expect(found.map(({ id }) => id)).not.toContain(first!.id)
})
