import { expect, test } from 'vitest'
import { as, type DaemonId, type EndpointVersion, type PoolName } from '../ids/index.ts'
import { judgeVersion, type Inquiry, type VersionEvidence } from './version_judge.ts'

const POOL = as<PoolName>('llm')
const V1 = as<EndpointVersion>('v1')
const V2 = as<EndpointVersion>('v2')
const seen = (versions: Array<EndpointVersion | undefined>, hasWatched: boolean): VersionEvidence => ({ record: undefined, versions, hasWatched })
const record: VersionEvidence = { record: { streamVersion: { pool: POOL, version: V2 }, daemon: as<DaemonId>('d') }, versions: [V1, V2], hasWatched: false }

test.each<[string, VersionEvidence[], Partial<Inquiry>, object]>([
  ['a record decides, whatever others have seen', [seen([V1], true), record], {}, { type: 'recorded', streamVersion: { pool: POOL, version: V2 }, daemon: 'd' }],
  ['the only version that all have seen, one of them for long enough', [seen([V1], true), seen([V1], false)], {}, { type: 'only-version', streamVersion: { pool: POOL, version: V1 } }],
  ['a pool without versions', [seen([undefined], true)], {}, { type: 'only-version', streamVersion: { pool: POOL, version: undefined } }],
  ['one daemon has seen another version', [seen([V1], true), seen([V1, V2], false)], {}, { type: 'unknown' }],
  ['versions and endpoints without one', [seen([V1, undefined], true)], {}, { type: 'unknown' }],
  ['nobody has watched for long enough', [seen([V1], false), seen([V1], false)], {}, { type: 'unknown' }],
  ['the only one that has watched saw no endpoint', [seen([], true), seen([V1], false)], {}, { type: 'unknown' }],
  ['several pools serve the route', [seen([V1], true)], { pool: undefined }, { type: 'unknown' }],
  ['no other daemon answers', [seen([V1], true)], { answered: 0 }, { type: 'unreachable' }],
  ['there is no other daemon', [seen([V1], true)], { others: 0, answered: 0 }, { type: 'only-version', streamVersion: { pool: POOL, version: V1 } }]
])('%s', (_case, evidence, change, verdict) => {
  expect(judgeVersion(evidence, { pool: POOL, others: 8, answered: 6, ...change })).toEqual(verdict)
})
