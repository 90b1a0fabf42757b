/** A daemon's view of an endpoint, built from the host list, its own requests in flight and the load reported by other daemons. */
import type { EndpointId, EndpointVersion, FailureDomain, HostId, PoolName } from '../ids/index.ts'
import type { FirstTokenModel } from './first_token_estimator.ts'
import { slowdownFactor, type ChunkIntervalEstimator } from './chunk_interval_estimator.ts'
import { unreadBefore, type Lane, type WorkLoad } from './work_load.ts'

/** Speed and capacity of an endpoint, as published by its engine or as learned. */
export interface EndpointSpeed {
  /** Requests that the engine runs in one batch. */
  batchSlots: number
  prefillTokensPerS: number
  /** Milliseconds between tokens with an empty batch. */
  betweenTokensMs: number
  /** Milliseconds that each additional stream adds between tokens. */
  betweenTokensPerStreamMs: number
  /** KV cache tokens that the endpoint can export per second, over all streams. */
  exportTokensPerS: number
  /** KV cache tokens that the endpoint can import per second. */
  importTokensPerS: number
}

/** Load reported by an endpoint, including the work of the daemon that receives the report. */
export interface EndpointLoad { running: number, queuedTokens: number, atMs: number }

/** State of one endpoint as known to this daemon. */
export interface EndpointView {
  /** Identifies one start of the endpoint; a restart gets a new id. */
  id: EndpointId
  /** Name of the endpoint on the platform, the same for every start. Default: its id. */
  name?: string
  hostId: HostId
  pool: PoolName
  failureDomain: FailureDomain
  /** Software version, if the platform publishes it. */
  version?: EndpointVersion
  address: string
  /** Price of the host per hour, in the platform's currency. */
  pricePerHour: number
  reclaimable: boolean
  speed: EndpointSpeed
  /** Initial estimate of the time to the first token, or to the whole answer of a plain call, without queueing and prefill, in milliseconds. */
  firstMs: number
  /** First-token latency model learned for the pool. Default: derived from the published speed. */
  firstTokenModel?: FirstTokenModel
  /** Learned interval between chunks of the endpoint's streams. Default: unknown. */
  chunkInterval?: ChunkIntervalEstimator
  /** Learned interval between chunks over the whole pool. Default: unknown. */
  poolChunkInterval?: ChunkIntervalEstimator
  /** Learned ratio of actual to predicted first-token latency. */
  latencyFactor: number
  /** Work of the other daemons, as last reported. */
  others: WorkLoad
  /** Work of this daemon, updated immediately. */
  own: WorkLoad
  /** When the first signal arrived that the endpoint is leaving, whether a notice, the host list, a peer or a refusal by the endpoint; undefined before. */
  leavingAtMs: number | undefined
  /** Not selected before this time, because of failures. */
  ejectedUntilMs: number
  /** Not selected before this time, because the endpoint asked for it. Default: it did not. */
  backOffUntilMs?: number
  /** When the endpoint was first listed, in milliseconds on the daemon's clock. Default: long ago. */
  listedAtMs?: number
  /** When the endpoint last sent anything, in milliseconds on the daemon's clock. Default: never. */
  lastActivityAtMs?: number
}

/** Returns the number of requests known to be running at the endpoint. */
export function runningNow (view: EndpointView): number {
  return view.others.running + view.own.running
}

/** Returns when an endpoint that is not leaving may get work again, in milliseconds on the daemon's clock; a time in the past if it may now. */
export function availableAtMs ({ ejectedUntilMs, backOffUntilMs = 0 }: EndpointView): number {
  return Math.max(ejectedUntilMs, backOffUntilMs)
}

/** Returns true if an endpoint wants no requests from this daemon now. */
export function backsOff ({ backOffUntilMs = 0 }: EndpointView, now: number): boolean {
  return backOffUntilMs > now
}

/** Time after an endpoint is listed until load reports cover the work of other daemons, in milliseconds: about two report intervals. */
const UNREPORTED_MS = 250

/**
 * Returns the number of other daemons whose work at a newly listed endpoint is not reported yet. Each is assumed to send as much as this daemon.
 *
 * After a reclaim every daemon has queued work, and all of them see the same empty endpoint within 100 ms. If each sent it as much as one endpoint can
 * handle, it would be seconds behind before the first report.
 */
function unreportedDaemons (view: EndpointView, { now, sharers }: PredictionContext): number {
  return view.listedAtMs !== undefined && now - view.listedAtMs < UNREPORTED_MS ? Math.max(0, sharers - 1) : 0
}

/** Current time and number of daemons that use an endpoint. */
export interface PredictionContext { now: number, sharers: number }

/** Returns the number of prompt tokens known to be prefilled before those of a new request in a lane. */
export function unreadNow (view: EndpointView, lane: Lane): number {
  return unreadBefore(view.others, lane) + unreadBefore(view.own, lane)
}

/**
 * Predicts the time to the first token, or to the answer of a plain call, in milliseconds.
 * @param uncachedTokens Prompt tokens that are not in the endpoint's prefix cache.
 * @param context Without it, unreported work and current slowdown are ignored.
 */
export function predictFirstTokenMs (view: EndpointView, uncachedTokens: number, lane: Lane = 'late', context?: PredictionContext): number {
  const unreported = context ? unreportedDaemons(view, context) : 0
  const unread = unreadNow(view, lane) + uncachedTokens + unreported * unreadBefore(view.own, lane)
  const { firstMs, msPerToken } = firstTokenModelOf(view)
  const excessRequests = runningNow(view) + unreported * view.own.running + 1 - view.speed.batchSlots
  const slotMs = excessRequests > 0 ? Math.max(MIN_SLOT_WAIT_MS, firstMs) * excessRequests / view.speed.batchSlots : 0
  const factor = context ? slowdownFactor(view.chunkInterval, view.poolChunkInterval, context.now) : 1
  return (firstMs + unread * msPerToken + slotMs) * (factor > 1 ? Math.max(view.latencyFactor, factor) : view.latencyFactor)
}

/** Returns the first-token latency model learned for the endpoint's pool, or one derived from its published speed. */
export function firstTokenModelOf (view: EndpointView): FirstTokenModel {
  return view.firstTokenModel ?? { firstMs: view.firstMs, msPerToken: MS_PER_S / view.speed.prefillTokensPerS }
}

/** Ratio of a stream's longest interval to its typical one. Logs show 1.4 or less for 99% of streams in full batches. */
const MAX_INTERVAL_RATIO = 1.4

/** Returns false if recent streams of the endpoint show intervals between chunks that would exceed the target. */
export function meetsIntervalTarget (view: EndpointView, targetMs: number | undefined, now: number): boolean {
  const intervalMs = view.chunkInterval?.intervalMs(now)
  return targetMs === undefined || intervalMs === undefined || intervalMs * MAX_INTERVAL_RATIO <= targetMs
}

/** Predicts the time between tokens with one more stream in the batch, in milliseconds. */
export function predictBetweenTokensMs (view: EndpointView): number {
  const batchSize = Math.min(runningNow(view) + 1, view.speed.batchSlots)
  return view.speed.betweenTokensMs + view.speed.betweenTokensPerStreamMs * batchSize
}

const MS_PER_S = 1000
/** Minimum wait for a free batch slot, in milliseconds. Used to rank full endpoints. */
const MIN_SLOT_WAIT_MS = 20
