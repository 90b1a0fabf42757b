/** Processor time of a daemon by what it is spent on: start, idle, plain calls, streams. */
import { mkdtempSync, rmSync } from 'node:fs'
import { Agent, request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { delay } from '../core/time/index.ts'
import type { RawRequest } from '../standins/index.ts'
import { callerHeaders } from '../platform/standins/caller_headers.ts'
import { freePorts } from '../platform/standins/free_ports.ts'
import { firstConfig, genuineHeaders, respondWith, Rig, sseEvents, waitUntil } from '../platform/standins/rig.ts'
import { round, type Bench, type Figures } from './bench.ts'
import { BuiltDaemon, type ProcessorTime } from './_built_daemon.ts'

const DEFAULT_DAEMONS = 20
const SETTLE_MS = 8000
const IDLE_MS = 10_000
const LOAD_MS = 10_000
/** Requests to each daemon in a second of load. */
const REQUESTS_PER_S = 10
const EVENTS_PER_STREAM = 40
const EVENT_INTERVAL_MS = 20
const MS_PER_S = 1000
const START_TIMEOUT_MS = 20_000
/** Daemons that are restarted beside the others. */
const RESTARTED = 4

interface Node { daemon: BuiltDaemon, callers: number, readiness: number }

/** `npm run bench -- processor`; needs `node scripts/bundle.mjs`. */
export const processorBench: Bench = {
  name: 'processor',
  about: 'processor time of built daemons by start, idle, calls and streams (build first)',
  async run ({ count = DEFAULT_DAEMONS, print }) {
    const folder = mkdtempSync(join(tmpdir(), 'processor-'))
    const rig = await Rig.start({ daemons: 1, config: firstConfig() })
    const nodes: Node[] = []
    try {
      for (const pool of ['llm', 'llm', 'desk', 'desk']) await rig.endpoint(pool, pool === 'llm' ? stream : (req) => respondWith(req, 200, 'ok'))
      await rig.ready()
      for (let i = 0; i < count; i++) nodes.push(await createNode(rig, join(folder, `${i}.json`), i))
      const rows: Figures[] = []
      const record = (row: Figures) => { rows.push(row); print(JSON.stringify(row)) }
      for (const { daemon } of nodes) daemon.start()
      await allReady(nodes)
      record({ what: 'start of all, until ready', ...average(nodes.map(({ daemon }) => daemon.processorTime)) })
      await delay(SETTLE_MS)
      record({ what: 'first seconds, in all', ...average(nodes.map(({ daemon }) => daemon.processorTime)), residentMb: residentMb(nodes) })
      record({ what: 'idle, a second', ...await measure(nodes, IDLE_MS, () => delay(IDLE_MS)) })
      record({ what: 'plain calls, each', ...await measureLoad(nodes, '/check/1') })
      record({ what: 'plain calls, each, warm', ...await measureLoad(nodes, '/check/1') })
      record({ what: `streams of ${EVENTS_PER_STREAM} events, each`, ...await measureLoad(nodes, '/letter/1') })
      record({ what: `streams of ${EVENTS_PER_STREAM} events, each, warm`, ...await measureLoad(nodes, '/letter/1') })
      const restarted = nodes.slice(0, RESTARTED)
      await Promise.all(restarted.map(({ daemon }) => daemon.end()))
      for (const { daemon } of restarted) daemon.start()
      await allReady(nodes)
      record({ what: 'restart of a few, until ready', ...average(restarted.map(({ daemon }) => daemon.processorTime)) })
      await delay(SETTLE_MS)
      record({ what: 'restart of a few, with the seconds after', ...average(restarted.map(({ daemon }) => daemon.processorTime)), residentMb: residentMb(nodes) })
      return { daemons: count, rows }
    } finally {
      await Promise.all(nodes.map(({ daemon }) => daemon.end()))
      await rig.close()
      rmSync(folder, { recursive: true })
    }
  }
}

async function createNode (rig: Rig, file: string, i: number): Promise<Node> {
  const [callers, readiness, peers, monitor] = await freePorts(4)
  const at = (port: number | undefined) => `127.0.0.1:${port}`
  const settings = rig.settings.get(0)!
  const { bounds } = settings
  const seconds = (ms: number) => ms / MS_PER_S
  const daemon = new BuiltDaemon({
    file,
    settings: {
      ...settings,
      name: `edge-built-${i}`,
      failureDomain: ['a', 'b', 'c'][i % 3],
      listen: { callers: at(callers), readiness: at(readiness), peers: at(peers) },
      monitor: { host: '127.0.0.1', port: monitor },
      seeds: [at(settings.listen.peers.port)],
      bounds: { ...bounds, grace_s: 4, retry_window_s: seconds(bounds.retry_window_s), quota_window_s: seconds(bounds.quota_window_s), report_window_s: seconds(bounds.report_window_s), usage_late_s: seconds(bounds.usage_late_s) }
    }
  })
  return { daemon, callers: callers!, readiness: readiness! }
}

async function allReady (nodes: readonly Node[]): Promise<void> {
  await waitUntil(async () => (await Promise.all(nodes.map(({ readiness }) => status({ port: readiness, path: '/readyz' })))).every((code) => code === 200), START_TIMEOUT_MS)
}

/** Processor time of an average daemon while something is done, for each second of it. */
async function measure (nodes: readonly Node[], ms: number, run: () => Promise<void>): Promise<ProcessorTime> {
  const before = nodes.map(({ daemon }) => daemon.processorTime)
  await run()
  const used = nodes.map(({ daemon }, i) => ({ mainMs: daemon.processorTime.mainMs - before[i]!.mainMs, runtimeMs: daemon.processorTime.runtimeMs - before[i]!.runtimeMs }))
  const { mainMs, runtimeMs } = average(used)
  return { mainMs: round(mainMs * MS_PER_S / ms), runtimeMs: round(runtimeMs * MS_PER_S / ms) }
}

/** Processor time of each request, the idle part included. */
async function measureLoad (nodes: readonly Node[], path: string): Promise<Figures> {
  let answered = 0
  const agent = new Agent({ keepAlive: true })
  const used = await measure(nodes, LOAD_MS, async () => {
    const calls: Promise<void>[] = []
    for (let i = 0; i < LOAD_MS / MS_PER_S * REQUESTS_PER_S; i++) {
      for (const { callers } of nodes) calls.push(call(callers, path, agent).then((code) => { if (code === 200) answered++ }))
      await delay(MS_PER_S / REQUESTS_PER_S)
    }
    await Promise.all(calls)
  })
  agent.destroy()
  return { answered, mainMs: round(used.mainMs / REQUESTS_PER_S), runtimeMs: round(used.runtimeMs / REQUESTS_PER_S) }
}

let requestCount = 0

function call (port: number, path: string, agent: Agent): Promise<number | undefined> {
  const id = ++requestCount
  return status({ port, path, agent, method: 'POST', headers: callerHeaders(`p${id}`, { deadlineMs: 5000, subject: id }) })
}

function status (options: { port: number, path: string, agent?: Agent, method?: string, headers?: Record<string, string> }): Promise<number | undefined> {
  return new Promise((resolve) => {
    const req = request({ host: '127.0.0.1', ...options }, (res) => {
      res.resume()
      res.on('close', () => resolve(res.statusCode))
    })
    req.on('error', () => resolve(undefined))
    req.end(options.method === 'POST' ? 'x'.repeat(600) : undefined)
  })
}

function stream (req: RawRequest): void {
  req.socket.write(`HTTP/1.1 200 OK\r\n${genuineHeaders(req)}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`)
  let sent = 0
  const timer = setInterval(() => {
    const event = sseEvents(++sent, sent)
    req.socket.write(`${event.length.toString(16)}\r\n${event}\r\n`)
    if (sent < EVENTS_PER_STREAM) return
    clearInterval(timer)
    req.socket.write('0\r\n\r\n')
  }, EVENT_INTERVAL_MS)
}

function average (times: readonly ProcessorTime[]): ProcessorTime {
  const mean = (pick: (time: ProcessorTime) => number) => round(times.reduce((sum, time) => sum + pick(time), 0) / times.length)
  return { mainMs: mean(({ mainMs }) => mainMs), runtimeMs: mean(({ runtimeMs }) => runtimeMs) }
}

function residentMb (nodes: readonly Node[]): number {
  return round(nodes.reduce((sum, { daemon }) => sum + daemon.residentMb, 0) / nodes.length, 1)
}
