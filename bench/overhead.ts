/** Latency, CPU time and memory added by a daemon, compared with direct calls to the endpoint in the same run. */
import { once } from 'node:events'
import { Worker } from 'node:worker_threads'
import { delay } from '../core/time/index.ts'
import { Daemon } from '../daemon/daemon.ts'
import { settingsSchema } from '../daemon/settings.ts'
import { adunniLevy } from '../demo/deployments.ts'
import { DEMO_SECRET, waitUntil } from '../demo/platform.ts'
import type { LoadRequest, LoadReport } from './_overhead_worker.ts'
import { quantile, round, type Bench, type Figures } from './bench.ts'

interface PlatformUrls { objectApi: string, cloudApi: string, engine: string, service: string }

const PLAIN_RATE = 300
const PLAIN_COUNT = 1500
const STREAMS = 96
const STREAM_TOKENS = 120
const HELD_STREAMS = 1000

/** `npm run bench -- overhead`. */
export const overheadBench: Bench = {
  name: 'overhead',
  about: 'latency, CPU time and memory added by one daemon',
  async run ({ seed, print }) {
    const platform = startWorker('platform')
    const load = startWorker('load')
    const [urls] = await once(platform, 'message') as [PlatformUrls]
    const daemon = await startDaemon(urls, seed)
    const rig: BenchSetup = { load, daemon, urls }
    await runLoad(rig, { kind: 'plain', direct: false, rate: PLAIN_RATE, count: 300, tokens: 1 })
    const figures = { plain: await measurePlainCalls(rig), saturated: await measureSaturation(rig), stream: await measureStreams(rig), memory: await measureMemory(rig) }
    for (const [name, row] of Object.entries(figures)) print(`${name}: ${JSON.stringify(row)}`)
    await Promise.all([platform.terminate(), load.terminate()])
    return figures
  }
}

interface BenchSetup { load: Worker, daemon: Daemon, urls: PlatformUrls }

function startWorker (role: string): Worker {
  // Worker threads do not inherit the TypeScript loader, so the worker registers its own first.
  const script = `import('tsx/esm/api').then(({ register }) => { register(); return import(${JSON.stringify(new URL('./_overhead_worker.ts', import.meta.url).href)}) })`
  return new Worker(script, { workerData: role, eval: true, execArgv: [] })
}

async function startDaemon (urls: PlatformUrls, seed: number): Promise<Daemon> {
  const settings = settingsSchema.parse({
    name: 'one',
    failureDomain: 'ikeja',
    address: '127.0.0.1',
    ports: { callers: 0, operators: 0, peers: 0 },
    platform: { objectApi: urls.objectApi, cloudApi: urls.cloudApi },
    peerSecret: DEMO_SECRET
  })
  const daemon = await Daemon.start({ settings, seed })
  await daemon.config.apply(adunniLevy().config, { operator: 'bench' })
  await waitUntil(() => daemon.ready)
  return daemon
}

async function runLoad ({ load, daemon, urls }: BenchSetup, order: Omit<LoadRequest, 'url'>): Promise<LoadReport> {
  const direct = order.kind === 'plain' ? urls.service : urls.engine
  load.postMessage({ ...order, url: order.direct ? direct : daemon.addresses.callers } satisfies LoadRequest)
  const [report] = await once(load, 'message') as [LoadReport]
  return report
}

async function measurePlainCalls (rig: BenchSetup): Promise<Figures> {
  const order = { kind: 'plain', rate: PLAIN_RATE, count: PLAIN_COUNT, tokens: 1 } as const
  const direct = await runLoad(rig, { ...order, direct: true })
  const busy = startUtilizationMeter()
  const through = await runLoad(rig, { ...order, direct: false })
  return { requestsPerS: PLAIN_RATE, failed: through.failed, ...compare('whole', direct.whole, through.whole), coreShare: busy() }
}

async function measureSaturation (rig: BenchSetup): Promise<Figures> {
  const busy = startUtilizationMeter()
  const report = await runLoad(rig, { kind: 'plain', direct: false, rate: 1e6, count: 4000, tokens: 1 })
  return { requestsPerSAtMost: Math.round(report.whole.length / report.seconds), failed: report.failed, coreShare: busy() }
}

async function measureStreams (rig: BenchSetup): Promise<Figures> {
  const order = { kind: 'stream', rate: 0, count: STREAMS, tokens: STREAM_TOKENS } as const
  const direct = await runLoad(rig, { ...order, direct: true })
  const busy = startUtilizationMeter()
  const through = await runLoad(rig, { ...order, direct: false })
  const tokensPerS = Math.round(STREAMS * STREAM_TOKENS / through.seconds)
  const coreShare = busy()
  return {
    streams: STREAMS,
    tokensPerS,
    coreShare,
    coreShareAt3000TokensPerS: round(coreShare * 3000 / tokensPerS, 3),
    failed: through.failed,
    ...compare('first', direct.first, through.first),
    ...compare('between', direct.between, through.between)
  }
}

/** Measures the heap used per open stream on the thread of the daemon. */
async function measureMemory (rig: BenchSetup): Promise<Figures> {
  global.gc?.()
  const before = process.memoryUsage().heapUsed
  await runLoad(rig, { kind: 'hold', direct: false, rate: 0, count: HELD_STREAMS, tokens: 1000 })
  await delay(3000)
  global.gc?.()
  const open = rig.daemon.broker.openCount
  return { openStreams: open, heapKbPerStream: round((process.memoryUsage().heapUsed - before) / 1024 / Math.max(1, open), 1), collected: global.gc !== undefined }
}

function compare (name: string, direct: readonly number[], through: readonly number[]): Figures {
  const at = (values: readonly number[], q: number) => round(quantile(values, q))
  return {
    [`${name}DirectMs`]: { p50: at(direct, 0.5), p99: at(direct, 0.99) },
    [`${name}ThroughMs`]: { p50: at(through, 0.5), p99: at(through, 0.99) },
    [`${name}AddedMs`]: { p50: round(at(through, 0.5) - at(direct, 0.5)), p99: round(at(through, 0.99) - at(direct, 0.99)) }
  }
}

/** Starts measuring event loop utilization; the returned function gives the busy fraction since then. */
function startUtilizationMeter (): () => number {
  const from = performance.eventLoopUtilization()
  return () => round(performance.eventLoopUtilization(from).utilization, 3)
}
