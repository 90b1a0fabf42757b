/** Settings of a proxy daemon. */
import type { FailureDomain, Region } from '../../core/ids/index.ts'
import type { ExposureLimit } from '../../core/rollout/index.ts'
import type { QuotaTolerance } from '../../core/quota/index.ts'
import type { LapsedEntriesOptions } from '../../core/registry/index.ts'

/** An address to listen on. */
export interface SocketAddress { host: string, port: number }

/** Settings of one daemon. */
export interface ProxySettings {
  /** Unique among the daemons and stable across restarts. */
  name: string
  failureDomain: FailureDomain
  /** Region of each failure domain; empty if the deployment names none, which counts as one region. */
  regions: ReadonlyMap<FailureDomain, Region>
  /** Memory that the process may use, in bytes; undefined if what it holds is not bounded. */
  memoryLimitBytes?: number | undefined
  /** Largest number of callers' connections at once; further ones are closed unread. Default: not limited. */
  maxCallers?: number | undefined
  /** True if the requests that all daemons have at an engine must stay within its memory, where the configuration names it. Default: false. */
  boundsEngineMemory?: boolean | undefined
  /** Whether new streams that cannot be in time are refused while prompts wait at the endpoints. Default: they are not. */
  refusesLateStreams?: boolean | undefined
  /** CPU cores available to this daemon; undefined if the host does not report them. */
  cores?: number | undefined
  /** True during the first start of the whole deployment, when no caller can have sent a request yet. */
  firstStart: boolean
  listen: { callers: SocketAddress, readiness: SocketAddress, peers: SocketAddress }
  /** Address of the {@linkcode MonitorServer}; undefined disables it. */
  monitor?: SocketAddress | undefined
  /** Addresses of a few other daemons to join through; some may no longer exist. */
  seeds: readonly string[]
  /** Secret shared by all daemons of one deployment. */
  peerSecret: string
  /** Time between SIGTERM and SIGKILL, in milliseconds. */
  graceMs: number
  /** Retry budget of all daemons in a window: a fraction of the requests (`ratio`) plus a fixed number (`extra`). */
  repeats: { ratio: number, extraRetries: number, windowMs: number }
  quota: QuotaTolerance
  /** Time within which two holders of a lease must not act alternately, in milliseconds. */
  leaseMs: number
  /** True if the platform refuses orders whose fencing number is lower than one it has seen. */
  ordersFenced: boolean
  /** Timing of endpoint entries that vanish from the registry and may come back. */
  registry: Required<LapsedEntriesOptions>
  /** Limit on callers' exposure to a new version; undefined if the platform rolls out no versions and all versions are treated alike. */
  rollouts: ExposureLimit | undefined
  usage: { windowMs: number, dueMs: number }
}
