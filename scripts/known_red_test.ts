import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect, test } from 'vitest'
import { allBut, knownRed } from './known_red.mjs'

function writeList (text: string): string {
  const path = join(mkdtempSync(join(tmpdir(), 'known-red-')), 'list.txt')
  writeFileSync(path, text)
  return path
}

const LINE = 'core/x_test.ts > what (is) promised holds | a cause | npx vitest run core/x_test.ts | seen | issue 1'

test('the pattern excludes exactly the listed tests', () => {
  const others = allBut(knownRed(writeList(`${LINE}\n`)))
  expect(['what (is) promised holds', 'what (is) promised holds too', 'another'].filter((name) => others.test(name))).toEqual(['what (is) promised holds too', 'another'])
})

test('a missing list has no entries', () => {
  expect(knownRed('no/such/list.txt')).toEqual([])
})

test('a list that is too long or has an invalid line is an error', () => {
  expect(() => knownRed(writeList(`${LINE}\n`.repeat(13)))).toThrow('Cannot skip 13 tests')
  expect(() => knownRed(writeList('everything in core'))).toThrow('Cannot read known failure')
})
