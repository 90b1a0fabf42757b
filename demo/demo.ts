/** Demo session: runs mixed work while a failure domain is reclaimed half way through and one daemon is drained. */
import { randomUUID } from 'node:crypto'
import { seededRandom } from '../daemon/seeded_random.ts'
import type { Random } from '../core/routing/index.ts'
import { sendRequest, type Balancer, type CallerRequest, type CallerResult } from './caller.ts'
import { adunniLevy, kingstonParish, type Deployment, type WorkKind } from './deployments.ts'
import { demoCredential, startPlatform, type Platform } from './platform.ts'
import { delay } from '../core/time/index.ts'

/** Totals of a session. */
export interface DemoTotals {
  accepted: number
  answered: number
  notRun: number
  unknown: number
  lost: number
  doubled: number
  crossed: number
  falselyNotRun: number
  recomputedTokens: number
  cost: number
}

/** Options of {@linkcode runDemo}. */
export interface DemoOptions {
  seed: number
  /** Requests for each deployment. Default 200. */
  requests?: number
  /** Milliseconds between the reclaim notice and the loss of the hosts. Default 2,000. */
  noticeMs?: number
  /** Receives lines of human-readable output. */
  print: (line: string) => void
}

const ARRIVAL_PERIOD_MS = 8000
const BALANCER_INTERVAL_MS = 500
const CHARS_PER_TOKEN = 4

/** Runs both deployments, one after the other, and returns the sum of their totals. */
export async function runDemo (options: DemoOptions): Promise<DemoTotals> {
  const totals: DemoTotals[] = []
  for (const deployment of [adunniLevy(), kingstonParish()]) totals.push(await runDeployment(deployment, options))
  return totals.reduce((sum, part) => Object.fromEntries(Object.entries(sum).map(([key, value]) => [key, value + part[key as keyof DemoTotals]])) as unknown as DemoTotals)
}

async function runDeployment (deployment: Deployment, options: DemoOptions): Promise<DemoTotals> {
  const { print } = options
  print(`${deployment.name}: starting stand-in platform and 3 daemons`)
  const platform = await startPlatform(deployment, { seed: options.seed, drainMs: 4000 })
  const random = seededRandom(options.seed)
  const balancer = startBalancer(platform, random)
  const count = options.requests ?? 200
  const results = new Map<string, CallerResult[]>()
  const faults = injectFaults(platform, options)
  let done = 0
  const progress = setInterval(() => print(`  ${done} of ${count} requests finished`), 2000)
  await Promise.all(Array.from({ length: count }, async (_, i) => {
    const { req, kind } = makeRequest(deployment, random, i)
    await delay(i * ARRIVAL_PERIOD_MS / count)
    const result = await sendRequest(req, balancer.pick, platform.ledger)
    results.set(kind.className, [...results.get(kind.className) ?? [], result])
    done++
  }))
  clearInterval(progress)
  await faults
  balancer.stop()
  const totals = summarize(platform, [...results.values()].flat())
  printTable(results, print)
  await platform.stop()
  return totals
}

/** Reclaims all hosts of a failure domain half way through the session, and drains a daemon meanwhile. */
async function injectFaults ({ cloud, daemons, deployment }: Platform, options: DemoOptions): Promise<void> {
  const noticeMs = options.noticeMs ?? 2000
  await delay(ARRIVAL_PERIOD_MS / 2)
  const domain = deployment.domains[0]!
  const hosts = cloud.hostsIn(domain)
  options.print(`  ${domain}: all ${hosts.length} hosts reclaimed with ${noticeMs / 1000} s of notice`)
  cloud.reclaim(hosts, noticeMs)
  await delay(1000)
  options.print(`  ${daemons[1]!.id}: draining`)
  await daemons[1]!.drain('demo')
  options.print(`  ${daemons[1]!.id}: left`)
}

/** Simulates the platform's load balancer, which polls readiness and is therefore out of date for a while after a change. */
function startBalancer ({ daemons }: Platform, random: Random): { pick: Balancer, stop (): void } {
  let ready = daemons.filter((daemon) => daemon.ready)
  const timer = setInterval(() => { ready = daemons.filter((daemon) => daemon.ready) }, BALANCER_INTERVAL_MS)
  return {
    pick: () => ready[Math.floor(random() * ready.length)]!.addresses.callers,
    stop: () => clearInterval(timer)
  }
}

function makeRequest (deployment: Deployment, random: Random, i: number): { req: CallerRequest, kind: WorkKind } {
  const kind = pickWeighted(deployment.work, random)
  const accounts = deployment.config.accounts.filter((account) => account.classes.includes(kind.className))
  // The first account is the largest: at least half of the requests come from it.
  const account = accounts[random() < 0.5 ? 0 : Math.floor(random() * accounts.length)]!
  const cls = deployment.config.classes.find(({ name }) => name === kind.className)!
  const input = `${kind.className} ${i} `.padEnd(randomInteger(kind.promptTokens, random) * CHARS_PER_TOKEN, `case file of ${account.name}, `)
  return {
    kind,
    req: {
      account: account.name,
      credential: demoCredential(account.name),
      className: kind.className,
      input,
      maxTokens: randomInteger(kind.maxTokens, random),
      stream: kind.stream,
      idempotencyKey: randomUUID(),
      idempotent: cls.idempotent
    }
  }
}

function pickWeighted (work: readonly WorkKind[], random: Random): WorkKind {
  let remaining = random() * work.reduce((sum, kind) => sum + kind.weight, 0)
  return work.find((kind) => (remaining -= kind.weight) < 0) ?? work.at(-1)!
}

function randomInteger ([from, to]: readonly [number, number], random: Random): number {
  return from + Math.floor(random() * (to - from + 1))
}

function summarize ({ ledger, cloud }: Platform, results: readonly CallerResult[]): DemoTotals {
  const countOf = (outcome: CallerResult['outcome']) => results.filter((result) => result.outcome === outcome).length
  return {
    accepted: results.length - countOf('not-run'),
    answered: countOf('answered'),
    notRun: countOf('not-run'),
    unknown: countOf('unknown'),
    ...ledger.totals(),
    falselyNotRun: ledger.falselyNotRun.length,
    cost: Number(cloud.cost().toFixed(4))
  }
}

function printTable (results: ReadonlyMap<string, CallerResult[]>, print: (line: string) => void): void {
  const columns = ['class', 'requests', 'answered', 'not run', 'unknown', 'resumes', 'first token p95', 'whole p95']
  const rows = [...results].sort().map(([name, all]) => [
    name,
    ...[all.length, ...(['answered', 'not-run', 'unknown'] as const).map((outcome) => all.filter((result) => result.outcome === outcome).length)].map(String),
    String(all.reduce((sum, result) => sum + result.resumes, 0)),
    `${quantile(all.map((result) => result.firstTokenMs ?? result.wholeMs))} ms`,
    `${quantile(all.map((result) => result.wholeMs))} ms`
  ])
  const widths = columns.map((column, i) => Math.max(column.length, ...rows.map((row) => row[i]!.length)))
  for (const row of [columns, ...rows]) print('  ' + row.map((cell, i) => (i === 0 ? cell.padEnd(widths[i]!) : cell.padStart(widths[i]!))).join('  '))
}

function quantile (values: readonly number[], q = 0.95): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * q))] ?? 0
}
