import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { AttemptError, type FailurePoint } from '../core/outcome/index.ts'
import { HttpEngine, HttpService, type StreamSpec } from './index.ts'

const SPEC: StreamSpec = { streamId: 's', prompt: 'p', done: [], maxTokens: 3, priority: 1, keepMs: 0 }
const openResources: Array<{ close (): unknown }> = []

afterEach(async () => { for (const each of openResources.splice(0)) await each.close() })

/** Starts a server that handles each request with `answer`, and returns its URL. */
async function startServer (answer: (socket: Socket, request: number) => void): Promise<string> {
  const sockets = new Set<Socket>()
  let requests = 0
  const server: Server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('data', () => answer(socket, ++requests))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  openResources.push({ close: () => { sockets.forEach((socket) => socket.destroy()); server.close() } })
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`
}

function streamFailure (url: string): Promise<AttemptError> {
  const engine = new HttpEngine({ url, idleTimeoutMs: 200 })
  openResources.push(engine)
  return new Promise((resolve, reject) => {
    engine.start(SPEC, { onChunk () {}, onLoad () {}, onEnd: () => reject(new Error('ended')), onError: resolve })
  })
}

const events = (...parts: string[]) => `HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n${parts.join('')}`
const chunk = 'event: chunk\ndata: {"offset":0,"tokens":["a"]}\n\n'

// One row for each way a stream can fail: description, expected failure point, behaviour of the server.
const WIRE: Array<[string, FailurePoint, (socket: Socket) => void]> = [
  ['a connection cut before any answer', 'reset-after-send', (socket) => socket.destroy()],
  ['a refusal that says it did not run', 'endpoint-said-not-run', (socket) => socket.end('HTTP/1.1 503 X\r\nx-outcome: not-run\r\ncontent-length: 0\r\n\r\n')],
  ['a refusal by a host that is leaving', 'endpoint-leaving', (socket) => socket.end('HTTP/1.1 503 X\r\nx-outcome: leaving\r\ncontent-length: 0\r\n\r\n')],
  ['a refusal without an outcome header', 'endpoint-error', (socket) => socket.end('HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n')],
  ['a stream that ends without an end event', 'torn-answer', (socket) => socket.end(events(chunk))],
  ['a stream that stops sending data', 'timeout-after-send', (socket) => { socket.write(events(chunk)) }]
]

test.each(WIRE)('%s is %s', async (_name, point, answer) => {
  expect((await streamFailure(await startServer(answer))).point).toBe(point)
})

test('a request to a port without a listener is known not to have run', async () => {
  const url = await startServer(() => {})
  await openResources.pop()!.close()
  expect((await streamFailure(url)).outcome).toBe('not-run')
})

test('a request whose keep-alive connection closes before the answer has an unknown outcome and is not retried', async () => {
  // Guards against work that runs twice: the service reads a request from an idle connection and closes it, and the client library assumes
  // that the request was never read and sends it again.
  let seen = 0
  const url = await startServer((socket, request) => {
    seen = request
    if (request === 1) socket.write('HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 14\r\n\r\n{"answer":"a"}')
    else socket.destroy()
  })
  const service = new HttpService({ url, connections: 1 })
  openResources.push(service)
  expect(await service.call({ requestId: 'r1', input: 'x', timeoutMs: 1000 })).toBe('a')
  const failed = await service.call({ requestId: 'r2', input: 'x', timeoutMs: 1000 }).catch((err: AttemptError) => err)
  expect(failed).toMatchObject({ point: 'reset-after-send', outcome: 'unknown' })
  expect(seen).toBe(2)
})
