/** Stand-ins of servers, as processes, and of clients for the scripts. */
import { spawn } from 'node:child_process'
import { connect } from 'node:net'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import { parseHead, unchunk } from './messages.mjs'
import { now } from './platform.mjs'

/** Time for which a client looks for bytes behind an answer, in milliseconds. */
const AFTER_END_MS = 150
const PROGRAM = fileURLToPath(new URL('server_process.mjs', import.meta.url))
/** Time after which the store removes the entry of a server that is silent, in milliseconds: three heartbeats. */
const ENTRY_TTL_MS = 3600

/** A server's process. Each start has an id of its own. */
export class Server {
  #starts = 0
  /** What the process has told, with the time. */
  told = []

  constructor ({ name, service, manner, zone = 'a', slots = 6, store, onTold = () => {} }) {
    Object.assign(this, { name, service, manner, zone, slots, store, onTold })
  }

  get id () { return `${this.name}-${this.#starts}` }

  /** Starts a process and resolves once its entry is written. */
  async start () {
    this.#starts++
    const { id, service, manner, zone, slots, store } = this
    const child = spawn('node', [PROGRAM, JSON.stringify({ id, service, manner, zone, slots, store: store.address })], { stdio: ['pipe', 'pipe', 'inherit'] })
    this.child = child
    await new Promise((resolve) => {
      createInterface({ input: child.stdout }).on('line', (line) => {
        const told = { atMs: now(), ...JSON.parse(line) }
        if (told.event === 'listens') return resolve()
        this.told.push(told)
        this.onTold(told)
      })
    })
  }

  /** Lets the process fail part of its requests, or none. */
  setGrey (isGrey) {
    this.child.stdin.write(isGrey ? 'grey\n' : 'sound\n')
  }

  /** Ends the process as a crash does. */
  async crash () {
    const { id } = this
    await this.#end()
    setTimeout(() => this.store.remove('servers', id), ENTRY_TTL_MS)
  }

  async #end () {
    const { child } = this
    if (!child || child.exitCode !== null || child.signalCode !== null) return
    const ended = new Promise((resolve) => child.once('exit', resolve))
    child.kill('SIGKILL')
    await ended
  }

  async close () {
    await this.#end()
  }
}

/**
 * Sends a request and reads its answer, as a client that keeps its connection. Resolves when the answer is whole, the connection ends or the client leaves.
 * @param options.giveUpMs Time after which the client leaves. Default: its deadline.
 */
export function call (port, { id, path, method = 'GET', key = 'key-a', deadlineMs = 3000, body = '', giveUpMs = deadlineMs }) {
  const sentAtMs = now()
  const lines = [`${method} ${path} HTTP/1.1`, 'Host: a.example', `Verbenatiller-Request-Id: ${id}`, `Verbenatiller-Deadline-Ms: ${deadlineMs}`, `Verbenatiller-Key: ${key}`, ...(method === 'GET' ? [] : [`Content-Length: ${Buffer.byteLength(body)}`])]
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1')
    let received = Buffer.alloc(0)
    let isSettled = false
    const settle = (why) => {
      if (isSettled) return
      isSettled = true
      clearTimeout(timer)
      const tookMs = now() - sentAtMs
      // What comes after the end of the answer belongs to no request.
      setTimeout(() => {
        socket.destroy()
        resolve({ id, sentAtMs, tookMs, why, ...read(received) })
      }, AFTER_END_MS)
    }
    const timer = setTimeout(() => settle('the client left'), giveUpMs)
    socket.on('connect', () => socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`))
    socket.on('data', (bytes) => {
      received = Buffer.concat([received, bytes])
      if (read(received).whole) settle('whole')
    })
    socket.on('error', (err) => settle(err.code))
    socket.on('close', () => settle('closed'))
  })
}

/** Reads an answer: `whole` if its end has come, `excess` are the bytes behind it. */
function read (received) {
  const head = parseHead(received)
  if (!head) return { status: undefined, stamp: undefined, body: '', whole: false, excess: '' }
  const rest = received.subarray(head.bodyAt)
  const status = Number(head.startLine.split(' ')[1])
  const stamp = head.headers['verbenatiller-server-stamp']
  const retryAfter = head.headers['retry-after']
  if (head.headers['transfer-encoding'] === 'chunked') {
    const { body, whole } = unchunk(rest)
    return { status, stamp, retryAfter, body: body.toString('latin1'), whole, excess: '' }
  }
  const length = Number(head.headers['content-length'])
  return { status, stamp, retryAfter, body: rest.subarray(0, length).toString('latin1'), whole: rest.length >= length, excess: rest.subarray(length).toString('latin1') }
}

/** Returns a configuration with one service of plain calls and one of model servers. */
export function configOf ({ routes, tenants = [{ name: 'tenant-a', api_keys: ['key-a'] }] }) {
  return {
    version: 10,
    routes: routes.map((route) => ({ hostname: 'a.example', timeout_ms: 3000, target_latency_ms: 200, priority: 1, max_attempts: 2, anonymous: false, ...route })),
    services: [
      { name: 'renewal-app', health_path: '/healthz', max_connections: 110 },
      { name: 'renewal-list', health_path: '/healthz', max_connections: 110 },
      { name: 'model-pool', health_path: '/healthz', max_connections: 300, engine: { slots: 48, kv_capacity_tokens: 601_161, kv_bytes: 18_432, handle_s: 5, moves: true, backups: true } }
    ],
    limits: { max_header_bytes: 16_384, max_body_bytes: 1_000_000, header_timeout_ms: 3000, idle_timeout_ms: 15_000 },
    tenants
  }
}
