import { EventEmitter } from 'node:events'
import type { ServerResponse } from 'node:http'
import { expect, test } from 'vitest'
import { as, type RequestId } from '../../core/ids/index.ts'
import { streamAnswer } from './answer_writer.ts'
import { RemoteAnswer } from '../request/live_answer.ts'

/** A response whose socket accepts one write and is then full until it drains. */
class SlowResponse extends EventEmitter {
  headersSent = false
  closed = false
  readonly writes: string[] = []
  ended = false
  full = false
  status = 0

  writeHead (status: number): this {
    this.status = status
    this.headersSent = true
    return this
  }

  write (text: string): boolean {
    if (this.full) throw new Error('written to a full socket')
    this.writes.push(text)
    this.full = true
    return false
  }

  end (text = ''): this {
    if (this.full) throw new Error('ended on a full socket')
    this.writes.push(text)
    this.ended = true
    return this
  }

  drain (): void {
    this.full = false
    this.emit('drain')
  }
}

const turn = () => new Promise((resolve) => setImmediate(resolve))
const tokensOf = (writes: readonly string[]) => writes.flatMap((text) => [...text.matchAll(/data: (\{"tokens".*\})/g)].flatMap((match) => (JSON.parse(match[1]!) as { tokens: string[] }).tokens))

function follow (from = 0) {
  const res = new SlowResponse()
  const answer = new RemoteAnswer(as<RequestId>('d~1'))
  streamAnswer(res as unknown as ServerResponse, answer, from)
  const add = async (offset: number, tokens: string[]) => {
    answer.applyPart({ offset, tokens, started: true, movedAway: false, final: undefined })
    await turn()
  }
  return { res, answer, add }
}

test('a slow reader gets all tokens in order, and nothing is buffered for it meanwhile', async () => {
  // Guards against running out of memory: a caller on a slow connection reads a long answer, and every token is buffered on its socket.
  const { res, answer, add } = follow()
  for (let i = 0; i < 500; i++) await add(i, [`t${i}`])
  expect(res.writes).toHaveLength(1)
  answer.applyPart({ offset: 500, tokens: [], started: true, movedAway: false, final: { outcome: 'answered', reason: 'whole', retryAfterMs: undefined } })
  await turn()
  expect(res.ended).toBe(false)
  for (let i = 0; i < 3; i++) {
    res.drain()
    await turn()
  }
  expect(tokensOf(res.writes)).toEqual(Array.from({ length: 500 }, (_, i) => `t${i}`))
  expect(res.writes.at(-1)).toMatch(/^event: end/)
  expect(res.writes.length).toBeLessThan(5)
})

test('a caller that resumes gets only the tokens after its last event', async () => {
  const { res, add } = follow(2)
  await add(0, ['a', 'b', 'c'])
  expect(tokensOf(res.writes)).toEqual(['c'])
})

test('a request refused before it ran gets its own HTTP status', async () => {
  const { res, answer } = follow()
  answer.applyPart({ offset: 0, tokens: [], started: false, movedAway: false, final: { outcome: 'not-run', reason: 'no room in time', retryAfterMs: 800 } })
  await turn()
  expect(res.status).toBe(503)
  expect(JSON.parse(res.writes.join(''))).toMatchObject({ outcome: 'not-run', retryAfterMs: 800 })
})

test('nothing more is written once the caller has disconnected', async () => {
  const { res, add } = follow()
  await add(0, ['a'])
  res.closed = true
  res.emit('close')
  res.full = false
  await add(1, ['b'])
  expect(res.writes).toHaveLength(1)
})
