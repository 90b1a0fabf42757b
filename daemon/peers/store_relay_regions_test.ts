import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import xxhash from 'xxhash-wasm'
import { Fleet, PREFIX, PROPAGATION_MS } from './_relay_fleet.ts'

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

const { h32: hash } = await xxhash()
const TWO_REGIONS = ['north', 'north', 'south', 'south']

let fleet: Fleet
afterEach(() => fleet.stop())

/** Starts daemons in four failure domains of two regions, whose messages to each other take 20 ms. */
async function started (daemons: number): Promise<Fleet> {
  fleet = new Fleet({ hash, advance: async (ms) => { await vi.advanceTimersByTimeAsync(ms) } })
  await fleet.write('a')
  await fleet.start(daemons, 4, TWO_REGIONS)
  return fleet
}

/** Counts messages between the regions until the returned function is called, which returns their number. */
function countCrossings ({ network }: Fleet): () => number {
  let crossings = 0
  network.onMessage = (from, to) => { if (fleet.isFar(from, to)) crossings++ }
  return () => crossings
}

test.each([9, 67])('with two regions, a change costs four store calls and no message crosses the link (%i daemons)', async (daemons) => {
  const { store } = await started(daemons)
  const crossings = countCrossings(fleet)
  const before = store.calls.watches
  await fleet.write('b')
  expect(await fleet.timeUntilKnown(['a', 'b'])).toBeLessThanOrEqual(100)
  expect(store.calls.watches - before).toBeLessThanOrEqual(4)
  await vi.advanceTimersByTimeAsync(10_000)
  expect(crossings()).toBe(0)
})

test.each([12, 67])('while the store refuses a whole region, its daemons hear of changes through the watchers of the other (%i daemons)', async (daemons) => {
  // Guards against a region that goes on with old entries, and against each of its daemons asking across the link.
  const { nodes } = await started(daemons)
  const [north, south] = ['north', 'south'].map((region) => nodes.filter(({ member, topology }) => topology.regionOf(member.failureDomain) === region))
  for (const { access } of south!) access.isCutOff = true
  await vi.advanceTimersByTimeAsync(1000)
  const { calls } = fleet
  const crossings = countCrossings(fleet)
  for (const names of [['a', 'b'], ['a', 'b', 'c'], ['a', 'b', 'c', 'd']]) {
    await fleet.write(names.at(-1)!)
    expect(await fleet.timeUntilKnown(names)).toBeLessThanOrEqual(500)
    await vi.advanceTimersByTimeAsync(2000)
  }
  expect(nodes.filter(({ follower }) => !follower.reachable)).toEqual([])
  // Two watchers of the south ask twice a second, and once more after each change.
  expect(crossings()).toBeLessThanOrEqual(2 * 2 * (2 * 7 + 3))
  expect(fleet.calls - calls).toBeLessThanOrEqual(8 * 12)
  for (const { access } of south!) access.isCutOff = false
  fleet.store.expire([`${PREFIX}a`])
  expect(await fleet.timeUntilKnown(['b', 'c', 'd'], north)).toBeLessThanOrEqual(100)
  expect(await fleet.timeUntilKnown(['b', 'c', 'd'])).toBeLessThanOrEqual(500)
})

test('a region cut off from the other and from the store sees an outage, and follows again once the link is back', async () => {
  const { nodes, network } = await started(40)
  const south = nodes.filter(({ member, topology }) => topology.regionOf(member.failureDomain) === 'south')
  const setCut = (isCut: boolean) => {
    for (const node of south) {
      node.access.isCutOff = isCut
      for (const other of nodes) if (!south.includes(other)) network.part(node.member.id, other.member.id, isCut)
    }
  }
  setCut(true)
  await vi.advanceTimersByTimeAsync(2500)
  expect(south.filter(({ follower }) => follower.reachable)).toEqual([])
  expect(nodes.filter(({ follower }) => !follower.reachable)).toEqual(south)
  await fleet.write('b')
  await vi.advanceTimersByTimeAsync(7500)
  setCut(false)
  expect(await fleet.timeUntilKnown(['a', 'b'])).toBeLessThanOrEqual(PROPAGATION_MS)
  const { calls } = fleet
  await vi.advanceTimersByTimeAsync(5000)
  expect((fleet.calls - calls) / 5).toBeLessThanOrEqual(6)
})
