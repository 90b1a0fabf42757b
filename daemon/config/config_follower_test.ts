import fc from 'fast-check'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, type DaemonId } from '../../core/ids/index.ts'
import { revisionOf, storeVersion, type StoreVersion } from '../../core/store_version/index.ts'
import { delay } from '../../core/time/index.ts'
import { StandInStore } from '../../standins/index.ts'
import { EraTracker, StoreError, type Changes, type ObjectSource, type Snapshot, type StoredObject } from '../../store/index.ts'
import { createMetrics } from '../metrics.ts'
import type { MembershipTask } from '../peers/membership_task.ts'
import { ConfigFollower } from './config_follower.ts'

const KEY = 'config/main'
const membership = { onFact: () => {}, links: { handle: () => {}, onPost: () => {} }, publishFact: () => {}, setSelf: () => {}, acceptingWork: [], core: { self: { failureDomain: 'a' } } } as unknown as MembershipTask

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

function decode (text: string): { revision: number } {
  const { revision } = JSON.parse(text) as { revision: number }
  if (revision === 2) throw new TypeError('Cannot read properties of undefined')
  return { revision }
}

test('a configuration whose decoder throws is refused, and the next one is put in force', async () => {
  // Guards against a configuration that crashes every daemon that reads it.
  const store = new StandInStore()
  let version = await store.create(KEY, '{"revision":1}')
  const follower = new ConfigFollower({ self: as<DaemonId>('d'), store, key: KEY, decode, membership, metrics: createMetrics(), hash: () => 0, random: () => 0.5 })
  follower.start()
  await vi.advanceTimersByTimeAsync(100)
  for (const [revision, inForce] of [[2, 1], [3, 3]]) {
    version = await store.update(KEY, `{"revision":${revision}}`, version)
    await vi.advanceTimersByTimeAsync(5000)
    expect(follower.inForce).toEqual({ revision: inForce })
  }
  follower.stop()
})

type StoreFault = 'none' | 'stale' | 'lost' | 'replayed' | 'failed'

/** A store whose answers may be stale, empty despite a change, repeated or failed, and which may return to a copy of itself. */
class FaultyStore implements ObjectSource {
  readonly era = new EraTracker()
  readonly #written: Array<{ value: string }> = []
  #ownEra = 1
  fault: StoreFault = 'none'
  /** Called with each object that an answer contains. */
  onAnswer: (object: StoredObject) => void = () => {}

  write (revision: number): void {
    this.#written.push({ value: JSON.stringify({ revision }) })
  }

  /** Loses the last writes; their versions are given out again in the next era. */
  returnToCopy (lost: number): void {
    this.#written.splice(Math.max(1, this.#written.length - lost))
    this.#ownEra++
  }

  async snapshot (): Promise<Snapshot> {
    await this.#answerLater()
    this.era.checkAnswer(this.#ownEra, 'list')
    return this.#at(this.fault === 'stale' ? Math.max(1, this.#written.length - 2) : this.#written.length)
  }

  async changes (_prefix: string, options: { after: StoreVersion }): Promise<Changes> {
    await this.#answerLater()
    this.era.checkAnswer(this.#ownEra, 'watch')
    this.era.checkContinues(options.after, 'watch')
    const after = revisionOf(options.after)
    const newest = this.#written.length
    if (this.fault === 'lost') return { objects: [], removed: [], version: storeVersion(this.#ownEra, newest) }
    const from = this.fault === 'replayed' ? Math.max(0, after - 3) : after
    const to = this.fault === 'replayed' ? Math.max(from + 1, after - 1) : newest
    const objects = this.#written.slice(from, to).map((_, i) => this.#objectAt(from + i + 1))
    for (const object of objects) this.onAnswer(object)
    return { objects, removed: [], version: storeVersion(this.#ownEra, Math.max(after, newest)) }
  }

  async #answerLater (): Promise<void> {
    await delay(50)
    if (this.fault === 'failed') throw new StoreError('Cannot read: no answer', { failure: 'unsure' })
  }

  #objectAt (revision: number): StoredObject {
    return { key: KEY, version: storeVersion(this.#ownEra, revision), value: this.#written[revision - 1]!.value }
  }

  #at (revision: number): Snapshot {
    const object = this.#objectAt(revision)
    this.onAnswer(object)
    return { objects: [object], version: object.version }
  }
}

test('the revision in force never decreases, and is the newest once the store answers correctly', async () => {
  // Guards against stale answers reverting the configuration, and against a return of the store to a copy that keeps a newer one out of force. `naiveRevision` follows the last answer and does revert, which shows that the
  // schedules contain such answers.
  const faults: StoreFault[] = ['none', 'stale', 'lost', 'replayed', 'failed']
  const steps = fc.array(fc.record({ fault: fc.constantFrom(...faults), write: fc.boolean(), lost: fc.option(fc.integer({ min: 0, max: 4 }), { freq: 3, nil: undefined }), forMs: fc.integer({ min: 20, max: 900 }) }), { minLength: 5, maxLength: 25 })
  let naiveReverts = 0
  await fc.assert(fc.asyncProperty(steps, async (schedule) => {
    const store = new FaultyStore()
    let newest = 1
    let naiveRevision = 0
    store.write(newest)
    store.onAnswer = ({ value }) => {
      const { revision } = JSON.parse(value) as { revision: number }
      if (revision < naiveRevision) naiveReverts++
      naiveRevision = revision
    }
    const read = (text: string) => JSON.parse(text) as { revision: number }
    const follower = new ConfigFollower({ self: as<DaemonId>('d'), store, key: KEY, decode: read, membership, metrics: createMetrics(), hash: () => 0, random: () => 0.5, waitMs: 200 })
    const inForce: number[] = []
    follower.onChange(({ revision }) => inForce.push(revision))
    follower.start()
    for (const { fault, write, lost, forMs } of schedule) {
      store.fault = fault
      if (lost !== undefined) {
        store.returnToCopy(lost)
        store.write(newest)
      }
      if (write) store.write(newest += 2)
      await vi.advanceTimersByTimeAsync(forMs)
    }
    store.fault = 'none'
    await vi.advanceTimersByTimeAsync(15_000)
    follower.stop()
    expect(inForce).toEqual([...inForce].sort((a, b) => a - b))
    expect(follower.inForce).toEqual({ revision: newest })
  }), { seed: 33, numRuns: 150 })
  expect(naiveReverts).toBeGreaterThan(0)
})

/** Starts a follower whose store has revision 1, and whose peer answers a call after the given time, or never. */
async function startBeside (peer: { introduced: boolean, joined?: boolean, answersAfterMs?: number }) {
  const store = new StandInStore()
  await store.create(KEY, '{"revision":1}')
  let announce: (fact: { key: string, version: number }, from: string) => void = () => {}
  const call = () => (peer.answersAfterMs === undefined ? new Promise(() => {}) : delay(peer.answersAfterMs).then(() => '{"revision":3}'))
  const beside = { ...membership, introduced: peer.introduced, joined: peer.joined ?? peer.introduced, onFact: (listener: typeof announce) => { announce = listener }, links: { ...membership.links, call }, reachable: [], core: { ...membership.core, neighbours: [], member: (id: string) => ({ id }) } } as unknown as MembershipTask
  const follower = new ConfigFollower({ self: as<DaemonId>('d'), store, key: KEY, decode, membership: beside, metrics: createMetrics(), hash: () => 0, random: () => 0.5 })
  follower.start()
  return { follower, announce: () => announce({ key: 'config', version: 3 }, 'peer') }
}

test('a daemon whose peers have a newer revision than the store settles once that is in force', async () => {
  // Guards against a daemon that starts beside a store that returned to a copy, and refuses or serves what the newer revision does not.
  const { follower, announce } = await startBeside({ introduced: true, answersAfterMs: 200 })
  announce()
  await vi.advanceTimersByTimeAsync(190)
  expect([follower.inForce, follower.settled]).toEqual([{ revision: 1 }, false])
  await vi.advanceTimersByTimeAsync(20)
  expect([follower.inForce, follower.settled]).toEqual([{ revision: 3 }, true])
  follower.stop()
})

test('a daemon without peers settles with the first configuration, and one whose peers are silent a moment later', async () => {
  // Guards against daemons that do not start because others are away.
  const alone = await startBeside({ introduced: true })
  const unheard = await startBeside({ introduced: false })
  const silent = await startBeside({ introduced: true })
  silent.announce()
  const settled = () => [alone, unheard, silent].map(({ follower }) => follower.settled)
  await vi.advanceTimersByTimeAsync(100)
  expect(settled()).toEqual([true, false, false])
  await vi.advanceTimersByTimeAsync(400)
  expect(settled()).toEqual([true, true, false])
  await vi.advanceTimersByTimeAsync(500)
  expect(settled()).toEqual([true, true, true])
  silent.announce()
  expect(silent.follower.settled).toBe(true)
  for (const { follower } of [alone, unheard, silent]) follower.stop()
})

test('a daemon that has contact with one of several others waits for the table of a second one, a second at most', async () => {
  // Guards against a daemon that serves an older revision of the store, since the only daemon that it has contact with started at the same time.
  const { follower } = await startBeside({ introduced: false, joined: true })
  await vi.advanceTimersByTimeAsync(990)
  expect([follower.inForce, follower.settled]).toEqual([{ revision: 1 }, false])
  await vi.advanceTimersByTimeAsync(20)
  expect(follower.settled).toBe(true)
  follower.stop()
})
