/** Describes a request and the parts of the daemon that it uses. */
import type { AccountId, ClassName, EndpointId, Fingerprint, PoolName, RequestId } from '../../core/ids/index.ts'
import type { ClaimResult } from '../../core/once/index.ts'
import type { PathEvidence } from '../../core/paths/index.ts'
import { partId, type RequestSuspects } from '../../core/quarantine/index.ts'
import type { RequestTraits } from '../../core/request/index.ts'
import type { RetryLimiter } from '../../core/retry/index.ts'
import type { EndpointView } from '../../core/routing/index.ts'
import { sharedParts, type Demand, type WorkClass } from '../../core/work/index.ts'
import type { EndpointSignals } from '../../endpoints/index.ts'
import type { EndpointTable } from '../endpoints/endpoint_table.ts'
import type { Metrics } from '../metrics.ts'
import type { CrashWatch, QuarantineTask } from '../quarantine/index.ts'
import type { Dispatcher } from './dispatcher.ts'

/** The work that a caller requested. */
export interface RequestWork {
  id: RequestId
  account: AccountId
  cls: WorkClass
  pool: PoolName
  demand: Demand
  /** Length of the request's body. Default: 0. */
  bytes?: number
  /** Claims the idempotency key; undefined if the request has none that must be claimed. */
  claim: (() => Promise<ClaimResult>) | undefined
  /** Returns a hash of the request's content. A function, so that it is computed only when needed. */
  fingerprint (): Fingerprint
}

/**
 * Returns what the life cycle of a request depends on.
 * @param deadlineAtMs Deadline in milliseconds on the steady clock.
 */
export function requestTraits ({ id, cls, claim }: RequestWork, deadlineAtMs: number): RequestTraits {
  return {
    id,
    idempotent: cls.idempotent,
    movable: cls.streaming && cls.resumable,
    cancelOnLeave: cls.cancelOnLeave,
    claims: claim !== undefined,
    maxAttempts: cls.maxAttempts,
    deadlineAtMs
  }
}

/** Returns what the quarantine distinguishes a request by. */
export function suspectsOf ({ fingerprint, demand, pool }: Pick<RequestWork, 'fingerprint' | 'demand' | 'pool'>): RequestSuspects {
  return { fingerprint, parts: sharedParts(demand).map((key) => partId(pool, key)) }
}

/** Observes how endpoints answer while a version is being rolled out. */
export interface AnswerObserver {
  /** Called when a request arrives. */
  asked (work: Pick<RequestWork, 'pool' | 'cls'>): void
  /** Called when an endpoint sends the first response to an attempt. */
  answered (view: EndpointView, cls: ClassName, times: { tookMs: number, predictedMs: number }): void
  /** Called when an endpoint reports that it failed. */
  failed (view: EndpointView, cls: ClassName): void
}

/** The parts of the daemon that a request uses. */
export interface RequestPorts {
  table: EndpointTable
  dispatcher: Dispatcher
  budget: RetryLimiter
  metrics: Metrics
  crashes: CrashWatch
  quarantine: QuarantineTask
  /** Default: no observer. */
  answers?: AnswerObserver | undefined
  /** Limits that endpoints name in their answers. Default: they name none. */
  limits?: RequestLimits | undefined
  /** Applies what endpoints say about themselves in their answers. Default: it is ignored. */
  signals?: SignalRecorder | undefined
  /** Watches the network paths to the endpoints. Default: all endpoints can be reached. */
  paths?: PathObserver | undefined
}

/** Watches the network paths from this daemon to the endpoints. */
export interface PathObserver {
  /** Records evidence that an endpoint cannot be reached. */
  suspect (view: EndpointView, evidence: PathEvidence): void
  /** True if a request may be sent to an endpoint from here. */
  canSend (view: EndpointView, work: { idempotent: boolean }): boolean
}

/** Records requests to endpoints with a limit. */
export interface RequestLimits {
  /** Called when a request is sent to an endpoint. */
  started (view: EndpointView): void
  /** Called when an endpoint rejects a request. */
  rejected (view: EndpointView): void
}

/** Applies what endpoints say about themselves in their answers. */
export interface SignalRecorder {
  /** Called with the signals of one answer. `sentAtMs` is when its request was sent, in milliseconds on the steady clock. */
  record (endpoint: EndpointId, signals: EndpointSignals, sentAtMs: number): void
}

/** Reason given for refusing a quarantined request. */
export const QUARANTINED_REASON = 'quarantined: endpoints that ran requests like it crashed'

/** One decision, formatted for `status --explain`. */
export interface Decision { atMs: number, text: string }
