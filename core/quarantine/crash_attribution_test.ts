import fc from 'fast-check'
import { expect, test } from 'vitest'
import { as, type EndpointId, type Fingerprint } from '../ids/index.ts'
import { attributeCrashes } from './crash_attribution.ts'

/** Builds crashes from the names of the requests that were running, one letter each. */
const crashes = (...aboard: string[]) => new Map(aboard.map((names, i) => [as<EndpointId>(`e${i}`), new Set([...names].map((name) => as<Fingerprint>(name)))]))

test.each([
  ['two crashes are too few', ['k', 'k'], ''],
  ['a request that ran alone in three crashes', ['k', 'k', 'k'], 'k'],
  ['other requests ran in one or two of the crashes', ['kab', 'kbc', 'kd'], 'k'],
  ['two requests that ran in the same three crashes are indistinguishable', ['kb', 'kb', 'kb'], ''],
  ['a crash without the other request decides between them', ['kb', 'kb', 'kb', 'k'], 'k'],
  ['ambiguous crashes are not attributed to a request that ran in only some of them', ['kbc', 'kbc', 'kbc', 'kb'], ''],
  ['five ambiguous crashes are attributed to one of the requests', ['kz', 'kz', 'kz', 'kz', 'kz'], 'k'],
  ['a sixth crash with one of the requests alone decides between them', ['bk', 'bk', 'bk', 'bk', 'bk', 'k'], 'k'],
  ['two requests that crash endpoints in turn', ['k', 'q', 'k', 'q', 'k', 'q'], 'kq'],
  ['a request that ran alongside two that crash endpoints', ['kb', 'k', 'k', 'qb', 'q', 'q'], 'kq'],
  ['a series of crashes with different requests in each', ['abc', 'def', 'ghi', 'jkl'], '']
])('%s', (_, aboard, culprits) => {
  expect([...attributeCrashes(crashes(...aboard))].sort().join('')).toBe(culprits)
})

test('the only request that ran in every crash of a series is the only one quarantined', () => {
  // Guards against attributing crashes to requests that merely ran alongside the cause.
  const names = 'abcdefgh'.split('')
  const bystanders = fc.array(fc.subarray(names, { maxLength: 6 }), { minLength: 4, maxLength: 12 })
  fc.assert(fc.property(bystanders, (series) => {
    fc.pre(names.every((name) => series.some((aboard) => !aboard.includes(name))))
    expect([...attributeCrashes(crashes(...series.map((aboard) => `k${aboard.join('')}`)))]).toEqual(['k'])
  }), { seed: 33, numRuns: 500 })
})
