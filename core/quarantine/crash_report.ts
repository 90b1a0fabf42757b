import type { EndpointId, EndpointVersion, Fingerprint, PoolName, Suspect } from '../ids/index.ts'

/** A request that was running on an endpoint when it crashed, with the parts of its prompt. */
export interface CrashedRun {
  request: Fingerprint
  /** When the request was sent to the endpoint, in milliseconds on the daemon's clock. */
  sentAtMs: number
  /** Keys of the parts of its prompt that other requests may share. */
  parts: string[]
}

/** One daemon's knowledge of an endpoint's crash and the requests that were running there. */
export interface CrashReport {
  endpoint: EndpointId
  /** Time of the crash, in milliseconds on the daemon's clock. */
  atMs: number
  /** Requests that were running on the endpoint. */
  aboard: Fingerprint[]
  /** Suspects among them that an endpoint has answered since, which therefore did not cause the crash. */
  cleared: Suspect[]
  /** Where the endpoint ran. Default: not known, and the crash is attributed to whole requests only. */
  place?: CrashPlace | undefined
  /** Those of the requests whose prompts have parts. Default: none. */
  runs?: CrashedRun[] | undefined
}

/** Where a crashed endpoint ran. */
export interface CrashPlace {
  pool: PoolName
  version?: EndpointVersion | undefined
  /** Number of endpoints of the pool at the time. */
  poolSize: number
}
