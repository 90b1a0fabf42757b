import { expect, test } from 'vitest'
import { as, type DaemonId, type EndpointVersion, type PoolName } from '../ids/index.ts'
import type { PoolConfirmation } from './pool_history.ts'
import { judgeVersion, type Inquiry, type VersionEvidence } from './version_judge.ts'

const POOL = as<PoolName>('llm')
const V1 = as<EndpointVersion>('v1')
const V2 = as<EndpointVersion>('v2')
const ONLY_V1 = { isOnly: true, version: V1 } as const
const SEVERAL = { isOnly: false } as const
const seen = (versions: Array<EndpointVersion | undefined>, confirmation?: PoolConfirmation): VersionEvidence => ({ record: undefined, versions, confirmation })
const record: VersionEvidence = { record: { streamVersion: { pool: POOL, version: V2 }, daemon: as<DaemonId>('d') }, versions: [V1, V2] }

test.each<[string, VersionEvidence[], Partial<Inquiry>, object]>([
  ['a record decides, whatever the store showed', [seen([V1], ONLY_V1), record], {}, { type: 'recorded', streamVersion: { pool: POOL, version: V2 }, daemon: 'd' }],
  ['the only version of the pool in the store', [seen([V1], ONLY_V1), seen([V1])], {}, { type: 'only-version', streamVersion: { pool: POOL, version: V1 } }],
  ['the same, read by another daemon', [seen([V1]), seen([V1], ONLY_V1)], {}, { type: 'only-version', streamVersion: { pool: POOL, version: V1 } }],
  ['a pool without versions', [seen([undefined], { isOnly: true, version: undefined })], {}, { type: 'only-version', streamVersion: { pool: POOL, version: undefined } }],
  ['daemons that have seen nothing yet', [seen([], ONLY_V1), seen([])], {}, { type: 'only-version', streamVersion: { pool: POOL, version: V1 } }],
  ['all have seen one version, and nobody read the store', [seen([V1]), seen([V1])], {}, { type: 'unreachable' }],
  ['all have seen one version, and the store shows several', [seen([V1], SEVERAL), seen([V1])], {}, { type: 'unknown' }],
  ['one daemon has seen another version', [seen([V1], ONLY_V1), seen([V1, V2])], {}, { type: 'unknown' }],
  ['two reads differ', [seen([V1], ONLY_V1), seen([V1], SEVERAL)], {}, { type: 'unknown' }],
  ['two reads show different versions', [seen([], ONLY_V1), seen([], { isOnly: true, version: V2 })], {}, { type: 'unknown' }],
  ['versions and endpoints without one', [seen([V1, undefined], ONLY_V1)], {}, { type: 'unknown' }],
  ['several pools serve the route', [seen([V1])], { pool: undefined }, { type: 'unknown' }],
  ['no other daemon answers, nor the store', [seen([V1])], { answered: 0 }, { type: 'unreachable' }],
  ['no other daemon answers, and the store shows several', [seen([V1], SEVERAL)], { answered: 0 }, { type: 'unreachable' }],
  ['no other daemon answers, and the store shows one version', [seen([V1], ONLY_V1)], { answered: 0 }, { type: 'only-version', streamVersion: { pool: POOL, version: V1 } }]
])('%s', (_case, evidence, change, verdict) => {
  expect(judgeVersion(evidence, { pool: POOL, others: 8, answered: 6, ...change })).toEqual(verdict)
})
