import { expect, test } from 'vitest'
import xxhash from 'xxhash-wasm'
import { as, type DaemonId, type FailureDomain, type Region } from '../ids/index.ts'
import type { Member } from '../membership/index.ts'
import { RegionTopology } from '../topology/index.ts'
import { changeSources, sourcePlan } from './change_sources.ts'

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

test('standbys are the daemons ranked next, of different failure domains, and each asks the ones before it', () => {
  const members = fleet(40, 5)
  const plans = members.map((self) => ({ self, plan: sourcePlan(self, members, { hash }) }))
  const standbys = plans.filter(({ plan }) => plan.role === 'standby')
  expect(new Set(standbys.map(({ self }) => self.failureDomain)).size).toBe(4)
  expect(standbys.map(({ plan }) => plan.beforeStore.length).sort()).toEqual([2, 3, 4, 5])
  for (const { self, plan } of plans) for (const { member, direct } of plan.beforeStore) if (member.failureDomain !== self.failureDomain && !direct) expect(plans.find((other) => other.self === member)!.plan.role).toBe('watcher')
})

test.each([9, 67, 195, 420])('with two regions, each has watchers of its own and only these ask another region (%i daemons)', (daemons) => {
  // Guards against each change crossing the link between regions once for each daemon or relay.
  const members = fleet(daemons, 4)
  const regions = new Map([0, 1, 2, 3].map((i) => [as<FailureDomain>(`domain-${i}`), as<Region>(i < 2 ? 'north' : 'south')]))
  const plans = members.map((self) => {
    const topology = new RegionTopology({ ownDomain: self.failureDomain, regions })
    const plan = sourcePlan(self, members, { hash, topology })
    return { self, plan, farSources: [...plan.beforeStore, ...plan.afterStore].filter(({ member }) => !topology.isLocal(member.failureDomain)) }
  })
  const watchers = plans.filter(({ plan }) => plan.role === 'watcher')
  expect(watchers.map(({ self }) => self.failureDomain).sort()).toEqual(['domain-0', 'domain-1', 'domain-2', 'domain-3'])
  for (const { plan, farSources } of plans) {
    expect(farSources.every(({ far, direct }) => far && direct)).toBe(true)
    expect(farSources.length).toBe(plan.role === 'watcher' ? 2 : 0)
  }
})
