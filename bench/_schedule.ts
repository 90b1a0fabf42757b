/** Generators and runner for random fault schedules over a simulated session. */
import fc from 'fast-check'
import type { DaemonId } from '../core/ids/index.ts'
import { StandInEngine } from '../standins/index.ts'
import { KINDS, Session, type Kind } from './_session.ts'

/** One event of a schedule. Numeric selectors are taken modulo the number of candidates at that time. */
export type SessionEvent =
  | { type: 'submit', kind: Kind, daemon: number, size: number }
  | { type: 'repeat', of: number, daemon: number }
  | { type: 'reclaim-host', host: number, noticeMs: number }
  | { type: 'reclaim-domain', domain: number, noticeMs: number }
  | { type: 'shorten', noticeMs: number }
  | { type: 'drain', daemon: number }
  | { type: 'wait', ms: number }
  | { type: 'double-chunks' | 'fail-export', host: number }
  | { type: 'lag-list' | 'silence-notices' | 'store-down' | 'store-up' | 'store-slow' | 'lose-answer' | 'heal' }
  | { type: 'kill-host' | 'ignore-cancel', host: number }
  | { type: 'kill-daemon', daemon: number }
  | { type: 'part', a: number, b: number }

const index = fc.nat(11)
const submit = fc.record({ type: fc.constant('submit' as const), kind: fc.constantFrom(...KINDS), daemon: index, size: fc.integer({ min: 1, max: 150 }) })
const wait = fc.record({ type: fc.constant('wait' as const), ms: fc.integer({ min: 0, max: 2500 }) })
const noticePeriod = fc.constantFrom(2000, 4000, 10_000)

/** Announced and harmless faults: no request may be lost because of these. */
const announced: Array<{ weight: number, arbitrary: fc.Arbitrary<SessionEvent> }> = [
  { weight: 8, arbitrary: submit },
  { weight: 4, arbitrary: wait },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('repeat' as const), of: index, daemon: index }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('reclaim-host' as const), host: index, noticeMs: noticePeriod }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('reclaim-domain' as const), domain: index, noticeMs: noticePeriod }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('drain' as const), daemon: index }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constantFrom('double-chunks' as const, 'fail-export' as const), host: index }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('lag-list' as const) }) }
]

const unannounced: Array<{ weight: number, arbitrary: fc.Arbitrary<SessionEvent> }> = [
  { weight: 1, arbitrary: fc.record({ type: fc.constantFrom('kill-host' as const, 'ignore-cancel' as const), host: index }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('kill-daemon' as const), daemon: index }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('part' as const), a: index, b: index }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('shorten' as const), noticeMs: fc.constantFrom(500, 1000) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constantFrom('silence-notices' as const, 'store-down' as const, 'store-up' as const, 'store-slow' as const, 'lose-answer' as const, 'heal' as const) }) }
]

/** Generates schedules of announced faults only. */
export const announcedSchedule = fc.array(fc.oneof(...announced), { minLength: 5, maxLength: 35 })
/** Generates schedules of announced and unannounced faults. */
export const anySchedule = fc.array(fc.oneof(...announced, ...unannounced), { minLength: 5, maxLength: 40 })

/** Outcome of a schedule: broken guarantees, request counts by outcome, and requests without an answer. */
export interface ScheduleResult { violations: string[], outcomes: Record<string, number>, unanswered: string[] }

const SETTLE_MS = 100_000

/** Runs a schedule, clears all faults, and lets the session settle; by then every caller must have a final result. */
export async function runSchedule (events: readonly SessionEvent[], seed = 1): Promise<ScheduleResult> {
  const session = await Session.start(seed)
  try {
    for (const [i, event] of events.entries()) await applyEvent(session, event, i)
    clearFaults(session)
    await session.advance(SETTLE_MS)
    return resultOf(session)
  } finally {
    await Promise.all(session.daemons.map((daemon) => daemon.kill()))
    session.stop()
  }
}

function resultOf (session: Session): ScheduleResult {
  const outcomes: Record<string, number> = {}
  for (const { outcome } of session.callers) outcomes[outcome ?? 'none'] = (outcomes[outcome ?? 'none'] ?? 0) + 1
  const unanswered = session.callers.filter(({ outcome }) => outcome !== 'answered').map(({ kind, key, outcome, reason }) => `${kind} ${key}: ${outcome}, ${reason}`)
  return { violations: session.violations(), outcomes, unanswered }
}

async function applyEvent (session: Session, event: SessionEvent, i: number): Promise<void> {
  switch (event.type) {
    case 'submit': return submitRequest(session, event, i)
    case 'repeat': return repeatRequest(session, event)
    case 'wait': return await session.advance(event.ms)
    case 'reclaim-host': return reclaimHosts(session, [hostAt(session, event.host)], event.noticeMs)
    case 'reclaim-domain': return reclaimHosts(session, session.cloud.hostsIn('abc'[event.domain % 3]!), event.noticeMs)
    case 'shorten': return session.reclaim([...session.leavingSince.keys()].filter((host) => session.cloud.endpoint(host).alive), event.noticeMs)
    case 'drain': return await drainDaemon(session, event.daemon)
    case 'kill-daemon': return await killDaemon(session, event.daemon)
    case 'kill-host': return await session.cloud.stop(hostAt(session, event.host))
    case 'part': return partitionDaemons(session, event)
    default: applyFault(session, event)
  }
}

function applyFault (session: Session, event: Exclude<SessionEvent, { type: 'submit' | 'repeat' | 'wait' | 'reclaim-host' | 'reclaim-domain' | 'shorten' | 'drain' | 'kill-daemon' | 'kill-host' | 'part' }>): void {
  const { store, cloud, network } = session
  const engine = 'host' in event ? cloud.endpoint(hostAt(session, event.host)) : undefined
  if (event.type === 'store-down' || event.type === 'store-up') store.faults.down = event.type === 'store-down'
  else if (event.type === 'store-slow') store.faults.slowMs = 400
  else if (event.type === 'lose-answer') store.faults.loseAnswers++
  else if (event.type === 'lag-list') cloud.faults.listLagMs = 5000
  else if (event.type === 'silence-notices') cloud.faults.silentNotices = true
  else if (event.type === 'heal') network.healPartitions()
  else if (engine instanceof StandInEngine) applyToEngine(engine, event.type)
}

function applyToEngine (engine: StandInEngine, fault: string): void {
  if (fault === 'double-chunks') engine.faults.doubleChunks += 3
  else if (fault === 'fail-export') engine.faults.failExports++
  else engine.faults.ignoreCancel = true
}

function submitRequest (session: Session, event: Extract<SessionEvent, { type: 'submit' }>, i: number): void {
  const model = event.kind === 'review' || event.kind === 'letter'
  const input = `${event.kind} ${i} `.padEnd(model ? event.size * 60 : 20, 'text of the case ')
  session.submit(daemonAt(session, event.daemon), { kind: event.kind, key: `key-${i}`, input, maxTokens: model ? event.size : 1 })
}

function repeatRequest (session: Session, event: Extract<SessionEvent, { type: 'repeat' }>): void {
  const repeatable = session.callers.filter((caller) => (caller.kind === 'letter' || caller.kind === 'confirm') && !caller.repeats)
  const caller = repeatable[event.of % Math.max(1, repeatable.length)]
  if (!caller) return
  const { kind, key, input, maxTokens } = caller
  session.submit(daemonAt(session, event.daemon), { kind, key, input, maxTokens, repeats: true })
}

/** Reclaims hosts unless a reclaim is in progress: with all hosts leaving, no system could keep its guarantees. */
function reclaimHosts (session: Session, hosts: ReturnType<Session['cloud']['hostsIn']>, noticeMs: number): void {
  const leaving = session.cloud.live().filter((host) => host.state === 'leaving').length
  if (leaving === 0) session.reclaim(hosts, noticeMs)
}

/** Starts a replacement before draining, as the platform does, so that at least one daemon remains. */
async function drainDaemon (session: Session, which: number): Promise<void> {
  const daemon = daemonAt(session, which)
  await session.startDaemon('abc'[which % 3]!)
  session.drain(daemon)
}

async function killDaemon (session: Session, which: number): Promise<void> {
  const daemon = daemonAt(session, which)
  await session.startDaemon('abc'[which % 3]!)
  await session.kill(daemon)
}

function partitionDaemons (session: Session, { a, b }: { a: number, b: number }): void {
  const ids = [a, b].map((which) => daemonAt(session, which).id) as [DaemonId, DaemonId]
  if (ids[0] !== ids[1]) session.network.part(...ids, true)
}

function daemonAt (session: Session, which: number) {
  return session.daemons[which % session.daemons.length]!
}

function hostAt (session: Session, which: number) {
  const live = session.cloud.live()
  return live[which % live.length]!.hostId
}

function clearFaults ({ store, cloud, network }: Session): void {
  store.faults.down = false
  store.faults.slowMs = 0
  store.faults.loseAnswers = 0
  cloud.faults.silentNotices = false
  network.healPartitions()
}
