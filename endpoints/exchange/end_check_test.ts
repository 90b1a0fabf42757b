import type { Socket } from 'node:net'
import { Worker } from 'node:worker_threads'
import { expect, test } from 'vitest'
import { as } from '../../core/ids/index.ts'
import { noWork, type EndpointView } from '../../core/routing/index.ts'
import { delay, steadyNow } from '../../core/time/index.ts'
import type { FailurePoint } from '../../core/outcome/index.ts'
import { RawEndpoint } from '../../standins/index.ts'
import { UnansweredAddress } from '../../standins/unanswered_address.ts'
import type { Attachment } from '../attempt.ts'
import { dial } from '../dial.ts'
import { createEndCheck, ExchangeClient, ExchangeRunner, headerValue, type AdmittedRequest, type EndCheck, type ExchangeDialect } from './index.ts'

const DIALECT: ExchangeDialect = {
  readRequest () { throw new Error('not used here') },
  attemptHeaders: (req) => [['host', 'a.example'], ['id', req.id]],
  readAnswer: (head) => ({ requestId: headerValue(head, 'id'), genuine: true, notRun: false, otherEndpoint: false })
}

function viewOf (address: string): EndpointView {
  const speed = { batchSlots: 8, prefillTokensPerS: 1, betweenTokensMs: 1, betweenTokensPerStreamMs: 0, exportTokensPerS: 0, importTokensPerS: 0 }
  return { id: as('e'), hostId: as('h'), pool: as('p'), failureDomain: as('d'), address, pricePerHour: 0, reclaimable: false, speed, firstMs: 0, latencyFactor: 1, others: noWork(), own: noWork(), leavingAtMs: undefined, ejectedUntilMs: 0 }
}

function requestOf (id: string): AdmittedRequest {
  return { id: as(id), method: 'GET', target: '/x', host: 'a.example', headers: [], body: Buffer.alloc(0), credential: undefined, deadlineInMs: 1000, demand: undefined, resumeFrom: 0, streamId: undefined, account: undefined }
}

/** Result of a stream without a length: the number of its events and how it ended. */
interface StreamResult { events: number, ended: 'whole' | FailurePoint | undefined, attachment: Attachment }

function read (id: string, { client, view, checkEnd }: { client: ExchangeClient, view: EndpointView, checkEnd: EndCheck }, onEvent = () => {}): StreamResult {
  const result: StreamResult = { events: 0, ended: undefined, attachment: { detach: () => {} } }
  result.attachment = new ExchangeRunner({ req: requestOf(id), client, dialect: DIALECT, checkEnd }).start(view, { attempt: 1, mode: 'fresh', lane: 'normal', done: [], from: 0, deadlineInMs: 1000, kvHandle: undefined }, {
    onChunk: () => {
      result.events++
      onEvent()
    },
    onEnd: () => { result.ended = 'whole' },
    onError: ({ point }) => { result.ended = point },
    onLoad: () => {}
  })
  return result
}

async function until (isTrue: () => boolean): Promise<void> {
  for (let waitedMs = 0; !isTrue() && waitedMs < 5000; waitedMs += 5) await delay(5)
}

/** An address at which every connection is reset once it is accepted, before this process sees that it was. */
async function resettingAddress (): Promise<{ address: string, close (): Promise<unknown> }> {
  const worker = new Worker(`
    const { parentPort } = require('node:worker_threads')
    const server = require('node:net').createServer((socket) => socket.resetAndDestroy())
    server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port))
  `, { eval: true })
  const port = await new Promise((resolve) => worker.once('message', resolve))
  return { address: `127.0.0.1:${port}`, close: () => worker.terminate() }
}

/** Starts an endpoint that begins streams without a length. */
async function startStreams (): Promise<{ endpoint: RawEndpoint, view: EndpointView, sockets: Map<string, Socket> }> {
  const sockets = new Map<string, Socket>()
  const endpoint = new RawEndpoint(({ head, socket }) => {
    const id = /^id: (.*)$/im.exec(head)![1]!
    sockets.set(id, socket)
    socket.write(`HTTP/1.1 200 OK\r\nid: ${id}\r\ncontent-type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n`)
  })
  return { endpoint, view: viewOf(await endpoint.listen()), sockets }
}

test('half a stream does not look whole because this process is late to read that the other connections ended', async () => {
  // Guards against a process without processor time that takes the connections of a killed endpoint for open.
  const { endpoint, view, sockets } = await startStreams()
  const client = new ExchangeClient({ maxConnections: () => 4 })
  const check = createEndCheck({ dial: ({ address }, options) => dial(address, options), lastActivityAtMs: () => -Infinity })
  const checkEnd: EndCheck = async (view) => {
    const result = check(view)
    endpoint.close()
    for (const untilMs = performance.now() + 60; performance.now() < untilMs;) { /* no processor time */ }
    return await result
  }
  const streams = ['a', 'b'].map((id) => read(id, { client, view, checkEnd }))
  await until(() => streams.every(({ events }) => events === 1))
  sockets.get('a')!.end()
  await until(() => streams.every(({ ended }) => ended !== undefined))
  expect(streams.map(({ ended }) => ended)).toEqual(['torn-answer', 'torn-answer'])
})

test('half a stream does not look whole because another connection to its endpoint is being opened', async () => {
  // Guards against requests that are sent to an endpoint in the moment in which it is killed.
  const { endpoint, view, sockets } = await startStreams()
  const unanswered = await UnansweredAddress.open()
  let addressOf = (address: string) => address
  const client = new ExchangeClient({ maxConnections: () => 4, addressOf: (address) => addressOf(address) })
  const checkEnd = createEndCheck({ dial: ({ address }, options) => dial(address, options), lastActivityAtMs: () => -Infinity })
  const first = read('a', { client, view, checkEnd })
  await until(() => first.events === 1)
  addressOf = () => unanswered.address
  read('b', { client, view, checkEnd })
  sockets.get('a')!.end()
  await endpoint.close()
  await until(() => first.ended !== undefined)
  expect(first.ended).toBe('torn-answer')
  await unanswered.close()
})

test('half a stream does not look whole because an answer that is not read comes from the same endpoint', async () => {
  // Guards against a killed endpoint that counts as alive while the answer of a slow caller pauses: the end of its connection is not read.
  const { endpoint, view, sockets } = await startStreams()
  const client = new ExchangeClient({ maxConnections: () => 4 })
  const checkEnd = createEndCheck({ dial: ({ address }, options) => dial(address, options), lastActivityAtMs: () => -Infinity })
  const first = read('a', { client, view, checkEnd })
  const slow = read('b', { client, view, checkEnd })
  await until(() => first.events === 1 && slow.events === 1)
  slow.attachment.pause!()
  sockets.get('a')!.end()
  await endpoint.close()
  await until(() => first.ended !== undefined)
  expect(first.ended).toBe('torn-answer')
})

test('half a stream does not look whole because its endpoint cannot be reached any more', async () => {
  // Guards against an endpoint whose host goes with it: that nothing answers does not show that the answer had ended.
  const { endpoint, view, sockets } = await startStreams()
  const unanswered = await UnansweredAddress.open()
  const client = new ExchangeClient({ maxConnections: () => 4 })
  const checkEnd = createEndCheck({ dial: () => dial(unanswered.address, { timeoutMs: 200 }), lastActivityAtMs: () => -Infinity })
  const first = read('a', { client, view, checkEnd })
  await until(() => first.events === 1)
  sockets.get('a')!.end()
  await endpoint.close()
  await until(() => first.ended !== undefined)
  expect(first.ended).toBe('torn-answer')
  await unanswered.close()
})

test('a connection whose answer ended while it was not read is read again for the next request', async () => {
  // Guards against requests that run and whose answers are never read, since the answer before paused with its last bytes.
  const endpoint = new RawEndpoint(({ head, socket }) => {
    const event = 'id: 1\ndata: a\n\n'
    socket.write(`HTTP/1.1 200 OK\r\nid: ${/^id: (.*)$/im.exec(head)![1]!}\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n${event.length.toString(16)}\r\n${event}\r\n0\r\n\r\n`)
  })
  const view = viewOf(await endpoint.listen())
  const client = new ExchangeClient({ maxConnections: () => 4 })
  const checkEnd: EndCheck = async () => 'alive'
  const first = read('a', { client, view, checkEnd }, () => first.attachment.pause!())
  await until(() => first.ended !== undefined)
  first.attachment.resume!()
  await delay(50)
  const second = read('b', { client, view, checkEnd })
  await until(() => endpoint.requests.length === 2)
  await delay(300)
  expect([first.ended, second.ended, endpoint.connections]).toEqual(['whole', 'whole', 1])
  await endpoint.close()
})

test('a whole stream is not broken off because its endpoint resets further connections', async () => {
  // Guards against answers that are cut at their end while their endpoint has as many connections as it takes.
  const resetting = await resettingAddress()
  const check = createEndCheck({
    dial: async ({ address }) => {
      const result = dial(address)
      // The reset arrives before this process sees that the connection was accepted.
      for (const untilMs = performance.now() + 20; performance.now() < untilMs;);
      return await result
    },
    lastActivityAtMs: () => -Infinity
  })
  for (let i = 0; i < 20; i++) expect(await check(viewOf(resetting.address))).toBe('alive')
  await resetting.close()
})

test('a whole stream is not broken off because one connection attempt is lost while its endpoint sends other answers', async () => {
  // Guards against answers that are cut at their end on links that lose packets.
  const check = createEndCheck({ dial: async () => 'unanswered', lastActivityAtMs: () => steadyNow() + 1 })
  expect(await check(viewOf('127.0.0.1:1'))).toBe('alive')
})
