import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, type DaemonId, type EndpointId } from '../../core/ids/index.ts'
import { DutyError } from '../../endpoints/index.ts'
import { Ledger, StandInEngine, StandInStore } from '../../standins/index.ts'
import { LeaseError, LeaseTask, type LeasePeers, type LeaseAnnouncement, type LeaseRight, type LeaseTaskOptions } from './lease_task.ts'
import { EngineReconciler, type DesiredState } from './engine_reconciler.ts'

const TTL_MS = 10_000
const tasks: LeaseTask[] = []

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => {
  tasks.splice(0).forEach((task) => task.stop())
  vi.useRealTimers()
})

function lease (store: StandInStore, name: string, options: Partial<LeaseTaskOptions> = {}): LeaseTask {
  const task = new LeaseTask({ self: as<DaemonId>(name), store, name: 'fleet', ttlMs: TTL_MS, ...options })
  tasks.push(task)
  task.start()
  return task
}

function engine (): StandInEngine {
  const speed = { batchSlots: 1, prefillTokensPerS: 1, betweenTokensMs: 1, betweenTokensPerStreamMs: 0, exportTokensPerS: 1, importTokensPerS: 1 }
  return new StandInEngine({ address: 'e', speed, ledger: new Ledger(), peers: () => undefined })
}

const advance = (ms: number) => vi.advanceTimersByTimeAsync(ms)
const E = as<EndpointId>('e')
const DESIRED: DesiredState = { models: ['rankings-v2'], role: 'both' }

test('one daemon holds and renews the lease, and another takes over when it stops', async () => {
  const store = new StandInStore()
  const a = lease(store, 'a')
  await advance(100)
  const b = lease(store, 'b')
  await advance(60_000)
  expect([a.fencing, b.fencing]).toEqual([1, undefined])
  a.stop()
  await advance(40_000)
  expect([a.fencing, b.fencing]).toEqual([undefined, 2])
})

/** In-memory channel between contenders; `cut` drops all announcements. */
class AnnouncementChannel {
  cut = false
  readonly #listeners = new Map<string, (announcement: LeaseAnnouncement) => void>()

  of (name: string): LeasePeers {
    return {
      announce: (announcement) => { if (!this.cut) for (const [other, listener] of this.#listeners) if (other !== name) listener(announcement) },
      onAnnouncement: (hear) => { this.#listeners.set(name, hear) }
    }
  }
}

test('waiting contenders read the lease only when announcements of its holder are missing', async () => {
  // Every read counts as a store call: two waiting contenders made a fifth of all calls of a fleet of 19.
  const store = new StandInStore()
  const channel = new AnnouncementChannel()
  const [a, b] = ['a', 'b', 'c'].map((name) => lease(store, name, { peers: channel.of(name) })) as [LeaseTask, LeaseTask]
  await advance(TTL_MS)
  const reads = store.calls.reads
  await advance(TTL_MS * 10)
  expect(store.calls.reads - reads).toBe(0)
  channel.cut = true
  await advance(TTL_MS * 10)
  expect(store.calls.reads - reads).toBeGreaterThan(10)
  expect([a.fencing, b.fencing]).toEqual([1, undefined])
})

test('failover is as fast with announcements as with reads', async () => {
  const failoverMs = async (peers: (name: string) => LeasePeers | undefined) => {
    const store = new StandInStore()
    const options = (name: string) => { const channel = peers(name); return channel ? { peers: channel } : {} }
    const a = lease(store, 'a', options('a'))
    await advance(100)
    const b = lease(store, 'b', options('b'))
    await advance(TTL_MS * 3)
    a.stop()
    let ms = 0
    for (; b.fencing === undefined; ms += 100) await advance(100)
    return ms
  }
  const channel = new AnnouncementChannel()
  const withAnnouncements = await failoverMs((name) => channel.of(name))
  expect(withAnnouncements).toBeLessThanOrEqual(await failoverMs(() => undefined))
})

test('a lease whose release is announced is taken over immediately', async () => {
  const store = new StandInStore()
  const channel = new AnnouncementChannel()
  const a = lease(store, 'a', { peers: channel.of('a') })
  await advance(100)
  const b = lease(store, 'b', { peers: channel.of('b') })
  await advance(TTL_MS)
  await a.release()
  await advance(50)
  expect(b.fencing).toBe(2)
})

test('a daemon may not act from the moment at which it sends its release, although the store does not answer', async () => {
  // Guards against two daemons that act as the holder: the release is in force, and its sender waits for an answer that is lost.
  const store = new StandInStore()
  const a = lease(store, 'a')
  await advance(100)
  store.stopAnswering()
  const released = a.release()
  expect([a.fencing, a.fencingInOutage, a.isUnsucceeded]).toEqual([undefined, undefined, false])
  store.faults.loseAnswers = 1
  store.resumeAnswering()
  await advance(100)
  await released
  expect([a.fencing, a.isUnsucceeded]).toEqual([undefined, false])
})

test('a daemon that steps down may not act from the moment at which it sends its release', async () => {
  // Guards against two holders after a hand-over: a daemon that should no longer contend has released the lease and not learned so yet.
  const store = new StandInStore()
  let contends = true
  const a = lease(store, 'a', { contends: () => contends })
  await advance(100)
  store.stopAnswering()
  contends = false
  await advance(TTL_MS / 2)
  expect([a.fencing, a.isUnsucceeded]).toEqual([undefined, false])
  contends = true
  store.resumeAnswering()
  await advance(TTL_MS)
  expect(a.fencing).toBe(1)
})

test('a renewal that is answered after the release gives no right to act, and the lease is free at once', async () => {
  // Guards against a hold that returns with a late answer, and against a release that is lost because a renewal came before it.
  const store = new StandInStore()
  const a = lease(store, 'a')
  await advance(100)
  const b = lease(store, 'b', { pollIntervalMs: 500 })
  await advance(TTL_MS / 3 - 200)
  store.stopAnswering()
  await advance(200)
  const released = a.release()
  store.resumeAnswering()
  await advance(0)
  expect(a.fencing).toBeUndefined()
  await advance(1000)
  await released
  expect([a.fencing, b.fencing]).toEqual([undefined, 2])
})

test('a daemon that stops while it acquires the lease releases it', async () => {
  // Guards against a lease that a process holds which is gone: nobody orders endpoints until it expires.
  const store = new StandInStore()
  store.stopAnswering()
  const a = lease(store, 'a')
  await advance(100)
  store.resumeAnswering()
  store.faults.slowMs = 100
  await advance(50)
  const released = a.release()
  await advance(1000)
  await released
  store.faults.slowMs = 0
  const b = lease(store, 'b')
  await advance(100)
  expect([a.fencing, b.fencing]).toEqual([undefined, 2])
})

/** An action that ends when the test says so. */
function pendingAction () {
  const state = { aborted: false, finish: () => {}, fail: (_err: Error) => {} }
  const action = ({ signal }: LeaseRight) => new Promise<void>((resolve, reject) => {
    signal.addEventListener('abort', () => { state.aborted = true })
    state.finish = resolve
    state.fail = reject
  })
  return { state, action }
}

test('a release is sent only after the actions under way have ended, and none begins meanwhile', async () => {
  // Guards against an order that arrives after those of the successor: it was sent before the release, and a slow link held it up.
  const store = new StandInStore()
  const a = lease(store, 'a')
  await advance(100)
  const b = lease(store, 'b', { pollIntervalMs: 100 })
  await advance(100)
  const { state, action } = pendingAction()
  const acted = a.act(action)
  const released = a.release()
  await expect(a.act(async () => {})).rejects.toThrow(LeaseError)
  await advance(1000)
  expect(b.fencing).toBeUndefined()
  state.finish()
  await acted
  await advance(200)
  await released
  expect([b.fencing, state.aborted]).toEqual([2, false])
})

test('a daemon that steps down waits for its actions before it releases the lease', async () => {
  const store = new StandInStore()
  let contends = true
  const a = lease(store, 'a', { contends: () => contends, pollIntervalMs: 100 })
  await advance(100)
  const b = lease(store, 'b', { pollIntervalMs: 100 })
  const { state, action } = pendingAction()
  const acted = a.act(action)
  contends = false
  await advance(4000)
  expect([a.fencing, b.fencing]).toEqual([undefined, undefined])
  state.finish()
  await acted
  await advance(300)
  expect([a.fencing, b.fencing]).toEqual([undefined, 2])
})

test('after an action whose outcome is unknown the lease is left to expire', async () => {
  // Guards against the same with a call that was given up without an answer: it may still arrive.
  const store = new StandInStore()
  const a = lease(store, 'a')
  await advance(100)
  const b = lease(store, 'b', { pollIntervalMs: 100 })
  await advance(100)
  await a.act(async () => { throw new DutyError('Cannot call: no answer', { failure: 'unsure' }) }).catch(() => {})
  await a.release()
  await advance(TTL_MS)
  expect([a.fencing, b.fencing]).toEqual([undefined, undefined])
  await advance(TTL_MS)
  expect([a.fencing, b.fencing]).toEqual([undefined, 2])
})

test('an action is aborted when the lease expires, and not while it is renewed', async () => {
  // Guards against a call that waits for a connection and is sent after the lease has expired.
  const store = new StandInStore()
  const a = lease(store, 'a')
  await advance(100)
  const { state, action } = pendingAction()
  const acted = a.act(action)
  await advance(TTL_MS * 3)
  expect(state.aborted).toBe(false)
  store.faults.down = true
  await advance(TTL_MS)
  expect([state.aborted, a.fencing]).toEqual([true, undefined])
  state.finish()
  await acted
})

test('the fencing number is raised only where the receiver compares numbers', async () => {
  // Guards against an unanswered order that arrives after one with a higher number, as if from a former holder.
  const [plain, fenced] = [lease(new StandInStore(), 'a'), lease(new StandInStore(), 'b', { fenced: true })]
  await advance(100)
  for (const task of [plain, fenced]) task.raiseFencing()
  await advance(100)
  expect([plain.fencing, fenced.fencing]).toEqual([1, 2])
})

test('a renewal that was applied but not acknowledged keeps the lease and its fencing number', async () => {
  const store = new StandInStore()
  const a = lease(store, 'a')
  await advance(100)
  store.faults.loseAnswers = 3
  await advance(30_000)
  expect(a.fencing).toBe(1)
})

test('a store outage longer than the lease stops all orders, and one daemon holds the lease afterwards', async () => {
  const store = new StandInStore()
  const [a, b] = [lease(store, 'a'), lease(store, 'b')]
  await advance(1000)
  store.faults.down = true
  await advance(TTL_MS * 3)
  expect([a.fencing, b.fencing]).toEqual([undefined, undefined])
  store.faults.down = false
  await advance(TTL_MS * 3)
  expect([a.fencing, b.fencing].filter((fencing) => fencing !== undefined)).toHaveLength(1)
})

test('during a store outage the last holder keeps its fencing number for urgent orders, until the grace period or the outage ends', async () => {
  // Guards against a series of reclaims that leaves no endpoint while the store is down: the lease expires and no daemon can acquire it.
  const store = new StandInStore()
  const [a, b] = [lease(store, 'a', { fenced: true }), lease(store, 'b', { fenced: true })]
  await advance(1000)
  expect(a.fencingInOutage).toBeUndefined()
  store.faults.down = true
  await advance(TTL_MS + 5000)
  expect([a.fencing, a.fencingInOutage, b.fencingInOutage]).toEqual([undefined, 1, undefined])
  store.faults.down = false
  await advance(TTL_MS * 2)
  expect([a.fencingInOutage, b.fencingInOutage]).toEqual([undefined, undefined])
  store.faults.down = true
  await advance(TTL_MS + 25_000)
  expect([a.fencingInOutage, b.fencingInOutage]).toEqual([undefined, undefined])
})

test('without fenced orders, or after a sign of a successor, the last holder gets no grace period', async () => {
  const store = new StandInStore()
  const a = lease(store, 'a')
  await advance(1000)
  store.faults.down = true
  await advance(TTL_MS + 5000)
  expect(a.fencingInOutage).toBeUndefined()
  const other = new StandInStore()
  const c = lease(other, 'c', { fenced: true })
  await advance(1000)
  other.faults.down = true
  await advance(TTL_MS + 1000)
  c.endOutageGrace()
  expect(c.fencingInOutage).toBeUndefined()
})

test('a daemon that regains the lease waits, so that two daemons do not act alternately', async () => {
  // Guards against endpoints being ordered and stopped alternately: the lease is handed over and back shortly after, and the receiver ignores fencing numbers.
  const store = new StandInStore()
  const apartMs = 60_000
  let turn = 'a'
  const [a, b] = ['a', 'b'].map((name) => lease(store, name, { reacquireDelayMs: apartMs, contends: () => turn === name })) as [LeaseTask, LeaseTask]
  await advance(apartMs)
  expect([a.fencing, b.fencing]).toEqual([1, undefined])
  turn = 'b'
  await advance(20_000)
  expect([a.fencing, b.fencing]).toEqual([undefined, 2])
  turn = 'a'
  await advance(20_000)
  expect([a.fencing, b.fencing]).toEqual([undefined, undefined])
  await advance(apartMs)
  expect([a.fencing, b.fencing]).toEqual([3, undefined])
})

test('a process that has just started waits before it acts as the successor of another daemon', async () => {
  // Guards against two hosts that act alternately: the process before this one held the lease until it was killed, and this one knows nothing of it.
  const store = new StandInStore()
  const apartMs = TTL_MS * 1.5
  const b = lease(store, 'b', { reacquireDelayMs: apartMs })
  await advance(100)
  expect(b.fencing).toBe(1)
  const started = lease(store, 'a2', { reacquireDelayMs: apartMs, pollIntervalMs: 100 })
  await advance(1000)
  await b.release()
  await advance(200)
  expect([b.fencing, started.fencing]).toEqual([undefined, undefined])
  await advance(apartMs)
  expect(started.fencing).toBe(2)
})

test('an engine that checks fencing numbers rejects the order of a holder that was paused', async () => {
  // Guards against answers from an outdated model: the holder is paused, its lease expires and a successor loads the new model; then the first
  // resumes and sends its pending order with an older fencing number.
  const target = engine()
  await target.order({ ...DESIRED, fencing: 2 })
  await expect(target.order({ models: ['rankings-v1'], role: 'both', fencing: 1 })).rejects.toThrow('fencing number is old')
  expect(await target.orders()).toMatchObject(DESIRED)
})

test('an engine that ignores fencing numbers is corrected by the next round of the holder', async () => {
  // The same on an engine that does not check: it accepts the old order. The next round of the current holder detects that and repeats its own.
  const target = engine()
  target.faults.ignoreFencing = true
  const reconciler = new EngineReconciler({ engine: () => target, fencing: () => 2 })
  expect(await reconciler.reconcile(new Map([[E, DESIRED]]))).toBe(1)
  await target.order({ models: ['rankings-v1'], role: 'both', fencing: 1 })
  expect(await reconciler.reconcile(new Map([[E, DESIRED]]))).toBe(1)
  expect(await target.orders()).toEqual({ ...DESIRED, fencing: 2 })
  expect(await reconciler.reconcile(new Map([[E, DESIRED]]))).toBe(0)
})

test('no order is sent without the lease', async () => {
  const target = engine()
  const reconciler = new EngineReconciler({ engine: () => target, fencing: () => undefined })
  expect(await reconciler.reconcile(new Map([[E, DESIRED]]))).toBe(0)
  expect(await target.orders()).toBeUndefined()
})
