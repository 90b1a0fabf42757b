import FakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { toWorkClass } from '../../core/config/index.ts'
import { as, type DaemonId, type EndpointId, type FailureDomain, type HostId, type Region } from '../../core/ids/index.ts'
import { LoadAggregator, noWork } from '../../core/routing/index.ts'
import { sessionConfig } from '../../bench/_session.ts'
import type { ListedHost } from '../../endpoints/index.ts'
import { EndpointTable } from '../endpoints/endpoint_table.ts'
import { steadyNow } from '../../core/time/index.ts'
import { RegionTopology } from '../../core/topology/index.ts'
import { DESK as POOL, placement } from './_placement_fixture.ts'
import type { Placement } from './placement.ts'
import { RoomGate } from './room_gate.ts'

const SPEED = { batchSlots: 64, prefillTokensPerS: 60_000, betweenTokensMs: 1, betweenTokensPerStreamMs: 0, exportTokensPerS: 0, importTokensPerS: 0 }
const TARGET_MS = 500
const PROMPT_TOKENS = 2400
const CLASS = { ...toWorkClass(sessionConfig().classes[0]!, true), streaming: true, urgent: true, latency: { firstTokenMs: TARGET_MS, betweenTokensMs: undefined, deadlineMs: 3000 } }

let clock: Clock
beforeEach(() => { clock = FakeTimers.install({ now: 0, toFake: ['setTimeout', 'clearTimeout', 'Date', 'performance'] }) })
afterEach(() => clock.uninstall())

function makeGate () {
  const table = new EndpointTable({ self: as<DaemonId>('d'), hash: (text) => text.length })
  const id = as<EndpointId>('e')
  const host: ListedHost = { hostId: as<HostId>('h'), hostClass: 'any', failureDomain: as<FailureDomain>('a'), reclaimable: false, pricePerHour: 0, state: 'live', endpoint: { id, pool: POOL, address: '', firstMs: 20, learnsPace: true, speed: SPEED } }
  table.applyHostList([host])
  return { table, id, gate: new RoomGate({ table, random: () => 0.5 }) }
}

function stream (change: Partial<Placement> = {}): Placement {
  const now = steadyNow()
  return placement({ cls: CLASS, demand: { promptTokens: PROMPT_TOKENS, maxTokens: 40, expectedTokens: 40, parts: [] }, acceptedAtMs: now, deadlineAtMs: now + CLASS.latency.deadlineMs, ...change })
}

test('while too much waits new streams are refused, and nothing that was begun is given up', () => {
  const { table, id, gate } = makeGate()
  const verdictOn = (change?: Partial<Placement>) => gate.judge(stream(change), () => PROMPT_TOKENS).type
  for (let i = 0; i < 20; i++) table.started(id, { lane: 'urgent', tokens: PROMPT_TOKENS })
  expect(verdictOn()).toBe('run')
  clock.tick(200)
  expect(verdictOn()).toBe('refuse')
  expect(verdictOn({ resumed: true })).toBe('run')
  expect(verdictOn({ avoid: [as<EndpointId>('other')] })).toBe('run')
  expect(verdictOn({ boundTo: { version: undefined } as NonNullable<Placement['boundTo']> })).toBe('run')
  expect(verdictOn({ cls: { ...CLASS, streaming: false } })).toBe('run')
  for (let i = 0; i < 20; i++) table.promptRead(id, { lane: 'urgent', tokens: PROMPT_TOKENS })
  expect(verdictOn()).toBe('run')
})

test('the urgent work of all daemons is known from the load reports', () => {
  const [first, second] = [makeGate(), makeGate()]
  const aggregator = new LoadAggregator()
  for (const { table, id } of [first, second]) for (let i = 0; i < 10; i++) table.started(id, { lane: 'urgent', tokens: PROMPT_TOKENS })
  aggregator.report(as<DaemonId>('first'), first.gate.reports, 0)
  aggregator.report(as<DaemonId>('second'), second.gate.reports, 0)
  const others = aggregator.loadsOfOthers(as<DaemonId>('first'), 0)
  expect(others).toHaveLength(1)
  expect(others[0]![1]).toMatchObject({ running: 1, unread: { urgent: 10 * PROMPT_TOKENS, normal: Math.round(1e6 / 60) } })

  // The same wait is too long for a request that is not urgent once half of the endpoint's time goes to urgent work of others.
  const verdictOn = (cls: Placement['cls']) => first.gate.judge(stream({ cls }), () => PROMPT_TOKENS).type
  const relaxed = { ...CLASS, urgent: false, latency: { ...CLASS.latency, firstTokenMs: 600 } }
  clock.tick(2500)
  for (let i = 0; i < 3; i++) first.table.promptRead(first.id, { lane: 'urgent', tokens: PROMPT_TOKENS })
  expect(verdictOn(relaxed)).toBe('run')
  clock.tick(200)
  expect(verdictOn(relaxed)).toBe('run')
  const [entry] = others
  first.gate.applyOthersWork([[entry![0], { ...noWork(), running: 1, unread: { urgent: 45_000, normal: Math.round(1e6 / 60), late: 0 } }]])
  expect(verdictOn(relaxed)).toBe('refuse')
})

test('a request is refused for what waits in the regions that it may use, and not while one of them has room', () => {
  // Guards against refusals for the pressure of the own region while another has room, and for that of a region that the request may not be sent to.
  const domains = ['n', 's'].map((name) => as<FailureDomain>(name))
  const regions = new Map(domains.map((domain) => [domain, as<Region>(`region-${domain}`)]))
  const topology = new RegionTopology({ ownDomain: domains[0]!, regions })
  const table = new EndpointTable({ self: as<DaemonId>('d'), hash: (text) => text.length, topology })
  table.applyHostList(domains.map((failureDomain) => ({ hostId: as<HostId>(failureDomain), hostClass: 'any', failureDomain, reclaimable: false, pricePerHour: 0, state: 'live', endpoint: { id: as<EndpointId>(failureDomain), pool: POOL, address: '', firstMs: 20, learnsPace: true, speed: SPEED } })))
  const gate = new RoomGate({ table, random: () => 0.5, topology, crossing: { mayCross: ({ bytes }) => bytes < 1000, crossed: () => {} } })
  const verdicts = () => [10, 5000].map((bytes) => gate.judge(stream({ bytes }), () => PROMPT_TOKENS).type)
  const settled = () => {
    verdicts()
    clock.tick(200)
    return verdicts()
  }
  const send = (id: string) => { for (let i = 0; i < 20; i++) table.started(as<EndpointId>(id), { lane: 'urgent', tokens: PROMPT_TOKENS }) }
  const read = (id: string) => { for (let i = 0; i < 20; i++) table.promptRead(as<EndpointId>(id), { lane: 'urgent', tokens: PROMPT_TOKENS }) }
  send('n')
  expect(settled()).toEqual(['run', 'refuse'])
  send('s')
  expect(settled()).toEqual(['refuse', 'refuse'])
  read('n')
  expect(settled()).toEqual(['run', 'run'])
})
