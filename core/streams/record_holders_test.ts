import { expect, test } from 'vitest'
import { as, type DaemonId, type FailureDomain, type StreamKey } from '../ids/index.ts'
import type { Member } from '../membership/index.ts'
import { HOLDER_COUNT, MAX_HOLDERS, rankHolders } from './record_holders.ts'

const hash = (text: string) => {
  let value = 2166136261
  for (const char of text) value = Math.imul(value ^ char.charCodeAt(0), 16777619)
  value ^= value >>> 15
  return Math.imul(value, 2246822519) >>> 0
}
const DOMAINS = ['a', 'b', 'c']
const members = (count: number, from = 0): Member[] => Array.from({ length: count }, (_, i) => ({ id: as<DaemonId>(`d${from + i}`), failureDomain: as<FailureDomain>(DOMAINS[i % DOMAINS.length]!), address: '', incarnation: 1, state: 'up', revision: 0, heir: undefined }))
const keys = Array.from({ length: 300 }, (_, i) => as<StreamKey>(`stream-${i}`))
const holdersOf = (key: StreamKey, among: readonly Member[]) => rankHolders(key, among, { hash }).slice(0, HOLDER_COUNT).map(({ id }) => id)

test('the holders of a record are in different failure domains', () => {
  for (const key of keys) expect(new Set(rankHolders(key, members(9), { hash }).slice(0, HOLDER_COUNT).map(({ failureDomain }) => failureDomain)).size).toBe(3)
})

test.each([9, 87, 195, 420])('of %i daemons, each holds about as many records as the others that hold any', (count) => {
  const counts = new Map<DaemonId, number>()
  for (const key of keys) for (const id of holdersOf(key, members(count))) counts.set(id, (counts.get(id) ?? 0) + 1)
  expect(counts.size).toBeLessThanOrEqual(MAX_HOLDERS)
  const mean = keys.length * HOLDER_COUNT / Math.min(count, MAX_HOLDERS)
  expect(Math.max(...counts.values())).toBeLessThan(2.5 * mean)
})

test.each([1, 2, 3])('after %i of nine daemons were killed and as many others joined, those that are asked first include a holder that lives', (killed) => {
  // Guards against records that are there and are not found.
  const before = members(9)
  const began = before[0]!.id
  let missed = 0
  for (const key of keys) {
    const holders = holdersOf(key, before.slice(1))
    const dead = new Set([began, ...[...before].sort((a, b) => hash(`${key}${a.id}`) - hash(`${key}${b.id}`)).filter(({ id }) => id !== began).slice(0, killed - 1).map(({ id }) => id)])
    const after = [...before.filter(({ id }) => !dead.has(id)), ...members(killed, 9)]
    const asked = rankHolders(key, after, { hash }).slice(0, 2 * HOLDER_COUNT).map(({ id }) => id)
    if (!holders.some((id) => asked.includes(id))) missed++
  }
  expect(missed).toBe(0)
})
