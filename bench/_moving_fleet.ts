/** Simulated engines that move KV caches, and daemons whose streams run there, under a fake clock. */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers'
import xxhash from 'xxhash-wasm'
import { toWorkClass } from '../core/config/index.ts'
import { as, type EndpointId, type EndpointVersion, type Fingerprint, type PoolName, type RequestId } from '../core/ids/index.ts'
import { AttemptError } from '../core/outcome/index.ts'
import { noWork, type Random, type Route } from '../core/routing/index.ts'
import { delay, steadyNow } from '../core/time/index.ts'
import { RegionTopology } from '../core/topology/index.ts'
import { EndpointTable } from '../daemon/endpoints/endpoint_table.ts'
import { createMetrics } from '../daemon/metrics.ts'
import { MoveDirector } from '../daemon/moves/index.ts'
import type { CrashWatch, QuarantineTask } from '../daemon/quarantine/index.ts'
import type { Dispatcher } from '../daemon/request/dispatcher.ts'
import type { Placement } from '../daemon/request/placement.ts'
import { RequestTask } from '../daemon/request/request_task.ts'
import { seededRandom } from '../daemon/seeded_random.ts'
import type { AttemptSink, AttemptSpec, KvMover, KvOrder, KvOrderResult, ListedHost } from '../endpoints/index.ts'
import { sessionConfig } from './_session.ts'

/** Options of {@linkcode simulateReclaim}. */
export interface ReclaimSimulationOptions {
  seed: number
  daemons: number
  /** Endpoints of the domain that leaves, and of the others. */
  leaving: number
  staying: number
  /** Share of the slots that are taken. */
  occupancy: number
  noticeMs: number
  /** Rate of an endpoint's link, in bytes per second; copies between failure domains get half of it. */
  linkBytesPerS: number
  /** False for the baseline: streams finish in place or are lost. */
  moves: boolean
}

/** What became of the streams of the domain that left. */
export interface ReclaimSimulationResult { streams: number, whole: number, moved: number, doubled: number, bytesMoved: number, recomputedTokens: number, lostTokens: number }

const POOL = as<PoolName>('llm')
const SLOTS = 48
const KV_BYTES_PER_TOKEN = 18_432
const SETUP_MS = 5
const CALL_MS = 2
const TOKENS_PER_EVENT = 5
const STEP_MS = 3.79
const STEP_MS_PER_STREAM = 0.0893
const TAIL_MS = 30_000
const SPEED = { batchSlots: SLOTS, prefillTokensPerS: 56_600, betweenTokensMs: STEP_MS, betweenTokensPerStreamMs: STEP_MS_PER_STREAM, exportTokensPerS: 0, importTokensPerS: 0 }
const ENGINE = { batchSlots: SLOTS, kvTokens: 601_161, kvBytesPerToken: KV_BYTES_PER_TOKEN, handleMs: 10_000, movesKv: true, backsUpKv: false }
const { h32 } = await xxhash()

interface Stream { id: RequestId, promptTokens: number, events: number, task: RequestTask<Buffer> }
interface Run { stream: Stream, at: EndpointId, made: number, sink: AttemptSink<Buffer>, timer: NodeJS.Timeout }
interface Engine { id: EndpointId, isGone: boolean, taken: number, linkFreeAtMs: number }

/** Has one failure domain reclaimed, and returns what became of its streams. */
export async function simulateReclaim (options: ReclaimSimulationOptions): Promise<ReclaimSimulationResult> {
  const clock = FakeTimers.install({ now: 0, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'] })
  try {
    return await new MovingFleet(options).play(clock)
  } finally {
    clock.uninstall()
  }
}

class MovingFleet {
  readonly #options: ReclaimSimulationOptions
  readonly #random: Random
  readonly #engines = new Map<EndpointId, Engine>()
  readonly #streams = new Map<RequestId, Stream>()
  readonly #runs = new Map<RequestId, Run>()
  /** Events that stopped runs had made. */
  readonly #stopped = new Map<RequestId, number>()
  /** Streams whose cache is being copied, and the events that a copy at a target has, by stream and target. */
  readonly #copying = new Set<RequestId>()
  readonly #copied = new Map<string, number>()
  readonly #tables: EndpointTable[] = []
  readonly #cls = { ...toWorkClass(sessionConfig().classes[1]!, true), idempotent: false, resumable: false, streaming: true, maxAttempts: 1 }
  readonly #result: ReclaimSimulationResult = { streams: 0, whole: 0, moved: 0, doubled: 0, bytesMoved: 0, recomputedTokens: 0, lostTokens: 0 }

  constructor (options: ReclaimSimulationOptions) {
    this.#options = options
    this.#random = seededRandom(options.seed)
    for (let i = 0; i < options.leaving + options.staying; i++) {
      const id = as<EndpointId>(`e${i}`)
      this.#engines.set(id, { id, isGone: false, taken: Math.round(SLOTS * options.occupancy), linkFreeAtMs: 0 })
    }
  }

  get #leaving (): EndpointId[] { return [...this.#engines.keys()].slice(0, this.#options.leaving) }

  async play (clock: Clock): Promise<ReclaimSimulationResult> {
    for (let i = 0; i < this.#options.daemons; i++) this.#addDaemon(i)
    for (const id of this.#leaving) for (let i = 0; i < this.#engines.get(id)!.taken; i++) this.#beginStream(id)
    for (const table of this.#tables) table.applyOthersWork([...this.#engines.values()].map(({ id, taken }) => [id, { ...noWork(), running: taken - (table.get(id)?.own.running ?? 0) }]))
    await clock.tickAsync(1000)
    const goneAtMs = steadyNow() + this.#options.noticeMs
    for (const table of this.#tables) table.leaving(this.#leaving.map((id) => as(id)), goneAtMs, 'notice')
    setTimeout(() => { for (const id of this.#leaving) this.#end(id) }, this.#options.noticeMs)
    await clock.tickAsync(TAIL_MS)
    for (const { task, promptTokens } of this.#streams.values()) {
      if (task.final?.outcome === 'answered') this.#result.whole++
      else this.#result.lostTokens += promptTokens + task.answer.length * TOKENS_PER_EVENT
    }
    return this.#result
  }

  #addDaemon (i: number): void {
    const table = new EndpointTable({ self: as(`d${i}`), hash: h32, subsetSize: this.#engines.size })
    table.applyHostList([...this.#engines.values()].map(({ id }, index) => this.#host(id, index < this.#options.leaving ? 'leaving' : `domain-${index % 3}`)))
    this.#tables.push(table)
    const random = seededRandom(this.#options.seed * 1000 + i)
    // The first number of a seeded generator is the same for every seed.
    random()
    const director = new MoveDirector({
      table,
      metrics: createMetrics(),
      port: this.#port,
      topology: new RegionTopology({ ownDomain: as('domain-0') }),
      random,
      paths: { canSend: () => true },
      open: () => [...this.#streams.values()].filter((stream) => this.#daemonOf(stream.id) === i && !stream.task.final).map(({ task }) => task),
      engineOf: () => ({ ...ENGINE, movesKv: this.#options.moves }),
      budgetOf: () => ({ tryWithdraw: () => true }),
      leavingMs: 2000,
      daemons: () => this.#options.daemons
    })
    director.start()
  }

  #daemonOf (id: RequestId): number { return Number(id.slice(1)) % this.#options.daemons }

  #host (id: EndpointId, domain: string): ListedHost {
    return { hostId: as(id), hostClass: 'any', failureDomain: as(domain), reclaimable: true, pricePerHour: 0, state: 'live', endpoint: { id, pool: POOL, address: id, speed: SPEED, learnsPace: true, version: as<EndpointVersion>('v1') } }
  }

  /** Begins a stream that has run for a random part of its length. */
  #beginStream (at: EndpointId): void {
    const id = as<RequestId>(`r${this.#streams.size}`)
    const table = this.#tables[this.#daemonOf(id)]!
    const promptTokens = 500 + Math.floor(this.#random() * 7500)
    const events = 20 + Math.floor(this.#random() * 300)
    let placement!: Placement
    const task = new RequestTask<Buffer>({
      work: { id, account: as('a'), cls: this.#cls, pool: POOL, demand: { promptTokens, maxTokens: events * TOKENS_PER_EVENT, expectedTokens: events * TOKENS_PER_EVENT, parts: [] }, claim: undefined, fingerprint: () => as<Fingerprint>('f') },
      from: Math.floor(this.#random() * events * 0.9),
      deadlineInMs: 2 * TAIL_MS,
      runner: {
        start: (view, spec, sink) => this.#startAttempt(this.#streams.get(id)!, view.id, { spec, sink }),
        stop: async () => ({ stopped: true, pieces: [] })
      },
      ports: {
        table,
        metrics: createMetrics(),
        dispatcher: { place: (each: Placement) => { placement = each }, remove: () => {}, startQueued: () => {} } as Partial<Dispatcher> as Dispatcher,
        budget: { deposit: () => {}, tryWithdraw: () => false },
        crashes: { abandoned: () => {}, failed: () => {} } as Partial<CrashWatch> as CrashWatch,
        quarantine: { answered: () => {}, isSuspected: () => false, heldAt: () => undefined } as Partial<QuarantineTask> as QuarantineTask
      }
    })
    this.#streams.set(id, { id, promptTokens, events, task })
    this.#result.streams++
    task.post({ type: 'begin' })
    placement.placed(table.get(at)!, { view: table.get(at)!, firstTokenMs: 1, meetsTarget: true, uncachedTokens: 0, unreadTokens: 0, lane: 'normal' } satisfies Route)
  }

  #startAttempt (stream: Stream, at: EndpointId, { spec, sink }: { spec: AttemptSpec<Buffer>, sink: AttemptSink<Buffer> }) {
    const engine = this.#engines.get(at)!
    if (this.#runs.has(stream.id)) this.#result.doubled++
    if (spec.mode === 'import') {
      this.#result.moved++
      this.#result.recomputedTokens += Math.max(0, (this.#stopped.get(stream.id) ?? 0) - spec.from) * TOKENS_PER_EVENT
      engine.taken++
    }
    const intervalMs = TOKENS_PER_EVENT * (STEP_MS + STEP_MS_PER_STREAM * engine.taken)
    const run: Run = { stream, at, made: spec.from, sink, timer: setInterval(() => this.#makeEvent(run), intervalMs) }
    this.#runs.set(stream.id, run)
    return { detach: () => { if (this.#runs.get(stream.id) === run) this.#stop(run) } }
  }

  #makeEvent (run: Run): void {
    run.sink.onChunk(run.made, [Buffer.of(run.made % 256)])
    if (++run.made < run.stream.events) return
    this.#stop(run)
    run.sink.onEnd(run.made)
  }

  #stop (run: Run): void {
    clearInterval(run.timer)
    this.#runs.delete(run.stream.id)
  }

  #end (id: EndpointId): void {
    this.#engines.get(id)!.isGone = true
    for (const run of [...this.#runs.values()].filter(({ at }) => at === id)) this.#tear(run)
  }

  #tear (run: Run): void {
    this.#stop(run)
    run.sink.onError(new AttemptError('Cannot read answer: closed', { point: 'torn-answer' }))
  }

  get #port (): KvMover {
    return {
      prepare: (order) => this.#order(order, false),
      commit: (order) => this.#order(order, true),
      release: async () => {},
      runs: async (source) => {
        await delay(CALL_MS)
        if (this.#engines.get(source.id)!.isGone) return 'gone'
        return new Map([...this.#runs.values()].filter(({ at }) => at === source.id).map(({ stream, made }) => [stream.id, { kvTokens: stream.promptTokens + made * TOKENS_PER_EVENT, events: made }]))
      }
    }
  }

  async #order ({ source, id, target, limitMs }: KvOrder, isLast: boolean): Promise<KvOrderResult> {
    const timeout = delay(limitMs).then((): KvOrderResult => ({ type: 'lost', why: 'no answer in time' }))
    return await Promise.race([timeout, this.#copy({ source: this.#engines.get(source.id)!, target: this.#engines.get(target.id)! }, id, isLast)])
  }

  async #copy ({ source, target }: { source: Engine, target: Engine }, id: RequestId, isLast: boolean): Promise<KvOrderResult> {
    await delay(CALL_MS)
    const run = this.#runs.get(id)
    if (source.isGone) return { type: 'gone' }
    if (!run && !this.#stopped.has(id)) return { type: 'no-run' }
    if (this.#copying.has(id)) return { type: 'busy' }
    if (target.taken >= SLOTS) return { type: 'refused', why: 'no room' }
    const { promptTokens } = this.#streams.get(id)!
    if (isLast && run) {
      this.#stopped.set(id, run.made)
      this.#tear(run)
    }
    const key = `${id} ${target.id}`
    const events = this.#stopped.get(id) ?? run!.made
    const bytes = (this.#copied.has(key) ? (events - this.#copied.get(key)!) * TOKENS_PER_EVENT : promptTokens + events * TOKENS_PER_EVENT) * KV_BYTES_PER_TOKEN
    const fromMs = Math.max(steadyNow(), source.linkFreeAtMs, target.linkFreeAtMs)
    const endMs = fromMs + SETUP_MS + 2 * bytes * 1000 / this.#options.linkBytesPerS
    source.linkFreeAtMs = target.linkFreeAtMs = endMs
    this.#copying.add(id)
    await delay(endMs - steadyNow())
    this.#copying.delete(id)
    if (source.isGone) return { type: 'gone' }
    this.#copied.set(key, events)
    this.#result.bytesMoved += bytes
    return { type: 'done', handle: `${source.id}/${id}`, events: this.#stopped.get(id) ?? run?.made ?? events }
  }
}
