import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect, test } from 'vitest'
import { allBut, knownRed } from './known_red.mjs'

function listOf (text: string): string {
  const path = join(mkdtempSync(join(tmpdir(), 'known-red-')), 'list.txt')
  writeFileSync(path, text)
  return path
}

const LINE = 'core/x_test.ts > what (is) promised holds | a cause | npx vitest run core/x_test.ts | seen | issue 1'

test('just the tests that are listed are passed over', () => {
  const others = allBut(knownRed(listOf(`${LINE}\n`)))
  expect(['what (is) promised holds', 'what (is) promised holds too', 'another'].filter((name) => others.test(name))).toEqual(['what (is) promised holds too', 'another'])
})

test('no list passes over nothing', () => {
  expect(knownRed('no/such/list.txt')).toEqual([])
})

test('a list that is too long, or names no test, is an error', () => {
  expect(() => knownRed(listOf(`${LINE}\n`.repeat(4)))).toThrow('Cannot pass over 4 tests')
  expect(() => knownRed(listOf('everything in core'))).toThrow('Cannot read known failure')
})
