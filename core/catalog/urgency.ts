/** Which work goes first at a pool, by the ranks that operators gave. */
import type { PoolName } from '../ids/index.ts'
import type { WorkClass } from '../work/index.ts'
import type { Account, Route } from './catalog.ts'

/**
 * Ranks of one catalog's work.
 *
 * Only streams are told apart: their prompts are read one after the other, and a long one delays all behind it. Plain calls of one endpoint have room
 * or none.
 */
export class Urgency {
  /** The first rank of the streams that each pool serves. */
  readonly #first = new Map<PoolName, number>()

  constructor (routes: readonly Route[]) {
    for (const { cls, pools } of routes) {
      if (!cls.streaming) continue
      for (const { pool } of pools) this.#first.set(pool, Math.min(cls.priority, this.#first.get(pool) ?? Infinity))
    }
  }

  /** The class of a request, urgent if it is of the first rank at a pool; an account's rank goes before its classes'. */
  classOf ({ cls, pools }: Route, account: Account | undefined): WorkClass {
    if (!cls.streaming) return cls
    const rank = account?.priority ?? cls.priority
    const urgent = pools.some(({ pool }) => rank <= (this.#first.get(pool) ?? rank))
    return urgent === cls.urgent ? cls : { ...cls, urgent }
  }
}
