/** Worker threads for the stand-ins and the load generator, so that they do not share the thread of the daemon. */
import { parentPort, workerData } from 'node:worker_threads'
import { Agent, request, setGlobalDispatcher } from 'undici'
import { as } from '../core/ids/index.ts'
import { delay } from '../core/time/index.ts'
import { demoCredential } from '../demo/platform.ts'
import { Ledger, serveCloudApi, serveEngine, serveObjectApi, serveService, StandInCloud, StandInEngine, StandInStore } from '../standins/index.ts'

/** Request from the benchmark to the load generator thread. */
export interface LoadRequest {
  kind: 'plain' | 'stream' | 'hold'
  /** Base URL of the daemon, or of the endpoint for direct calls. */
  url: string
  direct: boolean
  /** Requests per second; unused for streams. */
  rate: number
  count: number
  tokens: number
}

/** Measured latencies in milliseconds, and the duration of the run in seconds. */
export interface LoadReport { whole: number[], first: number[], between: number[], failed: number, seconds: number }

const SPEED = { batchSlots: 2000, prefillTokensPerS: 1e9, betweenTokensMs: 32, betweenTokensPerStreamMs: 0, exportTokensPerS: 1e6, importTokensPerS: 1e6 }

async function servePlatform (): Promise<void> {
  const cloud = new StandInCloud({
    ledger: new Ledger(),
    classes: [{ name: 'quad', reclaimablePrice: 1, onDemandPrice: 1, speed: SPEED }],
    serviceLatencyMs: new Map([['claims-status', 1]]),
    publish: (endpoint) => (endpoint instanceof StandInEngine ? serveEngine(endpoint) : serveService(endpoint))
  })
  for (const pool of ['assessments', 'assessments', 'claims-status', 'claims-status']) await cloud.start({ hostClass: 'quad', failureDomain: as('ikeja'), pool: as(pool), reclaimable: false })
  const [objectApi, cloudApi] = [await serveObjectApi(new StandInStore()), await serveCloudApi(cloud)]
  const address = (pool: string) => cloud.live().find((host) => host.endpoint.pool === pool)!.endpoint.address
  parentPort!.postMessage({ objectApi: objectApi.url, cloudApi: cloudApi.url, engine: address('assessments'), service: address('claims-status') })
}

async function generateLoad (order: LoadRequest): Promise<LoadReport> {
  const report: LoadReport = { whole: [], first: [], between: [], failed: 0, seconds: 0 }
  const from = performance.now()
  const open: Array<Promise<void>> = []
  const sendOne = order.kind === 'plain' ? plain : stream
  for (let i = 0; i < order.count; i++) {
    open.push(sendOne(order, i, report).catch(() => { report.failed++ }))
    if (order.kind === 'plain') await delay(Math.max(0, from + (i + 1) * 1000 / order.rate - performance.now()))
    else if (i % 20 === 19) await delay(10)
  }
  if (order.kind !== 'hold') await Promise.all(open)
  report.seconds = (performance.now() - from) / 1000
  return report
}

async function plain ({ url, direct }: LoadRequest, i: number, report: LoadReport): Promise<void> {
  const from = performance.now()
  const path = direct ? '/call' : '/v1/classes/status-check/requests'
  const res = await request(url + path, { method: 'POST', headers: headers(), body: JSON.stringify({ input: `status ${i}` }) })
  await res.body.text()
  if (res.statusCode !== 200) report.failed++
  report.whole.push(performance.now() - from)
}

async function stream ({ url, direct, tokens }: LoadRequest, i: number, report: LoadReport): Promise<void> {
  const from = performance.now()
  const path = direct ? '/streams' : '/v1/classes/claim-review/requests'
  const input = `review ${i} `.padEnd(400, 'x')
  const body = direct ? { streamId: `s${i}`, prompt: input, done: [], maxTokens: tokens, priority: 1, keepMs: 0 } : { input, maxTokens: tokens }
  const res = await request(url + path, { method: 'POST', headers: { ...headers(), accept: 'text/event-stream' }, body: JSON.stringify(body), bodyTimeout: 0 })
  let last = 0
  for await (const part of res.body) {
    if (!(part as Buffer).includes('tokens')) continue
    const now = performance.now()
    if (last === 0) report.first.push(now - from)
    else report.between.push(now - last)
    last = now
  }
  if (res.statusCode !== 200) report.failed++
}

function headers (): Record<string, string> {
  return { authorization: `Bearer ${demoCredential('ikeja-council')}`, 'content-type': 'application/json' }
}

setGlobalDispatcher(new Agent({ connections: 2000 }))
if (workerData === 'platform') await servePlatform()
else parentPort!.on('message', async (order: LoadRequest) => parentPort!.postMessage(await generateLoad(order)))
