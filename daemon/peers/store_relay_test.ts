import fc from 'fast-check'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import xxhash from 'xxhash-wasm'
import { as, type DaemonId } from '../../core/ids/index.ts'
import { storeVersion } from '../../core/store_version/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { Fleet, PREFIX, PROPAGATION_MS, type Node } from './_relay_fleet.ts'

/**
 * Calls in 9 s by the two watchers and their four standbys: each one call for each wait of half the propagation limit, one more for each of the three
 * changes, and two listings.
 */
const MAX_CALLS_IN_REFUSAL = 6 * (9 + 3 + 2)
/** Time until all daemons know a fact that one of them gossips, in milliseconds. */
const GOSSIP_MS = 100

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

const { h32: hash } = await xxhash()

let fleet: Fleet
afterEach(() => fleet.stop())

async function started (daemons: number, domains: number): Promise<Fleet> {
  fleet = new Fleet({ hash, advance: async (ms) => { await vi.advanceTimersByTimeAsync(ms) } })
  await fleet.write('a')
  await fleet.start(daemons, domains)
  return fleet
}

test('a change reaches every daemon within 100 ms at the cost of two store calls', async () => {
  // Guards against every daemon of a large fleet keeping a paid watch on the store.
  const { store } = await started(60, 5)
  const before = store.calls.watches
  await fleet.write('b')
  expect(await fleet.timeUntilKnown(['a', 'b'])).toBeLessThanOrEqual(100)
  expect(store.calls.watches - before).toBeLessThanOrEqual(2)
  const quiet = store.calls.watches + store.calls.reads
  await vi.advanceTimersByTimeAsync(20_000)
  expect((store.calls.watches + store.calls.reads - quiet) / 20).toBeLessThanOrEqual(3)
})

test('when the watchers lose the store, the others learn of a departure from the store itself', async () => {
  // Guards against new work for an endpoint that left, sent for as long as the store rejects both watchers while it serves the rest.
  const { store } = await started(40, 4)
  await fleet.write('b')
  await fleet.timeUntilKnown(['a', 'b'])
  for (const { access } of fleet.watchers) access.isCutOff = true
  store.expire([`${PREFIX}a`])
  const connected = fleet.nodes.filter(({ access }) => !access.isCutOff)
  expect(await fleet.timeUntilKnown(['b'], connected)).toBeLessThanOrEqual(PROPAGATION_MS)
})

test('when the store does not answer the watchers, the others learn of a departure in time', async () => {
  // Guards against daemons waiting along with both watchers: their connections to the store are dead without a reset, and their watches hang.
  const { store, watchers, nodes } = await started(12, 3)
  for (const { access } of watchers) access.isUnanswered = true
  store.expire([`${PREFIX}a`])
  expect(await fleet.timeUntilKnown([], nodes.filter((node) => !watchers.includes(node)))).toBeLessThanOrEqual(PROPAGATION_MS)
})

test('when relays are suspended, the daemons that ask them learn of a departure in time', async () => {
  // Guards against new work for an endpoint that left: the host of a relay is suspended, and its links stay open but carry nothing.
  const { store, network, nodes, asked: relays } = await started(40, 4)
  const suspended = relays.filter((_, i) => i % 2 === 0)
  expect(suspended.length).toBeGreaterThan(2)
  for (const { member, access } of suspended) {
    for (const other of nodes) network.part(member.id, other.member.id, true)
    access.isUnanswered = true
  }
  store.expire([`${PREFIX}a`])
  expect(await fleet.timeUntilKnown([], nodes.filter((node) => !suspended.includes(node)))).toBeLessThanOrEqual(PROPAGATION_MS)
})

test.each([9, 120])('when all daemons that a daemon may ask are suspended, it learns of a departure in time (%i daemons)', async (daemons) => {
  // Guards against waiting for one silent daemon after the other: in a large fleet a failure domain has several relays.
  const { store, network, nodes } = await started(daemons, 2)
  const follower = nodes.findLast((node) => fleet.sourcesOf(node).length > 1)!
  const sources = new Set(fleet.sourcesOf(follower).map(({ id }) => id))
  const suspended = nodes.filter(({ member }) => sources.has(member.id))
  for (const { member, access } of suspended) {
    network.silence(member.id, true)
    access.isUnanswered = true
  }
  store.expire([`${PREFIX}a`])
  expect(await fleet.timeUntilKnown([], nodes.filter((node) => !suspended.includes(node)))).toBeLessThanOrEqual(PROPAGATION_MS)
})

test('a daemon that reaches no other follows the store itself and returns to asking relays afterwards', async () => {
  const { store, network, nodes } = await started(12, 3)
  const [first] = nodes
  for (const { member } of nodes.slice(1)) network.part(first!.member.id, member.id, true)
  store.expire([`${PREFIX}a`])
  expect(await fleet.timeUntilKnown([], [first!])).toBeLessThanOrEqual(PROPAGATION_MS)
  network.healPartitions()
  await vi.advanceTimersByTimeAsync(10_000)
  const quiet = store.calls.watches
  await vi.advanceTimersByTimeAsync(10_000)
  expect((store.calls.watches - quiet) / 10).toBeLessThanOrEqual(2.2)
})

test('every daemon detects a store outage, whether it watches the store or asks others', async () => {
  // Entries that lapse during an outage are held back, those of endpoints that left are not: each daemon must detect the outage itself.
  const { store, nodes } = await started(40, 4)
  store.faults.down = true
  store.disconnectWatches()
  await vi.advanceTimersByTimeAsync(2500)
  expect(nodes.filter(({ follower }) => follower.reachable)).toEqual([])
  store.faults.down = false
  await vi.advanceTimersByTimeAsync(2000)
  expect(nodes.filter(({ follower }) => !follower.reachable)).toEqual([])
  await fleet.write('b')
  expect(await fleet.timeUntilKnown(['a', 'b'])).toBeLessThanOrEqual(100)
})

test.each([[68, 4], [195, 4]])('in an outage of the store no daemon receives more than 80 messages a second for a prefix (%i daemons)', async (daemons, domains) => {
  // Guards against all daemons that ask all standbys at each attempt while none has anything to serve.
  const { store, network, nodes } = await started(daemons, domains)
  store.faults.down = true
  store.disconnectWatches()
  await vi.advanceTimersByTimeAsync(2000)
  const received = new Map(nodes.map(({ member }) => [member.id, 0]))
  network.onMessage = (_from, to) => { received.set(to, received.get(to)! + 1) }
  await vi.advanceTimersByTimeAsync(10_000)
  expect(Math.max(...received.values()) / 10).toBeLessThanOrEqual(80)
})

test.each([500, 1500, 2500, 4000])('soon after a store outage of %d ms only the watchers watch it again', async (outageMs) => {
  // Guards against daemons that skip the watchers for seconds since these had nothing to serve during the outage, and watch the store themselves.
  const { store } = await started(12, 3)
  store.faults.down = true
  store.disconnectWatches()
  await vi.advanceTimersByTimeAsync(outageMs)
  store.faults.down = false
  await vi.advanceTimersByTimeAsync(1500)
  const { watches } = store.calls
  await vi.advanceTimersByTimeAsync(2000)
  expect((store.calls.watches - watches) / 2).toBeLessThanOrEqual(2.5)
})

/** How a refusal of a third of the daemons is spread: over all failure domains, or over one of three. */
type Spread = 'all domains' | 'one domain'

test.each<[Spread, number]>([['all domains', 68], ['one domain', 68], ['all domains', 195], ['one domain', 195]])('while the store refuses a third of the daemons, both watchers among them, the others do not call it one by one (%s, %i daemons)', async (spread, daemons) => {
  // Guards against every daemon that finds both watchers without the store watching it itself: calls are paid, and grow with the fleet.
  const { nodes, watchers } = await started(daemons, spread === 'one domain' ? 3 : 4)
  const isRefused = ({ member }: Node, i: number) => spread === 'one domain' ? member.failureDomain === 'domain-0' : i % 3 === 0
  for (const [i, node] of nodes.entries()) node.access.isCutOff = watchers.includes(node) || isRefused(node, i)
  const before = fleet.calls
  const startMs = steadyNow()
  const names = ['a']
  const arrivalsMs: number[] = []
  for (let change = 1; change <= 3; change++) {
    names.push(`change-${change}`)
    await fleet.write(names.at(-1)!)
    arrivalsMs.push(await fleet.timeUntilKnown(names, nodes, startMs + change * 3000))
    await vi.advanceTimersByTimeAsync(startMs + change * 3000 - steadyNow())
  }
  expect(Math.max(...arrivalsMs)).toBeLessThanOrEqual(PROPAGATION_MS)
  expect(fleet.calls - before).toBeLessThanOrEqual(MAX_CALLS_IN_REFUSAL)
  for (const { access } of nodes) access.isCutOff = false
  await vi.advanceTimersByTimeAsync(3000)
  const returned = fleet.calls
  await vi.advanceTimersByTimeAsync(5000)
  expect((fleet.calls - returned) / 5).toBeLessThanOrEqual(3)
}, 120_000)

/** Changes objects after a copy of the store was taken, and has the store return to it; revisions are given out again up to `reused` more than were lost. */
async function returnWithout (fleet: Fleet, { reused = 0, cut = true } = {}): Promise<void> {
  const { store } = fleet
  store.takeCopy()
  for (let i = 0; i < 20; i++) await store.create(`unrelated/${i}`, '{}')
  await fleet.write('lost')
  expect(await fleet.timeUntilKnown(['a', 'lost'])).toBeLessThanOrEqual(100)
  store.returnToCopy({ cut })
  await fleet.write('new')
  for (let i = 0; i < reused; i++) await store.create(`unrelated/${i}`, '{}')
}

test.each([[9, 0, true], [9, 40, true], [9, 40, false], [87, 0, true], [87, 40, false], [195, 40, true], [420, 0, true], [420, 40, false]])('after a return of the store, all of %i daemons have its state in time (%i revisions given out again, connections cut: %s)', async (daemons, reused, cut) => {
  // Guards against objects that are dropped, or missed, since their revisions were known before, and against a listing of the store by each daemon.
  const { store } = await started(daemons, 3)
  const { reads, watches } = store.calls
  await returnWithout(fleet, { reused, cut })
  expect(await fleet.timeUntilKnown(['a', 'new'])).toBeLessThanOrEqual(PROPAGATION_MS)
  // Without a lost connection only the watchers call the store; with one, as after an outage, each daemon may call it a few times.
  expect(store.calls.reads + store.calls.watches - reads - watches).toBeLessThanOrEqual(cut ? 3 * daemons : 20)
}, 120_000)

test('a daemon of an earlier release, which names no era, is not served versions of one', async () => {
  // Guards against a mixed fleet in which such daemons take versions for revisions and ignore what the store itself answers.
  const { network, watchers } = await started(9, 3)
  const links = network.join(as<DaemonId>('earlier'))
  const ask = async () => {
    const reply = links.call(watchers[0]!.member, 'store-changes', { prefix: PREFIX, after: storeVersion(0, 1), waitMs: 0 }, { timeoutMs: 1000 }).catch((err: Error) => err.message)
    await vi.advanceTimersByTimeAsync(1000)
    return await reply
  }
  expect(await ask()).toMatchObject({ ageMs: expect.any(Number) })
  await returnWithout(fleet)
  expect(await fleet.timeUntilKnown(['a', 'new'])).toBeLessThanOrEqual(PROPAGATION_MS)
  expect(await ask()).toMatch(/does not know eras/)
})

test('daemons that the store refuses after its return have its state from the others in time', async () => {
  const { nodes, watchers } = await started(40, 4)
  // Daemons gossip the era, which is not part of this fleet.
  for (const { access } of nodes) access.era.onRise(({ era }) => { for (const other of nodes) setTimeout(() => other.access.era.learn(era, 'gossip'), GOSSIP_MS) })
  for (const node of nodes) node.access.isCutOff = !watchers.includes(node)
  await returnWithout(fleet)
  expect(await fleet.timeUntilKnown(['a', 'new'])).toBeLessThanOrEqual(PROPAGATION_MS)
})

test('daemons have the state of the store in time although it returns twice, and refuses both watchers the second time', async () => {
  const { store, nodes, watchers } = await started(40, 4)
  await returnWithout(fleet)
  await vi.advanceTimersByTimeAsync(100)
  for (const { access } of watchers) access.isCutOff = true
  store.returnToCopy()
  await fleet.write('third')
  expect(await fleet.timeUntilKnown(['a', 'third'], nodes.filter((node) => !watchers.includes(node)))).toBeLessThanOrEqual(PROPAGATION_MS)
})

/** The fault of one daemon, in effect until the next step for the same daemon. */
type Fault = 'none' | 'cut-off' | 'unanswered' | 'alone'
interface Step { daemon: number, fault: Fault, afterMs: number, departs: boolean }

function setFault (fleet: Fleet, node: Node, kind: Fault): void {
  node.access.isCutOff = kind === 'cut-off'
  node.access.isUnanswered = kind === 'unanswered'
  for (const other of fleet.nodes) if (other !== node) fleet.network.part(node.member.id, other.member.id, kind === 'alone')
}

test.each([['one region', []], ['two regions', ['north', 'north', 'south', 'south']]])('random schedules: a daemon that reaches the store learns of each departure in time, whatever happens to the others (%s)', async (_, regions) => {
  // Daemons, watchers and relays among them, lose the store, get no answers from it or lose all other daemons. One that can reach the store throughout must
  // not send work to an endpoint that left longer ago than the limit.
  const step = fc.record({
    daemon: fc.nat(13),
    fault: fc.constantFrom<Fault>('none', 'cut-off', 'unanswered', 'alone'),
    afterMs: fc.integer({ min: 0, max: 3000 }),
    departs: fc.boolean()
  })
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 4, maxLength: 14 }), async (steps: Step[]) => {
    const names = steps.map((_, i) => `endpoint-${i}`)
    fleet = new Fleet({ hash, advance: async (ms) => { await vi.advanceTimersByTimeAsync(ms) } })
    for (const name of names) await fleet.write(name)
    await fleet.start(14, regions.length || 3, regions)
    for (const [i, { daemon, fault: kind, afterMs, departs }] of steps.entries()) {
      setFault(fleet, fleet.nodes[daemon]!, kind)
      await vi.advanceTimersByTimeAsync(afterMs)
      if (!departs) continue
      fleet.store.expire([PREFIX + names[i]])
      await vi.advanceTimersByTimeAsync(PROPAGATION_MS)
      const uninformed = fleet.nodes.filter(({ access, keys }) => !access.isCutOff && !access.isUnanswered && keys.has(PREFIX + names[i]))
      expect(uninformed.map(({ member }) => member.id)).toEqual([])
    }
    fleet.stop()
  }), { numRuns: 60, seed: 11 })
})
