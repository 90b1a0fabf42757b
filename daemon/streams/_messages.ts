/** Messages between daemons about where streams began. */
import type { DaemonId, EndpointVersion, PoolName, StreamKey } from '../../core/ids/index.ts'
import type { RequestOrigin, VersionRecord, VersionEvidence, StreamVersion } from '../../core/streams/index.ts'

/** Sends records to a daemon that holds them; no reply. */
export const RECORDS_TOPIC = 'stream-versions'
/** Tells the daemon that passes a stream on that its caller resumes it elsewhere; the value is a {@linkcode ResumedMessage}. */
export const RESUMED_TOPIC = 'stream-resumed'
/** The stream, and the number of events that its caller had when it resumed it. */
export type ResumedMessage = [key: StreamKey, from: number]
/** Asks a daemon what it knows of a stream. */
export const FIND_METHOD = 'stream-version'

/** Argument of {@linkcode FIND_METHOD}. */
export interface VersionQuery {
  key: StreamKey | undefined
  pool: PoolName | undefined
  lifeMs: number
  /** Also asks what a read of the store shows of the pool that begins once the query has arrived. Default false. */
  confirm?: boolean
  /** Also asks whether that read shows the pool as the only one of this origin. Default: it does not matter. */
  origin?: RequestOrigin | undefined
}

/** Pool, version, and the key and remaining life of each stream in milliseconds: without field names, since most messages hold one stream. */
export type RecordsMessage = [pool: PoolName, version: EndpointVersion | null, ...streams: Array<StreamKey | number>]

/** Reply to {@linkcode FIND_METHOD}. */
export interface VersionReply {
  record?: { streamVersion: EncodedVersion, daemon: DaemonId }
  versions: Array<EndpointVersion | null>
  /** True if the confirmation takes the query's origin into account, which daemons of earlier releases do not. */
  ofOrigin?: true
  /** Read by daemons of earlier releases, which take true for a proof. */
  hasWatched: false
  confirmation?: { isOnly: true, version: EndpointVersion | null } | { isOnly: false }
  registryAgeMs?: number
}

type EncodedVersion = [pool: PoolName, version: EndpointVersion | null]

/** Encodes records, one message for each version. */
export function encodeRecords (records: ReadonlyArray<readonly [StreamKey, VersionRecord]>, now: number): RecordsMessage[] {
  const messages = new Map<string, RecordsMessage>()
  for (const [key, { streamVersion, expiresAtMs }] of records) {
    const id = JSON.stringify(encodeVersion(streamVersion))
    const message = messages.get(id) ?? encodeVersion(streamVersion)
    messages.set(id, [...message, key, Math.round(expiresAtMs - now)])
  }
  return [...messages.values()]
}

/** Decodes the records that a daemon sent. */
export function decodeRecords ([pool, version, ...streams]: RecordsMessage, daemon: DaemonId, now: number): Array<[StreamKey, VersionRecord]> {
  const streamVersion = decodeVersion([pool, version])
  const records: Array<[StreamKey, VersionRecord]> = []
  for (let i = 0; i + 1 < streams.length; i += 2) records.push([streams[i] as StreamKey, { streamVersion, daemon, expiresAtMs: now + (streams[i + 1] as number) }])
  return records
}

export function encodeEvidence ({ record, versions, confirmation, registryAgeMs }: VersionEvidence): VersionReply {
  return {
    ...(record && { record: { streamVersion: encodeVersion(record.streamVersion), daemon: record.daemon } }),
    versions: versions.map((version) => version ?? null),
    hasWatched: false,
    ...(confirmation && { confirmation: confirmation.isOnly ? { isOnly: true, version: confirmation.version ?? null } : { isOnly: false } }),
    ...(registryAgeMs !== undefined && { registryAgeMs: Math.round(registryAgeMs) })
  }
}

export function decodeEvidence ({ record, versions, confirmation: replied, ofOrigin, registryAgeMs }: VersionReply, { origin }: Pick<VersionQuery, 'origin'> = {}): VersionEvidence {
  const confirmation = replied?.isOnly === true && origin !== undefined && ofOrigin !== true ? undefined : replied
  return {
    record: record && { streamVersion: decodeVersion(record.streamVersion), daemon: record.daemon },
    versions: versions.map((version) => version ?? undefined),
    confirmation: confirmation?.isOnly === true ? { isOnly: true, version: confirmation.version ?? undefined } : confirmation,
    registryAgeMs
  }
}

function encodeVersion ({ pool, version }: StreamVersion): EncodedVersion {
  return [pool, version ?? null]
}

function decodeVersion ([pool, version]: EncodedVersion): StreamVersion {
  return { pool, version: version ?? undefined }
}
