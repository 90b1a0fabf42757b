/** Urgency of requests, derived from the priorities set by operators. */
import type { PoolName } from '../ids/index.ts'
import type { WorkClass } from '../work/index.ts'
import type { Account, Route } from './catalog.ts'

/**
 * Determines which requests of a catalog are urgent.
 *
 * Applies to streams only: their prompts are prefilled one after the other, so that a long prompt delays all behind it. Plain calls do not wait for each
 * other; an endpoint either has capacity for them or not.
 */
export class UrgencyClassifier {
  /** Highest priority (lowest number) among the stream classes of each pool. */
  readonly #topPriority = new Map<PoolName, number>()

  constructor (routes: readonly Route[]) {
    for (const { cls, pools } of routes) {
      if (!cls.streaming) continue
      for (const { pool } of pools) this.#topPriority.set(pool, Math.min(cls.priority, this.#topPriority.get(pool) ?? Infinity))
    }
  }

  /** Returns the class of a request, marked urgent if it has the highest priority at one of its pools. The priority of the account overrides that of the class. */
  classify ({ cls, pools }: Route, account: Account | undefined): WorkClass {
    if (!cls.streaming) return cls
    const rank = account?.priority ?? cls.priority
    const urgent = pools.some(({ pool }) => rank <= (this.#topPriority.get(pool) ?? rank))
    return urgent === cls.urgent ? cls : { ...cls, urgent }
  }
}
