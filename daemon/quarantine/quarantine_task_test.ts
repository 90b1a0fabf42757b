import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, type DaemonId, type EndpointId, type Fingerprint } from '../../core/ids/index.ts'
import { createMetrics } from '../metrics.ts'
import type { MembershipTask } from '../peers/membership_task.ts'
import type { Crash, CrashWatch } from './crash_watch.ts'
import { QuarantineTask } from './quarantine_task.ts'

const PEER = as<DaemonId>('peer')
const CRASHING = { fingerprint: () => as<Fingerprint>('f'), parts: [] }
const HOUR_MS = 3_600_000

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

/** Creates a task with one neighbour, and records the reports sent to it. */
function start () {
  const told: Array<{ endpoint: string, aboard: string[], cleared: string[] }> = []
  let crashed: (crash: Crash) => void = () => {}
  const links = { onPost: () => {}, post: (_to: DaemonId, _topic: string, reports: typeof told) => { told.push(...reports.map(({ endpoint, aboard, cleared }) => ({ endpoint, aboard, cleared }))) } }
  const membership = { links, onLink: () => {}, core: { neighbours: [PEER] } } as unknown as MembershipTask
  const crashes = { onCrash: (listener: typeof crashed) => { crashed = listener }, gone: () => {}, stop: () => {} } as unknown as CrashWatch
  const task = new QuarantineTask({ crashes, membership, metrics: createMetrics() })
  const crash = (endpoint: string) => crashed({ endpoint: as<EndpointId>(endpoint), aboard: [CRASHING.fingerprint()] })
  return { task, told, crash }
}

test('a request may be sent again when its quarantine ends, and one more crash quarantines it at once', () => {
  const { task, crash } = start()
  for (const endpoint of ['e1', 'e2', 'e3']) crash(endpoint)
  vi.advanceTimersByTime(HOUR_MS - 1)
  expect(task.heldAt(CRASHING, [])?.forMs).toBeCloseTo(1)
  vi.advanceTimersByTime(1)
  expect(task.heldAt(CRASHING, [])?.forMs).toBeUndefined()
  crash('e4')
  expect(task.heldAt(CRASHING, [])?.forMs).toBeCloseTo(HOUR_MS)
})

test('simultaneous reports are sent together, and pending reports are sent when a daemon stops', () => {
  const { task, told, crash } = start()
  crash('e1')
  crash('e2')
  expect(told).toEqual([])
  vi.advanceTimersByTime(100)
  expect(told).toEqual([{ endpoint: 'e1', aboard: ['f'], cleared: [] }, { endpoint: 'e2', aboard: ['f'], cleared: [] }])
  task.answered(CRASHING)
  task.stop()
  expect(told.slice(2)).toEqual([{ endpoint: 'e1', aboard: [], cleared: ['f'] }, { endpoint: 'e2', aboard: [], cleared: ['f'] }])
})
