/** Creates the dispatcher of a daemon that shares its endpoints with other daemons. */
import type { RequestQueue } from '../../core/admission/index.ts'
import { homeEndpoint, PrefixIndex, TargetRouter, type EndpointView, type Hash32, type Random } from '../../core/routing/index.ts'
import type { Topology } from '../../core/topology/index.ts'
import type { EndpointTable } from '../endpoints/endpoint_table.ts'
import { Dispatcher } from './dispatcher.ts'
import type { CanaryGate, EndpointLimiter, EndpointMemory, Placement, RegionCrossing, RequestWays } from './placement.ts'
import { RegionRouting } from './region_routing.ts'
import type { RoomGate } from './room_gate.ts'

/** Options of {@linkcode createSharedDispatcher}. */
export interface SharedDispatcherOptions {
  table: EndpointTable
  hash: Hash32
  random: Random
  /** Distances from this daemon to the endpoints. */
  topology: Pick<Topology, 'roundTripMs' | 'isLocal' | 'regionOf' | 'hasRegions'>
  /** Decides which requests may be sent to another region. Default: all may. */
  crossing?: RegionCrossing | undefined
  /** Returns the number of daemons that share the endpoints, including this one. */
  sharers (): number
  /** Selects requests for canary endpoints. Default: no version is on trial. */
  canaries?: CanaryGate | undefined
  /** Limits the rate of requests to some endpoints. Default: none has a limit. */
  limits?: EndpointLimiter | undefined
  /** Keeps requests within the memory of endpoints. Default: it is not bounded. */
  memory?: EndpointMemory | undefined
  /** Finds other ways for requests to endpoints that this daemon cannot reach. Default: all endpoints can be reached. */
  ways?: RequestWays | undefined
  /** Refuses requests while there is too little room for all. Default: none. */
  gate?: RoomGate | undefined
  /** Creates the queue of a pool. Default: that of {@linkcode Dispatcher}. */
  queue?: (() => RequestQueue<Placement>) | undefined
}

/** Time after which an unused prompt prefix has probably been evicted from an endpoint's cache, in milliseconds. */
const PREFIX_EXPIRES_MS = 15_000

/** Creates a dispatcher that routes by prefix cache, predicted first-token time and distance. */
export function createSharedDispatcher ({ table, hash, random, topology, crossing, sharers, canaries, limits, memory, ways, gate, queue }: SharedDispatcherOptions): Dispatcher {
  const isLocal = ({ failureDomain }: EndpointView) => topology.isLocal(failureDomain)
  const roundTripMs = ({ failureDomain }: EndpointView) => topology.roundTripMs(failureDomain)
  const routing = {
    random,
    sharers,
    roundTripMs: (view: EndpointView) => (isLocal(view) ? roundTripMs(view) : 0),
    crossingMs: (view: EndpointView) => (isLocal(view) ? 0 : roundTripMs(view))
  }
  return new Dispatcher({
    table,
    random,
    prefixes: new PrefixIndex({ expiresMs: PREFIX_EXPIRES_MS }),
    home: (parts, candidates) => homeEndpoint(parts, candidates, hash),
    ...(canaries && { canaries }),
    ...(limits && { limits }),
    ...(memory && { memory }),
    ...(ways && { ways }),
    ...(gate && { gate }),
    ...(queue && { queue }),
    ...(topology.hasRegions && { regions: new RegionRouting({ topology, crossing, random, thorough: new TargetRouter({ ...routing, rounds: Infinity }) }) }),
    router: new TargetRouter(routing)
  })
}
