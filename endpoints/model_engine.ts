/** What the daemons ask of a model engine, whatever its wire protocol. */
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
  /** Higher goes first. */
  priority: number
  /** Milliseconds that the engine keeps the stream when nobody reads it, so that another daemon can resume it. */
  keepMs: number
  /** Imported KV cache to continue from; what it holds beyond `done` is dropped, since nobody was given it. */
  kvHandle?: string
}

/** Receives one stream of tokens. */
export type StreamSink = AttemptSink<string>

/** An order states the wanted state, never a step, so that repeating it or giving it twice does no harm. */
export interface EngineOrder {
  /** Fencing number of the lease under which it is given. */
  fencing: number
  models: readonly string[]
  role: 'both' | 'prefill' | 'decode'
}

/** One model engine. Methods throw {@linkcode AttemptError}. */
export interface ModelEngine {
  start (spec: StreamSpec, sink: StreamSink): Attachment
  /** Receives a running stream again, from an offset. */
  resume (streamId: string, from: number, sink: StreamSink): Attachment
  cancel (streamId: string, from: number): Promise<StopReport>
  /** Moves the stream's KV cache to another engine and stops it here; returns a handle that the target takes. */
  exportKv (streamId: string, toAddress: string): Promise<string>
  load (): Promise<EndpointLoad>
  order (order: EngineOrder): Promise<void>
  /** The state that the engine is in, to be compared with the wanted one. */
  orders (): Promise<EngineOrder | undefined>
}
