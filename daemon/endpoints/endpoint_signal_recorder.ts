/** The one place where what endpoints say about themselves in their answers takes effect. */
import type { EndpointView } from '../../core/routing/index.ts'
import type { EndpointSignals, InvalidSignal } from '../../endpoints/index.ts'
import type { EndpointLimits } from '../limits/endpoint_limits.ts'
import { log } from '../log/index.ts'
import type { Metrics } from '../metrics.ts'
import type { EndpointTable } from './endpoint_table.ts'

/** Options of {@linkcode EndpointSignalRecorder}. */
export interface EndpointSignalRecorderOptions {
  table: EndpointTable
  limits: Pick<EndpointLimits, 'answered'>
  metrics: Pick<Metrics, 'endpointSignals'>
}

/** Passes the signals of each answer on to what depends on them. */
export class EndpointSignalRecorder {
  readonly #options: EndpointSignalRecorderOptions

  constructor (options: EndpointSignalRecorderOptions) {
    this.#options = options
  }

  /**
   * Applies the signals of one answer.
   * @param sentAtMs When the request was sent, in milliseconds on the steady clock.
   */
  record (view: EndpointView, { limit, leaving }: EndpointSignals, sentAtMs: number): void {
    this.#options.limits.answered(view, limit ?? { perS: undefined }, sentAtMs)
    if (leaving === true) this.#recordLeaving(view)
    else if (leaving) this.#refuse(view, 'leaving', leaving)
  }

  #recordLeaving ({ id, leavingAtMs }: EndpointView): void {
    const { table, metrics } = this.#options
    if (leavingAtMs === undefined) metrics.endpointSignals.inc({ signal: 'leaving' })
    table.announcedLeaving(id)
  }

  #refuse ({ id }: EndpointView, signal: string, { invalid }: InvalidSignal): void {
    this.#options.metrics.endpointSignals.inc({ signal: 'refused' })
    log('endpoint-signal-refused', { endpoint: id, signal, value: invalid })
  }
}
