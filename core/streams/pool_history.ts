/** Which versions of a pool's endpoints may have begun streams that still live, as the store holds it. */
import type { EndpointVersion } from '../ids/index.ts'

/** A version of a pool; undefined stands for endpoints that publish none. */
export type HistoryVersion = EndpointVersion | undefined

/** `listed`: streams may begin at the version. `retiring`: none begin there, and some may still live. */
export type HistoryState = 'listed' | 'retiring'

/** Versions of one pool at which streams that still live may have begun. */
export interface PoolHistoryRecord {
  /** Era of the store in which the record was written. In a later one it proves nothing, since what was added to it may be lost. */
  era: number
  versions: ReadonlyMap<HistoryVersion, HistoryState>
  /** True if streams may live that began at versions which the record does not have. */
  hasUnknown: boolean
}

/** What a read of the store shows of a pool. `isOnly` is true if all streams of the pool that still live began at `version`. */
export type PoolConfirmation = { isOnly: true, version: HistoryVersion } | { isOnly: false }

/** Changes to the record of a pool. */
export interface HistoryChange {
  /** Present era of the store. */
  era: number
  /** Versions at which streams may begin. */
  listed: Iterable<HistoryVersion>
  /** Versions that have no endpoint any more. Default: none. */
  retired?: Iterable<HistoryVersion>
  /** Versions at which no stream can have begun that still lives. Default: none. */
  removed?: Iterable<HistoryVersion>
  /** True if no stream lives any more that began at an unknown version. Default false. */
  removesUnknown?: boolean
}

/** Stored form. Names have a prefix, so that a version may be called as anything. */
interface StoredHistory { era: number, versions: Record<string, HistoryState> }

const NO_VERSION_NAME = 'none'
const UNKNOWN_NAME = 'unknown'
const VERSION_PREFIX = 'version='
/** The first era of a store that names its eras: it lacks nothing that was acknowledged before. */
const FIRST_ERA = 1

/** Concludes from a pool's record whether all of its streams began at one version. */
export function confirmationOf (record: PoolHistoryRecord | undefined, era: number): PoolConfirmation {
  if (record?.era !== era || record.hasUnknown || record.versions.size !== 1) return { isOnly: false }
  return { isOnly: true, version: [...record.versions.keys()][0] }
}

/** Returns true if the record allows streams to begin at a version. */
export function isListed (record: PoolHistoryRecord | undefined, { version, era }: { version: HistoryVersion, era: number }): boolean {
  return record?.era === era && record.versions.get(version) === 'listed'
}

/**
 * Returns the record after a change; undefined if that changes nothing.
 *
 * A record that is written anew in an era which follows another one has an unknown version: versions that were added to the earlier one may be lost with their records.
 */
export function changedHistory (record: PoolHistoryRecord | undefined, { era, listed, retired = [], removed = [], removesUnknown = false }: HistoryChange): PoolHistoryRecord | undefined {
  const versions = new Map(record?.versions)
  for (const version of removed) versions.delete(version)
  for (const version of retired) if (versions.has(version)) versions.set(version, 'retiring')
  for (const version of listed) versions.set(version, 'listed')
  const mayLackVersions = record === undefined ? era > FIRST_ERA : record.era !== era
  const changed: PoolHistoryRecord = { era, versions, hasUnknown: mayLackVersions || ((record?.hasUnknown ?? false) && !removesUnknown) }
  return record && encodeHistory(record) === encodeHistory(changed) ? undefined : changed
}

/** Encodes a record for the store. */
export function encodeHistory ({ era, versions, hasUnknown }: PoolHistoryRecord): string {
  const named = [...versions].map(([version, state]) => [version === undefined ? NO_VERSION_NAME : VERSION_PREFIX + version, state] as const)
  if (hasUnknown) named.push([UNKNOWN_NAME, 'retiring'])
  return JSON.stringify({ era, versions: Object.fromEntries(named.sort(([a], [b]) => (a < b ? -1 : 1))) } satisfies StoredHistory)
}

/** Decodes a stored record. One that another program wrote gives a record that proves nothing. */
export function decodeHistory (value: string): PoolHistoryRecord {
  const stored = parseJson(value) as Partial<StoredHistory> | null
  const versions = new Map<HistoryVersion, HistoryState>()
  let hasUnknown = false
  const named = typeof stored?.versions === 'object' && stored.versions !== null ? Object.entries(stored.versions) : []
  for (const [name, state] of named) {
    if (name === NO_VERSION_NAME) versions.set(undefined, state === 'listed' ? 'listed' : 'retiring')
    else if (name.startsWith(VERSION_PREFIX)) versions.set(name.slice(VERSION_PREFIX.length) as EndpointVersion, state === 'listed' ? 'listed' : 'retiring')
    else hasUnknown = true
  }
  const isValid = Number.isSafeInteger(stored?.era) && versions.size + (hasUnknown ? 1 : 0) > 0
  return { era: isValid ? stored!.era! : -1, versions, hasUnknown: hasUnknown || !isValid }
}

function parseJson (value: string): unknown {
  try {
    return JSON.parse(value)
  } catch {
    return null
  }
}
