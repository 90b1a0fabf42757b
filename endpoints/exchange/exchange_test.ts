import { createServer, type AddressInfo, type Socket } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import type { AnswerHead } from '../../core/answer/index.ts'
import { as } from '../../core/ids/index.ts'
import { type AttemptError, type FailurePoint } from '../../core/outcome/index.ts'
import { noWork, type EndpointView } from '../../core/routing/index.ts'
import { delay } from '../../core/time/index.ts'
import { RawEndpoint, type RawRequest } from '../../standins/index.ts'
import type { Attachment, AttemptSink } from '../attempt.ts'
import { ExchangeClient, ExchangeRunner, valueOf, type AdmittedRequest, type ExchangeDialect } from './index.ts'

/** What came of one attempt. */
interface Ending { head: AnswerHead | undefined, pieces: Array<{ offset: number, text: string }>, total: number | undefined, failed: FailurePoint | undefined, failure: AttemptError | undefined }

const open: RawEndpoint[] = []
afterEach(async () => { for (const endpoint of open.splice(0)) await endpoint.close() })

/** Header names as short as they can be: which ones a platform has is tested there. */
const DIALECT: ExchangeDialect = {
  readRequest () { throw new Error('not used here') },
  attemptHeaders: (req) => [['host', 'a.example'], ['id', req.id], ...req.headers],
  readAnswer: (head) => ({
    requestId: valueOf(head, 'id'),
    genuine: valueOf(head, 'signed') !== undefined && valueOf(head, 'content-encoding') === undefined,
    notRun: valueOf(head, 'not-run') !== undefined,
    otherEndpoint: valueOf(head, 'other') !== undefined
  })
}

const idOf = (req: RawRequest) => /^id: (.*)$/im.exec(req.head)![1]!
const headOf = (req: RawRequest, extra = '') => `HTTP/1.1 200 OK\r\nid: ${idOf(req)}\r\nsigned: s\r\n${extra}`
const plain = (req: RawRequest, body = 'whole') => req.socket.write(`${headOf(req)}content-length: ${body.length}\r\n\r\n${body}`)

async function endpointOf (answer: (req: RawRequest) => void): Promise<{ endpoint: RawEndpoint, view: EndpointView }> {
  const endpoint = new RawEndpoint(answer)
  open.push(endpoint)
  const address = await endpoint.listen()
  return { endpoint, view: viewOf(address) }
}

function viewOf (address: string): EndpointView {
  const speed = { batchSlots: 8, prefillTokensPerS: 1, betweenTokensMs: 1, betweenTokensPerStreamMs: 0, exportTokensPerS: 0, importTokensPerS: 0 }
  return { id: as('e'), hostId: as('h'), pool: as('p'), failureDomain: as('d'), address, pricePerHour: 0, reclaimable: false, speed, firstMs: 0, slowness: 1, others: noWork(), own: noWork(), leavingAtMs: undefined, ejectedUntilMs: 0 }
}

function requestOf (id: string, change: Partial<AdmittedRequest> = {}): AdmittedRequest {
  return { id: as(id), method: 'GET', target: '/x', host: 'a.example', headers: [], body: Buffer.alloc(0), credential: undefined, deadlineInMs: 1000, demand: undefined, resumeFrom: 0, account: undefined, ...change }
}

const clientOf = (most = 4) => new ExchangeClient({ connectionsTo: () => most })

function send (client: ExchangeClient, view: EndpointView, req: AdmittedRequest, from = 0): { ending: Promise<Ending>, attachment: Attachment } {
  const ending: Ending = { head: undefined, pieces: [], total: undefined, failed: undefined, failure: undefined }
  let attachment: Attachment | undefined
  const done = new Promise<Ending>((resolve) => {
    const sink: AttemptSink<Buffer> = {
      onHead: (head) => { ending.head = head },
      onChunk: (offset, pieces) => pieces.forEach((piece, i) => ending.pieces.push({ offset: offset + i, text: piece.toString() })),
      onEnd: (total) => { ending.total = total; resolve(ending) },
      onError: (err) => { ending.failed = err.point; ending.failure = err; resolve(ending) },
      onLoad: () => {}
    }
    attachment = new ExchangeRunner({ req, client, dialect: DIALECT }).start(view, { attempt: 1, mode: 'fresh', lane: 'normal', done: [], from, deadlineInMs: 1000, kvHandle: undefined }, sink)
  })
  return { ending: done, attachment: attachment! }
}

const ask = (client: ExchangeClient, view: EndpointView, req: AdmittedRequest, from = 0) => send(client, view, req, from).ending

test('requests follow each other on one connection, and their bytes are handed on unchanged', async () => {
  const { endpoint, view } = await endpointOf((req) => plain(req, `echo ${req.body.toString()}`))
  const client = clientOf()
  for (const word of ['one', 'two']) {
    const { pieces, total, head } = await ask(client, view, requestOf(word, { method: 'POST', target: '/a/b?c=%20d', body: Buffer.from(word), headers: [['X-Kept', 'As-It-Is']] }))
    expect([pieces, total, head!.status]).toEqual([[{ offset: 0, text: `echo ${word}` }], 1, 200])
    await delay(5)
  }
  expect(endpoint.connections).toBe(1)
  expect(endpoint.requests[0]!.head).toMatch(/^POST \/a\/b\?c=%20d HTTP\/1\.1\r\n/)
  expect(endpoint.requests[0]!.head).toContain('X-Kept: As-It-Is')
})

test('an answer without a length is whole when its connection ends, and torn when it is reset', async () => {
  // A caller gets half of a confirmation that looks whole: the endpoint crashed while it wrote an answer without a length, the connection was
  // reset, and the client library took the reset for the end.
  const { view } = await endpointOf((req) => {
    req.socket.write(`${headOf(req, 'connection: close\r\n')}\r\nhalf`)
    setTimeout(() => (idOf(req) === 'whole' ? req.socket.end(' and half') : req.socket.resetAndDestroy()), 20)
  })
  expect(await ask(clientOf(), view, requestOf('whole'))).toMatchObject({ pieces: [{ offset: 0, text: 'half and half' }], total: 1 })
  expect(await ask(clientOf(), view, requestOf('reset'))).toMatchObject({ pieces: [], failed: 'torn-answer' })
})

test('a reset that comes together with the last bytes is no end', async () => {
  // A caller gets half of a confirmation that looks whole: bytes and reset arrive in one turn of the event loop, and the runtime reads the bytes
  // and reports the end of the connection, not its error.
  const { view } = await endpointOf((req) => {
    req.socket.write(`${headOf(req, 'connection: close\r\n')}\r\nhalf`)
    req.socket.resetAndDestroy()
  })
  for (let i = 0; i < 10; i++) expect(await ask(clientOf(), view, requestOf(`reset-${i}`))).toMatchObject({ pieces: [], total: undefined })
})

test('bytes after a whole answer close the connection and reach nobody', async () => {
  // A caller gets another caller's confirmation: the endpoint sent a second answer, and the next request on the connection took it for its own.
  const { endpoint, view } = await endpointOf((req) => {
    plain(req, 'mine')
    if (req.nth === 1) req.socket.write(`${headOf(req)}content-length: 6\r\n\r\nsecond`)
  })
  const client = clientOf()
  expect(await ask(client, view, requestOf('a'))).toMatchObject({ pieces: [{ text: 'mine' }], total: 1 })
  await delay(20)
  expect(await ask(client, view, requestOf('b'))).toMatchObject({ pieces: [{ text: 'mine' }], total: 1 })
  expect(endpoint.requests.map(({ nth }) => nth)).toEqual([1, 1])
})

test('an answer that comes late, where the next one is due, is known by its id and handed to nobody', async () => {
  // The same, with the second answer under way while the next request is written: only the id tells whose it is.
  const { view } = await endpointOf((req) => {
    if (req.nth === 1) return plain(req, 'mine')
    req.socket.write('HTTP/1.1 200 OK\r\nid: a\r\nsigned: s\r\ncontent-length: 4\r\n\r\nlate')
    plain(req, 'mine')
  })
  const client = clientOf()
  await ask(client, view, requestOf('a'))
  await delay(5)
  expect(await ask(client, view, requestOf('b'))).toMatchObject({ pieces: [], failed: 'foreign-answer' })
})

test('an answer without a signature, with an encoding, or that is no answer is not handed on', async () => {
  const answers: Record<string, (req: RawRequest) => string> = {
    unsigned: (req) => `HTTP/1.1 200 OK\r\nid: ${idOf(req)}\r\ncontent-length: 1\r\n\r\nx`,
    encoded: (req) => `${headOf(req)}content-encoding: gzip\r\ncontent-length: 1\r\n\r\nx`,
    noise: () => 'neither head nor body\r\n\r\n',
    unnamed: () => 'HTTP/1.1 200 OK\r\nsigned: s\r\ncontent-length: 1\r\n\r\nx'
  }
  const { view } = await endpointOf((req) => { req.socket.write(answers[idOf(req)]!(req)) })
  for (const kind of Object.keys(answers)) {
    const { pieces, total, failure } = await ask(clientOf(), view, requestOf(kind))
    expect([kind, pieces, total, failure!.outcome]).toEqual([kind, [], undefined, 'unknown'])
  }
})

test('what the endpoint says of a refused request is believed, and nothing else is', async () => {
  const answers: Record<string, [text: string, point: FailurePoint]> = {
    shed: ['HTTP/1.1 503 Busy\r\nnot-run: 1\r\n', 'endpoint-said-not-run'],
    moved: ['HTTP/1.1 421 Misdirected\r\nother: e2\r\n', 'endpoint-gone'],
    broken: ['HTTP/1.1 500 Failed\r\nsigned: s\r\n', 'endpoint-error'],
    silent: ['HTTP/1.1 503 Busy\r\n', 'endpoint-error']
  }
  const { view } = await endpointOf((req) => { req.socket.write(`${answers[idOf(req)]![0]}id: ${idOf(req)}\r\ncontent-length: 3\r\n\r\nwhy`) })
  for (const [kind, [, point]] of Object.entries(answers)) expect([kind, (await ask(clientOf(), view, requestOf(kind))).failed]).toEqual([kind, point])
  const { failure } = await ask(clientOf(), view, requestOf('broken'))
  expect([failure!.answer!.head.status, failure!.answer!.body.toString()]).toEqual([500, 'why'])
})

test('a request that was not written certainly did not run; one that was may have', async () => {
  const { endpoint, view } = await endpointOf((req) => req.socket.destroy())
  expect(await ask(clientOf(), view, requestOf('a'))).toMatchObject({ failed: 'reset-after-send', failure: { outcome: 'unknown' } })
  await endpoint.close()
  expect(await ask(clientOf(), view, requestOf('b'))).toMatchObject({ failed: 'connect-refused', failure: { outcome: 'not-run' } })
  expect(await ask(clientOf(0), view, requestOf('c'))).toMatchObject({ failed: 'before-send', failure: { outcome: 'not-run' } })
})

test('a connection that the endpoint closed while idle is not used again', async () => {
  // Callers are told 502 in bursts: an endpoint closes idle connections, and each request that still goes out on one may or may not have run.
  const { endpoint, view } = await endpointOf((req) => {
    plain(req)
    setTimeout(() => req.socket.end(), 10)
  })
  const client = clientOf()
  for (const id of ['a', 'b', 'c']) {
    expect(await ask(client, view, requestOf(id))).toMatchObject({ total: 1 })
    await delay(40)
  }
  expect(endpoint.requests).toHaveLength(3)
})

test('an endpoint that answers before it has read a long body gets the rest of that body, and nothing else', async () => {
  // Another caller's request is read as the end of a body: the endpoint answered early, kept the connection, and read on where a new request came.
  const seen: Buffer[] = []
  const sockets: Socket[] = []
  const early = createServer((socket) => {
    let answered = false
    sockets.push(socket)
    socket.on('error', () => {})
    socket.on('data', (chunk: Buffer) => {
      seen.push(chunk)
      if (answered) return
      answered = true
      socket.write('HTTP/1.1 413 Too large\r\nid: a\r\nsigned: s\r\ncontent-length: 0\r\n\r\n')
      socket.pause()
      setTimeout(() => socket.resume(), 30)
    })
  })
  await new Promise<void>((resolve) => early.listen(0, '127.0.0.1', resolve))
  const view = viewOf(`127.0.0.1:${(early.address() as AddressInfo).port}`)
  const client = clientOf(1)
  const body = Buffer.alloc(3_000_000, 'a')
  expect(await ask(client, view, requestOf('a', { method: 'POST', body }))).toMatchObject({ total: 0, head: { status: 413 } })
  const next = send(client, view, requestOf('b'))
  await delay(300)
  next.attachment.detach()
  const text = Buffer.concat(seen).toString('latin1')
  const afterHead = text.slice(text.indexOf('\r\n\r\n') + 4)
  expect(afterHead.slice(0, body.length).replaceAll('a', '')).toBe('')
  for (const socket of sockets) socket.destroy()
  await new Promise<void>((resolve) => { early.close(() => resolve()) })
})

test('a stream is handed on event by event, and one that breaks off inside an event leaves that event out', async () => {
  // A caller's letter ends in half a word and goes on with the next: the endpoint crashed inside an event.
  const events = (from: number, to: number) => Array.from({ length: to - from }, (_, i) => `id: ${from + i + 1}\ndata: t${from + i + 1}\n\n`).join('')
  const { view } = await endpointOf((req) => {
    const from = Number(/^from: (\d+)$/im.exec(req.head)?.[1] ?? 0)
    const text = idOf(req) === 'whole' ? events(from, 6) : `${events(from, 3)}id: 4\nda`
    req.socket.write(headOf(req, 'content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n'))
    // Cut at odd places, as a network does.
    for (let at = 0; at < text.length; at += 7) req.socket.write(`${Math.min(7, text.length - at).toString(16)}\r\n${text.slice(at, at + 7)}\r\n`)
    if (idOf(req) === 'whole') req.socket.write('0\r\n\r\n')
    else req.socket.destroy()
  })
  const whole = await ask(clientOf(), view, requestOf('whole', { headers: [['from', '2']] }), 2)
  expect(whole).toMatchObject({ total: 6, pieces: [3, 4, 5, 6].map((id) => ({ offset: id - 1, text: `id: ${id}\ndata: t${id}\n\n` })) })
  const cut = await ask(clientOf(), view, requestOf('cut'))
  expect(cut).toMatchObject({ failed: 'torn-answer', total: undefined, pieces: [{ offset: 0 }, { offset: 1 }, { offset: 2 }] })
})

test('a stream that ends in good order inside an event is torn', async () => {
  const { view } = await endpointOf((req) => {
    const text = 'id: 1\ndata: t1\n\nid: 2\ndata'
    req.socket.write(`${headOf(req, 'content-type: text/event-stream\r\n')}content-length: ${text.length}\r\n\r\n${text}`)
  })
  expect(await ask(clientOf(), view, requestOf('a'))).toMatchObject({ failed: 'torn-answer', pieces: [{ offset: 0 }] })
})

test('when nobody waits any more, the endpoint sees its connection closed at once', async () => {
  // An engine goes on for seconds with a review whose caller has left.
  let closedAtMs = 0
  const { view } = await endpointOf((req) => { req.socket.on('close', () => { closedAtMs = performance.now() }) })
  const { attachment } = send(clientOf(), view, requestOf('a'))
  await delay(30)
  const leftAtMs = performance.now()
  attachment.detach()
  await delay(50)
  expect(closedAtMs).toBeGreaterThan(0)
  expect(closedAtMs - leftAtMs).toBeLessThan(500)
})

test('no more connections are opened than the endpoint gives to one daemon', async () => {
  const { endpoint, view } = await endpointOf((req) => { setTimeout(() => plain(req), 30) })
  const client = clientOf(3)
  const endings = await Promise.all(Array.from({ length: 5 }, (_, i) => ask(client, view, requestOf(`r${i}`))))
  expect(endings.map(({ failed, total }) => failed ?? total)).toEqual([1, 1, 1, 'before-send', 'before-send'])
  expect(endpoint.connections).toBe(3)
})
