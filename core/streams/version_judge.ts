/** Conclusion about where a stream began, from what several daemons know. */
import type { DaemonId, PoolName } from '../ids/index.ts'
import type { PoolConfirmation } from './pool_history.ts'
import type { SeenVersions } from './pool_versions.ts'
import type { StreamVersion } from './stream_version.ts'

/** What one daemon knows of a stream. */
export interface VersionEvidence {
  /** The daemon's record of the stream; undefined if it has none. */
  record: { streamVersion: StreamVersion, daemon: DaemonId } | undefined
  /** Versions that the daemon has seen in the pool within the time for which the stream may have lived. */
  versions: SeenVersions
  /** What a read of the store showed of the pool that began after the stream was resumed; undefined without one. */
  confirmation?: PoolConfirmation | undefined
  /** Time since the registry last answered it, in milliseconds; undefined if it never did, or the daemon is of a release that does not report it. */
  registryAgeMs?: number | undefined
}

/** Where a stream began. `unreachable` if too few answered to tell, daemons or the store; `unknown` if nobody who answered knows. */
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
 * Concludes where a stream began. A record is proof. So is a pool of which the store showed, after the stream was resumed, that it has had one version only for as long as a stream lives: no stream
 * begins at a version that the store does not hold. What daemons have seen only speaks against that, since any of them may have missed something.
 */
export function judgeVersion (evidence: readonly VersionEvidence[], { pool, others, answered }: Inquiry): VersionVerdict {
  const recorded = evidence.find(({ record }) => record !== undefined)?.record
  if (recorded) return { type: 'recorded', ...recorded }
  const confirmations = evidence.flatMap(({ confirmation }) => confirmation ?? [])
  const only = confirmations.every(({ isOnly }) => isOnly) ? confirmations[0] : undefined
  if (pool !== undefined && only?.isOnly === true) {
    const seen = new Set([only.version, ...evidence.flatMap(({ versions }) => versions), ...confirmations.flatMap((each) => (each.isOnly ? [each.version] : []))])
    return seen.size === 1 ? { type: 'only-version', streamVersion: { pool, version: only.version } } : { type: 'unknown' }
  }
  const isUnanswered = (others > 0 && answered === 0) || (pool !== undefined && confirmations.length === 0)
  return { type: isUnanswered ? 'unreachable' : 'unknown' }
}
