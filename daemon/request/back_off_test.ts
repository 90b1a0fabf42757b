import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import xxhash from 'xxhash-wasm'
import { as, endpointId, type DaemonId, type EndpointId, type FailureDomain, type HostId } from '../../core/ids/index.ts'
import type { EndpointView } from '../../core/routing/index.ts'
import { RegionTopology } from '../../core/topology/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { EndpointSignals, ListedHost } from '../../endpoints/index.ts'
import { EndpointSignalRecorder } from '../endpoints/endpoint_signal_recorder.ts'
import { EndpointTable } from '../endpoints/endpoint_table.ts'
import { EndpointLimits } from '../limits/endpoint_limits.ts'
import { createMetrics } from '../metrics.ts'
import { seededRandom } from '../seeded_random.ts'
import { DESK as POOL, DESK_CLASS, placement } from './_placement_fixture.ts'
import { BACK_OFF_REASON, type Dispatcher } from './dispatcher.ts'
import type { Placement } from './placement.ts'
import { createSharedDispatcher, type SharedDispatcherOptions } from './shared_dispatcher.ts'

const { h32: hash } = await xxhash()
const DOMAIN = as<FailureDomain>('a')
const TARGET_MS = 500
const CLASS = { ...DESK_CLASS, urgent: false, latency: { firstTokenMs: TARGET_MS, betweenTokensMs: undefined, deadlineMs: 3000 } }
/** Most by which a back-off of a second or less is extended, and returning callers are spread. */
const EXTENSION_MS = 100
const SPREAD_MS = 500

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

interface Daemon { dispatcher: Dispatcher, signals: EndpointSignalRecorder, table: EndpointTable }

const idOf = (name: string) => endpointId(name, 1000)

function listed (name: string, startedAtMs = 1000): ListedHost {
  const id = endpointId(name, startedAtMs)
  const speed = { batchSlots: 60, prefillTokensPerS: 1e6, betweenTokensMs: 1, betweenTokensPerStreamMs: 0, exportTokensPerS: 0, importTokensPerS: 0 }
  return { hostId: as<HostId>(id), hostClass: 'any', failureDomain: DOMAIN, reclaimable: false, pricePerHour: 0, state: 'live', endpoint: { id, name, startedAtMs, pool: POOL, address: '', speed } }
}

function daemonWith (...names: string[]): Daemon {
  return connectedTo(names, names.length)
}

/** A daemon that connects to some of the endpoints only. */
function connectedTo (names: readonly string[], subsetSize: number, options: Partial<SharedDispatcherOptions> = {}): Daemon {
  const table = new EndpointTable({ self: as<DaemonId>('d'), hash, subsetSize })
  table.applyHostList(names.map((name) => listed(name)))
  const random = seededRandom(7)
  const dispatcher = createSharedDispatcher({ table, hash, random, topology: new RegionTopology({ ownDomain: DOMAIN }), sharers: () => 1, ...options })
  const signals = new EndpointSignalRecorder({ table, metrics: createMetrics(), random })
  signals.onRoom = () => dispatcher.startQueued()
  return { table, dispatcher, signals }
}

const say = ({ signals }: Daemon, name: string, said: EndpointSignals) => signals.record(idOf(name), said, steadyNow())
const askForTime = (daemon: Daemon, name: string, forMs: number) => say(daemon, name, { backOff: { forMs } })

interface Result { to?: string, waits?: true, refused?: { reason: string, retryAfterMs: number, afterMs: number } }

function place ({ dispatcher }: Daemon, change: Partial<Placement> = {}): Result {
  const result: Result = {}
  const placedAtMs = steadyNow()
  dispatcher.place(placement({
    cls: CLASS,
    deadlineAtMs: steadyNow() + CLASS.latency.deadlineMs,
    placed: (view) => { result.to = view.name! },
    refused: (reason, retryAfterMs) => { result.refused = { reason, retryAfterMs, afterMs: steadyNow() - placedAtMs } },
    waits: () => { result.waits = true },
    ...change
  }))
  return result
}

const placeMany = (daemon: Daemon, count: number, change: Partial<Placement> = {}) => Array.from({ length: count }, () => place(daemon, change))

test('an endpoint that asked for time gets no requests until then, and again afterwards', () => {
  const daemon = daemonWith('one', 'two')
  askForTime(daemon, 'one', 1000)
  vi.advanceTimersByTime(999)
  expect(new Set(placeMany(daemon, 40).map(({ to }) => to))).toEqual(new Set(['two']))
  vi.advanceTimersByTime(1 + EXTENSION_MS)
  expect(new Set(placeMany(daemon, 40).map(({ to }) => to))).toEqual(new Set(['one', 'two']))
})

test('a repeat does not go to an endpoint that asked for time although all others have failed the request', () => {
  const daemon = daemonWith('one', 'two')
  askForTime(daemon, 'one', 3000)
  const repeats = placeMany(daemon, 20, { avoid: [idOf('two'), idOf('one')] })
  expect(new Set(repeats.map(({ to }) => to))).toEqual(new Set(['two']))
})

test('a repeat goes to the endpoint that failed the request if all others asked for time', () => {
  // Guards against a request that waits in the queue for endpoints that do not take it in time.
  const daemon = daemonWith('one', 'two')
  askForTime(daemon, 'one', 3000)
  expect(place(daemon, { avoid: [idOf('two')] })).toEqual({ to: 'two' })
})

test('when all endpoints that a daemon connects to asked for time, others of the pool take its requests', () => {
  const names = ['one', 'two', 'three', 'four']
  const daemon = connectedTo(names, 2)
  const connected = daemon.table.candidates(POOL).map(({ name }) => name!)
  for (const name of connected) askForTime(daemon, name, 3000)
  expect(new Set(placeMany(daemon, 40).map(({ to }) => to))).toEqual(new Set(names.filter((name) => !connected.includes(name))))
})

test('a canary that asked for time gets no requests, and its grants are not spent', () => {
  let spent = 0
  let canaries: readonly EndpointView[] = []
  const daemon = connectedTo(['old', 'canary'], 2, { canaries: { canaries: () => canaries, spent: () => { spent++ } } })
  canaries = [daemon.table.get(idOf('canary'))!]
  expect([place(daemon).to, spent]).toEqual(['canary', 1])
  askForTime(daemon, 'canary', 3000)
  expect(new Set(placeMany(daemon, 10).map(({ to }) => to))).toEqual(new Set(['old']))
  expect(spent).toBe(1)
})

test('a permit for an endpoint that asked for time does not keep its request from the others', async () => {
  const limits = new EndpointLimits({ metrics: createMetrics(), isListed: () => true })
  const daemon = connectedTo(['limited', 'other'], 2, { limits })
  limits.answered(daemon.table.get(idOf('limited'))!, { perS: 2 }, steadyNow() + 1)
  const results = placeMany(daemon, 20)
  const asked = results.filter(({ to }) => to === undefined)
  expect(asked.length).toBeGreaterThan(0)
  limits.takeAsks()
  askForTime(daemon, 'limited', 3000)
  limits.receive({ grants: [[idOf('limited'), 20]], waits: [{ pool: POOL, urgentMs: 0, normalMs: 0 }], answersAsks: true })
  await vi.advanceTimersByTimeAsync(0)
  expect(new Set(results.map(({ to }) => to))).toEqual(new Set(['other']))
})

test('a request whose prefix is cached at an endpoint that asked for time goes to another one', () => {
  const daemon = daemonWith('one', 'two', 'three')
  const demand = { promptTokens: 5000, maxTokens: 10, expectedTokens: 10, parts: [{ key: 'shared', tokens: 4900 }, { key: 'own', tokens: 100 }] }
  const home = place(daemon, { demand }).to!
  askForTime(daemon, home, 3000)
  expect(placeMany(daemon, 10, { demand }).filter(({ to }) => to === undefined || to === home)).toEqual([])
})

test('when all endpoints asked for time, a request that they cannot take in time is refused at once with the end of the shortest time', () => {
  // Guards against requests that are held until their target although it is known that no endpoint takes them.
  const daemon = daemonWith('one', 'two')
  askForTime(daemon, 'one', 8000)
  askForTime(daemon, 'two', 3000)
  const { refused } = place(daemon)
  expect(refused).toMatchObject({ reason: BACK_OFF_REASON, afterMs: 0 })
  expect(refused!.retryAfterMs).toBeGreaterThanOrEqual(3000)
  expect(refused!.retryAfterMs).toBeLessThanOrEqual(3000 * 1.1 + SPREAD_MS)
})

test('callers that are refused during a back-off return spread over time, urgent ones first', () => {
  const daemon = daemonWith('one')
  askForTime(daemon, 'one', 3000)
  const timesOf = (results: readonly Result[]) => results.map(({ refused }) => refused!.retryAfterMs)
  const urgent = timesOf(placeMany(daemon, 10, { cls: { ...CLASS, urgent: true } }))
  const others = timesOf(placeMany(daemon, 50))
  expect(new Set(urgent).size).toBe(1)
  expect(Math.min(...others)).toBeGreaterThanOrEqual(urgent[0]!)
  expect(new Set(others.map((ms) => Math.round(ms / 50))).size).toBeGreaterThan(5)
})

test('a request that an endpoint will take within its target waits, and starts when the back-off ends', () => {
  const daemon = daemonWith('one')
  askForTime(daemon, 'one', 300)
  const result = place(daemon)
  vi.advanceTimersByTime(299)
  expect(result).toEqual({ waits: true })
  vi.advanceTimersByTime(1 + 300 * 0.1)
  expect(result).toEqual({ waits: true, to: 'one' })
})

test('queued requests are refused as soon as an endpoint asks for more time than they have', () => {
  const daemon = daemonWith('one')
  askForTime(daemon, 'one', 200)
  const result = place(daemon)
  vi.advanceTimersByTime(100)
  askForTime(daemon, 'one', 4000)
  daemon.dispatcher.startQueued()
  expect(result.refused).toMatchObject({ reason: BACK_OFF_REASON, afterMs: 100 })
  expect(result.refused!.retryAfterMs).toBeGreaterThanOrEqual(4000)
})

test('a request that ran before waits during a back-off, until its deadline', () => {
  // Guards against a stream that is cut although another endpoint is listed in time.
  const daemon = daemonWith('one')
  askForTime(daemon, 'one', 2000)
  const result = place(daemon, { resumed: true })
  vi.advanceTimersByTime(1000)
  askForTime(daemon, 'one', 60_000)
  daemon.dispatcher.startQueued()
  const later = place(daemon, { resumed: true })
  vi.advanceTimersByTime(1000)
  expect([result, later]).toEqual([{ waits: true }, { waits: true }])
  daemon.table.applyHostList([listed('one'), listed('two')])
  daemon.dispatcher.startQueued()
  expect([result.to, later.to]).toEqual(['two', 'two'])
})

test('a later answer does not shorten a back-off, and a later start of the endpoint has none', () => {
  const daemon = daemonWith('one')
  askForTime(daemon, 'one', 5000)
  askForTime(daemon, 'one', 1000)
  vi.advanceTimersByTime(4000)
  expect(place(daemon).refused).toBeDefined()
  daemon.table.applyHostList([listed('one', 2000)])
  expect(place(daemon).to).toBe('one')
  askForTime(daemon, 'one', 5000)
  expect(place(daemon).to).toBe('one')
})

test('daemons that were refused together do not return together', () => {
  const untils = Array.from({ length: 20 }, (_, i) => {
    const table = new EndpointTable({ self: as<DaemonId>(`d${i}`), hash })
    table.applyHostList([listed('one')])
    new EndpointSignalRecorder({ table, metrics: createMetrics(), random: seededRandom(hash(`d${i}`)) }).record(idOf('one'), { backOff: { forMs: 3000 } }, 0)
    return table.get(idOf('one') as EndpointId)!.backOffUntilMs! - steadyNow()
  })
  expect(Math.min(...untils)).toBeGreaterThanOrEqual(3000)
  expect(Math.max(...untils)).toBeLessThanOrEqual(3300)
  expect(new Set(untils.map((ms) => Math.round(ms / 20))).size).toBeGreaterThan(5)
})

test('a value that cannot be read changes nothing', () => {
  const daemon = daemonWith('one')
  say(daemon, 'one', { backOff: { invalid: '-3' }, leaving: { invalid: 'soon' } })
  expect(place(daemon).to).toBe('one')
})
