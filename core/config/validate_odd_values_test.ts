// Guards against values of another writer that make the errors about them fail or grow.
import { expect, test } from 'vitest'
import { z } from 'zod'
import { InvalidError, parseJsonc, validate } from './validate.ts'

const schema = z.object({ a: z.string(), list: z.array(z.object({ n: z.number() })).default([]), known: z.record(z.string(), z.number()).default({}) })
const deep = JSON.parse('['.repeat(100_000) + ']'.repeat(100_000))
const long = 'x'.repeat(1_000_000)

test.each<[string, unknown]>([
  ['nested deeply', { a: deep }],
  ['nested deeply as a whole', deep],
  ['of a long text', long],
  ['with a long name', { a: '', known: { [long]: 'x' } }],
  ['with many wrong items', { a: '', list: Array(50_000).fill(null) }]
])('the error for a value %s is short', (_what, value) => {
  expect(() => validate(schema, value)).toThrow(InvalidError)
  try {
    validate(schema, value, long)
  } catch (err) {
    expect((err as Error).message.length).toBeLessThan(30_000)
  }
})

test('a file that is nested too deeply to be parsed is invalid', () => {
  expect(() => parseJsonc(schema, '['.repeat(1_000_000))).toThrow(InvalidError)
})
