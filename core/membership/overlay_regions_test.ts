import { expect, test } from 'vitest'
import xxhash from 'xxhash-wasm'
import { as, type DaemonId, type FailureDomain, type Region } from '../ids/index.ts'
import { GONE_AFTER_MS, HEARTBEAT_MS, Membership, neighbours, updateLinks, SUSPECT_AFTER_MS, type MembershipEffect } from './index.ts'

const { h32 } = await xxhash()
const hash = (text: string) => h32(text)
const regionOfDomain = (domain: FailureDomain) => as<Region>('ab'.includes(domain) ? 'north' : 'south')
const isNorth = (id: DaemonId) => 'ab'.includes(id[0]!)
const ids = (size: number) => Array.from({ length: size }, (_, i) => as<DaemonId>(`${'abcd'[i % 4]}${i}`))

/** Messages between the regions since the last reset, and whether the link between them is cut. */
const link = { crossings: 0, isCut: false }
const PROBE_INTERVAL_MS = 5000
let nodes: Map<DaemonId, Membership>

function deliver (from: DaemonId, effects: readonly MembershipEffect[], now: number): void {
  const queue = effects.flatMap((effect) => (effect.type === 'send' ? [{ from, to: effect.to, gossip: effect.gossip }] : []))
  for (let next = queue.shift(); next; next = queue.shift()) {
    const { to, gossip } = next
    const crosses = isNorth(to) !== isNorth(next.from)
    if (crosses && link.isCut) continue
    if (crosses) link.crossings++
    for (const effect of nodes.get(to)?.receive(next.from, gossip, now) ?? []) if (effect.type === 'send') queue.push({ from: to, to: effect.to, gossip: effect.gossip })
  }
}

function start (size: number, hasRegions = true): void {
  Object.assign(link, { crossings: 0, isCut: false })
  const members = ids(size)
  nodes = new Map(members.map((id) => [id, new Membership({ self: { id, address: id, failureDomain: as<FailureDomain>(id[0]!) }, hash, now: 0, ...(hasRegions && { regionOf: regionOfDomain }) })]))
  const all = [...nodes.values()].map(({ self }) => self)
  for (const node of nodes.values()) node.receive(node.self.id, { members: all, facts: [] }, 0)
}

function run (fromMs: number, toMs: number): void {
  for (let now = fromMs; now < toMs; now += HEARTBEAT_MS) for (const node of nodes.values()) deliver(node.self.id, node.tick(now), now)
}

/** Sends the table to a daemon that was declared dead, as the membership task does now and then. */
function probeGone (node: Membership, now: number): void {
  const gone = node.members.filter(({ state }) => state === 'gone')
  const probed = gone[h32(`${node.self.id}/${now}`) % gone.length]
  if (probed) deliver(node.self.id, node.handleLinkUp(probed.id), now)
}

test.each([9, 67, 195, 420])('a fact reaches all daemons of two regions and crosses the link a few times, and two thirds of the heartbeats across it are saved (%i daemons)', (size) => {
  const crossings = [true, false].map((hasRegions) => {
    start(size, hasRegions)
    run(0, 10_000)
    const perS = link.crossings / 10
    link.crossings = 0
    const teller = [...nodes.values()][3]!
    deliver(teller.self.id, teller.setFact({ key: 'config', version: 2, value: null }, 10_000), 10_000)
    expect([...nodes.values()].filter((node) => node.fact('config') === undefined)).toEqual([])
    return { perS, ofFact: link.crossings }
  })
  expect(crossings[0]!.perS).toBeLessThan(crossings[1]!.perS * (size < 20 ? 0.7 : 0.45))
  // Four links, each in both directions.
  expect(crossings[0]!.ofFact).toBeLessThanOrEqual(8)
})

test.each([9, 67, 195, 420])('the overlay of each region is connected without the other, also without one of its failure domains (%i daemons)', (size) => {
  const regionOf = (id: DaemonId) => regionOfDomain(as<FailureDomain>(id[0]!))
  for (const left of [ids(size).filter(isNorth), ids(size).filter((id) => !isNorth(id)), ids(size).filter((id) => id[0] !== 'a'), ids(size).filter((id) => id[0] !== 'd')]) {
    const reached = new Set<DaemonId>([left[0]!])
    const queue = [left[0]!]
    for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
      const { successors, predecessors } = neighbours(next, left, { hash, regionOf })
      for (const other of [...successors, ...predecessors]) {
        if (reached.has(other)) continue
        reached.add(other)
        queue.push(other)
      }
    }
    expect(reached.size).toBe(left.length)
  }
})

test.each([9, 67, 195])('each region notices that the other is cut off, and both agree again after the link is back (%i daemons)', (size) => {
  // Guards against jobs of the whole fleet that stay with daemons which this region cannot reach.
  start(size)
  run(0, 5000)
  link.isCut = true
  const noticedByMs = 5000 + SUSPECT_AFTER_MS + GONE_AFTER_MS + 4 * HEARTBEAT_MS
  run(5000, noticedByMs)
  for (const node of nodes.values()) {
    const alive = node.members.filter(({ state }) => state === 'up').map(({ id }) => id)
    expect(alive.filter((id) => isNorth(id) === isNorth(node.self.id)).length).toBe([...nodes.keys()].filter((id) => isNorth(id) === isNorth(node.self.id)).length)
    expect(alive.filter((id) => isNorth(id) !== isNorth(node.self.id))).toEqual([])
  }
  link.isCut = false
  for (let now = noticedByMs; now < noticedByMs + 30_000; now += PROBE_INTERVAL_MS) {
    for (const node of nodes.values()) probeGone(node, now)
    run(now, now + PROBE_INTERVAL_MS)
  }
  for (const node of nodes.values()) expect(node.members.filter(({ state }) => state === 'up')).toHaveLength(size)
})

/** Ends a daemon of the south without notice and starts another one in its domain. */
function restart (old: DaemonId, name: string, now: number): void {
  nodes.delete(old)
  const [first] = nodes.values()
  const id = as<DaemonId>(name)
  const node = new Membership({ self: { id, address: id, failureDomain: as<FailureDomain>(name[0]!) }, hash, now, regionOf: regionOfDomain })
  nodes.set(id, node)
  deliver(id, [{ type: 'send', to: first!.self.id, gossip: node.snapshot() }], now)
}

test.each([2, 4, 9])('daemons of a region are not suspected because others of it were restarted under new ids (%i daemons there)', (south) => {
  // Guards against living daemons that are suspected and refute it without end while the records of departed ones are kept.
  start(40 + 2 * south)
  for (const id of [...nodes.keys()].filter((id) => !isNorth(id)).slice(south)) nodes.delete(id)
  run(0, 60_000)
  const incarnations = () => [...nodes.values()].reduce((sum, { self }) => sum + self.incarnation, 0)
  let now = 60_000
  for (const old of [...nodes.keys()].filter((id) => !isNorth(id))) {
    restart(old, `${old[0]}new-${old}`, now)
    run(now, now += 10_000)
  }
  // Views of the neighbours differ for a while after restarts, and some daemons are suspected by those that expect heartbeats of them.
  run(now, now += 60_000)
  const before = incarnations()
  run(now, now + 60_000)
  expect(incarnations()).toBe(before)
  for (const node of nodes.values()) expect(node.members.filter(({ state }) => state === 'up')).toHaveLength(nodes.size)
})

test('update links connect three regions', () => {
  // Guards against a region that hears of changes by digests alone.
  const regionOf = (id: DaemonId) => as<Region>(id[0]!)
  for (let run = 0; run < 200; run++) {
    const members = Array.from({ length: 30 }, (_, i) => as<DaemonId>(`${'abc'[i % 3]}-${run}-${i}`))
    const linked = new Set(members.flatMap((id) => [...updateLinks(id, members, { hash, regionOf })].map((other) => [id[0], other[0]].join('/'))))
    expect([...linked].sort()).toEqual(['a/b', 'a/c', 'b/a', 'b/c', 'c/a', 'c/b'])
  }
})
