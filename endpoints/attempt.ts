/** One attempt of a request at an endpoint, whatever protocol carries it. */
import type { AnswerHead } from '../core/answer/index.ts'
import type { AttemptError } from '../core/outcome/index.ts'
import type { StartMode } from '../core/request/index.ts'
import type { EndpointLoad, EndpointView, Lane } from '../core/routing/index.ts'

/** Receives one attempt's answer. Exactly one of `onEnd` and `onError` comes last. */
export interface AttemptSink<P> {
  /** Status and headers, where the protocol has them; before the first piece. */
  onHead? (head: AnswerHead): void
  onChunk (offset: number, pieces: readonly P[]): void
  /** The answer's explicit end: `total` pieces from the start of the whole answer. */
  onEnd (total: number): void
  onError (err: AttemptError): void
  onLoad (load: EndpointLoad): void
}

/** What an attempt had produced when it was stopped. */
export interface StopReport<P = string> {
  /** True when the endpoint confirms that the attempt runs no more. */
  stopped: boolean
  /** Pieces from the asked offset on that were produced before the stop. */
  pieces: readonly P[]
}

/** Stops receiving an attempt. */
export interface Attachment { detach (): void }

/** How one attempt begins. */
export interface AttemptSpec<P> {
  attempt: number
  mode: StartMode
  /** Where the request stands among others at the endpoint. */
  lane: Lane
  /** Pieces that earlier attempts delivered; the attempt goes on behind them. */
  done: readonly P[]
  /** Place behind the last piece that the caller has. */
  from: number
  /** Milliseconds until the request's deadline. */
  deadlineInMs: number
  /** KV cache to continue from, in mode `import`. */
  kvHandle: string | undefined
}

/** Carries out the attempts of one request. */
export interface AttemptRunner<P> {
  start (view: EndpointView, spec: AttemptSpec<P>, sink: AttemptSink<P>): Attachment
  /** Stops an attempt that runs or ran there. */
  stop (view: EndpointView, attempt: number, from: number): Promise<StopReport<P>>
}
