/** Keeps engines in the state that is wanted of them, by orders that state it whole. */
import type { EndpointId } from '../../core/ids/index.ts'
import { AttemptError } from '../../core/outcome/index.ts'
import type { EngineOrder, ModelEngine } from '../../endpoints/index.ts'

/** What an engine should hold, without the number of the order. */
export type WantedState = Omit<EngineOrder, 'fencing'>

/** Options of {@linkcode OrderKeeper}. */
export interface OrderKeeperOptions {
  engine (id: EndpointId): ModelEngine
  /** The fencing number to order with, while this daemon holds the lease. */
  fencing (): number | undefined
  /** Called for each order that was given, for the audit trail. */
  onOrder?: (id: EndpointId, order: EngineOrder) => void
}

/**
 * Compares what each engine holds with what is wanted and orders the difference away.
 *
 * Some engines ignore fencing numbers: an order of a former holder, sent before it was paused and arriving late, then undoes the present
 * holder's. Nothing prevents that; reading back finds it at the next round, and the order is repeated. Since an order states the whole
 * wanted state, repeating one does no harm.
 */
export class OrderKeeper {
  readonly #options: OrderKeeperOptions

  constructor (options: OrderKeeperOptions) {
    this.#options = options
  }

  /** One round over all engines; returns how many needed an order. */
  async reconcile (wanted: ReadonlyMap<EndpointId, WantedState>): Promise<number> {
    let ordered = 0
    for (const [id, state] of wanted) if (await this.#repair(id, state)) ordered++
    return ordered
  }

  async #repair (id: EndpointId, state: WantedState): Promise<boolean> {
    const engine = this.#options.engine(id)
    try {
      const held = await engine.orders()
      const fencing = this.#options.fencing()
      if (fencing === undefined || (held && isSame(held, state))) return false
      const order: EngineOrder = { ...state, fencing }
      await engine.order(order)
      this.#options.onOrder?.(id, order)
      return true
    } catch (err) {
      // An engine that refuses or does not answer is looked at again in the next round.
      if (err instanceof AttemptError) return false
      throw err
    }
  }
}

function isSame (held: EngineOrder, wanted: WantedState): boolean {
  return held.role === wanted.role && [...held.models].sort().join() === [...wanted.models].sort().join()
}
