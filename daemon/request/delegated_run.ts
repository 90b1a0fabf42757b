/** One run of a request at another daemon. */
import type { AnswerHead } from '../../core/answer/index.ts'
import type { EndpointVersion } from '../../core/ids/index.ts'
import type { AttemptError } from '../../core/outcome/index.ts'
import type { StreamVersion } from '../../core/streams/index.ts'

/** How a run of a request at another daemon begins. */
export interface DelegatedSpec {
  /** Offset after the last piece that the caller has. */
  from: number
  /** Milliseconds until the request's deadline. */
  deadlineInMs: number
  /** Number of endpoints that the request may still be sent to. */
  maxAttempts: number
  /** Returns true if the request may run again when the daemon does not respond, and can be sent another way now. */
  mayRepeatNow (): boolean
  /** Where the stream began; undefined while its caller has no event of it. */
  boundTo?: StreamVersion | undefined
}

/** Receives the answer of a request that another daemon runs. The last call is exactly one of `onEnd`, `onRefused` and `onError`. */
export interface DelegatedSink<P> {
  /** Called before the first piece, with the version of the endpoint that it comes from. */
  onHead (head: AnswerHead, from: { version: EndpointVersion | undefined }): void
  onChunk (offset: number, pieces: readonly P[]): void
  /** Called at the answer's explicit end. `total` counts the pieces from the start of the whole answer. */
  onEnd (total: number): void
  /** Called when the request did not run, and the caller is to come back later. */
  onRefused (why: string, retryAfterMs: number): void
  /** Called when the run failed. `reached` is the number of endpoints that the request may have been sent to. */
  onError (err: AttemptError, reached: number): void
}
