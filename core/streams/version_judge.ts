/** Conclusion about where a stream began, from what several daemons know. */
import type { DaemonId, PoolName } from '../ids/index.ts'
import type { SeenVersions } from './pool_versions.ts'
import type { StreamVersion } from './stream_version.ts'

/** What one daemon knows of a stream. */
export interface VersionEvidence {
  /** The daemon's record of the stream; undefined if it has none. */
  record: { streamVersion: StreamVersion, daemon: DaemonId } | undefined
  /** Versions that the daemon has seen in the pool within the time for which the stream may have lived. */
  versions: SeenVersions
  /** True if it has watched the pool without a gap for all of that time, and still does. */
  hasWatched: boolean
  /** Time since the registry last answered it, in milliseconds; undefined if it never did, or the daemon is of a release that does not report it. */
  registryAgeMs?: number | undefined
}

/** Where a stream began. `unreachable` if too few daemons answered to tell; `unknown` if nobody who answered knows. */
export type VersionVerdict =
  | { type: 'recorded', streamVersion: StreamVersion, daemon: DaemonId }
  | { type: 'only-version', streamVersion: StreamVersion }
  | { type: 'unknown' }
  | { type: 'unreachable' }

/** Who was asked. */
export interface Inquiry {
  /** The pool that serves the stream's requests; undefined if several do. */
  pool: PoolName | undefined
  /** Number of other daemons in the fleet, and how many of them answered. */
  others: number
  answered: number
}

/**
 * Concludes where a stream began. A record is proof. Without one, only a pool that certainly had a single version all the while is: versions that one daemon alone
 * has seen are no proof while there are others that it cannot ask.
 */
export function judgeVersion (evidence: readonly VersionEvidence[], { pool, others, answered }: Inquiry): VersionVerdict {
  const recorded = evidence.find(({ record }) => record !== undefined)?.record
  if (recorded) return { type: 'recorded', ...recorded }
  if (others > 0 && answered === 0) return { type: 'unreachable' }
  const [version, ...otherVersions] = new Set(evidence.flatMap(({ versions }) => versions))
  const isCertain = otherVersions.length === 0 && evidence.some(({ versions, hasWatched }) => hasWatched && versions.length > 0)
  return pool !== undefined && isCertain ? { type: 'only-version', streamVersion: { pool, version } } : { type: 'unknown' }
}
