import { expect, test } from 'vitest'
import xxhash from 'xxhash-wasm'
import { fingerprintOf } from './fingerprint.ts'

const { h64Raw } = await xxhash()
const of = (...parts: Array<string | Uint8Array>) => fingerprintOf(parts, h64Raw)

test('text and bytes of equal content have the same fingerprint', () => {
  expect(of('council', '/letter/1', 'body')).toBe(of('council', '/letter/1', Buffer.from('body')))
  expect(of('council', '/letter/1', 'body')).toMatch(/^[0-9a-f]{16}$/)
})

test('another account, path, body or boundary between parts changes the fingerprint', () => {
  const all = [of('council', '/letter/1', 'body'), of('parish', '/letter/1', 'body'), of('council', '/letter/2', 'body'), of('council', '/letter/1', 'bodY'), of('council', '/letter/1b', 'ody'), of('council', '/letter/1', 'body', '')]
  expect(new Set(all).size).toBe(all.length)
})
