import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { AttemptError, type FailurePoint } from '../core/outcome/index.ts'
import { HttpEngine, HttpService, type StreamSpec } from './index.ts'

const SPEC: StreamSpec = { streamId: 's', prompt: 'p', done: [], maxTokens: 3, priority: 1, keepMs: 0 }
const open: Array<{ close (): unknown }> = []

afterEach(async () => { for (const each of open.splice(0)) await each.close() })

/** A server that does one thing with each request that arrives. */
async function serving (answer: (socket: Socket, request: number) => void): Promise<string> {
  const sockets = new Set<Socket>()
  let requests = 0
  const server: Server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('data', () => answer(socket, ++requests))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  open.push({ close: () => { sockets.forEach((socket) => socket.destroy()); server.close() } })
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`
}

function failureOf (url: string): Promise<AttemptError> {
  const engine = new HttpEngine({ url, silenceMs: 200 })
  open.push(engine)
  return new Promise((resolve, reject) => {
    engine.start(SPEC, { onChunk () {}, onLoad () {}, onEnd: () => reject(new Error('ended')), onError: resolve })
  })
}

const events = (...parts: string[]) => `HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n${parts.join('')}`
const chunk = 'event: chunk\ndata: {"offset":0,"tokens":["a"]}\n\n'

// What the wire shows, and what is certain of the attempt: one row for each way a stream can fail.
const WIRE: Array<[string, FailurePoint, (socket: Socket) => void]> = [
  ['a connection cut before any answer', 'reset-after-send', (socket) => socket.destroy()],
  ['a refusal that says it did not run', 'endpoint-said-not-run', (socket) => socket.end('HTTP/1.1 503 X\r\nx-outcome: not-run\r\ncontent-length: 0\r\n\r\n')],
  ['a refusal by a host that leaves', 'endpoint-leaving', (socket) => socket.end('HTTP/1.1 503 X\r\nx-outcome: leaving\r\ncontent-length: 0\r\n\r\n')],
  ['a refusal that says nothing', 'endpoint-error', (socket) => socket.end('HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n')],
  ['a stream that ends without its end mark', 'torn-answer', (socket) => socket.end(events(chunk))],
  ['a stream that falls silent', 'timeout-after-send', (socket) => { socket.write(events(chunk)) }]
]

test.each(WIRE)('%s is %s', async (_name, point, answer) => {
  expect((await failureOf(await serving(answer))).point).toBe(point)
})

test('a port that nobody listens on is certain not to have run anything', async () => {
  const url = await serving(() => {})
  await open.pop()!.close()
  expect((await failureOf(url)).outcome).toBe('not-run')
})

test('a kept-alive connection that closes under a fresh request is unknown, and the request is not sent again', async () => {
  // A household gets two letters: the service reads the second request from an idle connection and closes it; the client library takes it for
  // one that was never read, and sends it again.
  let seen = 0
  const url = await serving((socket, request) => {
    seen = request
    if (request === 1) socket.write('HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 14\r\n\r\n{"answer":"a"}')
    else socket.destroy()
  })
  const service = new HttpService({ url, connections: 1 })
  open.push(service)
  expect(await service.call({ requestId: 'r1', input: 'x', timeoutMs: 1000 })).toBe('a')
  const failed = await service.call({ requestId: 'r2', input: 'x', timeoutMs: 1000 }).catch((err: AttemptError) => err)
  expect(failed).toMatchObject({ point: 'reset-after-send', outcome: 'unknown' })
  expect(seen).toBe(2)
})
