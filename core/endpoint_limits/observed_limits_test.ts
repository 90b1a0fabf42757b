import { expect, test } from 'vitest'
import { as, type EndpointId, type PoolName } from '../ids/index.ts'
import { ObservedLimits, type LimitObservation } from './index.ts'

const POOL = as<PoolName>('desk')
const A = as<EndpointId>('a')
const B = as<EndpointId>('b')
const limit = (endpoint: EndpointId, perS: number | undefined, atMs = 0): LimitObservation => ({ endpoint, pool: POOL, perS, atMs })

test('a limit ends only with the answer to a request that was sent after the last answer that named it', () => {
  // Guards against answers that overtake each other: one from before the limit would end it, and each daemon would send as before.
  const observed = new ObservedLimits()
  expect(observed.observe(limit(A, undefined, 5))).toBeUndefined()
  expect(observed.observe(limit(A, 2, 100))).toBe('began')
  expect(observed.observe(limit(A, undefined, 90))).toBeUndefined()
  expect(observed.observe(limit(A, 2, 120))).toBeUndefined()
  expect(observed.observe(limit(A, 3, 130))).toBe('changed')
  expect(observed.observe(limit(A, 2, 110))).toBeUndefined()
  expect(observed.perS(A)).toBe(3)
  expect(observed.observe(limit(A, undefined, 131))).toBe('ended')
  expect(observed.perS(A)).toBeUndefined()
  expect(observed.version).toBe(3)
})

test('limits of endpoints that are gone are forgotten, ended ones after a while', () => {
  const observed = new ObservedLimits()
  observed.observe(limit(A, 2, 0))
  observed.observe(limit(B, 2, 0))
  observed.observe(limit(B, undefined, 10))
  observed.prune((endpoint) => endpoint === B, 1000)
  expect(observed.entries).toEqual([limit(B, undefined, 10)])
  observed.prune(() => true, 11_000)
  expect(observed.entries).toEqual([])
})
