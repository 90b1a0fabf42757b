/** What one daemon at a time does for the whole deployment: orders endpoints and reports use. */
import type { AccountId, FailureDomain, PoolName } from '../core/ids/index.ts'

/** Who gives an order, and under which lease. */
export interface DutyHolder {
  name: string
  /** Grows whenever the holder changes; an order with a lower one than was seen before is refused. */
  fencing: number
}

/** How many endpoints a pool shall have in a failure domain, of one kind: the state wanted, not a step. */
export interface EndpointOrder {
  pool: PoolName
  failureDomain: FailureDomain
  reclaimable: boolean
  count: number
}

/** Requests of each client account that began to run in one window. */
export interface UsageReport {
  /** Number of the window since the epoch. */
  window: number
  counts: Record<AccountId, number>
}

/** Takes orders and reports. Methods throw {@linkcode DutyError}. */
export interface Duties {
  order (order: EndpointOrder, by: DutyHolder): Promise<void>
  report (report: UsageReport, by: DutyHolder): Promise<void>
}

/**
 * Why a call was not carried out. `refused`: a higher fencing number was seen, or there are no such endpoints to be had; `not-done`: it was
 * turned away and may be sent again; `unsure`: it may be carried out yet, even seconds later.
 */
export type DutyFailure = 'refused' | 'not-done' | 'unsure'

/** A call for a duty failed. */
export class DutyError extends Error {
  override name = 'DutyError'
  readonly failure: DutyFailure

  constructor (what: string, options: { failure: DutyFailure, cause?: unknown }) {
    super(what, { cause: options.cause })
    this.failure = options.failure
  }
}
