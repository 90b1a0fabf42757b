/** Protocol-independent interfaces for one attempt of a request at an endpoint. */
import type { AnswerHead } from '../core/answer/index.ts'
import type { AttemptError } from '../core/outcome/index.ts'
import type { StartMode } from '../core/request/index.ts'
import type { EndpointLoad, EndpointView, Lane } from '../core/routing/index.ts'

/** A value in an answer that could not be read, shortened for the log. It changes nothing. */
export interface InvalidSignal { invalid: string }

/** What an answer says about the request rate that its endpoint takes from all daemons together, in requests per second; undefined if it names none. */
export type AnswerLimit = { perS: number | undefined } | InvalidSignal

/** Time for which an endpoint wants no requests from this daemon, in milliseconds from its answer. */
export interface BackOff { forMs: number }

/** What an endpoint says about itself in the head of an answer. */
export interface EndpointSignals {
  /** The request rate that the endpoint takes. Default: it names none. */
  limit?: AnswerLimit | undefined
  /** Rejections per second, of all daemons together, that the endpoint survives. Default: it names none. */
  rejections?: { perS: number } | InvalidSignal | undefined
  /** True if the endpoint leaves. Without it the answer says nothing about that: its head may be older than the decision to leave. */
  leaving?: true | InvalidSignal | undefined
  /** Time that the endpoint asks for when it refuses a request. Default: none. */
  backOff?: BackOff | InvalidSignal | undefined
}

/** Options of {@linkcode AttemptSink.onEnd}. */
export interface AttemptEndOptions<P = string> {
  /** False if the answer ended with its connection and nothing marked its end. Default: true. */
  explicit?: boolean
  /** What follows the last event of a stream and has no position. Default: nothing. */
  rest?: P
}

/** Receives one attempt's answer. The last call is exactly one of `onEnd` and `onError`. */
export interface AttemptSink<P> {
  /** Called before the first piece with the status and headers, if the protocol has them. */
  onHead? (head: AnswerHead): void
  onChunk (offset: number, pieces: readonly P[]): void
  /** Called for each block of an event stream that has no id when it arrives. */
  onWithoutId? (): void
  /** Called at the answer's end. `total` counts the pieces from the start of the whole answer. */
  onEnd (total: number, options?: AttemptEndOptions<P>): void
  onError (err: AttemptError): void
  onLoad (load: EndpointLoad): void
  /** Called with the head of each answer that the endpoint itself gave, also one that it refused or failed with. */
  onSignals? (signals: EndpointSignals): void
}

/** What an attempt had produced when it was stopped. */
export interface StopReport<P = string> {
  /** True when the endpoint confirms that the attempt no longer runs. */
  stopped: boolean
  /** Pieces from the requested offset on that were produced before the stop. */
  pieces: readonly P[]
}

/** Handle for an attempt whose answer is being received; `detach` stops receiving. */
export interface Attachment {
  detach (): void
  /** False while the connection for the attempt is being opened, so that no byte of it can have reached the endpoint. Default: true. */
  readonly sent?: boolean
  /** Reads no more of the answer until {@linkcode Attachment.resume}; what has arrived may still be passed on. Default: cannot be paused. */
  pause? (): void
  /** Reads on, after this call has returned. */
  resume? (): void
}

/** How one attempt begins. */
export interface AttemptSpec<P> {
  attempt: number
  mode: StartMode
  /** Priority lane of the request at the endpoint. */
  lane: Lane
  /** Pieces that earlier attempts delivered; the attempt continues after them. */
  done: readonly P[]
  /** Offset after the last piece that the caller has. */
  from: number
  /** Milliseconds until the request's deadline. */
  deadlineInMs: number
  /** KV cache to continue from, in mode `import`. */
  kvHandle: string | undefined
}

/** Runs the attempts of one request. */
export interface AttemptRunner<P> {
  start (view: EndpointView, spec: AttemptSpec<P>, sink: AttemptSink<P>): Attachment
  /** Stops an attempt that runs or ran at the endpoint. */
  stop (view: EndpointView, attempt: number, from: number): Promise<StopReport<P>>
}
