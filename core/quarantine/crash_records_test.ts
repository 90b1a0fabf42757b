import fc from 'fast-check'
import { expect, test } from 'vitest'
import { as, type EndpointId, type Fingerprint, type PoolName } from '../ids/index.ts'
import { CrashRecords } from './crash_records.ts'
import type { CrashReport } from './crash_report.ts'
import { partId } from './part_id.ts'

const POOL = as<PoolName>('llm')

const report = (endpoint: string, aboard: string, cleared = '', atMs = 0): CrashReport => ({ endpoint: as<EndpointId>(endpoint), atMs, aboard: [...aboard].map((name) => as<Fingerprint>(name)), cleared: [...cleared].map((name) => as<Fingerprint>(name)) })

function sorted (records: CrashRecords) {
  return [...records.suspects()].map(([endpoint, requests]) => `${endpoint}:${[...requests].sort().join('')}`).sort()
}

test('merging returns only what was not known', () => {
  const records = new CrashRecords()
  expect(records.merge([report('e1', 'ab')])).toEqual([report('e1', 'ab')])
  expect(records.merge([report('e1', 'ab')])).toEqual([])
  expect(records.merge([report('e1', 'bc', 'a')])).toEqual([report('e1', 'c', 'a')])
  expect(records.merge([report('e1', 'a')])).toEqual([])
  expect(sorted(records)).toEqual(['e1:bc'])
})

test('a cleared request is no suspect for earlier crashes, but for later ones', () => {
  const records = new CrashRecords()
  records.merge([report('e1', 'ab'), report('e2', 'a')])
  expect(records.markCleared(as('a'))).toEqual([report('e1', '', 'a'), report('e2', '', 'a')])
  expect(records.markCleared(as('a'))).toEqual([])
  records.merge([report('e3', 'a')])
  expect(sorted(records)).toEqual(['e1:b', 'e2:', 'e3:a'])
})

test('merging reports in any order and repeatedly gives the same records', () => {
  const reports = fc.array(fc.record({ endpoint: fc.constantFrom('e1', 'e2', 'e3'), aboard: fc.constantFrom('a', 'ab', 'bc', ''), cleared: fc.constantFrom('', '', 'a', 'c'), parts: fc.constantFrom('', 'x', 'xy', 'yz'), clearedPart: fc.constantFrom('', '', 'x', 'z') }), { maxLength: 12 })
  fc.assert(fc.property(reports, fc.infiniteStream(fc.nat()), (reported, order) => {
    const all = reported.map(({ endpoint, aboard, cleared, parts, clearedPart }): CrashReport => {
      const known = report(endpoint, aboard, cleared)
      const runs = [...aboard].map((name) => ({ request: as<Fingerprint>(name), sentAtMs: 0, parts: [...`${parts}${name}`] }))
      return { ...known, cleared: [...known.cleared, ...[...clearedPart].map((key) => partId(POOL, key))], place: { pool: POOL, poolSize: 3 }, runs }
    })
    const shuffled = [...all, ...all].map((one) => ({ one, at: order.next().value! })).sort((a, b) => a.at - b.at).map(({ one }) => one)
    const [first, second, third] = [new CrashRecords(), new CrashRecords(), new CrashRecords()]
    for (const one of all) first.merge([one])
    for (const one of shuffled) third.merge(second.merge([one]))
    expect(sorted(second)).toEqual(sorted(first))
    expect(sorted(third)).toEqual(sorted(first))
    expect(first.size).toBe(second.size)
    const joined = new CrashRecords()
    joined.merge(first.snapshot())
    expect(sorted(joined)).toEqual(sorted(first))
  }), { seed: 33, numRuns: 300 })
})

test('the size limit removes the oldest crashes first, and pruning removes what need not be kept', () => {
  const records = new CrashRecords()
  records.merge([report('e2', 'ab', '', 200), report('e1', 'abk', '', 100), report('e3', 'a', '', 300)])
  records.limit(4, (request) => request === 'k')
  expect([records.size, sorted(records)]).toEqual([4, ['e1:k', 'e2:ab', 'e3:a']])
  records.prune((request, atMs) => request === 'a' && atMs > 200)
  expect([records.size, sorted(records), [...records.crashesOf(as('a'))], [...records.crashesOf(as('b'))]]).toEqual([1, ['e3:a'], ['e3'], []])
})
