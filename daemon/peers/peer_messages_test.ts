// Guards against messages of another daemon that end more than the link they arrive on.
import fc from 'fast-check'
import { Packr } from 'msgpackr'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { WebSocket } from 'ws'
import { as, type DaemonId } from '../../core/ids/index.ts'
import { delay, steadyNow } from '../../core/time/index.ts'
import { createMetrics } from '../metrics.ts'
import { PeerLinks } from './peer_links.ts'

const packr = new Packr({ useRecords: true })
/** Time within which a link that is to be ended closes, and in which messages are read, in milliseconds. */
const CLOSE_TIMEOUT_MS = 3000
const READ_MS = 30
const opened: Array<{ close (): Promise<void> | void }> = []
let links: PeerLinks
let address: string
let received: unknown[]

beforeEach(async () => {
  received = []
  links = new PeerLinks({ self: as<DaemonId>('a'), secret: 's', metrics: createMetrics() })
  opened.push(links)
  links.bind({ onGossip: (_from, gossip) => { received.push(gossip) }, onLink () {} })
  links.handle('echo', async (args: never) => {
    received.push(args)
    return args
  })
  links.onPost('topic', (value: never, from) => {
    received.push(value)
    links.post(from, 'topic', value)
  })
  address = await links.listen('127.0.0.1', 0)
})
afterEach(async () => { for (const each of opened.splice(0)) await each.close() })

/** Sends messages as a daemon would and returns whether its link is still open after `waitMs` milliseconds. */
async function send (messages: readonly Uint8Array[], waitMs: number): Promise<boolean> {
  const socket = new WebSocket(`ws://${address}`)
  opened.push({ close: () => socket.terminate() })
  await new Promise((resolve) => { socket.once('open', resolve) })
  socket.send(packr.pack({ kind: 'hello', id: 'b', secret: 's', takesBatches: true }))
  for (const message of messages) socket.send(message)
  await Promise.race([new Promise((resolve) => { socket.once('close', resolve) }), delay(waitMs)])
  const isOpen = socket.readyState === WebSocket.OPEN
  socket.terminate()
  return isOpen
}

async function isServing (): Promise<boolean> {
  links.maintain(steadyNow())
  const peer = new PeerLinks({ self: as<DaemonId>('c'), secret: 's', metrics: createMetrics() })
  opened.push(peer)
  return await peer.call({ id: as<DaemonId>('a'), address }, 'echo', 'sound') === 'sound'
}

/** Packs a message whose last field is nested `depth` levels deep. */
function packDeep (message: object, depth: number): Buffer {
  const packed = packr.pack({ ...message, last: 42 })
  return Buffer.concat([packed.subarray(0, -1), Buffer.alloc(depth, 0x91), Buffer.from([0xc0])])
}

test.each([65, 500, 1000, 2000, 4000, 8000, 100_000])('a message nested %i levels deep ends its link alone, and no handler gets it', async (depth) => {
  for (const message of [{ kind: 'gossip' }, { kind: 'call', call: 1, method: 'echo' }, { kind: 'post', topic: 'topic' }]) {
    const field = { gossip: 'gossip', call: 'args', post: 'value' }[message.kind]!
    const bytes = Buffer.from(packDeep(message, depth).toString('latin1').replace('\xa4last', `${String.fromCharCode(0xa0 + field.length)}${field}`), 'latin1')
    expect(await send([bytes], CLOSE_TIMEOUT_MS)).toBe(false)
  }
  expect(received).toEqual([])
  expect(await isServing()).toBe(true)
})

test('messages of any shape end at most their link', async () => {
  const kind = fc.constantFrom<unknown>('gossip', 'call', 'post', 'part', 'reply', 'fail', 'hello', 'other', 5, null)
  const message = fc.oneof({ weight: 4, arbitrary: fc.record({ kind, call: fc.anything(), method: fc.constantFrom<unknown>('echo', 'none', null, 7), topic: fc.constantFrom<unknown>('topic', 'none', null), args: fc.anything(), value: fc.anything(), gossip: fc.anything(), error: fc.anything(), id: fc.anything(), secret: fc.constantFrom('s', 'x') }, { requiredKeys: [] }) }, { weight: 1, arbitrary: fc.anything() })
  await fc.assert(fc.asyncProperty(fc.array(message, { minLength: 1, maxLength: 4 }), async (messages) => {
    const frames = [...messages, messages].flatMap((each) => {
      try {
        return [packr.pack(each)]
      } catch {
        return []
      }
    })
    await send(frames, READ_MS)
    expect(await isServing()).toBe(true)
  }), { seed: 75, numRuns: 100 })
})
