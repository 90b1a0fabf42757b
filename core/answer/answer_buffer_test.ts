import fc from 'fast-check'
import { expect, test } from 'vitest'
import { AnswerBuffer, type Chunk } from './index.ts'

const SEED = 13
const answer = (length: number) => Array.from({ length }, (_, i) => `t${i}`)

function chunksOf (pieces: readonly string[], cuts: readonly number[], attempt = 1): Chunk[] {
  const edges = [...new Set([0, ...cuts.map((cut) => cut % (pieces.length + 1)), pieces.length])].sort((a, b) => a - b)
  return edges.slice(1).map((edge, i) => ({ attempt, offset: edges[i]!, pieces: pieces.slice(edges[i], edge) }))
}

/** What the buffer is compared with: pieces appended in order of arrival. */
function appendAll (chunks: readonly Chunk[]): string[] {
  return chunks.flatMap((chunk) => [...chunk.pieces])
}

test('an answer is whole and in order however its chunks are shuffled and doubled, where appending is not', () => {
  let naiveWrong = 0
  const cuts = fc.array(fc.nat(60), { maxLength: 8 })
  fc.assert(fc.property(fc.integer({ min: 1, max: 60 }), cuts, fc.infiniteStream(fc.nat(1000)), (length, cutsAt, order) => {
    const pieces = answer(length)
    const chunks = chunksOf(pieces, cutsAt)
    const arriving = [...chunks, ...chunks.slice(0, 2)].map((chunk) => ({ chunk, rank: order.next().value as number })).sort((a, b) => a.rank - b.rank).map(({ chunk }) => chunk)
    const buffer = new AnswerBuffer()
    buffer.replaceAttempt(1)
    for (const chunk of arriving) buffer.add(chunk)
    buffer.end(1, length)
    expect(buffer.pieces).toEqual(pieces)
    expect(buffer.whole).toBe(true)
    if (appendAll(arriving).join() !== pieces.join()) naiveWrong++
  }), { seed: SEED, numRuns: 200 })
  expect(naiveWrong).toBeGreaterThan(100)
})

test('a cancelled attempt that keeps sending adds nothing', () => {
  // A caller sees words twice: its review moved to another host, and the first host, told to stop, goes on sending.
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

test('a chunk that contradicts what was delivered is refused, and a gap is held only so far', () => {
  const buffer = new AnswerBuffer()
  buffer.replaceAttempt(1)
  buffer.add({ attempt: 1, offset: 0, pieces: ['a'] })
  expect(buffer.add({ attempt: 1, offset: 0, pieces: ['b', 'c'] })).toBe('conflict')
  expect(buffer.add({ attempt: 1, offset: 5, pieces: answer(4000) })).toBe('held')
  expect(buffer.add({ attempt: 1, offset: 9000, pieces: answer(4000) })).toBe('overflow')
  expect(buffer.pieces).toEqual(['a'])
})
