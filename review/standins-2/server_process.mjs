/**
 * A server as a process of its own. Its argument names it, its service, its manner of answering and the store, in JSON.
 *
 * It prints a line for each request that it begins to run and each answer that it has written whole. A line on its standard input, "grey" or "sound", tells
 * whether it fails part of its requests.
 */
import { request } from 'node:http'
import { createServer } from 'node:net'
import { createInterface } from 'node:readline'
import { ANSWERS } from './answers.mjs'
import { MessageReader } from './messages.mjs'

const HEARTBEAT_MS = 1200
const options = JSON.parse(process.argv[2])
const { id, service, zone, slots, manner, store } = options
const born = Date.now()
let sequence = 0
let isGrey = false

const server = createServer((socket) => {
  socket.on('error', () => {})
  const reader = new MessageReader()
  socket.on('data', (bytes) => { for (const message of reader.push(bytes)) received(socket, message) })
})

function received (socket, { startLine, headers, body }) {
  const [method, target] = startLine.split(' ')
  const requestId = headers['verbenatiller-request-id']
  const req = { socket, method, target, headers, body, id: requestId, server: id }
  const expected = headers['verbenatiller-expect-instance']
  if (expected !== undefined && expected !== id) return write(req, 421, '', 'Verbenatiller-Not-Executed: 1\r\n')
  if (target === '/healthz') return write(req, 200, '')
  if (target === '/report') return write(req, 200, JSON.stringify({ stage: 'both', models: [{ name: 'm', version: 1, adapters: [] }], busy: false, sequence, born, queued: 0, active: 0, kv_used: 0, kv_total: 100_000, handles: 0, state: 'ready', runs: [] }))
  tell({ event: 'runs', request: requestId, lastEventId: headers['last-event-id'] })
  ANSWERS[manner](req, { headOf, isGrey, onWhole: () => tell({ event: 'wrote all', request: requestId }) })
}

/** Status line and the headers that each answer bears. */
function headOf (req, status, headers = '') {
  return `HTTP/1.1 ${status} Status\r\n${req.id === undefined ? '' : `Verbenatiller-Request-Id: ${req.id}\r\n`}Verbenatiller-Instance-Id: ${id}\r\nVerbenatiller-Server-Stamp: ${id}.${req.id}\r\n${headers}`
}

function write (req, status, body, headers = '') {
  req.socket.write(`${headOf(req, status, headers)}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`)
}

function tell (line) {
  process.stdout.write(`${JSON.stringify({ server: id, ...line })}\n`)
}

/** Writes the entry of this server to the store; returns the status of the store's answer. */
function writeEntry (method, path) {
  const { port } = server.address()
  const spec = { service, address: `127.0.0.1:${port}`, zone, version: 'v1', slots, state: 'ready', warmup_left_ms: 0, sequence: ++sequence, born }
  return new Promise((resolve, reject) => {
    const [host, storePort] = store.split(':')
    const req = request({ host, port: storePort, method, path, agent: false, headers: { 'content-type': 'application/json' } }, (res) => {
      res.resume()
      resolve(res.statusCode)
    })
    req.on('error', reject)
    req.end(JSON.stringify({ metadata: { name: id, finalizers: [] }, spec }))
  })
}

createInterface({ input: process.stdin }).on('line', (line) => { isGrey = line === 'grey' })

server.listen(0, '127.0.0.1', async () => {
  await writeEntry('POST', '/objects/servers')
  setInterval(() => writeEntry('PUT', `/objects/servers/${id}`), HEARTBEAT_MS)
  tell({ event: 'listens' })
})
