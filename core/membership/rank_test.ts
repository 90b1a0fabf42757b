import { expect, test } from 'vitest'
import xxhash from 'xxhash-wasm'
import { as, type DaemonId } from '../ids/index.ts'
import { rankedFor, type RankCandidate } from './rank.ts'

const { h32: hash } = await xxhash()
const daemon = (id: string, cores?: number): RankCandidate => ({ id: as<DaemonId>(id), ...(cores !== undefined && { cores }) })
const weak = Array.from({ length: 180 }, (_, i) => daemon(`weak-${i}`, 0.324))
const strong = Array.from({ length: 15 }, (_, i) => daemon(`strong-${i}`, 1.35))

test('jobs of a large fleet are spread over its large hosts', () => {
  // Guards against a fleet-wide job on a small host. 180 of 195 daemons have a third of a core; as quota keeper one of them answers late, so that the
  // others decide without it and its own callers wait.
  const jobs = Array.from({ length: 30 }, (_, i) => rankedFor(`job-${i}`, [...weak, ...strong], hash))
  for (const ranked of jobs) expect(ranked.slice(0, 15).every(({ id }) => id.startsWith('strong'))).toBe(true)
  expect(new Set(jobs.map(([first]) => first!.id)).size).toBeGreaterThan(8)
})

test('small differences in cores do not affect the order', () => {
  const alike = [daemon('a', 1), daemon('b', 1.3), daemon('c'), daemon('d', 1.9)]
  const same = alike.map(({ id }) => daemon(id))
  expect(rankedFor('job', alike, hash).map(({ id }) => id)).toEqual(rankedFor('job', same, hash).map(({ id }) => id))
})

test('when the first daemon leaves, the order of the others is unchanged', () => {
  const [first, ...others] = rankedFor('job', [...weak, ...strong], hash)
  expect(rankedFor('job', [...weak, ...strong].filter((member) => member !== first), hash)).toEqual(others)
})
