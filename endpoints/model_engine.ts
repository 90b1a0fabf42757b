/** Protocol-independent interface of a model engine. */
import type { EndpointLoad } from '../core/routing/index.ts'
import type { Attachment, AttemptSink, StopReport } from './attempt.ts'

/** One stream to run. */
export interface StreamSpec {
  /** Unique to one attempt. */
  streamId: string
  prompt: string
  /** Tokens that earlier attempts produced; the engine continues after them. */
  done: readonly string[]
  maxTokens: number
  /** Streams with a higher priority are scheduled first. */
  priority: number
  /** Milliseconds that the engine keeps an unread stream, so that another daemon can resume it. */
  keepMs: number
  /** Imported KV cache to continue from. Its content beyond `done` is dropped because it was never delivered. */
  kvHandle?: string
}

/** Receives one stream of tokens. */
export type StreamSink = AttemptSink<string>

/** Desired state of an engine. An order is idempotent because it states a target, not a change. */
export interface EngineOrder {
  /** Fencing number of the lease under which the order is issued. */
  fencing: number
  models: readonly string[]
  role: 'both' | 'prefill' | 'decode'
}

/** Client of one model engine. Methods throw {@linkcode AttemptError}. */
export interface ModelEngine {
  start (spec: StreamSpec, sink: StreamSink): Attachment
  /** Reattaches to a running stream from an offset. */
  resume (streamId: string, from: number, sink: StreamSink): Attachment
  cancel (streamId: string, from: number): Promise<StopReport>
  /** Moves the stream's KV cache to another engine and stops the stream here; returns a handle that the target accepts. */
  exportKv (streamId: string, toAddress: string): Promise<string>
  load (): Promise<EndpointLoad>
  order (order: EngineOrder): Promise<void>
  /** Returns the order that the engine currently follows, for comparison with the desired one. */
  orders (): Promise<EngineOrder | undefined>
}
