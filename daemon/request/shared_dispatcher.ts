/** Creates the dispatcher of a daemon that shares its endpoints with other daemons. */
import type { FailureDomain } from '../../core/ids/index.ts'
import { homeEndpoint, PrefixIndex, TargetRouter, type Hash32, type Random } from '../../core/routing/index.ts'
import type { EndpointTable } from '../endpoints/endpoint_table.ts'
import { Dispatcher } from './dispatcher.ts'
import type { CanaryGate, EndpointLimiter, RequestWays } from './placement.ts'

/** Options of {@linkcode createSharedDispatcher}. */
export interface SharedDispatcherOptions {
  table: EndpointTable
  hash: Hash32
  random: Random
  /** Failure domain that this daemon runs in. */
  failureDomain: FailureDomain
  /** Returns the number of daemons that share the endpoints, including this one. */
  sharers (): number
  /** Selects requests for canary endpoints. Default: no version is on trial. */
  canaries?: CanaryGate | undefined
  /** Limits the rate of requests to some endpoints. Default: none has a limit. */
  limits?: EndpointLimiter | undefined
  /** Finds other ways for requests to endpoints that this daemon cannot reach. Default: all endpoints can be reached. */
  ways?: RequestWays | undefined
}

/** Round-trip time between two failure domains of a region, in milliseconds. The router weighs it against queueing time. */
const CROSS_DOMAIN_RTT_MS = 3
/** Time after which an unused prompt prefix has probably been evicted from an endpoint's cache, in milliseconds. */
const PREFIX_EXPIRES_MS = 15_000

/** Creates a dispatcher that routes by prefix cache, predicted first-token time and distance. */
export function createSharedDispatcher ({ table, hash, random, failureDomain, sharers, canaries, limits, ways }: SharedDispatcherOptions): Dispatcher {
  return new Dispatcher({
    table,
    random,
    prefixes: new PrefixIndex({ expiresMs: PREFIX_EXPIRES_MS }),
    home: (parts, candidates) => homeEndpoint(parts, candidates, hash),
    ...(canaries && { canaries }),
    ...(limits && { limits }),
    ...(ways && { ways }),
    router: new TargetRouter({ random, sharers, roundTripMs: (view) => (view.failureDomain === failureDomain ? 0 : CROSS_DOMAIN_RTT_MS) })
  })
}
