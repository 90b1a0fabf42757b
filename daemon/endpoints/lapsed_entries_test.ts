// Guards against treating entries that return one at a time after an outage as another outage, during which a departure would count as an expired entry.
import fc from 'fast-check'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, type DaemonId, type PoolName } from '../../core/ids/index.ts'
import { decodeEndpoint } from '../../platform/endpoint_decoder.ts'
import { StandInStore } from '../../standins/index.ts'
import { EndpointFollower } from './endpoint_follower.ts'
import { EndpointTable } from './endpoint_table.ts'

const POOL = as<PoolName>('llm')
const ENDPOINTS = 9
/** Time after a departure from which on no daemon may send the endpoint new work, in milliseconds. */
const LEAVING_MS = 2000
/** Propagation times in this test, in milliseconds: a watch is answered at once, a failed call is retried within a second. */
const PROPAGATION_MS = 50
const RETRY_MS = 1000

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

const ALL = Array.from({ length: ENDPOINTS }, (_, i) => `endpoint-${i}`)

/** A registry, endpoints that write to it, and one daemon's table that follows it. */
class RegistryFixture {
  readonly store = new StandInStore()
  readonly table = new EndpointTable({ self: as<DaemonId>('d'), hash: (text) => text.length })
  readonly #follower = new EndpointFollower({ store: this.store, prefix: 'servers/', decode: decodeEndpoint, table: this.table, random: () => 0.5, pool: () => undefined, onChange: () => {} })
  #writes = 0

  async start (): Promise<void> {
    for (const name of ALL) await this.write(name)
    this.#follower.start()
    await vi.advanceTimersByTimeAsync(PROPAGATION_MS)
  }

  stop (): void {
    this.#follower.stop()
  }

  /** Creates an endpoint's entry, as the endpoint does at its start and after the entry has expired. */
  async write (name: string): Promise<void> {
    await this.store.create(`servers/${name}`, JSON.stringify({ service: POOL, address: `10.0.0.${ALL.indexOf(name) + 1}:80`, zone: 'a', slots: 64, state: 'ready', sequence: this.#writes++ }))
  }

  expire (names: readonly string[]): void {
    this.store.expire(names.map((name) => `servers/${name}`))
  }

  /** Endpoints that may get new work. */
  get usable (): string[] {
    return this.table.candidates(POOL).map(({ name }) => name!).sort()
  }
}

async function follow (): Promise<RegistryFixture> {
  const fixture = new RegistryFixture()
  await fixture.start()
  expect(fixture.usable).toEqual(ALL)
  return fixture
}

/** Makes the registry unresponsive, without errors, for longer than entries live. */
async function runSilentOutage (fixture: RegistryFixture): Promise<void> {
  fixture.store.stopAnswering()
  await vi.advanceTimersByTimeAsync(6000)
  fixture.expire(ALL)
  fixture.store.resumeAnswering()
  await vi.advanceTimersByTimeAsync(PROPAGATION_MS)
}

test('an endpoint that leaves once all entries are back after a registry outage gets no new work', async () => {
  const fixture = await follow()
  await runSilentOutage(fixture)
  expect(fixture.usable).toEqual(ALL)
  await vi.advanceTimersByTimeAsync(950)
  for (const name of ALL) {
    await fixture.write(name)
    await vi.advanceTimersByTimeAsync(70)
  }
  await vi.advanceTimersByTimeAsync(1670)
  expect(fixture.usable).toEqual(ALL)
  fixture.expire([ALL[4]!])
  await vi.advanceTimersByTimeAsync(PROPAGATION_MS)
  expect(fixture.usable).toEqual(ALL.filter((name) => name !== ALL[4]))
  fixture.stop()
})

test('an endpoint that leaves long after a registry outage gets no new work, even if its departure is the first change since', async () => {
  // Guards against considering the registry unreachable until a watch reports a change, and treating that first change as an expired entry.
  const fixture = await follow()
  fixture.store.disconnectWatches()
  await vi.advanceTimersByTimeAsync(6000)
  fixture.expire([ALL[4]!])
  await vi.advanceTimersByTimeAsync(PROPAGATION_MS)
  expect(fixture.usable).not.toContain(ALL[4])
  fixture.stop()
})

test('endpoints whose entries lapsed in a registry outage stay candidates while the registry is silent again, and leave in time if it answers without change', async () => {
  // Guards against a hold that ends by the clock while nobody can say whether the entries are back.
  const fixture = await follow()
  await runSilentOutage(fixture)
  await vi.advanceTimersByTimeAsync(1000)
  fixture.store.stopAnswering()
  await vi.advanceTimersByTimeAsync(4000)
  expect(fixture.usable).toEqual(ALL)
  fixture.store.resumeAnswering()
  for (const name of ALL) await fixture.write(name)
  await vi.advanceTimersByTimeAsync(PROPAGATION_MS)
  expect(fixture.usable).toEqual(ALL)
  await runSilentOutage(fixture)
  await vi.advanceTimersByTimeAsync(LEAVING_MS - PROPAGATION_MS)
  expect(fixture.usable).toEqual([])
  fixture.stop()
})

/** Events of a registry and its endpoints; each follows a pause in milliseconds. */
type Step = { type: 'leave', which: number } | { type: 'away', how: 'silent' | 'refuses', forMs: number } | { type: 'cut' }
const step = fc.tuple(fc.integer({ min: 20, max: 3500 }), fc.oneof(
  fc.record({ type: fc.constant('leave' as const), which: fc.nat(ENDPOINTS - 1) }),
  fc.record({ type: fc.constant('away' as const), how: fc.constantFrom('silent' as const, 'refuses' as const), forMs: fc.integer({ min: 300, max: 8000 }) }),
  fc.constant({ type: 'cut' as const })
))
/** An entry that is not renewed for this long expires, in milliseconds; its endpoint rewrites it within two seconds of the registry's return. */
const ENTRY_LIFETIME_MS = 3600
const MAX_REWRITE_MS = 1700
/** Interval at which candidates are checked, in milliseconds. */
const CHECK_EVERY_MS = 25

/** Runs steps, and checks the candidates against the endpoints that have left, since when a daemon could know of it, and those that are alive. */
class Scenario {
  readonly fixture: RegistryFixture
  readonly #leftAtMs = new Map<string, number>()
  #reachableSinceMs = 0
  #isDown = false
  #expired = false
  #rewrites: Array<{ name: string, atMs: number }> = []
  #nowMs = 0

  constructor (fixture: RegistryFixture) {
    this.fixture = fixture
  }

  async run (pauseMs: number, what: Step): Promise<void> {
    await this.advance(pauseMs)
    if (what.type === 'leave') this.#leave(ALL[what.which]!)
    if (what.type === 'cut') this.fixture.store.disconnectWatches()
    if (what.type === 'away') await this.#outage(what)
  }

  /** Advances time, checking the candidates at each interval. */
  async advance (ms: number): Promise<void> {
    for (const endMs = this.#nowMs + ms; this.#nowMs < endMs; this.#nowMs += CHECK_EVERY_MS) {
      for (const { name } of this.#rewrites.filter(({ atMs }) => atMs <= this.#nowMs)) if (!this.#leftAtMs.has(name)) await this.fixture.write(name)
      this.#rewrites = this.#rewrites.filter(({ atMs }) => atMs > this.#nowMs)
      await vi.advanceTimersByTimeAsync(CHECK_EVERY_MS)
      this.#checkCandidates()
    }
  }

  #leave (name: string): void {
    if (this.#leftAtMs.size > ENDPOINTS - 4) return
    if (!this.#leftAtMs.has(name)) this.#leftAtMs.set(name, this.#nowMs)
    this.fixture.expire([name])
  }

  async #outage ({ how, forMs }: { how: 'silent' | 'refuses', forMs: number }): Promise<void> {
    this.#isDown = true
    const pendingRewrites = this.#rewrites
    this.#rewrites = []
    if (how === 'silent') this.fixture.store.stopAnswering()
    else this.fixture.store.faults.down = true
    await this.advance(forMs)
    this.#expired = forMs >= ENTRY_LIFETIME_MS
    if (this.#expired) this.fixture.expire(ALL)
    this.fixture.store.resumeAnswering()
    this.fixture.store.faults.down = false
    this.#isDown = false
    this.#reachableSinceMs = this.#nowMs
    const names = this.#expired ? ALL : pendingRewrites.map(({ name }) => name)
    this.#rewrites = names.map((name, i) => ({ name, atMs: this.#nowMs + 200 + (i * 367) % (MAX_REWRITE_MS - 200) }))
  }

  #checkCandidates (): void {
    if (this.#isDown) return
    const { usable } = this.fixture
    const sinceMs = (atMs: number) => this.#nowMs - Math.max(atMs, this.#reachableSinceMs + RETRY_MS)
    const late = [...this.#leftAtMs].filter(([name, atMs]) => sinceMs(atMs) > LEAVING_MS && usable.includes(name))
    expect(late, `candidates at ${this.#nowMs} ms that have left`).toEqual([])
    const living = ALL.filter((name) => !this.#leftAtMs.has(name))
    if (this.#nowMs - this.#reachableSinceMs > RETRY_MS + MAX_REWRITE_MS) expect(usable.filter((name) => living.includes(name)), `live candidates at ${this.#nowMs} ms`).toEqual(living)
  }
}

test('through any sequence of registry faults, endpoints that left get new work for two seconds at most, and live ones stay candidates', async () => {
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 2, maxLength: 7 }), async (steps) => {
    const scenario = new Scenario(await follow())
    for (const [pauseMs, what] of steps) await scenario.run(pauseMs, what)
    await scenario.advance(5000)
    scenario.fixture.stop()
    await vi.advanceTimersByTimeAsync(20_000)
  }), { seed: 21, numRuns: 60 })
})
