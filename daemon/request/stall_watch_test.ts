import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { as, type DaemonId, type EndpointId, type HostId, type PoolName } from '../../core/ids/index.ts'
import type { AttemptProgress } from '../../core/request/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { EndpointTable } from '../endpoints/endpoint_table.ts'
import { StallWatch, type WatchedRequest } from './stall_watch.ts'

const POOL = as<PoolName>('llm')
const [SILENT, OTHER] = ['silent', 'other'].map((name) => as<EndpointId>(name)) as [EndpointId, EndpointId]

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

class Stream implements WatchedRequest {
  runningAt: EndpointId | undefined
  readonly progress: AttemptProgress = { sentAtMs: steadyNow(), predictedMs: 100, lastPieceAtMs: undefined, longestPauseMs: undefined }
  moves = 0

  constructor (at: EndpointId) { this.runningAt = at }

  handleStall (): void { this.moves++ }
}

function start (...streams: Stream[]) {
  const table = new EndpointTable({ self: as<DaemonId>('d'), hash: (text) => text.length })
  const speed = { batchSlots: 8, prefillTokensPerS: 1000, betweenTokensMs: 1, betweenTokensPerStreamMs: 0, exportTokensPerS: 0, importTokensPerS: 0 }
  table.applyHostList([SILENT, OTHER].map((id) => ({ hostId: as<HostId>(id), hostClass: 'llm', failureDomain: as('a'), reclaimable: true, pricePerHour: 0, state: 'live', endpoint: { id, pool: POOL, address: id, speed, learnsPace: true } })))
  const watch = new StallWatch({ table, open: () => streams })
  watch.start()
  const piece = (stream: Stream) => {
    const now = steadyNow()
    if (stream.progress.lastPieceAtMs !== undefined) {
      table.recordChunkInterval(stream.runningAt!, now - stream.progress.lastPieceAtMs)
      stream.progress.longestPauseMs = now - stream.progress.lastPieceAtMs
    }
    stream.progress.lastPieceAtMs = now
    table.recordActivity(stream.runningAt!)
  }
  const usable = () => table.candidates(POOL).filter((view) => view.ejectedUntilMs <= steadyNow()).map(({ id }) => id)
  return { table, watch, piece, usable }
}

test('an endpoint that stops responding gets no new work, and its streams move to other endpoints, within a second', () => {
  // Guards against callers waiting until they give up. An endpoint stops responding with its connections open, so its streams stall and new requests
  // are still sent to it.
  const [stalled, fine] = [new Stream(SILENT), new Stream(OTHER)]
  const { watch, piece, usable } = start(stalled, fine)
  for (let i = 0; i < 10; i++) {
    piece(stalled)
    piece(fine)
    vi.advanceTimersByTime(100)
  }
  for (let i = 0; i < 9; i++) {
    piece(fine)
    vi.advanceTimersByTime(100)
  }
  expect([stalled.moves > 0, fine.moves]).toEqual([true, 0])
  expect(usable()).toEqual([OTHER])
  watch.stop()
})

test('a silent endpoint is tried again later, and any message from it ends the silence', () => {
  const stalled = new Stream(SILENT)
  const { table, watch, usable } = start(stalled)
  vi.advanceTimersByTime(1000)
  expect(usable()).toEqual([OTHER])
  stalled.runningAt = undefined
  vi.advanceTimersByTime(1100)
  expect(usable()).toEqual([SILENT, OTHER])
  table.recordActivity(SILENT)
  expect(table.lastActivityAtMs(SILENT)).toBe(steadyNow())
  watch.stop()
})

test('an attempt that is delayed behind others at a busy endpoint gets more time, and the endpoint stays usable', () => {
  const [delayed, fine] = [new Stream(SILENT), new Stream(SILENT)]
  const { watch, piece, usable } = start(delayed, fine)
  for (let i = 0; i < 12; i++) {
    piece(fine)
    vi.advanceTimersByTime(100)
  }
  expect([delayed.moves, usable()]).toEqual([0, [SILENT, OTHER]])
  for (let i = 0; i < 6; i++) {
    piece(fine)
    vi.advanceTimersByTime(100)
  }
  expect([delayed.moves > 0, usable()]).toEqual([true, [SILENT, OTHER]])
  watch.stop()
})

test('a process that was paused does not treat endpoints as silent for the time of the pause', () => {
  // Guards against a daemon refusing requests for a second. After its host froze, every endpoint seemed to have been silent for the whole pause.
  const [one, two] = [new Stream(SILENT), new Stream(OTHER)]
  const { watch, piece, usable } = start(one, two)
  for (let i = 0; i < 5; i++) {
    piece(one)
    piece(two)
    vi.advanceTimersByTime(100)
  }
  watch.stop()
  vi.advanceTimersByTime(7000)
  watch.start()
  vi.advanceTimersByTime(300)
  expect([one.moves, two.moves, usable()]).toEqual([0, 0, [SILENT, OTHER]])
  piece(one)
  piece(two)
  vi.advanceTimersByTime(300)
  expect([one.moves, two.moves]).toEqual([0, 0])
  watch.stop()
})

test('a stream whose caller does not take it is not silent while it pauses, nor just after', () => {
  // Guards against endpoints that are avoided, and streams that are run again, since a caller reads slowly.
  const paused = Object.assign(new Stream(SILENT), { flow: { readingSinceMs: -Infinity } })
  const { watch, piece, usable } = start(paused)
  for (let i = 0; i < 10; i++) {
    piece(paused)
    vi.advanceTimersByTime(100)
  }
  paused.flow.readingSinceMs = Infinity
  vi.advanceTimersByTime(5000)
  paused.flow.readingSinceMs = steadyNow()
  vi.advanceTimersByTime(100)
  expect([paused.moves, usable()]).toEqual([0, [SILENT, OTHER]])
  vi.advanceTimersByTime(2000)
  expect(paused.moves).toBeGreaterThan(0)
  watch.stop()
})
