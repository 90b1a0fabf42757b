/** Protocol-independent interface for moving the KV cache of a running stream between endpoints. */
import type { RequestId } from '../core/ids/index.ts'
import type { KvHandle, OrderResult } from '../core/moves/index.ts'
import type { EndpointView } from '../core/routing/index.ts'

/** An order to copy the KV cache of a run. */
export interface KvOrder {
  source: EndpointView
  id: RequestId
  target: EndpointView
  /** Time after which the answer counts as lost, in milliseconds. */
  limitMs: number
}

/** A copy that is not used. */
export interface KvCopy {
  source: EndpointView
  handle: KvHandle
  /** Target of the copy; undefined if it is no longer listed. */
  target: EndpointView | undefined
}

/** Answer to an order, with the reason if it was not carried out or is not known to be. */
export type KvOrderResult = OrderResult & { why?: string }

/** One run at an endpoint, as it reports it. */
export interface ReportedRun {
  /** Size of its KV cache. */
  kvTokens: number
  /** Number of events made. */
  events: number
}

/** What an endpoint reported; `gone` if no process or another one has its address, `unknown` without a usable answer. */
export type RunsReport = ReadonlyMap<RequestId, ReportedRun> | 'gone' | 'unknown'

/** Moves KV caches. Its methods never reject: an answer that makes no sense is a lost answer. */
export interface KvMover {
  /** Copies the KV cache of a run while it goes on. */
  prepare (order: KvOrder): Promise<KvOrderResult>
  /** Stops a run and copies what is missing. */
  commit (order: KvOrder): Promise<KvOrderResult>
  /** Frees the copy that a handle names: at both ends, or only at the target if the source does not answer. */
  release (copy: KvCopy): Promise<void>
  /** Returns the runs of an endpoint as of a few hundred milliseconds ago. */
  runs (source: EndpointView, limitMs: number): Promise<RunsReport>
}
