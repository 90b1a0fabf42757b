import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, type DaemonId, type PoolName } from '../../core/ids/index.ts'
import type { Fact } from '../../core/membership/index.ts'
import { decodeEndpoint } from '../../platform/endpoint_decoder.ts'
import { StandInStore } from '../../standins/index.ts'
import { StoreError, type ObjectSource } from '../../store/index.ts'
import type { FactListener, MembershipTask } from '../peers/membership_task.ts'
import { EndpointFollower } from './endpoint_follower.ts'
import { EndpointTable } from './endpoint_table.ts'
import { shareDepartures } from './departure_sharing.ts'

const POOL = as<PoolName>('llm')
const NAMES = ['a', 'b', 'c', 'd', 'e', 'f']
const PROPAGATION_MS = 100

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

/** Gossip between daemons: keeps the fact with the highest version of each key, and sends all facts to a daemon that joins. */
class Gossip {
  readonly #facts = new Map<string, Fact>()
  readonly #listeners: Array<{ of: DaemonId, listener: FactListener }> = []

  membershipOf (id: DaemonId): MembershipTask {
    return {
      onFact: (listener: FactListener) => {
        this.#listeners.push({ of: id, listener })
        setTimeout(() => this.#facts.forEach((fact) => listener(fact, id)), 1)
      },
      publishFact: (fact: Fact) => this.#tell(fact, id)
    } as unknown as MembershipTask
  }

  #tell (fact: Fact, from: DaemonId): void {
    const known = this.#facts.get(fact.key)
    if (known && known.version >= fact.version) return
    this.#facts.set(fact.key, fact)
    for (const { of, listener } of this.#listeners) if (of !== from) setTimeout(() => listener(fact, from), 1)
  }
}

/** A daemon that follows the registry, until the registry rejects it, and receives gossip. */
class Daemon {
  readonly table: EndpointTable
  readonly #follower: EndpointFollower
  isRejected = false

  constructor (name: string, { store, gossip }: { store: StandInStore, gossip: Gossip }) {
    const id = as<DaemonId>(name)
    this.table = new EndpointTable({ self: id, hash: (text) => text.length })
    shareDepartures(this.table, gossip.membershipOf(id))
    const answer = async <T>(result: T): Promise<T> => {
      if (this.isRejected) throw new StoreError('Cannot reach store: rejected', { failure: 'not-applied' })
      return result
    }
    const own: ObjectSource = {
      era: store.era,
      snapshot: async (prefix) => await answer(await store.snapshot(prefix)),
      changes: async (prefix, options) => await answer(await store.changes(prefix, options))
    }
    this.#follower = new EndpointFollower({ store: own, prefix: 'servers/', decode: decodeEndpoint, table: this.table, random: () => 0.5, pool: () => undefined, onChange: () => {} })
    this.#follower.start()
  }

  get usable (): string[] {
    return this.table.candidates(POOL).map(({ name }) => name!).sort()
  }

  stop (): void {
    this.#follower.stop()
  }
}

async function write (store: StandInStore, name: string): Promise<void> {
  await store.create(`servers/${name}`, JSON.stringify({ service: POOL, address: `10.0.0.${NAMES.indexOf(name) + 1}:80`, zone: 'z', slots: 64, state: 'ready' }))
  await vi.advanceTimersByTimeAsync(PROPAGATION_MS)
}

async function expire (store: StandInStore, name: string): Promise<void> {
  store.expire([`servers/${name}`])
  await vi.advanceTimersByTimeAsync(PROPAGATION_MS)
}

const others = NAMES.filter((name) => name !== 'a')

test('a peer\'s report that an endpoint leaves takes effect even if the endpoint has just returned', async () => {
  // Guards against new work for an endpoint that has left, from a daemon that the registry rejects: the endpoint's entry had expired and returned three
  // seconds before. For five seconds peers' reports were ignored, and the report did not even spread, as the one of the earlier departure outranked it.
  const parts = { store: new StandInStore(), gossip: new Gossip() }
  for (const name of NAMES) await write(parts.store, name)
  const [hears, sees] = [new Daemon('hears', parts), new Daemon('sees', parts)]
  await vi.advanceTimersByTimeAsync(PROPAGATION_MS)
  await expire(parts.store, 'a')
  expect([hears.usable, sees.usable]).toEqual([others, others])
  await write(parts.store, 'a')
  expect([hears.usable, sees.usable]).toEqual([NAMES, NAMES])
  hears.isRejected = true
  await vi.advanceTimersByTimeAsync(3000)
  await expire(parts.store, 'a')
  expect([hears.usable, sees.usable]).toEqual([others, others])
  for (const daemon of [hears, sees]) daemon.stop()
})

test('an old report that an endpoint leaves does not keep work from it at a daemon that starts after its return', async () => {
  // Guards against a daemon not using an endpoint for half a minute after the daemon's start: the others report a departure from before the endpoint's return.
  const parts = { store: new StandInStore(), gossip: new Gossip() }
  for (const name of NAMES) await write(parts.store, name)
  const first = new Daemon('first', parts)
  await vi.advanceTimersByTimeAsync(PROPAGATION_MS)
  await expire(parts.store, 'a')
  await write(parts.store, 'a')
  await vi.advanceTimersByTimeAsync(8000)
  expect(first.usable).toEqual(NAMES)
  const second = new Daemon('second', parts)
  await vi.advanceTimersByTimeAsync(PROPAGATION_MS)
  expect(second.usable).toEqual(NAMES)
  for (const daemon of [first, second]) daemon.stop()
})

test('a departure is shared even by a daemon that has no work on the endpoint', async () => {
  // Guards against a daemon that the registry rejects sending work to an endpoint that has left: the daemons that saw it go removed the endpoint before
  // sharing its departure, unless they had work there. Of nine daemons, one logged `endpoint-leaving` and the others only `endpoint-gone`.
  const parts = { store: new StandInStore(), gossip: new Gossip() }
  for (const name of NAMES) await write(parts.store, name)
  const first = new Daemon('first', parts)
  const second = new Daemon('second', parts)
  await vi.advanceTimersByTimeAsync(PROPAGATION_MS)
  second.isRejected = true
  await expire(parts.store, 'a')
  expect(second.usable).toEqual(others)
  for (const daemon of [first, second]) daemon.stop()
})

test('a departure that an endpoint announced to one daemon is shared, and ends at the others if the endpoint stays listed', async () => {
  // Guards against a wrong report of one daemon that keeps an endpoint out of use everywhere for good.
  const parts = { store: new StandInStore(), gossip: new Gossip() }
  for (const name of NAMES) await write(parts.store, name)
  const [first, second] = [new Daemon('first', parts), new Daemon('second', parts)]
  await vi.advanceTimersByTimeAsync(PROPAGATION_MS)
  first.table.announcedLeaving(first.table.instancesOf('a')[0]!.id)
  await vi.advanceTimersByTimeAsync(PROPAGATION_MS)
  expect([first.usable, second.usable]).toEqual([others, others])
  await vi.advanceTimersByTimeAsync(35_000)
  await expire(parts.store, 'b')
  await write(parts.store, 'b')
  expect([first.usable, second.usable]).toEqual([others, NAMES])
  for (const daemon of [first, second]) daemon.stop()
})
