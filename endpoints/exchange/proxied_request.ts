/** A caller's HTTP request on its way to an endpoint, its bytes unchanged. */
import type { Header } from '../../core/answer/index.ts'
import type { AccountId, RequestId } from '../../core/ids/index.ts'
import type { Demand } from '../../core/work/index.ts'

/** What of a request is handed on, and what of it decides how. */
export interface ProxiedRequest {
  id: RequestId
  method: string
  /** Path and query as the caller wrote them. */
  target: string
  host: string
  /** Headers that go on to the endpoint as they are. */
  headers: readonly Header[]
  body: Buffer
  /** What the caller proves its account with. */
  credential: string | undefined
  /** Milliseconds that the caller waits, from when it sent the request. */
  deadlineInMs: number | undefined
  /** Undefined for a plain call. */
  demand: Demand | undefined
  /** Events of the stream that the caller already has. */
  resumeFrom: number
}

/** A proxied request whose account is known. */
export interface AdmittedRequest extends ProxiedRequest {
  account: AccountId | undefined
}
