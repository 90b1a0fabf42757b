/** Which pools the streams of a route may have begun in: kept like the versions of a pool, under a name made of the route. */
import { as, type PoolName } from '../ids/index.ts'
import { confirmationOf, type PoolHistoryRecord } from './pool_history.ts'

/** Where requests come in: they belong to the route whose host name and path prefix match. */
export interface RequestOrigin {
  /** Lower case, without a port. */
  host: string
  /** Path without the query. */
  path: string
}

const ROUTE_PREFIX = 'route.'
/** Names that are kept decoded, since each stream is compared with all routes. */
const MAX_DECODED = 10_000
const decoded = new Map<PoolName, string>()

/** Returns the name under which the pools of a route are kept. Encoded, since names are part of paths. */
export function routeKeyOf ({ host, pathPrefix }: { host: string, pathPrefix: string }): PoolName {
  return as<PoolName>(ROUTE_PREFIX + Buffer.from(host.toLowerCase() + pathPrefix).toString('base64url'))
}

/** Returns true for the name of a route, and not that of a pool. */
export function isRouteKey (key: PoolName): boolean {
  return key.startsWith(ROUTE_PREFIX)
}

/** Returns true if requests of an origin belong to a route, or would if no route had a longer prefix. */
export function matchesRoute (key: PoolName, { host, path }: RequestOrigin): boolean {
  return isRouteKey(key) && (host + path).startsWith(decode(key))
}

/** Returns true if the stored histories show that all streams of an origin that still live began in one pool. A route that was added or removed meanwhile counts with the shorter and longer ones. */
export function isOnlyPool (histories: Iterable<readonly [PoolName, { record: PoolHistoryRecord }]>, { pool, origin, era }: { pool: PoolName, origin: RequestOrigin, era: number }): boolean {
  const routes = [...histories].filter(([key]) => matchesRoute(key, origin))
  return routes.length > 0 && routes.every(([, { record }]) => {
    const confirmation = confirmationOf(record, era)
    return confirmation.isOnly && confirmation.version === as(pool)
  })
}

/** Returns the host name and path prefix of a route's name. */
function decode (key: PoolName): string {
  let text = decoded.get(key)
  if (text === undefined) {
    text = Buffer.from(key.slice(ROUTE_PREFIX.length), 'base64url').toString()
    if (decoded.size >= MAX_DECODED) decoded.clear()
    decoded.set(key, text)
  }
  return text
}
