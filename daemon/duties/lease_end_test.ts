import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, type AccountId, type DaemonId } from '../../core/ids/index.ts'
import { Tally } from '../../core/tally/index.ts'
import { delay, SharedClock, steadyNow } from '../../core/time/index.ts'
import { DutyError, type Duties, type DutyHolder, type UsageReport } from '../../endpoints/index.ts'
import { StandInStore } from '../../standins/index.ts'
import { StoreError, type ObjectStore } from '../../store/index.ts'
import { LeaseTask } from '../fleet/lease_task.ts'
import { seededRandom } from '../seeded_random.ts'
import { UsageTask } from './usage_task.ts'

const LEASE_TTL_MS = 2000
const WINDOW_MS = 1000
const REPORT_DEADLINE_MS = 2000
const DAEMONS = 3
const SCHEDULE_MS = 60_000
/** Time for which a caller of the store waits for an answer. */
const ANSWER_TIMEOUT_MS = 2000
/** Longest time for which a call to the receiver waits for a connection. */
const MAX_QUEUE_MS = 900
/** Longest time from the sending of a call to its arrival. */
const MAX_LATENCY_MS = 200

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

/** Receives reports without comparing fencing numbers. A call may wait for a connection, arrive late, and lose its answer. */
class UnfencedReceiver implements Duties {
  readonly calls: Array<{ name: string, fencing: number }> = []
  readonly #random: () => number

  constructor (random: () => number) {
    this.#random = random
  }

  async order (): Promise<void> { throw new Error('not used here') }

  async report (_report: UsageReport, { name, fencing, signal }: DutyHolder): Promise<void> {
    if (this.#random() < 0.3) await delay(this.#random() * MAX_QUEUE_MS)
    if (signal?.aborted === true) throw new DutyError('Cannot report: aborted', { failure: 'unsure' })
    const arrival = delay(this.#random() * MAX_LATENCY_MS).then(() => { this.calls.push({ name, fencing }) })
    if (this.#random() < 0.1) throw new DutyError('Cannot report: no answer', { failure: 'unsure' })
    await arrival
  }

  /** Calls that arrived after one with a higher fencing number. */
  get outdated (): Array<{ name: string, fencing: number }> {
    let highest = 0
    return this.calls.filter(({ fencing }) => {
      highest = Math.max(highest, fencing)
      return fencing < highest
    })
  }
}

/** A store that loses some of the answers to writes while `loses` is set. */
function lossyStore (inner: StandInStore, { random, loses }: { random: () => number, loses: () => boolean }): ObjectStore {
  const write = async <T>(run: () => Promise<T>): Promise<T> => {
    const result = await run()
    if (!loses() || random() > 0.35) return result
    await delay(ANSWER_TIMEOUT_MS)
    throw new StoreError('Cannot write: no answer', { failure: 'unsure' })
  }
  return new Proxy(inner as ObjectStore, {
    get: (target, key) => {
      if (key === 'create' || key === 'update') return (...args: [string, string, never]) => write(() => (inner[key] as (...args: unknown[]) => Promise<unknown>)(...args))
      const value = Reflect.get(target, key, inner)
      return typeof value === 'function' ? value.bind(inner) : value
    }
  })
}

/** Plays one schedule of releases, hand-overs and lost answers. */
async function play (seed: number): Promise<UnfencedReceiver> {
  const random = seededRandom(seed * 7919)
  const receiver = new UnfencedReceiver(random)
  const inner = new StandInStore()
  const clock = new SharedClock({ wallMs: 1_000_000, steadyMs: steadyNow() })
  let loses = false
  const starts: number[] = []
  const contending = Array.from({ length: DAEMONS }, () => true)
  const startDaemon = (i: number) => {
    const name = `d${i}.${starts[i] = (starts[i] ?? 0) + 1}`
    const store = lossyStore(inner, { random, loses: () => loses })
    const lease = new LeaseTask({ self: as<DaemonId>(name), store, name: 'duties', ttlMs: LEASE_TTL_MS, pollIntervalMs: 500, retryMs: 500, contends: () => contending[i]! })
    const usage = new UsageTask({ name, store, duties: receiver, lease, tallies: { tally: new Tally(as<DaemonId>(name)), clock }, windowMs: WINDOW_MS, dueMs: REPORT_DEADLINE_MS })
    usage.began(as<AccountId>('council'))
    lease.start()
    usage.start()
    return { lease, usage }
  }
  const daemons = contending.map((_, i) => startDaemon(i))
  for (let atMs = 0; atMs < SCHEDULE_MS;) {
    const stepMs = 100 + random() * 900
    await vi.advanceTimersByTimeAsync(stepMs)
    atMs += stepMs
    loses = random() < 0.5
    const held = daemons.findIndex(({ lease }) => lease.fencing !== undefined)
    const i = held >= 0 ? held : Math.floor(random() * DAEMONS)
    const choice = random()
    if (choice < 0.15) {
      daemons[i]!.usage.stop()
      daemons[i]!.lease.release()
      daemons[i] = startDaemon(i)
    } else if (choice < 0.3) {
      contending[i] = !contending[i]
    }
  }
  for (const { lease, usage } of daemons) {
    usage.stop()
    lease.stop()
  }
  return receiver
}

test('over releases, hand-overs, late calls and lost answers, no report arrives after one with a higher fencing number', async () => {
  // Guards against two daemons that act as the holder, where the receiver does not compare fencing numbers.
  const receivers = []
  for (let seed = 1; seed <= 40; seed++) receivers.push(await play(seed))
  expect(receivers.flatMap(({ calls }) => calls).length).toBeGreaterThan(1000)
  expect(new Set(receivers.flatMap(({ calls }, seed) => calls.map(({ fencing }) => `${seed}/${fencing}`))).size).toBeGreaterThan(200)
  expect(receivers.map(({ outdated }, seed) => ({ seed: seed + 1, outdated })).filter(({ outdated }) => outdated.length > 0)).toEqual([])
}, 60_000)
