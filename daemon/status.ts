/** Status report of one daemon, for operators. */
import type { DaemonId, PoolName } from '../core/ids/index.ts'
import { currentProgress, type RolloutRecord } from '../core/rollout/index.ts'
import { backsOff, runningNow } from '../core/routing/index.ts'
import { steadyNow } from '../core/time/index.ts'
import type { WorkClass } from '../core/work/index.ts'
import type { Dispatcher } from './request/dispatcher.ts'
import type { EndpointTable } from './endpoints/endpoint_table.ts'
import type { MembershipTask } from './peers/membership_task.ts'
import type { Metrics } from './metrics.ts'
import type { QuarantineTask } from './quarantine/index.ts'

/** Whether one class of work meets its target, and why. */
export interface ClassStatus { name: string, target: string, met: boolean | undefined, why: string }

/** Endpoints and load of one pool, and how the daemon currently treats them. */
export interface PoolStatus { name: string, live: number, leaving: number, ejected: number, backingOff: number, running: number, slots: number, waiting: number, doing: string }

/** One quarantined request or prompt part; `fingerprint` is the id by which it is released. */
export interface QuarantineStatus { fingerprint: string, crashed: string[], forMs: number }

/** Progress of one rollout. */
export interface RolloutStatus { pool: string, to: string, from: string | undefined, stage: string, why: string, granted: number }

/** Status report of one daemon, as JSON for operators. */
export interface StatusReport {
  daemon: DaemonId
  state: string
  revision: number
  /** False if a newer revision may exist, because the store has not confirmed this one recently. */
  revisionSure: boolean
  open: number
  queued: number
  members: Record<string, number>
  endpoints: { live: number, leaving: number, ejected: number, backingOff: number }
  pools: PoolStatus[]
  classes: ClassStatus[]
  /** Requests and prompt parts that are sent to no endpoint, because endpoints that ran them crashed. */
  quarantined: QuarantineStatus[]
  /** The latest rollout of each pool. */
  rollouts: RolloutStatus[]
}

/** Options of {@linkcode buildStatus}. */
export interface StatusOptions {
  self: DaemonId
  open: number
  revision: number
  revisionSure: boolean
  /** Classes of the configuration in force. */
  classes: readonly WorkClass[]
  dispatcher: Dispatcher
  table: EndpointTable
  membership: MembershipTask
  metrics: Metrics
  quarantine: Pick<QuarantineTask, 'held'>
  /** Rollout orders with their progress. Default: none. */
  rollouts?: Iterable<RolloutRecord> | undefined
}

/** Fraction of requests whose first token or answer must come within the target latency. */
const TARGET_FRACTION = 0.95

/** Builds the status report of one daemon and sets the gauges that are computed on demand. */
export async function buildStatus (sources: StatusOptions): Promise<StatusReport> {
  const now = steadyNow()
  const views = sources.table.all
  const pools = [...new Set(views.map((view) => view.pool))].map((name) => poolStatus(name, sources))
  setGauges(pools, sources)
  return {
    daemon: sources.self,
    state: sources.membership.core.self.state,
    revision: sources.revision,
    revisionSure: sources.revisionSure,
    open: sources.open,
    queued: sources.dispatcher.queued,
    members: countBy(sources.membership.core.members.map((member) => member.state)),
    endpoints: {
      live: views.filter((view) => view.leavingAtMs === undefined).length,
      leaving: views.filter((view) => view.leavingAtMs !== undefined).length,
      ejected: views.filter((view) => view.ejectedUntilMs > now).length,
      backingOff: views.filter((view) => backsOff(view, now)).length
    },
    pools,
    quarantined: sources.quarantine.held.map(({ suspect, crashes, untilMs }) => ({ fingerprint: suspect, crashed: crashes.map(({ endpoint }) => endpoint), forMs: Math.round(untilMs - now) })),
    rollouts: [...sources.rollouts ?? []].map(rolloutStatus),
    classes: await Promise.all(sources.classes.map((cls) => classStatus(cls, sources.metrics)))
  }
}

function rolloutStatus (record: RolloutRecord): RolloutStatus {
  const progress = currentProgress(record)
  const { pool, to } = record.order
  return { pool, to, from: progress?.from, stage: progress?.stage ?? 'ordered', why: progress?.why ?? 'no daemon has begun with it', granted: progress?.granted ?? 0 }
}

function setGauges (pools: readonly PoolStatus[], { metrics, dispatcher, open }: StatusOptions): void {
  metrics.open.set(open)
  metrics.queued.set(dispatcher.queued)
  metrics.endpoints.reset()
  for (const { name, live, leaving, ejected, backingOff } of pools) {
    metrics.endpoints.set({ pool: name, state: 'live' }, live - ejected - backingOff)
    metrics.endpoints.set({ pool: name, state: 'backing-off' }, backingOff)
    metrics.endpoints.set({ pool: name, state: 'leaving' }, leaving)
    metrics.endpoints.set({ pool: name, state: 'ejected' }, ejected)
  }
}

function poolStatus (name: PoolName, { table, dispatcher }: StatusOptions): PoolStatus {
  const now = steadyNow()
  const views = table.all.filter((view) => view.pool === name)
  const staying = views.filter((view) => view.leavingAtMs === undefined)
  const backingOff = staying.filter((view) => backsOff(view, now)).length
  const ejected = staying.filter((view) => view.ejectedUntilMs > now && !backsOff(view, now)).length
  const leaving = views.length - staying.length
  const waiting = dispatcher.queuedIn(name)
  const doing = [
    ...(waiting > 0 ? [`${waiting} requests wait for room`] : []),
    ...(ejected > 0 ? [`${ejected} endpoints are left alone for a while after failures`] : []),
    ...(backingOff > 0 ? [`${backingOff} endpoints asked for time and get nothing new until then`] : []),
    ...(leaving > 0 ? [`${leaving} endpoints leave and get nothing new`] : [])
  ]
  return {
    name,
    live: staying.length,
    leaving,
    ejected,
    backingOff,
    running: staying.reduce((sum, view) => sum + runningNow(view), 0),
    slots: staying.reduce((sum, view) => sum + view.speed.batchSlots, 0),
    waiting,
    doing: doing.join('; ') || 'spreads work over all endpoints'
  }
}

async function classStatus (cls: WorkClass, metrics: Metrics): Promise<ClassStatus> {
  const { latency, delivery } = cls
  const first = cls.streaming ? 'first token' : 'answer'
  const target = `${first} within ${latency.firstTokenMs} ms for ${TARGET_FRACTION * 100} in 100, ${round(delivery * 100)} in 100 answered within ${latency.deadlineMs} ms`
  const name = metrics.labelOf(cls.name)
  const counts = (await metrics.requests.get()).values.filter(({ labels }) => labels.class === name && labels.outcome !== 'repeated')
  const total = counts.reduce((sum, { value }) => sum + value, 0)
  if (total === 0) return { name: cls.name, target, met: undefined, why: 'no request has finished here' }
  const answered = counts.find(({ labels }) => labels.outcome === 'answered')?.value ?? 0
  const firsts = (await metrics.firstPieces.get()).values.filter(({ labels }) => labels.class === name)
  const within = firsts.find(({ labels }) => labels.within_target === 'yes')?.value ?? 0
  const begun = firsts.reduce((sum, { value }) => sum + value, 0)
  const reasons = [
    ...(answered / total < delivery ? [`${total - answered} of ${total} were not answered`] : []),
    ...(within / begun < TARGET_FRACTION ? [`${begun - within} of ${begun} had their ${first} late`] : [])
  ]
  return { name: cls.name, target, met: reasons.length === 0, why: reasons.join('; ') || `${answered} of ${total} answered, ${first} in time for ${within} of ${begun}` }
}

function round (value: number): number {
  return Math.round(value * 1000) / 1000
}

function countBy (items: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const item of items) counts[item] = (counts[item] ?? 0) + 1
  return counts
}
