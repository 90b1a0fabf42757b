import { createServer, type AddressInfo, type Socket } from 'node:net'
import { afterEach, expect, test, vi } from 'vitest'
import type { AnswerHead } from '../../core/answer/index.ts'
import { as } from '../../core/ids/index.ts'
import { MemoryAccount } from '../../core/memory/index.ts'
import { type AttemptError, type FailurePoint } from '../../core/outcome/index.ts'
import { noWork, type EndpointView } from '../../core/routing/index.ts'
import { delay, PollWatch, steadyNow } from '../../core/time/index.ts'
import { RawEndpoint, type RawRequest } from '../../standins/index.ts'
import type { Attachment, AttemptSink, EndpointSignals } from '../attempt.ts'
import { ExchangeClient, ExchangeRunner, headerValue, type AdmittedRequest, type ExchangeDialect } from './index.ts'

/** Recorded result of one attempt. */
interface AttemptResult { head: AnswerHead | undefined, pieces: Array<{ offset: number, text: string }>, total: number | undefined, failed: FailurePoint | undefined, failure: AttemptError | undefined, signals: EndpointSignals[] }

const openEndpoints: RawEndpoint[] = []
afterEach(async () => { for (const endpoint of openEndpoints.splice(0)) await endpoint.close() })

/** Minimal dialect; the header names of a platform are tested with that platform's dialect. */
const DIALECT: ExchangeDialect = {
  readRequest () { throw new Error('not used here') },
  attemptHeaders: (req) => [['host', 'a.example'], ['id', req.id], ...req.headers],
  readAnswer: (head) => ({
    requestId: headerValue(head, 'id'),
    genuine: headerValue(head, 'signed') !== undefined && headerValue(head, 'content-encoding') === undefined,
    notRun: headerValue(head, 'not-run') !== undefined,
    otherEndpoint: headerValue(head, 'other') !== undefined,
    leaving: headerValue(head, 'leaving') === undefined ? undefined : true
  })
}

const idOf = (req: RawRequest) => /^id: (.*)$/im.exec(req.head)![1]!
const answerHead = (req: RawRequest, extra = '') => `HTTP/1.1 200 OK\r\nid: ${idOf(req)}\r\nsigned: s\r\n${extra}`
const writeAnswer = (req: RawRequest, body = 'whole') => req.socket.write(`${answerHead(req)}content-length: ${body.length}\r\n\r\n${body}`)

async function startEndpoint (answer: (req: RawRequest) => void): Promise<{ endpoint: RawEndpoint, view: EndpointView }> {
  const endpoint = new RawEndpoint(answer)
  openEndpoints.push(endpoint)
  const address = await endpoint.listen()
  return { endpoint, view: viewOf(address) }
}

function viewOf (address: string): EndpointView {
  const speed = { batchSlots: 8, prefillTokensPerS: 1, betweenTokensMs: 1, betweenTokensPerStreamMs: 0, exportTokensPerS: 0, importTokensPerS: 0 }
  return { id: as('e'), hostId: as('h'), pool: as('p'), failureDomain: as('d'), address, pricePerHour: 0, reclaimable: false, speed, firstMs: 0, latencyFactor: 1, others: noWork(), own: noWork(), leavingAtMs: undefined, ejectedUntilMs: 0 }
}

function requestOf (id: string, change: Partial<AdmittedRequest> = {}): AdmittedRequest {
  return { id: as(id), method: 'GET', target: '/x', host: 'a.example', headers: [], body: Buffer.alloc(0), credential: undefined, deadlineInMs: 1000, demand: undefined, resumeFrom: 0, streamId: undefined, account: undefined, ...change }
}

const clientOf = (maxConnections = 4) => new ExchangeClient({ maxConnections: () => maxConnections })

function send (client: ExchangeClient, view: EndpointView, req: AdmittedRequest, from = 0): { ending: Promise<AttemptResult>, attachment: Attachment } {
  const ending: AttemptResult = { head: undefined, pieces: [], total: undefined, failed: undefined, failure: undefined, signals: [] }
  let attachment: Attachment | undefined
  const done = new Promise<AttemptResult>((resolve) => {
    const sink: AttemptSink<Buffer> = {
      onHead: (head) => { ending.head = head },
      onSignals: ({ leaving }) => { ending.signals.push({ leaving }) },
      onChunk: (offset, pieces) => pieces.forEach((piece, i) => ending.pieces.push({ offset: offset + i, text: piece.toString() })),
      onEnd: (total) => { ending.total = total; resolve(ending) },
      onError: (err) => { ending.failed = err.point; ending.failure = err; resolve(ending) },
      onLoad: () => {}
    }
    attachment = new ExchangeRunner({ req, client, dialect: DIALECT }).start(view, { attempt: 1, mode: 'fresh', lane: 'normal', done: [], from, deadlineInMs: 1000, kvHandle: undefined }, sink)
  })
  return { ending: done, attachment: attachment! }
}

const sendAndWait = (client: ExchangeClient, view: EndpointView, req: AdmittedRequest, from = 0) => send(client, view, req, from).ending

test('consecutive requests reuse one connection, and their bytes are forwarded unchanged', async () => {
  const { endpoint, view } = await startEndpoint((req) => writeAnswer(req, `echo ${req.body.toString()}`))
  const client = clientOf()
  for (const word of ['one', 'two']) {
    const { pieces, total, head } = await sendAndWait(client, view, requestOf(word, { method: 'POST', target: '/a/b?c=%20d', body: Buffer.from(word), headers: [['X-Kept', 'As-It-Is']] }))
    expect([pieces, total, head!.status]).toEqual([[{ offset: 0, text: `echo ${word}` }], 1, 200])
    await delay(5)
  }
  expect(endpoint.connections).toBe(1)
  expect(endpoint.requests[0]!.head).toMatch(/^POST \/a\/b\?c=%20d HTTP\/1\.1\r\n/)
  expect(endpoint.requests[0]!.head).toContain('X-Kept: As-It-Is')
})

test('an answer without a length is complete when its connection ends, and torn when it is reset', async () => {
  // Guards against a truncated answer that looks complete: the endpoint crashes while it writes an answer without a length, and the client
  // library treats the connection reset as the end of the answer.
  const { view } = await startEndpoint((req) => {
    req.socket.write(`${answerHead(req, 'connection: close\r\n')}\r\nhalf`)
    setTimeout(() => (idOf(req) === 'whole' ? req.socket.end(' and half') : req.socket.resetAndDestroy()), 20)
  })
  expect(await sendAndWait(clientOf(), view, requestOf('whole'))).toMatchObject({ pieces: [{ offset: 0, text: 'half and half' }], total: 1 })
  expect(await sendAndWait(clientOf(), view, requestOf('reset'))).toMatchObject({ pieces: [], failed: 'torn-answer' })
})

test('a reset that arrives together with the last bytes does not end an answer', async () => {
  // Guards against a truncated answer that looks complete: data and a reset arrive in the same turn of the event loop, and the runtime reads
  // the data and reports the end of the connection instead of the error.
  const { view } = await startEndpoint((req) => {
    req.socket.write(`${answerHead(req, 'connection: close\r\n')}\r\nhalf`)
    req.socket.resetAndDestroy()
  })
  for (let i = 0; i < 10; i++) expect(await sendAndWait(clientOf(), view, requestOf(`reset-${i}`))).toMatchObject({ pieces: [], total: undefined })
})

test('bytes after a complete answer close the connection and are discarded', async () => {
  // Guards against an answer that reaches the wrong caller: the endpoint sends a second answer, which is read as that of the next request on
  // the connection.
  const { endpoint, view } = await startEndpoint((req) => {
    writeAnswer(req, 'mine')
    if (req.nth === 1) req.socket.write(`${answerHead(req)}content-length: 6\r\n\r\nsecond`)
  })
  const client = clientOf()
  expect(await sendAndWait(client, view, requestOf('a'))).toMatchObject({ pieces: [{ text: 'mine' }], total: 1 })
  await delay(20)
  expect(await sendAndWait(client, view, requestOf('b'))).toMatchObject({ pieces: [{ text: 'mine' }], total: 1 })
  expect(endpoint.requests.map(({ nth }) => nth)).toEqual([1, 1])
})

test('a late answer that arrives in place of the next one is recognized by its id and discarded', async () => {
  // As above, but the second answer arrives after the next request was written, so that only the id shows which request it belongs to.
  const { view } = await startEndpoint((req) => {
    if (req.nth === 1) return writeAnswer(req, 'mine')
    req.socket.write('HTTP/1.1 200 OK\r\nid: a\r\nsigned: s\r\ncontent-length: 4\r\n\r\nlate')
    writeAnswer(req, 'mine')
  })
  const client = clientOf()
  await sendAndWait(client, view, requestOf('a'))
  await delay(5)
  expect(await sendAndWait(client, view, requestOf('b'))).toMatchObject({ pieces: [], failed: 'foreign-answer' })
})

test('an answer that is unsigned, encoded, without an id or not HTTP is not forwarded', async () => {
  const answers: Record<string, (req: RawRequest) => string> = {
    unsigned: (req) => `HTTP/1.1 200 OK\r\nid: ${idOf(req)}\r\ncontent-length: 1\r\n\r\nx`,
    encoded: (req) => `${answerHead(req)}content-encoding: gzip\r\ncontent-length: 1\r\n\r\nx`,
    noise: () => 'neither head nor body\r\n\r\n',
    unnamed: () => 'HTTP/1.1 200 OK\r\nsigned: s\r\ncontent-length: 1\r\n\r\nx'
  }
  const { view } = await startEndpoint((req) => { req.socket.write(answers[idOf(req)]!(req)) })
  for (const kind of Object.keys(answers)) {
    const { pieces, total, failure } = await sendAndWait(clientOf(), view, requestOf(kind))
    expect([kind, pieces, total, failure!.outcome]).toEqual([kind, [], undefined, 'unknown'])
  }
})

test('only the endpoint\'s own headers determine the failure point of a refused request', async () => {
  const answers: Record<string, [text: string, point: FailurePoint]> = {
    shed: ['HTTP/1.1 503 Busy\r\nnot-run: 1\r\n', 'endpoint-said-not-run'],
    moved: ['HTTP/1.1 421 Misdirected\r\nother: e2\r\n', 'endpoint-gone'],
    broken: ['HTTP/1.1 500 Failed\r\nsigned: s\r\n', 'endpoint-error'],
    silent: ['HTTP/1.1 503 Busy\r\n', 'endpoint-error']
  }
  const { view } = await startEndpoint((req) => { req.socket.write(`${answers[idOf(req)]![0]}id: ${idOf(req)}\r\ncontent-length: 3\r\n\r\nwhy`) })
  for (const [kind, [, point]] of Object.entries(answers)) expect([kind, (await sendAndWait(clientOf(), view, requestOf(kind))).failed]).toEqual([kind, point])
  const { failure } = await sendAndWait(clientOf(), view, requestOf('broken'))
  expect([failure!.answer!.head.status, failure!.answer!.body.toString()]).toEqual([500, 'why'])
})

test('the outcome of a failed request is not-run if it was not written, and unknown if it was', async () => {
  const { endpoint, view } = await startEndpoint((req) => req.socket.destroy())
  expect(await sendAndWait(clientOf(), view, requestOf('a'))).toMatchObject({ failed: 'reset-after-send', failure: { outcome: 'unknown' } })
  await endpoint.close()
  expect(await sendAndWait(clientOf(), view, requestOf('b'))).toMatchObject({ failed: 'connect-refused', failure: { outcome: 'not-run' } })
  expect(await sendAndWait(clientOf(0), view, requestOf('c'))).toMatchObject({ failed: 'before-send', failure: { outcome: 'not-run' } })
})

test('a connection that the endpoint closed while idle is not reused', async () => {
  // Guards against bursts of 502 responses: an endpoint closes idle connections, and a request still sent on one of them may or may not have run.
  const { endpoint, view } = await startEndpoint((req) => {
    writeAnswer(req)
    setTimeout(() => req.socket.end(), 10)
  })
  const client = clientOf()
  for (const id of ['a', 'b', 'c']) {
    expect(await sendAndWait(client, view, requestOf(id))).toMatchObject({ total: 1 })
    while (endpoint.connections > 0) await delay(1)
  }
  expect(endpoint.requests).toHaveLength(3)
})

test('an idle connection on which an endpoint sends empty lines without end is closed', async () => {
  // Guards against bytes that are read for as long as they come although they belong to no answer.
  const { endpoint, view } = await startEndpoint((req) => {
    writeAnswer(req)
    const more = () => { while (!req.socket.destroyed && req.socket.write('\r\n'.repeat(8192))) { /* until the system's buffers are full */ } }
    req.socket.on('drain', more)
    setTimeout(more, 10)
  })
  const client = clientOf()
  expect(await sendAndWait(client, view, requestOf('a'))).toMatchObject({ total: 1 })
  await vi.waitFor(() => expect([endpoint.connections, client.isConnected(view)]).toEqual([0, false]), { timeout: 3000 })
})

test('an endpoint that answers before it has read a long body gets the rest of that body and nothing else', async () => {
  // Guards against request smuggling: the endpoint answers early and keeps the connection, and reads the next caller's request as the rest of
  // the first body.
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
  expect(await sendAndWait(client, view, requestOf('a', { method: 'POST', body }))).toMatchObject({ total: 0, head: { status: 413 } })
  const next = send(client, view, requestOf('b'))
  await delay(300)
  next.attachment.detach()
  const text = Buffer.concat(seen).toString('latin1')
  const afterHead = text.slice(text.indexOf('\r\n\r\n') + 4)
  expect(afterHead.slice(0, body.length).replaceAll('a', '')).toBe('')
  for (const socket of sockets) socket.destroy()
  await new Promise<void>((resolve) => { early.close(() => resolve()) })
})

test('a stream is forwarded event by event, without an event in which the stream breaks off', async () => {
  // Guards against a partial event in a resumed stream: the endpoint crashes in the middle of an event, and the stream continues with the next one.
  const events = (from: number, to: number) => Array.from({ length: to - from }, (_, i) => `id: ${from + i + 1}\ndata: t${from + i + 1}\n\n`).join('')
  const { view } = await startEndpoint((req) => {
    const from = Number(/^from: (\d+)$/im.exec(req.head)?.[1] ?? 0)
    const text = idOf(req) === 'whole' ? events(from, 6) : `${events(from, 3)}id: 4\nda`
    req.socket.write(answerHead(req, 'content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n'))
    // Splits the stream inside events, as a network does.
    for (let at = 0; at < text.length; at += 7) req.socket.write(`${Math.min(7, text.length - at).toString(16)}\r\n${text.slice(at, at + 7)}\r\n`)
    if (idOf(req) === 'whole') req.socket.write('0\r\n\r\n')
    else req.socket.destroy()
  })
  const whole = await sendAndWait(clientOf(), view, requestOf('whole', { headers: [['from', '2']] }), 2)
  expect(whole).toMatchObject({ total: 6, pieces: [3, 4, 5, 6].map((id) => ({ offset: id - 1, text: `id: ${id}\ndata: t${id}\n\n` })) })
  const cut = await sendAndWait(clientOf(), view, requestOf('cut'))
  expect(cut).toMatchObject({ failed: 'torn-answer', total: undefined, pieces: [{ offset: 0 }, { offset: 1 }, { offset: 2 }] })
})

test('a stream that ends inside an event without a connection error is torn', async () => {
  const { view } = await startEndpoint((req) => {
    const text = 'id: 1\ndata: t1\n\nid: 2\ndata'
    req.socket.write(`${answerHead(req, 'content-type: text/event-stream\r\n')}content-length: ${text.length}\r\n\r\n${text}`)
  })
  expect(await sendAndWait(clientOf(), view, requestOf('a'))).toMatchObject({ failed: 'torn-answer', pieces: [{ offset: 0 }] })
})

test('an endpoint that sends comments without end in place of an event is given up', async () => {
  // Guards against memory that grows with blocks that wait for an event.
  const { view } = await startEndpoint((req) => {
    req.socket.write(answerHead(req, 'content-type: text/event-stream\r\n\r\n'))
    for (let i = 0; i < 300; i++) req.socket.write(`: ${'x'.repeat(1000)}\n\n`)
  })
  expect(await sendAndWait(clientOf(), view, requestOf('a'))).toMatchObject({ failed: 'foreign-answer', pieces: [] })
})

test('detaching from an attempt closes its connection immediately', async () => {
  // Guards against an engine that keeps working for seconds on a request whose caller has disconnected.
  let closedAtMs = 0
  const { view } = await startEndpoint((req) => { req.socket.on('close', () => { closedAtMs = performance.now() }) })
  const { attachment } = send(clientOf(), view, requestOf('a'))
  await delay(30)
  const leftAtMs = performance.now()
  attachment.detach()
  await delay(50)
  expect(closedAtMs).toBeGreaterThan(0)
  expect(closedAtMs - leftAtMs).toBeLessThan(500)
})

test('no more connections are opened than the endpoint allows for one daemon', async () => {
  const { endpoint, view } = await startEndpoint((req) => { setTimeout(() => writeAnswer(req), 30) })
  const client = clientOf(3)
  const endings = await Promise.all(Array.from({ length: 5 }, (_, i) => sendAndWait(client, view, requestOf(`r${i}`))))
  expect(endings.map(({ failed, total }) => failed ?? total)).toEqual([1, 1, 1, 'before-send', 'before-send'])
  expect(endpoint.connections).toBe(3)
})

test('what an endpoint says about itself is taken from each answer that it gave, and from no other', async () => {
  // Guards against a stray or spoilt answer that takes an endpoint out of use.
  const leaving = 'leaving: 1\r\ncontent-length: 0\r\n\r\n'
  const answers: Record<string, (req: RawRequest) => string> = {
    served: (req) => `${answerHead(req)}${leaving}`,
    refused: (req) => `HTTP/1.1 503 Busy\r\nid: ${idOf(req)}\r\nnot-run: 1\r\n${leaving}`,
    failed: (req) => `HTTP/1.1 500 Failed\r\nid: ${idOf(req)}\r\nsigned: s\r\n${leaving}`,
    streamed: (req) => `${answerHead(req, 'content-type: text/event-stream\r\n')}${leaving}`,
    foreign: () => `HTTP/1.1 200 OK\r\nid: other\r\nsigned: s\r\n${leaving}`,
    unnamed: () => `HTTP/1.1 200 OK\r\nsigned: s\r\n${leaving}`,
    unsigned: (req) => `HTTP/1.1 200 OK\r\nid: ${idOf(req)}\r\n${leaving}`,
    misdirected: (req) => `HTTP/1.1 421 Misdirected\r\nid: ${idOf(req)}\r\nother: e2\r\n${leaving}`
  }
  const { view } = await startEndpoint((req) => { req.socket.write(answers[idOf(req)]!(req)) })
  const said: string[] = []
  for (const kind of Object.keys(answers)) if ((await sendAndWait(clientOf(), view, requestOf(kind))).signals.some((signals) => signals.leaving === true)) said.push(kind)
  expect(said).toEqual(['served', 'refused', 'failed', 'streamed'])
})

test('a request is not sent if its endpoint asks for time while the connection is opened', async () => {
  const { endpoint, view } = await startEndpoint((req) => { writeAnswer(req) })
  const sent = send(clientOf(), view, requestOf('a'))
  view.backOffUntilMs = steadyNow() + 1000
  expect(await sent.ending).toMatchObject({ failed: 'withheld', failure: { outcome: 'not-run' } })
  expect(endpoint.requests).toHaveLength(0)
  view.backOffUntilMs = steadyNow()
  expect(await sendAndWait(clientOf(), view, requestOf('b'))).toMatchObject({ total: 1 })
})

test('the time that a connection takes to open is reported once for each', async () => {
  const { endpoint, view } = await startEndpoint((req) => writeAnswer(req))
  const tookMs: number[] = []
  const client = new ExchangeClient({ maxConnections: () => 4, onConnected: (to, ms) => { if (to === view) tookMs.push(ms) } })
  for (const id of ['a', 'b', 'c']) {
    await sendAndWait(client, view, requestOf(id))
    await delay(5)
  }
  expect(tookMs).toHaveLength(endpoint.connections)
  expect(tookMs.every((ms) => ms > 0)).toBe(true)
})

test.each(['before its first byte', 'in its middle'])('an answer that is paused %s is not read, and whole after it is resumed', async (when) => {
  // Guards against a daemon that reads whole answers for callers that do not take them.
  const body = Buffer.alloc(24 * 2 ** 20, 'x')
  let socket: RawRequest['socket'] | undefined
  const { view } = await startEndpoint((req) => {
    socket = req.socket
    req.socket.write(`${answerHead(req)}content-length: ${body.length}\r\n\r\n`)
    req.socket.write(body)
  })
  const ending = { bytes: 0, total: undefined as number | undefined }
  const sink: AttemptSink<Buffer> = {
    onChunk: (_offset, pieces) => {
      if (ending.bytes === 0 && when === 'in its middle') attachment.pause!()
      for (const { length } of pieces) ending.bytes += length
    },
    onEnd: (total) => { ending.total = total },
    onError: () => {},
    onLoad: () => {}
  }
  const attachment = new ExchangeRunner({ req: requestOf('slow'), client: clientOf(), dialect: DIALECT }).start(view, { attempt: 1, mode: 'fresh', lane: 'normal', done: [], from: 0, deadlineInMs: 1000, kvHandle: undefined }, sink)
  if (when === 'before its first byte') attachment.pause!()
  await delay(300)
  expect(ending.bytes).toBeLessThan(2 ** 20)
  expect(socket!.writableLength).toBeGreaterThan(0)
  // Paused and resumed in one turn: only the last call counts.
  attachment.resume!()
  attachment.pause!()
  await delay(50)
  expect(ending.total).toBeUndefined()
  attachment.resume!()
  for (let waitedMs = 0; ending.total === undefined && waitedMs < 5000; waitedMs += 10) await delay(10)
  expect(ending.bytes).toBe(body.length)
})

const CLOSES = 'connection: close\r\n'
const LENGTH = 'content-length: 5000000\r\n'
test.each(['reset', 'end'].flatMap((how): Array<{ how: string, framing: string, head: string, version?: string, whole: boolean }> => [
  { how, framing: 'no length', head: CLOSES, whole: how === 'end' },
  { how, framing: 'a length and close', head: `${CLOSES}${LENGTH}`, whole: false },
  { how, framing: 'a length', head: LENGTH, whole: false },
  { how, framing: 'a length in HTTP/1.0', head: LENGTH, version: '1.0', whole: false }
]))('an answer with $framing whose connection meets its $how in a pause fails, or ends if it is whole', async ({ how, head, version = '1.1', whole }) => {
  // Guards against a daemon that crashes on an assertion of its HTTP client.
  const first = Buffer.alloc(300_000, 'x')
  const more = Buffer.alloc(1000, 'x')
  const sockets: Socket[] = []
  const { view } = await startEndpoint((req) => {
    sockets.push(req.socket)
    req.socket.write(answerHead(req, `${head}\r\n`).replace('HTTP/1.1', `HTTP/${version}`))
    req.socket.write(first)
  })
  const ending = { bytes: 0, total: undefined as number | undefined, failed: undefined as FailurePoint | undefined }
  const sink: AttemptSink<Buffer> = {
    onChunk: (_offset, pieces) => { for (const { length } of pieces) ending.bytes += length },
    onEnd: (total) => { ending.total = total },
    onError: ({ point }) => { ending.failed = point },
    onLoad: () => {}
  }
  const attachment = new ExchangeRunner({ req: requestOf('slow'), client: clientOf(), dialect: DIALECT }).start(view, { attempt: 1, mode: 'fresh', lane: 'normal', done: [], from: 0, deadlineInMs: 1000, kvHandle: undefined }, sink)
  const until = async (isTrue: () => boolean) => { for (let waitedMs = 0; !isTrue() && waitedMs < 5000; waitedMs += 5) await delay(5) }
  await until(() => ending.bytes === first.length)
  attachment.pause!()
  sockets[0]!.write(more)
  await delay(50)
  if (how === 'reset') sockets[0]!.resetAndDestroy()
  else sockets[0]!.end()
  await delay(50)
  attachment.resume!()
  await until(() => ending.total !== undefined || ending.failed !== undefined)
  expect([ending.failed, ending.total !== undefined]).toEqual(whole ? [undefined, true] : ['torn-answer', false])
  if (whole) expect(ending.bytes).toBe(first.length + more.length)
})

test('buffered bytes are counted until the answer is passed on or fails', async () => {
  const account = new MemoryAccount()
  const { view } = await startEndpoint((req) => {
    req.socket.write(`${answerHead(req)}content-length: 40000\r\n\r\n${'x'.repeat(30_000)}`)
    setTimeout(() => (idOf(req) === 'whole' ? req.socket.write('x'.repeat(10_000)) : req.socket.destroy()), 50)
  })
  for (const id of ['whole', 'torn']) {
    const ending = new Promise<void>((resolve) => {
      const sink: AttemptSink<Buffer> = { onChunk: () => {}, onEnd: () => resolve(), onError: () => resolve(), onLoad: () => {} }
      new ExchangeRunner({ req: requestOf(id), client: clientOf(), dialect: DIALECT, memory: account }).start(view, { attempt: 1, mode: 'fresh', lane: 'normal', done: [], from: 0, deadlineInMs: 1000, kvHandle: undefined }, sink)
    })
    await delay(30)
    expect(account.bytesOf('answer')).toBe(30_000)
    await ending
    expect(account.heldBytes).toBe(0)
  }
})

test('an attempt that is given up while connections are read again is not sent, and leaves its connection to others', async () => {
  const { endpoint, view } = await startEndpoint(writeAnswer)
  const client = clientOf(1)
  await sendAndWait(client, view, requestOf('first'))
  // It was never started, so that everything counts as read late.
  const poll = new PollWatch()
  const sink = { onChunk () {}, onEnd () {}, onError () {}, onLoad () {} }
  await delay(200)
  const start = (id: string) => new ExchangeRunner({ req: requestOf(id), client, dialect: DIALECT, poll }).start(view, { attempt: 1, mode: 'fresh', lane: 'normal', done: [], from: 0, deadlineInMs: 1000, kvHandle: undefined }, sink)
  const attachment = start('left')
  expect(attachment.sent).toBe(false)
  attachment.detach()
  start('stays')
  await vi.waitUntil(() => endpoint.requests.length === 2)
  expect(endpoint.requests.map((req) => [idOf(req), req.nth])).toEqual([['first', 1], ['stays', 2]])
})
