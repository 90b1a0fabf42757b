/** Endpoint entries of a platform's registry. */
import type { EndpointId, EndpointVersion, FailureDomain, PoolName } from '../../core/ids/index.ts'

/** One entry of the registry, decoded. */
export interface ListedEndpoint {
  /** Identifies this start of the endpoint. */
  id: EndpointId
  /** Name that the platform gives the endpoint; the same after a restart. */
  name: string
  /** Start time, in milliseconds since the epoch; 0 on platforms that give each start a new name. */
  startedAtMs: number
  pool: PoolName
  /** Software version; undefined when the endpoint does not report it. */
  version: EndpointVersion | undefined
  /** IP address and port. */
  address: string
  failureDomain: FailureDomain
  /** Maximum number of requests that it processes concurrently. */
  batchSlots: number
  /** Whether it may be reclaimed, along with its whole failure domain. */
  reclaimable: boolean
  /** Set once it is leaving, with the time left, in milliseconds, if known. */
  leaving: { inMs: number | undefined } | undefined
}
