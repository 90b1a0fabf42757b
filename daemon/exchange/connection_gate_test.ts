import { connect } from 'node:net'
import { request } from 'node:http'
import { afterEach, expect, test } from 'vitest'
import { as } from '../../core/ids/index.ts'
import { delay, steadyNow } from '../../core/time/index.ts'
import type { ExchangeDialect } from '../../endpoints/index.ts'
import { createMetrics } from '../metrics.ts'
import { ConnectionGateTask } from './connection_gate_task.ts'
import { ExchangeServer } from './exchange_server.ts'
import type { Intake } from './intake.ts'
import { Refusal } from './refusal.ts'

/** Time that the daemon works on each request, in milliseconds. */
const WORK_MS = 8
/** Callers' patience, in milliseconds. */
const DEADLINE_MS = 1000
/** Time from which a daemon serves what it reads, from the begin of the flood, in milliseconds. */
const SETTLED_MS = 3000
/** Least share of the requests that were read since which are answered in time. */
const MIN_SERVED = 0.75

const dialect = { readRequest: (req) => ({ id: as('r'), method: req.method!, target: req.url!, host: '', headers: [], credential: undefined, deadlineInMs: undefined, demand: undefined, resumeFrom: 0, streamId: undefined }) } as Partial<ExchangeDialect> as ExchangeDialect
let server: ExchangeServer
let gate: ConnectionGateTask

afterEach(() => {
  gate.stop()
  server.kill()
})

/** Starts a server that works for a while on each request, and answers it. */
async function start (): Promise<number> {
  const accept = async () => {
    const endMs = steadyNow() + WORK_MS
    while (steadyNow() < endMs) { /* works */ }
    throw new Refusal('answered', { status: 404 })
  }
  server = new ExchangeServer({ dialect, metrics: createMetrics(), intake: { accept, configState: { revision: 1, revisionAgeMs: 0 } } as unknown as Intake })
  gate = new ConnectionGateTask({ server, metrics: createMetrics() })
  return await server.listen('127.0.0.1', 0)
}

/** Sends one request on a new connection; returns when it was answered, or undefined if it was closed unread. */
function ask (port: number): Promise<number | undefined> {
  const startMs = steadyNow()
  return new Promise((resolve) => {
    const req = request({ host: '127.0.0.1', port, path: '/', agent: false }, (res) => {
      res.resume()
      res.on('end', () => resolve(steadyNow() - startMs))
    })
    req.on('error', () => resolve(undefined))
    req.end()
  })
}

/** Sends twice as many requests as the daemon bears, for the given time, and returns what became of those that were sent once it has settled. */
async function flood (port: number, forMs: number): Promise<Array<number | undefined>> {
  const settled: Array<Promise<number | undefined>> = []
  const startMs = steadyNow()
  let sent = 0
  while (steadyNow() - startMs < forMs) {
    for (; sent < (steadyNow() - startMs) / WORK_MS * 2; sent++) {
      const answer = ask(port)
      if (steadyNow() - startMs >= SETTLED_MS) settled.push(answer)
    }
    await delay(10)
  }
  return await Promise.all(settled)
}

test('a daemon that is handed twice the connections that it bears answers those that it reads in time, and closes the others unread', async () => {
  // Guards against a daemon that reads all requests of a herd of callers and answers nearly all of them too late.
  const port = await start()
  gate.start()
  const answers = await flood(port, SETTLED_MS + 2500)
  const read = answers.filter((ms) => ms !== undefined)
  expect(read.length).toBeLessThan(answers.length)
  expect(read.filter((ms) => ms <= DEADLINE_MS).length / read.length).toBeGreaterThanOrEqual(MIN_SERVED)
  await delay(500)
  expect(await ask(port)).toBeLessThan(DEADLINE_MS)
}, 30_000)

test('connections that are open stay so, and are served, while new ones are closed unread', async () => {
  const port = await start()
  const open = connect(port, '127.0.0.1')
  const received: string[] = []
  open.on('data', (data) => received.push(data.toString()))
  const get = 'GET /first HTTP/1.1\r\nHost: a\r\n\r\n'
  open.write(get)
  await delay(100)
  server.acceptConnections(false)
  expect(await ask(port)).toBeUndefined()
  open.write(get)
  await delay(100)
  expect(received.filter((text) => text.startsWith('HTTP/1.1 404'))).toHaveLength(2)
  server.acceptConnections(true)
  expect(await ask(port)).toBeLessThan(DEADLINE_MS)
  open.destroy()
})
