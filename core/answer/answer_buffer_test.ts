import fc from 'fast-check'
import { expect, test } from 'vitest'
import { AnswerBuffer, type Chunk } from './index.ts'

const SEED = 13
const answer = (length: number) => Array.from({ length }, (_, i) => `t${i}`)

function chunksOf (pieces: readonly string[], cuts: readonly number[], attempt = 1): Chunk[] {
  const edges = [...new Set([0, ...cuts.map((cut) => cut % (pieces.length + 1)), pieces.length])].sort((a, b) => a - b)
  return edges.slice(1).map((edge, i) => ({ attempt, offset: edges[i]!, pieces: pieces.slice(edges[i], edge) }))
}

/** Baseline: pieces appended in order of arrival. */
function appendAll (chunks: readonly Chunk[]): string[] {
  return chunks.flatMap((chunk) => [...chunk.pieces])
}

test('an answer is whole and in order for shuffled and duplicated chunks, unlike with appending', () => {
  let appendMismatches = 0
  const cuts = fc.array(fc.nat(60), { maxLength: 8 })
  fc.assert(fc.property(fc.integer({ min: 1, max: 60 }), cuts, fc.infiniteStream(fc.nat(1000)), (length, cutsAt, order) => {
    const pieces = answer(length)
    const chunks = chunksOf(pieces, cutsAt)
    const arrivals = [...chunks, ...chunks.slice(0, 2)].map((chunk) => ({ chunk, rank: order.next().value as number })).sort((a, b) => a.rank - b.rank).map(({ chunk }) => chunk)
    const buffer = new AnswerBuffer()
    buffer.replaceAttempt(1)
    for (const chunk of arrivals) buffer.add(chunk)
    buffer.end(1, length)
    expect(buffer.pieces).toEqual(pieces)
    expect(buffer.whole).toBe(true)
    if (appendAll(arrivals).join() !== pieces.join()) appendMismatches++
  }), { seed: SEED, numRuns: 200 })
  expect(appendMismatches).toBeGreaterThan(100)
})

test('chunks of a cancelled attempt that keeps sending are ignored', () => {
  // Guards against duplicate text: a stream moved to another host while the first one, told to stop, kept sending.
  const buffer = new AnswerBuffer()
  buffer.replaceAttempt(1)
  buffer.add({ attempt: 1, offset: 0, pieces: ['a', 'b'] })
  buffer.replaceAttempt(2)
  expect(buffer.add({ attempt: 1, offset: 2, pieces: ['x'] })).toBe('old-attempt')
  expect(buffer.add({ attempt: 2, offset: 2, pieces: ['c'] })).toBe('taken')
  buffer.end(1, 2)
  expect(buffer.whole).toBe(false)
  buffer.end(2, 3)
  expect(buffer.pieces).toEqual(['a', 'b', 'c'])
  expect(buffer.whole).toBe(true)
})

test('a chunk that contradicts delivered pieces is rejected, and the buffer behind a gap is limited', () => {
  const buffer = new AnswerBuffer()
  buffer.replaceAttempt(1)
  buffer.add({ attempt: 1, offset: 0, pieces: ['a'] })
  expect(buffer.add({ attempt: 1, offset: 0, pieces: ['b', 'c'] })).toBe('conflict')
  expect(buffer.add({ attempt: 1, offset: 5, pieces: answer(4000) })).toBe('held')
  expect(buffer.add({ attempt: 1, offset: 9000, pieces: answer(4000) })).toBe('overflow')
  expect(buffer.pieces).toEqual(['a'])
})

test('pieces that were taken out still count, and a chunk that overlaps them is a conflict', () => {
  // Guards against answers that are kept whole until their last byte, and against pieces that appear twice since what they repeat was let go.
  const buffer = new AnswerBuffer({ from: 3 })
  buffer.replaceAttempt(1)
  buffer.add({ attempt: 1, offset: 3, pieces: ['a', 'b'] })
  expect([buffer.take(), buffer.take(), buffer.pieces, buffer.length]).toEqual([['a', 'b'], [], [], 5])
  expect(buffer.add({ attempt: 1, offset: 4, pieces: ['b', 'c'] })).toBe('conflict')
  expect(buffer.add({ attempt: 1, offset: 6, pieces: ['d'] })).toBe('held')
  expect(buffer.add({ attempt: 1, offset: 5, pieces: ['c'] })).toBe('taken')
  expect([buffer.take(), buffer.length]).toEqual([['c', 'd'], 7])
  buffer.end(1, 7)
  expect(buffer.whole).toBe(true)
})
