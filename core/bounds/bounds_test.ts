import fc from 'fast-check'
import { expect, test } from 'vitest'
import { excerpt, isDeeperThan, limitDepth, MAX_DEPTH, MAX_EXCERPT_CHARS } from './index.ts'

const deepText = (depth: number) => '{"__proto__":['.repeat(depth / 2) + '1' + ']}'.repeat(depth / 2)

test('values of any depth are cut to the bound, and can then be encoded', () => {
  for (const depth of [MAX_DEPTH - 2, MAX_DEPTH, MAX_DEPTH + 2, 1_000_000]) {
    const value = JSON.parse(deepText(depth))
    expect(isDeeperThan(value)).toBe(depth > MAX_DEPTH)
    const kept = limitDepth(value)
    expect(isDeeperThan(kept)).toBe(false)
    expect(JSON.stringify(kept) === deepText(depth)).toBe(depth <= MAX_DEPTH)
  }
})

test('values within the bound stay as they are', () => {
  fc.assert(fc.property(fc.jsonValue({ maxDepth: 8 }), (value) => {
    const text = JSON.stringify(value)
    expect(JSON.stringify(limitDepth(JSON.parse(text)))).toBe(text)
    expect(isDeeperThan(value)).toBe(false)
  }), { seed: 75, numRuns: 500 })
})

test('the depth of maps, sets and causes of errors counts', () => {
  const nest = (wrap: (inner: unknown) => unknown) => {
    let value: unknown = 1
    for (let i = 0; i < 1000; i++) value = wrap(value)
    return value
  }
  for (const wrap of [(inner: unknown) => new Map([[inner, 1]]), (inner: unknown) => new Set([inner]), (inner: unknown) => new Error('', { cause: inner })]) expect(isDeeperThan(nest(wrap))).toBe(true)
})

test('excerpts are short whatever the value is', () => {
  fc.assert(fc.property(fc.anything({ maxDepth: 6 }), (value) => {
    expect(excerpt(value)?.length ?? 0).toBeLessThanOrEqual(MAX_EXCERPT_CHARS + 1)
  }), { seed: 75, numRuns: 1000 })
  expect(excerpt(JSON.parse(deepText(1_000_000)))).toBe('{"__proto__":[{"__proto__":[…]}]}')
  expect(excerpt({ a: 'x'.repeat(1_000_000) })).toHaveLength(MAX_EXCERPT_CHARS + 1)
  expect(excerpt([1, 2, 3, 4, 5, 6])).toBe('[1,2,3,4,5,…]')
})
