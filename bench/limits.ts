/** Admission control under load: fairness between small accounts and a large one, and goodput above capacity. */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { FairQueue, FifoQueue, type RequestQueue } from '../core/admission/index.ts'
import { toWorkClass } from '../core/config/index.ts'
import { as, type AccountId, type DaemonId, type PoolName } from '../core/ids/index.ts'
import { PrefixIndex, TargetRouter, type Random } from '../core/routing/index.ts'
import { Dispatcher } from '../daemon/request/dispatcher.ts'
import type { Placement } from '../daemon/request/placement.ts'
import { EndpointTable } from '../daemon/endpoints/endpoint_table.ts'
import { seededRandom } from '../daemon/seeded_random.ts'
import { sessionConfig } from './_session.ts'
import { quantile, round, type Bench, type Figures } from './bench.ts'

type QueueKind = 'fair' | 'fifo'
interface Arrival { atMs: number, account: AccountId }
interface Outcome { account: AccountId, waitMs: number, startedAtMs: number, ok: boolean }

const ENDPOINTS = 4
const SLOTS = 8
const SERVICE_TIME_MS = 2000
const DEADLINE_MS = 30_000
const ARRIVAL_SPAN_MS = 120_000
const ACCOUNTS = 5
/** Requests per second that the endpoints can serve. */
const CAPACITY_PER_S = ENDPOINTS * SLOTS * 1000 / SERVICE_TIME_MS

/** `npm run bench -- limits`. */
export const limitsBench: Bench = {
  name: 'limits',
  about: 'queueing delay of small accounts next to a large one, and goodput at 0.5 to 5 times capacity',
  run ({ seed, print }) {
    const shares = (['fair', 'fifo'] as const).map((kind) => measureFairness(kind, seed))
    const goodput = [0.5, 1, 2, 5].flatMap((load) => (['fair', 'fifo'] as const).map((kind) => measureOverload(kind, load, seed)))
    for (const row of [...shares, ...goodput]) print(JSON.stringify(row))
    const at = (load: number) => goodput.find((row) => row.load === load && row.queue === 'fair')!.goodputPerS as number
    return { capacityPerS: CAPACITY_PER_S, shares, goodput, goodputAt5Of1: round(at(5) / at(1), 3) }
  }
}

/** Four accounts at 80% of their share and one at ten times its share: well above capacity in total. */
function measureFairness (kind: QueueKind, seed: number): Figures {
  const share = CAPACITY_PER_S / ACCOUNTS
  const random = seededRandom(seed)
  const arrivals = Array.from({ length: ACCOUNTS }, (_, i) => poissonArrivals(as(`account-${i}`), i === 0 ? share * 10 : share * 0.8, random)).flat().sort((a, b) => a.atMs - b.atMs)
  const outcomes = replay(arrivals, kind, seed)
  const small = outcomes.filter(({ account }) => account !== 'account-0')
  const large = outcomes.filter(({ account }) => account === 'account-0')
  return {
    queue: kind,
    smallP95WaitMs: Math.round(quantile(small.filter(({ ok }) => ok).map(({ waitMs }) => waitMs), 0.95)),
    smallAnswered: round(small.filter(({ ok }) => ok).length / small.length, 3),
    largeAnsweredPerS: round(large.filter(({ ok }) => ok).length * 1000 / ARRIVAL_SPAN_MS, 2)
  }
}

function measureOverload (kind: QueueKind, load: number, seed: number): Figures {
  const random = seededRandom(seed)
  const arrivals = Array.from({ length: ACCOUNTS }, (_, i) => poissonArrivals(as(`account-${i}`), load * CAPACITY_PER_S / ACCOUNTS, random)).flat().sort((a, b) => a.atMs - b.atMs)
  const outcomes = replay(arrivals, kind, seed)
  const refused = outcomes.filter(({ ok }) => !ok).map(({ waitMs }) => waitMs)
  return { queue: kind, load, offeredPerS: round(arrivals.length * 1000 / ARRIVAL_SPAN_MS, 2), goodputPerS: round(outcomes.filter(({ ok, startedAtMs }) => ok && startedAtMs <= ARRIVAL_SPAN_MS).length * 1000 / ARRIVAL_SPAN_MS, 2), p95WaitMs: Math.round(quantile(outcomes.filter(({ ok }) => ok).map(({ waitMs }) => waitMs), 0.95)), refusedAfterMsP95: Math.round(quantile(refused, 0.95)) }
}

function poissonArrivals (account: AccountId, perS: number, random: Random): Arrival[] {
  const arrivals: Arrival[] = []
  for (let atMs = 0; ; arrivals.push({ atMs, account })) {
    atMs += -Math.log(1 - random()) * 1000 / perS
    if (atMs > ARRIVAL_SPAN_MS) return arrivals
  }
}

/** Runs the real dispatcher under a fake clock; every request occupies an endpoint slot for a fixed service time. */
function replay (arrivals: readonly Arrival[], kind: QueueKind, seed: number): Outcome[] {
  const clock = FakeTimers.install({ now: 0, toFake: ['setTimeout', 'clearTimeout', 'Date'] })
  try {
    return run(arrivals, kind, seed, clock)
  } finally {
    clock.uninstall()
  }
}

function run (arrivals: readonly Arrival[], kind: QueueKind, seed: number, clock: Clock): Outcome[] {
  const hash = (text: string) => text.length
  const table = new EndpointTable({ self: as<DaemonId>('d'), hash })
  table.applyHostList(Array.from({ length: ENDPOINTS }, (_, i) => makeHost(i)))
  const queue = (): RequestQueue<Placement> => (kind === 'fair' ? new FairQueue() : new FifoQueue())
  const dispatcher = new Dispatcher({ table, router: new TargetRouter({ random: seededRandom(seed) }), prefixes: new PrefixIndex(), queue })
  const cls = { ...toWorkClass(sessionConfig().classes[0]!, true), latency: { firstTokenMs: 1800, betweenTokensMs: 60, deadlineMs: DEADLINE_MS } }
  const outcomes: Outcome[] = []
  for (const { atMs, account } of arrivals) {
    setTimeout(() => {
      const done = (ok: boolean) => outcomes.push({ account, waitMs: Date.now() - atMs, startedAtMs: Date.now(), ok })
      dispatcher.place({
        account,
        cls,
        pool: as<PoolName>('models'),
        demand: { promptTokens: 1, maxTokens: 40, expectedTokens: 40, parts: [] },
        doneTokens: 0,
        acceptedAtMs: atMs,
        resumed: false,
        deadlineAtMs: atMs + DEADLINE_MS,
        avoid: [],
        placed: ({ id }) => {
          done(true)
          table.started(id, { lane: 'normal', tokens: 0 })
          setTimeout(() => { table.ended(id); dispatcher.startQueued() }, SERVICE_TIME_MS)
        },
        waits: () => {},
        refused: () => done(false)
      })
    }, atMs)
  }
  clock.tick(ARRIVAL_SPAN_MS + DEADLINE_MS * 2)
  return outcomes
}

function makeHost (i: number) {
  const speed = { batchSlots: SLOTS, prefillTokensPerS: 1e6, betweenTokensMs: 20, betweenTokensPerStreamMs: 1, exportTokensPerS: 1, importTokensPerS: 1 }
  return { hostId: as<never>(`h${i}`), hostClass: 'quad', failureDomain: as<never>('a'), reclaimable: true, pricePerHour: 1, state: 'live' as const, endpoint: { id: as<never>(`e${i}`), pool: as<never>('models'), address: '', speed } }
}
