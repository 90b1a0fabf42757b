/** How the departure of an endpoint becomes known, and who is notified of it. */
import type { Departure } from '../../core/registry/index.ts'
import type { EndpointView } from '../../core/routing/index.ts'

/** Source of the information that an endpoint is leaving. Any one is sufficient. */
export type LeavingSignal = 'notice' | 'list' | 'refusal' | 'peer' | 'answer'

/** Called when endpoints are first known to be leaving, and again when a notice or a peer changes the time left. */
export type LeavingListener = (leaving: Array<Departure & { view: EndpointView, signal: LeavingSignal }>) => void
