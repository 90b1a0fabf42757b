import { expect, test } from 'vitest'
import { as, type AccountId, type DaemonId } from '../../core/ids/index.ts'
import type { StoreVersion } from '../../core/store_version/index.ts'
import { Tally } from '../../core/tally/index.ts'
import { delay, SharedClock } from '../../core/time/index.ts'
import type { Duties, UsageReport } from '../../endpoints/index.ts'
import { DutyError } from '../../endpoints/index.ts'
import { StandInStore } from '../../standins/index.ts'
import { StoreError, type ObjectStore, type StoredObject } from '../../store/index.ts'
import { StandInLease } from '../fleet/_stand_in_lease.ts'
import { UsageTask } from './usage_task.ts'

const WINDOW_MS = 5000
const REPORT_DEADLINE_MS = 10_000
const COUNCIL = as<AccountId>('council')
const WINDOW = 7

/** A daemon that counted some requests in a window and believes it holds the lease. */
function startHolder (name: string, counted: number, ports: { store: ObjectStore, duties: Duties, fencing: () => number | undefined, wallMs?: number }): UsageTask {
  const wallMs = ports.wallMs ?? (WINDOW + 1) * WINDOW_MS + REPORT_DEADLINE_MS / 2
  const tallies = { tally: new Tally(as<DaemonId>(name)), clock: new SharedClock({ wallMs, steadyMs: performance.now() }) }
  const task = new UsageTask({ name, store: ports.store, duties: ports.duties, lease: new StandInLease(ports.fencing), tallies, windowMs: WINDOW_MS, dueMs: REPORT_DEADLINE_MS })
  const agoMs = wallMs - WINDOW * WINDOW_MS - 100
  for (let i = 0; i < counted; i++) task.began(COUNCIL, agoMs)
  return task
}

/** Accepts reports like the platform: rejects fencing numbers lower than the highest seen. */
class FencedReceiver implements Duties {
  readonly accepted: Array<UsageReport & { fencing: number }> = []
  #highest = 0

  async order (): Promise<void> { throw new Error('not used here') }

  async report (report: UsageReport, by: { fencing: number }): Promise<void> {
    if (by.fencing < this.#highest) throw new DutyError('Cannot report: old fencing number', { failure: 'refused' })
    this.#highest = by.fencing
    this.accepted.push({ ...report, fencing: by.fencing })
  }

  /** Number of windows that were reported with different counts. */
  get contradictions (): number {
    const counts = new Map<number, Set<string>>()
    for (const { window, counts: each } of this.accepted) counts.set(window, (counts.get(window) ?? new Set()).add(JSON.stringify(each)))
    return [...counts.values()].filter((different) => different.size > 1).length
  }
}

test('a window is reported once, after its counts have settled', async () => {
  const [store, duties] = [new StandInStore(), new FencedReceiver()]
  const early = startHolder('a', 3, { store, duties, fencing: () => 1, wallMs: (WINDOW + 1) * WINDOW_MS + 100 })
  await early.round()
  expect(duties.accepted.map(({ window }) => window)).not.toContain(WINDOW)
  const task = startHolder('a', 3, { store, duties, fencing: () => 1 })
  await task.round()
  expect(duties.accepted.filter(({ window }) => window === WINDOW)).toEqual([{ window: WINDOW, counts: { council: 3 }, fencing: 1 }])
  await task.round()
  expect(duties.accepted.filter(({ window }) => window === WINDOW)).toHaveLength(1)
})

test('a successor sends the stored report regardless of its own counts', async () => {
  // Guards against conflicting reports when a holder dies after writing one, before or after sending it, and its successor counted one request fewer.
  const [store, duties] = [new StandInStore(), new FencedReceiver()]
  await startHolder('a', 3, { store, duties, fencing: () => 1 }).round()
  await startHolder('b', 2, { store, duties, fencing: () => 2 }).round()
  expect(duties.accepted.filter(({ window }) => window === WINDOW).map(({ counts }) => counts)).toEqual([{ council: 3 }, { council: 3 }])
})

test('no report is sent when the write fails or the lease expires during it', async () => {
  const [store, duties] = [new StandInStore(), new FencedReceiver()]
  store.faults.down = true
  const task = startHolder('a', 3, { store, duties, fencing: () => 1 })
  await task.round()
  store.faults.down = false
  let held = true
  const paused = startHolder('b', 2, { store, duties, fencing: () => (held ? 1 : undefined) })
  const round = paused.round()
  held = false
  await round
  expect(duties.accepted).toEqual([])
})

test('a round that reads the store while the lease ends writes no reports', async () => {
  // Guards against counts of a daemon that has lost the others: its successor would have to send them.
  const [store, duties] = [new StandInStore(), new FencedReceiver()]
  let fencing: number | undefined = 1
  store.stopAnswering()
  const round = startHolder('a', 3, { store, duties, fencing: () => fencing }).round()
  fencing = undefined
  store.resumeAnswering()
  await round
  expect([store.calls.writes, duties.accepted]).toEqual([0, []])
})

/** Returns a store of which a copy without reports was taken. */
async function copiedStore (): Promise<[StandInStore, FencedReceiver]> {
  const store = new StandInStore()
  await store.create('unrelated', '1')
  store.takeCopy()
  return [store, new FencedReceiver()]
}

test('the holder writes its reports again after the store has returned to a copy without them, and sends none twice', async () => {
  // Guards against a successor that finds no report of a window and sends other counts for it.
  const [store, duties] = await copiedStore()
  const holder = startHolder('a', 3, { store, duties, fencing: () => 1 })
  await holder.round()
  store.returnToCopy()
  await store.get('unrelated')
  await holder.round()
  await startHolder('b', 2, { store, duties, fencing: () => 2 }).round()
  expect(duties.accepted.filter(({ window }) => window === WINDOW).map(({ counts }) => counts)).toEqual([{ council: 3 }, { council: 3 }])
})

test('reports are written again although the copy has as many as are kept', async () => {
  const [store, duties] = [new StandInStore(), new FencedReceiver()]
  const reports = Array.from({ length: 6 }, (_, i) => ({ window: WINDOW - 6 + i, counts: {} }))
  await store.create('usage/reports', JSON.stringify({ writeId: 'x', data: reports }))
  store.takeCopy()
  const holder = startHolder('a', 3, { store, duties, fencing: () => 1 })
  await holder.round()
  store.returnToCopy()
  await store.get('unrelated')
  await holder.round()
  expect(JSON.parse((await store.get('usage/reports'))!.value).data.at(-1)).toMatchObject({ window: WINDOW, counts: { council: 3 } })
})

test('a holder that may not know all reports sends no window that may have been reported before the store returned to a copy', async () => {
  const [store, duties] = await copiedStore()
  await startHolder('a', 3, { store, duties, fencing: () => 1 }).round()
  store.returnToCopy()
  await store.get('unrelated')
  await startHolder('b', 2, { store, duties, fencing: () => 2 }).round()
  expect(duties.accepted.map(({ window, counts }) => [window, counts[COUNCIL]])).toEqual([[WINDOW, 3]])
  const later = startHolder('b', 2, { store, duties, fencing: () => 2, wallMs: (WINDOW + 2) * WINDOW_MS + REPORT_DEADLINE_MS / 2 })
  await later.round()
  expect(duties.accepted.map(({ window }) => window)).toEqual([WINDOW])
})

test('windows whose counts settle after the return of the store are reported as ever', async () => {
  const [store, duties] = [new StandInStore(), new FencedReceiver()]
  store.takeCopy()
  store.returnToCopy()
  await store.get('unrelated')
  const wallMs = (WINDOW + 1) * WINDOW_MS + REPORT_DEADLINE_MS / 4 - 50
  const task = startHolder('b', 2, { store, duties, fencing: () => 2, wallMs })
  await task.round()
  expect(duties.accepted).toEqual([])
  await delay(100)
  await task.round()
  expect(duties.accepted.map(({ window, counts }) => [window, counts[COUNCIL]])).toEqual([[WINDOW, 2]])
})

/** Possible outcomes of a call, chosen by the schedule. */
const OUTCOMES = ['done', 'lost', 'late', 'refused'] as const
type Outcome = typeof OUTCOMES[number]
interface Pending { decide (outcome: Outcome): void }

/** Enumerates schedules: chooses at each step the next call and its outcome, and visits every sequence of choices exactly once. */
class Explorer {
  #path: Array<{ choice: number, of: number }> = []
  #at = 0

  /** Runs every schedule and returns their number. */
  async all (play: (choose: (of: number) => number) => Promise<void>): Promise<number> {
    let runs = 0
    do {
      this.#at = 0
      await play((of) => this.#choose(of))
      runs++
    } while (this.#next())
    return runs
  }

  #choose (of: number): number {
    const known = this.#path[this.#at]
    if (!known) this.#path.push({ choice: 0, of })
    return this.#path[this.#at++]!.choice
  }

  #next (): boolean {
    this.#path.length = this.#at
    while (this.#path.length > 0) {
      const last = this.#path.at(-1)!
      if (last.choice + 1 < last.of) {
        last.choice++
        return true
      }
      this.#path.pop()
    }
    return false
  }
}

/** A store in which every call waits until the schedule decides its outcome. */
function scheduledStore (inner: StandInStore, pending: Pending[]): ObjectStore {
  const call = <T>(run: () => Promise<T>, writes: boolean): Promise<T> => new Promise((resolve, reject) => {
    const refused = () => reject(new StoreError('Cannot call: refused', { failure: 'not-applied' }))
    const unsure = () => reject(new StoreError('Cannot call: no answer', { failure: 'unsure' }))
    pending.push({
      decide: (outcome) => {
        if (outcome === 'done') run().then(resolve, reject)
        else if (outcome === 'refused') refused()
        else if (!writes) unsure()
        else if (outcome === 'lost') run().then(unsure, unsure)
        else {
          pending.push({ decide: () => { run().catch(() => { /* version conflict */ }) } })
          unsure()
        }
      }
    })
  })
  return {
    era: inner.era,
    get: (key: string) => call<StoredObject | undefined>(() => inner.get(key), false),
    create: (key: string, value: string) => call(() => inner.create(key, value), true),
    update: (key: string, value: string, version: StoreVersion) => call(() => inner.update(key, value, version), true)
  } as Partial<ObjectStore> as ObjectStore
}

async function flushMicrotasks (): Promise<void> {
  for (let i = 0; i < 12; i++) await Promise.resolve()
}

/** Limits of a schedule: its length in calls and the number of calls that fail. */
const MAX_CALLS = 14
const MAX_FAULTS = 2

/** Explores every order and outcome of the calls of two daemons that both believe they hold the lease and report the same window. */
async function explore (round: (task: UsageTask, ports: { duties: FencedReceiver, fencing: number }) => Promise<void>): Promise<{ runs: number, contradictions: number, reported: number }> {
  let contradictions = 0
  let reported = 0
  const runs = await new Explorer().all(async (choose) => {
    const pending: Pending[] = []
    const duties = new FencedReceiver()
    const store = scheduledStore(new StandInStore(), pending)
    const tasks = [startHolder('a', 3, { store, duties, fencing: () => 1 }), startHolder('b', 2, { store, duties, fencing: () => 2 })]
    tasks.forEach((task, i) => { round(task, { duties, fencing: i + 1 }) })
    await flushMicrotasks()
    let faults = 0
    for (let depth = 0; pending.length > 0 && depth < MAX_CALLS; depth++) {
      const next = pending.splice(choose(pending.length), 1)[0]!
      const outcome = faults < MAX_FAULTS ? OUTCOMES[choose(OUTCOMES.length)]! : 'done'
      if (outcome !== 'done') faults++
      next.decide(outcome)
      await flushMicrotasks()
    }
    if (duties.contradictions > 0) contradictions++
    if (duties.accepted.some(({ window }) => window === WINDOW)) reported++
  })
  return { runs, contradictions, reported }
}

test('two holders report a window consistently in every order of their calls, with lost answers, late writes and refused calls', async () => {
  // A failed round is followed by another, as with the timer.
  const { runs, contradictions, reported } = await explore(async (task) => {
    await task.round()
    await task.round()
  })
  expect(runs).toBeGreaterThan(3000)
  expect(contradictions).toBe(0)
  expect(reported).toBeGreaterThan(runs / 2)
}, 60_000)

test('the same search finds the conflict of holders that send their own counts', async () => {
  const { contradictions } = await explore(async (_task, { duties, fencing }) => {
    await duties.report({ window: WINDOW, counts: { [COUNCIL]: fencing === 1 ? 3 : 2 } as Record<AccountId, number> }, { fencing })
  })
  expect(contradictions).toBeGreaterThan(0)
})

test('the same search finds the conflict of a holder that sends before its write is confirmed', async () => {
  const { contradictions } = await explore(async (task, { duties, fencing }) => {
    const counts = { [COUNCIL]: fencing === 1 ? 3 : 2 } as Record<AccountId, number>
    const sent = duties.report({ window: WINDOW, counts }, { fencing }).catch(() => { /* rejected: the other holder's fencing number is higher */ })
    await Promise.all([task.round(), sent])
  })
  expect(contradictions).toBeGreaterThan(0)
}, 60_000)
