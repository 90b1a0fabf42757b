import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, type DaemonId, type EndpointId, type PoolName } from '../../core/ids/index.ts'
import { delay, steadyNow } from '../../core/time/index.ts'
import { StandInNetwork, type StandInLinks } from '../../standins/index.ts'
import { createMetrics } from '../metrics.ts'
import { seededRandom } from '../seeded_random.ts'
import { EndpointLimitTask } from './endpoint_limit_task.ts'
import { EndpointLimits } from './endpoint_limits.ts'

const POOL = as<PoolName>('desk')
const ENDPOINT = { id: as<EndpointId>('endpoint'), pool: POOL }
const WINDOW_MS = 4000
/** A daemon that received the limit counts from then on. */
const KNOWN_AFTER_MS = 500
const LOAD_REPORT_MS = 300

/** Most requests that an endpoint may get in a window from daemons that know its limit. */
const allowed = (perS: number) => 1.5 * perS * WINDOW_MS / 1000 + 5

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => {
  for (const node of fleet.nodes) node.stop()
  vi.useRealTimers()
})

interface Node {
  id: DaemonId
  links: StandInLinks
  limits: EndpointLimits
  task: EndpointLimitTask
  /** Requests per second that callers send to it. */
  perS: number
  knowsLimitFromMs: number
  stop (): void
}

/** Daemons whose callers send requests that prefer one endpoint. */
class Fleet {
  readonly network = new StandInNetwork()
  readonly nodes: Node[] = []
  readonly random = seededRandom(44)
  keeper: Node | undefined
  /** Limit that the endpoint names. */
  limit: number | undefined
  readonly arrivals: Array<{ atMs: number, counts: boolean }> = []
  readonly #links = new Map<string, boolean>()

  async start (daemons: number, perS: (i: number) => number): Promise<void> {
    for (let i = 0; i < daemons; i++) await this.add(`edge-${i}`, perS(i))
    this.keeper = this.nodes[0]
    await this.connect()
  }

  async add (name: string, perS: number): Promise<Node> {
    const id = as<DaemonId>(name)
    const links = this.network.join(id)
    await links.listen()
    const limits = new EndpointLimits({ metrics: createMetrics(), isListed: () => true })
    const nodes = this.nodes
    const membership = { links, get reachable () { return nodes as never } }
    const fleet = this
    const accounts = { get keeper () { return fleet.keeper?.id === id ? undefined : fleet.keeper?.id }, get keeperShare () { return fleet.keeper?.id === id ? 1 : 0 } }
    const task = new EndpointLimitTask({ self: id, membership, limits, accounts, queued: () => ({ urgent: 0, normal: 0 }) })
    task.start()
    const timers = [setInterval(() => { if (this.keeper?.links.id !== id && this.#links.get(id)) this.keeper?.task.sendLimits(id) }, LOAD_REPORT_MS)]
    const node: Node = { id, links, limits, task, perS, knowsLimitFromMs: Infinity, stop: () => { timers.forEach(clearInterval); task.stop(); node.perS = 0 } }
    this.nodes.push(node)
    this.#sendRequests(node)
    return node
  }

  async connect (): Promise<void> {
    for (const node of this.nodes) {
      if (node !== this.keeper) await node.links.connect({ id: this.keeper!.id, address: `node:${this.keeper!.id}` })
      this.#links.set(node.id, true)
    }
    await vi.advanceTimersByTimeAsync(10)
  }

  async #sendRequests (node: Node): Promise<void> {
    while (node.perS > 0) {
      await delay(-Math.log(1 - this.random()) * 1000 / node.perS)
      this.#sendRequest(node)
    }
  }

  async #sendRequest (node: Node): Promise<void> {
    if (!node.limits.mayStart(ENDPOINT)) await node.limits.ask(POOL, false)
    if (node.limits.mayStart(ENDPOINT)) await this.#serve(node)
  }

  async #serve (node: Node): Promise<void> {
    const sentAtMs = steadyNow()
    node.limits.started(ENDPOINT)
    await delay(1)
    this.arrivals.push({ atMs: steadyNow(), counts: steadyNow() >= node.knowsLimitFromMs })
    await delay(50)
    const perS = this.limit
    if (perS !== undefined) node.knowsLimitFromMs = Math.min(node.knowsLimitFromMs, steadyNow() + KNOWN_AFTER_MS)
    node.limits.answered(ENDPOINT, { perS }, sentAtMs)
  }

  /** Most arrivals in a window that count against the limit. */
  get busiestWindow (): number {
    const counted = this.arrivals.filter(({ counts }) => counts)
    return Math.max(0, ...counted.map(({ atMs }) => counted.filter((other) => other.atMs >= atMs && other.atMs < atMs + WINDOW_MS).length))
  }

  /** Arrivals per second since a time. */
  rateSince (fromMs: number): number {
    return this.arrivals.filter(({ atMs }) => atMs >= fromMs).length * 1000 / (steadyNow() - fromMs)
  }
}

let fleet: Fleet

async function started (daemons: number, perS: (i: number) => number): Promise<Fleet> {
  fleet = new Fleet()
  await fleet.start(daemons, perS)
  await vi.advanceTimersByTimeAsync(2000)
  return fleet
}

/** Lets time pass and returns the rate of arrivals meanwhile. */
async function rateFor (ms: number): Promise<number> {
  const fromMs = steadyNow()
  await vi.advanceTimersByTimeAsync(ms)
  return fleet.rateSince(fromMs)
}

test.each([
  { daemons: 9, perS: 2.5, load: 7 },
  { daemons: 9, perS: 0.4, load: 7 },
  { daemons: 9, perS: 40, load: 300 },
  { daemons: 40, perS: 2.5, load: 8 }
])('an endpoint that names a limit gets no more than it takes, and most of that (%o)', async ({ daemons, perS, load }) => {
  // Guards against daemons that each keep to a limit, or ignore it, while their requests together exceed it.
  await started(daemons, () => load / daemons)
  fleet.limit = perS
  await vi.advanceTimersByTimeAsync(10_000)
  const rate = await rateFor(20_000)
  expect(fleet.busiestWindow).toBeLessThanOrEqual(allowed(perS))
  expect(rate).toBeLessThanOrEqual(perS * 1.1)
  expect(rate).toBeGreaterThanOrEqual(perS * 0.7)
})

test('requests within the limit get through although one daemon has all of them', async () => {
  // Guards against equal shares of a limit, which leave most of it unused.
  await started(9, (i) => (i === 4 ? 8 : 0))
  fleet.limit = 4
  await vi.advanceTimersByTimeAsync(5000)
  expect(await rateFor(15_000)).toBeGreaterThanOrEqual(4 * 0.8)
  expect(fleet.busiestWindow).toBeLessThanOrEqual(allowed(4))
})

test('an endpoint that names a limit no longer is used as before within seconds', async () => {
  await started(9, () => 2)
  fleet.limit = 1.5
  await vi.advanceTimersByTimeAsync(10_000)
  expect(await rateFor(4000)).toBeLessThanOrEqual(3)
  fleet.limit = undefined
  await vi.advanceTimersByTimeAsync(2000)
  expect(await rateFor(4000)).toBeGreaterThanOrEqual(18 * 0.7)
})

test('a lower limit binds at once, a higher one is used', async () => {
  await started(9, () => 3)
  fleet.limit = 10
  await vi.advanceTimersByTimeAsync(8000)
  fleet.limit = 2
  await vi.advanceTimersByTimeAsync(3000)
  expect(await rateFor(8000)).toBeLessThanOrEqual(2.5)
  fleet.limit = 20
  await vi.advanceTimersByTimeAsync(3000)
  expect(await rateFor(5000)).toBeGreaterThanOrEqual(14)
})

test('the limit holds while the keeper is replaced, and is used again afterwards', async () => {
  // Guards against a new keeper that grants what the old one has granted already, or that never learns of the limit.
  await started(9, () => 2)
  fleet.limit = 2.5
  await vi.advanceTimersByTimeAsync(8000)
  const [old, next] = fleet.nodes
  old!.stop()
  await old!.links.close()
  fleet.keeper = undefined
  fleet.nodes.shift()
  await vi.advanceTimersByTimeAsync(1000)
  fleet.keeper = next
  await fleet.connect()
  await vi.advanceTimersByTimeAsync(3000)
  expect(await rateFor(10_000)).toBeGreaterThanOrEqual(2.5 * 0.7)
  expect(fleet.busiestWindow).toBeLessThanOrEqual(allowed(2.5))
})

test('the limit is used although the first report of it was lost', async () => {
  // Guards against a limit that one daemon keeps to and the keeper never learns of: it would grant no permit.
  await started(2, (i) => i * 6)
  fleet.network.silence(fleet.keeper!.id, true)
  fleet.limit = 3
  await vi.advanceTimersByTimeAsync(1500)
  fleet.network.silence(fleet.keeper!.id, false)
  await vi.advanceTimersByTimeAsync(3000)
  expect(await rateFor(6000)).toBeGreaterThanOrEqual(3 * 0.7)
})

test('a daemon that starts learns of the limits in force before it sends a request', async () => {
  await started(9, () => 2)
  fleet.limit = 2
  await vi.advanceTimersByTimeAsync(3000)
  const joined = await fleet.add('edge-9', 0)
  await fleet.connect()
  await vi.advanceTimersByTimeAsync(2 * LOAD_REPORT_MS)
  expect(joined.limits.isLimited(ENDPOINT)).toBe(true)
  expect(joined.limits.mayStart(ENDPOINT)).toBe(false)
})

test('no message is sent while no endpoint names a limit', async () => {
  await started(9, () => 4)
  const post = vi.spyOn(fleet.nodes[3]!.links, 'post')
  await vi.advanceTimersByTimeAsync(10_000)
  expect(post).not.toHaveBeenCalled()
})

test('a value that cannot be read leaves the limit as it is', () => {
  fleet = new Fleet()
  const limits = new EndpointLimits({ metrics: createMetrics(), isListed: () => true })
  limits.answered(ENDPOINT, { invalid: '-1' }, 0)
  expect(limits.isLimited(ENDPOINT)).toBe(false)
  limits.answered(ENDPOINT, { perS: 2 }, 0)
  limits.answered(ENDPOINT, { invalid: 'many' }, steadyNow() + 1)
  expect(limits.perS(ENDPOINT)).toBe(2)
})

test('an endpoint that takes the address of one with a limit starts without one', () => {
  fleet = new Fleet()
  const limits = new EndpointLimits({ metrics: createMetrics(), isListed: () => true })
  limits.answered(ENDPOINT, { perS: 2 }, 0)
  expect(limits.isLimited({ id: as<EndpointId>('later-start'), pool: POOL })).toBe(false)
})

test('a request waits for a permit of a keeper in another region for a round trip longer', async () => {
  // Guards against requests that go elsewhere just before each permit arrives.
  fleet = new Fleet()
  const limits = new EndpointLimits({ metrics: createMetrics(), isListed: () => true, farKeeperMs: () => 40 })
  let granted: boolean | undefined
  limits.ask(POOL, false)!.then((result) => { granted = result })
  await vi.advanceTimersByTimeAsync(85)
  expect(granted).toBeUndefined()
  await vi.advanceTimersByTimeAsync(10)
  expect(granted).toBe(false)
})
