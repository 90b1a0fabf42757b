/** Interface of a plain service, which answers each call with one string. */
import type { EndpointSignals } from './attempt.ts'

/** One call to a plain service. */
export interface ServiceCall {
  requestId: string
  input: string
  timeoutMs: number
  /** Called with what the service says about itself when it refuses the call. Default: it is ignored. */
  onSignals? (signals: EndpointSignals): void
}

/** Client of one plain service. Throws {@linkcode AttemptError}. Implementations never retry a call. */
export interface PlainService {
  call (call: ServiceCall): Promise<string>
}
