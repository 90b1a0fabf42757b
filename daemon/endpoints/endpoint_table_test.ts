import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, endpointId, type DaemonId, type EndpointId, type HostId, type PoolName } from '../../core/ids/index.ts'
import type { FailurePoint } from '../../core/outcome/index.ts'
import { storeVersion } from '../../core/store_version/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { ListedHost } from '../../endpoints/index.ts'
import { EndpointTable } from './endpoint_table.ts'

const POOL = as<PoolName>('llm')
const SPEED = { batchSlots: 8, prefillTokensPerS: 1000, betweenTokensMs: 1, betweenTokensPerStreamMs: 0, exportTokensPerS: 0, importTokensPerS: 0 }
const [FIRST, SECOND] = [endpointId('i-1', 1000), endpointId('i-1', 2000)]

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

/** One start of the endpoint `i-1`, as it appears in a host list. */
function start (atMs: number, state: ListedHost['state'] = 'live'): ListedHost {
  const id = endpointId('i-1', atMs)
  return { hostId: as<HostId>(id), hostClass: POOL, failureDomain: as('a'), reclaimable: true, pricePerHour: 0, state, endpoint: { id, name: 'i-1', startedAtMs: atMs, pool: POOL, address: '10.0.0.1:80', speed: SPEED } }
}

const other: ListedHost = { ...start(1), hostId: as('i-2'), endpoint: { ...start(1).endpoint, id: as<EndpointId>('i-2'), name: 'i-2', address: '10.0.0.2:80' } }
const tableOf = () => new EndpointTable({ self: as<DaemonId>('d'), hash: (text) => text.length })
const failureNow = (point: FailurePoint) => ({ point, sentAtMs: steadyNow() })
const idsOf = (table: EndpointTable) => table.candidates(POOL).map(({ id }) => id).sort()

test('a restarted endpoint does not inherit the state of its previous process', () => {
  // Guards against rejected or misrouted requests: an endpoint that was leaving, failing and full restarts empty, and the daemon keeps the state of the
  // previous process.
  const table = tableOf()
  table.applyHostList([start(1000), other])
  table.started(FIRST, { lane: 'normal', tokens: 500 })
  for (let i = 0; i < 3; i++) table.failed(FIRST, failureNow('reset-after-send'))
  table.recordFirstToken(FIRST, { predictedMs: 10, actualMs: 400 })
  table.leaving([as<HostId>(FIRST)], steadyNow() + 2000, 'notice')
  expect(idsOf(table)).toEqual(['i-2'])
  table.applyHostList([start(2000), other])
  expect(idsOf(table)).toEqual([SECOND, 'i-2'])
  expect(table.get(SECOND)).toMatchObject({ own: { running: 0 }, latencyFactor: 1, leavingAtMs: undefined, ejectedUntilMs: 0 })
})

test('a leaving signal for the previous process does not affect the next one', () => {
  const table = tableOf()
  table.applyHostList([start(2000), other])
  table.leaving([as<HostId>(FIRST)], steadyNow() + 2000, 'peer')
  expect(idsOf(table)).toEqual([SECOND, 'i-2'])
  table.leaving([as<HostId>(SECOND)], steadyNow() + 2000, 'peer')
  expect(idsOf(table)).toEqual(['i-2'])
})

test('a stale list does not bring an older start back', () => {
  const table = tableOf()
  table.applyHostList([start(2000), other])
  table.applyHostList([start(1000), other])
  expect(idsOf(table)).toEqual(['i-2'])
  table.applyHostList([start(2000), other])
  expect(idsOf(table)).toEqual([SECOND, 'i-2'])
})

test('work on a replaced process is ended at once, and does not count for the next one', () => {
  // Guards against a caller waiting until its deadline: the endpoint was partitioned, crashed and restarted, and the open connection shows no error.
  const table = tableOf()
  const replaced: EndpointId[] = []
  table.onReplaced((id) => replaced.push(id))
  table.applyHostList([start(1000), other])
  table.started(FIRST, { lane: 'normal', tokens: 500 })
  table.applyHostList([start(2000), other])
  expect(replaced).toEqual([FIRST])
  table.started(SECOND, { lane: 'normal', tokens: 100 })
  table.ended(FIRST)
  expect(table.get(SECOND)!.own).toMatchObject({ running: 1, unread: { normal: 100 } })
  table.applyHostList([start(2000), other])
  expect(table.get(FIRST)).toBeUndefined()
  expect(replaced).toEqual([FIRST])
})

test('an endpoint whose entry is gone or invalid gets no new work while its running work continues', () => {
  // Guards against requests to an endpoint that the registry no longer lists: as long as work ran there, it stayed a candidate.
  const table = tableOf()
  table.applyHostList([start(1000), other])
  table.started(FIRST, { lane: 'normal', tokens: 500 })
  table.applyHostList([other])
  expect(idsOf(table)).toEqual(['i-2'])
  expect(table.get(FIRST)!.own.running).toBe(1)
  table.applyHostList([start(1000), other])
  expect(idsOf(table)).toEqual([FIRST, 'i-2'])
})

test('an endpoint that announced in an answer that it leaves is not used again until its process is replaced', () => {
  // Guards against new work for a leaving endpoint that is still listed as ready, written anew, or missing for a while and then listed again.
  const table = tableOf()
  const listed = (revision: number) => ({ ...start(1000), version: storeVersion(0, revision) })
  table.applyHostList([listed(1), other])
  table.announcedLeaving(FIRST)
  for (let version = 2; version < 100; version++) {
    vi.advanceTimersByTime(1000)
    table.applyHostList([listed(version), other])
    expect(idsOf(table)).toEqual(['i-2'])
  }
  table.departed([as<HostId>(FIRST)], { goneAtMs: steadyNow(), version: storeVersion(0, 100), signal: 'list' })
  table.applyHostList([other])
  table.applyHostList([listed(101), other])
  expect(idsOf(table)).toEqual(['i-2'])
  table.applyHostList([start(2000), other])
  expect(idsOf(table)).toEqual([SECOND, 'i-2'])
})

test('an announcement in an answer is passed on once, and holds although the departure was known before', () => {
  const table = tableOf()
  const signals: string[] = []
  table.onLeaving((leaving) => { signals.push(...leaving.map(({ signal }) => signal)) })
  table.applyHostList([{ ...start(1000), version: storeVersion(0, 1) }, other])
  table.departed([as<HostId>(FIRST)], { goneAtMs: steadyNow() + 2000, version: storeVersion(0, 2), signal: 'peer' })
  table.announcedLeaving(FIRST)
  table.announcedLeaving(other.endpoint.id)
  table.announcedLeaving(other.endpoint.id)
  table.applyHostList([{ ...start(1000), version: storeVersion(0, 3) }, other])
  expect(signals).toEqual(['peer', 'answer'])
  expect(idsOf(table)).toEqual([])
})

test('a back-off survives a gap in the listing and a success, and ends with the process', () => {
  const table = tableOf()
  table.applyHostList([start(1000), other])
  const untilMs = steadyNow() + 3000
  expect(table.backOff(FIRST, untilMs)).toBe('began')
  table.succeeded(FIRST)
  table.applyHostList([other])
  table.applyHostList([start(1000), other])
  expect(table.get(FIRST)).toMatchObject({ backOffUntilMs: untilMs })
  table.applyHostList([start(2000), other])
  expect(table.get(SECOND)).toMatchObject({ backOffUntilMs: 0 })
})

test('refusals during a back-off are no failures of the endpoint', () => {
  // Guards against an ejection of up to 30 s of an endpoint that asked for less.
  const table = tableOf()
  table.applyHostList([start(1000), other])
  table.backOff(FIRST, steadyNow() + 1000)
  for (let i = 0; i < 8; i++) table.failed(FIRST, failureNow('endpoint-said-not-run'))
  expect(table.get(FIRST)).toMatchObject({ ejectedUntilMs: 0 })
  for (let i = 0; i < 3; i++) table.failed(FIRST, failureNow('reset-after-send'))
  expect(table.get(FIRST)!.ejectedUntilMs).toBeGreaterThan(steadyNow())
})

test('the time until a pool takes requests is that of the first endpoint, if one asked for time and none takes any now', () => {
  const table = tableOf()
  table.applyHostList([start(1000), other])
  expect(table.backOffMs(POOL)).toBe(0)
  table.backOff(FIRST, steadyNow() + 3000)
  expect(table.backOffMs(POOL)).toBe(0)
  table.backOff(other.endpoint.id, steadyNow() + 2000)
  expect(table.backOffMs(POOL)).toBeCloseTo(2000)
  for (let i = 0; i < 4; i++) table.failed(other.endpoint.id, failureNow('reset-after-send'))
  vi.advanceTimersByTime(2500)
  expect(table.backOffMs(POOL)).toBe(0)
})
