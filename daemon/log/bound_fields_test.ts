// Guards against log lines that grow with what another program wrote.
import fc from 'fast-check'
import { expect, test } from 'vitest'
import { boundFields, MAX_LINE_CHARS } from './bound_fields.ts'

test('fields of any shape make a line of bounded length', () => {
  const long = 'x'.repeat(1_000_000)
  const deep = JSON.parse('['.repeat(100_000) + ']'.repeat(100_000))
  for (const fields of [{ why: long }, { [long]: 1 }, { deep }, { many: Array(1_000_000).fill('y') }, { texts: Array(1000).fill(long) }, { nested: Array(1000).fill(Array(1000).fill(1)) }]) {
    expect(JSON.stringify(boundFields(fields)).length).toBeLessThan(MAX_LINE_CHARS * 4)
  }
  fc.assert(fc.property(fc.object({ maxDepth: 10, withBigInt: true, withNullPrototype: true }), (fields) => {
    expect(JSON.stringify(boundFields(fields)).length).toBeLessThan(MAX_LINE_CHARS * 4)
  }), { seed: 75, numRuns: 500 })
})

test('fields of ordinary lines stay as they are', () => {
  const fields = { endpoint: 'i-1', problems: ['address: expected an IP address and port, found "x"'], at: { ms: 12.5, ok: true, none: null, missing: undefined } }
  expect(boundFields(fields)).toEqual(fields)
})
