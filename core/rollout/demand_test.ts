import { expect, test } from 'vitest'
import { seededRandom } from '../../daemon/seeded_random.ts'
import { as, type ClassName, type DaemonId } from '../ids/index.ts'
import { estimateDemand } from './index.ts'

const QUIET = as<ClassName>('quiet')
const daemons = Array.from({ length: 420 }, (_, i) => as<DaemonId>(`d${i}`))

test('daemons that have got no request of a low-traffic class yet are expected to get most of its next ones', () => {
  // Guards against a canary that gets no requests of such a class, because only daemons that have had one are granted any.
  const random = seededRandom(7)
  const counts = new Map<DaemonId, number>()
  for (let i = 0; i < 60; i++) {
    const daemon = daemons[Math.floor(random() * daemons.length)]!
    counts.set(daemon, (counts.get(daemon) ?? 0) + 1)
  }
  const demand = estimateDemand([...counts].map(([daemon, count]) => ({ daemon, cls: QUIET, count })), { daemons, ageMs: 11_100 })
  const perS = (of: typeof demand) => of.reduce((sum, each) => sum + each.perS, 0)
  expect(perS(demand)).toBeCloseTo(6, 6)
  expect(perS(demand.filter(({ daemon }) => !counts.has(daemon)))).toBeGreaterThan(3)
})

test('a daemon with much traffic is estimated by its own count, and one that has left not at all', () => {
  const [busy, idle] = daemons as [DaemonId, DaemonId]
  const demand = estimateDemand([{ daemon: busy, cls: QUIET, count: 900 }, { daemon: idle, cls: QUIET, count: 100 }, { daemon: daemons[2]!, cls: QUIET, count: 50 }], { daemons: [busy, idle], ageMs: 11_100 })
  expect(demand.map(({ daemon, perS }) => [daemon, Math.round(perS)])).toEqual([[busy, 90], [idle, 10]])
})
