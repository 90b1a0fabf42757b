import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { Session, sessionConfig } from '../../bench/_session.ts'
import { as, type DaemonId, type FailureDomain, type HostId, type PoolName } from '../../core/ids/index.ts'
import { Ledger, StandInCloud, type StandInEngine } from '../../standins/index.ts'
import type { AuditRecord } from '../config/audit.ts'
import { FleetTask } from './fleet_task.ts'
import { StandInLease } from './_stand_in_lease.ts'

const POOL = as<PoolName>('models')
const SPEED = { batchSlots: 8, prefillTokensPerS: 1e6, betweenTokensMs: 20, betweenTokensPerStreamMs: 5, exportTokensPerS: 1, importTokensPerS: 1 }

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

async function fleet (hosts: number) {
  const cloud = new StandInCloud({ ledger: new Ledger(), classes: [{ name: 'quad', reclaimablePrice: 4, onDemandPrice: 11, speed: SPEED }], serviceLatencyMs: new Map() })
  for (let i = 0; i < hosts; i++) await cloud.start({ hostClass: 'quad', failureDomain: as<FailureDomain>('abc'[i % 3]!), pool: POOL, reclaimable: true })
  const records: AuditRecord[] = []
  const leaving: HostId[] = []
  const state = { holds: true }
  const task = new FleetTask({
    self: as<DaemonId>('d'),
    pool: POOL,
    cloud,
    audit: { write: async (record) => { records.push(record) } },
    config: sessionConfig,
    engine: ({ address }) => cloud.at(address) as StandInEngine,
    lease: new StandInLease(() => (state.holds ? 1 : undefined)),
    announceLeaving: (host) => { leaving.push(host) }
  })
  return { cloud, task, records, leaving, state }
}

/** Starts streams, spread evenly over the hosts; each host runs 8 at a time. */
function startStreams (cloud: StandInCloud, streams: number): void {
  const engines = cloud.live().map((host) => cloud.endpoint(host.hostId) as StandInEngine)
  for (let i = 0; i < streams; i++) {
    engines[i % engines.length]!.start({ streamId: `s${i}`, prompt: 'x', done: [], maxTokens: 100_000, priority: 1, keepMs: 0 }, { onChunk () {}, onEnd () {}, onError () {}, onLoad () {} })
  }
}

test('a fleet too small for its latency target grows, spread over failure domains', async () => {
  const { cloud, task } = await fleet(3)
  startStreams(cloud, 40)
  const round = await task.reconcile()
  expect(round.needed).toBeCloseTo(40 * 1.25 / 8)
  expect(round.started).toBe(4)
  await task.reconcile()
  expect(cloud.live().length).toBeGreaterThanOrEqual(7)
  expect(new Set(cloud.live().map((host) => host.failureDomain)).size).toBe(3)
})

test('refused starts move to another failure domain and finally to on-demand hosts', async () => {
  const { cloud, task, records } = await fleet(3)
  startStreams(cloud, 40)
  for (const domain of 'abc') cloud.faults.refuseIn.add(as<FailureDomain>(domain))
  for (let i = 0; i < 5; i++) await task.reconcile()
  expect(cloud.live().filter((host) => !host.reclaimable).length).toBeGreaterThanOrEqual(4)
  expect(records.map(({ what }) => (what as { action: string }).action)).toContain('refused')
})

test('an oversized fleet shrinks after ten minutes, drains hosts first and keeps those it needs', async () => {
  const { cloud, task, leaving } = await fleet(9)
  startStreams(cloud, 56)
  expect(await task.reconcile()).toMatchObject({ needed: 8.75, started: 0, draining: 0 })
  for (const host of cloud.live()) for (let i = 0; i < 40; i++) await (cloud.endpoint(host.hostId) as StandInEngine).cancel(`s${i}`, 0)
  expect(await task.reconcile()).toMatchObject({ needed: 8.75, draining: 0 })
  await vi.advanceTimersByTimeAsync(700_000)
  await task.reconcile()
  expect(leaving).toHaveLength(6)
  await task.reconcile()
  await vi.advanceTimersByTimeAsync(130_000)
  await task.reconcile()
  expect(cloud.live()).toHaveLength(3)
})

test('booting hosts that are not listed yet are not ordered again', async () => {
  // Guards against paying for dozens of unneeded hosts: a host is listed only minutes after its start, and each round until then finds it
  // missing and starts another.
  const { cloud, task } = await fleet(3)
  startStreams(cloud, 40)
  await vi.advanceTimersByTimeAsync(61_000)
  cloud.faults.listLagMs = 60_000
  const rounds = []
  for (let i = 0; i < 5; i++) {
    rounds.push(await task.reconcile())
    await vi.advanceTimersByTimeAsync(5000)
  }
  // 40 streams need 6.25 hosts, that is seven; three exist.
  expect(rounds.reduce((sum, round) => sum + round.started, 0)).toBe(4)
  expect(rounds.every((round) => round.draining === 0)).toBe(true)
})

test('no host is started without the lease', async () => {
  // Guards against two daemons that each replace the same reclaimed hosts, which are then paid for twice.
  const { cloud, task, state, records } = await fleet(3)
  startStreams(cloud, 40)
  state.holds = false
  await task.reconcile()
  expect(cloud.live()).toHaveLength(3)
  expect(records).toHaveLength(0)
})

test('a round under way when the lease ends starts, drains and stops no more hosts', async () => {
  // Guards against hosts that are paid for twice, and against stopping those of the successor: a round waits for the cloud while the lease moves on.
  const starting = await fleet(3)
  startStreams(starting.cloud, 40)
  const start = starting.cloud.start.bind(starting.cloud)
  starting.cloud.start = async (wanted) => {
    const id = await start(wanted)
    starting.state.holds = false
    return id
  }
  expect(await starting.task.reconcile()).toMatchObject({ started: 1 })
  expect(starting.cloud.live()).toHaveLength(4)

  const draining = await fleet(9)
  const hosts = draining.cloud.hosts.bind(draining.cloud)
  draining.cloud.hosts = async () => {
    draining.state.holds = false
    return await hosts()
  }
  expect(await draining.task.reconcile()).toMatchObject({ draining: 0 })
  expect(draining.leaving).toEqual([])

  const stopping = await fleet(9)
  const stop = stopping.cloud.stop.bind(stopping.cloud)
  stopping.cloud.stop = async (host) => {
    await stop(host)
    stopping.state.holds = false
  }
  await stopping.task.reconcile()
  expect(stopping.cloud.live()).toHaveLength(8)
})

test('three daemons that manage the fleet replace reclaimed hosts once, not three times', async () => {
  // The same with real leases: all three contend, a failure domain is reclaimed, and only one of them may start the replacements.
  vi.useRealTimers()
  const session = await Session.start(6, { manageFleet: true })
  try {
    for (let i = 0; i < 24; i++) session.submit(session.daemons[i % 3]!, { kind: 'review', key: `r${i}`, input: `review ${i}`, maxTokens: 900 })
    await session.advance(15_000)
    session.cloud.reclaim(session.cloud.hostsIn('a'), 2000)
    await session.advance(45_000)
    const models = session.cloud.live().filter((host) => host.endpoint.pool === 'models')
    expect(models.length).toBeGreaterThanOrEqual(4)
    expect(models.length).toBeLessThanOrEqual(9)
    expect(session.violations()).toEqual([])
  } finally {
    await Promise.all(session.daemons.map((daemon) => daemon.kill()))
    session.stop()
  }
})
