/** Finds the route of a request by host name and longest path prefix. */
import type { Route } from './catalog.ts'

/** Routes of one catalog, ready for look-up. */
export class RouteTable {
  readonly #byHost = new Map<string, Route[]>()

  constructor (routes: readonly Route[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase()
      const known = this.#byHost.get(host) ?? []
      known.push(route)
      this.#byHost.set(host, known)
    }
    for (const known of this.#byHost.values()) known.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
  }

  /**
   * Finds the route with the longest prefix that begins the path.
   * @param host Host name as the request has it; a port is passed over.
   * @param path Path without its query.
   * @example `new RouteTable(catalog.routes).find('claims.example:80', '/review/17')`
   */
  find (host: string, path: string): Route | undefined {
    const name = host.replace(/:\d*$/, '').toLowerCase()
    return this.#byHost.get(name)?.find((route) => path.startsWith(route.pathPrefix))
  }
}
