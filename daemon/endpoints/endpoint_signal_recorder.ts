/** The one place where what endpoints say about themselves in their answers takes effect. */
import type { EndpointId } from '../../core/ids/index.ts'
import type { EndpointView, Random } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { BackOff, EndpointSignals, InvalidSignal } from '../../endpoints/index.ts'
import type { EndpointLimits } from '../limits/endpoint_limits.ts'
import { log } from '../log/index.ts'
import type { Metrics } from '../metrics.ts'
import type { EndpointTable } from './endpoint_table.ts'
import { guarded } from '../tasks/index.ts'

/** Options of {@linkcode EndpointSignalRecorder}. */
export interface EndpointSignalRecorderOptions {
  table: EndpointTable
  metrics: Pick<Metrics, 'endpointSignals'>
  random: Random
  /** Keeps requests within the limits of endpoints. Default: limits are ignored. */
  limits?: Pick<EndpointLimits, 'answered' | 'answeredRejections'>
}

/** Largest part by which a back-off is extended at random, so that daemons which were refused together do not return together. */
const MAX_EXTENSION = 0.1
/** Upper bound of the extension, in milliseconds. */
const MAX_EXTENSION_MS = 500

/** Passes the signals of each answer on to what depends on them. */
export class EndpointSignalRecorder {
  readonly #options: EndpointSignalRecorderOptions
  readonly #timers = new Map<EndpointId, NodeJS.Timeout>()
  /** Called when an endpoint may get work again after a back-off. */
  onRoom: () => void = () => {}

  constructor (options: EndpointSignalRecorderOptions) {
    this.#options = options
  }

  /** Stops waiting for the end of back-offs. */
  stop (): void {
    for (const timer of this.#timers.values()) clearTimeout(timer)
    this.#timers.clear()
  }

  /**
   * Applies the signals of one answer. Those of an endpoint that is no longer listed are ignored.
   * @param sentAtMs When the request was sent, in milliseconds on the steady clock.
   */
  record (endpoint: EndpointId, { limit, rejections, leaving, backOff }: EndpointSignals, sentAtMs: number): void {
    const { table, limits } = this.#options
    const view = table.get(endpoint)
    if (!view) return
    limits?.answered(view, limit ?? { perS: undefined }, sentAtMs)
    if (rejections && 'invalid' in rejections) this.#refuse(view, 'rejections', rejections)
    else limits?.answeredRejections(view, rejections?.perS, sentAtMs)
    if (leaving === true) this.#recordLeaving(view)
    else if (leaving) this.#refuse(view, 'leaving', leaving)
    if (backOff && 'invalid' in backOff) this.#refuse(view, 'back-off', backOff)
    else if (backOff) this.#recordBackOff(view, backOff)
  }

  #recordLeaving ({ id, leavingAtMs }: EndpointView): void {
    const { table, metrics } = this.#options
    if (leavingAtMs === undefined) metrics.endpointSignals.inc({ signal: 'leaving' })
    table.announcedLeaving(id)
  }

  #recordBackOff ({ id, pool }: EndpointView, { forMs }: BackOff): void {
    const { table, metrics, random } = this.#options
    const extendedMs = forMs + Math.min(MAX_EXTENSION_MS, forMs * MAX_EXTENSION) * random()
    if (table.backOff(id, steadyNow() + extendedMs) !== 'began') return
    metrics.endpointSignals.inc({ signal: 'back-off' })
    log('endpoint-backs-off', { endpoint: id, pool, forMs: Math.round(extendedMs) })
    this.#waitForEnd(id)
  }

  /** Waits until the back-off has ended, which may have been extended meanwhile. */
  #waitForEnd (id: EndpointId): void {
    clearTimeout(this.#timers.get(id))
    this.#timers.delete(id)
    const view = this.#options.table.get(id)
    if (!view) return
    const leftMs = (view.backOffUntilMs ?? 0) - steadyNow()
    if (leftMs > 0) {
      this.#timers.set(id, setTimeout(guarded('endpoint-signal-recorder', () => this.#waitForEnd(id)), Math.ceil(leftMs)))
      return
    }
    log('endpoint-back-off-ended', { endpoint: id, pool: view.pool })
    this.onRoom()
  }

  #refuse ({ id }: EndpointView, signal: string, { invalid }: InvalidSignal): void {
    this.#options.metrics.endpointSignals.inc({ signal: 'refused' })
    log('endpoint-signal-refused', { endpoint: id, signal, value: invalid })
  }
}
