/** A request that is turned away before anything of it ran. */

/** Options of {@linkcode Refusal}. */
export interface RefusalOptions {
  status: 400 | 401 | 404 | 408 | 413 | 429 | 431 | 503
  /** When the caller should come back, in milliseconds; undefined when it should not. */
  retryAfterMs?: number
  /** The client account, where the refusal has to do with it. */
  account?: string
  /** Class of the request, where its route is known. */
  cls?: string
  /** What the request costs of the account's quota, and what was left of it, in the quota's unit. */
  quota?: { cost: number, room: number }
}

/** Says why a request is refused. */
export class Refusal extends Error {
  override name = 'Refusal'
  readonly status: number
  readonly retryAfterMs: number | undefined
  readonly account: string | undefined
  readonly cls: string | undefined
  readonly quota: { cost: number, room: number } | undefined

  constructor (why: string, options: RefusalOptions) {
    super(`Cannot take request: ${why}`)
    this.status = options.status
    this.retryAfterMs = options.retryAfterMs
    this.account = options.account
    this.cls = options.cls
    this.quota = options.quota
  }
}
