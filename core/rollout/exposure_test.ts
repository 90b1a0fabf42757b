import fc from 'fast-check'
import { expect, test } from 'vitest'
import { seededRandom } from '../../daemon/seeded_random.ts'
import { as, type ClassName, type DaemonId, type EndpointId } from '../ids/index.ts'
import { exposureAllowed, GrantLedger, GrantAllowance, nextGrantBatch, distributeGrants, type DaemonDemand } from './index.ts'

const daemon = (i: number) => as<DaemonId>(`d${i}`)
const BUSY = as<ClassName>('busy')
const QUIET = as<ClassName>('quiet')
const FOR_MS = 1000
const demand: DaemonDemand[] = Array.from({ length: 60 }, (_, i) => [{ daemon: daemon(i), cls: BUSY, perS: 6 }, { daemon: daemon(i), cls: QUIET, perS: 0.1 }]).flat()
type Grants = ReturnType<typeof distributeGrants>
const totalCharge = (grants: Grants) => [...grants.values()].reduce((sum, { charge }) => sum + charge, 0)
const requestsOf = (grants: Grants, cls: ClassName) => [...grants.values()].flatMap(({ requests }) => requests).filter(([name]) => name === cls).reduce((sum, [, count]) => sum + count, 0)

test('the charges of grants never exceed the requests available, and a low-traffic class receives its share', () => {
  fc.assert(fc.property(fc.integer({ min: 0, max: 500 }), fc.integer(), (requests, seed) => {
    const grants = distributeGrants(demand, { requests, forMs: FOR_MS, random: seededRandom(seed) })
    expect(totalCharge(grants)).toBeLessThanOrEqual(requests + 1e-9)
    const quiet = requestsOf(grants, QUIET)
    if (requests >= 10) expect(quiet).toBeGreaterThanOrEqual(Math.min(36, Math.floor(requests / 4)))
  }), { seed: 7, numRuns: 200 })
})

test('daemons of a large fleet together send no more of their grants than they are charged, and a class with little traffic gets answers', () => {
  // Guards against a bad version that gets more than it may, and against a good one that is rolled back because too few answers show it.
  const classes = [{ cls: BUSY, perS: 12 }, { cls: QUIET, perS: 8 }]
  const fleet = Array.from({ length: 420 }, (_, i) => classes.map(({ cls, perS }) => ({ daemon: daemon(i), cls, perS: perS / 420 }))).flat()
  const random = seededRandom(7)
  const requests = 45
  let most = 0
  let quietSent = 0
  for (let batch = 0; batch < 5000; batch++) {
    const grants = distributeGrants(fleet, { requests, forMs: FOR_MS, random })
    expect(totalCharge(grants)).toBeLessThanOrEqual(requests + 1e-9)
    let sent = 0
    for (const { requests } of grants.values()) {
      for (const [cls, count] of requests) {
        const arrived = poisson(classes.find((each) => each.cls === cls)!.perS / 420 * FOR_MS / 1000, random)
        sent += Math.min(count, arrived)
        if (cls === QUIET) quietSent += Math.min(count, arrived)
      }
    }
    most = Math.max(most, sent - totalCharge(grants))
  }
  expect(most).toBeLessThanOrEqual(0)
  expect(quietSent / 5000).toBeGreaterThan(3)
})

/** Draws the number of events of a Poisson process with the given mean. */
function poisson (mean: number, random: () => number): number {
  let product = random()
  let count = 0
  for (; product > Math.exp(-mean); product *= random()) count++
  return count
}

test('the exposure limit only counts requests already received', () => {
  const limit = { share: 0.1, slack: 50 }
  expect(exposureAllowed(0, limit)).toBeLessThanOrEqual(limit.slack)
  expect(nextGrantBatch({ requests: 0, ageMs: 0, granted: 50, endpoints: 3, answers: new Map() }, limit)).toBeUndefined()
  expect(nextGrantBatch({ requests: 100, ageMs: 500, granted: 0, endpoints: 0, answers: new Map() }, limit)).toBeUndefined()
})

type Action = { type: 'give' | 'hear' | 'use' | 'return' | 'lose', daemon: number, count: number }

test('lost, late and duplicate messages never let daemons send more than the ledger has granted', () => {
  const action: fc.Arbitrary<Action> = fc.record({ type: fc.constantFrom('give', 'hear', 'use', 'return', 'lose'), daemon: fc.integer({ min: 0, max: 2 }), count: fc.integer({ min: 1, max: 4 }) })
  fc.assert(fc.property(fc.array(action, { maxLength: 80 }), (actions) => {
    const ledger = new GrantLedger(0)
    const holders = [0, 1, 2].map(() => new GrantAllowance())
    const inFlight: Array<Array<{ number: number, count: number }>> = [[], [], []]
    const usageReports: Array<Array<{ number: number, used: number }>> = [[], [], []]
    let sent = 0
    let now = 0
    for (const { type, daemon: i, count } of actions) {
      now += 100
      const holder = holders[i]!
      if (type === 'give') inFlight[i]!.push({ number: ledger.issue(daemon(i), { requests: count }), count })
      const received = type === 'hear' ? inFlight[i]!.shift() : undefined
      if (received) {
        const previous = holder.start({ order: 'o', number: received.number, requests: [[BUSY, received.count]], endpoints: [as<EndpointId>('e')], forMs: FOR_MS }, now)
        if (previous) usageReports[i]!.push(previous)
      }
      if (type === 'use' && holder.endpointsFor('o', BUSY, now).length > 0) {
        holder.spend(BUSY)
        sent++
      }
      const returned = type === 'return' ? usageReports[i]!.shift() : undefined
      if (returned) for (let times = 0; times < 2; times++) ledger.settle(daemon(i), returned.number, returned.used)
      if (type === 'lose') usageReports[i]!.shift()
      expect(sent).toBeLessThanOrEqual(ledger.granted)
    }
  }), { seed: 7, numRuns: 500 })
})

test('a grant is limited to its lifetime, its order and its classes', () => {
  const holder = new GrantAllowance()
  holder.start({ order: 'o', number: 1, requests: [[BUSY, 1]], endpoints: [as<EndpointId>('e')], forMs: FOR_MS }, 0)
  expect(holder.endpointsFor('o', BUSY, FOR_MS - 1)).toHaveLength(1)
  expect(holder.endpointsFor('o', BUSY, FOR_MS)).toHaveLength(0)
  expect(holder.endpointsFor('another', BUSY, 0)).toHaveLength(0)
  expect(holder.endpointsFor('o', QUIET, 0)).toHaveLength(0)
  holder.spend(BUSY)
  expect(holder.endpointsFor('o', BUSY, 0)).toHaveLength(0)
  expect(holder.end()).toEqual({ number: 1, used: 1 })
})
