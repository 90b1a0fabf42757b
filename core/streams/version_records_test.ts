import { expect, test } from 'vitest'
import { as, type DaemonId, type EndpointVersion, type PoolName, type StreamKey } from '../ids/index.ts'
import { VersionRecords } from './version_records.ts'
import { PoolVersions } from './pool_versions.ts'

const POOL = as<PoolName>('llm')
const key = (i: number) => as<StreamKey>(`stream-${i}`)
const record = (expiresAtMs: number) => ({ streamVersion: { pool: POOL, version: as<EndpointVersion>('v1') }, daemon: as<DaemonId>('d'), expiresAtMs })

test('a record is found until it expires, and the oldest make room for new ones', () => {
  // Guards against memory that grows with the streams of a day.
  const records = new VersionRecords({ maxRecords: 100 })
  for (let i = 0; i < 250; i++) records.set(key(i), record(1000), 0)
  expect([records.size, records.get(key(149), 0), records.get(key(150), 0)?.streamVersion.version, records.get(key(249), 1000)]).toEqual([100, undefined, 'v1', undefined])
  for (let i = 300; i < 360; i++) records.set(key(i), record(9000), 2000)
  expect([...records.entries(2000)].length).toBe(60)
  expect(records.size).toBe(60)
})

const views = (...versions: string[]) => versions.map((version) => ({ pool: POOL, version: as<EndpointVersion>(version) }))

test('a version counts as seen until the list that lacks it', () => {
  // Guards against a version that is forgotten while its streams still live, since nothing was listed anew.
  const versions = new PoolVersions()
  expect(versions.record(views('v1', 'v1'), 0)).toBe(true)
  expect(versions.record(views('v1', 'v2'), 100)).toBe(true)
  expect(versions.record(views('v2', 'v2'), 5000)).toBe(false)
  expect([versions.seen(POOL, 4000), versions.seen(POOL, 5001), versions.seen(as<PoolName>('other'), 0)]).toEqual([['v1', 'v2'], ['v2'], []])
  expect([versions.record(views('v1', 'v2'), 90_000), versions.record(views('v1', 'v2'), 90_000)]).toEqual([true, false])
})
