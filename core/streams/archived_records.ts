/** Stored form of records of where streams began. */
import { as, type DaemonId, type EndpointVersion, type PoolName, type StreamKey } from '../ids/index.ts'
import { MAX_VERSION_RECORDS, type VersionRecord } from './version_records.ts'

/** Streams of one pool, version and daemon: the longest of their remaining lives in milliseconds, and their keys separated by spaces. */
type ArchivedStreams = [pool: PoolName, version: EndpointVersion | null, daemon: DaemonId, lifeMs: number, keys: string]

/** Maximum size of a stored value, in bytes: half of what the store takes for one object. */
export const MAX_ARCHIVED_BYTES = 1 << 19
/** Maximum length of a pool's name, version or daemon; records with longer ones are not stored. */
const MAX_NAME_LENGTH = 200
/** Maximum length of a stream's key that is read. */
const MAX_KEY_LENGTH = 64
/** Longest life of a record that is read, in milliseconds: that of a stream. */
const MAX_LIFE_MS = 600_000

/** Result of {@linkcode encodeArchive}. */
export interface EncodedArchive {
  /** JSON text. */
  value: string
  /** Number of records in it. */
  count: number
}

/** Encodes the records that have not expired; the newest ones if not all have room in `maxBytes` (default {@linkcode MAX_ARCHIVED_BYTES}). */
export function encodeArchive (records: Iterable<readonly [StreamKey, VersionRecord]>, now: number, { maxBytes = MAX_ARCHIVED_BYTES }: { maxBytes?: number } = {}): EncodedArchive {
  const groups = new Map<string, { head: [PoolName, EndpointVersion | null, DaemonId], lifeMs: number, keys: StreamKey[] }>()
  let bytes = 0
  let count = 0
  for (const [key, { streamVersion: { pool, version }, daemon, expiresAtMs }] of [...records].reverse()) {
    if (expiresAtMs <= now || [pool, version ?? '', daemon].some(({ length }) => length > MAX_NAME_LENGTH)) continue
    const head: [PoolName, EndpointVersion | null, DaemonId] = [pool, version ?? null, daemon]
    const id = JSON.stringify(head)
    const group = groups.get(id) ?? { head, lifeMs: 0, keys: [] }
    // A group takes its name, the longest life and punctuation besides the keys.
    bytes += key.length + 1 + (group.keys.length === 0 ? Buffer.byteLength(id) + 16 : 0)
    if (bytes > maxBytes) break
    group.lifeMs = Math.max(group.lifeMs, Math.ceil(expiresAtMs - now))
    group.keys.push(key)
    groups.set(id, group)
    count++
  }
  const streams = [...groups.values()].map(({ head, lifeMs, keys }): ArchivedStreams => [...head, lifeMs, keys.reverse().join(' ')])
  return { value: JSON.stringify({ streams }), count }
}

/** Decodes a stored value. The lives of records count from `now`, whenever they were stored. What other programs wrote is skipped, as is all beyond {@linkcode MAX_VERSION_RECORDS} records. */
export function decodeArchive (value: string, now: number): Map<StreamKey, VersionRecord> {
  const records = new Map<StreamKey, VersionRecord>()
  const streams = (parseJson(value) as { streams?: unknown } | null)?.streams
  if (!Array.isArray(streams)) return records
  for (const group of streams) {
    if (!isArchived(group)) continue
    const [pool, version, daemon, lifeMs, keys] = group
    const record = { streamVersion: { pool, version: version ?? undefined }, daemon, expiresAtMs: now + Math.min(lifeMs, MAX_LIFE_MS) }
    for (const key of keys.split(' ')) {
      if (records.size >= MAX_VERSION_RECORDS) return records
      if (key.length > 0 && key.length <= MAX_KEY_LENGTH) records.set(as<StreamKey>(key), record)
    }
  }
  return records
}

/** Merges stored records. A stream with several versions, which no daemon writes, is left out: where it began is not known. */
export function mergeArchives (archives: ReadonlyArray<ReadonlyMap<StreamKey, VersionRecord>>): Map<StreamKey, VersionRecord> {
  const merged = new Map<StreamKey, VersionRecord>()
  const conflicting = new Set<StreamKey>()
  for (const [key, record] of archives.flatMap((archive) => [...archive])) {
    const { pool, version } = merged.get(key)?.streamVersion ?? record.streamVersion
    if (pool !== record.streamVersion.pool || version !== record.streamVersion.version) conflicting.add(key)
    merged.set(key, record)
  }
  for (const key of conflicting) merged.delete(key)
  return merged
}

function parseJson (value: string): unknown {
  try {
    return JSON.parse(value)
  } catch {
    return null
  }
}

function isArchived (group: unknown): group is ArchivedStreams {
  if (!Array.isArray(group)) return false
  const [pool, version, daemon, lifeMs, keys] = group as unknown[]
  return isName(pool) && (version === null || isName(version)) && isName(daemon) && typeof lifeMs === 'number' && lifeMs > 0 && typeof keys === 'string'
}

function isName (value: unknown): value is string {
  return typeof value === 'string' && value.length <= MAX_NAME_LENGTH
}
