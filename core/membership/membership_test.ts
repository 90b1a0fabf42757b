import fc from 'fast-check'
import { expect, test } from 'vitest'
import { as, type DaemonId, type FailureDomain } from '../ids/index.ts'
import { GONE_AFTER_MS, HEARTBEAT_MS, Membership, neighbours, supersedes, SUSPECT_AFTER_MS, type Gossip, type Member, type MembershipEffect, type MemberState } from './index.ts'

const id = (name: string) => as<DaemonId>(name)
const hash = (text: string) => [...text].reduce((sum, char) => Math.imul(sum ^ char.charCodeAt(0), 0x01000193) >>> 0, 0x811C9DC5)
const newMembership = (name: string) => new Membership({ self: { id: id(name), address: name, failureDomain: as<FailureDomain>('d') }, hash, now: 0 })

/** Delivers messages until none is left; the daemons in `isolated` neither send nor receive. */
function deliver (nodes: ReadonlyMap<DaemonId, Membership>, from: DaemonId, effects: readonly MembershipEffect[], now: number, isolated = new Set<DaemonId>()): void {
  const queue = effects.flatMap((effect) => (effect.type === 'send' ? [{ from, to: effect.to, gossip: effect.gossip }] : []))
  for (let next = queue.shift(); next; next = queue.shift()) {
    const { to, gossip } = next
    if (isolated.has(to) || isolated.has(next.from)) continue
    for (const effect of nodes.get(to)!.receive(next.from, gossip, now)) if (effect.type === 'send') queue.push({ from: to, to: effect.to, gossip: effect.gossip })
  }
}

function cluster (size: number): Map<DaemonId, Membership> {
  const nodes = new Map(Array.from({ length: size }, (_, i) => [id(`n${i}`), newMembership(`n${i}`)]))
  const first = nodes.get(id('n0'))!
  for (const node of nodes.values()) deliver(nodes, node.self.id, [{ type: 'send', to: first.self.id, gossip: node.snapshot() }], 0)
  return nodes
}

test('daemons that join through one member all learn of each other, with few connections each', () => {
  const nodes = cluster(30)
  for (const node of nodes.values()) {
    expect(node.members).toHaveLength(30)
    expect(node.neighbours.length).toBeLessThanOrEqual(6)
  }
})

test('a daemon that resumes after a pause refutes on all members that it is gone', () => {
  // Guards against answers reported as lost: a daemon paused for half a minute was declared gone, then resumed with all its streams.
  const nodes = cluster(8)
  const paused = new Set([id('n3')])
  const run = (fromMs: number, toMs: number, isolated: Set<DaemonId>) => {
    for (let now = fromMs; now <= toMs; now += HEARTBEAT_MS) for (const node of nodes.values()) if (!isolated.has(node.self.id)) deliver(nodes, node.self.id, node.tick(now), now, isolated)
  }
  const stopMs = SUSPECT_AFTER_MS + GONE_AFTER_MS + 5000
  run(0, stopMs, paused)
  expect([...nodes.values()].filter((node) => node.self.id !== id('n3')).map((node) => node.member(id('n3'))!.state)).toEqual(Array(7).fill('gone'))
  run(stopMs, stopMs + 40_000, new Set())
  for (const node of nodes.values()) deliver(nodes, node.self.id, node.handleLinkUp(id('n3')), stopMs + 40_000)
  expect(new Set([...nodes.values()].map((node) => node.member(id('n3'))!.state))).toEqual(new Set(['up']))
})

test('records converge in any order of gossip, and late gossip resurrects no member', () => {
  const state = fc.constantFrom<MemberState>('up', 'draining', 'suspect', 'gone', 'left')
  const record = fc.record({ incarnation: fc.integer({ min: 1, max: 4 }), state }).map((part): Member => ({ id: id('m'), address: 'm', failureDomain: as('d'), revision: 0, heir: undefined, ...part }))
  fc.assert(fc.property(fc.array(record, { minLength: 1, maxLength: 12 }), fc.infiniteStream(fc.nat(100)), (records, order) => {
    const settle = (list: readonly Member[]) => list.reduce<Member | undefined>((known, next) => (supersedes(next, known) ? next : known), undefined)!
    const shuffled = records.map((each) => ({ each, rank: order.next().value as number })).sort((a, b) => a.rank - b.rank).map(({ each }) => each)
    const [one, other] = [settle(records), settle(shuffled)]
    expect([one.incarnation, one.state]).toEqual([other.incarnation, other.state])
  }), { seed: 17, numRuns: 200 })
})

test('a fact reaches all daemons, and an older version of it never replaces a newer one', () => {
  const nodes = cluster(40)
  const teller = nodes.get(id('n7'))!
  deliver(nodes, teller.self.id, teller.setFact({ key: 'config', version: 2, value: null }, 1), 1)
  const old: Gossip = { members: [], facts: [{ key: 'config', version: 1, value: null }] }
  deliver(nodes, id('n9'), [{ type: 'send', to: id('n10'), gossip: old }], 2)
  expect([...nodes.values()].map((node) => node.fact('config')?.version)).toEqual(Array(40).fill(2))
})

test('the overlay stays connected when a failure domain is lost', () => {
  const all = Array.from({ length: 120 }, (_, i) => id(`n${i}`))
  const left = all.filter((_, i) => i % 4 !== 0)
  const reached = new Set<DaemonId>([left[0]!])
  const queue = [left[0]!]
  for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
    const { successors, predecessors } = neighbours(next, all, { hash })
    for (const other of [...successors, ...predecessors]) {
      if (!left.includes(other) || reached.has(other)) continue
      reached.add(other)
      queue.push(other)
    }
  }
  expect(reached.size).toBe(left.length)
})
