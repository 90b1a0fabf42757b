import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { resetUnanswered } from './reset_unanswered.ts'

let server: Server
let socket: Socket
/** Resolves with how the connection was closed, as its peer sees it. */
let closed: Promise<'end' | 'reset'>

beforeEach(async () => {
  server = createServer({ allowHalfOpen: true }, (peer) => {
    peer.on('data', (bytes) => { if (String(bytes).includes('answer me')) peer.write('answer') })
    closed = new Promise((resolve) => {
      // Only a connection that was reset has no remote address any more.
      peer.on('end', () => { resolve(peer.remoteAddress === undefined ? 'reset' : 'end'); peer.destroy() })
      peer.on('error', () => resolve('reset'))
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  resetUnanswered(socket)
  await new Promise((resolve) => socket.on('connect', resolve))
})
afterEach(() => {
  socket.destroy()
  server.close()
})

function write (text: string): Promise<unknown> {
  return new Promise((resolve) => socket.write(text, resolve))
}

test('a connection that is destroyed before its request was answered is reset', async () => {
  await write('request')
  const error = new Promise((resolve) => socket.on('error', resolve))
  socket.destroy(new Error('given up'))
  expect(await closed).toBe('reset')
  expect(await error).toMatchObject({ message: 'given up' })
})

test('a connection that is destroyed after its request was answered ends', async () => {
  await write('answer me')
  await new Promise<void>((resolve) => socket.on('readable', () => { if (socket.read() !== null) resolve() }))
  socket.destroy()
  expect(await closed).toBe('end')
})

test('a connection on which nothing was sent ends', async () => {
  socket.destroy()
  expect(await closed).toBe('end')
})

test('the next request on a connection that was answered before is withdrawn by a reset', async () => {
  await write('answer me')
  await new Promise<void>((resolve) => socket.on('readable', () => { if (socket.read() !== null) resolve() }))
  await write('next')
  socket.destroy()
  expect(await closed).toBe('reset')
})

test('a connection that is being ended is closed without an error', async () => {
  await write('request')
  const errors: Error[] = []
  socket.on('error', (err) => errors.push(err))
  socket.end()
  socket.destroy()
  await new Promise((resolve) => socket.on('close', resolve))
  expect(errors).toEqual([])
})
