import { expect, test } from 'vitest'
import { as, type EndpointVersion } from '../ids/index.ts'
import { changedHistory, confirmationOf, decodeHistory, encodeHistory, isListed, type PoolHistoryRecord } from './pool_history.ts'

const V1 = as<EndpointVersion>('v1')
const V2 = as<EndpointVersion>('v2')
const only = (version: EndpointVersion | undefined): PoolHistoryRecord => changedHistory(undefined, { era: 0, listed: [version] })!

test('a pool has one version from its first one on until another one is listed', () => {
  const first = only(V1)
  expect(confirmationOf(first, 0)).toEqual({ isOnly: true, version: V1 })
  const second = changedHistory(first, { era: 0, listed: [V2] })!
  expect([confirmationOf(second, 0), isListed(second, { version: V2, era: 0 })]).toEqual([{ isOnly: false }, true])
  const retired = changedHistory(second, { era: 0, listed: [V2], retired: [V1] })!
  expect([confirmationOf(retired, 0), isListed(retired, { version: V1, era: 0 })]).toEqual([{ isOnly: false }, false])
  expect(confirmationOf(changedHistory(retired, { era: 0, listed: [V2], removed: [V1] }), 0)).toEqual({ isOnly: true, version: V2 })
  expect(changedHistory(second, { era: 0, listed: [V1, V2] })).toBeUndefined()
})

test('endpoints without a version count as one of their own', () => {
  expect(confirmationOf(only(undefined), 0)).toEqual({ isOnly: true, version: undefined })
  expect(confirmationOf(changedHistory(only(undefined), { era: 0, listed: [V1] }), 0)).toEqual({ isOnly: false })
})

test('a record of an earlier era proves nothing, and one that follows it has an unknown version until that is removed', () => {
  // Guards against a version whose record was lost when the store returned to a copy.
  const first = only(V1)
  expect([confirmationOf(first, 1), isListed(first, { version: V1, era: 1 })]).toEqual([{ isOnly: false }, false])
  const next = changedHistory(first, { era: 1, listed: [V1] })!
  expect(confirmationOf(next, 1)).toEqual({ isOnly: false })
  expect(confirmationOf(changedHistory(next, { era: 1, listed: [V1] }) ?? next, 1)).toEqual({ isOnly: false })
  expect(confirmationOf(changedHistory(next, { era: 1, listed: [V1], removesUnknown: true }), 1)).toEqual({ isOnly: true, version: V1 })
  expect(confirmationOf(changedHistory(undefined, { era: 3, listed: [V1] }), 3)).toEqual({ isOnly: false })
})

test('a record is read as it was written, whatever its versions are called', () => {
  for (const version of [V1, undefined, as<EndpointVersion>('none'), as<EndpointVersion>('unknown'), as<EndpointVersion>('__proto__'), as<EndpointVersion>('')]) {
    const record = changedHistory(only(V2), { era: 0, listed: [version] })!
    expect(decodeHistory(encodeHistory(record))).toEqual(record)
  }
})

test.each(['', 'null', '[]', '"text"', '{}', '{"era":0}', '{"era":0,"versions":{}}', '{"era":0,"versions":[]}', '{"era":0,"versions":["version=v1"]}', '{"era":"0","versions":{"version=v1":"listed"}}', '{"era":0,"versions":{"version=v1":"listed","more":1}}', '{"era":1e999,"versions":{"version=v1":"listed"}}', '['.repeat(100)])('a record that another program wrote proves nothing: %s', (value) => {
  // Guards against an entry that makes a pool one of a single version.
  expect(confirmationOf(decodeHistory(value), 0)).toEqual({ isOnly: false })
})
