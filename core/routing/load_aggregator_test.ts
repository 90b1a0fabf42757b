import fc from 'fast-check'
import { expect, test } from 'vitest'
import { as, type DaemonId, type EndpointId } from '../ids/index.ts'
import { addWork, LoadAggregator, noWork, type EndpointWork } from './index.ts'

const daemon = (i: number) => as<DaemonId>(`d${i}`)
const endpoint = (i: number) => as<EndpointId>(`e${i}`)
const REPORT_EXPIRY_MS = 1500
const SWEEP_INTERVAL_MS = 250

const work = fc.record({ running: fc.integer({ min: 0, max: 9 }), urgent: fc.integer({ min: 0, max: 9000 }), normal: fc.integer({ min: 0, max: 60_000 }) })
const workEntries = fc.array(fc.tuple(fc.integer({ min: 0, max: 4 }), work), { maxLength: 4 })
const reports = fc.array(fc.record({ by: fc.integer({ min: 0, max: 5 }), workEntries, afterMs: fc.integer({ min: 0, max: 900 }) }), { minLength: 1, maxLength: 40 })

const isBusy = ([, load]: EndpointWork) => load.running > 0 || load.unread.urgent > 0 || load.unread.normal > 0

test('sums equal those of the last reports, in whatever order daemons report, stop and resume', () => {
  // Guards against incremental sums that stay wrong after one report is subtracted twice or never, so that requests go to endpoints with hundreds of others.
  fc.assert(fc.property(reports, (sequence) => {
    const board = new LoadAggregator()
    const lastReports = new Map<DaemonId, { loads: EndpointWork[], atMs: number }>()
    let now = 0
    for (const { by, workEntries, afterMs } of sequence) {
      now += afterMs
      const loads = [...new Map(workEntries)].map(([i, { running, urgent, normal }]): EndpointWork => [endpoint(i), { running, unread: { urgent, normal, late: 0 } }])
      board.report(daemon(by), loads, now)
      lastReports.set(daemon(by), { loads, atMs: now })
      // The next call sweeps expired reports.
      now += SWEEP_INTERVAL_MS
      board.loadsOfOthers(daemon(0), now)
      const unexpired = [...lastReports].filter(([, { atMs }]) => now - atMs <= REPORT_EXPIRY_MS)
      const sums = new Map<EndpointId, EndpointWork[1]>()
      for (const [id, { loads }] of unexpired) if (id !== daemon(0)) for (const [at, load] of loads) sums.set(at, addWork(sums.get(at) ?? noWork(), load))
      expect(new Map(board.loadsOfOthers(daemon(0), now).filter(isBusy))).toEqual(new Map([...sums].filter(isBusy)))
    }
  }), { seed: 7, numRuns: 200 })
})

test('a report of an endpoint without work does not reduce the sums of others', () => {
  // Guards against removing a sum that a later removal of a report still needs, which crashed the process.
  const board = new LoadAggregator()
  const busy = { running: 1, unread: { urgent: 0, normal: 50, late: 0 } }
  board.report(daemon(1), [[endpoint(1), noWork()]], 0)
  board.report(daemon(2), [[endpoint(1), busy]], 0)
  board.report(daemon(2), [], 0)
  board.report(daemon(1), [[endpoint(1), busy]], 0)
  expect(board.loadsOfOthers(daemon(2), 0)).toEqual([[endpoint(1), busy]])
})

test('held tokens are summed; reports of a release that does not count them add none', () => {
  const board = new LoadAggregator()
  board.report(daemon(1), [[endpoint(0), { ...noWork(), running: 1, heldTokens: 700 }]], 0)
  board.report(daemon(2), [[endpoint(0), { ...noWork(), running: 1 }]], 0)
  board.report(daemon(3), [[endpoint(0), { ...noWork(), heldTokens: 50 }]], 0)
  expect(board.loadsOfOthers(daemon(0), 0)).toEqual([[endpoint(0), { ...noWork(), running: 2, heldTokens: 750 }]])
  board.report(daemon(1), [], 0)
  board.report(daemon(3), [], 0)
  expect(board.loadsOfOthers(daemon(0), 0)).toEqual([[endpoint(0), { ...noWork(), running: 1 }]])
})
