import type { EndpointId, Fingerprint } from '../ids/index.ts'

/** One daemon's knowledge of an endpoint's crash and the requests that were running there. */
export interface CrashReport {
  endpoint: EndpointId
  /** Time of the crash, in milliseconds on the daemon's clock. */
  atMs: number
  /** Requests that were running on the endpoint. */
  aboard: Fingerprint[]
  /** Requests among them that an endpoint has answered since, which therefore did not cause the crash. */
  cleared: Fingerprint[]
}
