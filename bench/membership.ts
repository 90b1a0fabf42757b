/** Cost and convergence time of membership and configuration, with many small nodes in one process connected over loopback. */
import xxhash from 'xxhash-wasm'
import { as, type DaemonId } from '../core/ids/index.ts'
import { HEARTBEAT_MS, SUSPECT_AFTER_MS, TimeoutDetector, type FailureDetector } from '../core/membership/index.ts'
import type { Hash32, Random } from '../core/routing/index.ts'
import { delay } from '../core/time/index.ts'
import { AuditTrail } from '../daemon/config/audit.ts'
import { ConfigTask } from '../daemon/config/config_task.ts'
import { seededRandom } from '../daemon/seeded_random.ts'
import { MembershipTask } from '../daemon/peers/membership_task.ts'
import { createMetrics, type Metrics } from '../daemon/metrics.ts'
import { PeerLinks } from '../daemon/peers/peer_links.ts'
import { StandInStore } from '../standins/index.ts'
import { sessionConfig } from './_session.ts'
import { AccrualDetector } from './_accrual_detector.ts'
import { quantile, round, slope, type Bench, type BenchOptions, type Figures } from './bench.ts'

interface Node { id: DaemonId, membership: MembershipTask, config: ConfigTask, metrics: Metrics }

const SIZES = [9, 50, 100, 200, 300]
const DOMAINS = 8
const STEADY_MS = 10_000
const TIMEOUT_MS = 120_000
/** Overhead of a small message on the wire: IP and TCP headers with timestamps (52), WebSocket header (up to 8), and the TCP acknowledgement (52). */
const WIRE_BYTES_PER_MESSAGE = 112

/** `npm run bench -- membership`. */
export const membershipBench: Bench = {
  name: 'membership',
  about: 'traffic, CPU and memory of membership with 9 to 300 nodes, and time until a fact and a configuration reach all nodes',
  async run (options: BenchOptions) {
    const { h32 } = await xxhash()
    const rows: Figures[] = []
    for (const nodes of SIZES.filter((size) => size <= (options.count ?? Infinity))) {
      const row = await measure(nodes, options.seed, (text) => h32(text))
      options.print(JSON.stringify(row))
      rows.push(row)
    }
    const perNode = (figure: string) => round(slope(rows.map((row) => ({ x: row.nodes as number, y: row[figure] as number }))), 5)
    const slopes = { bytesPerS: perNode('bytesPerS'), cpuPercent: perNode('cpuPercent'), memoryKb: perNode('memoryKb'), factMaxMs: perNode('factMaxMs') }
    return { heartbeatMs: HEARTBEAT_MS, rows, slopesPerNode: slopes, detectors: compareDetectors(seededRandom(options.seed)) }
  }
}

async function measure (count: number, seed: number, hash: Hash32): Promise<Figures> {
  const random = seededRandom(seed)
  const store = new StandInStore()
  global.gc?.()
  const rssBefore = process.memoryUsage().rss
  const nodes: Node[] = []
  const joinMs = await measureMs(async () => {
    for (let i = 0; i < count; i++) nodes.push(await startNode(i, { store, hash, random, seeds: nodes.slice(0, 3).map((node) => node.membership.core.self.address) }))
    await waitUntil(() => nodes.every((node) => node.membership.acceptingWork.length === count))
  })
  await nodes[0]!.config.apply(sessionConfig(), { operator: 'bench' })
  await waitUntil(() => nodes.every((node) => node.config.inForce?.revision === 1))
  await delay(3000)
  const steady = await measureSteady(nodes)
  const fact = await timeToReachAll(nodes, () => nodes[0]!.membership.publishFact({ key: 'leaving/host', version: 1, value: 1 }), (node) => node.membership.core.fact('leaving/host') !== undefined)
  const beforeChange = await totals(nodes)
  const config = await timeToReachAll(nodes, () => { nodes[1]!.config.apply({ ...sessionConfig(), wantsLeast: 'cost' }, { operator: 'bench' }) }, (node) => node.config.inForce?.revision === 2)
  await delay(1000)
  const changeBytes = (await totals(nodes)).bytes - beforeChange.bytes
  const crashed = nodes.pop()!
  crashed.config.stop()
  const gone = await timeToReachAll(nodes, () => { crashed.membership.stop() }, (node) => node.membership.core.member(crashed.id)?.state === 'gone')
  for (const node of nodes) node.config.stop()
  const row = {
    nodes: count,
    joinMs: Math.round(joinMs),
    ...steady,
    memoryKb: Math.round((process.memoryUsage().rss - rssBefore) / 1024 / count),
    factP50Ms: fact.p50,
    factMaxMs: fact.max,
    configP50Ms: config.p50,
    configMaxMs: config.max,
    configBytesPerNode: Math.round(changeBytes / count),
    crashKnownMaxMs: gone.max
  }
  await Promise.all(nodes.map((node) => node.membership.stop()))
  return row
}

async function startNode (i: number, options: { store: StandInStore, hash: Hash32, random: Random, seeds: string[] }): Promise<Node> {
  const id = as<DaemonId>(`node-${i}-${Math.floor(options.random() * 1e8)}`)
  const metrics = createMetrics()
  const links = new PeerLinks({ self: id, secret: 'bench-secret', metrics })
  const { store, hash, random } = options
  const membership = new MembershipTask({
    self: id,
    listen: { host: '127.0.0.1', port: 0 },
    failureDomain: as(`domain-${i % DOMAINS}`),
    seeds: options.seeds,
    store,
    links,
    hash,
    metrics,
    random
  })
  const config = new ConfigTask({ self: id, store, audit: new AuditTrail(store), membership, metrics, hash, random })
  await membership.start()
  config.start()
  return { id, membership, config, metrics }
}

async function measureSteady (nodes: readonly Node[]): Promise<Figures> {
  const before = await totals(nodes)
  const cpu = process.cpuUsage()
  await delay(STEADY_MS)
  const used = process.cpuUsage(cpu)
  const after = await totals(nodes)
  const perNodeS = nodes.length * STEADY_MS / 1000
  const bytes = (after.bytes - before.bytes) / perNodeS
  const messages = (after.messages - before.messages) / perNodeS
  return {
    bytesPerS: round(bytes, 1),
    messagesPerS: round(messages, 2),
    wireBytesPerS: round(bytes + messages * WIRE_BYTES_PER_MESSAGE, 1),
    cpuPercent: round((used.user + used.system) / 1000 / STEADY_MS / nodes.length * 100, 3),
    suspectedWrongly: after.suspected
  }
}

async function totals (nodes: readonly Node[]): Promise<{ bytes: number, messages: number, suspected: number }> {
  let bytes = 0
  let messages = 0
  for (const { metrics } of nodes) {
    bytes += (await metrics.peerBytes.get()).values.find(({ labels }) => labels.direction === 'out')?.value ?? 0
    messages += (await metrics.peerMessages.get()).values.find(({ labels }) => labels.direction === 'out')?.value ?? 0
  }
  const suspected = nodes.reduce((sum, node) => sum + node.membership.core.members.filter((member) => member.state === 'suspect' || member.state === 'gone').length, 0)
  return { bytes, messages, suspected }
}

/** Runs an action and returns the median and maximum time until a node knows of it. */
async function timeToReachAll (nodes: readonly Node[], act: () => void, knows: (node: Node) => boolean): Promise<{ p50: number, max: number }> {
  const from = performance.now()
  const times: number[] = []
  let waiting = [...nodes]
  act()
  while (waiting.length > 0) {
    await delay(5)
    const now = performance.now() - from
    waiting = waiting.filter((node) => {
      if (!knows(node)) return true
      times.push(now)
      return false
    })
    if (now > TIMEOUT_MS) throw new Error(`Cannot finish: ${waiting.length} of ${nodes.length} nodes were not reached`)
  }
  return { p50: Math.round(quantile(times, 0.5)), max: Math.round(Math.max(...times)) }
}

/** Compares false suspicions per hour and crash detection time of failure detectors, for three heartbeat patterns. */
function compareDetectors (random: Random): Figures[] {
  const kinds: Record<string, () => number> = {
    regular: () => HEARTBEAT_MS * (0.95 + random() * 0.1),
    // One interval in eight is extended by a garbage collection pause.
    bimodal: () => HEARTBEAT_MS * (random() < 0.125 ? 1.8 + random() * 0.4 : 0.95 + random() * 0.1),
    // One interval in 200 is extended by a process pause of 2 to 3.5 s.
    paused: () => HEARTBEAT_MS + (random() < 0.005 ? 2000 + random() * 1500 : random() * 50)
  }
  const detectors: Record<string, () => FailureDetector> = {
    'timeout 4 s': () => new TimeoutDetector(SUSPECT_AFTER_MS, 0),
    'timeout 2 s': () => new TimeoutDetector(2000, 0),
    'accrual 8': () => new AccrualDetector(0),
    'accrual 4': () => new AccrualDetector(0, { threshold: 4 })
  }
  return Object.entries(kinds).flatMap(([heartbeats, gap]) => Object.entries(detectors).map(([detector, make]) => ({ heartbeats, detector, ...simulateDetector(make(), gap) })))
}

const TRIAL_HEARTBEATS = 36_000
const CHECK_MS = 100

function simulateDetector (detector: FailureDetector, gap: () => number): { wrongPerHour: number, detectMs: number } {
  let now = 0
  let wrong = 0
  for (let beat = 0; beat < TRIAL_HEARTBEATS; beat++) {
    const next = now + gap()
    if (detector.isSuspect(next - 1)) wrong++
    now = next
    detector.recordHeartbeat(now)
  }
  let detectMs = 0
  while (!detector.isSuspect(now + detectMs) && detectMs < 60_000) detectMs += CHECK_MS
  return { wrongPerHour: round(wrong / TRIAL_HEARTBEATS * 3600, 1), detectMs }
}

async function measureMs (act: () => Promise<void>): Promise<number> {
  const from = performance.now()
  await act()
  return performance.now() - from
}

async function waitUntil (holds: () => boolean): Promise<void> {
  const from = performance.now()
  while (!holds()) {
    if (performance.now() - from > TIMEOUT_MS) throw new Error('Cannot continue: nodes did not converge in time')
    await delay(20)
  }
}
