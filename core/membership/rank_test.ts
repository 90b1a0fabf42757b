import { expect, test } from 'vitest'
import xxhash from 'xxhash-wasm'
import { as, type DaemonId } from '../ids/index.ts'
import { rankedFor, type Ranked } from './rank.ts'

const { h32: hash } = await xxhash()
const daemon = (id: string, cores?: number): Ranked => ({ id: as<DaemonId>(id), ...(cores !== undefined && { cores }) })
const weak = Array.from({ length: 180 }, (_, i) => daemon(`weak-${i}`, 0.324))
const strong = Array.from({ length: 15 }, (_, i) => daemon(`strong-${i}`, 1.35))

test('jobs of a large fleet go to its strong hosts, each job to another', () => {
  // Of 195 daemons 180 have a third of a core. One of them counts the whole fleet's quotas: its answers come late, everybody decides alone, and its own callers wait.
  const jobs = Array.from({ length: 30 }, (_, i) => rankedFor(`job-${i}`, [...weak, ...strong], hash))
  for (const ranked of jobs) expect(ranked.slice(0, 15).every(({ id }) => id.startsWith('strong'))).toBe(true)
  expect(new Set(jobs.map(([first]) => first!.id)).size).toBeGreaterThan(8)
})

test('among hosts that are alike the order does not depend on small differences', () => {
  const alike = [daemon('a', 1), daemon('b', 1.3), daemon('c'), daemon('d', 1.9)]
  const same = alike.map(({ id }) => daemon(id))
  expect(rankedFor('job', alike, hash).map(({ id }) => id)).toEqual(rankedFor('job', same, hash).map(({ id }) => id))
})

test('when the first goes, the order of the others stays', () => {
  const [first, ...others] = rankedFor('job', [...weak, ...strong], hash)
  expect(rankedFor('job', [...weak, ...strong].filter((member) => member !== first), hash)).toEqual(others)
})
