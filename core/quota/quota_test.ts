import fc from 'fast-check'
import { expect, test } from 'vitest'
import type { Quota } from '../catalog/index.ts'
import { as, type AccountId, type DaemonId } from '../ids/index.ts'
import { bucketOf, costOf, QuotaKeeper, SharedBucket, VOTE_KEPT_MS, type AccountLevel, type QuotaTolerance, type Vote } from './index.ts'

const ACCOUNT = as<AccountId>('council')
const QUOTA: Quota = { unit: 'tokens', perS: 100_000, burst: 100_000, plainTokens: 200 }
const TOLERANCE: QuotaTolerance = { windowMs: 8000, overshoot: 0.1, slack: 140_000 }
const HARD_LIMIT = (QUOTA.perS * 8 + QUOTA.burst) * (1 + TOLERANCE.overshoot) + TOLERANCE.slack
const FREE: Vote = { host: 'h', number: 1, told: [], freeInMs: 0 }
const daemon = (i: number) => as<DaemonId>(`d${i}`)

test('a request costs its tokens, a plain one what the quota says, and one where requests are counted', () => {
  const demand = { promptTokens: 1460, maxTokens: 80, expectedTokens: 20, parts: [] }
  expect([costOf(QUOTA, demand), costOf(QUOTA, undefined), costOf({ ...QUOTA, unit: 'requests' }, demand)]).toEqual([1540, 200, 1])
})

test('one counter grants the burst at once, then what flows in', () => {
  const bucket = new SharedBucket({ perS: 100, capacity: 50, initial: 50, now: 0 })
  expect(bucket.room(0, 1)).toBe(50)
  bucket.take(50)
  expect(bucket.room(0, 1)).toBe(0)
  expect(bucket.turnAway(10)).toBe(100)
  expect(bucket.room(100, 1)).toBe(10)
  expect(bucket.room(10_000, 1)).toBe(50)
})

test('those that are turned away are told to come back one after the other', () => {
  // An account at six times its quota: each of its callers is told to come back in a few milliseconds, and is refused again with all the others.
  const bucket = new SharedBucket({ perS: 100, capacity: 50, initial: 0, now: 0 })
  expect([bucket.turnAway(10), bucket.turnAway(10), bucket.turnAway(10)]).toEqual([100, 200, 300])
  bucket.room(200, 1)
  expect(bucket.turnAway(30)).toBe(200)
  for (let i = 0; i < 1000; i++) bucket.turnAway(10)
  expect(bucket.turnAway(10)).toBe(8000)
})

test('what is set aside for the other side comes back with its votes, and no sooner', () => {
  const bucket = new SharedBucket({ perS: 100, capacity: 90, initial: 90, now: 0 })
  expect(bucket.room(0, 1 / 3)).toBeCloseTo(30)
  bucket.take(30)
  expect(bucket.room(300, 1 / 3)).toBeCloseTo(10)
  expect(bucket.room(300, 1)).toBeCloseTo(70)
})

test('a lower limit binds at once, and a higher one gives no more than flows in', () => {
  const bucket = new SharedBucket({ perS: 100, capacity: 1000, initial: 1000, now: 0 })
  bucket.resize({ perS: 10, capacity: 20 })
  expect(bucket.room(0, 1)).toBe(20)
  bucket.resize({ perS: 100, capacity: 1000 })
  expect(bucket.room(1000, 1)).toBe(120)
})

test('a keeper that starts knows nothing of what was used, and grants little at first', () => {
  // All daemons are killed while an account is at its limit; those that start would grant the whole burst once more within the window.
  const keeper = new QuotaKeeper({ tolerance: TOLERANCE })
  keeper.apply(new Map([[ACCOUNT, QUOTA]]), 0)
  keeper.vote(daemon(0), 0, FREE)
  const { initial, capacity } = bucketOf(QUOTA, TOLERANCE)
  expect(initial).toBeLessThan(capacity / 3)
  expect(keeper.ask(ACCOUNT, initial + 1, { now: 0, all: 1 }).granted).toBe(false)
  expect(keeper.ask(ACCOUNT, initial, { now: 0, all: 1 }).granted).toBe(true)
})

test('a vote counts once the one before has run out', () => {
  const keeper = new QuotaKeeper({ tolerance: TOLERANCE })
  keeper.vote(daemon(0), 0, { ...FREE, freeInMs: 600 })
  keeper.vote(daemon(0), 300, { ...FREE, number: 2, freeInMs: 300 })
  expect([keeper.part(599, 2), keeper.part(600, 2)]).toEqual([0, 0.5])
})

test('when every host has chosen the same keeper, all votes count at once', () => {
  // After a power loss of all hosts every caller waits a second longer than the daemons take to start: each of them waits for the votes of the
  // process before it to run out, though no keeper is left that counts them.
  const keeper = new QuotaKeeper({ tolerance: TOLERANCE })
  const young = (i: number): Vote => ({ ...FREE, host: `host-${i}`, freeInMs: 800 })
  keeper.vote(daemon(0), 0, young(0))
  keeper.vote(daemon(1), 0, young(1))
  expect(keeper.part(10, 3)).toBe(0)
  keeper.vote(daemon(9), 10, young(1))
  expect(keeper.part(10, 3)).toBe(0)
  keeper.vote(daemon(2), 10, young(2))
  expect(keeper.part(10, 3)).toBe(1)
  keeper.withdraw(daemon(2), 20, 2)
  expect(keeper.part(20, 3)).toBe(0)
})

test('a vote that its last keeper frees counts at once', () => {
  // Each planned restart of the keeper holds up every caller for a second: nobody may grant until all votes for it have run out.
  const keeper = new QuotaKeeper({ tolerance: TOLERANCE })
  keeper.vote(daemon(0), 0, { ...FREE, freeInMs: 1000 })
  keeper.vote(daemon(0), 20, { ...FREE, number: 2 })
  expect(keeper.part(20, 2)).toBe(0.5)
})

test('a vote that comes after its withdrawal counts nowhere', () => {
  // Two links cross: the vote overtaken by its withdrawal would count here while the daemon is counted elsewhere.
  const keeper = new QuotaKeeper({ tolerance: TOLERANCE })
  keeper.vote(daemon(0), 0, FREE)
  keeper.withdraw(daemon(0), 10, 3)
  keeper.vote(daemon(0), 20, { ...FREE, number: 2 })
  keeper.heard(daemon(0), 30)
  expect(keeper.part(40, 2)).toBe(0)
  keeper.vote(daemon(0), 50, { ...FREE, number: 4 })
  expect(keeper.part(50, 2)).toBe(0.5)
})

test('a keeper that was paused wakes without votes', () => {
  // A frozen host wakes and grants for daemons that have chosen another long ago.
  const keeper = new QuotaKeeper({ tolerance: TOLERANCE })
  for (let i = 0; i < 9; i++) keeper.vote(daemon(i), 0, FREE)
  expect(keeper.part(VOTE_KEPT_MS, 9)).toBe(1)
  expect(keeper.part(VOTE_KEPT_MS + 1, 9)).toBe(0)
})

/** One change of who reaches whom, at a step of the schedule. */
interface Event { atMs: number, kind: 'part' | 'heal' | 'kill' | 'pause', side: number, forMs: number }

const STEP_MS = 50
const VOTE_EVERY_MS = 300
/** A daemon notices that its keeper is silent after this long. */
const NOTICE_MS = 750
const SPAN_MS = 24_000

interface Node { id: DaemonId, votedAtMs: number, freeAtMs: number, keeper: QuotaKeeper, chosen: number, told: readonly AccountLevel[], levels: readonly AccountLevel[], silentSinceMs: number, downUntilMs: number, pausedUntilMs: number, group: number }

/** Plays one schedule: who grants how much, and when. `shared: false` is the naive twin, in which each daemon counts for all. */
function play (events: readonly Event[], options: { nodes: number, demandPerS: number, shared: boolean, costs: readonly number[] }): Array<{ atMs: number, cost: number }> {
  const granted: Array<{ atMs: number, cost: number }> = []
  const start = (now: number) => {
    const keeper = new QuotaKeeper({ tolerance: TOLERANCE })
    keeper.apply(new Map([[ACCOUNT, QUOTA]]), now)
    return keeper
  }
  const nodes: Node[] = Array.from({ length: options.nodes }, (_, i) => ({ id: daemon(i), votedAtMs: -VOTE_KEPT_MS, freeAtMs: 0, keeper: start(0), chosen: i, told: [], levels: [], silentSinceMs: 0, downUntilMs: 0, pausedUntilMs: 0, group: 0 }))
  const lives = (node: Node, now: number) => node.downUntilMs <= now && node.pausedUntilMs <= now
  const reaches = (a: Node, b: Node, now: number) => a === b || (a.group === b.group && lives(b, now))
  let costAt = 0
  let owed = 0
  let number = 0
  for (let now = 0; now < SPAN_MS; now += STEP_MS) {
    for (const event of events.filter(({ atMs }) => atMs === now)) apply(event, now)
    for (const node of nodes) if (lives(node, now)) tend(node, now)
    owed += options.demandPerS * STEP_MS / 1000
    while (owed > 0) {
      const cost = options.costs[costAt++ % options.costs.length]!
      owed -= cost
      const node = nodes[costAt % nodes.length]!
      if (lives(node, now)) ask(node, cost, now)
    }
  }
  return granted

  function apply ({ kind, side, forMs }: Event, now: number): void {
    if (kind === 'part') nodes.forEach((node, i) => { node.group = (side >> i) & 1 })
    if (kind === 'heal') for (const node of nodes) node.group = 0
    const node = nodes[side % nodes.length]!
    if (kind === 'pause') node.pausedUntilMs = now + forMs
    if (kind !== 'kill') return
    node.downUntilMs = now + forMs
    Object.assign(node, { keeper: start(now + forMs), chosen: nodes.indexOf(node), told: [], levels: [], freeAtMs: now + forMs + VOTE_KEPT_MS })
  }

  /** As the daemons do: the first that answers, a silent one is given up after a while, a better one is gone back to. */
  function tend (node: Node, now: number): void {
    if (!options.shared || now % VOTE_EVERY_MS !== 0) return
    const current = nodes[node.chosen]!
    if (reaches(node, current, now)) node.silentSinceMs = now
    const first = nodes.findIndex((other) => reaches(node, other, now))
    const move = now - node.silentSinceMs > NOTICE_MS || (first < node.chosen && reaches(node, current, now))
    if (move && first !== node.chosen) {
      const confirmed = reaches(node, current, now)
      if (confirmed) current.keeper.withdraw(node.id, now, ++number)
      else node.freeAtMs = Math.max(node.freeAtMs, node.votedAtMs + VOTE_KEPT_MS)
      node.told = confirmed ? current.keeper.levels({ now, all: options.nodes }) : node.levels
      node.chosen = first
      node.silentSinceMs = now
    }
    const keeper = nodes[node.chosen]!
    if (!reaches(node, keeper, now)) return
    node.votedAtMs = now
    keeper.keeper.vote(node.id, now, { host: node.id, number: ++number, told: node.told, freeInMs: Math.max(0, node.freeAtMs - now) })
    node.told = []
    node.levels = keeper.keeper.levels({ now, all: options.nodes })
  }

  function ask (node: Node, cost: number, now: number): void {
    const chosen = options.shared && reaches(node, nodes[node.chosen]!, now) ? nodes[node.chosen]! : node
    if (!options.shared) node.keeper.vote(node.id, now, { ...FREE, number: ++number })
    const { granted: yes } = chosen.keeper.ask(ACCOUNT, cost, { now, all: options.shared ? options.nodes : 1 })
    if (yes) granted.push({ atMs: now, cost })
  }
}

function worstWindow (granted: ReadonlyArray<{ atMs: number, cost: number }>): number {
  let worst = 0
  let sum = 0
  let from = 0
  for (const { atMs, cost } of granted) {
    sum += cost
    while (granted[from]!.atMs < atMs - TOLERANCE.windowMs) sum -= granted[from++]!.cost
    worst = Math.max(worst, sum)
  }
  return worst
}

const atStep = fc.integer({ min: 0, max: SPAN_MS / STEP_MS - 1 }).map((step) => step * STEP_MS)
const event: fc.Arbitrary<Event> = fc.record({ atMs: atStep, kind: fc.constantFrom('part' as const, 'part' as const, 'heal' as const, 'kill' as const, 'pause' as const), side: fc.integer({ min: 1, max: 510 }), forMs: fc.integer({ min: 1, max: 120 }).map((n) => n * STEP_MS) })
const schedule = fc.array(event, { minLength: 1, maxLength: 8 })
const costs = fc.array(fc.integer({ min: 200, max: 30_000 }), { minLength: 5, maxLength: 20 })

test('under any partitions, pauses and deaths no window is over its limit, where daemons that count alone are', () => {
  let naiveOver = 0
  fc.assert(fc.property(schedule, costs, (events, each) => {
    const options = { nodes: 9, demandPerS: 420_000, costs: each }
    expect(worstWindow(play(events, { ...options, shared: true }))).toBeLessThanOrEqual(HARD_LIMIT)
    if (worstWindow(play(events, { ...options, shared: false })) > HARD_LIMIT) naiveOver++
  }), { seed: 23, numRuns: 150 })
  expect(naiveOver).toBe(150)
})

test('an account within its quota is refused next to nothing while daemons die and part', () => {
  let asked = 0
  let granted = 0
  fc.assert(fc.property(schedule, costs, (events, each) => {
    const served = play(events, { nodes: 9, demandPerS: 55_000, shared: true, costs: each })
    asked += 55_000 * SPAN_MS / 1000
    granted += served.reduce((sum, { cost }) => sum + cost, 0)
  }), { seed: 29, numRuns: 60 })
  expect(granted / asked).toBeGreaterThan(0.93)
})
