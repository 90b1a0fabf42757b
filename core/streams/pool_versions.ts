/** Which versions the endpoints of each pool have had, as one daemon has seen it. */
import type { EndpointVersion, PoolName } from '../ids/index.ts'
import type { EndpointView } from '../routing/index.ts'

/** Versions of a pool that were listed within some time; undefined stands for endpoints that publish none. */
export type SeenVersions = ReadonlyArray<EndpointVersion | undefined>

/** Time for which a version that is not listed any more is remembered, in milliseconds: longer than any stream lives. */
const RETENTION_MS = 600_000

/** Remembers the versions of each pool. */
export class PoolVersions {
  /** When a version was found to be listed no more; undefined while it is listed. */
  readonly #unlistedAtMs = new Map<PoolName, Map<EndpointVersion | undefined, number | undefined>>()

  /**
   * Records the endpoints that are listed now; versions without an endpoint among them are listed no more.
   * @returns True if a pool has a version that was not listed before.
   */
  record (views: readonly Pick<EndpointView, 'pool' | 'version'>[], now: number): boolean {
    let isNew = false
    for (const versions of this.#unlistedAtMs.values()) for (const [version, unlistedAtMs] of versions) versions.set(version, unlistedAtMs ?? now)
    for (const { pool, version } of views) {
      let versions = this.#unlistedAtMs.get(pool)
      if (!versions) this.#unlistedAtMs.set(pool, versions = new Map())
      const unlistedAtMs = versions.get(version)
      isNew ||= !versions.has(version) || (unlistedAtMs !== undefined && unlistedAtMs < now)
      versions.set(version, undefined)
    }
    for (const versions of this.#unlistedAtMs.values()) for (const [version, atMs = now] of versions) if (now - atMs > RETENTION_MS) versions.delete(version)
    return isNew
  }

  /** Versions of a pool that were listed at any time since `sinceMs`. */
  seen (pool: PoolName, sinceMs: number): SeenVersions {
    return [...this.#unlistedAtMs.get(pool) ?? []].filter(([, atMs = Infinity]) => atMs >= sinceMs).map(([version]) => version)
  }
}
