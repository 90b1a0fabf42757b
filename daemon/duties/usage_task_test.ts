import { expect, test } from 'vitest'
import { as, type AccountId, type DaemonId } from '../../core/ids/index.ts'
import { Tally } from '../../core/tally/index.ts'
import { SharedClock } from '../../core/time/index.ts'
import type { Duties, UsageReport } from '../../endpoints/index.ts'
import { DutyError } from '../../endpoints/index.ts'
import { StandInStore } from '../../standins/index.ts'
import { StoreError, type ObjectStore, type StoredObject } from '../../store/index.ts'
import { UsageTask } from './usage_task.ts'

const WINDOW_MS = 5000
const DUE_MS = 10_000
const COUNCIL = as<AccountId>('council')
const WINDOW = 7

/** A daemon that counted some requests in a window, and believes to hold the lease. */
function holder (name: string, counted: number, ports: { store: ObjectStore, duties: Duties, fencing: () => number | undefined, wallMs?: number }): UsageTask {
  const wallMs = ports.wallMs ?? (WINDOW + 1) * WINDOW_MS + DUE_MS / 2
  const tallies = { tally: new Tally(as<DaemonId>(name)), clock: new SharedClock({ wallMs, steadyMs: performance.now() }) }
  const task = new UsageTask({ name, store: ports.store, duties: ports.duties, lease: { get fencing () { return ports.fencing() } }, tallies, windowMs: WINDOW_MS, dueMs: DUE_MS })
  const agoMs = wallMs - WINDOW * WINDOW_MS - 100
  for (let i = 0; i < counted; i++) task.began(COUNCIL, agoMs)
  return task
}

/** Takes reports as the platform does: a lower fencing number than was seen is refused. */
class Reports implements Duties {
  readonly accepted: Array<UsageReport & { fencing: number }> = []
  #highest = 0

  async order (): Promise<void> { throw new Error('not used here') }

  async report (report: UsageReport, by: { fencing: number }): Promise<void> {
    if (by.fencing < this.#highest) throw new DutyError('Cannot report: old fencing number', { failure: 'refused' })
    this.#highest = by.fencing
    this.accepted.push({ ...report, fencing: by.fencing })
  }

  /** Windows that were reported with two different counts. */
  get contradictions (): number {
    const counts = new Map<number, Set<string>>()
    for (const { window, counts: each } of this.accepted) counts.set(window, (counts.get(window) ?? new Set()).add(JSON.stringify(each)))
    return [...counts.values()].filter((different) => different.size > 1).length
  }
}

test('a window is reported once it has settled, with what all counted in it', async () => {
  const [store, duties] = [new StandInStore(), new Reports()]
  const early = holder('a', 3, { store, duties, fencing: () => 1, wallMs: (WINDOW + 1) * WINDOW_MS + 100 })
  await early.round()
  expect(duties.accepted.map(({ window }) => window)).not.toContain(WINDOW)
  const task = holder('a', 3, { store, duties, fencing: () => 1 })
  await task.round()
  expect(duties.accepted.filter(({ window }) => window === WINDOW)).toEqual([{ window: WINDOW, counts: { council: 3 }, fencing: 1 }])
  await task.round()
  expect(duties.accepted.filter(({ window }) => window === WINDOW)).toHaveLength(1)
})

test('a successor sends what was written, whatever it counted itself', async () => {
  // A holder dies between writing a report and sending it, or just after; its successor counted one request less.
  const [store, duties] = [new StandInStore(), new Reports()]
  await holder('a', 3, { store, duties, fencing: () => 1 }).round()
  await holder('b', 2, { store, duties, fencing: () => 2 }).round()
  expect(duties.accepted.filter(({ window }) => window === WINDOW).map(({ counts }) => counts)).toEqual([{ council: 3 }, { council: 3 }])
})

test('a daemon that cannot write sends nothing, and one whose lease ran out while it wrote neither', async () => {
  const [store, duties] = [new StandInStore(), new Reports()]
  store.faults.down = true
  const task = holder('a', 3, { store, duties, fencing: () => 1 })
  await task.round()
  store.faults.down = false
  let held = true
  const paused = holder('b', 2, { store, duties, fencing: () => (held ? 1 : undefined) })
  const round = paused.round()
  held = false
  await round
  expect(duties.accepted).toEqual([])
})

/** What may become of one call, as the schedule chooses. */
const FATES = ['done', 'lost', 'late', 'refused'] as const
type Fate = typeof FATES[number]
interface Pending { decide (fate: Fate): void }

/** Chooses at each turn which call is next and what becomes of it; visits every sequence of choices once. */
class Explorer {
  #path: Array<{ choice: number, of: number }> = []
  #at = 0

  /** Runs until every schedule was played; returns how many. */
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

/** A store whose every call waits until the schedule takes it up. */
function scheduledStore (inner: StandInStore, pending: Pending[]): ObjectStore {
  const call = <T>(run: () => Promise<T>, writes: boolean): Promise<T> => new Promise((resolve, reject) => {
    const refused = () => reject(new StoreError('Cannot call: refused', { failure: 'not-applied' }))
    const unsure = () => reject(new StoreError('Cannot call: no answer', { failure: 'unsure' }))
    pending.push({
      decide: (fate) => {
        if (fate === 'done') run().then(resolve, reject)
        else if (fate === 'refused') refused()
        else if (!writes) unsure()
        else if (fate === 'lost') run().then(unsure, unsure)
        else {
          pending.push({ decide: () => { run().catch(() => { /* its condition no longer holds */ }) } })
          unsure()
        }
      }
    })
  })
  return {
    get: (key: string) => call<StoredObject | undefined>(() => inner.get(key), false),
    create: (key: string, value: string) => call(() => inner.create(key, value), true),
    update: (key: string, value: string, version: number) => call(() => inner.update(key, value, version), true)
  } as ObjectStore
}

async function settle (): Promise<void> {
  for (let i = 0; i < 12; i++) await Promise.resolve()
}

/** Longest schedule, in calls, and most of them that go wrong. */
const DEPTH = 14
const MOST_FAULTS = 2

/** Two daemons that both believe to hold the lease report the same window; every order of their calls, and every fate of them. */
async function explore (round: (task: UsageTask, ports: { duties: Reports, fencing: number }) => Promise<void>): Promise<{ runs: number, contradictions: number, reported: number }> {
  let contradictions = 0
  let reported = 0
  const runs = await new Explorer().all(async (choose) => {
    const pending: Pending[] = []
    const duties = new Reports()
    const store = scheduledStore(new StandInStore(), pending)
    const tasks = [holder('a', 3, { store, duties, fencing: () => 1 }), holder('b', 2, { store, duties, fencing: () => 2 })]
    tasks.forEach((task, i) => { round(task, { duties, fencing: i + 1 }) })
    await settle()
    let faults = 0
    for (let depth = 0; pending.length > 0 && depth < DEPTH; depth++) {
      const next = pending.splice(choose(pending.length), 1)[0]!
      const fate = faults < MOST_FAULTS ? FATES[choose(FATES.length)]! : 'done'
      if (fate !== 'done') faults++
      next.decide(fate)
      await settle()
    }
    if (duties.contradictions > 0) contradictions++
    if (duties.accepted.some(({ window }) => window === WINDOW)) reported++
  })
  return { runs, contradictions, reported }
}

test('in every order of the calls of two holders, with answers lost, writes done late and calls refused, a window has one report', async () => {
  // A round that failed is followed by another, as the timer would.
  const { runs, contradictions, reported } = await explore(async (task) => {
    await task.round()
    await task.round()
  })
  expect(runs).toBeGreaterThan(3000)
  expect(contradictions).toBe(0)
  expect(reported).toBeGreaterThan(runs / 2)
}, 60_000)

test('the same search finds the fault of holders that send what they counted', async () => {
  const { contradictions } = await explore(async (_task, { duties, fencing }) => {
    await duties.report({ window: WINDOW, counts: { [COUNCIL]: fencing === 1 ? 3 : 2 } as Record<AccountId, number> }, { fencing })
  })
  expect(contradictions).toBeGreaterThan(0)
})

test('the same search finds the fault of a holder that sends before its write is certain', async () => {
  const { contradictions } = await explore(async (task, { duties, fencing }) => {
    const counts = { [COUNCIL]: fencing === 1 ? 3 : 2 } as Record<AccountId, number>
    const sent = duties.report({ window: WINDOW, counts }, { fencing }).catch(() => { /* refused: the other one is ahead */ })
    await Promise.all([task.round(), sent])
  })
  expect(contradictions).toBeGreaterThan(0)
}, 60_000)
