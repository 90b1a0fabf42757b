/** The part of the platform's cloud API that the daemons use: listing, starting and stopping hosts, and reclaim notices. */
import type { EndpointId, EndpointVersion, FailureDomain, HostId, PoolName } from '../core/ids/index.ts'
import type { EndpointSpeed } from '../core/routing/index.ts'
import type { StoreVersion } from '../core/store_version/index.ts'

/** A host and its endpoint as the host list shows them, which lags behind the actual state. */
export interface ListedHost {
  hostId: HostId
  hostClass: string
  failureDomain: FailureDomain
  reclaimable: boolean
  pricePerHour: number
  state: 'live' | 'leaving'
  /** Registry version at which the entry was written; undefined for a list without versions. */
  version?: StoreVersion
  endpoint: {
    id: EndpointId
    /** The platform's name for the endpoint, which stays the same when it restarts. Default: its id, if each start has its own id. */
    name?: string
    /** Start time in milliseconds since the epoch; orders the starts of one name. Default 0. */
    startedAtMs?: number
    pool: PoolName
    /** Version of the endpoint's software. Default: unknown. */
    version?: EndpointVersion
    address: string
    speed: EndpointSpeed
    /** Initial estimate of the milliseconds to a first token or plain answer, without queueing and prefill. Default 0. */
    firstMs?: number
    /** True for an endpoint that publishes no speeds; they are estimated from its first tokens or answers. Default false. */
    learnsPace?: boolean
  }
}

/** Announces that the platform will take hosts away at a given time. */
export interface ReclaimNotice {
  /** Increases with each notice. */
  serial: number
  hosts: HostId[]
  /** Milliseconds since the epoch. */
  goneAtMs: number
}

/** Properties of a host to start. */
export interface HostSpec { hostClass: string, failureDomain: FailureDomain, pool: PoolName, reclaimable: boolean }

/** A kind of host that the cloud offers, and its current price. */
export interface CloudOffer { hostClass: string, failureDomain: FailureDomain, reclaimable: boolean, pricePerHour: number, speed: EndpointSpeed }

/** Client of the cloud API. Methods throw {@linkcode CloudError}. */
export interface Cloud {
  hosts (): Promise<ListedHost[]>
  offers (): Promise<CloudOffer[]>
  /** Waits up to `waitMs` for notices with a serial greater than `after`. */
  notices (after: number, waitMs: number): Promise<ReclaimNotice[]>
  start (wanted: HostSpec): Promise<HostId>
  stop (host: HostId): Promise<void>
}

/** Error of a failed cloud API call; `refused` is true when the cloud has no such host available. */
export class CloudError extends Error {
  override name = 'CloudError'
  readonly refused: boolean

  constructor (what: string, options: { refused: boolean, cause?: unknown }) {
    super(what, { cause: options.cause })
    this.refused = options.refused
  }
}
