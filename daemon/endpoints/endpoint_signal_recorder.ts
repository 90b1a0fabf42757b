/** The one place where what endpoints say about themselves in their answers takes effect. */
import type { EndpointView } from '../../core/routing/index.ts'
import type { EndpointSignals } from '../../endpoints/index.ts'
import type { EndpointLimits } from '../limits/endpoint_limits.ts'

/** Options of {@linkcode EndpointSignalRecorder}. */
export interface EndpointSignalRecorderOptions {
  limits: Pick<EndpointLimits, 'answered'>
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
  record (view: EndpointView, { limit }: EndpointSignals, sentAtMs: number): void {
    this.#options.limits.answered(view, limit ?? { perS: undefined }, sentAtMs)
  }
}
