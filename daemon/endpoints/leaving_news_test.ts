import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, type DaemonId, type PoolName } from '../../core/ids/index.ts'
import type { Fact } from '../../core/membership/index.ts'
import { decodeEndpoint } from '../../platform/endpoint_decoder.ts'
import { StandInStore } from '../../standins/index.ts'
import { StoreError, type ObjectStore } from '../../store/index.ts'
import type { FactListener, MembershipTask } from '../peers/membership_task.ts'
import { EndpointFollower } from './endpoint_follower.ts'
import { EndpointTable } from './endpoint_table.ts'
import { shareLeavingNews } from './leaving_news.ts'

const POOL = as<PoolName>('llm')
const NAMES = ['a', 'b', 'c', 'd', 'e', 'f']
const NEWS_MS = 100

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

/** What daemons tell each other: of each key the fact with the highest version, and all of them to one that joins. */
class Rumours {
  readonly #facts = new Map<string, Fact>()
  readonly #listeners: Array<{ of: DaemonId, listener: FactListener }> = []

  membershipOf (id: DaemonId): MembershipTask {
    return {
      onFact: (listener: FactListener) => {
        this.#listeners.push({ of: id, listener })
        setTimeout(() => this.#facts.forEach((fact) => listener(fact, id)), 1)
      },
      tell: (fact: Fact) => this.#tell(fact, id)
    } as unknown as MembershipTask
  }

  #tell (fact: Fact, from: DaemonId): void {
    const known = this.#facts.get(fact.key)
    if (known && known.version >= fact.version) return
    this.#facts.set(fact.key, fact)
    for (const { of, listener } of this.#listeners) if (of !== from) setTimeout(() => listener(fact, from), 1)
  }
}

/** A daemon that follows the registry, until it is turned away, and hears the others. */
class Daemon {
  readonly table: EndpointTable
  readonly #follower: EndpointFollower
  turnedAway = false

  constructor (name: string, { store, rumours }: { store: StandInStore, rumours: Rumours }) {
    const id = as<DaemonId>(name)
    this.table = new EndpointTable({ self: id, hash: (text) => text.length })
    shareLeavingNews(this.table, rumours.membershipOf(id))
    const answer = async <T>(result: T): Promise<T> => {
      if (this.turnedAway) throw new StoreError('Cannot reach store: turned away', { failure: 'not-applied' })
      return result
    }
    const own: Pick<ObjectStore, 'snapshot' | 'changes'> = {
      snapshot: async (prefix) => await answer(await store.snapshot(prefix)),
      changes: async (prefix, options) => await answer(await store.changes(prefix, options))
    }
    this.#follower = new EndpointFollower({ store: own as ObjectStore, prefix: 'servers/', decode: decodeEndpoint, table: this.table, random: () => 0.5, pool: () => undefined, onChange: () => {} })
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
  await vi.advanceTimersByTimeAsync(NEWS_MS)
}

async function expire (store: StandInStore, name: string): Promise<void> {
  store.expire([`servers/${name}`])
  await vi.advanceTimersByTimeAsync(NEWS_MS)
}

const others = NAMES.filter((name) => name !== 'a')

test('a peer\'s word that an endpoint leaves is believed also when the endpoint has just returned', async () => {
  // New work goes to an endpoint that has left, from a daemon that the registry turns away: the endpoint's entry had lapsed and come back three
  // seconds before. For five seconds no peer's word on it was believed, and the word did not even spread: the one from the time before outranked it.
  const parts = { store: new StandInStore(), rumours: new Rumours() }
  for (const name of NAMES) await write(parts.store, name)
  const [hears, sees] = [new Daemon('hears', parts), new Daemon('sees', parts)]
  await vi.advanceTimersByTimeAsync(NEWS_MS)
  await expire(parts.store, 'a')
  expect([hears.usable, sees.usable]).toEqual([others, others])
  await write(parts.store, 'a')
  expect([hears.usable, sees.usable]).toEqual([NAMES, NAMES])
  hears.turnedAway = true
  await vi.advanceTimersByTimeAsync(3000)
  await expire(parts.store, 'a')
  expect([hears.usable, sees.usable]).toEqual([others, others])
  for (const daemon of [hears, sees]) daemon.stop()
})

test('old word that an endpoint leaves does not keep work from it at a daemon that starts after its return', async () => {
  // An endpoint stands idle at a daemon for half a minute after its start: the others tell it of a departure from before the endpoint's return.
  const parts = { store: new StandInStore(), rumours: new Rumours() }
  for (const name of NAMES) await write(parts.store, name)
  const first = new Daemon('first', parts)
  await vi.advanceTimersByTimeAsync(NEWS_MS)
  await expire(parts.store, 'a')
  await write(parts.store, 'a')
  await vi.advanceTimersByTimeAsync(8000)
  expect(first.usable).toEqual(NAMES)
  const second = new Daemon('second', parts)
  await vi.advanceTimersByTimeAsync(NEWS_MS)
  expect(second.usable).toEqual(NAMES)
  for (const daemon of [first, second]) daemon.stop()
})

test('a departure is told to the others also by a daemon that has no work there', async () => {
  // A daemon that the registry turns away goes on sending work to an endpoint that has left: those that saw it go forgot the endpoint before they could
  // tell, unless they had work there. Of nine daemons one wrote `endpoint-leaving`, the others `endpoint-gone` alone.
  const parts = { store: new StandInStore(), rumours: new Rumours() }
  for (const name of NAMES) await write(parts.store, name)
  const first = new Daemon('first', parts)
  const second = new Daemon('second', parts)
  await vi.advanceTimersByTimeAsync(NEWS_MS)
  second.turnedAway = true
  await expire(parts.store, 'a')
  expect(second.usable).toEqual(others)
  for (const daemon of [first, second]) daemon.stop()
})
