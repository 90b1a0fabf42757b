/** A fleet of daemons with simulated links, store and endpoints, for the tests of rollouts. */
import xxhash from 'xxhash-wasm'
import { as, type ClassName, type DaemonId, type EndpointId, type EndpointVersion, type FailureDomain, type HostId, type PoolName } from '../../core/ids/index.ts'
import { currentProgress, isFinal, orderId, type RolloutOrder, type RolloutProgress, type RolloutRecord } from '../../core/rollout/index.ts'
import type { EndpointView, Random } from '../../core/routing/index.ts'
import { isLater, storeVersion } from '../../core/store_version/index.ts'
import { Tally } from '../../core/tally/index.ts'
import { SharedClock, steadyNow } from '../../core/time/index.ts'
import type { ListedHost } from '../../endpoints/index.ts'
import { StoreError } from '../../store/index.ts'
import { EndpointTable } from '../endpoints/endpoint_table.ts'
import { createMetrics } from '../metrics.ts'
import type { PostHandler } from '../peers/links.ts'
import { seededRandom } from '../seeded_random.ts'
import { ProcessAvailability, RolloutTask, VersionGate, type RolloutListener } from './index.ts'

const POOL = as<PoolName>('desk')
/** Version that serves the pool before an order. */
export const OLD = as<EndpointVersion>('v1')
/** Version that orders name. */
export const NEW = as<EndpointVersion>('v2')
/** Requests that a faulty version may receive. */
export const EXPOSURE_LIMIT = { share: 0.1, slack: 50 }
/** Time within which every daemon learns of a change, in milliseconds. */
export const PROPAGATION_MS = 2000
/** Time limit of an order, in milliseconds. */
export const DURATION_MS = 12_000
const ANSWER_MS = 40
const GOSSIP_EVERY_MS = 200
const { h32 } = await xxhash()

/** A store that holds one order, with injectable faults. */
export class OrderStore {
  record: RolloutRecord | undefined
  down = false
  loseAnswers = 0
  writesToDelay = 0
  readonly verdicts: string[] = []
  /** Writes applied to an order that already had its verdict. */
  contradictions = 0
  #revision = 10
  onWrite: () => void = () => {}

  order (to: EndpointVersion, durationMs = DURATION_MS): void {
    const order: RolloutOrder = { pool: POOL, to, durationMs }
    this.record = { version: storeVersion(0, ++this.#revision), order, progress: this.record?.progress }
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
    this.record = { ...this.record, version: storeVersion(0, ++this.#revision), progress }
    if (isFinal(progress)) this.verdicts.push(progress.stage)
    this.onWrite()
    return true
  }
}

/** One daemon of a {@linkcode Fleet}. */
export interface FleetDaemon {
  id: DaemonId
  partitioned: boolean
  frozen: boolean
  records: Map<PoolName, RolloutRecord>
  listeners: RolloutListener[]
  /** Orders whose new version was found worse. */
  held: Set<string>
  handlers: Map<string, PostHandler>
  tally: Tally
  table: EndpointTable
  gate: VersionGate
  task: RolloutTask
}

/** Options of {@linkcode Fleet}. */
export interface FleetOptions {
  seed: number
  /** Interval between requests, in milliseconds. Default 8. */
  requestEveryMs?: number
  /** Request classes, which get requests in turn. Default: one. */
  classes?: readonly string[]
  /** Endpoints of each version. Default 4. */
  endpoints?: number
}

/** Daemons with real version gates and rollout tasks; links, the store and endpoints are simulated. */
export class Fleet {
  readonly store = new OrderStore()
  readonly daemons: FleetDaemon[] = []
  /** Indexes of the daemons that believe they hold the lease. */
  readonly leaseHolders = new Set<number>()
  readonly random: Random
  failureRate = 0
  /** How many times as long the new version takes to answer. */
  slowdown = 1
  requests = 0
  granted = 0
  /** Requests sent to the new version, with a grant or without. */
  sentToNew = 0
  running = new Map<EndpointVersion, number>([[OLD, 0], [NEW, 0]])
  completedWhileRunning = 0
  readonly #classes: readonly ClassName[]
  readonly #endpoints: number
  #requestsAtOrder = 0

  constructor (daemons: number, { seed, requestEveryMs = 8, classes = ['check'], endpoints = 4 }: FleetOptions) {
    this.random = seededRandom(Math.imul(seed, 0x9e3779b1))
    this.#classes = classes.map((name) => as<ClassName>(name))
    this.#endpoints = endpoints
    for (let i = 0; i < daemons; i++) this.daemons.push(this.#daemon(i))
    this.store.onWrite = () => this.#propagate()
    setInterval(() => this.#sendRequest(), requestEveryMs)
    setInterval(() => this.#gossip(), GOSSIP_EVERY_MS)
  }

  order (to = NEW, durationMs = DURATION_MS): void {
    this.#requestsAtOrder = this.requests
    this.store.order(to, durationMs)
  }

  /** Requests since the order. */
  get asked (): number { return this.requests - this.#requestsAtOrder }
  get stage (): string | undefined { return this.store.record && currentProgress(this.store.record)?.stage }

  /** Starts or ends the endpoints of the new version. */
  listNewEndpoints (isListed: boolean): void {
    for (const { table } of this.daemons) table.applyHostList([...hosts(OLD, this.#endpoints), ...(isListed ? hosts(NEW, this.#endpoints) : [])])
  }

  stop (): void {
    for (const { task, gate } of this.daemons) {
      task.stop()
      gate.stop()
    }
  }

  #daemon (i: number): FleetDaemon {
    const id = as<DaemonId>(`d${i}`)
    const table = new EndpointTable({ self: id, hash: h32 })
    table.applyHostList([...hosts(OLD, this.#endpoints), ...hosts(NEW, this.#endpoints)])
    table.applyOthersWork([])
    const handlers = new Map<string, PostHandler>()
    const tally = new Tally(id)
    const clock = new SharedClock({ wallMs: 1e12, steadyMs: steadyNow() })
    const records = new Map<PoolName, RolloutRecord>()
    const listeners: RolloutListener[] = []
    const rollouts = {
      records,
      onChange: (listener: RolloutListener) => { listeners.push(listener) },
      isHeld: () => this.#isHeld(i),
      hold: (progress: RolloutProgress) => this.#hold(i, orderId(progress)),
      orderSeenAtMs: () => steadyNow(),
      publish: (record: RolloutRecord) => this.#deliver(i, record)
    }
    const links = {
      post: (to: DaemonId, topic: string, value: unknown) => this.#post(i, to, { topic, value }),
      onPost: (topic: string, take: PostHandler) => { handlers.set(topic, take) }
    }
    const tallies = { tally, clock, reportSoon: () => {} }
    const gate = new VersionGate({ table, rollouts, tallies, links, hash: h32, metrics: createMetrics(), availability: new ProcessAvailability({ busyMs: () => 0 }) })
    const fleet = this
    const lease = { get fencing () { return fleet.leaseHolders.has(i) && !fleet.daemons[i]!.frozen ? 1 : undefined }, fencingInOutage: undefined }
    const task = new RolloutTask({ self: id, port: this.store, rollouts, gate, lease, table, tallies, links, daemons: () => fleet.daemons.map((each) => each.id), exposure: EXPOSURE_LIMIT, propagationMs: PROPAGATION_MS, random: this.random })
    task.start()
    return { id, partitioned: false, frozen: false, records, listeners, held: new Set(), handlers, tally, table, gate, task }
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

  #isHeld (i: number): boolean {
    const { records, held } = this.daemons[i]!
    const record = records.get(POOL)
    const progress = record && currentProgress(record)
    return progress !== undefined && held.has(orderId(progress))
  }

  /** Holds an order at a daemon, and at the others once they learn of it. */
  #hold (from: number, order: string): void {
    if (this.daemons[from]!.held.has(order)) return
    this.daemons.forEach(({ held, listeners }, i) => setTimeout(() => {
      held.add(order)
      for (const listener of listeners) listener(POOL)
    }, i === from ? 0 : GOSSIP_EVERY_MS))
    this.daemons[from]!.held.add(order)
  }

  #deliver (i: number, record: RolloutRecord): void {
    const { records, listeners } = this.daemons[i]!
    const known = records.get(POOL)
    if (known && !isLater(record.version, known.version)) return
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
    const view = table.all.find((each) => each.version === version)
    if (!view) return []
    return [[view.id, { running: this.running.get(version)!, unread: { urgent: 0, normal: 0, late: 0 } }]]
  }

  #sendRequest (): void {
    const daemon = this.daemons[Math.floor(this.random() * this.daemons.length)]!
    if (daemon.frozen) return
    this.requests++
    const name = this.#classes[this.requests % this.#classes.length]!
    const work = { pool: POOL, cls: { name } }
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
    const tookMs = ANSWER_MS * (0.5 + this.random()) * (version === NEW ? this.slowdown : 1)
    setTimeout(() => {
      this.running.set(version, this.running.get(version)! - 1)
      if (version === NEW && this.random() < this.failureRate) daemon.gate.failed(view, name)
      else daemon.gate.answered(view, name, { tookMs, predictedMs: ANSWER_MS })
    }, tookMs)
  }
}

function hosts (version: EndpointVersion, count: number): ListedHost[] {
  return Array.from({ length: count }, (_, i) => ({
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
