/** Route lookup by host name and longest path prefix. */
import type { Route } from './catalog.ts'

/** Routes of one catalog, indexed by host name. */
export class RouteTable {
  readonly #byHost = new Map<string, Route[]>()

  constructor (routes: readonly Route[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase()
      const hostRoutes = this.#byHost.get(host) ?? []
      hostRoutes.push(route)
      this.#byHost.set(host, hostRoutes)
    }
    for (const hostRoutes of this.#byHost.values()) hostRoutes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
  }

  /**
   * Returns the route with the longest matching path prefix, or undefined if there is none.
   * @param host Host name of the request; a port is ignored.
   * @param path Path without the query.
   * @example `new RouteTable(catalog.routes).find('claims.example:80', '/review/17')`
   */
  find (host: string, path: string): Route | undefined {
    const name = host.replace(/:\d*$/, '').toLowerCase()
    return this.#byHost.get(name)?.find((route) => path.startsWith(route.pathPrefix))
  }
}
