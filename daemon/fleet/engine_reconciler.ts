/** Reconciles engines with their desired state by orders that contain the complete state. */
import type { EndpointId } from '../../core/ids/index.ts'
import { AttemptError } from '../../core/outcome/index.ts'
import type { EngineOrder, ModelEngine } from '../../endpoints/index.ts'

/** Desired state of an engine: an order without its fencing number. */
export type DesiredState = Omit<EngineOrder, 'fencing'>

/** Options of {@linkcode EngineReconciler}. */
export interface EngineReconcilerOptions {
  engine (id: EndpointId): ModelEngine
  /** Fencing number for orders; undefined while this daemon does not hold the lease. */
  fencing (): number | undefined
  /** Called for each accepted order, for the audit trail. */
  onOrder?: (id: EndpointId, order: EngineOrder) => void
}

/**
 * Compares the state of each engine with its desired state and sends an order where they differ.
 *
 * Some engines ignore fencing numbers, so a delayed order of a former lease holder can overwrite the current holder's. This cannot be prevented;
 * the next round detects it by reading the state back and repeats the order. Orders contain the complete state, so repeating one is safe.
 */
export class EngineReconciler {
  readonly #options: EngineReconcilerOptions

  constructor (options: EngineReconcilerOptions) {
    this.#options = options
  }

  /** Reconciles all engines once; returns how many needed an order. */
  async reconcile (wanted: ReadonlyMap<EndpointId, DesiredState>): Promise<number> {
    let ordered = 0
    for (const [id, state] of wanted) if (await this.#reconcileEngine(id, state)) ordered++
    return ordered
  }

  async #reconcileEngine (id: EndpointId, state: DesiredState): Promise<boolean> {
    const engine = this.#options.engine(id)
    try {
      const current = await engine.orders()
      const fencing = this.#options.fencing()
      if (fencing === undefined || (current && matchesDesired(current, state))) return false
      const order: EngineOrder = { ...state, fencing }
      await engine.order(order)
      this.#options.onOrder?.(id, order)
      return true
    } catch (err) {
      // An engine that rejects the order or does not answer is retried in the next round.
      if (err instanceof AttemptError) return false
      throw err
    }
  }
}

function matchesDesired (held: EngineOrder, wanted: DesiredState): boolean {
  return held.role === wanted.role && [...held.models].sort().join() === [...wanted.models].sort().join()
}
