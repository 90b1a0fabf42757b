/** Tasks that one daemon at a time performs for the whole deployment: ordering endpoints and reporting usage. */
import type { AccountId, FailureDomain, PoolName } from '../core/ids/index.ts'

/** Daemon that issues an order, and the fencing number of its lease. */
export interface DutyHolder {
  name: string
  /** Increases whenever the holder changes. An order with a lower number than one already seen is refused. */
  fencing: number
  /** Aborts when the daemon may not act as the holder any more: a call that was not sent yet must not be. Default: never. */
  signal?: AbortSignal
}

/** Desired number of endpoints of one kind for a pool in a failure domain. States a target, not a change. */
export interface EndpointOrder {
  pool: PoolName
  failureDomain: FailureDomain
  reclaimable: boolean
  count: number
}

/** Number of requests that started in one window, for each client account. */
export interface UsageReport {
  /** Index of the window, counted from the epoch. */
  window: number
  counts: Record<AccountId, number>
}

/** Receives orders and reports. Methods throw {@linkcode DutyError}. */
export interface Duties {
  order (order: EndpointOrder, by: DutyHolder): Promise<void>
  report (report: UsageReport, by: DutyHolder): Promise<void>
}

/**
 * Why a call failed. `refused`: a higher fencing number was seen, or no such endpoints are available; `not-done`: the call was rejected and
 * may be sent again; `unsure`: the call may still take effect, even seconds later.
 */
export type DutyFailure = 'refused' | 'not-done' | 'unsure'

/** Error of a failed {@linkcode Duties} call. */
export class DutyError extends Error {
  override name = 'DutyError'
  readonly failure: DutyFailure

  constructor (what: string, options: { failure: DutyFailure, cause?: unknown }) {
    super(what, { cause: options.cause })
    this.failure = options.failure
  }
}
