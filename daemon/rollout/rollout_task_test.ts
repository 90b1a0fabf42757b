import fc from 'fast-check'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import xxhash from 'xxhash-wasm'
import { as, type ClassName, type DaemonId, type EndpointId, type EndpointVersion, type FailureDomain, type HostId, type PoolName } from '../../core/ids/index.ts'
import { exposureAllowed, isFinal, currentProgress, type RolloutOrder, type RolloutProgress, type RolloutRecord } from '../../core/rollout/index.ts'
import type { EndpointView, Random } from '../../core/routing/index.ts'
import { Tally } from '../../core/tally/index.ts'
import { SharedClock, steadyNow } from '../../core/time/index.ts'
import type { ListedHost } from '../../endpoints/index.ts'
import { StoreError } from '../../store/index.ts'
import { EndpointTable } from '../endpoints/endpoint_table.ts'
import { createMetrics } from '../metrics.ts'
import type { PostHandler } from '../peers/links.ts'
import { seededRandom } from '../seeded_random.ts'
import { RolloutTask, VersionGate, type RolloutListener } from './index.ts'

const POOL = as<PoolName>('desk')
const CLASS = as<ClassName>('check')
const OLD = as<EndpointVersion>('v1')
const NEW = as<EndpointVersion>('v2')
const EXPOSURE_LIMIT = { share: 0.1, slack: 50 }
const PROPAGATION_MS = 2000
const DURATION_MS = 12_000
const REQUEST_EVERY_MS = 8
const ANSWER_MS = 40
const GOSSIP_EVERY_MS = 200
const { h32 } = await xxhash()

/** A store that holds one order, with injectable faults. */
class OrderStore {
  record: RolloutRecord | undefined
  down = false
  loseAnswers = 0
  writesToDelay = 0
  readonly verdicts: string[] = []
  /** Writes applied to an order that already had its verdict. */
  contradictions = 0
  #version = 10
  onWrite: () => void = () => {}

  order (to: EndpointVersion, durationMs = DURATION_MS): void {
    const order: RolloutOrder = { pool: POOL, to, durationMs }
    this.record = { version: ++this.#version, order, progress: this.record?.progress }
    this.onWrite()
  }

  async read (): Promise<RolloutRecord | undefined> {
    if (this.down) throw new StoreError('Cannot read: store is down', { failure: 'not-applied' })
    return this.record
  }

  async write (record: RolloutRecord, progress: RolloutProgress): Promise<RolloutRecord> {
    if (this.down) throw new StoreError('Cannot write: store is down', { failure: 'not-applied' })
    if (this.writesToDelay > 0) {
      this.writesToDelay--
      setTimeout(() => this.#apply(record, progress), 3000)
      throw new StoreError('Write outcome unknown: no reply', { failure: 'unsure' })
    }
    if (!this.#apply(record, progress)) throw new StoreError('Cannot write: version changed', { failure: 'conflict' })
    if (this.loseAnswers > 0) {
      this.loseAnswers--
      throw new StoreError('Write outcome unknown: no reply', { failure: 'unsure' })
    }
    return this.record!
  }

  #apply (record: RolloutRecord, progress: RolloutProgress): boolean {
    if (this.record?.version !== record.version) return false
    const before = currentProgress(this.record)
    if (before && isFinal(before)) this.contradictions++
    this.record = { ...this.record, version: ++this.#version, progress }
    if (isFinal(progress)) this.verdicts.push(progress.stage)
    this.onWrite()
    return true
  }
}

interface FleetDaemon {
  id: DaemonId
  partitioned: boolean
  frozen: boolean
  records: Map<PoolName, RolloutRecord>
  listeners: RolloutListener[]
  handlers: Map<string, PostHandler>
  tally: Tally
  table: EndpointTable
  gate: VersionGate
  task: RolloutTask
}

/** Daemons with real version gates and rollout tasks; links, the store and endpoints are simulated. */
class Fleet {
  readonly store = new OrderStore()
  readonly daemons: FleetDaemon[] = []
  /** Indexes of the daemons that believe they hold the lease. */
  readonly leaseHolders = new Set<number>()
  readonly random: Random
  failureRate = 0
  requests = 0
  granted = 0
  /** Requests sent to the new version, with a grant or without. */
  sentToNew = 0
  running = new Map<EndpointVersion, number>([[OLD, 0], [NEW, 0]])
  completedWhileRunning = 0
  #requestsAtOrder = 0

  constructor (daemons: number, seed: number) {
    this.random = seededRandom(Math.imul(seed, 0x9e3779b1))
    for (let i = 0; i < daemons; i++) this.daemons.push(this.#daemon(i))
    this.store.onWrite = () => this.#propagate()
    setInterval(() => this.#sendRequest(), REQUEST_EVERY_MS)
    setInterval(() => this.#gossip(), GOSSIP_EVERY_MS)
  }

  order (to = NEW, durationMs = DURATION_MS): void {
    this.#requestsAtOrder = this.requests
    this.store.order(to, durationMs)
  }

  /** Requests since the order. */
  get asked (): number { return this.requests - this.#requestsAtOrder }
  get stage (): string | undefined { return this.store.record && currentProgress(this.store.record)?.stage }

  stop (): void {
    for (const { task, gate } of this.daemons) {
      task.stop()
      gate.stop()
    }
  }

  #daemon (i: number): FleetDaemon {
    const id = as<DaemonId>(`d${i}`)
    const table = new EndpointTable({ self: id, hash: h32 })
    table.applyHostList([...hosts(OLD), ...hosts(NEW)])
    table.applyOthersWork([])
    const handlers = new Map<string, PostHandler>()
    const tally = new Tally(id)
    const clock = new SharedClock({ wallMs: 1e12, steadyMs: steadyNow() })
    const records = new Map<PoolName, RolloutRecord>()
    const listeners: RolloutListener[] = []
    const rollouts = {
      records,
      onChange: (listener: RolloutListener) => { listeners.push(listener) },
      isHeld: () => false,
      hold: () => {},
      orderSeenAtMs: () => steadyNow(),
      publish: (record: RolloutRecord) => this.#deliver(i, record)
    }
    const links = {
      post: (to: DaemonId, topic: string, value: unknown) => this.#post(i, to, { topic, value }),
      onPost: (topic: string, take: PostHandler) => { handlers.set(topic, take) }
    }
    const tallies = { tally, clock, reportSoon: () => {} }
    const gate = new VersionGate({ table, rollouts, tallies, links, hash: h32, metrics: createMetrics() })
    const fleet = this
    const lease = { get fencing () { return fleet.leaseHolders.has(i) && !fleet.daemons[i]!.frozen ? 1 : undefined }, fencingInOutage: undefined }
    const task = new RolloutTask({ self: id, port: this.store, rollouts, gate, lease, table, tallies, links, exposure: EXPOSURE_LIMIT, propagationMs: PROPAGATION_MS, random: this.random })
    task.start()
    return { id, partitioned: false, frozen: false, records, listeners, handlers, tally, table, gate, task }
  }

  #post (from: number, to: DaemonId, { topic, value }: { topic: string, value: unknown }): boolean {
    const sender = this.daemons[from]!
    const receiver = this.daemons.find(({ id }) => id === to)!
    if (sender.partitioned || receiver.partitioned) return false
    const waitMs = 2 + this.random() * 30
    setTimeout(() => { if (!receiver.partitioned) receiver.handlers.get(topic)!(structuredClone(value) as never, sender.id) }, waitMs)
    return true
  }

  /** Delivers the record to each connected daemon within the propagation time. */
  #propagate (): void {
    const record = this.store.record!
    this.daemons.forEach((daemon, i) => { if (!daemon.partitioned) setTimeout(() => this.#deliver(i, record), this.random() * PROPAGATION_MS * 0.9) })
  }

  #deliver (i: number, record: RolloutRecord): void {
    const { records, listeners } = this.daemons[i]!
    const known = records.get(POOL)
    if (known && known.version >= record.version) return
    records.set(POOL, record)
    for (const listener of listeners) listener(POOL)
  }

  /** Ends a daemon's partition and delivers the current record. */
  heal (i: number): void {
    this.daemons[i]!.partitioned = false
    if (this.store.record) this.#deliver(i, this.store.record)
  }

  #gossip (): void {
    for (const { id, tally, partitioned, frozen } of this.daemons) {
      if (partitioned || frozen) continue
      for (const other of this.daemons) if (other.id !== id && !other.partitioned) other.tally.receive({ daemon: id, entries: tally.sheetOf(id) })
    }
    for (const { table } of this.daemons) {
      table.applyOthersWork(this.#loadOf(OLD, table).concat(this.#loadOf(NEW, table)))
    }
  }

  #loadOf (version: EndpointVersion, table: EndpointTable): Array<readonly [EndpointId, EndpointView['others']]> {
    const view = table.all.find((each) => each.version === version)!
    return [[view.id, { running: this.running.get(version)!, unread: { urgent: 0, normal: 0, late: 0 } }]]
  }

  #sendRequest (): void {
    const daemon = this.daemons[Math.floor(this.random() * this.daemons.length)]!
    if (daemon.frozen) return
    this.requests++
    const work = { pool: POOL, cls: { name: CLASS } }
    daemon.gate.asked(work)
    const canary = daemon.gate.canaries(work)[0]
    if (canary) {
      daemon.gate.spent(work)
      this.granted++
    }
    const version = canary ? NEW : daemon.gate.carries(POOL)!
    if (version === NEW) this.sentToNew++
    const view = canary ?? pick(daemon.table.ofVersion(POOL, version), this.random)
    this.running.set(version, this.running.get(version)! + 1)
    setTimeout(() => {
      this.running.set(version, this.running.get(version)! - 1)
      if (version === NEW && this.random() < this.failureRate) daemon.gate.failed(view, CLASS)
      else daemon.gate.answered(view, CLASS, { tookMs: ANSWER_MS * (0.5 + this.random()), predictedMs: ANSWER_MS })
    }, ANSWER_MS)
  }
}

function hosts (version: EndpointVersion): ListedHost[] {
  return Array.from({ length: 4 }, (_, i) => ({
    hostId: as<HostId>(`${version}-${i}`),
    hostClass: 'any',
    failureDomain: as<FailureDomain>('a'),
    reclaimable: false,
    pricePerHour: 0,
    state: 'live',
    endpoint: {
      id: as<EndpointId>(`${version}-${i}`),
      pool: POOL,
      version,
      address: '',
      speed: { batchSlots: 50, prefillTokensPerS: 1000, betweenTokensMs: 1, betweenTokensPerStreamMs: 0, exportTokensPerS: 0, importTokensPerS: 0 }
    }
  }))
}

function pick<T> (items: readonly T[], random: Random): T {
  return items[Math.floor(random() * items.length)]!
}

let fleet: Fleet

beforeEach(() => { vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'] }) })

afterEach(() => {
  fleet.stop()
  vi.useRealTimers()
})

async function run (ms: number): Promise<void> {
  await vi.advanceTimersByTimeAsync(ms)
}

test('a version without a rollout order gets no requests', async () => {
  fleet = new Fleet(3, 1)
  fleet.leaseHolders.add(0)
  await run(5000)
  expect(fleet.sentToNew).toBe(0)
})

test('a good version is completed by the deadline, and all daemons use it', async () => {
  fleet = new Fleet(3, 1)
  fleet.leaseHolders.add(0)
  await run(1000)
  fleet.order()
  await run(DURATION_MS)
  expect(fleet.stage).toBe('completed')
  const before = fleet.requests - fleet.sentToNew
  await run(2000)
  expect(fleet.requests - fleet.sentToNew).toBe(before)
})

test('a bad version stays within its exposure limit until it is rolled back, and gets no requests afterwards', async () => {
  for (const seed of [1, 2, 3]) {
    fleet = new Fleet(3, seed)
    fleet.failureRate = 0.3
    fleet.leaseHolders.add(0)
    fleet.order()
    await run(DURATION_MS / 2)
    expect(fleet.stage).toBe('rolled-back')
    expect(fleet.sentToNew).toBeLessThanOrEqual(exposureAllowed(fleet.asked, EXPOSURE_LIMIT))
    const before = fleet.sentToNew
    await run(DURATION_MS)
    expect(fleet.sentToNew).toBe(before)
    fleet.stop()
    vi.clearAllTimers()
  }
})

test('a partitioned daemon stops sending requests to the canary version', async () => {
  fleet = new Fleet(3, 1)
  fleet.leaseHolders.add(0)
  fleet.order()
  await run(3500)
  expect(fleet.stage).toBe('canary')
  for (const i of [0, 1, 2]) fleet.daemons[i]!.partitioned = true
  // Outstanding grants expire within a second.
  await run(1100)
  fleet.leaseHolders.clear()
  const before = fleet.sentToNew
  await run(10_000)
  expect(fleet.sentToNew).toBe(before)
})

test('a new lease holder resumes in the middle of a stage, however the previous one failed', async () => {
  for (const end of ['dies', 'freezes', 'is partitioned'] as const) {
    fleet = new Fleet(4, 2)
    fleet.leaseHolders.add(0)
    fleet.order()
    await run(3000)
    if (end === 'dies') fleet.daemons[0]!.task.stop()
    if (end === 'freezes') fleet.daemons[0]!.frozen = true
    if (end === 'is partitioned') fleet.daemons[0]!.partitioned = true
    else fleet.leaseHolders.delete(0)
    await run(3000)
    fleet.leaseHolders.add(1)
    await run(DURATION_MS)
    expect(fleet.stage).toBe('completed')
    expect(fleet.store.verdicts).toEqual(['completed'])
    fleet.stop()
    vi.clearAllTimers()
  }
})

test('an order replaces an unfinished one, and an order repeated after its end starts again', async () => {
  fleet = new Fleet(3, 4)
  fleet.leaseHolders.add(0)
  fleet.failureRate = 0.4
  fleet.order()
  await run(DURATION_MS / 2)
  expect(fleet.store.verdicts).toEqual(['rolled-back'])
  fleet.failureRate = 0
  fleet.order(NEW, DURATION_MS + 1)
  await run(DURATION_MS + 1)
  expect(fleet.store.verdicts).toEqual(['rolled-back', 'completed'])
  fleet.order(as<EndpointVersion>('v9'), 5000)
  await run(4000)
  fleet.order(OLD)
  await run(DURATION_MS)
  expect(fleet.store.verdicts).toEqual(['rolled-back', 'completed', 'completed'])
})

test('an order for a version without endpoints is rolled back at its deadline', async () => {
  fleet = new Fleet(3, 1)
  fleet.leaseHolders.add(0)
  fleet.order(as<EndpointVersion>('v9'), 5000)
  await run(4500)
  expect(fleet.store.verdicts).toEqual([])
  await run(1500)
  expect(fleet.store.verdicts).toEqual(['rolled-back'])
})

interface Fault { atMs: number, kind: 'lease' | 'second lease holder' | 'freeze' | 'part' | 'store down' | 'lost replies' | 'late writes', daemon: number, forMs: number }

test('random fault schedules: granted requests stay within the exposure limit, and there is at most one verdict, which stands', async () => {
  // Faults: two lease holders at once, frozen and partitioned daemons, and a store that is down, applies writes late or loses replies.
  const fault: fc.Arbitrary<Fault> = fc.record({
    atMs: fc.integer({ min: 0, max: DURATION_MS }),
    kind: fc.constantFrom('lease', 'second lease holder', 'freeze', 'part', 'store down', 'lost replies', 'late writes'),
    daemon: fc.integer({ min: 0, max: 3 }),
    forMs: fc.integer({ min: 200, max: 5000 })
  })
  await fc.assert(fc.asyncProperty(fc.array(fault, { maxLength: 8 }), fc.boolean(), fc.integer({ min: 1, max: 1e6 }), async (faults, isBad, seed) => {
    vi.clearAllTimers()
    fleet = new Fleet(4, seed)
    fleet.failureRate = isBad ? 0.3 : 0
    fleet.leaseHolders.add(0)
    for (const each of faults) setTimeout(() => injectFault(fleet, each), each.atMs)
    fleet.order()
    for (let ms = 0; ms < 2 * DURATION_MS; ms += 500) {
      await run(500)
      expect(fleet.granted).toBeLessThanOrEqual(exposureAllowed(fleet.asked, EXPOSURE_LIMIT))
    }
    expect(fleet.store.contradictions).toBe(0)
    expect(fleet.store.verdicts.length).toBeLessThanOrEqual(1)
    if (isBad) expect(fleet.store.verdicts).not.toContain('completed')
    for (let i = 0; i < 4; i++) fleet.heal(i)
    if (fleet.store.verdicts.length === 1) await expectOneVersion(fleet)
    fleet.stop()
  }), { seed: 7, numRuns: 25 })
}, 120_000)

function injectFault (fleet: Fleet, { kind, daemon, forMs }: Fault): void {
  const at = fleet.daemons[daemon]!
  const later = (act: () => void) => setTimeout(act, forMs)
  if (kind === 'lease') {
    fleet.leaseHolders.clear()
    fleet.leaseHolders.add(daemon)
  } else if (kind === 'second lease holder') {
    fleet.leaseHolders.add(daemon)
    later(() => { if (fleet.leaseHolders.size > 1) fleet.leaseHolders.delete(daemon) })
  } else if (kind === 'freeze') {
    at.frozen = true
    later(() => { at.frozen = false })
  } else if (kind === 'part') {
    at.partitioned = true
    later(() => fleet.heal(daemon))
  } else if (kind === 'store down') {
    fleet.store.down = true
    later(() => { fleet.store.down = false })
  } else if (kind === 'lost replies') {
    fleet.store.loseAnswers++
  } else {
    fleet.store.writesToDelay++
  }
}

/** Expects that, once the verdict has propagated, all new requests go to the version that it selects. */
async function expectOneVersion (fleet: Fleet): Promise<void> {
  await run(PROPAGATION_MS)
  const { sentToNew, requests } = fleet
  await run(1000)
  const expected = fleet.store.verdicts[0] === 'completed' ? fleet.requests - requests : 0
  expect(fleet.sentToNew - sentToNew).toBe(expected)
}
