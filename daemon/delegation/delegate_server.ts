/** Runs requests of daemons that cannot reach the endpoints of their pool. */
import type { DelegateOffer } from '../../core/delegation/index.ts'
import type { DaemonId, PoolName } from '../../core/ids/index.ts'
import { runningNow } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { AdmittedRequest, ExchangeClient } from '../../endpoints/index.ts'
import type { EndpointTable } from '../endpoints/endpoint_table.ts'
import type { Intake } from '../exchange/intake.ts'
import { LEAVING_REASON } from '../exchange/refusal.ts'
import { log } from '../log/index.ts'
import type { Metrics } from '../metrics.ts'
import type { PathWatch } from '../paths/index.ts'
import type { MembershipTask } from '../peers/membership_task.ts'
import { CUT_OFF_REASON } from '../request/dispatcher.ts'
import type { RequestTask } from '../request/request_task.ts'
import { PROGRESS_TOPIC, CANCEL_TOPIC, FLOW_TOPIC, OFFER_METHOD, RECEIVED_TOPIC, RUN_METHOD, START_TOPIC, type CancelMessage, type FlowMessage, type OfferQuery, type ReceivedMessage, type RunPart, type RunQuery, type RunResult, type StartMessage } from './_messages.ts'
import { RunFlow } from './_run_flow.ts'
import { guarded } from '../tasks/index.ts'

/** Options of {@linkcode DelegateServer}. */
export interface DelegateServerOptions {
  membership: MembershipTask
  table: EndpointTable
  paths: PathWatch
  client: ExchangeClient
  intake: Pick<Intake, 'acceptDelegated'>
  metrics: Metrics
}

/** Maximum number of requests of other daemons that run here at once. */
const MAX_RUNS = 64
/** Time since an endpoint of a pool last sent anything after which a few are dialled before an offer is renewed, in milliseconds. */
const FRESH_MS = 300
/** Time for which a daemon that asked for an offer counts among those that share the room, in milliseconds. */
const ORIGIN_TTL_MS = 1500
/** Interval at which origins learn that their requests still run, in milliseconds. */
const PROGRESS_INTERVAL_MS = 500

/** A daemon whose requests run here, and the pools for which it was made an offer. */
interface Origin { askedAtMs: number, running: number, requests: number, pools: Set<PoolName> }

/** A request of another daemon that runs here. */
interface Run { task: RequestTask<Buffer>, flow: RunFlow, hasBegun: boolean }

/** Makes offers to other daemons and runs their requests. */
export class DelegateServer {
  readonly #options: DelegateServerOptions
  readonly #origins = new Map<DaemonId, Origin>()
  readonly #runs = new Map<string, Run>()
  #draining = false
  #timer: NodeJS.Timeout | undefined

  constructor (options: DelegateServerOptions) {
    this.#options = options
    const { links } = options.membership
    links.handle(OFFER_METHOD, ({ pool }: OfferQuery, { from }) => this.#offer(pool, from))
    links.handle(RUN_METHOD, (query: RunQuery, { from, part, signal }) => this.#run(query, { from, part, signal }))
    links.onPost(START_TOPIC, ({ run }: StartMessage, from) => begin(this.#runs.get(runKey(from, run))))
    links.onPost(CANCEL_TOPIC, ({ run }: CancelMessage, from) => this.#runs.get(runKey(from, run))?.task.post({ type: 'caller-left' }))
    links.onPost(FLOW_TOPIC, ({ run, paused }: FlowMessage, from) => this.#runs.get(runKey(from, run))?.flow.setPaused(paused))
    links.onPost(RECEIVED_TOPIC, ({ run, bytes }: ReceivedMessage, from) => this.#runs.get(runKey(from, run))?.flow.received(bytes))
  }

  /** Number of requests of other daemons that run here. */
  get open (): number { return this.#runs.size }

  /** Starts telling origins that their requests still run. */
  start (): void {
    this.#timer = setInterval(guarded('delegate-server', () => this.#updateOrigins()), PROGRESS_INTERVAL_MS)
  }

  /** Stops telling origins that their requests still run. */
  stop (): void {
    clearInterval(this.#timer)
  }

  /** Makes no more offers and begins no more runs. */
  startDraining (): void {
    this.#draining = true
  }

  /** Declines the requests that wait for an endpoint: they have not run, and their origins can send them elsewhere. */
  declineWaiting (): void {
    for (const { task } of [...this.#runs.values()]) if (task.state.phase === 'placing') task.post({ type: 'refused', reason: LEAVING_REASON })
  }

  async #offer (pool: PoolName, from: DaemonId): Promise<DelegateOffer> {
    const { paths } = this.#options
    const askedAtMs = steadyNow()
    const isNew = this.#origins.get(from)?.pools.has(pool) !== true
    const isCutOff = paths.reach(pool, { idempotent: true }) === 'cut-off'
    // What arrived before the origin lost the pool does not show that this daemon still reaches it: the endpoints may have ended for both.
    const isDue = isNew || (paths.activityAgeMs(pool) ?? Infinity) > FRESH_MS
    if (isDue && !this.#draining && !isCutOff) await paths.probe(pool)
    const activityAgeMs = paths.activityAgeMs(pool)
    const maxAgeMs = isNew ? steadyNow() - askedAtMs : FRESH_MS
    if (this.#draining || activityAgeMs === undefined || activityAgeMs > maxAgeMs) return { room: 0, activityAgeMs: activityAgeMs ?? Infinity }
    const origin = this.#originOf(from)
    origin.askedAtMs = steadyNow()
    origin.pools.add(pool)
    const room = Math.max(1, Math.floor(Math.min(MAX_RUNS, this.#roomAt(pool) + this.open) / this.#origins.size))
    if (isNew) log('delegate-begins', { origin: from, pool, room, activityAgeMs: Math.round(activityAgeMs) })
    return { room, activityAgeMs }
  }

  /** Number of requests that the endpoints of a pool take over this daemon's connections now. */
  #roomAt (pool: PoolName): number {
    const { table, paths, client } = this.#options
    return table.candidates(pool)
      .filter((view) => paths.stateOf(view.id) === 'open')
      .reduce((sum, view) => sum + Math.max(0, Math.min(client.available(view), view.speed.batchSlots - runningNow(view))), 0)
  }

  async #run (query: RunQuery, { from, part, signal }: { from: DaemonId, part: (value: RunPart) => void, signal: AbortSignal }): Promise<RunResult> {
    const result = await this.#runOrDecline(query, { from, part, signal })
    this.#options.metrics.delegatedFor.inc({ result: result.type })
    return result
  }

  async #runOrDecline (query: RunQuery, { from, part, signal }: { from: DaemonId, part: (value: RunPart) => void, signal: AbortSignal }): Promise<RunResult> {
    const key = runKey(from, query.run)
    if (this.#draining) return { type: 'declined', why: 'it is draining' }
    if (this.open >= MAX_RUNS) return { type: 'declined', why: `it runs ${this.open} requests of other daemons` }
    if (this.#options.paths.reach(query.pool, { idempotent: true }) === 'cut-off') return { type: 'declined', why: CUT_OFF_REASON }
    const task = this.#options.intake.acceptDelegated({ ...query, req: toAdmitted(query) }, from)
    if (!task) return { type: 'declined', why: 'its configuration does not serve the request from that pool' }
    const flow = new RunFlow(task.flow, { confirms: query.confirms === true })
    const run: Run = { task, flow, hasBegun: false }
    this.#runs.set(key, run)
    const origin = this.#originOf(from)
    origin.running++
    origin.requests++
    const cancel = () => task.post({ type: 'caller-left' })
    signal.addEventListener('abort', cancel)
    const result = await follow(run, { resumeFrom: query.req.resumeFrom, awaitsStart: query.awaitsStart === true, part })
    // The link outlives its runs.
    signal.removeEventListener('abort', cancel)
    this.#runs.delete(key)
    origin.running--
    return result
  }

  #originOf (id: DaemonId): Origin {
    let origin = this.#origins.get(id)
    if (!origin) {
      origin = { askedAtMs: steadyNow(), running: 0, requests: 0, pools: new Set() }
      this.#origins.set(id, origin)
    }
    return origin
  }

  #updateOrigins (): void {
    const now = steadyNow()
    for (const [id, { askedAtMs, running, requests }] of this.#origins) {
      if (running > 0) this.#options.membership.links.post(id, PROGRESS_TOPIC, undefined)
      if (running > 0 || now - askedAtMs < ORIGIN_TTL_MS) continue
      this.#origins.delete(id)
      log('delegate-ends', { origin: id, requests })
    }
  }
}

function toAdmitted ({ req, account, deadlineInMs }: RunQuery): AdmittedRequest {
  return { ...req, body: Buffer.from(req.body.buffer, req.body.byteOffset, req.body.byteLength), account, credential: undefined, deadlineInMs }
}

function runKey (from: DaemonId, run: number): string {
  return `${from}/${run}`
}

/** Sends a task's answer to the origin as it grows, and returns its result. */
function follow (run: Run, { resumeFrom, awaitsStart, part }: { resumeFrom: number, awaitsStart: boolean, part: (value: RunPart) => void }): Promise<RunResult> {
  const { task, flow } = run
  let sentPieces = 0
  let isHeadSent = false
  let reached = 0
  return new Promise((resolve) => {
    const onChange = () => {
      const message: RunPart = {}
      const sent = task.state.sent + (task.state.backup ? 2 : 1)
      if (task.started && sent > reached && !task.final) message.reached = reached = sent
      if (!isHeadSent && task.head) {
        message.head = task.head
        if (task.binding.version?.version !== undefined) message.version = task.binding.version.version
        isHeadSent = true
      }
      const pieces = isHeadSent ? task.answer.take() : []
      if (pieces.length > 0) {
        message.chunk = { offset: resumeFrom + sentPieces, pieces }
        sentPieces += pieces.length
      }
      if (Object.keys(message).length > 0) part(message)
      if (pieces.length > 0) flow.sent(byteCount(pieces))
      if (!task.final) return
      unsubscribe()
      resolve(resultOf(task, reached))
    }
    const unsubscribe = task.subscribe(onChange)
    part({ reached })
    if (!awaitsStart) begin(run)
    onChange()
  })
}

/** Begins a run once, however often its origin says so. */
function begin (run: Run | undefined): void {
  if (!run || run.hasBegun) return
  run.hasBegun = true
  run.task.post({ type: 'begin' })
}

function byteCount (pieces: readonly Uint8Array[]): number {
  return pieces.reduce((sum, { length }) => sum + length, 0)
}

function resultOf (task: RequestTask<Buffer>, reached: number): RunResult {
  const { outcome, reason, retryAfterMs } = task.final!
  if (outcome === 'answered') return { type: 'answered', total: task.answer.length }
  // The run ends with this daemon, not at an endpoint: its origin may go on with it elsewhere.
  const isLost = reason === CUT_OFF_REASON || reason === LEAVING_REASON
  if (outcome === 'unknown') return { type: isLost ? 'lost' : 'failed', why: reason, reached, answer: task.failureAnswer }
  return reason !== CUT_OFF_REASON && retryAfterMs !== undefined ? { type: 'refused', why: reason, retryAfterMs } : { type: 'declined', why: reason }
}
