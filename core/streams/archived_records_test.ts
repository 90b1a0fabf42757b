import { expect, test } from 'vitest'
import { as, type DaemonId, type EndpointVersion, type PoolName, type StreamKey } from '../ids/index.ts'
import { decodeArchive, encodeArchive, mergeArchives } from './archived_records.ts'
import type { VersionRecord } from './version_records.ts'

const key = (i: number) => as<StreamKey>(i.toString(16).padStart(16, '0'))
const record = (version: string | undefined, expiresAtMs: number, daemon = 'd1'): VersionRecord => ({
  streamVersion: { pool: as<PoolName>('llm'), version: version === undefined ? undefined : as<EndpointVersion>(version) }, daemon: as<DaemonId>(daemon), expiresAtMs
})

test('records are read as they were stored, and live for no less than what was left', () => {
  const records: Array<[StreamKey, VersionRecord]> = [[key(1), record('v1', 5000)], [key(2), record('v2', 9000)], [key(3), record(undefined, 9000)], [key(4), record('v1', 7000)], [key(5), record('v1', 900)]]
  const { value, count } = encodeArchive(records, 1000)
  const read = decodeArchive(value, 100_000)
  expect([count, read.size]).toEqual([4, 4])
  for (const [stream, { streamVersion, daemon, expiresAtMs }] of records.slice(0, 4)) {
    expect(read.get(stream)).toMatchObject({ streamVersion, daemon })
    expect(read.get(stream)!.expiresAtMs).toBeGreaterThanOrEqual(100_000 + expiresAtMs - 1000)
  }
})

test('the newest records are stored if not all have room, within the bound', () => {
  // Guards against a value that the store refuses, so that no record is stored any more.
  const records = Array.from({ length: 20_000 }, (_, i) => [key(i), record(`v${i % 3000}`, 600_000)] as const)
  const { value, count } = encodeArchive(records, 0, { maxBytes: 50_000 })
  expect(value.length).toBeLessThanOrEqual(50_100)
  expect(count).toBeGreaterThan(500)
  const read = decodeArchive(value, 0)
  expect([read.size, read.has(key(19_999)), read.has(key(0))]).toEqual([count, true, false])
})

test('a record with a name of a megabyte leaves the others as they are', () => {
  const { value, count } = encodeArchive([[key(1), record('v1', 5000)], [key(2), record('v'.repeat(1 << 20), 5000)]], 0)
  expect([count, [...decodeArchive(value, 0).keys()]]).toEqual([1, [key(1)]])
})

test.each([
  'no JSON', 'null', '7', '[]', '{}', '{"streams":5}', '{"streams":{"length":1}}', `${'['.repeat(20_000)}${']'.repeat(20_000)}`, `{"streams":[${'['.repeat(20_000)}${']'.repeat(20_000)}]}`,
  '{"streams":[null,7,"x",{},[],["llm"],["llm",7,"d1",1000,"a"],["llm","v1",null,1000,"a"],["llm","v1","d1",-5,"a"],["llm","v1","d1",null,"a"],["llm","v1","d1",1000,["a"]]]}'
])('what another program wrote is skipped: %.60s', (value) => {
  expect(decodeArchive(value, 0).size).toBe(0)
})

test('a life beyond that of any stream is cut', () => {
  const [[, { expiresAtMs }]] = [...decodeArchive('{"streams":[["llm","v1","d1",1e308,"a"]]}', 0)] as [[StreamKey, VersionRecord]]
  expect(expiresAtMs).toBe(600_000)
})

test('a stream that is stored with two versions is not known', () => {
  // Guards against a stream that goes on at a guess.
  const merged = mergeArchives([new Map([[key(1), record('v1', 5000)], [key(2), record('v1', 5000)]]), new Map([[key(1), record('v2', 5000)], [key(2), record('v1', 9000, 'd2')]]), new Map([[key(1), record('v1', 5000)]])])
  expect([...merged.keys()]).toEqual([key(2)])
})

test('an entry with more streams than a daemon has costs no more than they would', () => {
  // Guards against memory that an odd entry of another program takes.
  const keys = Array.from({ length: 250_000 }, (_, i) => i.toString(36)).join(' ')
  expect(decodeArchive(JSON.stringify({ streams: [['llm', 'v1', 'd1', 1000, keys]] }), 0).size).toBe(20_000)
})
