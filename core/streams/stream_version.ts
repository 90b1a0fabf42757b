/** The rule for where a stream may continue. */
import type { EndpointVersion, PoolName } from '../ids/index.ts'
import type { EndpointView } from '../routing/index.ts'

/** Where the first event of a stream came from. */
export interface StreamVersion {
  pool: PoolName
  /** Software version of the endpoint; undefined if its pool publishes none. */
  version: EndpointVersion | undefined
}

/**
 * Returns true if a stream may continue at an endpoint.
 *
 * What two versions write does not fit together, and endpoints do not check it. Every choice of an endpoint and every attempt applies this rule.
 * @param streamVersion Undefined while the caller has no event of the stream: it may still begin anywhere.
 * @example `mayContinueAt({ pool, version }, view)`
 */
export function mayContinueAt (streamVersion: StreamVersion | undefined, view: Pick<EndpointView, 'pool' | 'version'>): boolean {
  return streamVersion === undefined || (view.pool === streamVersion.pool && view.version === streamVersion.version)
}
