/** Creates the view of an endpoint that is listed for the first time. */
import { ChunkIntervalEstimator, noWork, type EndpointView } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { ListedHost } from '../../endpoints/index.ts'
import type { PoolEstimates } from './_pool_estimates.ts'

/** Returns a view without work, with the estimates of its pool. */
export function newView (host: ListedHost, estimates: PoolEstimates): EndpointView {
  const { endpoint } = host
  return {
    id: endpoint.id,
    ...(endpoint.name !== undefined && { name: endpoint.name }),
    hostId: host.hostId,
    pool: endpoint.pool,
    failureDomain: host.failureDomain,
    ...(endpoint.version !== undefined && { version: endpoint.version }),
    address: endpoint.address,
    pricePerHour: host.pricePerHour,
    reclaimable: host.reclaimable,
    speed: endpoint.speed,
    firstMs: endpoint.firstMs ?? 0,
    ...(endpoint.learnsPace === true && { firstTokenModel: estimates.firstTokenOf(endpoint), chunkInterval: new ChunkIntervalEstimator(), poolChunkInterval: estimates.chunkIntervalOf(endpoint.pool) }),
    latencyFactor: 1,
    others: noWork(),
    own: noWork(),
    leavingAtMs: undefined,
    ejectedUntilMs: 0,
    lastActivityAtMs: steadyNow(),
    listedAtMs: steadyNow()
  }
}
