import { afterEach, expect, test } from 'vitest'
import { Packr } from 'msgpackr'
import { WebSocket, WebSocketServer } from 'ws'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { as, type DaemonId } from '../../core/ids/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { createMetrics } from '../metrics.ts'
import { PeerLinks } from './peer_links.ts'

const SECRET = 'shared-secret'
const cleanups: Array<{ close (): Promise<void> | void }> = []

afterEach(async () => { for (const each of cleanups.splice(0)) await each.close() })

async function start (name: string, secret = SECRET, isFar?: (peer: DaemonId) => boolean) {
  const metrics = createMetrics()
  const id = as<DaemonId>(name)
  const links = new PeerLinks({ self: id, secret, metrics, ...(isFar && { isFar }) })
  cleanups.push(links)
  return { id, links, metrics, address: await links.listen('127.0.0.1', 0) }
}

test('a call streams partial results before its final result', async () => {
  const [a, b] = [await start('a'), await start('b')]
  b.links.handle('count', async (to: number, { part }) => {
    for (let i = 1; i <= to; i++) part(i)
    return 'done'
  })
  const parts: unknown[] = []
  expect(await a.links.call(b, 'count', 3, { part: (value) => parts.push(value) })).toBe('done')
  expect(parts).toEqual([1, 2, 3])
})

test('bytes to and from daemons of other regions are counted apart', async () => {
  const a = await start('a', SECRET, (peer) => peer === 'far')
  const counts = async () => (await a.metrics.farPeerBytes.get()).values.map(({ value }) => value)
  for (const name of ['near', 'far']) {
    const b = await start(name)
    b.links.handle('echo', async (value: string) => value)
    expect(await a.links.call(b, 'echo', 'x'.repeat(1000))).toHaveLength(1000)
    expect((await counts()).filter((bytes) => bytes > 1000)).toHaveLength(name === 'far' ? 2 : 0)
  }
})

test('a daemon with a different secret is rejected', async () => {
  const [a, b] = [await start('a'), await start('b', 'another-secret')]
  b.links.handle('anything', async () => 'secret')
  await expect(a.links.call(b, 'anything', null)).rejects.toThrow('Cannot connect')
})

test.each(['000', '099', '20', '600', '200'])('a daemon that is answered with status %s in place of a link has sent nothing', async (status) => {
  // Guards against calls that count as sent, or as answered, because a stray program answers at a daemon's address.
  const a = await start('a')
  const server = createServer((socket) => { socket.on('data', () => socket.end(`HTTP/1.1 ${status} Odd\r\nContent-Length: 0\r\n\r\n`)) })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  cleanups.push({ close: () => { server.close() } })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  await expect(a.links.call({ id: as<DaemonId>('b'), address }, 'anything', null)).rejects.toMatchObject({ name: 'PeerError', notSent: true })
})

test('a message of an unknown kind is counted and ignored', async () => {
  // Guards against a rolling update in which newer daemons send kinds that older ones do not know and the older ones fail on them.
  const a = await start('a')
  const packr = new Packr({ useRecords: true })
  const newer = new WebSocket(`ws://${a.address}`)
  await new Promise((resolve) => newer.once('open', resolve))
  for (const msg of [{ kind: 'hello', id: 'newer', secret: SECRET }, { kind: 'from-the-future' }]) newer.send(packr.pack(msg))
  newer.send(packr.pack({ kind: 'call', call: 1, method: 'none', args: null }))
  const answer = await new Promise<Buffer>((resolve) => newer.on('message', (data: Buffer) => { if ((packr.unpack(data) as { kind: string }).kind === 'fail') resolve(data) }))
  expect(packr.unpack(answer)).toMatchObject({ kind: 'fail', call: 1 })
  expect((await a.metrics.unknownPeerMessages.get()).values[0]!.value).toBe(1)
  newer.terminate()
})

test('messages sent in one event loop turn share one frame, in order', async () => {
  // Guards against one frame per short message: a daemon of a large fleet spent a third of its idle time on packing, writing and reading those.
  const [a, b] = [await start('a'), await start('b')]
  const heard: unknown[] = []
  for (const topic of ['vote', 'load']) b.links.onPost(topic, (value: unknown) => { heard.push(value) })
  b.links.handle('last', async () => heard.length)
  expect(await a.links.call(b, 'last', null)).toBe(0)
  const frames = async () => (await a.metrics.peerMessages.get()).values.find(({ labels }) => labels.direction === 'out')!.value
  const before = await frames()
  for (let i = 0; i < 3; i++) for (const topic of ['vote', 'load']) a.links.post(b.id, topic, `${topic} ${i}`)
  expect(await a.links.call(b, 'last', null)).toBe(6)
  expect(heard).toEqual(['vote 0', 'load 0', 'vote 1', 'load 1', 'vote 2', 'load 2'])
  expect(await frames() - before).toBe(1)
})

test('a peer that does not announce batches gets one message per frame', async () => {
  // Guards against a rolling update in which an older daemon treats a batch as malformed and closes the link again and again.
  const a = await start('a')
  const packr = new Packr({ useRecords: true })
  const older = new WebSocket(`ws://${a.address}`)
  const frames: unknown[] = []
  older.on('message', (data: Buffer) => frames.push(packr.unpack(data)))
  await new Promise((resolve) => older.once('open', resolve))
  const linked = new Promise((resolve) => a.links.bind({ onGossip () {}, onLink: resolve }))
  older.send(packr.pack({ kind: 'hello', id: 'older', secret: SECRET }))
  await linked
  for (const value of [1, 2]) a.links.post(as<DaemonId>('older'), 'count', value)
  await new Promise((resolve) => setTimeout(resolve, 50))
  expect(frames).toMatchObject([{ kind: 'hello' }, { kind: 'post', value: 1 }, { kind: 'post', value: 2 }])
  older.terminate()
})

test('neighbors that dial each other simultaneously end up with one link', async () => {
  // Guards against pairs of daemons that exchange their full membership tables every second: when both dialed at once, each kept the link it had
  // not dialed, found none at the other's address and dialed again.
  const [a, b] = [await start('a'), await start('b')]
  const links: string[] = []
  a.links.bind({ onGossip () {}, onLink: (to) => links.push(to) })
  b.links.bind({ onGossip () {}, onLink: (to) => links.push(to) })
  for (let round = 0; round < 5; round++) {
    a.links.keep([b.address])
    b.links.keep([a.address])
    await new Promise((resolve) => setTimeout(resolve, 20))
  }
  b.links.handle('ping', async () => 'pong')
  expect(await a.links.call(b, 'ping', null)).toBe('pong')
  expect(links.length).toBeLessThanOrEqual(4)
})

test('a call goes on while its link is replaced by the one that both ends keep', async () => {
  // Guards against running calls that are lost when the other daemon, with the lower id, dials the caller.
  const [a, b] = [await start('a'), await start('b')]
  const parts: unknown[] = []
  let finish = () => {}
  let replaced: AbortSignal | undefined
  a.links.handle('stream', async (_args: null, { part, signal }) => {
    replaced = signal
    part('first')
    await new Promise<void>((resolve, reject) => {
      finish = resolve
      signal.addEventListener('abort', () => reject(new Error('aborted')))
    })
    part('second')
    return 'done'
  })
  const result = b.links.call(a, 'stream', null, { part: (value) => parts.push(value) }).catch((err: Error) => err.message)
  await expect.poll(() => parts).toEqual(['first'])
  const relinked = new Promise<void>((resolve) => b.links.bind({ onGossip () {}, onLink: () => resolve() }))
  a.links.keep([b.address])
  await relinked
  await new Promise((resolve) => setTimeout(resolve, 50))
  finish()
  expect(await result).toBe('done')
  expect(parts).toEqual(['first', 'second'])
  b.links.maintain(steadyNow() + 2000)
  await expect.poll(() => replaced?.aborted).toBe(true)
  a.links.handle('ping', async () => 'pong')
  expect(await b.links.call(a, 'ping', null)).toBe('pong')
})

test('calls are answered while both daemons dial each other', async () => {
  // Guards against a call on a link that the other daemon closes at once, since it already has the one that both ends keep.
  const results: string[] = []
  for (let round = 0; round < 20; round++) {
    const [a, b] = [await start('a'), await start('b')]
    a.links.handle('ping', async () => 'pong')
    a.links.keep([b.address])
    results.push(await b.links.call(a, 'ping', null).catch((err: Error) => err.message) as string)
  }
  expect(results.filter((result) => result !== 'pong')).toEqual([])
})

test('a pending call over a dead link fails within seconds', async () => {
  // Guards against a caller that waits forever for an answer streamed through another daemon: a network partition closes no connection.
  const a = await start('a')
  const silent = new WebSocketServer({ host: '127.0.0.1', port: 0, autoPong: false })
  await new Promise((resolve) => silent.once('listening', resolve))
  cleanups.push({ close: () => { silent.clients.forEach((socket) => socket.terminate()); silent.close() } })
  silent.on('connection', (socket) => socket.send(new Packr({ useRecords: true }).pack({ kind: 'hello', id: 'b', secret: SECRET })))
  const address = `127.0.0.1:${(silent.address() as AddressInfo).port}`
  const call = a.links.call({ id: as<DaemonId>('b'), address }, 'follow', null, { timeoutMs: 600_000 })
  call.catch(() => {})
  let heard = 0
  await new Promise<void>((resolve) => silent.once('connection', (socket) => socket.on('message', () => { if (++heard === 2) resolve() })))
  a.links.maintain(steadyNow() + 6000)
  await expect(call).rejects.toThrow('connection lost')
})

test('malformed data closes only the link it arrived on', async () => {
  // Guards against a crash that cuts off all callers of a daemon when a foreign program sends a few bytes to its peer port.
  const [a, b] = [await start('a'), await start('b')]
  b.links.handle('echo', async (value) => value)
  b.links.onPost('sum', (values: number[]) => { values.reduce((sum, value) => sum + value, 0) })
  for (const bytes of [Buffer.from([0xc1]), Buffer.from('GET / HTTP/1.1'), Buffer.alloc(0), new Packr().pack(null), new Packr().pack(7)]) {
    const socket = new WebSocket(`ws://${b.address}`)
    const closed = new Promise((resolve) => socket.once('close', resolve))
    socket.on('open', () => socket.send(bytes))
    socket.on('error', () => {})
    await closed
  }
  expect(await a.links.call(b, 'echo', 5)).toBe(5)
  a.links.post(b.id, 'sum', 'no list')
  await expect.poll(async () => await a.links.call(b, 'echo', 6).catch(() => undefined)).toBe(6)
})

/** Forwards bytes to a daemon. `freeze` stops forwarding on the open connections without closing them; new connections work. */
async function startProxy (to: string): Promise<{ address: string, freeze (): void }> {
  const sockets = new Set<Socket>()
  const server = createServer((client) => {
    const upstream = connect(Number(to.split(':')[1]), '127.0.0.1')
    for (const [from, on] of [[client, upstream], [upstream, client]] as const) {
      sockets.add(from)
      from.on('data', (data) => { if (sockets.has(from)) on.write(data) })
      from.on('error', () => on.destroy())
      from.on('close', () => on.destroy())
    }
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  cleanups.push({ close: () => { server.close() } })
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, freeze: () => sockets.clear() }
}

test('a dead link without pending calls is replaced', async () => {
  // Guards against half-open links between daemons that are never detected.
  const [a, b] = [await start('a'), await start('b')]
  const proxy = await startProxy(b.address)
  const linked: string[] = []
  a.links.bind({ onGossip () {}, onLink: (to) => linked.push(to) })
  a.links.keep([proxy.address])
  const tick = async (times: number) => {
    for (let i = 0; i < times; i++) {
      a.links.maintain(steadyNow())
      await new Promise((resolve) => setTimeout(resolve, 40))
    }
  }
  await tick(6)
  expect(linked).toEqual([b.id])
  proxy.freeze()
  await tick(6)
  expect(linked).toEqual([b.id, b.id])
})
