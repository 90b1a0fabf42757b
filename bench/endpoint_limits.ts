/** Compares ways to keep all daemons together within the limit that an endpoint names, in virtual time. */
import { PermitAllocator, PermitStock, type LimitObservation } from '../core/endpoint_limits/index.ts'
import { as, type DaemonId, type EndpointId, type PoolName } from '../core/ids/index.ts'
import { reportIntervalMs, type Random } from '../core/routing/index.ts'
import { seededRandom } from '../daemon/seeded_random.ts'
import { round, type Bench, type BenchOptions, type Figures } from './bench.ts'

/** Way to decide which daemon may send a request to the endpoint. */
interface LimitWay {
  /** Returns true if a daemon may send a request now. */
  mayStart (daemon: number, now: number): boolean
  /** Called every {@linkcode STEP_MS}. */
  step (now: number): void
  /** Messages between daemons so far, in all and at the daemon that handles most. */
  readonly messages: { total: number, busiest: number }
}

const SIZES = [9, 87, 195, 420]
const LIMIT_PER_S = 2.5
/** Requests that prefer the endpoint, as a multiple of its limit. */
const LOADS = [0.8, 3]
const DURATION_MS = 120_000
const STEP_MS = 5
const WINDOW_MS = 4000
const MS_PER_S = 1000
const ENDPOINT = as<EndpointId>('endpoint')
const POOL = as<PoolName>('pool')
const LIMITS: readonly LimitObservation[] = [{ endpoint: ENDPOINT, pool: POOL, perS: LIMIT_PER_S, atMs: 0 }]
/** Longest time for which a daemon relies on a reply, in milliseconds. */
const MAX_WAIT_MS = 1000

/** Each daemon has an equal share of the limit, and may save one request. */
class EqualShares implements LimitWay {
  readonly messages = { total: 0, busiest: 0 }
  readonly #levels: number[]
  #filledAtMs = 0

  constructor (daemons: number) {
    this.#levels = Array(daemons).fill(0)
  }

  mayStart (daemon: number): boolean {
    if (this.#levels[daemon]! < 1) return false
    this.#levels[daemon]!--
    return true
  }

  step (now: number): void {
    const refill = LIMIT_PER_S * (now - this.#filledAtMs) / MS_PER_S / this.#levels.length
    this.#filledAtMs = now
    this.#levels.forEach((level, i) => { this.#levels[i] = Math.min(1, level + refill) })
  }
}

/** Each request is granted or denied by the keeper, with a call. */
class CallPerRequest implements LimitWay {
  readonly messages = { total: 0, busiest: 0 }
  #level = 0
  #filledAtMs = 0

  mayStart (): boolean {
    this.messages.total += 2
    this.messages.busiest += 2
    if (this.#level < 1) return false
    this.#level--
    return true
  }

  step (now: number): void {
    this.#level = Math.min(3, this.#level + LIMIT_PER_S * (now - this.#filledAtMs) / MS_PER_S)
    this.#filledAtMs = now
  }
}

/** Permits that the keeper grants with the periodic reports of the daemons that needed some. */
class ReportedPermits implements LimitWay {
  readonly messages = { total: 0, busiest: 0 }
  readonly #allocator = new PermitAllocator()
  readonly #daemons: Array<{ id: DaemonId, stock: PermitStock, needed: number, reportAtMs: number, lastRequested: number }>
  readonly #intervalMs: number

  constructor (daemons: number, random: Random) {
    this.#intervalMs = reportIntervalMs(daemons)
    this.#daemons = Array.from({ length: daemons }, (_, i) => ({ id: as<DaemonId>(`edge-${i}`), stock: new PermitStock(), needed: 0, reportAtMs: random() * this.#intervalMs, lastRequested: 0 }))
  }

  mayStart (daemon: number, now: number): boolean {
    const { stock } = this.#daemons[daemon]!
    this.#daemons[daemon]!.needed++
    return stock.take(ENDPOINT, now)
  }

  step (now: number): void {
    for (const daemon of this.#daemons) {
      if (now < daemon.reportAtMs) continue
      daemon.reportAtMs = now + this.#intervalMs
      const normal = Math.max(0, daemon.needed - daemon.stock.count(ENDPOINT, now))
      const unused = daemon.stock.takeExpired(now)
      daemon.needed = 0
      if (normal === 0 && daemon.lastRequested === 0 && unused.length === 0) continue
      daemon.lastRequested = normal
      this.messages.total += 2
      this.messages.busiest += 2
      const { grants } = this.#allocator.allocate(daemon.id, [{ pool: POOL, urgent: 0, normal, waits: true }], { limits: LIMITS, share: 1, now, unused })
      daemon.stock.add(grants, now)
    }
  }
}

/** The product: each request asks the keeper for a permit, unless the last reply says that none can be there yet. */
class AskedPermits implements LimitWay {
  readonly messages = { total: 0, busiest: 0 }
  readonly #allocator = new PermitAllocator()
  readonly #askAgainAtMs: number[]

  constructor (daemons: number) {
    this.#askAgainAtMs = Array(daemons).fill(0)
  }

  mayStart (daemon: number, now: number): boolean {
    if (now < this.#askAgainAtMs[daemon]!) return false
    this.messages.total += 2
    this.messages.busiest += 2
    const { grants, waits } = this.#allocator.allocate(as<DaemonId>(`edge-${daemon}`), [{ pool: POOL, urgent: 0, normal: 1, waits: false }], { limits: LIMITS, share: 1, now })
    this.#askAgainAtMs[daemon] = now + Math.min(MAX_WAIT_MS, waits[0]!.normalMs)
    return grants.length > 0
  }

  step (): void {}
}

/** `npm run bench -- endpoint-limits`. */
export const endpointLimitsBench: Bench = {
  name: 'endpoint-limits',
  about: 'what an endpoint with a limit gets from 9 to 420 daemons, and the messages for it, by equal shares, a call per request, and permits with reports or on demand',
  run ({ seed, count, print }: BenchOptions): Figures {
    const rows: Figures[] = []
    for (const daemons of SIZES.filter((size) => size <= (count ?? Infinity))) {
      for (const load of LOADS) {
        for (const senders of [daemons, 1]) {
          const ways = { shares: new EqualShares(daemons), calls: new CallPerRequest(), reported: new ReportedPermits(daemons, seededRandom(seed)), asked: new AskedPermits(daemons) }
          const row = { daemons, load, senders, allowedIn4s: 1.5 * LIMIT_PER_S * 4 + 5, ...Object.fromEntries(Object.entries(ways).map(([name, way]) => [name, measure(way, { load, senders, random: seededRandom(seed) })])) }
          print(JSON.stringify(row))
          rows.push(row)
        }
      }
    }
    return { rows }
  }
}

/** Sends requests at random times by the first `senders` daemons. */
function measure (way: LimitWay, { load, senders, random }: { load: number, senders: number, random: Random }): Figures {
  const sentAtMs: number[] = []
  const perStep = load * LIMIT_PER_S * STEP_MS / MS_PER_S
  let asked = 0
  for (let now = 0; now < DURATION_MS; now += STEP_MS) {
    way.step(now)
    if (random() >= perStep) continue
    asked++
    if (way.mayStart(Math.floor(random() * senders), now)) sentAtMs.push(now)
  }
  const possible = Math.min(asked, LIMIT_PER_S * DURATION_MS / MS_PER_S)
  const perS = (messages: number) => round(messages * MS_PER_S / DURATION_MS, 1)
  return { served: round(sentAtMs.length / possible), mostIn4s: busiestWindow(sentAtMs), messagesPerS: perS(way.messages.total), busiestPerS: perS(way.messages.busiest) }
}

function busiestWindow (times: readonly number[]): number {
  let first = 0
  let most = 0
  times.forEach((atMs, i) => {
    while (times[first]! <= atMs - WINDOW_MS) first++
    most = Math.max(most, i - first + 1)
  })
  return most
}
