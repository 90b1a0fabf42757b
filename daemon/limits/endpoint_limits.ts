/** Follows the limits that endpoints name in their answers. */
import { ObservedLimits } from '../../core/endpoint_limits/index.ts'
import type { PoolName } from '../../core/ids/index.ts'
import type { EndpointView } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { AnswerLimit } from '../../endpoints/index.ts'
import { log } from '../log/index.ts'
import type { Metrics } from '../metrics.ts'

/** Options of {@linkcode EndpointLimits}. */
export interface EndpointLimitsOptions {
  metrics: Metrics
}

/** Records the limits that endpoints name, and logs when one begins, changes or ends. */
export class EndpointLimits {
  readonly observed = new ObservedLimits()
  readonly #options: EndpointLimitsOptions

  constructor (options: EndpointLimitsOptions) {
    this.#options = options
  }

  /**
   * Records what an answer says about its endpoint's limit. A value that cannot be read changes nothing.
   * @param sentAtMs When the request was sent, in milliseconds on the steady clock.
   */
  answered ({ id, pool }: Pick<EndpointView, 'id' | 'pool'>, limit: AnswerLimit, sentAtMs: number): void {
    if ('invalid' in limit) return log('endpoint-limit-refused', { endpoint: id, value: limit.invalid, inForce: this.observed.perS(id) })
    const { perS } = limit
    const before = this.observed.perS(id)
    const change = this.observed.observe({ endpoint: id, pool, perS, atMs: perS === undefined ? sentAtMs : steadyNow() })
    if (!change) return
    log('endpoint-limit', { endpoint: id, pool, change, perS, before })
    this.#updateGauge(pool)
  }

  #updateGauge (pool: PoolName): void {
    this.#options.metrics.limitedEndpoints.set({ pool }, this.observed.entries.filter((entry) => entry.pool === pool && entry.perS !== undefined).length)
  }
}
