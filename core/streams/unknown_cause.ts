/** Why it could not be found out where a stream began. */
import type { VersionEvidence, VersionVerdict } from './version_judge.ts'

/**
 * Why a stream cannot go on. `store-not-read`: no daemon that answered has a record, and the store could not be read for one; `unnamed`: its caller does not name it, and its
 * pool is not certain to have one version; `not-joined`: this daemon has no contact with others yet; `no-answer`: too few daemons answered, or the store did not;
 * `several-versions`: there is no record, and the pool has had several versions; `not-confirmed`: there is no record, and the store does not show that the pool has had one version.
 */
export type UnknownCause = 'unnamed' | 'store-not-read' | 'not-joined' | 'no-answer' | 'several-versions' | 'not-confirmed'

/** Returns why a verdict does not say where a stream began; undefined if it does. */
export function causeOfUnknown (verdict: VersionVerdict, evidence: readonly VersionEvidence[], { isNamed, isJoined, isStoreRead }: { isNamed: boolean, isJoined: boolean, isStoreRead: boolean }): UnknownCause | undefined {
  if ('streamVersion' in verdict) return undefined
  if (isNamed && !isStoreRead) return 'store-not-read'
  if (!isJoined) return 'not-joined'
  if (verdict.type === 'unreachable') return 'no-answer'
  if (!isNamed) return 'unnamed'
  return new Set(evidence.flatMap(({ versions }) => versions)).size > 1 ? 'several-versions' : 'not-confirmed'
}
