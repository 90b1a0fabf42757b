/** Messages between daemons about where streams began. */
import type { DaemonId, EndpointVersion, PoolName, StreamKey } from '../../core/ids/index.ts'
import type { OriginRecord, OriginTestimony, StreamOrigin } from '../../core/streams/index.ts'

/** Sends records to a daemon that holds them; no reply. */
export const RECORDS_TOPIC = 'stream-origins'
/** Tells the daemon that passes a stream on that its caller resumes it elsewhere; the value is the stream's key. */
export const RESUMED_TOPIC = 'stream-resumed'
/** Asks a daemon what it knows of a stream. */
export const FIND_METHOD = 'stream-origin'

/** Argument of {@linkcode FIND_METHOD}. */
export interface OriginQuery {
  key: StreamKey | undefined
  pool: PoolName | undefined
  lifeMs: number
}

/** Pool, version, and the key and remaining life of each stream in milliseconds: without field names, since most messages hold one stream. */
export type RecordsMessage = [pool: PoolName, version: EndpointVersion | null, ...streams: Array<StreamKey | number>]

/** Reply to {@linkcode FIND_METHOD}. */
export interface OriginReply {
  record?: { origin: EncodedOrigin, daemon: DaemonId }
  versions: Array<EndpointVersion | null>
  hasWatched: boolean
}

type EncodedOrigin = [pool: PoolName, version: EndpointVersion | null]

/** Encodes records, one message for each origin. */
export function encodeRecords (records: ReadonlyArray<readonly [StreamKey, OriginRecord]>, now: number): RecordsMessage[] {
  const messages = new Map<string, RecordsMessage>()
  for (const [key, { origin, expiresAtMs }] of records) {
    const id = JSON.stringify(encodeOrigin(origin))
    const message = messages.get(id) ?? encodeOrigin(origin)
    messages.set(id, [...message, key, Math.round(expiresAtMs - now)])
  }
  return [...messages.values()]
}

/** Decodes the records that a daemon sent. */
export function decodeRecords ([pool, version, ...streams]: RecordsMessage, daemon: DaemonId, now: number): Array<[StreamKey, OriginRecord]> {
  const origin = decodeOrigin([pool, version])
  const records: Array<[StreamKey, OriginRecord]> = []
  for (let i = 0; i + 1 < streams.length; i += 2) records.push([streams[i] as StreamKey, { origin, daemon, expiresAtMs: now + (streams[i + 1] as number) }])
  return records
}

export function encodeTestimony ({ record, versions, hasWatched }: OriginTestimony): OriginReply {
  return {
    ...(record && { record: { origin: encodeOrigin(record.origin), daemon: record.daemon } }),
    versions: versions.map((version) => version ?? null),
    hasWatched
  }
}

export function decodeTestimony ({ record, versions, hasWatched }: OriginReply): OriginTestimony {
  return {
    record: record && { origin: decodeOrigin(record.origin), daemon: record.daemon },
    versions: versions.map((version) => version ?? undefined),
    hasWatched
  }
}

function encodeOrigin ({ pool, version }: StreamOrigin): EncodedOrigin {
  return [pool, version ?? null]
}

function decodeOrigin ([pool, version]: EncodedOrigin): StreamOrigin {
  return { pool, version: version ?? undefined }
}
