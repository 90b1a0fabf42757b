import { expect, test } from 'vitest'
import { as, type EndpointId, type Fingerprint } from '../ids/index.ts'
import { Quarantine } from './quarantine.ts'

const POISON_REQUEST = as<Fingerprint>('k')
const OTHER = as<Fingerprint>('o')
const crash = (endpoint: string, ...aboard: Fingerprint[]) => ({ endpoint: as<EndpointId>(endpoint), aboard })

test('a request is quarantined from its third crash on, on every daemon that knows the crashes', () => {
  const [here, there] = [new Quarantine(), new Quarantine()]
  for (const [i, endpoint] of ['e1', 'e2', 'e3'].entries()) {
    expect(there.held.size).toBe(0)
    there.merge(here.crashed(crash(endpoint, POISON_REQUEST, ...(i < 2 ? [OTHER] : [])), i * 100))
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
