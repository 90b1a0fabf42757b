import { createServer, request, type ClientRequest, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { MemoryAccount, type MemoryEntry } from '../../core/memory/index.ts'
import { delay } from '../../core/time/index.ts'
import { BodyReader, type RequestBody } from './body_reader.ts'
import { Refusal } from './refusal.ts'

const KB = 1024
const LIMITS = { headerBytes: 16 * KB, bodyBytes: 700 * KB, headerMs: 1000, idleMs: 5000 }
/** The high mark is at three quarters. */
const LIMIT_BYTES = 800 * KB

let account: MemoryAccount
let server: Server
let read: Array<RequestBody | Error>
const sent: ClientRequest[] = []

beforeEach(async () => {
  account = new MemoryAccount({ limitBytes: LIMIT_BYTES })
  read = []
  await start()
})
afterEach(() => {
  for (const req of sent.splice(0)) req.destroy()
  server.closeAllConnections()
  server.close()
})

async function start (): Promise<void> {
  const reader = new BodyReader(account)
  server = createServer((req, res) => {
    reader.read(req, { limits: LIMITS, deadlineInMs: 4000 }).then((body) => { read.push(body); res.end() }, (err: Error) => { read.push(err); res.writeHead(503).end() })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
}

/** Sends a body; only its first byte if it is not to be whole. */
function send (bytes: number, { whole = true, chunked = false } = {}): ClientRequest {
  const req = request({ host: '127.0.0.1', port: (server.address() as AddressInfo).port, method: 'POST', headers: chunked ? {} : { 'content-length': bytes } })
  req.on('error', () => { /* the server may close the connection of a refused body */ })
  req.on('response', (res) => res.resume())
  if (whole) req.end(Buffer.alloc(bytes, 'x'))
  else req.write('x')
  sent.push(req)
  return req
}

async function until (holds: () => boolean): Promise<void> {
  for (let i = 0; i < 300 && !holds(); i++) await delay(10)
  expect(holds()).toBe(true)
}
const entryOf = (body: RequestBody | Error | undefined): MemoryEntry => (body as RequestBody).entry!

test('a body has room for all of it before it is read, and the next one waits until there is room', async () => {
  // Guards against bodies that are half read and all wait for each other's memory.
  send(400 * KB, { whole: false })
  await until(() => account.bytesOf('request-body') === 400 * KB)
  send(300 * KB)
  await delay(50)
  expect(account.heldBytes).toBe(400 * KB)
  sent[0]!.end(Buffer.alloc(400 * KB - 1, 'x'))
  await until(() => read.length === 1)
  expect([account.bytesOf('request-body'), account.bytesOf('queued')]).toEqual([0, 400 * KB])
  entryOf(read[0]).close()
  await until(() => read.length === 2)
  expect([(read[1] as RequestBody).bytes.length, account.bytesOf('queued')]).toEqual([300 * KB, 300 * KB])
})

test('a body that finds no room in time is refused with 503 and a time to come back, and small ones are still read', async () => {
  account.open('sending', 590 * KB)
  send(100 * KB)
  send(KB)
  await until(() => read.length === 2)
  expect([(read[0] as RequestBody).bytes.length, read[1]]).toEqual([KB, expect.any(Refusal)])
  expect(read[1]).toMatchObject({ status: 503, retryAfterMs: 1000 })
  expect(account.bytesOf('request-body')).toBe(0)
})

test('at the limit a body is refused at once, and one of unknown length as soon as it finds no room', async () => {
  const held = account.open('sending', LIMIT_BYTES)
  send(100 * KB)
  await until(() => read.length === 1)
  held.set(500 * KB)
  send(300 * KB, { chunked: true })
  await until(() => read.length === 2)
  expect(read.map((each) => (each as Refusal).status)).toEqual([503, 503])
  expect(account.heldBytes).toBe(500 * KB)
})

test('a caller that leaves gives its room back, also while it waits', async () => {
  send(400 * KB, { whole: false })
  await until(() => account.heldBytes === 400 * KB)
  send(400 * KB, { whole: false })
  await delay(50)
  sent[1]!.destroy()
  await until(() => read.length === 1)
  sent[0]!.destroy()
  await until(() => read.length === 2)
  expect([account.heldBytes, read.every((each) => each instanceof Error)]).toEqual([0, true])
})

test('a body that is too large is refused before it is read', async () => {
  send(701 * KB, { whole: false })
  await until(() => read.length === 1)
  expect(read[0]).toMatchObject({ status: 413 })
})

test('without a limit bodies are read at once and counted as they come', async () => {
  server.close()
  account = new MemoryAccount()
  await start()
  account.open('answer', 1e12)
  send(400 * KB)
  send(300 * KB, { chunked: true })
  await until(() => read.length === 2)
  expect(account.bytesOf('queued')).toBe(700 * KB)
})

test('a body over the high mark is read alone, and otherwise refused at once, so that those behind it are read', async () => {
  // Guards against one large body that makes a daemon refuse sound ones while it holds nothing.
  const held = account.open('sending', KB)
  send(650 * KB, { whole: false })
  await until(() => read.length === 1)
  expect(read[0]).toMatchObject({ status: 503 })
  held.close()
  send(650 * KB)
  await until(() => read.length === 2)
  expect((read[1] as RequestBody).bytes.length).toBe(650 * KB)
})

test('a body that stops waiting lets those behind it in', async () => {
  // Guards against bodies that wait, although they have room, until another one ends.
  account.open('sending', 400 * KB)
  send(300 * KB, { whole: false })
  await delay(50)
  send(100 * KB)
  await delay(50)
  expect(read).toHaveLength(0)
  sent[0]!.destroy()
  await until(() => read.length === 2)
  expect(read.map((each) => (each instanceof Error ? 'left' : each.bytes.length)).sort()).toEqual([100 * KB, 'left'])
})

test('a body of unknown length that found no room is not read on', async () => {
  account.open('sending', 500 * KB)
  const req = send(0, { whole: false, chunked: true })
  req.write(Buffer.alloc(300 * KB, 'x'))
  await until(() => read.length === 1)
  const before = account.heldBytes
  req.write(Buffer.alloc(10 * KB, 'x'))
  await delay(50)
  expect([read.length, before, account.heldBytes]).toEqual([1, 500 * KB, 500 * KB])
})
