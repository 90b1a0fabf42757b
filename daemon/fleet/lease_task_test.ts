import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, type DaemonId, type EndpointId } from '../../core/ids/index.ts'
import { Ledger, StandInEngine, StandInStore } from '../../standins/index.ts'
import { LeaseTask, type LeasePeers, type LeaseAnnouncement } from './lease_task.ts'
import { OrderKeeper, type WantedState } from './order_keeper.ts'

const TTL_MS = 10_000
const tasks: LeaseTask[] = []

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => {
  tasks.splice(0).forEach((task) => task.stop())
  vi.useRealTimers()
})

function lease (store: StandInStore, name: string, options: { fenced?: boolean, apartMs?: number, contends?: () => boolean, peers?: LeasePeers } = {}): LeaseTask {
  const task = new LeaseTask({ self: as<DaemonId>(name), store, name: 'fleet', ttlMs: TTL_MS, ...options })
  tasks.push(task)
  task.start()
  return task
}

function engine (): StandInEngine {
  const speed = { batchSlots: 1, prefillTokensPerS: 1, betweenTokensMs: 1, betweenTokensPerStreamMs: 0, exportTokensPerS: 1, importTokensPerS: 1 }
  return new StandInEngine({ address: 'e', speed, ledger: new Ledger(), peers: () => undefined })
}

const pass = (ms: number) => vi.advanceTimersByTimeAsync(ms)
const E = as<EndpointId>('e')
const WANTED: WantedState = { models: ['rankings-v2'], role: 'both' }

test('one daemon holds the lease, renews it, and another takes over when it stops', async () => {
  const store = new StandInStore()
  const a = lease(store, 'a')
  await pass(100)
  const b = lease(store, 'b')
  await pass(60_000)
  expect([a.fencing, b.fencing]).toEqual([1, undefined])
  a.stop()
  await pass(40_000)
  expect([a.fencing, b.fencing]).toEqual([undefined, 2])
})

/** Words between the daemons that contend, which can be cut off. */
class Words {
  cut = false
  readonly #hearers = new Map<string, (word: LeaseAnnouncement) => void>()

  of (name: string): LeasePeers {
    return {
      announce: (word) => { if (!this.cut) for (const [other, hear] of this.#hearers) if (other !== name) hear(word) },
      onAnnouncement: (hear) => { this.#hearers.set(name, hear) }
    }
  }
}

test('daemons that wait for a lease look at it only while its holder gives them no word', async () => {
  // Every look is a call that the store counts: two daemons that wait made a fifth of all calls of a fleet of 19.
  const store = new StandInStore()
  const words = new Words()
  const [a, b] = ['a', 'b', 'c'].map((name) => lease(store, name, { peers: words.of(name) })) as [LeaseTask, LeaseTask]
  await pass(TTL_MS)
  const reads = store.calls.reads
  await pass(TTL_MS * 10)
  expect(store.calls.reads - reads).toBe(0)
  words.cut = true
  await pass(TTL_MS * 10)
  expect(store.calls.reads - reads).toBeGreaterThan(10)
  expect([a.fencing, b.fencing]).toEqual([1, undefined])
})

test('a holder that stops is followed as early by daemons that heard its words as by those that looked', async () => {
  const timeToFollow = async (peers: (name: string) => LeasePeers | undefined) => {
    const store = new StandInStore()
    const options = (name: string) => { const words = peers(name); return words ? { peers: words } : {} }
    const a = lease(store, 'a', options('a'))
    await pass(100)
    const b = lease(store, 'b', options('b'))
    await pass(TTL_MS * 3)
    a.stop()
    let ms = 0
    for (; b.fencing === undefined; ms += 100) await pass(100)
    return ms
  }
  const words = new Words()
  const told = await timeToFollow((name) => words.of(name))
  expect(told).toBeLessThanOrEqual(await timeToFollow(() => undefined))
})

test('a lease that is given up with a word is taken over at once', async () => {
  const store = new StandInStore()
  const words = new Words()
  const a = lease(store, 'a', { peers: words.of('a') })
  await pass(100)
  const b = lease(store, 'b', { peers: words.of('b') })
  await pass(TTL_MS)
  await a.release()
  await pass(50)
  expect(b.fencing).toBe(2)
})

test('a renewal that was applied without an answer keeps the lease and its number', async () => {
  const store = new StandInStore()
  const a = lease(store, 'a')
  await pass(100)
  store.faults.loseAnswers = 3
  await pass(30_000)
  expect(a.fencing).toBe(1)
})

test('an outage longer than the lease stops all orders, and afterwards one daemon holds it', async () => {
  const store = new StandInStore()
  const [a, b] = [lease(store, 'a'), lease(store, 'b')]
  await pass(1000)
  store.faults.down = true
  await pass(TTL_MS * 3)
  expect([a.fencing, b.fencing]).toEqual([undefined, undefined])
  store.faults.down = false
  await pass(TTL_MS * 3)
  expect([a.fencing, b.fencing].filter((fencing) => fencing !== undefined)).toHaveLength(1)
})

test('in an outage the last holder keeps its number for orders that cannot wait, until it is over or another has the lease', async () => {
  // A wave of reclaims while the store is down leaves no endpoint: the holder's lease runs out, and nobody can take it.
  const store = new StandInStore()
  const [a, b] = [lease(store, 'a', { fenced: true }), lease(store, 'b', { fenced: true })]
  await pass(1000)
  expect(a.fencingInOutage).toBeUndefined()
  store.faults.down = true
  await pass(TTL_MS + 5000)
  expect([a.fencing, a.fencingInOutage, b.fencingInOutage]).toEqual([undefined, 1, undefined])
  store.faults.down = false
  await pass(TTL_MS * 2)
  expect([a.fencingInOutage, b.fencingInOutage]).toEqual([undefined, undefined])
  store.faults.down = true
  await pass(TTL_MS + 25_000)
  expect([a.fencingInOutage, b.fencingInOutage]).toEqual([undefined, undefined])
})

test('where orders are not fenced, or a successor was seen, the last holder keeps nothing', async () => {
  const store = new StandInStore()
  const a = lease(store, 'a')
  await pass(1000)
  store.faults.down = true
  await pass(TTL_MS + 5000)
  expect(a.fencingInOutage).toBeUndefined()
  const other = new StandInStore()
  const c = lease(other, 'c', { fenced: true })
  await pass(1000)
  other.faults.down = true
  await pass(TTL_MS + 1000)
  c.giveUpOutage()
  expect(c.fencingInOutage).toBeUndefined()
})

test('a holder that gets the lease back does not act by turns with the one between', async () => {
  // Endpoints are ordered and stopped by turns, and nobody checks the numbers: the lease was handed over, and handed back a moment later.
  const store = new StandInStore()
  const apartMs = 60_000
  let turn = 'a'
  const [a, b] = ['a', 'b'].map((name) => lease(store, name, { apartMs, contends: () => turn === name })) as [LeaseTask, LeaseTask]
  await pass(1000)
  expect([a.fencing, b.fencing]).toEqual([1, undefined])
  turn = 'b'
  await pass(20_000)
  expect([a.fencing, b.fencing]).toEqual([undefined, 2])
  turn = 'a'
  await pass(20_000)
  expect([a.fencing, b.fencing]).toEqual([undefined, undefined])
  await pass(apartMs)
  expect([a.fencing, b.fencing]).toEqual([3, undefined])
})

test('an engine that checks refuses the order of a holder that was paused and woke', async () => {
  // Selectors get answers of last season's model. The holder is paused, its lease runs out, another daemon loads the new model; the first
  // wakes and gives the order it had in hand. Its number is older than the one the engine has seen.
  const target = engine()
  await target.order({ ...WANTED, fencing: 2 })
  await expect(target.order({ models: ['rankings-v1'], role: 'both', fencing: 1 })).rejects.toThrow('fencing number is old')
  expect(await target.orders()).toMatchObject(WANTED)
})

test('an engine that ignores the number is put right by the holder that reads back', async () => {
  // The same, on an engine that does not check: the old order is taken. The next round of the present holder finds it and repeats its own.
  const target = engine()
  target.faults.ignoreFencing = true
  const keeper = new OrderKeeper({ engine: () => target, fencing: () => 2 })
  expect(await keeper.reconcile(new Map([[E, WANTED]]))).toBe(1)
  await target.order({ models: ['rankings-v1'], role: 'both', fencing: 1 })
  expect(await keeper.reconcile(new Map([[E, WANTED]]))).toBe(1)
  expect(await target.orders()).toEqual({ ...WANTED, fencing: 2 })
  expect(await keeper.reconcile(new Map([[E, WANTED]]))).toBe(0)
})

test('without the lease no order is given', async () => {
  const target = engine()
  const keeper = new OrderKeeper({ engine: () => target, fencing: () => undefined })
  expect(await keeper.reconcile(new Map([[E, WANTED]]))).toBe(0)
  expect(await target.orders()).toBeUndefined()
})
