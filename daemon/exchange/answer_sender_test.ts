import { createServer, request, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { delay } from '../../core/time/index.ts'
import { MemoryGuard } from '../memory/index.ts'
import { createMetrics } from '../metrics.ts'
import type { RequestTask } from '../request/request_task.ts'
import { AnswerSender } from './answer_sender.ts'

const MB = 2 ** 20
const PIECE = Buffer.alloc(256 * 1024, 'x')
/** Larger than what the system's buffers take. */
const ANSWER_PIECES = 128

let server: Server
let guard: MemoryGuard
let calls: string[]
let sender: AnswerSender
let res: ServerResponse
let got: IncomingMessage

beforeEach(async () => {
  guard = new MemoryGuard({ metrics: createMetrics(), limitBytes: 602 * MB })
  calls = []
  const task = {
    flow: { pause: () => calls.push('pause'), resume: () => calls.push('resume') },
    state: { traits: { idempotent: false } },
    work: { cls: { resumable: false } },
    final: undefined,
    recordDecision: (event: string) => calls.push(event)
  } as unknown as RequestTask<Buffer>
  const begun = new Promise<void>((resolve) => {
    server = createServer((_req, arrived) => {
      res = arrived
      sender = new AnswerSender(res, task, guard)
      res.flushHeaders()
      resolve()
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const answered = new Promise<IncomingMessage>((resolve) => { request({ host: '127.0.0.1', port: (server.address() as AddressInfo).port }, resolve).end() })
  await begun
  got = await answered
  got.on('error', () => { /* the server may break off */ })
})
afterEach(() => {
  server.closeAllConnections()
  server.close()
})

/** Pushes until the sender pauses. */
async function fill (): Promise<number> {
  let pieces = 0
  for (; pieces < ANSWER_PIECES && calls.length === 0; pieces++) {
    sender.push(PIECE)
    await delay(1)
  }
  return pieces
}

test('an answer pauses when its caller has not taken a window of it, resumes when it has, and arrives whole', async () => {
  const pushed = await fill()
  expect([calls, sender.paused]).toEqual([['pause'], true])
  expect(guard.account.bytesOf('answer')).toBeGreaterThanOrEqual(MB)
  expect(guard.account.bytesOf('answer')).toBeLessThan(2 * MB)
  let received = 0
  const ended = new Promise((resolve) => got.on('end', resolve))
  got.on('data', (part: Buffer) => { received += part.length })
  for (let waitedMs = 0; sender.paused && waitedMs < 5000; waitedMs += 5) await delay(5)
  sender.end()
  await ended
  expect([calls, received, guard.account.bytesOf('answer')]).toEqual([['pause', 'resume'], pushed * PIECE.length, 0])
})

test('an answer that is broken off is let go, does not look complete, and what is pushed later is dropped', async () => {
  // Guards against writes to a destroyed response, whose callbacks would write again without an end.
  await fill()
  const ended = new Promise((resolve) => got.on('close', resolve))
  sender.evict(0)
  sender.push(PIECE)
  got.resume()
  await ended
  for (let waitedMs = 0; guard.account.heldBytes > 0 && waitedMs < 5000; waitedMs += 5) await delay(5)
  sender.push(PIECE)
  expect([calls, got.complete, guard.account.heldBytes, guard.paused]).toEqual([['pause', 'answer-evicted'], false, 0, 0])
})

test.each(['evict', 'breakOff'] as const)('an answer that is broken off (%s) resets the connection of an HTTP/1.0 caller', async (how) => {
  // Guards against a truncated answer that looks complete, since it ends with its connection.
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  const ended = new Promise<string>((resolve) => {
    socket.once('end', () => resolve('end'))
    socket.once('error', (err: NodeJS.ErrnoException) => resolve(err.code!))
  })
  const earlier = sender
  socket.write('GET / HTTP/1.0\r\n\r\n')
  await new Promise((resolve) => socket.once('data', resolve))
  expect(sender).not.toBe(earlier)
  sender.push(PIECE)
  if (how === 'evict') sender.evict(0)
  else sender.breakOff()
  expect(await ended).toBe('ECONNRESET')
})
