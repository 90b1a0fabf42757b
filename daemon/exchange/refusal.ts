/** Errors for requests that are refused before any endpoint receives them. */

/** Reason for refusing a request that a daemon which leaves cannot finish. */
export const LEAVING_REASON = 'this daemon leaves'
/** `Retry-After` for such a request, in milliseconds: other daemons can take it at once. */
export const RETRY_AFTER_LEAVING_MS = 50

/** Options of {@linkcode Refusal}. */
export interface RefusalOptions {
  status: 400 | 401 | 404 | 408 | 413 | 429 | 431 | 503
  /** Delay after which the caller should retry, in milliseconds; undefined if it should not. */
  retryAfterMs?: number
  /** Client account that the refusal concerns. */
  account?: string
  /** Class of the request, if its route is known. */
  cls?: string
  /** Cost of the request and what was left of the account's quota, in the quota's unit. */
  quota?: { cost: number, room: number }
  /** Bytes of the body for which there was no room. */
  bodyBytes?: number
}

/** Thrown when a request is refused; carries the response's status and the details for the log. */
export class Refusal extends Error {
  override name = 'Refusal'
  readonly status: number
  readonly retryAfterMs: number | undefined
  readonly account: string | undefined
  readonly cls: string | undefined
  readonly quota: { cost: number, room: number } | undefined
  readonly bodyBytes: number | undefined

  constructor (why: string, options: RefusalOptions) {
    super(`Cannot take request: ${why}`)
    this.status = options.status
    this.retryAfterMs = options.retryAfterMs
    this.account = options.account
    this.cls = options.cls
    this.quota = options.quota
    this.bodyBytes = options.bodyBytes
  }
}
