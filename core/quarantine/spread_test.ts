import { expect, test } from 'vitest'
import xxhash from 'xxhash-wasm'
import { as, type DaemonId, type EndpointId, type Fingerprint, type PoolName } from '../ids/index.ts'
import { neighbours } from '../membership/index.ts'
import type { CrashReport } from './crash_report.ts'
import { partId } from './part_id.ts'
import { Quarantine } from './quarantine.ts'

const { h32 } = await xxhash()
const POISON_REQUEST = as<Fingerprint>('killer')
/** Requests running in each crash, each from a different daemon. */
const REQUESTS_PER_CRASH = 12

/** Daemons that forward newly learned reports to their neighbours, batching those that arrive within one hop. */
class Fleet {
  readonly quarantines: Quarantine[]
  readonly messageCounts: number[]
  hops = 0
  readonly #neighbours: number[][]

  constructor (size: number) {
    const ids = Array.from({ length: size }, (_, i) => as<DaemonId>(`daemon-${i}`))
    const places = new Map(ids.map((id, i) => [id, i]))
    this.quarantines = ids.map(() => new Quarantine())
    this.messageCounts = ids.map(() => 0)
    this.#neighbours = ids.map((id) => {
      const { successors, predecessors } = neighbours(id, ids, { hash: h32 })
      return [...successors, ...predecessors].map((other) => places.get(other)!)
    })
  }

  /** Forwards reports until no daemon learns anything new. */
  propagate (initial: Array<{ from: number, reports: CrashReport[] }>): void {
    for (let hop = 0, pending = byDaemon(initial); pending.size > 0; hop++) {
      this.hops = Math.max(this.hops, hop)
      pending = byDaemon([...pending].flatMap(([from, reports]) => this.#neighbours[from]!.map((to) => {
        this.messageCounts[to]!++
        return { from: to, reports: this.quarantines[to]!.merge(reports, 0) }
      })))
    }
  }
}

function byDaemon (batches: Array<{ from: number, reports: CrashReport[] }>): Map<number, CrashReport[]> {
  const grouped = new Map<number, CrashReport[]>()
  for (const { from, reports } of batches) if (reports.length > 0) grouped.set(from, [...grouped.get(from) ?? [], ...reports])
  return grouped
}

test.each([9, 87, 195, 420])('all of %d daemons quarantine a request from its third crash on, and the busiest receives few more messages than the others', (size) => {
  const fleet = new Fleet(size)
  for (let crash = 0; crash < 3; crash++) {
    const aboard = Array.from({ length: Math.min(REQUESTS_PER_CRASH, size) }, (_, i) => ({ at: (crash * 31 + i) % size, request: i === 0 ? POISON_REQUEST : as<Fingerprint>(`${crash}-${i}`) }))
    fleet.propagate(aboard.map(({ at, request }) => ({ from: at, reports: fleet.quarantines[at]!.crashed({ endpoint: as<EndpointId>(`e${crash}`), aboard: [request] }, crash) })))
    // Requests that merely ran alongside are answered when they are retried on another daemon.
    fleet.propagate(aboard.slice(1).map(({ at, request }) => ({ from: (at + 1) % size, reports: fleet.quarantines[(at + 1) % size]!.answered(request, crash) })))
  }
  expect(fleet.quarantines.every(({ held }) => held.size === 1 && held.has(POISON_REQUEST))).toBe(true)
  const mean = fleet.messageCounts.reduce((sum, count) => sum + count, 0) / size
  expect(Math.max(...fleet.messageCounts)).toBeLessThanOrEqual(1.5 * mean)
  expect(fleet.hops).toBeLessThanOrEqual(Math.ceil(Math.log2(size)))
})

test.each([9, 87, 195, 420])('all of %d daemons hold a part that crashed five endpoints, and nothing else, however many requests were running there', (size) => {
  const fleet = new Fleet(size)
  const pool = as<PoolName>('llm')
  const crashes = 5
  for (let crash = 0; crash < crashes; crash++) {
    const atMs = crash * 1000
    const runs = Array.from({ length: Math.min(REQUESTS_PER_CRASH, size) }, (_, i) => ({ at: (crash * 31 + i) % size, request: as<Fingerprint>(`${crash}-${i}`), parts: i === 0 ? ['shared', 'bad'] : ['shared', `doc-${i % 4}`] }))
    fleet.propagate(runs.map(({ at, request, parts }) => ({ from: at, reports: fleet.quarantines[at]!.crashed({ endpoint: as<EndpointId>(`e${crash}`), aboard: [request], place: { pool, poolSize: 50 }, runs: [{ request, sentAtMs: atMs - 150, parts }] }, atMs) })))
    // One request with each sound part is answered after the crash, at a daemon that need not have reported it.
    for (const [i, doc] of ['doc-0', 'doc-1', 'doc-2', 'doc-3'].entries()) {
      const at = (crash * 7 + i) % size
      fleet.propagate([{ from: at, reports: fleet.quarantines[at]!.answered(as<Fingerprint>(`sound-${crash}-${i}`), atMs + 500, { parts: [partId(pool, 'shared'), partId(pool, doc)] }) }])
    }
  }
  for (const quarantine of fleet.quarantines) quarantine.update(crashes * 1000 + 1000)
  expect(fleet.quarantines.every(({ held }) => held.size === 1 && held.has(partId(pool, 'bad')))).toBe(true)
  expect(fleet.hops).toBeLessThanOrEqual(Math.ceil(Math.log2(size)))
})
