import { expect, test } from 'vitest'
import { as, type EndpointId, type EndpointVersion, type Fingerprint, type PoolName } from '../ids/index.ts'
import type { DetectedCrash } from './quarantine.ts'
import { partId } from './part_id.ts'
import { Quarantine } from './quarantine.ts'

const POISON_REQUEST = as<Fingerprint>('k')
const OTHER = as<Fingerprint>('o')
const crash = (endpoint: string, ...aboard: Fingerprint[]) => ({ endpoint: as<EndpointId>(endpoint), aboard })

test('a request is quarantined from its third crash on, on every daemon that knows the crashes', () => {
  const [here, there] = [new Quarantine(), new Quarantine()]
  for (const [i, endpoint] of ['e1', 'e2', 'e3'].entries()) {
    expect(there.held.size).toBe(0)
    there.merge(here.crashed(crash(endpoint, POISON_REQUEST, ...(i < 2 ? [OTHER] : [])), i * 100), i * 100)
  }
  expect([...here.held.keys()]).toEqual([POISON_REQUEST])
  expect(there.held.get(POISON_REQUEST)).toMatchObject({ crashes: [{ endpoint: 'e1', atMs: 0 }, { endpoint: 'e2', atMs: 100 }, { endpoint: 'e3', atMs: 200 }], untilMs: 3_600_200 })
})

test('an answer ends the quarantine, and a request with recent answers is never quarantined', () => {
  const quarantine = new Quarantine()
  for (const endpoint of ['e1', 'e2', 'e3']) quarantine.crashed(crash(endpoint, POISON_REQUEST), 0)
  expect(quarantine.held.size).toBe(1)
  expect(quarantine.answered(POISON_REQUEST, 1)).toHaveLength(3)
  expect(quarantine.held.size).toBe(0)
  quarantine.answered(OTHER, 1000)
  for (const endpoint of ['e4', 'e5', 'e6']) quarantine.crashed(crash(endpoint, OTHER), 2000)
  expect(quarantine.held.size).toBe(0)
})

test('a quarantine ends an hour after the last crash, and requests that merely ran alongside expire earlier', () => {
  const quarantine = new Quarantine()
  for (const [i, endpoint] of ['e1', 'e2', 'e3'].entries()) quarantine.crashed(crash(endpoint, POISON_REQUEST, ...(i === 0 ? [OTHER] : [])), i)
  quarantine.prune(600_000)
  expect(quarantine.snapshot().flatMap(({ aboard }) => aboard)).toEqual([POISON_REQUEST, POISON_REQUEST, POISON_REQUEST])
  quarantine.prune(3_600_001)
  expect(quarantine.held.size).toBe(1)
  quarantine.prune(3_600_002)
  expect([quarantine.held.size, quarantine.snapshot()]).toEqual([0, []])
})

test('a request stays in quarantine regardless of how many crashes follow', () => {
  const quarantine = new Quarantine()
  for (const endpoint of ['e1', 'e2', 'e3']) quarantine.crashed(crash(endpoint, POISON_REQUEST), 0)
  for (let i = 0; i < 100; i++) quarantine.crashed(crash(`later-${i}`, ...Array.from({ length: 30 }, (_, nth) => as<Fingerprint>(`${i}-${nth}`))), 1)
  expect([...quarantine.held.keys()]).toEqual([POISON_REQUEST])
  expect(quarantine.snapshot().reduce((sum, { aboard }) => sum + aboard.length, 0)).toBeLessThanOrEqual(2003)
})

const POOL = as<PoolName>('llm')
const PART = partId(POOL, 'bad')
const SHARED = partId(POOL, 'shared')
const [V1, V2] = ['v1', 'v2'].map((text) => as<EndpointVersion>(text)) as [EndpointVersion, EndpointVersion]
let requestCount = 0

/** Returns a crash of one request with the bad part, at its time. */
function partCrash (nth: number, version = V1): [DetectedCrash, number] {
  const request = as<Fingerprint>(`r${requestCount++}`)
  const atMs = 1000 * (nth + 1)
  return [{ endpoint: as<EndpointId>(`e${requestCount}`), aboard: [request], place: { pool: POOL, version, poolSize: 10 }, runs: [{ request, sentAtMs: atMs - 100, parts: ['shared', 'bad'] }] }, atMs]
}

const withPart = { fingerprint: () => as<Fingerprint>('another'), parts: [SHARED, PART] }

test('a part is quarantined on every daemon that knows three crashes of different requests with it, and only until it is released', () => {
  const [here, there] = [new Quarantine(), new Quarantine()]
  here.answered(OTHER, 0, { parts: [SHARED], version: V1 })
  for (let nth = 0; nth < 3; nth++) there.merge(here.crashed(...partCrash(nth)), 1000 * (nth + 1))
  expect(here.heldSuspect(withPart, [V1])?.suspect).toBe(PART)
  expect(here.heldSuspect({ ...withPart, parts: [SHARED] }, [V1])).toBeUndefined()
  there.merge(here.release(PART, 4000), 4000)
  expect([here.held.size, there.held.size]).toEqual([0, 0])
})

test('a part is held at every version but those that answered requests with it after the crashes', () => {
  const quarantine = new Quarantine()
  quarantine.answered(OTHER, 0, { parts: [SHARED], version: V1 })
  for (let nth = 0; nth < 3; nth++) quarantine.crashed(...partCrash(nth, V2))
  expect(quarantine.heldSuspect(withPart, [V1, V2])?.suspect).toBe(PART)
  quarantine.answered(OTHER, 5000, { parts: [SHARED, PART], version: V1 })
  expect(quarantine.heldSuspect(withPart, [V2])?.suspect).toBe(PART)
  expect(quarantine.heldSuspect(withPart, [V1, V2])).toBeUndefined()
})

test('a crash whose report comes after an answer that was given since clears the parts of that answer', () => {
  // Guards against sound parts that are held because the report of a crash was late.
  const quarantine = new Quarantine()
  quarantine.answered(OTHER, 9000, { parts: [PART, SHARED], version: V1 })
  const changes = [0, 1, 2].flatMap((nth) => quarantine.merge([{ ...partCrash(nth)[0], atMs: 1000 * (nth + 1), aboard: [], cleared: [] }], 9100))
  expect(changes.flatMap(({ cleared }) => cleared)).toEqual([SHARED, PART, SHARED, PART, SHARED, PART])
  expect(quarantine.held.size).toBe(0)
})

test('requests with a part of two crashes are suspected until one of them is answered', () => {
  const quarantine = new Quarantine()
  quarantine.crashed(...partCrash(0))
  expect(quarantine.isSuspected(withPart)).toBe(false)
  quarantine.crashed(...partCrash(1))
  expect(quarantine.isSuspected(withPart)).toBe(true)
  quarantine.answered(OTHER, 2500, { parts: [PART, SHARED], version: V1 })
  expect(quarantine.isSuspected(withPart)).toBe(false)
})

test('records of crashes with many prompt parts stay bounded', () => {
  const quarantine = new Quarantine()
  for (let i = 0; i < 100; i++) {
    const runs = Array.from({ length: 30 }, (_, nth) => ({ request: as<Fingerprint>(`${i}-${nth}`), sentAtMs: i, parts: [`a${nth}`, `b${i}`, 'c'] }))
    quarantine.crashed({ endpoint: as<EndpointId>(`e${i}`), aboard: runs.map(({ request }) => request), place: { pool: POOL, poolSize: 10 }, runs }, i)
  }
  const reports = quarantine.snapshot()
  expect(reports.reduce((sum, { aboard, runs = [] }) => sum + aboard.length + runs.reduce((parts, run) => parts + 1 + run.parts.length, 0), 0)).toBeLessThanOrEqual(2000)
})
