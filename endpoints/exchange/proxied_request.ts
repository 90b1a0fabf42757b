/** A caller's HTTP request that is forwarded to an endpoint with its bytes unchanged. */
import type { Header } from '../../core/answer/index.ts'
import type { AccountId, RequestId } from '../../core/ids/index.ts'
import type { Demand } from '../../core/work/index.ts'

/** The forwarded parts of a request and the values that determine how it is handled. */
export interface ProxiedRequest {
  id: RequestId
  method: string
  /** Path and query as the caller sent them. */
  target: string
  host: string
  /** Headers that are forwarded to the endpoint unchanged. */
  headers: readonly Header[]
  body: Buffer
  /** Credential that identifies the caller's account. */
  credential: string | undefined
  /** Milliseconds that the caller waits, counted from when it sent the request. */
  deadlineInMs: number | undefined
  /** Undefined for a plain call. */
  demand: Demand | undefined
  /** Number of events of the stream that the caller already has. */
  resumeFrom: number
  /** Id of the caller's request that brought the first event of the stream that it resumes; undefined if the caller names none. */
  streamId: RequestId | undefined
}

/** A proxied request whose account is known. */
export interface AdmittedRequest extends ProxiedRequest {
  account: AccountId | undefined
}
