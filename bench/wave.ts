/** Attempts per request during the reclaim of a failure domain, the loss of another, and a store outage. */
import type { HostId } from '../core/ids/index.ts'
import { seededRandom } from '../daemon/seeded_random.ts'
import { KINDS, Session } from './_session.ts'
import { round, type Bench, type Figures } from './bench.ts'

const REQUESTS = 400
const SPAN_MS = 80_000
const RECLAIM_AT = 0.25
const LOSS_AT = 0.5
const OUTAGE_AT = 0.75
const OUTAGE_MS = 8000
const SETTLE_MS = 70_000

/** `npm run bench -- wave`. */
export const waveBench: Bench = {
  name: 'wave',
  about: 'attempts per request during the reclaim and loss of domains and a store outage',
  async run ({ seed, print }) {
    const rows = [await measure('quiet', seed, false), await measure('waves', seed, true)]
    for (const row of rows) print(JSON.stringify(row))
    return { requests: REQUESTS, rows }
  }
}

async function measure (name: string, seed: number, faults: boolean): Promise<Figures> {
  const session = await Session.start(seed)
  const random = seededRandom(seed)
  const hosts = new Set<HostId>()
  try {
    for (let i = 0; i < REQUESTS; i++) {
      const kind = KINDS[Math.floor(random() * KINDS.length)]!
      const model = kind === 'review' || kind === 'letter'
      const maxTokens = model ? 20 + Math.floor(random() * 100) : 1
      session.submit(session.daemons[i % 3]!, { kind, key: `k${i}`, input: `${kind} ${i} `.padEnd(model ? 1200 : 20, 'x'), maxTokens })
      if (faults) await injectFaults(session, i)
      for (const host of session.cloud.live()) hosts.add(host.hostId)
      await session.advance(SPAN_MS / REQUESTS)
    }
    await session.advance(SETTLE_MS)
    return figuresOf(name, session, hosts)
  } finally {
    await Promise.all(session.daemons.map((daemon) => daemon.kill()))
    session.stop()
  }
}

async function injectFaults (session: Session, i: number): Promise<void> {
  if (i === REQUESTS * RECLAIM_AT) session.reclaim(session.cloud.hostsIn('a'), 2000)
  if (i === REQUESTS * LOSS_AT) {
    for (const host of session.cloud.live().filter((each) => each.failureDomain === 'b')) {
      await session.cloud.stop(host.hostId)
      await session.startHost(host.endpoint.pool, 'c')
    }
  }
  if (i === REQUESTS * OUTAGE_AT) session.store.faults.down = true
  if (i === REQUESTS * OUTAGE_AT + Math.floor(OUTAGE_MS * REQUESTS / SPAN_MS)) session.store.faults.down = false
}

async function figuresOf (name: string, session: Session, hosts: ReadonlySet<HostId>): Promise<Figures> {
  const taken = [...hosts].reduce((sum, host) => sum + session.cloud.endpoint(host).acceptedCount, 0)
  let attempts = 0
  let denied = 0
  for (const { metrics } of session.daemons) {
    attempts += (await metrics.attempts.get()).values.reduce((sum, { value }) => sum + value, 0)
    denied += (await metrics.retriesDenied.get()).values.reduce((sum, { value }) => sum + value, 0)
  }
  const countOutcome = (outcome: string) => session.callers.filter((caller) => caller.outcome === outcome).length
  return {
    name,
    attemptsPerRequest: round(attempts / REQUESTS, 3),
    takenByEndpointsPerRequest: round(taken / REQUESTS, 3),
    retriesDenied: denied,
    answered: countOutcome('answered'),
    notRun: countOutcome('not-run') + countOutcome('refused'),
    unknown: countOutcome('unknown'),
    violations: session.violations().length
  }
}
